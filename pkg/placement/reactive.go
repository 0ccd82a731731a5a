package placement

import (
	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// Reactive is the baseline that follows the fast average of the demand without hysteresis or price: it loads and unloads
// until each model has exactly the copies that the demand of the last seconds asks for.
type Reactive struct{}

var _ Planner = Reactive{}

// Plan implements Planner.
func (Reactive) Plan(state State) Plan {
	p := newPlanning(state)
	for _, m := range p.models {
		n := name{kind: engine.KindModel, id: m.Name}
		average := p.state.Demand[m.Name]
		demanded := loadOf(average.FastRequests, average.FastTokens, m).copies(perCopy(m, p.byService[m.Service]))
		wanted := max(p.minimum(m), min(demanded, m.MaxCopies))
		p.unloadAbove(n, wanted)
		p.ensureModel(m, wanted, "demand of the last seconds")
	}
	for _, a := range p.adapters {
		p.ensureAdapter(a, 1, "no copy in the data centre")
	}
	return Plan{Steps: p.steps, Unplaced: p.unplaced}
}

func (p *planning) unloadAbove(n name, wanted int) {
	for _, s := range p.holders[n] {
		if p.count(n, (*copyOf).serves) <= wanted {
			return
		}
		c := s.any(n, (*copyOf).serves)
		if c == nil || !s.usable() {
			continue
		}
		if v, ok := p.victim(s, c, keepOne); ok {
			p.evict(s, v, "more copies than the demand of the last seconds asks for")
		}
	}
}
