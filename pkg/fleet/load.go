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
)

// endpointLoad is what is known of an endpoint's load from its statements. It exists once the endpoint has stated a
// WorkPercent; until then the choice of an endpoint uses no stated loads.
type endpointLoad struct {
	// logFactor follows the logarithm of WorkPercent/100, calls the number of running and waiting requests.
	logFactor limit.Track
	calls     limit.Track
	slots     int
	// capacity is that of the endpoint's service.
	capacity *limit.Capacity
	// ownCallsThen is the number of this instance's calls at the time of the latest statement.
	ownCallsThen int
	// ownSample is the latest statement to this instance, to be told to others.
	ownSample LoadSample
	ownAt     time.Time
}

// LoadSample is a statement of an endpoint, as one instance tells it to others.
type LoadSample struct {
	Endpoint EndpointKey
	// Age is the time since the statement.
	Age time.Duration
	// Calls is the number of running and waiting requests.
	Calls       int
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
	l.ownAt, l.ownSample = now, LoadSample{Endpoint: e.key, Calls: calls, WorkPercent: cmp.Or(load.WorkPercent, 100)}
	l.add(&l.ownSample, e.own.Calls(), now)
	if load.Rejected {
		l.capacity.Rejected(calls, load.Slots)
	} else {
		l.capacity.Accepted(calls, load.Slots)
	}
}

// statedLoad returns the record of an endpoint's load, and creates it if necessary. The caller holds the lock.
func (r *Registry) statedLoad(e *Endpoint) *endpointLoad {
	if e.load != nil {
		return e.load
	}
	capacity := r.capacity[e.Service]
	if capacity == nil {
		capacity = &limit.Capacity{}
		r.capacity[e.Service] = capacity
	}
	e.load = &endpointLoad{capacity: capacity}
	return e.load
}

func (l *endpointLoad) add(s *LoadSample, ownCalls int, at time.Time) {
	bounded := min(max(float64(s.WorkPercent)/100, 1/maxWorkFactor), maxWorkFactor)
	l.logFactor.Add(math.Log(bounded), at)
	l.calls.Add(float64(s.Calls), at)
	if _, latest := l.calls.Latest(); latest.Equal(at) {
		l.ownCallsThen = ownCalls
	}
}

// workFactor returns the expected time of work relative to the usual time.
func (l *endpointLoad) workFactor(now time.Time) float64 {
	if l == nil {
		return 1
	}
	return math.Exp(l.logFactor.Predict(0, recentFactor, now))
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
func (e *Endpoint) full(work Work, now time.Time) bool {
	if e.load == nil {
		return false
	}
	calls, limited := e.load.capacity.Calls(cmp.Or(e.load.slots, e.Slots))
	return limited && e.load.expectedCalls(work, e.own.Calls(), now)+1 > calls
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

// maxToldLoads bounds the endpoints whose loads one message tells.
const maxToldLoads = 8

// LoadsSince returns the latest statements to this instance after a time, of at most maxToldLoads endpoints: first those
// whose load differs most from an idle endpoint with the usual speed.
func (r *Registry) LoadsSince(t, now time.Time) []LoadSample {
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
		fullness := float64(sample.Calls) / float64(max(l.slots, e.Slots, 1))
		told = append(told, ranked{sample, math.Abs(math.Log(max(float64(sample.WorkPercent), 1)/100)) + fullness})
	}
	slices.SortFunc(told, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	var samples []LoadSample
	for _, one := range told[:min(len(told), maxToldLoads)] {
		samples = append(samples, one.sample)
	}
	return samples
}

// AddRemoteLoads adds what endpoints have stated to another instance. Those of unknown endpoints are ignored.
func (r *Registry) AddRemoteLoads(samples []LoadSample, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range samples {
		if e := r.byKey[samples[i].Endpoint]; e != nil {
			r.statedLoad(e).add(&samples[i], e.own.Calls(), now.Add(-samples[i].Age))
		}
	}
}
