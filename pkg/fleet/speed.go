package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// EngineSpeed is the speed of an engine, measured from its responses.
type EngineSpeed struct {
	// PrefillPerMs is the number of prompt tokens read per millisecond.
	PrefillPerMs float64
	// StepTime is the time for one token of a running batch without prefill.
	StepTime time.Duration
	// FixedTime is the time to the first token in addition to reading the prompt.
	FixedTime time.Duration
}

// DefaultEngineSpeed is used until responses have been measured. It is the speed of a current accelerator with a 70B
// model.
func DefaultEngineSpeed() EngineSpeed {
	return EngineSpeed{PrefillPerMs: 20, StepTime: 12 * time.Millisecond, FixedTime: 30 * time.Millisecond}
}

// prefillTime returns the time to read prompt tokens.
func (s EngineSpeed) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.PrefillPerMs * float64(time.Millisecond))
}

const (
	// minPrefillTime is the minimum expected prefill time for which a first token is used. Below it, other times
	// dominate.
	minPrefillTime = 50 * time.Millisecond
	// maxDeviation bounds how far one sample counts from the median, in natural logarithms, so that a few slow or stuck
	// responses do not change the estimate much. maxEarlyDeviation is the bound until earlySamples have been measured.
	maxDeviation      = 0.3
	maxEarlyDeviation = 0.5
	earlySamples      = 10
	// maxSlowness bounds the estimates: engines read prompts at most by this factor faster or slower than the default.
	maxSlowness = 8.0
	// slownessDecayTime is the time constant with which samples lose weight, so that an endpoint that gets no more calls
	// because it was slow is tried again.
	slownessDecayTime = 20 * time.Second
	// maxEndpointWeight and maxServiceWeight bound the weight of earlier samples, in samples.
	maxEndpointWeight = 30
	maxServiceWeight  = 60
	// servicePriorWeight and endpointPriorWeight are the weights of the default for a service, and of the service's
	// estimate for one of its endpoints, in samples.
	servicePriorWeight  = 1
	endpointPriorWeight = 4
)

// slowness estimates the logarithm of an engine's prefill time relative to the default speed, as a mean of samples.
type slowness struct {
	logSum    float64
	weight    float64
	updatedAt time.Time
}

func (s *slowness) decay(now time.Time) float64 {
	return math.Exp(-max(now.Sub(s.updatedAt), 0).Seconds() / slownessDecayTime.Seconds())
}

// estimate returns the mean of the samples and a prior of the given weight.
func (s *slowness) estimate(prior, priorWeight float64, now time.Time) float64 {
	factor := s.decay(now)
	return (s.logSum*factor + prior*priorWeight) / (s.weight*factor + priorWeight)
}

// add adds samples with a sum. Earlier samples then weigh at most maxWeight.
func (s *slowness) add(logSum, count, maxWeight float64, now time.Time) {
	factor := s.decay(now)
	if s.weight*factor > maxWeight {
		factor = maxWeight / s.weight
	}
	s.logSum = s.logSum*factor + logSum
	s.weight = s.weight*factor + count
	s.updatedAt = now
}

// endpointSlowness estimates the slowness of one engine from its most recent samples. It keeps them as measured: a sample
// that is cut off when it arrives is cut off at the estimate of that time, which may be far from the engine's speed until
// enough samples have arrived, and many instances measure an engine before any of them knows it.
type endpointSlowness struct {
	slowness
	// samples is a ring of at most maxEndpointWeight entries, next the index of the oldest one once it is full.
	samples []slownessSample
	next    int
}

// slownessSample is the mean of some measurements.
type slownessSample struct {
	value  float64
	weight float64
	at     time.Time
}

// add adds a mean of samples, and estimates the mean of all anew: their median, moved by their mean deviation from it,
// where no deviation counts for more than a bound. prior counts in the median, so that the first samples do not change
// the estimate much if they are far from it. It returns the added sample as bounded.
func (s *endpointSlowness) add(value, weight, prior float64, now time.Time) float64 {
	sample := slownessSample{value, min(weight, maxEndpointWeight), now}
	if len(s.samples) < maxEndpointWeight {
		s.samples = append(s.samples, sample)
	} else {
		s.samples[s.next] = sample
		s.next = (s.next + 1) % maxEndpointWeight
	}
	var buffer [maxEndpointWeight + 1]slownessSample
	weighted, sum := buffer[:0], 0.0
	for _, other := range s.samples {
		other.weight *= math.Exp(-max(now.Sub(other.at), 0).Seconds() / slownessDecayTime.Seconds())
		weighted = append(weighted, other)
		sum += other.weight
	}
	deviation := maxDeviation
	if sum < earlySamples {
		deviation = maxEarlyDeviation
	}
	withPrior := append(weighted, slownessSample{value: prior, weight: endpointPriorWeight})
	median := weightedMedian(withPrior)
	bounded := func(value float64) float64 { return min(max(value, median-deviation), median+deviation) }
	// The mean does not contain the prior: whoever asks for the estimate adds the prior of that time.
	boundedSum := -bounded(prior) * endpointPriorWeight
	for _, other := range withPrior {
		boundedSum += bounded(other.value) * other.weight
	}
	s.weight, s.updatedAt = min(sum, maxEndpointWeight), now
	s.logSum = boundedSum / sum * s.weight
	return bounded(value)
}

// weightedMedian returns the weighted median of samples. It sorts them.
func weightedMedian(samples []slownessSample) float64 {
	slices.SortFunc(samples, func(a, b slownessSample) int { return cmp.Compare(a.value, b.value) })
	remaining := 0.0
	for _, s := range samples {
		remaining += s.weight / 2
	}
	for _, s := range samples {
		if remaining -= s.weight; remaining <= 0 {
			return s.value
		}
	}
	return samples[len(samples)-1].value
}

// speedOf returns the speed that belongs to a slowness.
func speedOf(logSlowness float64) EngineSpeed {
	speed := DefaultEngineSpeed()
	speed.PrefillPerMs /= min(max(math.Exp(logSlowness), 1/maxSlowness), maxSlowness)
	return speed
}

// ServiceSpeed returns the estimated speed of a service's engines.
func (r *Registry) ServiceSpeed(service string, now time.Time) EngineSpeed {
	r.mu.Lock()
	defer r.mu.Unlock()
	return speedOf(r.serviceSlowness(service, now))
}

// serviceSlowness returns the estimate for a service. The caller holds the lock.
func (r *Registry) serviceSlowness(service string, now time.Time) float64 {
	s := r.slowness[service]
	if s == nil {
		return 0
	}
	return s.estimate(0, servicePriorWeight, now)
}

// speed returns the estimated speed of the endpoint's engine, given that of its service.
func (e *Endpoint) speed(service EngineSpeed, now time.Time) EngineSpeed {
	if e.slowness.weight == 0 {
		return service
	}
	prior := math.Log(DefaultEngineSpeed().PrefillPerMs / service.PrefillPerMs)
	return speedOf(e.slowness.estimate(prior, endpointPriorWeight, now))
}

// SlownessSamples are measurements of the first tokens of one endpoint.
type SlownessSamples struct {
	Endpoint EndpointKey
	Count    int
	// LogSum is the sum of the natural logarithms of the measured prefill times relative to the default speed.
	LogSum float64
}

// MaxLogSlowness bounds each sample of SlownessSamples.
var MaxLogSlowness = math.Log(maxSlowness) + maxEarlyDeviation

// FirstToken records the time from the send to the first token, without the network. Late requests do not count, because
// their prompts wait for prompts that arrive after them.
func (c *Call) FirstToken(took time.Duration, now time.Time) {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	if c.late || c.tokensAhead == 0 {
		return
	}
	current := c.endpoint.speed(speedOf(c.registry.serviceSlowness(c.endpoint.Service, now)), now)
	if current.prefillTime(c.tokensAhead) < minPrefillTime {
		return
	}
	prefill := max(took-c.otherTime, time.Millisecond)
	sample := math.Log(float64(prefill) / float64(DefaultEngineSpeed().prefillTime(c.tokensAhead)))
	// What the endpoint has stated of its machine counts separately.
	sample -= math.Log(c.endpoint.load.workFactor(took, now))
	sample = min(max(sample, -MaxLogSlowness), MaxLogSlowness)
	c.registry.addSlowness(c.endpoint, sample, 1, now)
	c.registry.ownSlowness.record(now, SlownessSamples{Endpoint: c.endpoint.key, Count: 1, LogSum: sample})
}

// addSlowness adds samples of an endpoint to its estimate and to that of its service. The caller holds the lock.
func (r *Registry) addSlowness(e *Endpoint, logSum float64, count int, now time.Time) {
	bounded := e.slowness.add(logSum/float64(count), float64(count), r.serviceSlowness(e.Service, now), now)
	s := r.slowness[e.Service]
	if s == nil {
		s = &slowness{}
		r.slowness[e.Service] = s
	}
	s.add(bounded*float64(count), float64(count), maxServiceWeight, now)
}

// AddRemoteSlowness adds the measurements of another instance. Those of unknown endpoints are ignored.
func (r *Registry) AddRemoteSlowness(samples []SlownessSamples, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range samples {
		if e := r.byKey[s.Endpoint]; e != nil && s.Count > 0 {
			r.addSlowness(e, s.LogSum, s.Count, now)
		}
	}
}

// SlownessSince returns the measurements of this instance after a time, summed by endpoint.
func (r *Registry) SlownessSince(t time.Time) []SlownessSamples {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := make(map[EndpointKey]int)
	var sums []SlownessSamples
	for _, s := range r.ownSlowness.since(t) {
		at, found := index[s.Endpoint]
		if !found {
			at = len(sums)
			index[s.Endpoint] = at
			sums = append(sums, SlownessSamples{Endpoint: s.Endpoint})
		}
		sums[at].Count += s.Count
		sums[at].LogSum += s.LogSum
	}
	return sums
}
