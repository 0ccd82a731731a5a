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
	// dispatchInterval is the shortest time between two dispatches of all waiting calls after endpoints changed. It
	// bounds the cost when many models wait. New calls and ends of calls are dispatched immediately.
	dispatchInterval = 50 * time.Millisecond
	// maxIdleIntervals is the number of intervals without a reported change after which a dispatch runs nevertheless.
	// It covers conditions that end merely because time passes, such as an ejection or an empty link budget.
	maxIdleIntervals = 4
	// defaultQueueRequests and defaultQueueBytes apply to a deployment that declares no limits.
	defaultQueueRequests = 1000
	defaultQueueBytes    = 64 << 20
	// minRetryAfter is the lower bound of Retry-After in a refusal.
	minRetryAfter = time.Second
)

// Dependencies are the components that a Controller uses.
type Dependencies struct {
	Registry  *endpoints.Registry
	Pipeline  *scheduling.Pipeline
	Demand    *demand.Tracker
	Shares    *fairshare.Accountant
	Decisions *decisions.Recorder
	// Order selects the next waiting call to start; nil means FairOrder.
	Order Order
	// Link is charged for calls to other regions; nil means that there is no region link.
	Link *scheduling.Link
	// Prefixes records the endpoint of each started call; nil means that cached prefixes are not tracked.
	Prefixes *scheduling.PrefixIndex
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
}

// Controller implements Gate. It is safe for concurrent use.
type Controller struct {
	deps Dependencies
	// endpointsChanged is true when endpoints changed after the last dispatch of all waiting calls.
	endpointsChanged atomic.Bool

	mu           sync.Mutex
	snapshot     *config.Snapshot // nil before the first Apply
	draining     bool
	members      map[string]*memberQueue
	waitingCalls int
	waitingBytes int64
	sequence     uint64
	// running counts the started calls of this instance per model.
	running    map[modelKey]int
	statistics map[modelKey]*modelStatistics
}

var _ Gate = (*Controller)(nil)

// NewController returns a controller that refuses calls until the first Apply. It registers with Registry.OnChange.
func NewController(deps Dependencies) *Controller {
	if deps.Scope == nil {
		deps.Scope = tally.NoopScope
	}
	if deps.Order == nil {
		deps.Order = FairOrder{}
	}
	c := &Controller{
		deps:       deps,
		members:    make(map[string]*memberQueue),
		running:    make(map[modelKey]int),
		statistics: make(map[modelKey]*modelStatistics),
	}
	deps.Registry.OnChange(c.markEndpointsChanged)
	return c
}

// Apply sets the configuration snapshot and the members' shares. The caller applies the snapshot to the registry
// separately.
func (c *Controller) Apply(snapshot *config.Snapshot) {
	shares := make(map[string]float64)
	for _, m := range snapshot.Records().Members {
		shares[m.Name] = m.Share
	}
	c.deps.Shares.SetShares(shares)
	c.mu.Lock()
	previous := c.snapshot
	c.snapshot = snapshot
	for key := range c.statistics {
		if !isDeclared(snapshot, key) {
			delete(c.statistics, key)
		}
	}
	c.mu.Unlock()
	c.removePrefixes(previous, snapshot)
	c.markEndpointsChanged()
}

func isDeclared(snapshot *config.Snapshot, key modelKey) bool {
	if key.id == "" {
		return snapshot.Service(key.service) != nil
	}
	return snapshot.Model(key.id) != nil || snapshot.Adapter(key.id) != nil
}

// removePrefixes drops the cached prefixes of endpoints that the current snapshot no longer declares.
func (c *Controller) removePrefixes(previous, current *config.Snapshot) {
	if c.deps.Prefixes == nil || previous == nil {
		return
	}
	for _, e := range previous.Records().Endpoints {
		if current.Endpoint(e.Name) == nil {
			c.deps.Prefixes.RemoveEndpoint(e.Name)
		}
	}
}

// Drain makes Acquire refuse new calls. Calls that already wait can still start.
func (c *Controller) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// Run starts waiting calls when endpoints change. It returns when the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for idleIntervals := 0; ; idleIntervals++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !c.endpointsChanged.Swap(false) && idleIntervals < maxIdleIntervals {
			continue
		}
		idleIntervals = 0
		c.mu.Lock()
		c.updateLinkRate()
		c.dispatch(allModels)
		c.mu.Unlock()
	}
}

// updateLinkRate allots this instance an equal fraction of the declared capacity of the region link.
func (c *Controller) updateLinkRate() {
	if c.deps.Link == nil || c.snapshot == nil {
		return
	}
	bits := c.snapshot.Deployment().RegionLinkBitsPerSecond
	c.deps.Link.Budget.SetRate(bits / int64(c.deps.Registry.Instances()))
}

func (c *Controller) markEndpointsChanged() {
	c.endpointsChanged.Store(true)
}

// Acquire implements Gate.
func (c *Controller) Acquire(ctx context.Context, request scheduling.Request) (Ticket, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if request.Deadline.IsZero() {
		request.Deadline = time.Now().Add(defaultDeadline)
	}
	w, refusal := c.submit(request)
	if refusal != nil {
		return nil, refusal
	}
	return c.awaitGrant(ctx, w)
}

// submit queues the call and starts it at once if an endpoint has capacity. A call that cannot finish in time is
// refused.
func (c *Controller) submit(request scheduling.Request) (*waiter, *problem.Problem) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if refusal := c.checkRequest(&request); refusal != nil {
		return nil, refusal
	}
	if len(request.Exclude) == 0 {
		c.deps.Demand.RecordArrival(keyOf(&request).id, request.InputTokens+request.OutputTokens)
	}
	c.sequence++
	w := &waiter{
		request:    request,
		key:        keyOf(&request),
		sequence:   c.sequence,
		enqueuedAt: time.Now(),
		result:     make(chan waitResult, 1),
	}
	if model := c.snapshot.Model(request.Model); model != nil {
		w.firstTokenDue = w.enqueuedAt.Add(targetOrDefault(model.FirstTokenTargetMs, config.DefaultFirstTokenTarget))
	}
	w.latestStart = request.Deadline.Add(-c.statisticsOf(w.key).expectedDuration(&request))
	member := c.member(request.Member)
	member.inProgress++
	c.enqueue(member.queueFor(w.key), w)
	// Only this model's queues need a dispatch; the conditions of other models did not change.
	c.dispatch(func(key modelKey) bool { return key == w.key })
	c.refuseIfDeadlineUnreachable(w)
	c.shedOverflow()
	return w, nil
}

// refuseIfDeadlineUnreachable refuses a queued call whose expected wait leaves too little time before its deadline. It
// uses reservedDuration, a cautious estimate. Under lasting overload every admitted call waits nearly as long as it
// may. With the mean duration as the estimate, half of the calls would start and still miss their deadline, which
// wastes their capacity.
func (c *Controller) refuseIfDeadlineUnreachable(w *waiter) {
	q := w.queue
	if q == nil {
		return
	}
	position, firstToStart := slices.Index(q.waiters, w), c.deps.Order.firstToStart(q, time.Now())
	wait := c.expectedWait(q, (position-firstToStart+len(q.waiters))%len(q.waiters))
	if q.notLoaded {
		// The load time of a model is unknown here, so the call may wait as long as it can still finish.
		wait = 0
	}
	remaining := time.Until(w.request.Deadline)
	if wait+c.statisticsOf(w.key).reservedDuration(&w.request, remaining) > remaining {
		c.refuse(w, c.deadlineProblem("The request cannot finish before its deadline.", c.retryAfter(q)))
	}
}

func (c *Controller) checkRequest(request *scheduling.Request) *problem.Problem {
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
	c.waitingCalls++
	c.waitingBytes += int64(w.request.Bytes)
	c.updateWaitingCounts(q, 1)
}

// updateWaitingCounts reports a change of the number of waiting calls to the fair-share accountant, or to the demand
// tracker while no copy of the model is loaded.
func (c *Controller) updateWaitingCounts(q *modelQueue, delta int) {
	if q.notLoaded {
		c.deps.Demand.AddWaiting(q.key.id, delta)
		return
	}
	c.deps.Shares.AddWaiting(q.member.name, q.key.String(), delta)
}

// dequeue removes a call from its queue. It returns false if the call was removed before.
func (c *Controller) dequeue(w *waiter) bool {
	q := w.queue
	if q == nil {
		return false
	}
	q.remove(w)
	c.waitingCalls--
	c.waitingBytes -= int64(w.request.Bytes)
	c.updateWaitingCounts(q, -1)
	return true
}

// refuse removes a call from its queue and ends it with a problem.
func (c *Controller) refuse(w *waiter, reason *problem.Problem) {
	if !c.dequeue(w) {
		return
	}
	c.endCall(w.request.Member)
	c.deps.Scope.Tagged(map[string]string{"type": path.Base(string(reason.Type))}).Counter("admission_refused").Inc(1)
	w.result <- waitResult{problem: reason}
}

func (c *Controller) endCall(member string) {
	m := c.member(member)
	m.inProgress--
	if m.inProgress == 0 {
		delete(c.members, member)
	}
}

// shedOverflow refuses calls while the queue exceeds its limits. FairOrder selects a call of the member whose queued
// calls or bytes are the most relative to its share, so that a burst of one member cannot displace calls of another.
func (c *Controller) shedOverflow() {
	maxCalls, maxBytes := c.queueLimits()
	for c.waitingCalls > maxCalls || c.waitingBytes > maxBytes {
		victim := c.deps.Order.victim(c, c.waitingBytes > maxBytes)
		c.refuse(victim, problem.New(problem.TypeOverloaded, http.StatusServiceUnavailable, problem.NotRun,
			"The queue of this instance is full.").WithRetryAfter(c.retryAfter(victim.queue)))
	}
}

func (c *Controller) queueLimits() (maxCalls int, maxBytes int64) {
	deployment := c.snapshot.Deployment()
	maxCalls, maxBytes = deployment.QueueRequests, deployment.QueueBytes
	if maxCalls <= 0 {
		maxCalls = defaultQueueRequests
	}
	if maxBytes <= 0 {
		maxBytes = defaultQueueBytes
	}
	return maxCalls, maxBytes
}

// heaviestMember returns the member whose waiting calls or waiting bytes are the most relative to its share.
func (c *Controller) heaviestMember(byBytes bool) *memberQueue {
	var heaviest *memberQueue
	var maxWeight float64
	for _, m := range c.members {
		weight := float64(m.waitingCalls)
		if byBytes {
			weight = float64(m.waitingBytes)
		}
		weight /= c.share(m.name)
		if m.waitingCalls > 0 && (heaviest == nil || weight > maxWeight || weight == maxWeight && m.name < heaviest.name) {
			heaviest, maxWeight = m, weight
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

func (c *Controller) awaitGrant(ctx context.Context, w *waiter) (Ticket, error) {
	timer := time.NewTimer(time.Until(w.latestStart))
	defer timer.Stop()
	select {
	case r := <-w.result:
		return c.recordGrant(r)
	case <-ctx.Done():
		return c.cancelWait(w, func(r waitResult) (Ticket, error) {
			r.ticket.Release(Result{Status: Cancelled})
			return nil, ctx.Err()
		}, ctx.Err())
	case <-timer.C:
		return c.cancelWait(w, c.recordGrant,
			c.deadlineProblem("No endpoint had capacity in time for the deadline.", minRetryAfter))
	}
}

// cancelWait removes a call from its queue and returns reason as the error. If the call was granted a ticket first,
// cancelWait passes the ticket to onResult instead, so that its capacity is not leaked.
func (c *Controller) cancelWait(w *waiter, onResult func(waitResult) (Ticket, error), reason error) (Ticket, error) {
	c.mu.Lock()
	removed := c.dequeue(w)
	if removed {
		c.endCall(w.request.Member)
	}
	c.mu.Unlock()
	if removed {
		return nil, reason
	}
	r := <-w.result
	if r.problem != nil {
		return nil, r.problem
	}
	return onResult(r)
}

// recordGrant adds the decision to the decision log. It runs in the caller's goroutine, so that a slow log does not
// delay other calls.
func (c *Controller) recordGrant(r waitResult) (Ticket, error) {
	if r.problem != nil {
		return nil, r.problem
	}
	t := r.ticket
	c.deps.Decisions.Add(decisions.Record{
		Kind:    decisions.Routing,
		ID:      t.request.ID,
		Time:    t.grantedAt,
		Subject: t.key.String(),
		Chosen:  t.decision.Chosen,
		Reason:  t.decision.Reason,
		Detail:  t.decision,
	})
	return t, nil
}
