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
	// planInterval is how often the holder plans.
	planInterval = 100 * time.Millisecond
	// planPauseFactor spaces plans that take long, so that planning takes at most a twentieth of an instance's time.
	planPauseFactor = 20
	// idleInterval is how often an instance that is not the holder looks whether it has become it.
	idleInterval = 200 * time.Millisecond
	// storeLoadBurst is the number of loads that the weight store allows above its rate in a window.
	storeLoadBurst = 3
	// storeLoadReserve is left unused, since loads begin a little later than they are ordered.
	storeLoadReserve = 1
	// storeLoadSpread is added to the window because orders take different times to arrive.
	storeLoadSpread = 300 * time.Millisecond
)

// Lease tells whether this instance is the only one that may give orders now, and since when.
type Lease interface {
	// Held returns the fencing token and true while the lease is held.
	Held() (fence int64, held bool)
}

// Demands returns what clients ask for at all instances.
type Demands interface {
	// ModelDemand returns the demand by model of a service.
	ModelDemand(service string, now time.Time) map[string]ModelDemand
	// AdapterWants returns the adapters that requests of a service wait for.
	AdapterWants(service string, now time.Time) []AdapterWant
	// AdapterUse returns the last use of adapters by MODEL/ADAPTER.
	AdapterUse(service string) map[string]time.Time
}

// Options are the parts of a Controller.
type Options struct {
	Instance string
	Fleet    *fleet.Registry
	Lease    Lease
	Engines  Engines
	Demands  Demands
	// Config returns the configuration in force, or nil.
	Config func() *routing.Config
	Log    *zap.Logger
	// RegionOf returns the region of a data centre.
	RegionOf func(dataCentre string) string
	// HandoverPause keeps a new holder from orders while those of the former one may still arrive.
	HandoverPause time.Duration
	// Previous returns who held the lease right before a token, under which token, and whether that is known; nil means that
	// it never is.
	Previous func(token int64) (instance string, fence int64, known bool)
	// TurnBegins is called when this instance has got the lease; nil means nothing.
	TurnBegins func()
	// StoreWindow returns the window over which the weight store's rate is bounded and the factor allowed in it.
	StoreWindow func() (time.Duration, float64)
	// Published is called when this instance read an endpoint's report.
	Published func(id string, report Report)
	// ModelLeaving is called before a model is unloaded.
	ModelLeaving func(id string, lifetime int64, model string)
	// AdapterChanged is called when an adapter order took effect.
	AdapterChanged func(id string, lifetime int64, order Order)
}

// Controller gives placement orders while this instance holds the lease.
type Controller struct {
	options Options

	mu      sync.Mutex
	workers map[string]*worker
	// storeLoads are the start times of recent loads from the weight store.
	storeLoads []time.Time
	// past is this instance's own last turn, handovers what former holders said last.
	past      pastTurn
	handovers map[string]receivedHandover
	// turnBegan is when this instance got the lease for its present or last turn.
	turnBegan time.Time
}

// NewController returns a controller that gives no orders until Run.
func NewController(o Options) *Controller {
	return &Controller{options: o, workers: make(map[string]*worker), handovers: make(map[string]receivedHandover)}
}

// Run plans until the context ends.
func (c *Controller) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	turn := turn{pause: c.options.HandoverPause, log: c.options.Log}
	for ctx.Err() == nil {
		began := time.Now()
		token, held := c.options.Lease.Held()
		if turn.begins(token, held) {
			c.beginTurn(began)
		}
		settled := turn.mayOrder(token, held, began)
		if !held {
			pause(ctx, idleInterval)
			continue
		}
		c.noteTurn(token, settled, began)
		c.planAll(ctx, &tasks, permission{token: token, settled: settled})
		pause(ctx, max(planInterval, planPauseFactor*time.Since(began)))
	}
}

// permission is what a plan may order: all endpoints once the handover pause has passed, before that those which the former
// holder has left alone.
type permission struct {
	token   int64
	settled bool
}

// turn is the time in which this instance is the only one that may give orders.
type turn struct {
	pause time.Duration
	log   *zap.Logger
	fence int64
	since time.Time
	held  bool
}

// begins tells whether a token is that of a new turn. A lease that was not renewed in time but never expired at the store
// keeps its token, and the turn goes on.
func (t *turn) begins(token int64, held bool) bool {
	return held && token != t.fence
}

// mayOrder tells whether orders may be given now. A new turn waits until the orders of the former holder have arrived.
func (t *turn) mayOrder(token int64, held bool, now time.Time) bool {
	if t.begins(token, held) {
		t.fence, t.since = token, now
		t.log.Info("placement begins after the handover pause", zap.Int64("fence", token), zap.Duration("pause", t.pause))
	} else if held != t.held {
		t.log.Info("placement lease", zap.Bool("held", held), zap.Int64("fence", t.fence))
	}
	t.held = held
	return held && now.Sub(t.since) >= t.pause
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// beginTurn drops what was under way: a later holding starts from what the endpoints say.
func (c *Controller) beginTurn(now time.Time) {
	c.mu.Lock()
	c.workers = make(map[string]*worker)
	c.turnBegan = now
	c.mu.Unlock()
	if c.options.TurnBegins != nil {
		c.options.TurnBegins()
	}
}

func (c *Controller) planAll(ctx context.Context, tasks *conc.WaitGroup, may permission) {
	config := c.options.Config()
	if config == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(config.Services)) {
		if service := config.Services[name]; service.Engine != nil {
			c.planService(ctx, tasks, service, may)
		}
	}
}

func (c *Controller) planService(ctx context.Context, tasks *conc.WaitGroup, service *routing.Service, may permission) {
	now := time.Now()
	in := Input{
		Engine:     service.Engine,
		Endpoints:  c.endpointStates(service, may, now),
		Demand:     c.options.Demands.ModelDemand(service.Name, now),
		Adapters:   c.options.Demands.AdapterWants(service.Name, now),
		StoreLoads: c.storeLoadsAllowed(service.Engine, may.token, now),
		RegionOf:   c.options.RegionOf,
		Now:        now,
	}
	c.start(ctx, tasks, Plan(&in), may.token)
}

// endpointStates joins announcements with the orders under way.
func (c *Controller) endpointStates(service *routing.Service, may permission, now time.Time) []EndpointState {
	uses := c.options.Demands.AdapterUse(service.Name)
	var states []EndpointState
	c.options.Fleet.View(service.Name, func(endpoints []*fleet.Endpoint) {
		for _, e := range endpoints {
			announced := e.AnnouncedModels()
			states = append(states, EndpointState{
				Announcement: e.Announcement,
				Work:         e.Work(now),
				AdapterUse:   uses,
				announces:    func(model string) bool { return slices.Contains(announced, model) },
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
		c.addHandedLoads(&states[i], may.token, now)
		if !may.settled && !c.mayOrderEarly(states[i].ID, may.token) {
			states[i].Busy = true
		}
	}
	return states
}

// worker returns the worker of an endpoint's current lifetime.
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

// storeLoadsAllowed is the number of loads that may start now without exceeding the weight store's rate.
func (c *Controller) storeLoadsAllowed(engine *routing.Engine, token int64, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	window, overage := c.options.StoreWindow()
	allowed := int(engine.LoadsPerSecond*window.Seconds()*overage) + storeLoadBurst - storeLoadReserve
	window += storeLoadSpread
	c.storeLoads = slices.DeleteFunc(c.storeLoads, func(t time.Time) bool { return now.Sub(t) >= window })
	return max(allowed-len(c.storeLoads)-c.handedLoads(token, window, now), 0)
}

// Loading is a model that an endpoint is loading.
type Loading struct {
	Endpoint string
	Model    string
	// Ready is when the model can serve.
	Ready time.Time
}

// Loading returns the loads under way.
func (c *Controller) Loading() []Loading {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loading()
}

// loading returns the loads under way on orders of this instance. The controller's lock is held.
func (c *Controller) loading() []Loading {
	var loading []Loading
	for id, w := range c.workers {
		for i := range w.ledger.models {
			if r := &w.ledger.models[i]; r.state == stateLoading {
				loading = append(loading, Loading{Endpoint: id, Model: r.name, Ready: r.ready})
			}
		}
	}
	return loading
}

// start hands orders to the workers of their endpoints, and starts those whose endpoint's state must be read.
func (c *Controller) start(ctx context.Context, tasks *conc.WaitGroup, orders []Order, fence int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, order := range orders {
		w := c.workers[order.Endpoint]
		if w == nil {
			continue
		}
		if order.FromStore {
			c.storeLoads = append(c.storeLoads, now)
		}
		w.enqueue(order, now)
	}
	for _, w := range c.workers {
		if w.running || len(w.queue) == 0 && !w.needsReport(now) {
			continue
		}
		w.running = true
		tasks.Go(func() { w.run(ctx, fence) })
	}
}
