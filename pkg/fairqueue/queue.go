package fairqueue

import (
	"cmp"
	"math"
	"sync"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fairshare"
)

// Waiter describes a request that waits because the service is saturated.
type Waiter struct {
	// Workspace is empty for requests without a workspace, which share one account.
	Workspace string
	Model     string
	// Rank is the priority of the workspace or the route; lower ranks go first.
	Rank int
	// InTimeUntil is the time until which the request can still be answered in time.
	InTimeUntil time.Time
	Deadline    time.Time
}

// Queue holds the waiting requests of one service. At a change that may have made room, each request has one turn, one at
// a time, in this order:
//
//  1. requests that can still be in time before late ones;
//  2. the lowest rank;
//  3. the workspace with the least service relative to its share;
//  4. the earliest deadline.
//
// A request that cannot use the room ends its turn, and the next one has its turn at once. It is safe for concurrent use.
type Queue struct {
	scheduler *Scheduler

	mu      sync.Mutex
	tickets map[*Ticket]struct{}
	// holder has the turn; nil if nobody has.
	holder *Ticket
	// wakeAgain is set if there was another change before all requests have had their turn. A new round begins after the
	// current one, so that requests at the end of the order have their turn however fast changes follow each other.
	wakeAgain bool
	sequence  int64
	// idle is closed when the last request leaves; nil while no request waits.
	idle chan struct{}
	// precedences has the precedence of each workspace with waiting requests. It is kept for one round at most, and until a
	// request joins or leaves, because the account of each workspace is looked up for every pair of requests otherwise.
	precedences map[string]precedence
	// saturatedUntil is the end of the time for which the service counts as saturated.
	saturatedUntil time.Time
	heldLogs       map[string]time.Time
}

// Ticket is the place of one request in a queue.
type Ticket struct {
	Waiter
	queue *Queue
	// sequence decides between requests that are equal otherwise.
	sequence int64
	// untried is set while the request has not had its turn in this round.
	untried bool
	left    bool
	turn    chan struct{}
}

// Waiting reports whether requests wait.
func (q *Queue) Waiting() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.tickets) > 0
}

// Join adds a request. If it has not been tried yet, it has its turn after the waiting requests that precede it, which also
// have a turn, because room may have appeared without a change: rates decay with time. A non-nil channel means that the
// caller must call Wake at changes until the channel is closed.
func (q *Queue) Join(w Waiter, tried bool, now time.Time) (t *Ticket, watchUntil <-chan struct{}) {
	q.scheduler.accountant.AddWaiting(w.Workspace, w.Model, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence++
	clear(q.precedences)
	t = &Ticket{Waiter: w, queue: q, sequence: q.sequence, turn: make(chan struct{}, 1)}
	if q.idle == nil {
		q.idle = make(chan struct{})
		watchUntil = q.idle
	}
	if !tried {
		for other := range q.tickets {
			if other != q.holder && q.compare(other, t, now) < 0 {
				other.untried = true
			}
		}
		t.untried = true
	}
	q.tickets[t] = struct{}{}
	q.passTurn(now)
	return t, watchUntil
}

// Wake gives each waiting request a turn after a change that may have made room.
func (q *Queue) Wake(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeAgain = true
	q.passTurn(now)
}

// passTurn gives the turn to the next request unless a request has it. The caller holds the lock.
func (q *Queue) passTurn(now time.Time) {
	if q.holder != nil {
		return
	}
	next := q.next(now)
	if next == nil && q.wakeAgain {
		q.wakeAgain = false
		clear(q.precedences)
		for t := range q.tickets {
			t.untried = true
		}
		next = q.next(now)
	}
	if next == nil {
		return
	}
	next.untried = false
	q.holder = next
	select {
	case next.turn <- struct{}{}:
	default:
	}
}

// next returns the first request in the order that has not had its turn; nil if there is none.
func (q *Queue) next(now time.Time) *Ticket {
	var first *Ticket
	for t := range q.tickets {
		if t.untried && (first == nil || q.compare(t, first, now) < 0) {
			first = t
		}
	}
	return first
}

func (q *Queue) compare(a, b *Ticket, now time.Time) int {
	if c := cmp.Or(cmp.Compare(a.lateness(now), b.lateness(now)), cmp.Compare(a.Rank, b.Rank)); c != 0 {
		return c
	}
	if a.Workspace != b.Workspace {
		x, y := q.precedence(a.Workspace), q.precedence(b.Workspace)
		if c := cmp.Or(cmp.Compare(x.counter, y.counter), cmp.Compare(x.aboveShare, y.aboveShare)); c != 0 {
			return c
		}
	}
	return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.sequence, b.sequence))
}

// precedence orders workspaces.
type precedence struct {
	counter float64
	// aboveShare is 0 for workspaces within their share, and 1 for others. A workspace that begins to wait is lifted to the
	// lowest counter of those that wait, so that equal counters say little. Among workspaces within their share, the
	// deadline decides: with the lowest recent service first, fewer of their requests were answered in time in the replay
	// (0.930 instead of 0.960 in one load).
	aboveShare int
}

// precedence returns the precedence of a workspace. The caller holds the lock.
func (q *Queue) precedence(workspace string) precedence {
	if p, found := q.precedences[workspace]; found {
		return p
	}
	p := precedence{counter: q.scheduler.accountant.Counter(workspace)}
	if !q.scheduler.accountant.WithinShare(workspace) {
		p.aboveShare = 1
	}
	if q.precedences == nil {
		q.precedences = make(map[string]precedence)
	}
	q.precedences[workspace] = p
	return p
}

// lateness returns 0 for requests that can still be in time, and 1 for others.
func (t *Ticket) lateness(now time.Time) int {
	if now.Before(t.InTimeUntil) {
		return 0
	}
	return 1
}

// Turn returns a channel that yields a value when it is the request's turn. The caller must end the turn by Yield or Leave,
// without blocking in between.
func (t *Ticket) Turn() <-chan struct{} {
	return t.turn
}

// Yield ends the request's turn, if it has it, and keeps its place.
func (t *Ticket) Yield(now time.Time) {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.holder != t {
		return
	}
	q.holder = nil
	select {
	case <-t.turn:
		// The request was woken by something else while it had the turn.
	default:
	}
	q.passTurn(now)
}

// Leave removes the request from the queue and ends its turn. Further calls do nothing.
func (t *Ticket) Leave(now time.Time) {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.left {
		return
	}
	t.left = true
	q.scheduler.accountant.AddWaiting(t.Workspace, t.Model, -1)
	delete(q.tickets, t)
	clear(q.precedences)
	if q.holder == t {
		q.holder = nil
	}
	if len(q.tickets) == 0 {
		close(q.idle)
		q.idle, q.wakeAgain = nil, false
		return
	}
	q.passTurn(now)
}

const (
	// saturationHold is how long a service counts as saturated after a request found no room. An instance of 63 sees some
	// eight requests per second, a fraction of which finds a saturated engine. A workspace that is held back extends this
	// time by its own requests, so that it does not saturate the engines again each time it ends.
	saturationHold = 3 * time.Second
	// maxReserve bounds the fraction of an engine's time that is kept free of the requests of a workspace above its share.
	// The room is needed for chance bursts of the others only, since prompts are read within about a second. In the replay
	// of a large workspace at 4 times its demand (four seeds), the others got 0.936 to 0.960 of their requests answered in
	// time at 0.2, and 0.960 to 0.975 at 0.25. With a small workspace at 7 times its demand, all workspaces together then
	// got 0.906 to 0.923 instead of 0.917 to 0.946.
	maxReserve = 0.2
	// latencyExponent makes the latency factor of a held workspace fall faster than its time factor. Short queues cost the
	// engines little time, but the others' requests find room in time. With 1 and a reserve of 0.3, at which the others got
	// about as much (0.951 to 0.963), the large workspace at 4 times its demand got 0.395 to 0.433 of its requests answered
	// in time instead of 0.486 to 0.503.
	latencyExponent = 3
	// minWaitingReserve is the minimum of this fraction while a request of a workspace below it waits. A workspace that
	// has just begun to send has used nothing yet.
	minWaitingReserve = 0.1
	// heldLogInterval is the minimum time between two log lines about the same workspace.
	heldLogInterval = 5 * time.Second
)

// NoteSaturated records that a request found all engines that hold its model saturated.
func (q *Queue) NoteSaturated(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.saturatedUntil = now.Add(saturationHold)
}

// Decision is the limit of a workspace and what it is based on.
type Decision struct {
	// TimeFactor multiplies the fraction of an engine's time that may be planned for prompts, LatencyFactor the time within
	// which the first token must be expected. Both are 1 for a workspace that is not held back.
	TimeFactor    float64
	LatencyFactor float64
	Held          bool
	Standing      fairshare.Standing
	// Log is set if the decision is to be logged; most are not, to bound the number of lines.
	Log bool
}

// Limit returns the limit of a workspace. It falls with the workspace's service relative to its share, so that of two
// workspaces above their share the one that received more is held back more. It leaves as much room as workspaces below it
// recently used, and none if there are no such workspaces. The rank has no influence, so that a workspace of an urgent rank
// does not take what others are entitled to.
func (q *Queue) Limit(workspace string, now time.Time) Decision {
	q.scheduler.expireSources(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	d := Decision{TimeFactor: 1, LatencyFactor: 1}
	if !now.Before(q.saturatedUntil) {
		return d
	}
	d.Standing = q.scheduler.accountant.Standing(workspace)
	reserve := d.Standing.LowerFraction
	if d.Standing.LowerWaits {
		reserve = max(reserve, minWaitingReserve)
	}
	if d.Standing.Relative <= 1 || reserve <= 0 {
		return d
	}
	excess := 1 - 1/d.Standing.Relative
	d.Held = true
	d.TimeFactor = 1 - excess*min(reserve, maxReserve)
	d.LatencyFactor = math.Pow(d.TimeFactor, latencyExponent)
	if logged, found := q.heldLogs[workspace]; !found || now.Sub(logged) >= heldLogInterval {
		if q.heldLogs == nil {
			q.heldLogs = make(map[string]time.Time)
		}
		q.heldLogs[workspace], d.Log = now, true
	}
	return d
}
