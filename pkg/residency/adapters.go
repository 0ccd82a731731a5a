package residency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

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
		if e.Leaving || e.Busy || e.ordered >= maxAdaptersInTransit {
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
