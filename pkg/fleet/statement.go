package fleet

import (
	"maps"
	"math"
	"time"
)

// Statement is what an endpoint says about itself in the header of a response, whatever the response is about.
type Statement struct {
	// Endpoint is the id of the endpoint that sent the response; empty if the response does not carry it.
	Endpoint string
	// Leaving is set if the endpoint is about to stop.
	Leaving bool
	// RetryAfter is the Retry-After header of a busy endpoint, which wants no calls from this instance for that time; empty
	// if the endpoint is not busy or does not say.
	RetryAfter string
	// Load is the load that the endpoint states.
	Load StatedLoad
}

const (
	// maxProbeTime is the time after which further calls are sent although the probe has not been answered.
	maxProbeTime = time.Second
	// statementRetention is how long statements are kept while their endpoint is not listed. An outdated view of the
	// store may list it again.
	statementRetention = 10 * time.Minute
)

// endpointRun identifies one run of an endpoint.
type endpointRun struct {
	id       string
	lifetime int64
}

// stated is what one run of an endpoint has said about itself. It outlives the endpoint's entry in the store, which may
// be older, disappear and appear again.
type stated struct {
	// leavingSince is when the endpoint first said that it leaves; zero if it has not. An endpoint that has said so never
	// takes calls again.
	leavingSince time.Time
	// heardHere is set if this instance has heard it from the endpoint itself.
	heardHere bool
	// busyUntil is when calls may be sent again, beginning with one probe; zero if the endpoint is not busy.
	busyUntil time.Time
	// probedAt is when the probe was sent; zero if there is none.
	probedAt time.Time
	// updatedAt is the time of the last change.
	updatedAt time.Time
}

// callsAllowedIn returns the time until calls may be sent to the endpoint, and whether only the answer to a probe is
// awaited.
func (s *stated) callsAllowedIn(now time.Time) (wait time.Duration, probing bool) {
	switch {
	case s == nil || s.busyUntil.IsZero():
		return 0, false
	case now.Before(s.busyUntil):
		return s.busyUntil.Sub(now), false
	case !s.probedAt.IsZero() && now.Sub(s.probedAt) < maxProbeTime:
		return maxProbeTime - now.Sub(s.probedAt), true
	}
	return 0, false
}

// beginProbe reports whether a call sent now is the probe at the end of the busy time.
func (s *stated) beginProbe(now time.Time) bool {
	if s == nil || s.busyUntil.IsZero() {
		return false
	}
	s.probedAt = now
	return true
}

// endProbe ends the busy time, unless the endpoint has extended it.
func (s *stated) endProbe(now time.Time) {
	s.probedAt = time.Time{}
	if !now.Before(s.busyUntil) {
		s.busyUntil = time.Time{}
	}
}

// statedBy returns the record of a run, and creates it if necessary. The caller holds the lock.
func (r *Registry) statedBy(run endpointRun, now time.Time) *stated {
	s := r.stated[run]
	if s == nil {
		r.dropOldStatements(now)
		s = &stated{}
		r.stated[run] = s
	}
	if e := r.endpoints[run.id]; e != nil && e.Lifetime == run.lifetime {
		e.stated = s
	}
	s.updatedAt = now
	return s
}

// dropOldStatements drops statements of runs that have not been listed for a while. The caller holds the lock.
func (r *Registry) dropOldStatements(now time.Time) {
	for run, s := range r.stated {
		e := r.endpoints[run.id]
		listed := e != nil && e.Lifetime == run.lifetime
		if !listed && now.Sub(s.updatedAt) >= statementRetention {
			delete(r.stated, run)
		}
	}
}

// StatedLeaving records that a run of an endpoint has said to this instance that it leaves. It returns true the first
// time.
func (r *Registry) StatedLeaving(id string, lifetime int64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := endpointRun{id, lifetime}
	record := r.statedBy(run, now)
	record.heardHere = true
	return r.markLeaving(run, record, now)
}

// KeepLeaving records that endpoints which the store's entries say are leaving, or said so until they were removed, leave
// for the rest of their runs. It is called when the store was restored from an older copy, in which they may not leave yet.
// Other instances are told like of endpoints that have said so themselves. Endpoints whose entries were removed without that
// are only not used for restoreSettleTime, since they may be running.
func (r *Registry) KeepLeaving(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make(map[endpointRun]time.Time)
	maps.DeleteFunc(r.withheld, func(_ endpointRun, until time.Time) bool { return !now.Before(until) })
	for run, d := range r.departed {
		if d.announced {
			runs[run] = d.at
		} else {
			r.withheld[run] = now.Add(restoreSettleTime)
		}
	}
	for id, e := range r.endpoints {
		if e.announcedLeaving {
			runs[endpointRun{id, e.Lifetime}] = now
		}
	}
	for run := range runs {
		record := r.statedBy(run, now)
		record.heardHere = true
		r.markLeaving(run, record, now)
	}
}

// StatedBusy records that a run of an endpoint wants no calls from this instance for a time.
func (r *Registry) StatedBusy(id string, lifetime int64, retryAfter time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.statedBy(endpointRun{id, lifetime}, now)
	if end := now.Add(retryAfter); end.After(record.busyUntil) {
		record.busyUntil = end
	}
	record.probedAt = time.Time{}
	r.signalChange()
}

// markLeaving records that a run of an endpoint leaves. It returns false if that is known. The caller holds the lock.
func (r *Registry) markLeaving(run endpointRun, record *stated, since time.Time) bool {
	if !record.leavingSince.IsZero() {
		return false
	}
	record.leavingSince = since
	if e := r.endpoints[run.id]; e != nil && e.Lifetime == run.lifetime {
		e.Leaving = true
	}
	r.signalChange()
	return true
}

// LeavingRun is a run of an endpoint that has said that it leaves.
type LeavingRun struct {
	ID       string
	Lifetime int64
	// Age is the time since the endpoint said so.
	Age time.Duration
}

// maxLeavingRuns bounds what one instance tells others. During a release, endpoints leave one after the other.
const maxLeavingRuns = 32

// LeavingRuns returns the listed endpoints from which this instance has heard that they leave. The store's list may not
// say so yet.
func (r *Registry) LeavingRuns(now time.Time) []LeavingRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs []LeavingRun
	for run, s := range r.stated {
		e := r.endpoints[run.id]
		if s.heardHere && e != nil && e.Lifetime == run.lifetime && !e.announcedLeaving && len(runs) < maxLeavingRuns {
			runs = append(runs, LeavingRun{ID: run.id, Lifetime: run.lifetime, Age: now.Sub(s.leavingSince)})
		}
	}
	return runs
}

// SetRemoteLeaving records that another instance has heard from endpoints that they leave. It returns those that this
// instance did not know of.
func (r *Registry) SetRemoteLeaving(runs []LeavingRun, now time.Time) []LeavingRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var added []LeavingRun
	for _, run := range runs {
		key := endpointRun{run.ID, run.Lifetime}
		e := r.endpoints[run.ID]
		if e == nil || e.Lifetime != run.Lifetime {
			// The message may be older than this instance's view, or newer; the endpoint itself will say it again.
			continue
		}
		if r.markLeaving(key, r.statedBy(key, now), now.Add(-max(run.Age, 0))) {
			added = append(added, run)
		}
	}
	return added
}

// CallsAllowedIn returns the time until calls may be sent to a run of an endpoint, zero if it is not busy or not known.
func (r *Registry) CallsAllowedIn(id string, lifetime int64, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait, _ := r.stated[endpointRun{id, lifetime}].callsAllowedIn(now)
	return wait
}

// CallsAllowedIn returns the time until calls may be sent to the endpoint, zero if it is not busy.
func (e *Endpoint) CallsAllowedIn(now time.Time) time.Duration {
	wait, _ := e.stated.callsAllowedIn(now)
	return wait
}

// noBusyEndpoint is Choice.CallsAllowedIn if no busy endpoint was met.
const noBusyEndpoint = time.Duration(math.MaxInt64)
