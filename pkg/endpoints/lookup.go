package endpoints

import "time"

// missedPolls is the number of poll intervals without a report after which an endpoint counts as unreachable.
const missedPolls = 4

// sharedUnreachable leaves the next poller in order time to take over before an endpoint counts as unreachable.
const sharedUnreachable = 2 * reportFallback

// State returns the state of one endpoint.
func (r *Registry) State(name string) (State, bool) {
	now := time.Now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	e := r.entries[name]
	if e == nil {
		return State{}, false
	}
	return r.state(e, now, r.peersStale(now)), true
}

// Unreachable tells whether the endpoint has no recent load report. An endpoint that was never heard counts as
// unreachable.
func (r *Registry) Unreachable(name string) bool {
	r.mu.RLock()
	e := r.entries[name]
	r.mu.RUnlock()
	if e == nil {
		return true
	}
	limit := missedPolls * r.pollInterval(e)
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.shares() {
		limit = max(limit, sharedUnreachable)
	}
	return e.report == nil || time.Since(e.reportedAt) > limit
}
