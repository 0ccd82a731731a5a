package limit

import (
	"math"
	"time"
)

// Concurrency learns how many calls an endpoint runs without becoming slower. It compares the latency of responses at many
// calls with that at few: additive increase while they are alike, multiplicative decrease otherwise. Latencies are natural
// logarithms of seconds, divided by what the endpoint states of its machine. The zero value knows nothing; its limit is the
// number of slots.
type Concurrency struct {
	// latency follows the latency with few calls.
	latency Track
	limit   float64
	// excess is the mean deviation of the recent latencies with many calls from that with few, over some excessSamples.
	excess float64
	// changedAt is the time of the last change of the limit, relaxedAt that of the last relaxation.
	changedAt, relaxedAt time.Time
}

// Reason is why a limit changed.
type Reason int

// Reasons of a change.
const (
	Unchanged Reason = iota
	// SlowerWithMoreCalls lowers the limit.
	SlowerWithMoreCalls
	// AsFastWithMoreCalls raises the limit.
	AsFastWithMoreCalls
	// RejectedWhenFull and AcceptedMoreCalls change the capacity of a service's endpoints.
	RejectedWhenFull
	AcceptedMoreCalls
)

// String returns the reason for logs.
func (r Reason) String() string {
	return [...]string{"unchanged", "slower with more calls", "as fast with more calls", "rejected when full", "accepted more calls"}[r]
}

const (
	// fewCallsShare is the share of the limit up to which the calls are few. Up to fewCalls within the limit always are:
	// an endpoint with a low limit seldom has one call only.
	fewCallsShare = 1.0 / 3
	fewCalls      = 2
	// tolerated and slow are the factors of the latency up to which it counts as alike, and from which it lowers the limit.
	tolerated = 1.2
	slow      = 1.5
	// excessSamples is the number of latencies that are averaged, because single ones differ by chance.
	excessSamples = 8
	// decrease is the factor and increase the step of a change of the limit. minChangeInterval is the minimum time between
	// two decreases, so that the calls in progress at the first one do not cause a second.
	decrease          = 0.8
	increase          = 0.25
	minChangeInterval = 200 * time.Millisecond
	// relaxTime is the time constant with which a limit returns to the number of slots, so that more calls are tried.
	relaxTime = 10 * time.Second
	// maxDeviation bounds how far one latency counts from the expected one, as a logarithm.
	maxDeviation = 1.5
)

// Limit returns the number of calls that the endpoint runs without becoming slower. It is between one and the slots.
func (c *Concurrency) Limit(slots int, now time.Time) float64 {
	limit := float64(max(slots, 1))
	if c.limit > 0 {
		limit -= max(limit-c.limit, 0) * decay(now.Sub(c.relaxedAt), relaxTime)
	}
	return max(limit, 1)
}

// LogLatency returns the expected latency with few calls. The prior is that of the endpoint's service.
func (c *Concurrency) LogLatency(prior float64, now time.Time) float64 {
	return c.latency.Mean(prior, now)
}

// Uncrowded returns the part of a latency that is not caused by calls beyond the limit.
func (c *Concurrency) Uncrowded(logLatency float64, calls, slots int, at time.Time) float64 {
	return logLatency - math.Log(max(float64(calls)/c.Limit(slots, at), 1))
}

// Add adds the latency of a response while the endpoint had a number of calls. The prior is as for LogLatency.
func (c *Concurrency) Add(logLatency, prior float64, calls, slots int, at time.Time) Reason {
	limit := c.Limit(slots, at)
	if c.limit == 0 || at.After(c.relaxedAt) {
		c.limit, c.relaxedAt = limit, at
	}
	_, known := c.latency.Latest()
	if known.IsZero() {
		c.latency.Add(logLatency, at)
		return Unchanged
	}
	expected := c.latency.Mean(prior, at)
	excess := min(max(logLatency-expected, -maxDeviation), maxDeviation)
	if float64(calls) <= max(limit*fewCallsShare, min(limit, fewCalls)) {
		c.latency.Add(expected+excess, at)
		return Unchanged
	}
	c.excess += (excess - c.excess) / excessSamples
	switch {
	case c.excess > math.Log(slow) && at.Sub(c.changedAt) >= minChangeInterval:
		c.limit = max(min(limit, float64(calls))*decrease, 1)
		c.excess, c.changedAt = 0, at
		return SlowerWithMoreCalls
	case c.excess < math.Log(tolerated) && c.limit < float64(slots) && float64(calls) > limit*(1-fewCallsShare):
		c.limit = min(c.limit+increase, float64(slots))
		c.changedAt = at
		return AsFastWithMoreCalls
	}
	return Unchanged
}
