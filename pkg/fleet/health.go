package fleet

import "time"

const (
	// failuresToEject is the number of consecutive failures after which an endpoint is avoided.
	failuresToEject = 2
	// firstEjection is the duration of the first ejection; each further ejection doubles it up to maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 8 * time.Second
	// failureWeight is the weight of one call in the moving average FailureShare.
	failureWeight = 0.1
)

// Health tracks an endpoint's failures. It depends only on the results of calls, not on the endpoint's announcements.
type Health struct {
	consecutiveFailures int
	ejections           int
	// FailureShare is the moving average of the share of calls that failed because of the endpoint.
	FailureShare float64
	avoidUntil   time.Time
}

// Failed records a call that failed because of the endpoint: a connection error, an incomplete response or a reset.
func (h *Health) Failed(now time.Time) {
	h.consecutiveFailures++
	h.FailureShare += failureWeight * (1 - h.FailureShare)
	if h.consecutiveFailures < failuresToEject {
		return
	}
	h.eject(now)
}

// Unreachable records a failed connection attempt. One such failure is enough to avoid the endpoint.
func (h *Health) Unreachable(now time.Time) {
	h.consecutiveFailures = max(h.consecutiveFailures+1, failuresToEject)
	h.FailureShare += failureWeight * (1 - h.FailureShare)
	h.eject(now)
}

func (h *Health) eject(now time.Time) {
	if now.Before(h.avoidUntil) {
		return
	}
	duration := min(firstEjection<<min(h.ejections, 8), maxEjection)
	h.avoidUntil = now.Add(duration)
	h.ejections++
}

// Succeeded records a complete response.
func (h *Health) Succeeded() {
	h.consecutiveFailures = 0
	h.ejections = 0
	h.FailureShare -= failureWeight * h.FailureShare
	h.avoidUntil = time.Time{}
}

// Avoided reports whether the endpoint should get no calls now.
func (h *Health) Avoided(now time.Time) bool {
	return now.Before(h.avoidUntil)
}
