package endpoints

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// peakDecay lowers the highest seen prefill rate at each report, so that a rate that is no longer reached is forgotten
// within minutes.
const peakDecay = 0.998

// ServiceLoad is what a replica of a plain service answers to GET /load.
type ServiceLoad struct {
	Running    int  `json:"running"`
	Waiting    int  `json:"waiting"`
	MaxRunning int  `json:"maxRunning"`
	Leaving    bool `json:"leaving"`
}

// LoadReader reads the load of a replica of a plain service.
type LoadReader interface {
	// Load reads GET /load. Errors are those of engine.Reporter.
	Load(ctx context.Context, target engine.Target) (ServiceLoad, error)
}

// startPoller starts the goroutine of one endpoint when Run is active. In a fleet that shares reports the sweeper polls
// instead. The caller holds the lock.
func (r *Registry) startPoller(e *entry) {
	if r.ctx == nil || e.stop != nil || r.shares() {
		return
	}
	ctx, stop := context.WithCancel(r.ctx)
	e.stop = stop
	target := engine.Target{Name: e.declared.Name, URL: e.declared.URL}
	r.pollers.Go(func() {
		defer stop()
		r.poll(ctx, e, target)
	})
}

func (r *Registry) poll(ctx context.Context, e *entry, target engine.Target) {
	wait := r.firstPoll(e)
	for sleep(ctx, wait) {
		if r.endPoller(e) {
			return
		}
		r.pollOnce(ctx, e, target)
		wait = r.pollInterval(e)
	}
}

// endPoller tells whether the endpoint's goroutine must end because the fleet now shares reports.
func (r *Registry) endPoller(e *entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.shares() {
		return false
	}
	e.stop = nil
	return true
}

// sleep waits and tells whether the context is still active.
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

// firstPoll spreads the first polls of a large fleet over one interval.
func (r *Registry) firstPoll(e *entry) time.Duration {
	interval := r.pollInterval(e)
	if interval <= r.options.ReportInterval {
		return 0
	}
	return time.Duration(e.hash % uint64(interval))
}

// pollInterval stretches the interval when the polls would exceed the budget: for endpoints with own calls, whose state
// matters most, only when those alone exceed it.
func (r *Registry) pollInterval(e *entry) time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.pollIntervalLocked(e)
}

// pollIntervalLocked is pollInterval for callers that hold the lock. An instance that shares polls counts its part of the
// endpoints of its data centre; one that is alone there polls endpoints with own calls first.
func (r *Registry) pollIntervalLocked(e *entry) time.Duration {
	polled := len(r.entries)
	switch {
	case r.shares() && len(r.candidates) > 0:
		polled = r.local / (len(r.candidates) + 1)
	case e.own > 0:
		polled = r.inUse
	case r.shares():
		polled = r.local
	}
	stretched := time.Duration(float64(polled) / r.pollBudget() * float64(time.Second))
	return max(r.options.ReportInterval, stretched)
}

func (r *Registry) pollOnce(ctx context.Context, e *entry, target engine.Target) {
	callCtx, cancel := context.WithTimeout(ctx, r.options.ReportTimeout)
	defer cancel()
	report, err := r.readReport(callCtx, e, target)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.log.Warn("load report failed", zap.String("endpoint", target.Name), zap.Error(err))
		r.reportFailed(e, err)
		return
	}
	replaced := r.accept(e, &report)
	r.changed()
	switch {
	case r.events == nil || e.plain:
	case r.readsEvents(e):
		r.readEvents(callCtx, e, target, report.Incarnation)
	case replaced:
		r.noteIncarnation(target.Name, report.Incarnation)
	}
}

// accept takes over an own report and tells whether it is of another incarnation than the last one.
func (r *Registry) accept(e *entry, report *engine.Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	replaced := e.report == nil || e.report.Incarnation != report.Incarnation
	r.takeOver(e, report, time.Now())
	e.outlier.reachable()
	e.ownReport = true
	e.triedAt = e.reportedAt
	return replaced
}

// takeOver replaces the report of an endpoint. The caller holds the lock.
func (r *Registry) takeOver(e *entry, report *engine.Report, polledAt time.Time) {
	if e.report != nil && e.report.Incarnation != report.Incarnation {
		e.forgetProcess()
	}
	if r.entries[e.declared.Name] == e && !sameArtifacts(e.report, report) {
		r.dropServing(e)
		defer r.addServing(e)
	}
	e.report = report
	e.reportedAt = polledAt
	e.ownAtReport = e.own
	e.peakPrefill = max(e.peakPrefill*peakDecay, report.PrefillTokensPerSecond)
}

// forgetProcess drops what was learned of a process that was replaced.
func (e *entry) forgetProcess() {
	e.outlier = outlier{}
	e.limiter = limiter{}
	e.betweenTokens = average{}
	e.duration = average{}
	e.peakPrefill = 0
}

// reportFailed counts a failed poll. A status response shows that the process accepts connections, so that only the
// report is at fault.
func (r *Registry) reportFailed(e *entry, err error) {
	var status *engine.StatusError
	if errors.As(err, &status) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.triedAt = time.Now()
	e.outlier.failedPolls++
	if e.outlier.failedPolls >= failedPollsToEject {
		r.ejectUnreachable(e)
	}
}

// ejectUnreachable ejects an endpoint whose reports cannot be read. The caller holds the lock.
func (r *Registry) ejectUnreachable(e *entry) {
	if e.outlier.unreachable || !r.mayEject(e) {
		return
	}
	e.outlier.unreachable = true
	r.log.Warn("endpoint ejected: reports cannot be read", zap.String("endpoint", e.declared.Name))
}

func (r *Registry) readEvents(ctx context.Context, e *entry, target engine.Target, incarnation string) {
	events, err := r.reporter.CacheEvents(ctx, target, r.events.After(target.Name, incarnation))
	if err != nil {
		r.log.Debug("cache events not read", zap.String("endpoint", target.Name), zap.Error(err))
		return
	}
	r.events.Apply(target.Name, incarnation, events)
}

// readsEvents tells whether cache events of the endpoint are read. An instance that shares polls sees only a part of the
// endpoints regularly; for the others it learns from its own calls, and events of a part are not worth their bytes.
func (r *Registry) readsEvents(e *entry) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return !r.shares() || e.own > 0
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
