package placement

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/decisions"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/ledger"
)

const (
	// DefaultPlanInterval is the time between two plans.
	DefaultPlanInterval = time.Second
	// DefaultOrderTimeout is longer than the load of a large model at the weight store's full rate.
	DefaultOrderTimeout = 2 * time.Minute
	// DefaultVerifyInterval keeps the reports of 390 endpoints at 78 per second.
	DefaultVerifyInterval = 5 * time.Second
	// maxPlanShare bounds planning to one fiftieth of a core, within the 3.6% that an instance may use for control.
	maxPlanShare = 50
	// guardInterval is how often a lost lease is noticed while orders run.
	guardInterval = 200 * time.Millisecond
	// refreshInterval is how often the records of other shards are read: 390 records of about 1.5 KB in a minute are
	// 10 KB/s, of the 22 KB/s that an instance may use for control. With a single shard they are read once.
	refreshInterval = time.Minute
)

// Options are the dependencies of a Controller. All fields without a default are required.
type Options struct {
	DataCentre string
	Shard      int
	Ledger     *ledger.Ledger
	Guard      ledger.Guard
	Dialer     engine.OrderDialer
	Planner    Planner
	// Snapshot returns the declarations in effect.
	Snapshot func() *config.Snapshot
	// Status tells what routing knows of an endpoint.
	Status func(endpoint string) Status
	// Demand returns the current demand in the data centre.
	Demand func() []Demand
	// Elsewhere counts loaded copies of models in other data centres; nil when that is not known.
	Elsewhere    func() map[string]int
	ModelPacer   Pacer
	AdapterPacer Pacer
	Recorder     *decisions.Recorder
	Log          *zap.Logger
	Scope        tally.Scope
	// PlanInterval defaults to DefaultPlanInterval, OrderTimeout to DefaultOrderTimeout, VerifyInterval, after which the
	// record of an endpoint is compared with a report again, to DefaultVerifyInterval.
	PlanInterval   time.Duration
	VerifyInterval time.Duration
	OrderTimeout   time.Duration
}

// Status is what routing knows of an endpoint.
type Status struct {
	Leaving     bool
	Unreachable bool
}

// Controller places models and adapters on the endpoints of one (data centre, shard) while the lease is held.
type Controller struct {
	Options
	averages *Averages

	mu      sync.Mutex
	workers map[string]*runner
	// read holds the records of the data centre as they were last read; own workers' records can be newer.
	read map[string]ledger.Record
	// unreadable holds the endpoints whose record a newer build wrote; they get no orders and their copies do not count.
	unreadable map[string]error
	unplaced   []Unplaced
}

// runner is a worker with its mailbox. The worker outlives a lost lease, because it keeps outcomes of its own orders.
type runner struct {
	worker *worker
	// plan holds the latest work; a newer one replaces an older one that was not started.
	plan   chan work
	latest atomic.Pointer[work]
	stop   context.CancelFunc
}

type work struct {
	declared *config.Endpoint
	steps    []Step
}

// NewController returns a controller that is idle until Run.
func NewController(options Options) *Controller {
	if options.PlanInterval == 0 {
		options.PlanInterval = DefaultPlanInterval
	}
	if options.VerifyInterval == 0 {
		options.VerifyInterval = DefaultVerifyInterval
	}
	if options.OrderTimeout == 0 {
		options.OrderTimeout = DefaultOrderTimeout
	}
	return &Controller{
		Options:  options,
		averages: NewAverages(),
		workers:  make(map[string]*runner),
	}
}

// Unplaced returns what the last plan could not place.
func (c *Controller) Unplaced() []Unplaced {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Unplaced(nil), c.unplaced...)
}

// Run plans and sends orders until the context ends or the lease is not held, and returns after all of its goroutines
// ended. It may be called again when the lease is held again. Errors: ledger.ErrLeaseNotHeld, the context's error.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { c.cancelWithoutLease(ctx, cancel) })
	planned, refreshed, pause := time.Time{}, time.Time{}, time.Duration(0)
	ticker := time.NewTicker(c.PlanInterval)
	defer ticker.Stop()
	for {
		if _, held := c.Guard.Condition(); !held {
			return ledger.ErrLeaseNotHeld
		}
		now := time.Now()
		if c.refreshDue(now, refreshed) && c.refresh(ctx) == nil {
			refreshed = now
		}
		if !refreshed.IsZero() && now.Sub(planned) >= pause {
			c.plan(ctx, &wg, now, planned)
			planned = now
			pause = maxPlanShare * time.Since(now)
		}
		select {
		case <-ctx.Done():
			return c.ended(ctx)
		case <-ticker.C:
		}
	}
}

func (c *Controller) refreshDue(now, refreshed time.Time) bool {
	if refreshed.IsZero() {
		return true
	}
	snapshot := c.Snapshot()
	return snapshot != nil && snapshot.Deployment().PlacementShards > 1 && now.Sub(refreshed) >= refreshInterval
}

func (c *Controller) ended(ctx context.Context) error {
	if _, held := c.Guard.Condition(); !held {
		return ledger.ErrLeaseNotHeld
	}
	return ctx.Err()
}

// cancelWithoutLease ends waits for pacing, replies and the store as soon as the lease is not held.
func (c *Controller) cancelWithoutLease(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(guardInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, held := c.Guard.Condition(); !held {
			cancel()
			return
		}
	}
}

// refresh reads the records of the data centre. Records of own workers are newer and kept.
func (c *Controller) refresh(ctx context.Context) error {
	records, unreadable, err := c.Ledger.List(ctx, c.DataCentre)
	if err != nil {
		c.Log.Warn("ledger cannot be read; no placement until it can", zap.Error(err))
		return err
	}
	for endpoint, err := range unreadable {
		c.Log.Error("ledger record is unreadable; the endpoint gets no orders", zap.String("endpoint", endpoint), zap.Error(err))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreadable = unreadable
	c.read = make(map[string]ledger.Record, len(records))
	for _, record := range records {
		c.read[record.Endpoint.Name] = record
	}
	return nil
}

func (c *Controller) plan(ctx context.Context, wg *conc.WaitGroup, now, planned time.Time) {
	snapshot := c.Snapshot()
	if snapshot == nil {
		return
	}
	elapsed := c.PlanInterval
	if !planned.IsZero() {
		elapsed = now.Sub(planned)
	}
	c.averages.Observe(elapsed, withAdapters(snapshot, c.Demand()))
	state := c.state(snapshot)
	plan := c.Planner.Plan(state)
	c.report(plan)
	c.Scope.Gauge("placement_unresolved_reservations").Update(float64(unresolved(state)))
	c.distribute(ctx, wg, snapshot, state, plan)
}

// unresolved counts reservations that only a report, a newer fence order or a restart of the engine resolves.
func unresolved(state State) int {
	found := 0
	for _, endpoint := range state.Endpoints {
		for _, held := range endpoint.Record.Reservations {
			if held.State == ledger.Unresolved {
				found++
			}
		}
	}
	return found
}

func (c *Controller) report(plan Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := make(map[engine.Artifact]Unplaced, len(c.unplaced))
	for _, u := range c.unplaced {
		known[u.Artifact] = u
	}
	for _, u := range plan.Unplaced {
		if known[u.Artifact] != u {
			c.Log.Warn("fewer copies than wanted", zap.String("kind", string(u.Artifact.Kind)), zap.String("name", u.Artifact.Name),
				zap.String("version", u.Artifact.Version), zap.Int("wanted", u.Wanted), zap.Int("copies", u.Copies),
				zap.String("reason", u.Reason))
		}
	}
	c.unplaced = plan.Unplaced
	c.Scope.Gauge("placement_unplaced").Update(float64(len(plan.Unplaced)))
	c.Scope.Gauge("placement_planned_steps").Update(float64(len(plan.Steps)))
}

// state collects the planner's input: all engine endpoints of the data centre, of all shards.
func (c *Controller) state(snapshot *config.Snapshot) State {
	state := State{DataCentre: c.DataCentre, Snapshot: snapshot, Demand: c.averages.Snapshot()}
	if c.Elsewhere != nil {
		state.Elsewhere = c.Elsewhere()
	}
	records := snapshot.Records()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range records.Endpoints {
		declared := &records.Endpoints[i]
		if declared.DataCentre != c.DataCentre || len(declared.Accelerators) == 0 {
			continue
		}
		state.Endpoints = append(state.Endpoints, c.endpointState(declared))
	}
	sortEndpoints(state.Endpoints)
	return state
}

func (c *Controller) endpointState(declared *config.Endpoint) EndpointState {
	status := c.Status(declared.Name)
	endpoint := EndpointState{
		Declaration: declared,
		Leaving:     status.Leaving || declared.Leaving,
		Unreachable: status.Unreachable || c.unreadable[declared.Name] != nil,
		Record:      c.read[declared.Name],
	}
	if r := c.workers[declared.Name]; r != nil {
		endpoint.Role = r.worker.Role()
		// A worker that was stopped or lost the lease can have an older record than the last read one.
		if own := r.worker.Record(); own.Revision >= endpoint.Record.Revision {
			endpoint.Record = own
		}
	}
	endpoint.Unknown = endpoint.Record.Incarnation == ""
	return endpoint
}

// distribute hands each endpoint of the shard its steps, starts workers of new endpoints and stops those of endpoints
// that are no longer declared.
func (c *Controller) distribute(ctx context.Context, wg *conc.WaitGroup, snapshot *config.Snapshot, state State, plan Plan) {
	steps := make(map[string][]Step)
	for _, step := range plan.Steps {
		steps[step.Endpoint] = append(steps[step.Endpoint], step)
	}
	wanted := make(map[string]bool)
	for _, endpoint := range state.Endpoints {
		name := endpoint.Declaration.Name
		if ShardOf(name, snapshot.Deployment().PlacementShards) != c.Shard || endpoint.Leaving || endpoint.Unreachable {
			continue
		}
		wanted[name] = true
		c.runnerOf(ctx, wg, endpoint).post(work{declared: endpoint.Declaration, steps: steps[name]})
	}
	c.stopUnwanted(wanted)
}

func (c *Controller) runnerOf(ctx context.Context, wg *conc.WaitGroup, endpoint EndpointState) *runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := endpoint.Declaration.Name
	r := c.workers[name]
	if r == nil {
		id := ledger.Endpoint{DataCentre: c.DataCentre, Name: name}
		r = &runner{worker: newWorker(c.tools(), id, endpoint.Record)}
		r.worker.wanted = r.wanted
		c.workers[name] = r
	}
	if r.stop == nil {
		c.start(ctx, wg, r)
	}
	return r
}

// start runs a worker until its context ends. A runner whose goroutine ended is started anew by the next plan.
func (c *Controller) start(ctx context.Context, wg *conc.WaitGroup, r *runner) {
	ctx, cancel := context.WithCancel(ctx)
	r.plan = make(chan work, 1)
	r.stop = cancel
	plan := r.plan
	wg.Go(func() {
		c.runWorker(ctx, r.worker, plan)
		cancel()
		c.mu.Lock()
		defer c.mu.Unlock()
		r.stop = nil
	})
}

func (c *Controller) runWorker(ctx context.Context, w *worker, plan <-chan work) {
	defer w.close()
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-plan:
			c.runRound(ctx, w, next)
		}
	}
}

func (c *Controller) runRound(ctx context.Context, w *worker, next work) {
	err := w.round(ctx, next.declared, next.steps)
	if err == nil || ctx.Err() != nil {
		return
	}
	c.Scope.Counter("placement_round_errors").Inc(1)
	level := c.Log.Warn
	if errors.IsAny(err, ledger.ErrReportTooOld, kvstore.ErrUnavailable, errSuperseded) {
		level = c.Log.Debug
	}
	level("placement round ended early", zap.String("endpoint", next.declared.Name), zap.Error(err))
}

// wanted tells whether the latest plan still has the step.
func (r *runner) wanted(step Step) bool {
	return slices.ContainsFunc(r.latest.Load().steps, func(planned Step) bool {
		return planned.Kind == step.Kind && planned.Artifact == step.Artifact
	})
}

// post replaces work that was not started.
func (r *runner) post(next work) {
	r.latest.Store(&next)
	select {
	case <-r.plan:
	default:
	}
	select {
	case r.plan <- next:
	default:
	}
}

func (c *Controller) stopUnwanted(wanted map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, r := range c.workers {
		if !wanted[name] && r.stop != nil {
			r.stop()
		}
	}
}

func (c *Controller) tools() tools {
	return tools{
		ledger:         c.Ledger,
		guard:          c.Guard,
		dialer:         c.Dialer,
		modelPacer:     c.ModelPacer,
		adapterPacer:   c.AdapterPacer,
		recorder:       c.Recorder,
		log:            c.Log,
		newOrderID:     uuid.NewString,
		now:            time.Now,
		orderTimeout:   c.OrderTimeout,
		verifyInterval: c.VerifyInterval,
	}
}
