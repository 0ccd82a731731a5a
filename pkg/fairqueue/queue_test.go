package fairqueue_test

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	// Fixes the seed of the property tests.
	_ "github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/fairqueue"
	"github.com/mulberryglade/mulberryglade/pkg/fairshare"
)

const service = "s"

// inputTokens is the cost of a call that generates nothing.
func inputTokens(n int) fairshare.Cost {
	return fairshare.Cost{InputTokens: n}
}

// hasTurn takes the ticket's turn if it has one.
func hasTurn(t *fairqueue.Ticket) bool {
	select {
	case <-t.Turn():
		return true
	default:
		return false
	}
}

// takeTurns gives each ticket its turns until nobody has one, and returns the names in this order.
func takeTurns(tickets map[string]*fairqueue.Ticket) string {
	var order []string
	for {
		name := ""
		for n, ticket := range tickets {
			if hasTurn(ticket) {
				if name != "" {
					return "two turns at once: " + name + " " + n
				}
				name = n
			}
		}
		if name == "" {
			return strings.Join(order, " ")
		}
		order = append(order, name)
		tickets[name].Yield(time.Now())
	}
}

// Guards against a deviation from the documented order: in time before late, rank, service relative to the share, deadline.
func TestRequestsAreWokenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := fairqueue.NewScheduler()
		queue := scheduler.Queue(service)
		scheduler.Start("hot", "m", inputTokens(5000))
		scheduler.Start("normal", "m", inputTokens(1000))
		scheduler.Start("small", "m", inputTokens(100))
		now := time.Now()
		in := func(d time.Duration) time.Time { return now.Add(d) }
		tickets := make(map[string]*fairqueue.Ticket)
		join := func(name, workspace string, rank int, inTimeUntil, deadline time.Duration) {
			tickets[name], _ = queue.Join(fairqueue.Waiter{
				Workspace: workspace, Model: "m", Rank: rank, InTimeUntil: in(inTimeUntil), Deadline: in(deadline),
			}, true, now)
		}
		join("late", "small", 0, 0, time.Second)
		join("hotEarly", "hot", 1, time.Second, time.Second)
		join("normalLater", "normal", 1, time.Second, 3*time.Second)
		join("normalEarlier", "normal", 1, time.Second, 2*time.Second)
		join("urgentHot", "hot", 0, time.Second, 9*time.Second)
		join("small", "small", 1, time.Second, 9*time.Second)
		if order := takeTurns(tickets); order != "" {
			t.Fatalf("woken without a change: %s", order)
		}
		queue.Wake(now)
		const want = "urgentHot small normalEarlier normalLater hotEarly late"
		if order := takeTurns(tickets); order != want {
			t.Fatalf("order is %q, want %q", order, want)
		}
	})
}

// Guards against a request of a workspace that used little and that waits behind those of a hot workspace: when it begins to
// wait, its counter is lifted to theirs.
func TestRecentServiceDecidesBetweenEqualCounters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := fairqueue.NewScheduler()
		queue := scheduler.Queue(service)
		now := time.Now()
		tickets := make(map[string]*fairqueue.Ticket)
		scheduler.Start("hot", "m", inputTokens(5000)).Finish(inputTokens(5000))
		scheduler.Start("small", "m", inputTokens(1000)).Finish(inputTokens(1000))
		for i, workspace := range []string{"hot", "small"} {
			tickets[workspace], _ = queue.Join(fairqueue.Waiter{
				Workspace: workspace, Model: "m", InTimeUntil: now.Add(time.Second), Deadline: now.Add(time.Duration(i+1) * time.Second),
			}, true, now)
		}
		queue.Wake(now)
		if order := takeTurns(tickets); order != "small hot" {
			t.Fatalf("order is %q", order)
		}
	})
}

// Guards against a place that blocks the queue: a request may be woken by something else while it has the turn.
func TestTurnThatIsNotTakenDoesNotBlockTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := fairqueue.NewScheduler().Queue(service)
		now := time.Now()
		ticket, _ := queue.Join(fairqueue.Waiter{Workspace: "w"}, true, now)
		for range 3 {
			queue.Wake(now)
			ticket.Yield(now)
		}
		if hasTurn(ticket) {
			t.Fatal("a turn that was ended is still signalled")
		}
		queue.Wake(now)
		if !hasTurn(ticket) {
			t.Fatal("no turn after another change")
		}
	})
}

// Guards against room that stays unused because the first in line cannot use it, and against requests that are never woken
// because changes follow each other faster than all requests have had their turn.
func TestAllRequestsHaveATurnAlthoughChangesContinue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := fairqueue.NewScheduler().Queue(service)
		now := time.Now()
		tickets := make(map[string]*fairqueue.Ticket)
		for i, name := range []string{"a", "b", "c"} {
			tickets[name], _ = queue.Join(fairqueue.Waiter{
				Workspace: name, InTimeUntil: now.Add(time.Second), Deadline: now.Add(time.Duration(i+1) * time.Second),
			}, true, now)
		}
		queue.Wake(now)
		var order []string
		for range 6 {
			for _, name := range []string{"a", "b", "c"} {
				if hasTurn(tickets[name]) {
					order = append(order, name)
					queue.Wake(now)
					tickets[name].Yield(now)
					break
				}
			}
		}
		if got := strings.Join(order, " "); got != "a b c a b c" {
			t.Fatalf("turns are %q", got)
		}
	})
}

// Guards against a turn that is lost with the request that had it: because its client left, its time ended or it was sent.
func TestTurnPassesOnWhenARequestLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := fairqueue.NewScheduler().Queue(service)
		now := time.Now()
		waiter := func(deadline time.Duration) fairqueue.Waiter {
			return fairqueue.Waiter{Workspace: "w", InTimeUntil: now.Add(time.Second), Deadline: now.Add(deadline)}
		}
		first, idle := queue.Join(waiter(1*time.Second), true, now)
		second, again := queue.Join(waiter(2*time.Second), true, now)
		if idle == nil || again != nil {
			t.Fatal("exactly the first request must start the watch for changes")
		}
		queue.Wake(now)
		first.Leave(now)
		first.Leave(now)
		if !hasTurn(second) {
			t.Fatal("the second request has no turn after the first one left")
		}
		second.Leave(now)
		select {
		case <-idle:
		default:
			t.Fatal("the watch for changes does not end with the last request")
		}
		if queue.Waiting() {
			t.Fatal("requests wait after all have left")
		}
		if _, idle := queue.Join(waiter(time.Second), true, now); idle == nil {
			t.Fatal("the next request does not start a watch for changes")
		}
	})
}

// Guards against a new request that overtakes waiting ones which precede it, and against one that has to wait for those
// which it precedes. Room also appears without a change, as rates decay with time.
func TestNewRequestTakesItsPlaceInTheOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := fairqueue.NewScheduler().Queue(service)
		now := time.Now()
		tickets := make(map[string]*fairqueue.Ticket)
		join := func(name string, deadline time.Duration, tried bool) {
			tickets[name], _ = queue.Join(fairqueue.Waiter{
				Workspace: "w", InTimeUntil: now.Add(time.Second), Deadline: now.Add(deadline),
			}, tried, now)
		}
		join("first", 1*time.Second, true)
		join("third", 3*time.Second, true)
		join("second", 2*time.Second, false)
		if order := takeTurns(tickets); order != "first second" {
			t.Fatalf("order is %q", order)
		}
	})
}

// Guards against a workspace that is held back while it is the only one that asks, while nothing is saturated or while it
// is within its share, and against one that is not held back although it takes what others below it use.
func TestLimitOfAWorkspaceAboveItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := fairqueue.NewScheduler()
		queue := scheduler.Queue(service)
		const base = 0.95
		limit := func(workspace string) float64 { return base * queue.Limit(workspace, time.Now()).TimeFactor }
		use := func(workspace string, tokens int) {
			scheduler.Start(workspace, "m", inputTokens(tokens)).Finish(inputTokens(tokens))
		}
		use("hot", 6000)
		queue.NoteSaturated(time.Now())
		if got := limit("hot"); got != base {
			t.Fatalf("limit of the only workspace is %v", got)
		}
		use("large", 3000)
		use("small", 1000)
		hot, large, small := limit("hot"), limit("large"), limit("small")
		if hot >= large || large >= small && large != base || small != base || hot < base*0.7 {
			t.Fatalf("limits are %v, %v and %v", hot, large, small)
		}
		if d := queue.Limit("hot", time.Now()); d.LatencyFactor >= d.TimeFactor || d.LatencyFactor < 0.4 {
			t.Fatalf("the hot workspace's latency factor is %v", d.LatencyFactor)
		}
		if got := scheduler.Queue("other").Limit("hot", time.Now()).TimeFactor; got != 1 {
			t.Fatalf("limit at a service that is not saturated is %v", got)
		}
		time.Sleep(time.Minute)
		use("hot", 6000)
		use("small", 1000)
		if got := limit("hot"); got != base {
			t.Fatalf("limit is %v long after the service was saturated", got)
		}
	})
}

// Guards against capacity that is kept free for workspaces that no longer ask.
func TestReserveEndsWithTheDemandOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := fairqueue.NewScheduler()
		queue := scheduler.Queue(service)
		scheduler.Start("small", "m", inputTokens(20_000)).Finish(inputTokens(20_000))
		factor := 0.0
		for range 80 {
			scheduler.Start("hot", "m", inputTokens(5000)).Finish(inputTokens(5000))
			queue.NoteSaturated(time.Now())
			factor = queue.Limit("hot", time.Now()).TimeFactor
			time.Sleep(100 * time.Millisecond)
		}
		if factor < 0.99 {
			t.Fatalf("time factor is %v 8 s after the others' last request", factor)
		}
	})
}

// Guards against an operator who does not see which workspace is held back, and against a log line for each request of it.
func TestHeldWorkspaceIsLoggedAtIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := fairqueue.NewScheduler()
		queue := scheduler.Queue(service)
		lines := 0
		for range 100 {
			scheduler.Start("hot", "m", inputTokens(900)).Finish(inputTokens(900))
			scheduler.Start("small", "m", inputTokens(100)).Finish(inputTokens(100))
			queue.NoteSaturated(time.Now())
			if d := queue.Limit("hot", time.Now()); d.Log {
				lines++
			}
			time.Sleep(100 * time.Millisecond)
		}
		if lines < 1 || lines > 3 {
			t.Fatalf("%d log lines in 10 s", lines)
		}
	})
}

// Guards against the usage of other instances that counts twice, counts what was used before this instance heard of it, or
// that lets a sender which fell silent hold workspaces back for good.
func TestUsageOfOtherInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := fairqueue.NewScheduler()
		queue := scheduler.Queue(service)
		usages := func(hot, small float64) []fairshare.Usage {
			return []fairshare.Usage{{Member: "hot", Service: hot}, {Member: "small", Service: small, Waiting: 1}}
		}
		held := func() bool {
			queue.NoteSaturated(time.Now())
			return queue.Limit("hot", time.Now()).Held
		}
		scheduler.MergeUsages("i1", usages(1e9, 1e9), 0, time.Now())
		if held() {
			t.Fatal("held by the usage from before the first message")
		}
		scheduler.MergeUsages("i1", usages(1e9+10_000, 1e9+1000), 0, time.Now())
		scheduler.MergeUsages("i1", usages(1e9+10_000, 1e9+1000), 0, time.Now())
		scheduler.MergeUsages("i1", usages(1e9+5000, 1e9+9000), 0, time.Now())
		if !held() {
			t.Fatal("not held although above its share at other instances")
		}
		if received := scheduler.ReceivedService("hot"); received != 10_000 {
			t.Fatalf("service is %v after repeated and late messages", received)
		}
		time.Sleep(time.Minute)
		if held() {
			t.Fatal("held by a sender that is silent")
		}
		// The sum of a coordinator includes this instance.
		own := []fairshare.Usage{{Member: "hot", Service: 500}}
		scheduler.MergeSum(fairqueue.Sum{Source: "c", Usages: usages(2000, 0), Own: own}, time.Now())
		scheduler.MergeSum(fairqueue.Sum{Source: "c", Usages: usages(2700, 0), Own: []fairshare.Usage{{Member: "hot", Service: 900}}}, time.Now())
		if received := scheduler.ReceivedService("hot"); received != 10_300 {
			t.Fatalf("service is %v after the sum of a coordinator", received)
		}
		scheduler.MergeUsages("old", usages(0, 0), time.Minute, time.Now())
		scheduler.MergeUsages("old", usages(1e6, 0), time.Minute, time.Now())
		if received := scheduler.ReceivedService("hot"); received != 10_300 {
			t.Fatalf("service is %v after messages that are too old", received)
		}
	})
}

// Guards against publishing usage that is taken back later: other instances ignore a value below an earlier one.
func TestLocalUsagesOnlyGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := fairqueue.NewScheduler()
		charge := scheduler.Start("w", "m", inputTokens(100))
		if u := scheduler.LocalUsages(); len(u) != 1 || u[0].Service != 0 {
			t.Fatalf("usage is %+v before the call has run", u)
		}
		charge.Finish(inputTokens(100))
		scheduler.Start("w", "m", inputTokens(100)).Finish(fairshare.Cost{})
		u := scheduler.LocalUsages()
		if !slices.Equal(u, []fairshare.Usage{{Member: "w", Service: 100}}) {
			t.Fatalf("usage is %+v", u)
		}
	})
}

// BenchmarkRound measures a change at which each of 50 waiting requests of 16 workspaces has a turn without finding room.
func BenchmarkRound(b *testing.B) {
	scheduler := fairqueue.NewScheduler()
	queue := scheduler.Queue(service)
	now := time.Now()
	var tickets []*fairqueue.Ticket
	for i := range 50 {
		workspace := workspaceOf(i % replayWorkspaces)
		scheduler.Start(workspace, "m", inputTokens(1000)).Finish(inputTokens(1000))
		ticket, _ := queue.Join(fairqueue.Waiter{
			Workspace: workspace, InTimeUntil: now.Add(time.Hour), Deadline: now.Add(time.Hour + time.Duration(i)),
		}, true, now)
		tickets = append(tickets, ticket)
	}
	for b.Loop() {
		queue.Wake(now)
		for turns := 0; turns < len(tickets); {
			for _, ticket := range tickets {
				if hasTurn(ticket) {
					turns++
					ticket.Yield(now)
				}
			}
		}
	}
}

// BenchmarkLimit measures what a choice of an endpoint costs in addition while its service is saturated.
func BenchmarkLimit(b *testing.B) {
	scheduler := fairqueue.NewScheduler()
	queue := scheduler.Queue(service)
	for i := range replayWorkspaces {
		scheduler.Start(workspaceOf(i), "m", inputTokens(1000)).Finish(inputTokens(1000 * (i + 1)))
	}
	for b.Loop() {
		now := time.Now()
		queue.NoteSaturated(now)
		queue.Limit(workspaceOf(replayWorkspaces-1), now)
	}
}

// Guards against a turn that is lost, or two at once, when requests join, try, give up and leave at the same time.
func TestNoTurnIsLostUnderConcurrentUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := fairqueue.NewScheduler()
		queue := scheduler.Queue(service)
		var trying, served atomic.Int64
		var waiters conc.WaitGroup
		stop := make(chan struct{})
		for i := range 40 {
			waiters.Go(func() {
				random := rand.New(rand.NewPCG(uint64(i), 1))
				for range 50 {
					now := time.Now()
					ticket, _ := queue.Join(fairqueue.Waiter{
						Workspace: workspaceOf(i % replayWorkspaces), Rank: i % 2, InTimeUntil: now.Add(time.Second), Deadline: now.Add(2 * time.Second),
					}, random.IntN(2) == 0, now)
					patience := time.After(time.Duration(random.IntN(100)) * time.Millisecond)
					for waiting := true; waiting; {
						select {
						case <-ticket.Turn():
							if trying.Add(1) > 1 {
								t.Error("two requests have the turn")
							}
							waiting = random.IntN(4) > 0
							trying.Add(-1)
							if waiting {
								ticket.Yield(time.Now())
							} else {
								served.Add(1)
							}
						case <-patience:
							waiting = false
						}
					}
					ticket.Leave(time.Now())
				}
			})
		}
		var waker conc.WaitGroup
		waker.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
					queue.Wake(time.Now())
				}
			}
		})
		waiters.Wait()
		close(stop)
		waker.Wait()
		// Requests give up after 50 ms on average, have a turn every 10 ms and then succeed with a probability of a quarter.
		if served.Load() < 800 || queue.Waiting() {
			t.Fatalf("%d of 2000 served; requests wait: %v", served.Load(), queue.Waiting())
		}
	})
}
