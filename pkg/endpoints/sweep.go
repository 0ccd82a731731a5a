package endpoints

import (
	"context"
	"sort"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// sweepInterval is how often a large fleet is searched for endpoints that this instance has to poll. A goroutine for each
// of 5,500 endpoints took 4% of a core for timers alone.
const sweepInterval = 250 * time.Millisecond

// overdue is an endpoint that this instance has to poll, and for how long.
type overdue struct {
	entry  *entry
	target engine.Target
	by     time.Duration
}

// sweep polls the endpoints that are due while the fleet shares reports, until the context ends.
func (r *Registry) sweep(ctx context.Context) {
	credit := 0.0
	for sleep(ctx, sweepInterval) {
		var late []overdue
		late, credit = r.findOverdue(credit)
		for _, o := range late {
			r.setPolling(o.entry, true)
			r.pollers.Go(func() {
				r.pollOnce(ctx, o.entry, o.target)
				r.setPolling(o.entry, false)
			})
		}
	}
}

// findOverdue returns the endpoints to poll now, the most overdue ones, and the rest of the credit. The credit keeps the
// polls under the budget when many endpoints need the fallback at once. It only reads, so that calls do not wait for it.
func (r *Registry) findOverdue(credit float64) ([]overdue, float64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.shares() {
		return nil, 0
	}
	budget := r.pollBudget()
	credit = min(credit+budget*sweepInterval.Seconds(), max(1, budget*sweepInterval.Seconds()))
	now := time.Now()
	var late []overdue
	for _, e := range r.entries {
		if by := r.overdueBy(e, now); by >= 0 && !e.polling {
			target := engine.Target{Name: e.declared.Name, URL: e.declared.URL}
			late = append(late, overdue{entry: e, target: target, by: by})
		}
	}
	sort.Slice(late, func(i, j int) bool { return late[i].by > late[j].by })
	count := min(len(late), int(credit))
	return late[:count], credit - float64(count)
}

func (r *Registry) setPolling(e *entry, polling bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.polling = polling
	e.polledAt = time.Now()
}

// overdueBy returns how long ago this instance had to poll the endpoint; it is negative before that time. The caller holds
// the lock.
func (r *Registry) overdueBy(e *entry, now time.Time) time.Duration {
	age := r.fallbackAge(e)
	if age == never {
		return -1
	}
	by := now.Sub(e.polledAt) - r.pollIntervalLocked(e)
	if age == 0 {
		return by
	}
	known := e.reportedAt
	if known.Before(e.since) {
		known = e.since
	}
	// A poll that failed leaves the report old; it is not repeated at once.
	return min(by, now.Sub(known)-age)
}
