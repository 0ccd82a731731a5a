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
	// DefaultOrderTimeout bounds the wait for the reply to an order. It is longer than the load of a large model at the
	// weight store's full rate.
	DefaultOrderTimeout = 2 * time.Minute
	// DefaultVerifyInterval is the longest time between two reports of an endpoint. With 390 endpoints and no
	// unresolved orders, it gives 78 reports per second.
	DefaultVerifyInterval = 5 * time.Second
	// planPauseFactor is the minimum pause between two plans, in multiples of the time that the earlier plan took. It
	// bounds planning to one fiftieth of a core, within the 3.6% that an instance may use for control.
	planPauseFactor = 50
	// leaseCheckInterval is the time between two checks of the lease while orders run.
	leaseCheckInterval = 200 * time.Millisecond
	// refreshInterval is the time between two reads of the ledger, which return the records of other shards. Reading
	// 390 records of about 1.5 KB each once a minute takes 10 KB/s of the 22 KB/s that an instance may use for control.
	// With a single shard, the ledger is read once.
	refreshInterval = time.Minute
)

// Options are the dependencies of a Controller. Fields without a default are required.
type Options struct {
	DataCentre string
	Shard      int
	Ledger     *ledger.Ledger
	Guard      ledger.Guard
	Dialer     engine.OrderDialer
	Planner    Planner
	// Snapshot returns the declarations in effect, or nil before there are any.
	Snapshot func() *config.Snapshot
	// EndpointStatus returns the state of an endpoint in routing.
	EndpointStatus func(endpoint string) Status
	// Demand returns the current demand in the data centre.
	Demand func() []Demand
	// CopiesElsewhere returns the number of loaded copies of each model in other data centres. It may be nil if they
	// are not known.
	CopiesElsewhere func() map[string]int
	ModelPacer      Pacer
	AdapterPacer    Pacer
	Recorder        *decisions.Recorder
	Log             *zap.Logger
	Scope           tally.Scope
	// PlanInterval is the time between two plans. Zero means DefaultPlanInterval.
	PlanInterval time.Duration
	// VerifyInterval is the longest time between two comparisons of an endpoint's record with a report. Zero means
	// DefaultVerifyInterval.
	VerifyInterval time.Duration
	// OrderTimeout bounds the wait for the reply to an order. Zero means DefaultOrderTimeout.
	OrderTimeout time.Duration
}

// Status is the state of an endpoint in routing.
type Status struct {
	Leaving     bool
	Unreachable bool
}

// Controller places models and adapters on the endpoints of one shard of a data centre while it holds the shard's
// lease.
type Controller struct {
	Options
	averages *Averages

	mu      sync.Mutex
	runners map[string]*runner
	// lastRead holds the records of the data centre from the last read of the ledger. The records of this controller's
	// workers can be newer.
	lastRead map[string]ledger.Record
	// unreadable holds the endpoints whose records cannot be decoded, for example because a newer build wrote them.
	// They get no orders and their copies do not count.
	unreadable map[string]error
	unplaced   []UnplacedArtifact
}

// runner is a worker with a queue of one assignment. The worker is kept after the lease is lost, because it holds the
// outcomes of its orders that the ledger has not recorded yet.
type runner struct {
	worker *worker
	// queue holds the latest assignment. A newer assignment replaces one that was not started.
	queue            chan assignment
	latestAssignment atomic.Pointer[assignment]
	stop             context.CancelFunc
}

// assignment holds the steps of a plan for one endpoint.
type assignment struct {
	declaration *config.Endpoint
	steps       []Step
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
		runners:  make(map[string]*runner),
	}
}

// Unplaced returns the models and adapters that the last plan could not place.
func (c *Controller) Unplaced() []UnplacedArtifact {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]UnplacedArtifact(nil), c.unplaced...)
}

// Run plans and sends orders until the context ends or the lease is lost. It returns after all goroutines that it
// started have ended. It may be called again when the lease is held again. Errors: ledger.ErrLeaseNotHeld, the
// context's error.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { c.cancelWithoutLease(ctx, cancel) })
	lastPlan, lastRefresh, pause := time.Time{}, time.Time{}, time.Duration(0)
	ticker := time.NewTicker(c.PlanInterval)
	defer ticker.Stop()
	for {
		if _, held := c.Guard.Condition(); !held {
			return ledger.ErrLeaseNotHeld
		}
		now := time.Now()
		if c.refreshDue(now, lastRefresh) && c.refresh(ctx) == nil {
			lastRefresh = now
		}
		if !lastRefresh.IsZero() && now.Sub(lastPlan) >= pause {
			c.plan(ctx, &wg, now, lastPlan)
			lastPlan = now
			pause = planPauseFactor * time.Since(now)
		}
		select {
		case <-ctx.Done():
			return c.stopReason(ctx)
		case <-ticker.C:
		}
	}
}

func (c *Controller) refreshDue(now, lastRefresh time.Time) bool {
	if lastRefresh.IsZero() {
		return true
	}
	snapshot := c.Snapshot()
	return snapshot != nil && snapshot.Deployment().PlacementShards > 1 && now.Sub(lastRefresh) >= refreshInterval
}

func (c *Controller) stopReason(ctx context.Context) error {
	if _, held := c.Guard.Condition(); !held {
		return ledger.ErrLeaseNotHeld
	}
	return ctx.Err()
}

// cancelWithoutLease cancels the context when the lease is lost. This ends waits for pacing, replies and the store.
func (c *Controller) cancelWithoutLease(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(leaseCheckInterval)
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

// refresh reads the records of the data centre. It does not change the records of this controller's workers, which are
// newer.
func (c *Controller) refresh(ctx context.Context) error {
	records, unreadable, err := c.Ledger.List(ctx, c.DataCentre)
	if err != nil {
		c.Log.Warn("cannot read the ledger", zap.Error(err))
		return err
	}
	for endpoint, err := range unreadable {
		c.Log.Error("ledger record is unreadable; the endpoint gets no orders", zap.String("endpoint", endpoint), zap.Error(err))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreadable = unreadable
	c.lastRead = make(map[string]ledger.Record, len(records))
	for _, record := range records {
		c.lastRead[record.Endpoint.Name] = record
	}
	return nil
}

func (c *Controller) plan(ctx context.Context, wg *conc.WaitGroup, now, lastPlan time.Time) {
	snapshot := c.Snapshot()
	if snapshot == nil {
		return
	}
	elapsed := c.PlanInterval
	if !lastPlan.IsZero() {
		elapsed = now.Sub(lastPlan)
	}
	c.averages.Observe(elapsed, addAdapterDemand(snapshot, c.Demand()))
	state := c.state(snapshot)
	plan := c.Planner.Plan(state)
	c.reportUnplaced(plan)
	c.Scope.Gauge("placement_unresolved_reservations").Update(float64(countUnresolved(state)))
	c.assignSteps(ctx, wg, snapshot, state, plan)
}

// countUnresolved counts the reservations whose outcome is unknown. Only a report, a newer fence order or a restart of
// the engine resolves them.
func countUnresolved(state State) int {
	count := 0
	for _, endpoint := range state.Endpoints {
		for _, reservation := range endpoint.Record.Reservations {
			if reservation.State == ledger.Unresolved {
				count++
			}
		}
	}
	return count
}

func (c *Controller) reportUnplaced(plan Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := make(map[engine.Artifact]UnplacedArtifact, len(c.unplaced))
	for _, u := range c.unplaced {
		previous[u.Artifact] = u
	}
	for _, u := range plan.Unplaced {
		if previous[u.Artifact] != u {
			c.Log.Warn("fewer copies than wanted", zap.String("kind", string(u.Artifact.Kind)), zap.String("name", u.Artifact.Name),
				zap.String("version", u.Artifact.Version), zap.Int("wanted", u.Desired), zap.Int("copies", u.Copies),
				zap.String("reason", u.Reason))
		}
	}
	c.unplaced = plan.Unplaced
	c.Scope.Gauge("placement_unplaced").Update(float64(len(plan.Unplaced)))
	c.Scope.Gauge("placement_planned_steps").Update(float64(len(plan.Steps)))
}

// state returns the planner's input, with the engine endpoints of all shards of the data centre.
func (c *Controller) state(snapshot *config.Snapshot) State {
	state := State{DataCentre: c.DataCentre, Snapshot: snapshot, Demand: c.averages.Snapshot()}
	if c.CopiesElsewhere != nil {
		state.CopiesElsewhere = c.CopiesElsewhere()
	}
	records := snapshot.Records()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range records.Endpoints {
		declaration := &records.Endpoints[i]
		if declaration.DataCentre != c.DataCentre || len(declaration.Accelerators) == 0 {
			continue
		}
		state.Endpoints = append(state.Endpoints, c.endpointState(declaration))
	}
	sortEndpoints(state.Endpoints)
	return state
}

func (c *Controller) endpointState(declaration *config.Endpoint) EndpointState {
	status := c.EndpointStatus(declaration.Name)
	endpoint := EndpointState{
		Declaration: declaration,
		Leaving:     status.Leaving || declaration.Leaving,
		Unreachable: status.Unreachable || c.unreadable[declaration.Name] != nil,
		Record:      c.lastRead[declaration.Name],
	}
	if r := c.runners[declaration.Name]; r != nil {
		endpoint.Role = r.worker.Role()
		// The record of a worker that was stopped or lost the lease can be older than the last one read.
		if workerRecord := r.worker.Record(); workerRecord.Revision >= endpoint.Record.Revision {
			endpoint.Record = workerRecord
		}
	}
	endpoint.Unknown = endpoint.Record.Incarnation == ""
	return endpoint
}

// assignSteps assigns the plan's steps to the endpoints of the shard. It starts workers for new endpoints and stops
// those of endpoints that are undeclared, leaving, unreachable or in another shard.
func (c *Controller) assignSteps(ctx context.Context, wg *conc.WaitGroup, snapshot *config.Snapshot, state State, plan Plan) {
	steps := make(map[string][]Step)
	for _, step := range plan.Steps {
		steps[step.Endpoint] = append(steps[step.Endpoint], step)
	}
	assigned := make(map[string]bool)
	for _, endpoint := range state.Endpoints {
		name := endpoint.Declaration.Name
		if ShardOf(name, snapshot.Deployment().PlacementShards) != c.Shard || endpoint.Leaving || endpoint.Unreachable {
			continue
		}
		assigned[name] = true
		c.runnerOf(ctx, wg, endpoint).assign(assignment{declaration: endpoint.Declaration, steps: steps[name]})
	}
	c.stopUnassigned(assigned)
}

func (c *Controller) runnerOf(ctx context.Context, wg *conc.WaitGroup, endpoint EndpointState) *runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := endpoint.Declaration.Name
	r := c.runners[name]
	if r == nil {
		id := ledger.Endpoint{DataCentre: c.DataCentre, Name: name}
		r = &runner{worker: newWorker(c.dependencies(), id, endpoint.Record)}
		r.worker.stillPlanned = r.stillPlanned
		c.runners[name] = r
	}
	if r.stop == nil {
		c.start(ctx, wg, r)
	}
	return r
}

// start runs a worker until its context ends. The next plan restarts a runner whose goroutine has ended.
func (c *Controller) start(ctx context.Context, wg *conc.WaitGroup, r *runner) {
	ctx, cancel := context.WithCancel(ctx)
	r.queue = make(chan assignment, 1)
	r.stop = cancel
	queue := r.queue
	wg.Go(func() {
		c.runWorker(ctx, r.worker, queue)
		cancel()
		c.mu.Lock()
		defer c.mu.Unlock()
		r.stop = nil
	})
}

func (c *Controller) runWorker(ctx context.Context, w *worker, queue <-chan assignment) {
	defer w.closeSession()
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-queue:
			c.runRound(ctx, w, next)
		}
	}
}

func (c *Controller) runRound(ctx context.Context, w *worker, next assignment) {
	err := w.reconcileAndExecute(ctx, next.declaration, next.steps)
	if err == nil || ctx.Err() != nil {
		return
	}
	c.Scope.Counter("placement_round_errors").Inc(1)
	level := c.Log.Warn
	if errors.IsAny(err, ledger.ErrReportTooOld, kvstore.ErrUnavailable, errSuperseded) {
		level = c.Log.Debug
	}
	level("placement round ended early", zap.String("endpoint", next.declaration.Name), zap.Error(err))
}

// stillPlanned reports whether the latest plan contains the step.
func (r *runner) stillPlanned(step Step) bool {
	return slices.ContainsFunc(r.latestAssignment.Load().steps, func(planned Step) bool {
		return planned.Kind == step.Kind && planned.Artifact == step.Artifact
	})
}

// assign queues an assignment in place of one that was not started.
func (r *runner) assign(next assignment) {
	r.latestAssignment.Store(&next)
	select {
	case <-r.queue:
	default:
	}
	select {
	case r.queue <- next:
	default:
	}
}

func (c *Controller) stopUnassigned(assigned map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, r := range c.runners {
		if !assigned[name] && r.stop != nil {
			r.stop()
		}
	}
}

func (c *Controller) dependencies() dependencies {
	return dependencies{
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
