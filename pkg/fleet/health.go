package fleet

import "time"

const (
	// failuresToEject is the number of failures in a row after which an endpoint is avoided.
	failuresToEject = 2
	// firstEjection is how long it is avoided at first; each further ejection doubles it up to maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 8 * time.Second
	// failureWeight is the weight of one call in the moving failure share.
	failureWeight = 0.1
)

// Health judges an endpoint by what it did with calls, whatever it says of itself.
type Health struct {
	consecutive int
	ejections   int
	// FailureShare is a moving share of calls that failed through the endpoint.
	FailureShare float64
	avoidUntil   time.Time
}

// Failed records a call that failed through the endpoint: a connection error, a broken response or a reset.
func (h *Health) Failed(now time.Time) {
	h.consecutive++
	h.FailureShare += failureWeight * (1 - h.FailureShare)
	if h.consecutive < failuresToEject {
		return
	}
	h.eject(now)
}

// Unreachable records that no connection could be established; that alone is reason enough to avoid the endpoint.
func (h *Health) Unreachable(now time.Time) {
	h.consecutive = max(h.consecutive+1, failuresToEject)
	h.FailureShare += failureWeight * (1 - h.FailureShare)
	h.eject(now)
}

func (h *Health) eject(now time.Time) {
	if now.Before(h.avoidUntil) {
		return
	}
	pause := min(firstEjection<<min(h.ejections, 8), maxEjection)
	h.avoidUntil = now.Add(pause)
	h.ejections++
}

// Succeeded records a complete response.
func (h *Health) Succeeded() {
	h.consecutive = 0
	h.ejections = 0
	h.FailureShare -= failureWeight * h.FailureShare
	h.avoidUntil = time.Time{}
}

// Avoided tells whether the endpoint should get no call now.
func (h *Health) Avoided(now time.Time) bool {
	return now.Before(h.avoidUntil)
}
