// Package residency decides which models and adapters the engines hold. The decision is a pure function of what is held,
// what is asked for and what is under way; the controller carries it out while this instance holds the lease.
package residency

import (
	"slices"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

// Verb says what an order does.
type Verb int

// The verbs of orders.
const (
	Load Verb = iota
	Unload
)

// Order changes what one endpoint holds. An empty Adapter means the model itself.
type Order struct {
	Endpoint string
	Verb     Verb
	Model    string
	Adapter  string
	// Expected is how long the endpoint takes.
	Expected time.Duration
	// FromStore is set when the weights come from the weight store.
	FromStore bool
	// For is the model that an unload makes room for.
	For string
	// Reason explains the order in the log; Held are the models that it was decided on.
	Reason string
	Held   []string
	// adoptions is the ledger's count when the order was decided.
	adoptions int
	// Gain is what the order was valued at, in engine seconds per second.
	Gain float64
}

// EndpointState is what the planner knows of one endpoint.
type EndpointState struct {
	fleet.Announcement
	Work fleet.Work
	// Busy is set while an order is under way or the state is not known. Engines carry out one order at a time, and refuse
	// adapters too while they load or unload a model.
	Busy bool
	// Changing lists models that are being loaded or unloaded. They take memory and serve nothing.
	Changing []string
	// Intended is the model that an unload made room for; it counts as held until it is loaded.
	Intended string
	// announces tells whether the endpoint's own last announcement lists a model.
	announces func(model string) bool
	// ordered counts the adapters that this plan orders.
	ordered int
	// AdapterUse is the time of the last use of each held adapter, by MODEL/ADAPTER.
	AdapterUse map[string]time.Time
}

// ModelDemand is what clients ask of a model at all instances.
type ModelDemand struct {
	// Load is the engine time that the requests need, in seconds per second.
	Load float64
	// Forecast is the load expected by the time that a load of weights ends.
	Forecast float64
	// Requests counts requests per second.
	Requests float64
	// Waiting counts requests that wait because no endpoint holds the model.
	Waiting int
	// ByRegion is Load by the region of the instances that clients called.
	ByRegion map[string]float64
}

// AdapterWant is an adapter that requests wait for.
type AdapterWant struct {
	Model   string
	Adapter string
	Waiting int
}

// Input is all that a plan depends on.
type Input struct {
	Engine    *routing.Engine
	Endpoints []EndpointState
	Demand    map[string]ModelDemand
	Adapters  []AdapterWant
	// RegionOf returns the region of a data centre; nil means that all are one region.
	RegionOf func(dataCentre string) string
	// StoreLoads is the number of loads that may be fetched from the weight store now.
	StoreLoads int
	Now        time.Time
}

const (
	// highLoad is the share of an engine's time above which its queue grows in bursts.
	highLoad = 0.6
	// overloadWeight values the load beyond that.
	overloadWeight = 4
	// excessWeight values load beyond what an engine can do; it continues the slope at a full engine.
	excessWeight = 5
	// unservedWeight values load that no endpoint can serve. It exceeds excessWeight, so that a first copy is always of use.
	unservedWeight = 6
	// farWeight values load that crosses between regions, because that link is narrow and paid by volume.
	farWeight = 0.15
	// lastCopyWeight values that a model without demand stays reachable without a load.
	lastCopyWeight = 0.3
	// waitingWeight values each request that waits for a model.
	waitingWeight = 0.05
	// loadCost and loadTimeCost value a load and each second that an endpoint can carry out no other order.
	loadCost     = 0.02
	loadTimeCost = 0.006
	// planHorizon is how long a demand is expected to last.
	planHorizon = 18 * time.Second
	// unloadLoadCost values the requests that an unload waits for or that are refused because of it.
	unloadLoadCost = 0.3
	// unloadCost values the prompt parts that an unload drops, and the pause until the copy can be loaded.
	unloadCost = 0.05
	// ordersPerPlan bounds the model orders of one plan; the next plan follows in a tenth of a second.
	ordersPerPlan = 8
	// valuationsPerPlan bounds how often the sites that come next are valued anew.
	valuationsPerPlan = 64
	// maxAdaptersInTransit is how many adapters an endpoint fetches at a time.
	maxAdaptersInTransit = 4
	// adapterLoadTime is the usual time to load an adapter.
	adapterLoadTime = 35 * time.Millisecond
	// unloadTime is the usual time to unload a model that runs nothing.
	unloadTime = 200 * time.Millisecond
)

// planner holds the working state of one plan.
type planner struct {
	in        *Input
	models    map[string]*modelView
	endpoints []endpointView
	// demanded names the models that clients ask for, in a fixed order.
	demanded []string
	// adapterReserveMB is the memory of full adapter slots: they may fill at any time.
	adapterReserveMB float64
	orders           []Order
	// ordersAllowed bounds the orders, those for adapters included.
	ordersAllowed int
	// used marks endpoints that have a model order in this plan.
	used map[string]bool
}

// Plan returns the orders to give now, at most one model order per endpoint.
func Plan(in *Input) []Order {
	p := newPlanner(in)
	p.planAdapters()
	p.look()
	p.planIntended()
	p.ordersAllowed = len(p.orders) + ordersPerPlan
	p.planModels()
	return p.orders
}

func newPlanner(in *Input) *planner {
	p := &planner{in: in, models: make(map[string]*modelView, len(in.Engine.Models)), used: make(map[string]bool)}
	largestAdapter := 0.0
	for name, spec := range in.Engine.Models {
		demand := in.Demand[name]
		m := &modelView{spec: spec, load: max(demand.Load, demand.Forecast), waiting: demand.Waiting, byRegion: demand.ByRegion}
		p.models[name] = m
		if m.load > 0 || m.waiting > 0 {
			p.demanded = append(p.demanded, name)
		}
		largestAdapter = max(largestAdapter, spec.AdapterMB)
	}
	slices.Sort(p.demanded)
	p.adapterReserveMB = largestAdapter * float64(in.Engine.AdapterSlots)
	for i := range in.Endpoints {
		view := endpointView{state: &in.Endpoints[i]}
		if in.RegionOf != nil {
			view.region = in.RegionOf(view.state.DataCentre)
		}
		p.endpoints = append(p.endpoints, view)
	}
	return p
}
