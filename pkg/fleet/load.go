package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/limit"
)

// StatedLoad is the load that an endpoint states in the header of a response. The zero value means that it states none.
type StatedLoad struct {
	Running int
	Waiting int
	Slots   int
	// WorkPercent is the time that work takes on the endpoint's machine at this moment, in per cent of the usual time; zero
	// means that the endpoint does not state it.
	WorkPercent int
	// Rejected is set if the response says that the endpoint did not run the request because it wants no more work.
	Rejected bool
}

const (
	// recentFactor is the time for which a stated WorkPercent describes the moment. It changes many times a second.
	recentFactor = 300 * time.Millisecond
	// recentCalls is the time for which the stated number of calls of an engine is more accurate than what the instances
	// tell each other of theirs.
	recentCalls = time.Second
	// maxWorkFactor bounds the factor by which work is expected to be slower or faster than usual.
	maxWorkFactor = 20.0
	// rejectionTime is the time for which an endpoint that rejected a call gets none, unless it has fewer calls than then.
	rejectionTime = time.Second
	// maxOvertakingShare bounds the share of an engine's time that is expected to go to prompts before those of late requests.
	maxOvertakingShare = 0.9
	// usualServiceTime is the expected time of a plain call until responses have been measured.
	usualServiceTime = 15 * time.Millisecond
	// limitReportInterval is the minimum time between two reported changes of an endpoint's limit, and maxLimitChanges the
	// number of changes that are kept until they are taken.
	limitReportInterval = time.Second
	maxLimitChanges     = 32
	// spreadExponent is the power of the cost with which the probability of a plain endpoint falls.
	spreadExponent = 2
)

// endpointLoad is what is known of an endpoint's load from its statements. It exists once an endpoint of the service has
// stated a WorkPercent; until then the choice of an endpoint uses no stated loads.
type endpointLoad struct {
	// logFactor follows the logarithm of WorkPercent/100, calls the number of running and waiting requests.
	logFactor limit.Track
	calls     limit.Track
	slots     int
	// capacity is that of the endpoint's service.
	capacity *limit.Capacity
	// ownCallsThen is the number of this instance's calls at the time of the latest statement.
	ownCallsThen int
	// rejectedCalls is the number of calls that the endpoint stated in its latest rejection, rejectedAt the time of that.
	rejectedCalls int
	rejectedAt    time.Time
	// ownSample is the latest statement to this instance, to be told to others.
	ownSample LoadSample
	ownAt     time.Time
	// concurrency is learned from the latencies of a plain endpoint. reportedLimit is the limit of the last LimitChange,
	// reportedAt its time.
	concurrency limit.Concurrency
	// ownSent are the times of this instance's calls in progress at a plain endpoint, the earliest first.
	ownSent       []time.Time
	reportedLimit int
	reportedAt    time.Time
}

// LoadSample is a statement of an endpoint, as one instance tells it to others.
type LoadSample struct {
	Endpoint EndpointKey
	// Age is the time since the statement.
	Age time.Duration
	// Calls is the number of running and waiting requests.
	Calls       int
	WorkPercent int
	// Rejected is set if the endpoint rejected a call.
	Rejected bool
	// Latency is the time of the response of a plain endpoint, without the network; zero for engines and if it is not known.
	Latency time.Duration
}

// LimitChange is a change of the learned limit of an endpoint's concurrent calls or, where an endpoint rejected a call or
// accepted more than the limit, of the limit of all endpoints of its service.
type LimitChange struct {
	Endpoint string
	// Before is zero if there was no limit.
	Before, After int
	Slots         int
	Reason        limit.Reason
	// Calls, Latency and WorkPercent are those of the last response that led to it.
	Calls       int
	Latency     time.Duration
	WorkPercent int
}

// StatedLoad records the load that a run of an endpoint states in a response to this instance.
func (r *Registry) StatedLoad(id string, lifetime int64, load StatedLoad, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[id]
	if e == nil || e.Lifetime != lifetime || load.WorkPercent == 0 && e.load == nil {
		return
	}
	l := r.statedLoad(e)
	l.slots = load.Slots
	calls := load.Running + load.Waiting
	l.ownAt, l.ownSample = now, LoadSample{Endpoint: e.key, Calls: calls, WorkPercent: cmp.Or(load.WorkPercent, 100), Rejected: load.Rejected}
	ownCalls := e.own.Calls()
	if load.Rejected {
		// The rejected call is still counted here, but not by the endpoint.
		ownCalls = max(ownCalls-1, 0)
	}
	l.add(&l.ownSample, ownCalls, now)
	before, limited := l.capacity.Calls(load.Slots, now)
	if !limited {
		before = 0
	}
	reason := limit.Unchanged
	switch {
	case load.Rejected && l.capacity.Rejected(calls, load.Slots, now):
		reason = limit.RejectedWhenFull
	case !load.Rejected && l.capacity.Accepted(calls, load.Slots, now):
		reason = limit.AcceptedMoreCalls
	}
	after, _ := l.capacity.Calls(load.Slots, now)
	r.reportLimit(e, &l.ownSample, reason, int(math.Round(before)), int(math.Round(after)), now)
}

// statedLoad returns the record of an endpoint's load. The first statement of a WorkPercent by an endpoint of a service
// creates the records of all its endpoints, because the costs of those with and without one cannot be compared. The caller
// holds the lock.
func (r *Registry) statedLoad(e *Endpoint) *endpointLoad {
	if r.capacity[e.Service] == nil {
		r.capacity[e.Service] = &limit.Capacity{}
		for _, other := range r.endpoints {
			r.expectStatedLoad(other)
		}
	}
	return e.load
}

// expectStatedLoad creates the record of an endpoint's load if endpoints of its service state a WorkPercent. The caller holds
// the lock.
func (r *Registry) expectStatedLoad(e *Endpoint) {
	if capacity := r.capacity[e.Service]; capacity != nil && e.load == nil {
		e.load = &endpointLoad{capacity: capacity}
	}
}

func (l *endpointLoad) add(s *LoadSample, ownCalls int, at time.Time) {
	bounded := min(max(float64(s.WorkPercent)/100, 1/maxWorkFactor), maxWorkFactor)
	l.logFactor.Add(math.Log(bounded), at)
	l.calls.Add(float64(s.Calls), at)
	switch {
	case s.Rejected && at.After(l.rejectedAt):
		l.rejectedCalls, l.rejectedAt = s.Calls, at
	case !s.Rejected && s.Calls >= l.rejectedCalls && at.After(l.rejectedAt):
		l.rejectedAt = time.Time{}
	}
	if _, latest := l.calls.Latest(); latest.Equal(at) {
		l.ownCallsThen = ownCalls
	}
}

// workFactor returns the expected time of work relative to the usual time, as a mean over work that begins now and takes some
// time.
func (l *endpointLoad) workFactor(duration time.Duration, now time.Time) float64 {
	if l == nil {
		return 1
	}
	return math.Exp(l.logFactor.Predict(0, recentFactor, duration, now))
}

// speedNow returns the expected speed of the endpoint's engine while it reads a number of tokens from now on, given its usual
// speed.
func (e *Endpoint) speedNow(usual EngineSpeed, tokens int, now time.Time) EngineSpeed {
	return usual.slowed(e.load.workFactor(usual.prefillTime(tokens), now))
}

// timeOvertaken returns the time for which a late request waits for prompts that have not arrived yet: an engine reads them
// before those of late requests.
//
// Load pattern: demand near what the engines can read, with late requests that are held until their deadline.
func timeOvertaken(work Work, demand *Demand, keptTokens int, speed EngineSpeed) time.Duration {
	if !demand.Late || work.PrefillTokens <= 0 {
		return 0
	}
	share := float64(work.PrefillRate) / (speed.PrefillPerMs * 1000) * float64(work.UrgentTokens) / float64(work.PrefillTokens)
	share = min(share, maxOvertakingShare)
	return time.Duration(float64(speed.prefillTime(tokensAhead(work, demand, keptTokens))) * share / (1 - share))
}

// expectedCalls returns the expected number of calls at an engine: the stated one and this instance's calls since then, and
// with its age more and more the calls that the instances tell each other.
func (l *endpointLoad) expectedCalls(work Work, ownCalls int, now time.Time) float64 {
	calls, at := l.calls.Latest()
	weight := math.Exp(-max(now.Sub(at), 0).Seconds() / recentCalls.Seconds())
	stated := max(calls+float64(ownCalls-l.ownCallsThen), float64(ownCalls))
	return weight*stated + (1-weight)*float64(work.Calls())
}

// full reports whether the endpoint is expected to reject one more call.
//
// Load pattern: demand above what the engines with a model can run. Each instance knows its own calls at once and those of
// others after some seconds, so that more calls arrive at an engine than it accepts.
//
// Rejections with slots left, for instance because an engine's memory is in use, count for a moment only.
func (e *Endpoint) full(work Work, now time.Time) bool {
	if e.load == nil {
		return false
	}
	expected := e.load.expectedCalls(work, e.own.Calls(), now)
	if now.Sub(e.load.rejectedAt) < rejectionTime && expected+1 > float64(e.load.rejectedCalls) {
		return true
	}
	calls, limited := e.load.capacity.Calls(e.load.slotsOf(e), now)
	return limited && expected+1 > calls
}

// Responded records the time from the send to the whole response of a plain service, without the network. The endpoint's
// load must have been recorded before.
func (c *Call) Responded(took time.Duration, now time.Time) {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	l := c.endpoint.load
	if !c.plain || l == nil || l.ownAt.IsZero() {
		return
	}
	l.ownSample.Latency = max(took, time.Microsecond)
	c.registry.addLatency(c.endpoint, &l.ownSample, now)
}

// endOwn removes a plain call of this instance that was sent at a time.
func (l *endpointLoad) endOwn(sentAt time.Time) {
	if l == nil || sentAt.IsZero() {
		return
	}
	if i := slices.Index(l.ownSent, sentAt); i >= 0 {
		l.ownSent = slices.Delete(l.ownSent, i, i+1)
	}
}

// addLatency adds the latency of a sample to the estimates of an endpoint and its service. The caller holds the lock.
func (r *Registry) addLatency(e *Endpoint, s *LoadSample, at time.Time) {
	l := e.load
	logLatency := math.Log(s.Latency.Seconds()) - math.Log(float64(s.WorkPercent)/100)
	service := r.latency[e.Service]
	if service == nil {
		service = &limit.Track{}
		r.latency[e.Service] = service
	}
	service.Add(l.concurrency.Uncrowded(logLatency, s.Calls, l.slotsOf(e), at), at)
	reason := l.concurrency.Add(logLatency, r.serviceLatency(e.Service, at), s.Calls, l.slotsOf(e), at)
	after := int(math.Round(l.concurrency.Limit(l.slotsOf(e), at)))
	if r.reportLimit(e, s, reason, cmp.Or(l.reportedLimit, l.slotsOf(e)), after, at) {
		l.reportedLimit = after
	}
}

// reportLimit keeps a change of a limit for TakeLimitChanges, unless one of the same endpoint was kept a moment ago. The caller
// holds the lock.
func (r *Registry) reportLimit(e *Endpoint, s *LoadSample, reason limit.Reason, before, after int, at time.Time) bool {
	l := e.load
	if reason == limit.Unchanged || after == before || at.Sub(l.reportedAt) < limitReportInterval || len(r.limitChanges) >= maxLimitChanges {
		return false
	}
	l.reportedAt = at
	r.limitChanges = append(r.limitChanges, LimitChange{
		Endpoint: e.ID, Before: before, After: after, Slots: l.slotsOf(e), Reason: reason, Calls: s.Calls, Latency: s.Latency,
		WorkPercent: s.WorkPercent,
	})
	return true
}

// serviceLatency returns the expected time of a call at the endpoints of a plain service, as the logarithm of seconds. The
// caller holds the lock.
func (r *Registry) serviceLatency(service string, now time.Time) float64 {
	usual := math.Log(usualServiceTime.Seconds())
	if track := r.latency[service]; track != nil {
		return track.Mean(usual, now)
	}
	return usual
}

// TakeLimitChanges returns the changes of learned limits since the last call.
func (r *Registry) TakeLimitChanges() []LimitChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := r.limitChanges
	r.limitChanges = nil
	return changes
}

// LimitedEndpoints returns the number of plain endpoints whose learned limit is below their slots.
func (r *Registry) LimitedEndpoints(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	limited := 0
	for _, e := range r.endpoints {
		if e.load != nil && math.Round(e.load.concurrency.Limit(e.load.slotsOf(e), now)) < float64(e.load.slotsOf(e)) {
			limited++
		}
	}
	return limited
}

// slotsOf returns the number of slots that the endpoint states, or else that of its entry.
func (l *endpointLoad) slotsOf(e *Endpoint) int {
	return max(cmp.Or(l.slots, e.Slots), 1)
}

// expectedPlain returns the expected time of one more call at a plain endpoint. Its calls are so short that only the mean of
// their number is known, except for this instance's own.
//
// Load pattern: endpoints of one service that differ in speed, and some that become slow long before their slots are in use.
// Up to the learned limit a call takes the service time; beyond it, each call delays all others.
func (e *Endpoint) expectedPlain(demand *Demand, now time.Time) time.Duration {
	l := e.load
	serviceTime := math.Exp(l.concurrency.LogLatency(demand.serviceLatency, now))
	serviceTime *= l.workFactor(time.Duration(serviceTime*float64(time.Second)), now)
	recent := time.Duration(serviceTime * float64(time.Second))
	calls := max(l.calls.Predict(0, recent, 0, now), float64(e.own.Calls()))
	crowding := max((calls+1)/l.concurrency.Limit(l.slotsOf(e), now), 1)
	return time.Duration(serviceTime * crowding * float64(time.Second))
}

// overdue returns by how much longer than expected this instance's oldest call at a plain endpoint has taken so far. It counts
// in the comparison of endpoints only: a call without an answer does not show that others get none.
//
// Load pattern: an endpoint that becomes slow in a moment, whose responses say so late.
func (l *endpointLoad) overdue(expected time.Duration, now time.Time) time.Duration {
	if len(l.ownSent) == 0 {
		return 0
	}
	return max(now.Sub(l.ownSent[0])-expected, 0)
}

// spreadCost returns the cost of a plain endpoint for the comparison of endpoints. It is random, so that the lowest cost is
// that of each endpoint with a probability in proportion to its limit of concurrent calls, and in inverse proportion to a power
// of its cost: instances that have the same view then do not all send to the fastest endpoint or to one that has just become
// idle, and a slow one is tried now and then.
func (d *Demand) spreadCost(cost time.Duration, e *Endpoint, now time.Time) time.Duration {
	if d.Random == nil {
		return cost
	}
	// The least of exponentially distributed numbers with different rates is that of each rate with a probability in
	// proportion to it.
	exponential := -math.Log(1-rendezvousFraction(d.draw, e.key)) / e.load.concurrency.Limit(e.load.slotsOf(e), now)
	return time.Duration(float64(cost) * math.Pow(exponential, 1.0/spreadExponent))
}

// slowed returns the speed of an engine on whose machine work takes longer by a factor.
func (s EngineSpeed) slowed(factor float64) EngineSpeed {
	if factor == 1 {
		return s
	}
	s.PrefillPerMs /= factor
	s.StepTime = time.Duration(float64(s.StepTime) * factor)
	s.FixedTime = time.Duration(float64(s.FixedTime) * factor)
	return s
}

// LoadsSince returns the latest statements to this instance after a time, of at most a number of endpoints: first plain ones,
// whose limits the instances learn together, and those that rejected a call, then those whose load differs most from an
// idle endpoint with the usual speed. If essential is set, it returns the former only.
func (r *Registry) LoadsSince(t, now time.Time, count int, essential bool) []LoadSample {
	r.mu.Lock()
	defer r.mu.Unlock()
	type ranked struct {
		sample LoadSample
		rank   float64
	}
	var told []ranked
	for _, e := range r.endpoints {
		l := e.load
		if l == nil || !l.ownAt.After(t) {
			continue
		}
		sample := l.ownSample
		sample.Age = now.Sub(l.ownAt)
		fullness := float64(sample.Calls) / float64(l.slotsOf(e))
		rank := math.Abs(math.Log(float64(sample.WorkPercent)/100)) + fullness
		if sample.Latency > 0 || sample.Rejected {
			rank = math.MaxFloat64
		} else if essential {
			continue
		}
		told = append(told, ranked{sample, rank})
	}
	slices.SortFunc(told, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.sample.Endpoint, b.sample.Endpoint))
	})
	var samples []LoadSample
	for _, one := range told[:min(len(told), count)] {
		samples = append(samples, one.sample)
	}
	return samples
}

// AddRemoteLoads adds what endpoints have stated to another instance. Those of unknown endpoints are ignored.
func (r *Registry) AddRemoteLoads(samples []LoadSample, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range samples {
		e := r.byKey[samples[i].Endpoint]
		if e == nil || samples[i].WorkPercent <= 0 {
			continue
		}
		at := now.Add(-samples[i].Age)
		r.statedLoad(e).add(&samples[i], e.own.Calls(), at)
		if samples[i].Latency > 0 {
			r.addLatency(e, &samples[i], at)
		}
	}
}
