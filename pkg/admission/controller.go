package admission

import (
	"context"
	"net/http"
	"path"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/decisions"
	"github.com/mulberryglade/mulberryglade/pkg/demand"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/fairshare"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

const (
	// defaultDeadline applies to a request without a deadline.
	defaultDeadline = 60 * time.Second
	// dispatchInterval is the shortest time between two attempts to start all waiting calls after endpoints changed. It
	// bounds the cost when many models wait; the end of a call and a new call are handled at once.
	dispatchInterval = 50 * time.Millisecond
	// idleDispatches is the number of intervals after which an attempt is made although nothing was reported to have
	// changed; it covers conditions that end by time alone, such as an ejection or an empty link budget.
	idleDispatches = 4
	// defaultQueueRequests and defaultQueueBytes apply to a deployment that declares no bounds.
	defaultQueueRequests = 1000
	defaultQueueBytes    = 64 << 20
	// minRetryAfter is the shortest time after which a refused caller is told to retry.
	minRetryAfter = time.Second
)

// Parts are the components that a Controller works with.
type Parts struct {
	Registry  *endpoints.Registry
	Pipeline  *scheduling.Pipeline
	Demand    *demand.Tracker
	Shares    *fairshare.Accountant
	Decisions *decisions.Recorder
	// Order is the order in which waiting calls start; nil means FairOrder.
	Order Order
	// Link is charged for calls to other regions; nil means that there is no such link.
	Link *scheduling.Link
	// Prefixes is told which calls were sent where; nil means that prefixes are not tracked.
	Prefixes *scheduling.PrefixIndex
	// Scope receives the metrics; nil means none.
	Scope tally.Scope
}

// Controller implements Gate. It is safe for concurrent use.
type Controller struct {
	parts Parts
	// changed is true when endpoints changed since the last attempt to start all waiting calls.
	changed atomic.Bool

	mu       sync.Mutex
	snapshot *config.Snapshot // nil before the first Apply
	draining bool
	members  map[string]*memberQueue
	calls    int
	bytes    int64
	sequence uint64
	// running counts this instance's started calls per model.
	running    map[modelKey]int
	statistics map[modelKey]*modelStatistics
}

var _ Gate = (*Controller)(nil)

// NewController returns a controller that refuses calls until the first Apply. It registers itself with
// Registry.OnChange.
func NewController(parts Parts) *Controller {
	if parts.Scope == nil {
		parts.Scope = tally.NoopScope
	}
	if parts.Order == nil {
		parts.Order = FairOrder{}
	}
	c := &Controller{
		parts:      parts,
		members:    make(map[string]*memberQueue),
		running:    make(map[modelKey]int),
		statistics: make(map[modelKey]*modelStatistics),
	}
	parts.Registry.OnChange(c.wakeUp)
	return c
}

// Apply takes over a snapshot and the shares in it. The registry has its own Apply.
func (c *Controller) Apply(snapshot *config.Snapshot) {
	shares := make(map[string]float64)
	for _, m := range snapshot.Records().Members {
		shares[m.Name] = m.Share
	}
	c.parts.Shares.SetShares(shares)
	c.mu.Lock()
	before := c.snapshot
	c.snapshot = snapshot
	for key := range c.statistics {
		if !declares(snapshot, key) {
			delete(c.statistics, key)
		}
	}
	c.mu.Unlock()
	c.forgetPrefixes(before, snapshot)
	c.wakeUp()
}

func declares(snapshot *config.Snapshot, key modelKey) bool {
	if key.id == "" {
		return snapshot.Service(key.service) != nil
	}
	return snapshot.Model(key.id) != nil || snapshot.Adapter(key.id) != nil
}

// forgetPrefixes drops the cached prefixes of endpoints that are not declared any more.
func (c *Controller) forgetPrefixes(before, after *config.Snapshot) {
	if c.parts.Prefixes == nil || before == nil {
		return
	}
	for _, e := range before.Records().Endpoints {
		if after.Endpoint(e.Name) == nil {
			c.parts.Prefixes.Forget(e.Name)
		}
	}
}

// Drain makes Acquire refuse new calls; calls that already wait are still served.
func (c *Controller) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// Run starts waiting calls when endpoints change, until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for idle := 0; ; idle++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !c.changed.Swap(false) && idle < idleDispatches {
			continue
		}
		idle = 0
		c.mu.Lock()
		c.divideLink()
		c.dispatch(everyQueue)
		c.mu.Unlock()
	}
}

// divideLink gives this instance an equal part of the declared capacity of the region link.
func (c *Controller) divideLink() {
	if c.parts.Link == nil || c.snapshot == nil {
		return
	}
	bits := c.snapshot.Deployment().RegionLinkBitsPerSecond
	c.parts.Link.Budget.SetRate(bits / int64(c.parts.Registry.Instances()))
}

func (c *Controller) wakeUp() {
	c.changed.Store(true)
}

// Acquire implements Gate.
func (c *Controller) Acquire(ctx context.Context, request scheduling.Request) (Ticket, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if request.Deadline.IsZero() {
		request.Deadline = time.Now().Add(defaultDeadline)
	}
	w, refused := c.enter(request)
	if refused != nil {
		return nil, refused
	}
	return c.wait(ctx, w)
}

// enter queues the call and starts whatever can start.
func (c *Controller) enter(request scheduling.Request) (*waiter, *problem.Problem) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if refused := c.refuseAtOnce(&request); refused != nil {
		return nil, refused
	}
	if len(request.Exclude) == 0 {
		c.parts.Demand.Arrive(keyOf(&request).id, request.InputTokens+request.OutputTokens)
	}
	c.sequence++
	w := &waiter{
		request:  request,
		key:      keyOf(&request),
		sequence: c.sequence,
		enqueued: time.Now(),
		done:     make(chan verdict, 1),
	}
	if model := c.snapshot.Model(request.Model); model != nil {
		w.freshUntil = w.enqueued.Add(targetOf(model.FirstTokenTargetMs, config.DefaultFirstTokenTarget))
	}
	w.latestStart = request.Deadline.Add(-c.statisticsOf(w.key).likely(&request))
	member := c.member(request.Member)
	member.inProgress++
	c.enqueue(member.queueFor(w.key), w)
	// No other call can start: what kept it waiting did not change.
	c.dispatch(func(key modelKey) bool { return key == w.key })
	c.refuseIfTooLate(w)
	c.shedOverflow()
	return w, nil
}

// refuseIfTooLate refuses a call that did not start at once and cannot start early enough to finish in time. The estimate
// of its duration is a cautious one: under lasting overload every admitted call waits nearly as long as it may, and with
// a mean duration half of them would start and still miss their deadline, which wastes their capacity.
func (c *Controller) refuseIfTooLate(w *waiter) {
	q := w.queue
	if q == nil {
		return
	}
	index, first := slices.Index(q.waiters, w), c.parts.Order.first(q, time.Now())
	wait := c.expectedWait(q, (index-first+len(q.waiters))%len(q.waiters))
	if q.notLoaded {
		// How long a load takes is not known here: the call may wait as long as it can still finish.
		wait = 0
	}
	remaining := time.Until(w.request.Deadline)
	if wait+c.statisticsOf(w.key).reserve(&w.request, remaining) > remaining {
		c.refuse(w, c.deadlineProblem("The request cannot finish before its deadline.", c.retryAfter(q)))
	}
}

func (c *Controller) refuseAtOnce(request *scheduling.Request) *problem.Problem {
	if c.snapshot == nil {
		return problem.New(problem.TypeNotReady, http.StatusServiceUnavailable, problem.NotRun,
			"This instance has not received its configuration.").WithRetryAfter(minRetryAfter)
	}
	if c.draining {
		return problem.New(problem.TypeShuttingDown, http.StatusServiceUnavailable, problem.NotRun,
			"This instance is shutting down.").WithRetryAfter(minRetryAfter)
	}
	if len(c.snapshot.EndpointsOf(request.Service)) == 0 {
		return problem.New(problem.TypeNoEndpoint, http.StatusServiceUnavailable, problem.NotRun,
			"No endpoint is declared for the service "+request.Service+".")
	}
	declared := c.snapshot.Member(request.Member)
	if declared != nil && declared.MaxConcurrentRequests > 0 &&
		c.member(request.Member).inProgress >= declared.MaxConcurrentRequests {
		return problem.New(problem.TypeMemberLimit, http.StatusTooManyRequests, problem.NotRun,
			"The member's limit of concurrent requests is reached.").WithRetryAfter(minRetryAfter)
	}
	if !request.Deadline.After(time.Now()) {
		return c.deadlineProblem("The deadline has passed.", minRetryAfter)
	}
	return nil
}

func (c *Controller) deadlineProblem(detail string, retryAfter time.Duration) *problem.Problem {
	return problem.New(problem.TypeDeadlineUnreachable, http.StatusServiceUnavailable, problem.NotRun, detail).
		WithRetryAfter(retryAfter)
}

func (c *Controller) member(name string) *memberQueue {
	m := c.members[name]
	if m == nil {
		m = newMemberQueue(name)
		c.members[name] = m
	}
	return m
}

func (c *Controller) enqueue(q *modelQueue, w *waiter) {
	q.insert(w)
	c.calls++
	c.bytes += int64(w.request.Bytes)
	c.countWaiting(q, 1)
}

// countWaiting tells who has to know of waiting calls: the fair share, or placement while no copy is loaded.
func (c *Controller) countWaiting(q *modelQueue, delta int) {
	if q.notLoaded {
		c.parts.Demand.Wait(q.key.id, delta)
		return
	}
	c.parts.Shares.Wait(q.member.name, q.key.String(), delta)
}

// dequeue takes a call out of its queue; false when another goroutine did so before.
func (c *Controller) dequeue(w *waiter) bool {
	q := w.queue
	if q == nil {
		return false
	}
	q.remove(w)
	c.calls--
	c.bytes -= int64(w.request.Bytes)
	c.countWaiting(q, -1)
	return true
}

// refuse ends a queued call without running it.
func (c *Controller) refuse(w *waiter, why *problem.Problem) {
	if !c.dequeue(w) {
		return
	}
	c.leave(w.request.Member)
	c.parts.Scope.Tagged(map[string]string{"type": path.Base(string(why.Type))}).Counter("admission_refused").Inc(1)
	w.done <- verdict{problem: why}
}

func (c *Controller) leave(name string) {
	m := c.member(name)
	m.inProgress--
	if m.inProgress == 0 {
		delete(c.members, name)
	}
}

// shedOverflow refuses calls while the queue exceeds its bounds: the member that holds the most of the queue relative to
// its share loses its newest call, so that a burst of one member cannot displace the calls of another.
func (c *Controller) shedOverflow() {
	maxCalls, maxBytes := c.bounds()
	for c.calls > maxCalls || c.bytes > maxBytes {
		victim := c.parts.Order.victim(c, c.bytes > maxBytes)
		c.refuse(victim, problem.New(problem.TypeOverloaded, http.StatusServiceUnavailable, problem.NotRun,
			"The queue of this instance is full.").WithRetryAfter(c.retryAfter(victim.queue)))
	}
}

func (c *Controller) bounds() (calls int, bytes int64) {
	deployment := c.snapshot.Deployment()
	calls, bytes = deployment.QueueRequests, deployment.QueueBytes
	if calls <= 0 {
		calls = defaultQueueRequests
	}
	if bytes <= 0 {
		bytes = defaultQueueBytes
	}
	return calls, bytes
}

func (c *Controller) heaviest(byBytes bool) *memberQueue {
	var heaviest *memberQueue
	var most float64
	for _, m := range c.members {
		weight := float64(m.calls)
		if byBytes {
			weight = float64(m.bytes)
		}
		weight /= c.share(m.name)
		if m.calls > 0 && (heaviest == nil || weight > most || weight == most && m.name < heaviest.name) {
			heaviest, most = m, weight
		}
	}
	return heaviest
}

func (c *Controller) share(member string) float64 {
	declared := c.snapshot.Member(member)
	if declared == nil || declared.Share <= 0 {
		return 1
	}
	return declared.Share
}

func (c *Controller) wait(ctx context.Context, w *waiter) (Ticket, error) {
	timer := time.NewTimer(time.Until(w.latestStart))
	defer timer.Stop()
	select {
	case v := <-w.done:
		return c.result(v)
	case <-ctx.Done():
		return c.abandon(w, func(v verdict) (Ticket, error) {
			v.ticket.Release(Result{Status: Cancelled})
			return nil, ctx.Err()
		}, ctx.Err())
	case <-timer.C:
		return c.abandon(w, c.result,
			c.deadlineProblem("No endpoint had capacity in time for the deadline.", minRetryAfter))
	}
}

// abandon ends the wait of a call. When a verdict was reached at the same moment it is passed to late instead, because a
// granted ticket must not be lost.
func (c *Controller) abandon(w *waiter, late func(verdict) (Ticket, error), reason error) (Ticket, error) {
	c.mu.Lock()
	removed := c.dequeue(w)
	if removed {
		c.leave(w.request.Member)
	}
	c.mu.Unlock()
	if removed {
		return nil, reason
	}
	v := <-w.done
	if v.problem != nil {
		return nil, v.problem
	}
	return late(v)
}

// result records a granted call. It runs in the caller's goroutine, so that a slow log does not hold up other calls.
func (c *Controller) result(v verdict) (Ticket, error) {
	if v.problem != nil {
		return nil, v.problem
	}
	t := v.ticket
	c.parts.Decisions.Add(decisions.Record{
		Kind:    decisions.Routing,
		ID:      t.request.ID,
		Time:    t.granted,
		Subject: t.key.String(),
		Chosen:  t.decision.Chosen,
		Reason:  t.decision.Reason,
		Detail:  t.decision,
	})
	return t, nil
}
