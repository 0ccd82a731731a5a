package fairqueue_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fairqueue"
	"github.com/mulberryglade/mulberryglade/pkg/fairshare"
)

// The replay plays instances and engines in simulated time, in steps. Instances choose engines like pkg/fleet does, with
// the work of other instances as of the last exchange, and wait like pkg/edge does.
const (
	replayStep       = 5 * time.Millisecond
	replayWarmup     = 4 * time.Second
	replayTime       = 16 * time.Second
	replayInstances  = 63
	replayEngines    = 20
	replayModels     = 40
	copiesOfModel    = 3
	prefillPerMs     = 19.2
	exchangeInterval = 200 * time.Millisecond
	usageInterval    = 500 * time.Millisecond
	smallPrompt      = 500
	largePrompt      = 3500
	meanPrompt       = (smallPrompt + largePrompt) / 2
	replayTarget     = 1200 * time.Millisecond
	replayDeadline   = 8 * time.Second
	replayFixedTime  = 30 * time.Millisecond
	replayWorkspaces = 16
	largeWorkspace   = 0
	smallWorkspace   = 5
	// usualLoad is the usual demand of all workspaces together relative to what the engines can read.
	usualLoad = 0.8
	// sizeOfLarge is the usual demand of the large workspace relative to each other one.
	sizeOfLarge = 5.0
)

// replayOptions is one load and how it is served.
type replayOptions struct {
	fair bool
	// exchanged is set if instances learn the usage of others.
	exchanged bool
	// factors multiply the usual demand of workspaces.
	factors map[int]float64
	only    int // the only workspace that sends; -1 for all
	seed    uint64
}

// tally counts requests of one kind by how they ended.
type tally struct {
	sent, served, inTime int
}

func (t *tally) servedShare() float64 { return float64(t.served) / float64(max(t.sent, 1)) }
func (t *tally) inTimeShare() float64 { return float64(t.inTime) / float64(max(t.sent, 1)) }

type replayCall struct {
	workspace, rank, model, prompt int
	firstAt, arrivedAt             time.Time
	instance                       *replayInstance
	ticket                         *fairqueue.Ticket
	retryAt                        time.Time
	late                           bool
	engine                         int
	remaining                      float64
	charge                         *fairshare.Charge
}

// replayWork is the work of one instance, or of several, at an engine.
type replayWork struct {
	calls       int
	urgent, all float64
	rate        float64
	rateAt      time.Time
}

func (w *replayWork) rateNow(now time.Time) float64 {
	return w.rate * math.Exp(-now.Sub(w.rateAt).Seconds())
}

type replayInstance struct {
	scheduler *fairqueue.Scheduler
	queue     *fairqueue.Queue
	own       [replayEngines]replayWork
	others    [replayEngines]replayWork
	waiting   []*replayCall
}

type replay struct {
	options replayOptions
	// arrivals and choices are separate, so that the same load arrives however it is served.
	arrivals   *rand.Rand
	random     *rand.Rand
	instances  []*replayInstance
	engines    [replayEngines][]*replayCall
	retries    []*replayCall
	workspaces [replayWorkspaces]tally
	ranks      [2]tally
	sizes      map[int]*tally
	all        tally
	readTokens float64
	startedAt  time.Time
}

func workspaceOf(i int) string { return fmt.Sprintf("w%02d", i) }

// ratePerSecond returns the requests per second of a workspace.
func (r *replay) ratePerSecond(workspace int) float64 {
	if r.options.only >= 0 && workspace != r.options.only {
		return 0
	}
	size := 1.0
	if workspace == largeWorkspace {
		size = sizeOfLarge
	}
	usual := usualLoad * replayEngines * prefillPerMs * 1000 / meanPrompt * size / (replayWorkspaces - 1 + sizeOfLarge)
	return usual * cmp.Or(r.options.factors[workspace], 1)
}

// run plays the load. The caller is in a bubble of synctest.
func (r *replay) run() {
	r.arrivals, r.random = rand.New(rand.NewPCG(r.options.seed, 1)), rand.New(rand.NewPCG(r.options.seed, 2))
	r.sizes = map[int]*tally{smallPrompt: {}, largePrompt: {}}
	for range replayInstances {
		scheduler := fairqueue.NewScheduler()
		r.instances = append(r.instances, &replayInstance{scheduler: scheduler, queue: scheduler.Queue(service)})
	}
	r.startedAt = time.Now()
	var due [replayWorkspaces]float64
	for elapsed := time.Duration(0); elapsed < replayTime; elapsed += replayStep {
		time.Sleep(replayStep)
		now := time.Now()
		r.read(now)
		if elapsed%exchangeInterval == 0 {
			r.exchangeWork(now)
		}
		if r.options.exchanged && elapsed%usageInterval == 0 {
			r.exchangeUsages()
		}
		for workspace := range replayWorkspaces {
			// Arrivals of a Poisson process: the time until the next one is exponential.
			for due[workspace] -= replayStep.Seconds() * r.ratePerSecond(workspace); due[workspace] < 0; {
				due[workspace] += r.arrivals.ExpFloat64()
				r.arrive(r.newCall(workspace, now), now)
			}
		}
		retries := r.retries
		r.retries = nil
		for _, call := range retries {
			if now.Before(call.retryAt) {
				r.retries = append(r.retries, call)
				continue
			}
			r.arrive(call, now)
		}
		r.endWaits(now)
	}
}

func (r *replay) counts(call *replayCall) bool {
	return call.firstAt.Sub(r.startedAt) >= replayWarmup && call.firstAt.Sub(r.startedAt) < replayTime-2*time.Second
}

// tallies returns the tallies to which a call belongs.
func (r *replay) tallies(call *replayCall) []*tally {
	if !r.counts(call) {
		return nil
	}
	return []*tally{&r.all, &r.workspaces[call.workspace], &r.ranks[call.rank], r.sizes[call.prompt]}
}

func (r *replay) newCall(workspace int, now time.Time) *replayCall {
	call := &replayCall{workspace: workspace, rank: r.arrivals.IntN(2), prompt: smallPrompt, firstAt: now}
	if r.arrivals.IntN(2) == 0 {
		call.prompt = largePrompt
	}
	// Some models are in demand more often than others.
	call.model = int(float64(replayModels) * math.Pow(r.arrivals.Float64(), 1.2))
	for _, t := range r.tallies(call) {
		t.sent++
	}
	return call
}

// arrive begins an attempt of a request at some instance.
func (r *replay) arrive(call *replayCall, now time.Time) {
	call.arrivedAt, call.instance, call.ticket = now, r.instances[r.random.IntN(replayInstances)], nil
	i := call.instance
	if r.options.fair && i.queue.Waiting() {
		r.join(call, false, now)
		i.waiting = append(i.waiting, call)
		r.takeTurns(i, now)
		return
	}
	if r.reserve(call, now) {
		return
	}
	if r.options.fair {
		r.join(call, true, now)
	}
	i.waiting = append(i.waiting, call)
}

func (r *replay) join(call *replayCall, tried bool, now time.Time) {
	call.ticket, _ = call.instance.queue.Join(fairqueue.Waiter{
		Workspace: workspaceOf(call.workspace), Model: fmt.Sprint(call.model), Rank: call.rank,
		InTimeUntil: call.firstAt.Add(replayTarget - readTime(call.prompt)), Deadline: call.firstAt.Add(replayDeadline),
	}, tried, now)
}

// readTime is the least time to the first token.
func readTime(prompt int) time.Duration {
	return replayFixedTime + time.Duration(float64(prompt)/prefillPerMs*float64(time.Millisecond))
}

// wake gives the waiting requests of an instance a turn after a change.
func (r *replay) wake(i *replayInstance, now time.Time) {
	if len(i.waiting) == 0 {
		return
	}
	if r.options.fair {
		i.queue.Wake(now)
		r.takeTurns(i, now)
		return
	}
	i.waiting = slices.DeleteFunc(i.waiting, func(call *replayCall) bool { return r.reserve(call, now) })
}

func (r *replay) takeTurns(i *replayInstance, now time.Time) {
	for {
		at := slices.IndexFunc(i.waiting, func(call *replayCall) bool { return hasTurn(call.ticket) })
		if at < 0 {
			return
		}
		call := i.waiting[at]
		if r.reserve(call, now) {
			i.waiting = slices.Delete(i.waiting, at, at+1)
			call.ticket.Leave(now)
			continue
		}
		call.ticket.Yield(now)
	}
}

// endWaits refuses the requests that have waited for as long as they may. Their clients try again after 200 ms, within a
// third of the time left until the deadline.
func (r *replay) endWaits(now time.Time) {
	for _, i := range r.instances {
		i.waiting = slices.DeleteFunc(i.waiting, func(call *replayCall) bool {
			target := call.firstAt.Add(replayTarget).Sub(call.arrivedAt)
			share := 0.4
			if target < 20*time.Millisecond {
				target, share = time.Duration(float64(call.firstAt.Add(replayDeadline).Sub(call.arrivedAt))*0.45), 0.8
			}
			if now.Sub(call.arrivedAt) < time.Duration(float64(target)*share) {
				return false
			}
			if call.ticket != nil {
				call.ticket.Leave(now)
			}
			if now.Sub(call.firstAt) < replayDeadline/3 {
				call.retryAt = now.Add(200 * time.Millisecond)
				r.retries = append(r.retries, call)
			}
			return true
		})
		if r.options.fair {
			r.takeTurns(i, now)
		}
	}
}

// reserve chooses an engine in time, or else late, as pkg/edge does.
func (r *replay) reserve(call *replayCall, now time.Time) bool {
	left := call.firstAt.Add(replayTarget).Sub(now)
	if left >= 20*time.Millisecond {
		if r.choose(call, false, time.Duration(float64(left)*0.85), 0.95, now) {
			return true
		}
	}
	deadline := call.firstAt.Add(replayDeadline).Sub(now)
	return r.choose(call, true, time.Duration(float64(deadline)*0.45), 0.85, now)
}

func (r *replay) choose(call *replayCall, late bool, target time.Duration, limit float64, now time.Time) bool {
	i := call.instance
	if r.options.fair {
		d := i.queue.Limit(workspaceOf(call.workspace), now)
		limit *= d.TimeFactor
		target = time.Duration(float64(target) * d.LatencyFactor)
	}
	best, bestTime := -1, target
	for k := range copiesOfModel {
		engine := (call.model*7 + k*(1+call.model%5)) % replayEngines
		own, others := &i.own[engine], &i.others[engine]
		calls, ahead := own.calls+others.calls, own.urgent+others.urgent
		if late {
			ahead = own.all + others.all
		}
		if calls > 0 && own.rateNow(now)+others.rateNow(now) > limit*prefillPerMs*1000 {
			continue
		}
		expected := readTime(int(ahead) + call.prompt)
		// Instances with equally old views must not all choose the same engine.
		if expected <= target {
			expected += time.Duration(r.random.Float64() * float64(100*time.Millisecond))
			if best < 0 || expected < bestTime {
				best, bestTime = engine, expected
			}
		}
	}
	if best < 0 {
		if r.options.fair {
			i.queue.NoteSaturated(now)
		}
		return false
	}
	w := &i.own[best]
	w.rate, w.rateAt = w.rateNow(now)+float64(call.prompt), now
	w.calls++
	w.all += float64(call.prompt)
	if !late {
		w.urgent += float64(call.prompt)
	}
	call.late, call.engine, call.remaining = late, best, float64(call.prompt)
	cost := fairshare.Cost{InputTokens: call.prompt}
	call.charge = i.scheduler.Start(workspaceOf(call.workspace), fmt.Sprint(call.model), cost)
	r.engines[best] = append(r.engines[best], call)
	return true
}

// read lets the engines read prompts for one step, late ones after all others.
func (r *replay) read(now time.Time) {
	for e := range r.engines {
		budget := prefillPerMs * float64(replayStep/time.Millisecond)
		for budget > 0 && len(r.engines[e]) > 0 {
			at := max(slices.IndexFunc(r.engines[e], func(c *replayCall) bool { return !c.late }), 0)
			call := r.engines[e][at]
			tokens := min(budget, call.remaining)
			budget -= tokens
			call.remaining -= tokens
			r.readTokens += tokens
			if call.remaining > 0 {
				break
			}
			r.engines[e] = slices.Delete(r.engines[e], at, at+1)
			w := &call.instance.own[e]
			w.calls--
			w.all -= float64(call.prompt)
			if !call.late {
				w.urgent -= float64(call.prompt)
			}
			call.charge.Finish(fairshare.Cost{InputTokens: call.prompt})
			took := now.Add(replayFixedTime).Sub(call.firstAt)
			for _, t := range r.tallies(call) {
				if took <= replayDeadline {
					t.served++
				}
				if took <= replayTarget {
					t.inTime++
				}
			}
			r.wake(call.instance, now)
		}
	}
}

// exchangeWork tells all instances the work of the others.
func (r *replay) exchangeWork(now time.Time) {
	var total [replayEngines]replayWork
	for _, i := range r.instances {
		for e := range i.own {
			total[e].calls += i.own[e].calls
			total[e].urgent += i.own[e].urgent
			total[e].all += i.own[e].all
			total[e].rate += i.own[e].rateNow(now)
		}
	}
	for _, i := range r.instances {
		for e := range i.own {
			i.others[e] = replayWork{
				calls: total[e].calls - i.own[e].calls, urgent: total[e].urgent - i.own[e].urgent, all: total[e].all - i.own[e].all,
				rate: total[e].rate - i.own[e].rateNow(now), rateAt: now,
			}
		}
		r.wake(i, now)
	}
}

// exchangeUsages tells all instances what each workspace used, as a coordinator would.
func (r *replay) exchangeUsages() {
	sums := make(map[string]fairshare.Usage)
	var own [][]fairshare.Usage
	for _, i := range r.instances {
		usages := i.scheduler.LocalUsages()
		own = append(own, usages)
		for _, u := range usages {
			sum := sums[u.Member]
			sums[u.Member] = fairshare.Usage{Member: u.Member, Service: sum.Service + u.Service, Waiting: sum.Waiting + u.Waiting}
		}
	}
	var all []fairshare.Usage
	for _, sum := range sums {
		all = append(all, sum)
	}
	slices.SortFunc(all, func(a, b fairshare.Usage) int { return cmp.Compare(a.Member, b.Member) })
	for k, i := range r.instances {
		i.scheduler.MergeSum(fairqueue.Sum{Source: "coordinator", Usages: all, Own: own[k]}, time.Now())
	}
}

// play plays a load.
func play(t *testing.T, options replayOptions) *replay {
	t.Helper()
	r := &replay{options: options}
	synctest.Test(t, func(*testing.T) { r.run() })
	return r
}

// owed returns the tally of the workspaces whose demand is within their share.
func (r *replay) owed(hot int) tally {
	var sum tally
	for w, t := range r.workspaces {
		if w != hot && w != largeWorkspace {
			sum = tally{sum.sent + t.sent, sum.served + t.served, sum.inTime + t.inTime}
		}
	}
	return sum
}

func (r *replay) utilization() float64 {
	return r.readTokens / (replayEngines * prefillPerMs * float64(replayTime/time.Millisecond))
}

// hotLoads are the loads with one workspace above its usual demand. bound is the least fraction of requests answered in
// time of the workspaces within their share, boundAlone that without the usage of other instances. Alone, without the hot
// workspace's additional requests, they get at least 0.99. The bounds were set from four seeds: the lowest fractions were
// 0.936 and 0.924, 0.990 and 0.963, 0.996 and 0.994.
var hotLoads = []struct {
	name              string
	workspace         int
	factor            float64
	bound, boundAlone float64
}{
	{"a large workspace at 4 times its demand", largeWorkspace, 4, 0.93, 0.90},
	{"a small workspace at 7 times its demand", smallWorkspace, 7, 0.97, 0.95},
	{"a small workspace at 4 times its demand", smallWorkspace, 4, 0.985, 0.985},
}

var replaySeeds = []uint64{1, 2}

// Guards against a hot workspace that takes from the others what they are entitled to, with and without the usage of other
// instances.
func TestHotWorkspaceDoesNotTakeFromOthers(t *testing.T) {
	for _, load := range hotLoads {
		for _, seed := range replaySeeds {
			options := replayOptions{only: -1, seed: seed}
			if usual := play(t, options).owed(load.workspace); usual.inTimeShare() < 0.99 {
				t.Errorf("%s, seed %d: at the usual demand %.3f in time", load.name, seed, usual.inTimeShare())
			}
			options.factors = map[int]float64{load.workspace: load.factor}
			before := play(t, options).owed(load.workspace)
			options.fair = true
			for _, exchanged := range []bool{true, false} {
				options.exchanged = exchanged
				bound := load.bound
				if !exchanged {
					bound = load.boundAlone
				}
				got := play(t, options).owed(load.workspace)
				t.Logf("%s, seed %d, usage of others known %v: %.3f in time; without fair queueing %.3f", load.name, seed, exchanged, got.inTimeShare(), before.inTimeShare())
				if got.inTimeShare() < bound {
					t.Errorf("below the bound of %.3f", bound)
				}
			}
		}
	}
}

// Guards against a workspace, also the hot and the large one, a rank or a size of requests that is served less than a quarter
// as often as the whole.
func TestNobodyIsServedLessThanAQuarterAsOften(t *testing.T) {
	for _, load := range hotLoads {
		for _, seed := range replaySeeds {
			r := play(t, replayOptions{only: -1, seed: seed, fair: true, exchanged: true, factors: map[int]float64{load.workspace: load.factor}})
			check := func(kind string, part *tally) {
				if part.sent == 0 || part.servedShare() < r.all.servedShare()/4 || part.inTimeShare() < r.all.inTimeShare()/4 {
					t.Errorf("%s, seed %d: %s: %+v of %+v", load.name, seed, kind, *part, r.all)
				}
			}
			for w := range r.workspaces {
				check(workspaceOf(w), &r.workspaces[w])
			}
			for rank := range r.ranks {
				check(fmt.Sprint("rank ", rank), &r.ranks[rank])
			}
			for size, part := range r.sizes {
				check(fmt.Sprint("prompts of ", size), part)
			}
		}
	}
}

// Guards against capacity that is kept free although only the hot workspace asks, and against room that stays unused because
// requests are woken one at a time.
func TestOnlyWorkspaceThatAsksGetsEverything(t *testing.T) {
	for _, seed := range replaySeeds {
		options := replayOptions{only: smallWorkspace, seed: seed, factors: map[int]float64{smallWorkspace: 40}}
		before := play(t, options)
		options.fair, options.exchanged = true, true
		fair := play(t, options)
		if fair.utilization() < before.utilization()-0.005 || fair.all.servedShare() < before.all.servedShare()-0.03 {
			t.Errorf("seed %d: engines used %.3f and %.3f served, without fair queueing %.3f and %.3f",
				seed, fair.utilization(), fair.all.servedShare(), before.utilization(), before.all.servedShare())
		}
	}
}

// Guards against requests that are held although nothing is saturated.
func TestUsualDemandIsServedAsWithoutFairQueueing(t *testing.T) {
	for _, seed := range replaySeeds {
		before := play(t, replayOptions{only: -1, seed: seed})
		fair := play(t, replayOptions{only: -1, seed: seed, fair: true, exchanged: true})
		if fair.all.served < before.all.served || fair.all.inTimeShare() < before.all.inTimeShare()-0.005 {
			t.Errorf("seed %d: %+v, without fair queueing %+v", seed, fair.all, before.all)
		}
	}
}

// Guards against a replay whose results differ from run to run, which makes bounds unreliable.
func TestReplayIsDeterministic(t *testing.T) {
	options := replayOptions{only: -1, seed: 1, fair: true, exchanged: true, factors: map[int]float64{largeWorkspace: 4}}
	if a, b := play(t, options), play(t, options); a.workspaces != b.workspaces || a.ranks != b.ranks || a.readTokens != b.readTokens {
		t.Errorf("%+v and %+v", a.workspaces, b.workspaces)
	}
}
