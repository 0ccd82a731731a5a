package endpoints

import (
	"context"
	"sort"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// sweepInterval is the time between two searches for endpoints that this instance has to poll. One goroutine per
// endpoint is not used in a large fleet: with 5,500 endpoints, the timers alone take 4% of a core.
const sweepInterval = 250 * time.Millisecond

// duePoll is an endpoint that this instance has to poll, with the time since the poll was due.
type duePoll struct {
	entry   *entry
	target  engine.Target
	overdue time.Duration
}

// sweep polls due endpoints while reports are shared, until the context ends.
func (r *Registry) sweep(ctx context.Context) {
	credit := 0.0
	for sleep(ctx, sweepInterval) {
		var due []duePoll
		due, credit = r.findDuePolls(credit)
		for _, poll := range due {
			r.setPolling(poll.entry, true)
			r.pollers.Go(func() {
				r.pollOnce(ctx, poll.entry, poll.target)
				r.setPolling(poll.entry, false)
			})
		}
	}
}

// findDuePolls returns the most overdue endpoints to poll now, and the remaining credit. The credit keeps the polls
// within the budget when many endpoints are due by fallback at the same time. findDuePolls takes only the read lock, so
// that lookups of endpoint states do not wait for it.
func (r *Registry) findDuePolls(credit float64) ([]duePoll, float64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.sharesReports() {
		return nil, 0
	}
	budget := r.pollBudget()
	credit = min(credit+budget*sweepInterval.Seconds(), max(1, budget*sweepInterval.Seconds()))
	now := time.Now()
	var due []duePoll
	for _, e := range r.entries {
		if overdue := r.overdueBy(e, now); overdue >= 0 && !e.polling {
			target := engine.Target{Name: e.declared.Name, URL: e.declared.URL}
			due = append(due, duePoll{entry: e, target: target, overdue: overdue})
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].overdue > due[j].overdue })
	count := min(len(due), int(credit))
	return due[:count], credit - float64(count)
}

func (r *Registry) setPolling(e *entry, polling bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.polling = polling
	e.polledAt = time.Now()
}

// overdueBy returns the time since the poll of the endpoint was due. It is negative if the poll is not yet due. The
// caller holds the lock.
func (r *Registry) overdueBy(e *entry, now time.Time) time.Duration {
	fallbackAge := r.fallbackAge(e)
	if fallbackAge == noFallback {
		return -1
	}
	overdue := now.Sub(e.polledAt) - r.pollIntervalLocked(e)
	if fallbackAge == 0 {
		return overdue
	}
	ageStart := e.reportedAt
	if ageStart.Before(e.knownSince) {
		ageStart = e.knownSince
	}
	// After a failed poll the report is still old. The poll interval prevents an immediate retry.
	return min(overdue, now.Sub(ageStart)-fallbackAge)
}
