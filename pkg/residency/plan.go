// Package residency decides which models and adapters the engines hold. The decision is a pure function of the models
// held, the demand and the orders in progress. The controller carries it out while this instance holds the lease.
package residency

import (
	"slices"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

// Verb is the action of an order.
type Verb int

// Verbs of orders.
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
	// Expected is the expected time that the endpoint needs.
	Expected time.Duration
	// FromStore is set if the weights come from the weight store.
	FromStore bool
	// ForModel is the model for which an unload frees memory.
	ForModel string
	// Reason explains the order in the log; Held are the models that the endpoint held when the order was planned.
	Reason string
	Held   []string
	// reportsApplied is the value of ledger.reportsApplied when the order was queued.
	reportsApplied int
	// Gain is the net gain of the order, in engine seconds per second.
	Gain float64
}

// EndpointState is the planner's view of one endpoint.
type EndpointState struct {
	fleet.Announcement
	Work fleet.Work
	// Busy is set while an order is in progress or the state is unknown. Engines carry out one order at a time, and
	// refuse adapter orders too while they load or unload a model.
	Busy bool
	// UnloadingAdapters lists adapters whose unload waits for requests that use them. They occupy slots and serve no
	// further requests.
	UnloadingAdapters []AdapterKey
	// ChangingModels lists models that are being loaded or unloaded. They occupy memory and serve no requests.
	ChangingModels []string
	// ModelToLoad is the model for which an unload frees memory; it counts as held until it is loaded.
	ModelToLoad string
	// announced is what the endpoint's last announcement lists.
	announced listing
	// adaptersOrdered counts the adapter loads that this plan orders.
	adaptersOrdered int
	// AdapterUse is the use of each adapter by clients' requests.
	AdapterUse map[AdapterKey]AdapterUse
}

// AdapterKey names an adapter of a model.
type AdapterKey struct {
	Model   string
	Adapter string
}

// AdapterUse is the use of an adapter by the requests of all instances, at any endpoint.
type AdapterUse struct {
	// LastUse is when a request that uses the adapter last arrived or ended.
	LastUse time.Time
	// Requests counts the requests in progress.
	Requests int
}

// ModelDemand is the client demand for a model at all instances.
type ModelDemand struct {
	// Load is the engine time that the requests need, in seconds per second.
	Load float64
	// Forecast is the value of Load expected at the time at which the weights would be in memory if their load started
	// now.
	Forecast float64
	// RequestRate is the number of requests per second.
	RequestRate float64
	// Waiting counts requests that wait because no endpoint holds the model.
	Waiting int
	// ByRegion is Load by the region of the instances that clients called.
	ByRegion map[string]float64
}

// AdapterDemand is an adapter that requests wait for.
type AdapterDemand struct {
	Model   string
	Adapter string
	Waiting int
}

// Input is everything that a plan depends on.
type Input struct {
	Engine    *routing.Engine
	Endpoints []EndpointState
	Demand    map[string]ModelDemand
	Adapters  []AdapterDemand
	// RegionOf returns the region of a data centre; nil means that there is only one region.
	RegionOf func(dataCentre string) string
	// StoreLoadsAllowed is the number of loads from the weight store that may start now.
	StoreLoadsAllowed int
	Now               time.Time
}

const (
	// highUtilization is the utilization of an engine above which its queue grows in bursts.
	highUtilization = 0.6
	// overloadWeight is the cost of load above highUtilization.
	overloadWeight = 4
	// excessWeight is the cost of load beyond an engine's capacity. It continues the slope of the cost at a full
	// engine.
	excessWeight = 5
	// unservedWeight is the cost of load that no endpoint can serve. It exceeds excessWeight, so a first copy always
	// has a gain.
	unservedWeight = 6
	// crossRegionWeight is the cost of load that crosses between regions: that link is narrow and billed by volume.
	crossRegionWeight = 0.15
	// lastCopyWeight is the value of the last copy of a model even without demand: later requests need not wait for a
	// load.
	lastCopyWeight = 0.3
	// waitingWeight is the cost of each request that waits for a model.
	waitingWeight = 0.05
	// loadCost is the cost of a load, loadCostPerSecond that of each second in which the endpoint can carry out no
	// other order.
	loadCost          = 0.02
	loadCostPerSecond = 0.006
	// planHorizon is how long the demand is expected to last.
	planHorizon = 18 * time.Second
	// displacedLoadCost is the cost of the requests that an unload waits for or that are refused because of it.
	displacedLoadCost = 0.3
	// unloadCost is the cost of the cached prompt parts that an unload drops, and of the pause until the new copy can
	// be loaded.
	unloadCost = 0.05
	// maxOrdersPerPlan bounds the model orders of one plan; the next plan follows in a tenth of a second.
	maxOrdersPerPlan = 8
	// maxEvaluationsPerPlan bounds how often leading candidates are evaluated again.
	maxEvaluationsPerPlan = 64
	// maxConcurrentAdapterLoads is the number of adapters that an endpoint loads at a time.
	maxConcurrentAdapterLoads = 4
	// adapterLoadTime is the usual time to load an adapter.
	adapterLoadTime = 35 * time.Millisecond
	// unloadTime is the usual time to unload a model without running requests.
	unloadTime = 200 * time.Millisecond
)

// planner holds the working state of one plan.
type planner struct {
	input     *Input
	models    map[string]*modelView
	endpoints []endpointView
	// demandedModels names the models in demand, sorted.
	demandedModels []string
	// adapterReserveMB is the memory of full adapter slots, which may fill at any time.
	adapterReserveMB float64
	orders           []Order
	// ordersAllowed bounds the number of orders, including those for adapters.
	ordersAllowed int
	// hasModelOrder marks endpoints that have a model order in this plan.
	hasModelOrder map[string]bool
}

// Plan returns the orders to give now, at most one model order per endpoint.
func Plan(input *Input) []Order {
	p := newPlanner(input)
	p.planAdapters()
	p.computeViews()
	p.planLoadsAfterUnloads()
	p.ordersAllowed = len(p.orders) + maxOrdersPerPlan
	p.planModels()
	return p.orders
}

func newPlanner(input *Input) *planner {
	p := &planner{input: input, models: make(map[string]*modelView, len(input.Engine.Models)), hasModelOrder: make(map[string]bool)}
	largestAdapter := 0.0
	for name, spec := range input.Engine.Models {
		demand := input.Demand[name]
		m := &modelView{spec: spec, load: max(demand.Load, demand.Forecast), waiting: demand.Waiting, byRegion: demand.ByRegion}
		p.models[name] = m
		if m.load > 0 || m.waiting > 0 {
			p.demandedModels = append(p.demandedModels, name)
		}
		largestAdapter = max(largestAdapter, spec.AdapterMB)
	}
	slices.Sort(p.demandedModels)
	p.adapterReserveMB = largestAdapter * float64(input.Engine.AdapterSlots)
	for i := range input.Endpoints {
		view := endpointView{state: &input.Endpoints[i]}
		if input.RegionOf != nil {
			view.region = input.RegionOf(view.state.DataCentre)
		}
		p.endpoints = append(p.endpoints, view)
	}
	return p
}
