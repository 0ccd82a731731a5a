package residency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// planAdapters plans loads of the adapters that requests wait for, those with the most waiting requests first. Slots are
// taken from adapters that no request uses. Only if requests use all adapters of an endpoint, one is unloaded under them:
// the endpoint takes no further requests for it, and the next adapter is loaded once its last request has ended.
func (p *planner) planAdapters() {
	demands := slices.Clone(p.input.Adapters)
	slices.SortFunc(demands, func(a, b AdapterDemand) int { return cmp.Compare(b.Waiting, a.Waiting) })
	for _, demand := range demands {
		e := p.endpointForAdapter(demand)
		if e == nil {
			continue
		}
		if e.AdapterCount() < p.input.Engine.AdapterSlots {
			p.loadAdapter(e, demand)
			continue
		}
		if idle, found := e.leastRecentlyUsedAdapter(e.isIdle); found {
			p.unloadAdapter(e, idle)
			e.Models = withoutAdapter(e.Models, idle.Model, idle.Adapter)
			p.loadAdapter(e, demand)
			continue
		}
		p.unloadAdapterInUse(e)
	}
}

func (p *planner) loadAdapter(e *EndpointState, demand AdapterDemand) {
	e.adaptersOrdered++
	e.Models = withAdapter(e.Models, demand.Model, demand.Adapter)
	p.orders = append(p.orders, Order{
		Endpoint: e.ID, Verb: Load, Model: demand.Model, Adapter: demand.Adapter, Expected: adapterLoadTime,
		Reason: "requests wait for the adapter",
	})
}

func (p *planner) unloadAdapter(e *EndpointState, key AdapterKey) {
	p.orders = append(p.orders, Order{
		Endpoint: e.ID, Verb: Unload, Model: key.Model, Adapter: key.Adapter, Reason: "room for an adapter",
	})
}

// unloadAdapterInUse makes room at an endpoint whose adapters are all in use. One unload at a time waits there: an adapter
// that is being unloaded serves no new requests, so that each further one would cost more requests than it helps.
func (p *planner) unloadAdapterInUse(e *EndpointState) {
	if len(e.UnloadingAdapters) > 0 {
		return
	}
	anyAdapter := func(AdapterKey) bool { return true }
	if victim, found := e.leastRecentlyUsedAdapter(anyAdapter); found {
		e.UnloadingAdapters = []AdapterKey{victim}
		p.unloadAdapter(e, victim)
	}
}

// Scores by which endpoints that could load an adapter are compared, beside their work.
const (
	// scoreWithoutFreeSlot is added if an idle adapter must be unloaded first.
	scoreWithoutFreeSlot = 1
	// scoreWithoutIdleSlot is added if requests use all adapters.
	scoreWithoutIdleSlot = 3
)

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
		if slices.Contains(e.UnloadingAdapters, AdapterKey{Model: demand.Model, Adapter: demand.Adapter}) {
			continue
		}
		if e.Holds(demand.Model, demand.Adapter) {
			return nil
		}
		score := float64(e.Work.PrefillTokens)/20000 + float64(e.Work.Running)/100 + p.slotScore(e)
		if score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// slotScore returns the part of an endpoint's score that depends on its adapter slots.
func (p *planner) slotScore(e *EndpointState) float64 {
	if e.AdapterCount() < p.input.Engine.AdapterSlots {
		return 0
	}
	if _, found := e.leastRecentlyUsedAdapter(e.isIdle); found {
		return scoreWithoutFreeSlot
	}
	return scoreWithoutIdleSlot
}

// isIdle reports whether no request uses an adapter and it is not being unloaded.
func (e *EndpointState) isIdle(key AdapterKey) bool {
	return e.AdapterUse[key].Requests == 0 && !slices.Contains(e.UnloadingAdapters, key)
}

// leastRecentlyUsedAdapter returns the least recently used adapter at the endpoint among those that may be chosen.
func (e *EndpointState) leastRecentlyUsedAdapter(mayChoose func(AdapterKey) bool) (AdapterKey, bool) {
	var oldest AdapterKey
	var oldestUse time.Time
	found := false
	for _, m := range e.Models {
		for _, adapter := range m.Adapters {
			key := AdapterKey{Model: m.Name, Adapter: adapter}
			if !mayChoose(key) {
				continue
			}
			if use := e.AdapterUse[key].LastUse; !found || use.Before(oldestUse) {
				oldest, oldestUse, found = key, use, true
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
