package endpoints

import (
	"time"

	"go.uber.org/zap"
)

const (
	// failuresToEject is the number of consecutive failed calls.
	failuresToEject = 3
	// failedPollsToEject is the number of consecutive polls without an answer.
	failedPollsToEject = 2
	// errorRateToEject is the failed fraction of recent calls, once errorRateCalls calls were seen.
	errorRateToEject = 0.5
	errorRateCalls   = 10
	errorRateGain    = 0.1
	// baseEjection doubles with each ejection in a row up to maxEjection.
	baseEjection = 2 * time.Second
	maxEjection  = time.Minute
)

// outlier is the failure record of one endpoint. The zero value is healthy.
type outlier struct {
	consecutive int
	errorRate   float64
	calls       int
	// ejections counts ejections without a successful call in between.
	ejections int
	// until is the end of the ejection; zero when healthy. After it the endpoint is on probation until a call succeeds.
	until       time.Time
	failedPolls int
	unreachable bool
}

func (o *outlier) health(now time.Time) Health {
	switch {
	case o.unreachable || now.Before(o.until):
		return Ejected
	case !o.until.IsZero():
		return Probing
	}
	return Healthy
}

func (o *outlier) reachable() {
	o.failedPolls = 0
	o.unreachable = false
}

// judge updates the failure record after a call and ejects the endpoint when it fails too often.
func (r *Registry) judge(e *entry, outcome CallOutcome, now time.Time) {
	o := &e.outlier
	switch outcome {
	case CallSucceeded:
		o.succeeded(now)
	case CallFailed:
		o.consecutive++
		o.errorRate += errorRateGain * (1 - o.errorRate)
		o.calls++
		if o.failsTooOften(now) && (!o.until.IsZero() || r.mayEject(e)) {
			o.eject(now)
			r.log.Warn("endpoint ejected: calls failed", zap.String("endpoint", e.declared.Name),
				zap.Int("consecutive", o.consecutive), zap.Float64("errorRate", o.errorRate), zap.Time("until", o.until))
		}
	}
}

func (o *outlier) succeeded(now time.Time) {
	switch o.health(now) {
	case Ejected:
		// The call was sent before the ejection.
	case Probing:
		// The old error rate would eject the endpoint again at its next failure.
		*o = outlier{failedPolls: o.failedPolls, unreachable: o.unreachable}
	default:
		o.consecutive = 0
		o.errorRate -= errorRateGain * o.errorRate
		o.calls++
	}
}

func (o *outlier) failsTooOften(now time.Time) bool {
	switch o.health(now) {
	case Ejected:
		// A call that was sent before the ejection adds nothing to it.
		return false
	case Probing:
		return true
	}
	return o.consecutive >= failuresToEject || o.calls >= errorRateCalls && o.errorRate >= errorRateToEject
}

func (o *outlier) eject(now time.Time) {
	duration := min(maxEjection, baseEjection<<min(o.ejections, 10))
	o.ejections++
	o.until = now.Add(duration)
}

// mayEject tells whether at most half of the endpoints that serve each of the endpoint's artifacts, or its plain service,
// would be out of use. With more failures than that the fault is more likely in common, and calls must still have
// somewhere to go.
func (r *Registry) mayEject(e *entry) bool {
	if e.plain {
		return atMostHalf(r.byService[e.declared.Service], e)
	}
	for _, key := range e.loadedKeys() {
		if !atMostHalf(r.serving[key], e) {
			return false
		}
	}
	return true
}

func atMostHalf(list []*entry, e *entry) bool {
	out := 1
	for _, other := range list {
		if other != e && (other.outlier.unreachable || !other.outlier.until.IsZero()) {
			out++
		}
	}
	return 2*out <= len(list)
}
