package residency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// planAdapters plans loads of the adapters that requests wait for, those with the most waiting requests first.
func (p *planner) planAdapters() {
	demands := slices.Clone(p.input.Adapters)
	slices.SortFunc(demands, func(a, b AdapterDemand) int { return cmp.Compare(b.Waiting, a.Waiting) })
	for _, demand := range demands {
		e := p.endpointForAdapter(demand)
		if e == nil {
			continue
		}
		if e.AdapterCount() >= p.input.Engine.AdapterSlots {
			victim, ok := leastRecentlyUsedAdapter(e)
			if !ok {
				continue
			}
			model, adapter := victim[0], victim[1]
			e.Models = withoutAdapter(e.Models, model, adapter)
			p.orders = append(p.orders, Order{
				Endpoint: e.ID, Verb: Unload, Model: model, Adapter: adapter, Reason: "room for an adapter",
			})
		}
		e.adaptersOrdered++
		e.Models = withAdapter(e.Models, demand.Model, demand.Adapter)
		p.orders = append(p.orders, Order{
			Endpoint: e.ID, Verb: Load, Model: demand.Model, Adapter: demand.Adapter, Expected: adapterLoadTime,
			Reason: "requests wait for the adapter",
		})
	}
}

// endpointForAdapter returns the endpoint that should load an adapter. It returns nil if no endpoint can load it now or
// one already holds it.
func (p *planner) endpointForAdapter(demand AdapterDemand) *EndpointState {
	var best *EndpointState
	bestScore := math.Inf(1)
	for i := range p.input.Endpoints {
		e := &p.input.Endpoints[i]
		if e.Leaving || e.Busy || e.adaptersOrdered >= maxConcurrentAdapterLoads {
			continue
		}
		if !e.HoldsModel(demand.Model) || slices.Contains(e.ChangingModels, demand.Model) {
			continue
		}
		if e.Holds(demand.Model, demand.Adapter) {
			return nil
		}
		score := float64(e.Work.PrefillTokens)/20000 + float64(e.Work.Running)/100
		if e.AdapterCount() >= p.input.Engine.AdapterSlots {
			score++
		}
		if score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// leastRecentlyUsedAdapter returns the model and the name of the least recently used adapter at the endpoint.
func leastRecentlyUsedAdapter(e *EndpointState) ([2]string, bool) {
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

// withAdapter returns a copy of the models with one adapter added.
func withAdapter(models []fleet.HeldModel, model, adapter string) []fleet.HeldModel {
	changed := slices.Clone(models)
	for i := range changed {
		if changed[i].Name == model {
			changed[i].Adapters = append(slices.Clone(changed[i].Adapters), adapter)
		}
	}
	return changed
}

// withoutAdapter returns a copy of the models with one adapter removed.
func withoutAdapter(models []fleet.HeldModel, model, adapter string) []fleet.HeldModel {
	changed := slices.Clone(models)
	for i := range changed {
		if changed[i].Name == model {
			changed[i].Adapters = slices.DeleteFunc(slices.Clone(changed[i].Adapters), func(a string) bool { return a == adapter })
		}
	}
	return changed
}
