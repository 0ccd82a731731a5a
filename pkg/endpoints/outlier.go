package endpoints

import (
	"time"

	"go.uber.org/zap"
)

const (
	// failuresToEject is the number of consecutive failed calls after which an endpoint is ejected.
	failuresToEject = 3
	// failedPollsToEject is the number of consecutive failed polls, error statuses not counted, after which an endpoint
	// is ejected.
	failedPollsToEject = 2
	// errorRateToEject is the recent fraction of failed calls from which an endpoint is ejected. It applies after
	// minErrorRateCalls calls. errorRateWeight is the weight of the latest call in the moving average.
	errorRateToEject  = 0.5
	minErrorRateCalls = 10
	errorRateWeight   = 0.1
	// baseEjectionTime is the duration of the first ejection. It doubles with each consecutive ejection up to
	// maxEjectionTime.
	baseEjectionTime = 2 * time.Second
	maxEjectionTime  = time.Minute
)

// outlier is the failure record of one endpoint. The zero value is healthy.
type outlier struct {
	consecutiveFailures int
	errorRate           float64
	calls               int
	// ejections counts the ejections since the last successful probe.
	ejections int
	// ejectedUntil is the end of the ejection, or zero if the endpoint is healthy. After that time, the endpoint is
	// probed until a call succeeds.
	ejectedUntil time.Time
	failedPolls  int
	unreachable  bool
}

func (o *outlier) health(now time.Time) Health {
	switch {
	case o.unreachable || now.Before(o.ejectedUntil):
		return Ejected
	case !o.ejectedUntil.IsZero():
		return Probing
	}
	return Healthy
}

func (o *outlier) recordSuccessfulPoll() {
	o.failedPolls = 0
	o.unreachable = false
}

// recordOutcome updates the failure record after a call and ejects the endpoint if it fails too often.
func (r *Registry) recordOutcome(e *entry, outcome CallOutcome, now time.Time) {
	o := &e.outlier
	switch outcome {
	case CallSucceeded:
		o.recordSuccess(now)
	case CallFailed:
		o.consecutiveFailures++
		o.errorRate += errorRateWeight * (1 - o.errorRate)
		o.calls++
		if o.shouldEject(now) && (!o.ejectedUntil.IsZero() || r.mayEject(e)) {
			o.eject(now)
			r.log.Warn("endpoint ejected: calls failed", zap.String("endpoint", e.declared.Name),
				zap.Int("consecutive", o.consecutiveFailures), zap.Float64("errorRate", o.errorRate), zap.Time("until", o.ejectedUntil))
		}
	}
}

func (o *outlier) recordSuccess(now time.Time) {
	switch o.health(now) {
	case Ejected:
		// The call was sent before the ejection.
	case Probing:
		// The record is reset, since the previous error rate would eject the endpoint again at its next failure.
		*o = outlier{failedPolls: o.failedPolls, unreachable: o.unreachable}
	default:
		o.consecutiveFailures = 0
		o.errorRate -= errorRateWeight * o.errorRate
		o.calls++
	}
}

func (o *outlier) shouldEject(now time.Time) bool {
	switch o.health(now) {
	case Ejected:
		// A call that was sent before the ejection does not extend it.
		return false
	case Probing:
		return true
	}
	return o.consecutiveFailures >= failuresToEject || o.calls >= minErrorRateCalls && o.errorRate >= errorRateToEject
}

func (o *outlier) eject(now time.Time) {
	duration := min(maxEjectionTime, baseEjectionTime<<min(o.ejections, 10))
	o.ejections++
	o.ejectedUntil = now.Add(duration)
}

// mayEject reports whether the endpoint may be ejected. For each of its artifacts, or for its plain service, at most
// half of the endpoints may be ejected, including this one. If more fail, they more likely have a common cause, and
// some endpoints must remain for calls.
func (r *Registry) mayEject(e *entry) bool {
	if e.plain {
		return atMostHalfEjected(r.byService[e.declared.Service], e)
	}
	for _, key := range e.loadedArtifacts() {
		if !atMostHalfEjected(r.byArtifact[key], e) {
			return false
		}
	}
	return true
}

func atMostHalfEjected(list []*entry, e *entry) bool {
	unavailable := 1
	for _, other := range list {
		if other != e && (other.outlier.unreachable || !other.outlier.ejectedUntil.IsZero()) {
			unavailable++
		}
	}
	return 2*unavailable <= len(list)
}
