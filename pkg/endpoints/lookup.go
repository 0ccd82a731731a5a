package endpoints

import "time"

// unreachableAfterPolls is the number of poll intervals without a report after which an endpoint is unreachable.
const unreachableAfterPolls = 4

// sharedUnreachableAfter is the minimum time without a report after which an endpoint is unreachable when polls are
// shared. It leaves the next poller time to take over.
const sharedUnreachableAfter = 2 * reportFallbackAge

// State returns the state of the endpoint and reports whether the endpoint is declared.
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

// Unreachable reports whether the endpoint has no recent load report. An endpoint without any report is unreachable.
func (r *Registry) Unreachable(name string) bool {
	r.mu.RLock()
	e := r.entries[name]
	r.mu.RUnlock()
	if e == nil {
		return true
	}
	maxAge := unreachableAfterPolls * r.pollInterval(e)
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.sharesReports() {
		maxAge = max(maxAge, sharedUnreachableAfter)
	}
	return e.report == nil || time.Since(e.reportedAt) > maxAge
}
