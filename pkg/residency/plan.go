// Package residency decides which models and adapters the engines hold. The decision is a pure function of what is held,
// what is asked for and what is under way; the controller carries it out while this instance holds the lease.
package residency

import (
	"cmp"
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
	// Reason explains the order in the log; Held are the models that it was decided on.
	Reason string
	Held   []string
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
	// ordered counts the adapters that this plan orders.
	ordered int
	// AdapterUse is the time of the last use of each held adapter, by MODEL/ADAPTER.
	AdapterUse map[string]time.Time
}

// ModelDemand is what clients ask of a model at all instances.
type ModelDemand struct {
	// Load is the engine time that the requests need, in seconds per second.
	Load float64
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
	// targetLoad is the engine load per copy above which a further copy is worth a load: an engine that is half busy still
	// answers without a queue.
	targetLoad = 0.45
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
	copies map[string]int
	orders []Order
	used   map[string]bool
}

// Plan returns the orders to give now, at most one model order per endpoint.
func Plan(in *Input) []Order {
	p := &planner{in: in, copies: make(map[string]int), used: make(map[string]bool)}
	for i := range in.Endpoints {
		e := &in.Endpoints[i]
		if e.Leaving {
			continue
		}
		for _, m := range e.Models {
			p.copies[m.Name]++
		}
	}
	p.planAdapters()
	for _, name := range p.modelsByNeed() {
		p.planModel(name)
	}
	return p.orders
}

// wantedCopies is the number of copies that the demand for a model justifies.
func (p *planner) wantedCopies(name string) int {
	demand := p.in.Demand[name]
	wanted := int(math.Ceil(demand.Load / targetLoad))
	if demand.Waiting > 0 || demand.Requests > 0 {
		wanted = max(wanted, 1)
	}
	return min(wanted, len(p.in.Endpoints))
}

// need orders models by the load that one copy of them carries.
func (p *planner) need(name string) float64 {
	copies := p.copies[name]
	if copies == 0 {
		return math.Inf(1)
	}
	return p.in.Demand[name].Load / float64(copies)
}

// modelsByNeed returns the models that want more copies, the neediest first.
func (p *planner) modelsByNeed() []string {
	var names []string
	for name := range p.in.Engine.Models {
		if p.copies[name] < p.wantedCopies(name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.need(b), p.need(a)),
			cmp.Compare(p.in.Demand[b].Waiting, p.in.Demand[a].Waiting),
			cmp.Compare(a, b))
	})
	return names
}

// site is one way to make room for a copy.
type site struct {
	endpoint *EndpointState
	// victim is the model to unload first; empty when there is room.
	victim    string
	loadTime  time.Duration
	fromStore bool
	cost      float64
}

// planModel orders copies of a model as far as endpoints and the weight store allow.
func (p *planner) planModel(name string) {
	model := p.in.Engine.Models[name]
	for p.copies[name] < p.wantedCopies(name) {
		best := p.bestSite(model)
		if best == nil {
			return
		}
		p.used[best.endpoint.ID] = true
		p.copies[name]++
		if best.victim != "" {
			p.copies[best.victim]--
			p.orders = append(p.orders, Order{
				Endpoint: best.endpoint.ID, Verb: Unload, Model: best.victim, Expected: unloadTime,
				Reason: "room for " + name, Held: heldNames(best.endpoint),
			})
			continue
		}
		if best.fromStore {
			p.in.StoreLoads--
		}
		p.orders = append(p.orders, Order{
			Endpoint: best.endpoint.ID, Verb: Load, Model: name, Expected: best.loadTime, FromStore: best.fromStore,
			Reason: "demand exceeds copies", Held: heldNames(best.endpoint),
		})
	}
}

func heldNames(e *EndpointState) []string {
	names := make([]string, 0, len(e.Models))
	for _, m := range e.Models {
		names = append(names, m.Name)
	}
	return names
}

// bestSite returns the cheapest site, or nil.
func (p *planner) bestSite(model *routing.Model) *site {
	var best *site
	for i := range p.in.Endpoints {
		e := &p.in.Endpoints[i]
		if e.Busy || e.Leaving || p.used[e.ID] || e.HoldsModel(model.Name) {
			continue
		}
		s := p.siteAt(e, model)
		if s != nil && (best == nil || s.cost < best.cost) {
			best = s
		}
	}
	return best
}

func (p *planner) siteAt(e *EndpointState, model *routing.Model) *site {
	s := &site{endpoint: e}
	s.loadTime, s.fromStore = loadTime(e, model)
	if s.fromStore && p.in.StoreLoads <= 0 {
		return nil
	}
	s.cost = s.loadTime.Seconds() + float64(e.Work.PrefillTokens)/20000 + float64(e.Work.Running)/100
	if p.freeMB(e) >= model.WeightsMB {
		return s
	}
	s.victim = p.victim(e, model)
	if s.victim == "" {
		return nil
	}
	s.cost += 1 + p.in.Demand[s.victim].Load
	return s
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

// victim returns the model at the endpoint that is best unloaded for another one, or an empty string. A model gives way
// if it keeps as many copies as its demand wants, and its last copy only to a model that has none.
func (p *planner) victim(e *EndpointState, target *routing.Model) string {
	best, bestScore := "", math.Inf(1)
	for _, held := range e.Models {
		name := held.Name
		if slices.Contains(e.Changing, name) {
			continue
		}
		demand := p.in.Demand[name]
		keep := max(p.wantedCopies(name), 1)
		if p.copies[target.Name] == 0 && demand.Requests == 0 && demand.Waiting == 0 {
			keep = 0
		}
		if p.copies[name] <= keep {
			continue
		}
		if p.in.Engine.Models[name] != nil && p.freeMB(e)+p.in.Engine.Models[name].WeightsMB < target.WeightsMB {
			continue
		}
		score := demand.Load + demand.Requests
		if p.copies[name] <= 1 {
			score++
		}
		if score < bestScore {
			best, bestScore = name, score
		}
	}
	return best
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
