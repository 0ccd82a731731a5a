package residency

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

const (
	// planInterval is the time between plans of the lease holder.
	planInterval = 100 * time.Millisecond
	// planPauseFactor lengthens the pause after slow plans, so that planning takes at most a twentieth of an instance's
	// time.
	planPauseFactor = 20
	// leaseCheckInterval is the time between checks of the lease at an instance that does not hold it.
	leaseCheckInterval = 200 * time.Millisecond
	// storeLoadBurst is the number of loads that the weight store allows above its rate in a window.
	storeLoadBurst = 3
	// storeLoadReserve is the number of loads left unused because loads begin slightly later than they are ordered.
	storeLoadReserve = 1
	// storeWindowMargin is added to the window because the delivery time of orders varies.
	storeWindowMargin = 300 * time.Millisecond
)

// Lease reports whether this instance is the only one that may give orders now.
type Lease interface {
	// Held returns the fencing token and true while the lease is held.
	Held() (token int64, held bool)
}

// DemandSource returns the client demand at all instances.
type DemandSource interface {
	// ModelDemand returns the demand of a service by model.
	ModelDemand(service string, now time.Time) map[string]ModelDemand
	// AdapterDemand returns the adapters that requests of a service wait for.
	AdapterDemand(service string, now time.Time) []AdapterDemand
	// AdapterUse returns the use of each adapter.
	AdapterUse(service string, now time.Time) map[AdapterKey]AdapterUse
}

// Options are the dependencies and settings of a Controller.
type Options struct {
	Instance string
	Fleet    *fleet.Registry
	Lease    Lease
	Engines  Engines
	Demands  DemandSource
	// Config returns the configuration in force, or nil if there is none yet.
	Config func() *routing.Config
	Log    *zap.Logger
	// RegionOf returns the region of a data centre.
	RegionOf func(dataCentre string) string
	// HandoverPause is how long a new holder gives no orders because orders of the previous holder may still arrive.
	HandoverPause time.Duration
	// PreviousHolder returns the instance that held the lease right before the term of a token, with no other holder in
	// between, its token, and whether both are known. If PreviousHolder is nil, the previous holder is never known.
	PreviousHolder func(token int64) (instance string, previousToken int64, known bool)
	// OnLeaseAcquired, if not nil, is called when this instance has acquired the lease.
	OnLeaseAcquired func()
	// StoreWindow returns the window over which the weight store limits the rate of loads, and the factor by which the
	// rate may be exceeded in it.
	StoreWindow func() (time.Duration, float64)
	// OnReportRead is called after this instance has read an endpoint's report.
	OnReportRead func(id string, report Report)
	// OnLedgerCorrected, if not nil, is called after a report has shown that an endpoint holds other models or adapters than
	// its ledger listed.
	OnLedgerCorrected func()
	// OnStatement is called with what an endpoint says about itself in its response to an order or in its report.
	OnStatement func(id string, lifetime int64, statement fleet.Statement)
	// ModelLeaving is called before a model is unloaded.
	ModelLeaving func(id string, lifetime int64, model string)
	// AdapterChanged is called when an adapter has been loaded, or takes no further requests because of an unload.
	AdapterChanged func(id string, lifetime int64, order Order)
}

// Controller gives placement orders while this instance holds the lease.
type Controller struct {
	options Options
	// plan is Plan except in tests.
	plan func(*Input) []Order

	mu      sync.Mutex
	workers map[string]*worker
	// storeLoadStarts are the start times of recent loads from the weight store.
	storeLoadStarts []time.Time
	// lastTerm is this instance's current or most recent lease term.
	lastTerm termRecord
	// handovers maps each instance to the last handover received from it.
	handovers map[string]receivedHandover
	// termStartedAt is when the current or most recent term began.
	termStartedAt time.Time
}

// NewController returns a controller. It gives no orders before Run is called.
func NewController(o Options) *Controller {
	return &Controller{options: o, plan: Plan, workers: make(map[string]*worker), handovers: make(map[string]receivedHandover)}
}

// Run plans and carries out orders until the context ends.
func (c *Controller) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	term := leaseTerm{pause: c.options.HandoverPause, log: c.options.Log}
	for ctx.Err() == nil {
		began := time.Now()
		token, held := c.options.Lease.Held()
		if term.isNewTerm(token, held) {
			c.beginTerm(began)
		}
		pauseOver := term.mayOrder(token, held, began)
		if !held {
			pause(ctx, leaseCheckInterval)
			continue
		}
		c.recordTerm(token, pauseOver, began)
		c.planAll(ctx, &tasks, orderScope{token: token, pauseOver: pauseOver})
		pause(ctx, max(planInterval, planPauseFactor*time.Since(began)))
	}
}

// orderScope limits the endpoints to which a plan may send orders. During the handover pause these are only the
// endpoints to which the previous holder sent no recent order, afterwards all endpoints.
type orderScope struct {
	token     int64
	pauseOver bool
}

// leaseTerm tracks the lease terms of this instance. A term is the time in which it holds the lease under one token.
type leaseTerm struct {
	pause        time.Duration
	log          *zap.Logger
	currentToken int64
	startedAt    time.Time
	held         bool
}

// isNewTerm reports whether the lease is held under a token that starts a new term. A lease that was renewed late but
// did not expire at the store keeps its token, and the term continues.
func (t *leaseTerm) isNewTerm(token int64, held bool) bool {
	return held && token != t.currentToken
}

// mayOrder reports whether orders may be given now. A new term begins with a pause, because orders of the previous
// holder may still arrive.
func (t *leaseTerm) mayOrder(token int64, held bool, now time.Time) bool {
	if t.isNewTerm(token, held) {
		t.currentToken, t.startedAt = token, now
		t.log.Info("placement begins after the handover pause", zap.Int64("fence", token), zap.Duration("pause", t.pause))
	} else if held != t.held {
		t.log.Info("placement lease", zap.Bool("held", held), zap.Int64("fence", t.currentToken))
	}
	t.held = held
	return held && now.Sub(t.startedAt) >= t.pause
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// beginTerm discards the state of earlier terms. The new term starts from the endpoints' own reports.
func (c *Controller) beginTerm(now time.Time) {
	c.mu.Lock()
	c.workers = make(map[string]*worker)
	c.termStartedAt = now
	c.mu.Unlock()
	if c.options.OnLeaseAcquired != nil {
		c.options.OnLeaseAcquired()
	}
}

func (c *Controller) planAll(ctx context.Context, tasks *conc.WaitGroup, scope orderScope) {
	config := c.options.Config()
	if config == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(config.Services)) {
		if service := config.Services[name]; service.Engine != nil {
			c.planService(ctx, tasks, service, scope)
		}
	}
}

func (c *Controller) planService(ctx context.Context, tasks *conc.WaitGroup, service *routing.Service, scope orderScope) {
	now := time.Now()
	in := Input{
		Engine:            service.Engine,
		Endpoints:         c.endpointStates(service, scope, now),
		Demand:            c.options.Demands.ModelDemand(service.Name, now),
		Adapters:          c.options.Demands.AdapterDemand(service.Name, now),
		StoreLoadsAllowed: c.storeLoadsAllowed(service.Engine, scope.token, now),
		RegionOf:          c.options.RegionOf,
		Now:               now,
	}
	c.startWorkers(ctx, tasks, c.plan(&in), scope.token)
}

// endpointStates combines the endpoints' announcements with the orders in progress.
func (c *Controller) endpointStates(service *routing.Service, scope orderScope, now time.Time) []EndpointState {
	uses := c.options.Demands.AdapterUse(service.Name, now)
	var states []EndpointState
	c.options.Fleet.View(service.Name, func(endpoints []*fleet.Endpoint) {
		for _, e := range endpoints {
			models, ordersAccepted := e.AnnouncedModels()
			busy := e.CallsAllowedIn(now) > 0
			states = append(states, EndpointState{
				Announcement: e.Announcement,
				Busy:         busy,
				Work:         e.Work(now),
				AdapterUse:   uses,
				announced:    listing{models: models, ordersAccepted: ordersAccepted},
			})
		}
	})
	slices.SortFunc(states, func(a, b EndpointState) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range states {
		c.worker(&states[i].Announcement).apply(&states[i], now)
		c.addPreviousLoads(&states[i], scope.token, now)
		if !scope.pauseOver && !c.mayOrderDuringPause(states[i].ID, scope.token) {
			states[i].Busy = true
		}
	}
	return states
}

// worker returns the worker for the current lifetime of an endpoint. The controller's lock is held.
func (c *Controller) worker(a *fleet.Announcement) *worker {
	w := c.workers[a.ID]
	if w == nil || w.lifetime != a.Lifetime || w.target.Address != a.Address {
		w = &worker{
			controller: c,
			target:     Target{ID: a.ID, Address: a.Address},
			lifetime:   a.Lifetime,
		}
		c.workers[a.ID] = w
	}
	return w
}

// storeLoadsAllowed returns the number of loads that may start now without exceeding the weight store's rate.
func (c *Controller) storeLoadsAllowed(engine *routing.Engine, token int64, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	window, overage := c.options.StoreWindow()
	allowed := int(engine.LoadsPerSecond*window.Seconds()*overage) + storeLoadBurst - storeLoadReserve
	window += storeWindowMargin
	c.storeLoadStarts = slices.DeleteFunc(c.storeLoadStarts, func(t time.Time) bool { return now.Sub(t) >= window })
	return max(allowed-len(c.storeLoadStarts)-c.countPreviousStoreLoads(token, window, now), 0)
}

// Loading is a model load in progress at an endpoint.
type Loading struct {
	Endpoint string
	Model    string
	// ReadyAt is the expected end of the load.
	ReadyAt time.Time
}

// Loading returns the loads in progress that this instance ordered.
func (c *Controller) Loading() []Loading {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loadingLocked()
}

// loadingLocked is Loading for callers that hold the controller's lock.
func (c *Controller) loadingLocked() []Loading {
	var loading []Loading
	for id, w := range c.workers {
		for i := range w.ledger.models {
			if r := &w.ledger.models[i]; r.state == stateLoading {
				loading = append(loading, Loading{Endpoint: id, Model: r.name, ReadyAt: r.readyAt})
			}
		}
	}
	return loading
}

// startWorkers passes orders to the workers of their endpoints. It also starts workers whose endpoint's report must be
// read.
func (c *Controller) startWorkers(ctx context.Context, tasks *conc.WaitGroup, orders []Order, token int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, order := range orders {
		w := c.workers[order.Endpoint]
		if w == nil {
			continue
		}
		if order.FromStore {
			c.storeLoadStarts = append(c.storeLoadStarts, now)
		}
		w.enqueue(order, now)
	}
	for _, w := range c.workers {
		if w.running || len(w.queue) == 0 && !w.needsReport(now) {
			continue
		}
		w.running = true
		tasks.Go(func() { w.run(ctx, token) })
	}
}
