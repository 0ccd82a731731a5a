// Package residency decides which models and adapters the engines hold. The decision is a pure function of what is held,
// what is asked for and what is under way; the controller carries it out while this instance holds the lease.
package residency

import (
	"cmp"
	"maps"
	"math"
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
	// Gain is what the order was valued at, in engine seconds per second.
	Gain float64
}

// EndpointState is what the planner knows of one endpoint.
type EndpointState struct {
	fleet.Announcement
	Work fleet.Work
	// Busy is set while a model order is under way or the state is not known; no model order can be sent.
	Busy bool
	// AdaptersBusy is set while no adapter order can be sent.
	AdaptersBusy bool
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
	// maxAdaptersInTransit is how many adapters an endpoint fetches at a time.
	maxAdaptersInTransit = 4
	// adapterLoadTime is the usual time to load an adapter.
	adapterLoadTime = 35 * time.Millisecond
	// unloadTime is the usual time to unload a model that runs nothing.
	unloadTime = 200 * time.Millisecond
)

// planner holds the working state of one plan.
type planner struct {
	in     *Input
	names  []string
	orders []Order
	// share is the load by endpoint, holders the endpoints of each model, both by index.
	share   []float64
	holders map[string][]int
	// serving counts the copies of each model that are neither being loaded nor unloaded.
	serving map[string]int
	used    map[string]bool
}

// Plan returns the orders to give now, at most one model order per endpoint.
func Plan(in *Input) []Order {
	p := &planner{in: in, used: make(map[string]bool)}
	p.names = slices.Sorted(maps.Keys(in.Engine.Models))
	p.planAdapters()
	p.shares()
	p.planIntended()
	p.planModels()
	return p.orders
}

// strain values how long requests wait at an engine that is busy for the given share of the time. Above highLoad queues
// grow until requests cannot be answered in time.
func strain(share float64) float64 {
	excess := max(share-1, 0)
	share = min(share, 1)
	over := max(share-highLoad, 0)
	return share*share + overloadWeight*over*over + excessWeight*excess
}

// load is the load of a model to plan for.
func (p *planner) load(name string) float64 {
	demand := p.in.Demand[name]
	return max(demand.Load, demand.Forecast)
}

// shares computes the load of each endpoint if every model's load is shared evenly among its copies.
func (p *planner) shares() {
	p.share = make([]float64, len(p.in.Endpoints))
	p.holders = make(map[string][]int)
	p.serving = make(map[string]int)
	for i := range p.in.Endpoints {
		e := &p.in.Endpoints[i]
		if e.Leaving {
			continue
		}
		for _, m := range e.Models {
			p.holders[m.Name] = append(p.holders[m.Name], i)
			if !slices.Contains(e.Changing, m.Name) {
				p.serving[m.Name]++
			}
		}
	}
	for name, holders := range p.holders {
		for _, i := range holders {
			p.share[i] += p.load(name) / float64(len(holders))
		}
	}
}

// relief is how much strain the present copies of a model lose when the endpoint takes a share of its load, less the
// strain that this adds there; freed is the load that leaves the endpoint with a victim.
func (p *planner) relief(name string, at int, freed float64) float64 {
	holders := p.holders[name]
	load := p.load(name)
	if len(holders) == 0 {
		demand := p.in.Demand[name]
		reach := unservedWeight*load + waitingWeight*float64(demand.Waiting) + lastCopyWeight
		return reach + strain(p.share[at]) - strain(p.share[at]-freed+load)
	}
	before, after := load/float64(len(holders)), load/float64(len(holders)+1)
	change := strain(p.share[at]) - strain(p.share[at]-freed+after)
	for _, i := range holders {
		change += strain(p.share[i]) - strain(p.share[i]-before+after)
	}
	return change
}

// loss is the strain that the other copies of a model gain when the endpoint unloads it.
func (p *planner) loss(name string, at int) float64 {
	holders := p.holders[name]
	load := p.load(name)
	if len(holders) <= 1 {
		return unservedWeight*load + lastCopyWeight + waitingWeight*float64(p.in.Demand[name].Waiting)
	}
	before, after := load/float64(len(holders)), load/float64(len(holders)-1)
	change := 0.0
	for _, i := range holders {
		if i != at {
			change += strain(p.share[i]-before+after) - strain(p.share[i])
		}
	}
	return change
}

// site is one way to make room for a copy.
type site struct {
	model    *routing.Model
	endpoint *EndpointState
	// victim is the model to unload first; empty when there is room.
	victim    string
	loadTime  time.Duration
	fromStore bool
	// net is the gain of the copy less what it costs.
	net float64
}

// planIntended orders the loads that unloads have made room for.
func (p *planner) planIntended() {
	for i := range p.in.Endpoints {
		e := &p.in.Endpoints[i]
		model := p.in.Engine.Models[e.Intended]
		if model == nil || e.Busy || e.Leaving {
			continue
		}
		took, fromStore := loadTime(e, model)
		if fromStore && p.in.StoreLoads <= 0 {
			continue
		}
		if fromStore {
			p.in.StoreLoads--
		}
		p.used[e.ID] = true
		p.orders = append(p.orders, Order{
			Endpoint: e.ID, Verb: Load, Model: model.Name, Expected: took, FromStore: fromStore,
			Reason: "room was made", Held: heldNames(e),
		})
	}
}

// planModels orders copies, the most useful first, as long as one is worth its cost.
func (p *planner) planModels() {
	for range p.in.Endpoints {
		best := p.bestSite()
		if best == nil {
			return
		}
		p.order(best)
	}
}

// order adds the order of a site and takes it into account.
func (p *planner) order(s *site) {
	e := s.endpoint
	p.used[e.ID] = true
	order := Order{Endpoint: e.ID, Held: heldNames(e), Gain: s.net}
	if s.victim != "" {
		order.Verb, order.Model, order.Expected = Unload, s.victim, unloadTime
		order.For, order.Reason = s.model.Name, "room for "+s.model.Name
		e.Models = slices.DeleteFunc(slices.Clone(e.Models), func(m fleet.HeldModel) bool { return m.Name == s.victim })
	} else {
		order.Verb, order.Model, order.Expected, order.Reason = Load, s.model.Name, s.loadTime, "demand"
		order.FromStore = s.fromStore
	}
	if s.fromStore {
		p.in.StoreLoads--
	}
	e.Models = append(slices.Clone(e.Models), fleet.HeldModel{Name: s.model.Name})
	p.shares()
	p.orders = append(p.orders, order)
}

// bestSite returns the site with the highest net gain, or nil when none is worth its cost.
func (p *planner) bestSite() *site {
	var best *site
	for _, name := range p.names {
		if p.load(name) == 0 && p.in.Demand[name].Waiting == 0 {
			continue
		}
		for i := range p.in.Endpoints {
			e := &p.in.Endpoints[i]
			if e.Busy || e.Leaving || p.used[e.ID] || e.HoldsModel(name) {
				continue
			}
			s := p.siteAt(i, p.in.Engine.Models[name])
			if s != nil && s.net > 0 && (best == nil || s.net > best.net) {
				best = s
			}
		}
	}
	return best
}

// siteAt values a copy of the model at an endpoint.
func (p *planner) siteAt(at int, model *routing.Model) *site {
	e := &p.in.Endpoints[at]
	s := &site{model: model, endpoint: e}
	s.loadTime, s.fromStore = loadTime(e, model)
	if s.fromStore && p.in.StoreLoads <= 0 {
		return nil
	}
	s.net = -loadCost - s.loadTime.Seconds()*loadTimeCost
	// A copy is of use only from the end of its load on, while a victim is missed at once.
	lasting := max(1-s.loadTime.Seconds()/planHorizon.Seconds(), 0)
	if p.freeMB(e) >= model.WeightsMB {
		s.net += p.relief(model.Name, at, 0) * lasting
		return s
	}
	victim, loss := p.victim(at, model)
	if victim == "" {
		return nil
	}
	s.victim = victim
	freed := p.load(victim) / float64(max(len(p.holders[victim]), 1))
	s.net += p.relief(model.Name, at, freed)*lasting - loss - unloadCost - freed*unloadLoadCost
	return s
}

func heldNames(e *EndpointState) []string {
	names := make([]string, 0, len(e.Models))
	for _, m := range e.Models {
		names = append(names, m.Name)
	}
	return names
}

// loadTime is the time to load the model at the endpoint, and whether its weights come from the weight store.
func loadTime(e *EndpointState, model *routing.Model) (time.Duration, bool) {
	switch {
	case slices.Contains(e.InMemory, model.Name):
		return model.FromMemory, false
	case slices.Contains(e.OnDisk, model.Name):
		return model.FromDisk, false
	default:
		return model.FromStore, true
	}
}

// freeMB is the memory that neither held nor possibly held weights and adapters take.
func (p *planner) freeMB(e *EndpointState) float64 {
	free := p.in.Engine.MemoryMB
	largestAdapter := 0.0
	for _, m := range p.in.Engine.Models {
		largestAdapter = max(largestAdapter, m.AdapterMB)
	}
	for _, m := range e.Models {
		if model := p.in.Engine.Models[m.Name]; model != nil {
			free -= model.WeightsMB
		}
	}
	// All adapter slots may fill at any time.
	return free - largestAdapter*float64(p.in.Engine.AdapterSlots)
}

// victim returns the model at the endpoint whose copy is missed least, with that loss, or an empty string.
func (p *planner) victim(at int, target *routing.Model) (string, float64) {
	e := &p.in.Endpoints[at]
	best, bestLoss := "", math.Inf(1)
	for _, held := range e.Models {
		model := p.in.Engine.Models[held.Name]
		if model == nil || slices.Contains(e.Changing, held.Name) {
			continue
		}
		if p.freeMB(e)+model.WeightsMB < target.WeightsMB {
			continue
		}
		// The last copy that serves gives way only to a model that has none, and a model that is being loaded elsewhere
		// keeps the copies that it has.
		if p.serving[held.Name] <= 1 && len(p.holders[target.Name]) > 0 || p.serving[held.Name] < len(p.holders[held.Name]) {
			continue
		}
		if loss := p.loss(held.Name, at); loss < bestLoss {
			best, bestLoss = held.Name, loss
		}
	}
	return best, bestLoss
}

// planAdapters orders adapters that requests wait for.
func (p *planner) planAdapters() {
	wants := slices.Clone(p.in.Adapters)
	slices.SortFunc(wants, func(a, b AdapterWant) int { return cmp.Compare(b.Waiting, a.Waiting) })
	for _, want := range wants {
		e := p.adapterSite(want)
		if e == nil {
			continue
		}
		if e.AdapterCount() >= p.in.Engine.AdapterSlots {
			victim, ok := oldestAdapter(e)
			if !ok {
				continue
			}
			model, adapter := victim[0], victim[1]
			e.Models = withoutAdapter(e.Models, model, adapter)
			p.orders = append(p.orders, Order{
				Endpoint: e.ID, Verb: Unload, Model: model, Adapter: adapter, Reason: "room for an adapter",
			})
		}
		e.ordered++
		e.Models = withAdapter(e.Models, want.Model, want.Adapter)
		p.orders = append(p.orders, Order{
			Endpoint: e.ID, Verb: Load, Model: want.Model, Adapter: want.Adapter, Expected: adapterLoadTime,
			Reason: "requests wait for the adapter",
		})
	}
}

// adapterSite returns the endpoint that should fetch an adapter, or nil when none can now.
func (p *planner) adapterSite(want AdapterWant) *EndpointState {
	var best *EndpointState
	bestScore := math.Inf(1)
	for i := range p.in.Endpoints {
		e := &p.in.Endpoints[i]
		if e.Leaving || e.AdaptersBusy || e.ordered >= maxAdaptersInTransit {
			continue
		}
		if !e.HoldsModel(want.Model) || slices.Contains(e.Changing, want.Model) {
			continue
		}
		if e.Holds(want.Model, want.Adapter) {
			return nil
		}
		score := float64(e.Work.PrefillTokens)/20000 + float64(e.Work.Running)/100
		if e.AdapterCount() >= p.in.Engine.AdapterSlots {
			score++
		}
		if score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// oldestAdapter returns the model and the name of the held adapter that was used least recently.
func oldestAdapter(e *EndpointState) ([2]string, bool) {
	var oldest [2]string
	var oldestUse time.Time
	found := false
	for _, m := range e.Models {
		for _, adapter := range m.Adapters {
			use := e.AdapterUse[m.Name+"/"+adapter]
			if !found || use.Before(oldestUse) {
				oldest, oldestUse, found = [2]string{m.Name, adapter}, use, true
			}
		}
	}
	return oldest, found
}

// withAdapter returns the models with one adapter added; the argument stays as it is.
func withAdapter(models []fleet.HeldModel, model, adapter string) []fleet.HeldModel {
	changed := slices.Clone(models)
	for i := range changed {
		if changed[i].Name == model {
			changed[i].Adapters = append(slices.Clone(changed[i].Adapters), adapter)
		}
	}
	return changed
}

// withoutAdapter returns the models with one adapter removed; the argument stays as it is.
func withoutAdapter(models []fleet.HeldModel, model, adapter string) []fleet.HeldModel {
	changed := slices.Clone(models)
	for i := range changed {
		if changed[i].Name == model {
			changed[i].Adapters = slices.DeleteFunc(slices.Clone(changed[i].Adapters), func(a string) bool { return a == adapter })
		}
	}
	return changed
}
