package endpoints

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// peakPrefillRateDecay is applied to the peak prefill rate with each report, so that a rate that is no longer reached
// is dropped within minutes.
const peakPrefillRateDecay = 0.998

// ServiceLoad is the response of a replica of a plain service to GET /load.
type ServiceLoad struct {
	Running    int  `json:"running"`
	Waiting    int  `json:"waiting"`
	MaxRunning int  `json:"maxRunning"`
	Leaving    bool `json:"leaving"`
}

// LoadReader reads the load of a replica of a plain service.
type LoadReader interface {
	// Load returns the response to GET /load. Its errors are those of engine.Reporter.
	Load(ctx context.Context, target engine.Target) (ServiceLoad, error)
}

// startPoller starts the poll goroutine of an endpoint if Run is active. If reports are shared, sweep polls the
// endpoint instead. The caller holds the lock.
func (r *Registry) startPoller(e *entry) {
	if r.ctx == nil || e.stop != nil || r.sharesReports() {
		return
	}
	ctx, stop := context.WithCancel(r.ctx)
	e.stop = stop
	target := engine.Target{Name: e.declared.Name, URL: e.declared.URL}
	r.pollers.Go(func() {
		defer stop()
		r.pollLoop(ctx, e, target)
	})
}

func (r *Registry) pollLoop(ctx context.Context, e *entry, target engine.Target) {
	wait := r.initialPollDelay(e)
	for sleep(ctx, wait) {
		if r.stopPollerIfShared(e) {
			return
		}
		r.pollOnce(ctx, e, target)
		wait = r.pollInterval(e)
	}
}

// stopPollerIfShared reports whether the poll goroutine of the endpoint must end because reports are now shared.
func (r *Registry) stopPollerIfShared(e *entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.sharesReports() {
		return false
	}
	e.stop = nil
	return true
}

// sleep waits for the duration. It returns false if the context has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// initialPollDelay returns the delay of the first poll. In a large fleet it spreads the first polls over one interval.
func (r *Registry) initialPollDelay(e *entry) time.Duration {
	interval := r.pollInterval(e)
	if interval <= r.options.ReportInterval {
		return 0
	}
	return time.Duration(e.hash % uint64(interval))
}

// pollInterval returns the time between two polls of the endpoint. The interval is longer than ReportInterval if the
// polls would exceed the budget. For endpoints with calls of this instance, whose state matters most, it is longer only
// if the polls of these endpoints alone would exceed the budget.
func (r *Registry) pollInterval(e *entry) time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.pollIntervalLocked(e)
}

// pollIntervalLocked is pollInterval for callers that hold the lock. For an instance that shares the polls with others,
// the interval depends on its fraction of the endpoints of its data centre. An instance that is alone in its data
// centre polls endpoints with its own calls more often.
func (r *Registry) pollIntervalLocked(e *entry) time.Duration {
	polledCount := len(r.entries)
	switch {
	case r.sharesReports() && len(r.peerPollers) > 0:
		polledCount = r.localCount / (len(r.peerPollers) + 1)
	case e.ownInFlight > 0:
		polledCount = r.inUseCount
	case r.sharesReports():
		polledCount = r.localCount
	}
	stretchedInterval := time.Duration(float64(polledCount) / r.pollBudget() * float64(time.Second))
	return max(r.options.ReportInterval, stretchedInterval)
}

func (r *Registry) pollOnce(ctx context.Context, e *entry, target engine.Target) {
	callCtx, cancel := context.WithTimeout(ctx, r.options.ReportTimeout)
	defer cancel()
	report, err := r.readReport(callCtx, e, target)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.log.Warn("load report could not be read", zap.String("endpoint", target.Name), zap.Error(err))
		r.recordFailedPoll(e, err)
		return
	}
	newIncarnation := r.acceptOwnReport(e, &report)
	r.onChange()
	switch {
	case r.events == nil || e.plain:
	case r.shouldReadEvents(e):
		r.readEvents(callCtx, e, target, report.Incarnation)
	case newIncarnation:
		r.resetCacheState(target.Name, report.Incarnation)
	}
}

// acceptOwnReport stores the report of an own poll. It reports whether the incarnation differs from that of the
// previous report.
func (r *Registry) acceptOwnReport(e *entry, report *engine.Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	newIncarnation := e.report == nil || e.report.Incarnation != report.Incarnation
	r.replaceReport(e, report, time.Now())
	e.outlier.recordSuccessfulPoll()
	e.reportIsOwn = true
	e.ownPolledAt = e.reportedAt
	return newIncarnation
}

// replaceReport stores a report and updates the artifact index. The caller holds the lock.
func (r *Registry) replaceReport(e *entry, report *engine.Report, polledAt time.Time) {
	if e.report != nil && e.report.Incarnation != report.Incarnation {
		e.resetProcessState()
	}
	if r.entries[e.declared.Name] == e && !sameArtifacts(e.report, report) {
		r.removeFromArtifactIndex(e)
		defer r.addToArtifactIndex(e)
	}
	e.report = report
	e.reportedAt = polledAt
	e.ownInFlightAtReport = e.ownInFlight
	e.peakPrefillRate = max(e.peakPrefillRate*peakPrefillRateDecay, report.PrefillTokensPerSecond)
}

// resetProcessState discards the measurements of a process that was replaced. It keeps the results of this instance's
// polls: another instance may have read the report of the new process while this one still cannot reach it.
func (e *entry) resetProcessState() {
	e.outlier = outlier{failedPolls: e.outlier.failedPolls, unreachable: e.outlier.unreachable}
	e.limiter = limiter{}
	e.betweenTokens = movingAverage{}
	e.duration = movingAverage{}
	e.peakPrefillRate = 0
}

// recordFailedPoll counts a failed poll. An error status is not counted, because it shows that the process accepts
// connections and only the report is faulty.
func (r *Registry) recordFailedPoll(e *entry, err error) {
	var status *engine.StatusError
	if errors.As(err, &status) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.ownPolledAt = time.Now()
	e.outlier.failedPolls++
	if e.outlier.failedPolls >= failedPollsToEject {
		r.ejectUnreachable(e)
	}
}

// ejectUnreachable ejects an endpoint whose reports cannot be read, if mayEject allows it. The caller holds the lock.
func (r *Registry) ejectUnreachable(e *entry) {
	if e.outlier.unreachable || !r.mayEject(e) {
		return
	}
	e.outlier.unreachable = true
	r.log.Warn("endpoint ejected: reports cannot be read", zap.String("endpoint", e.declared.Name))
}

func (r *Registry) readEvents(ctx context.Context, e *entry, target engine.Target, incarnation string) {
	events, err := r.reporter.CacheEvents(ctx, target, r.events.LastSequence(target.Name, incarnation))
	if err != nil {
		r.log.Debug("cache events could not be read", zap.String("endpoint", target.Name), zap.Error(err))
		return
	}
	r.events.Apply(target.Name, incarnation, events)
}

// shouldReadEvents reports whether cache events of the endpoint are read. An instance that shares polls regularly polls
// only some of the endpoints, and incomplete events are not worth their traffic. It therefore reads the events of
// endpoints with its own calls only.
func (r *Registry) shouldReadEvents(e *entry) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return !r.sharesReports() || e.ownInFlight > 0
}

func (r *Registry) readReport(ctx context.Context, e *entry, target engine.Target) (engine.Report, error) {
	if !e.plain {
		return r.reporter.Report(ctx, target)
	}
	load, err := r.loads.Load(ctx, target)
	if err != nil {
		return engine.Report{}, err
	}
	return engine.Report{
		Running:    load.Running,
		Waiting:    load.Waiting,
		MaxRunning: load.MaxRunning,
		Leaving:    load.Leaving,
	}, nil
}
