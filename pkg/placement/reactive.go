package placement

import (
	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// Reactive is a baseline planner without hysteresis and without a price for loads and unloads. It loads and unloads
// until each model has exactly the copies that the fast average of its demand requires, within the declared limits.
type Reactive struct{}

var _ Planner = Reactive{}

// Plan implements Planner.
func (Reactive) Plan(state State) Plan {
	p := newPlanBuilder(state)
	for _, m := range p.models {
		name := artifactName{kind: engine.KindModel, id: m.Name}
		average := p.state.Demand[m.Name]
		demanded := modelDemandOf(average.FastRequests, average.FastTokens, m).requiredCopies(concurrencyPerCopy(m, p.byService[m.Service]))
		desired := max(p.localMinimum(m), min(demanded, m.MaxCopies))
		p.unloadAbove(name, desired)
		p.ensureModel(m, desired, "demand of the last seconds")
	}
	for _, a := range p.adapters {
		p.ensureAdapter(a, 1, "no copy in the data centre")
	}
	return Plan{Steps: p.steps, Unplaced: p.unplaced}
}

// unloadAbove plans unloads until at most the desired number of endpoints serves the model.
func (p *planBuilder) unloadAbove(name artifactName, desired int) {
	for _, e := range p.byArtifact[name] {
		if p.countEndpoints(name, (*artifactCopy).serving) <= desired {
			return
		}
		c := e.findByName(name, (*artifactCopy).serving)
		if c == nil || !e.usable() {
			continue
		}
		if v, ok := p.victim(e, c, keepOne); ok {
			p.evict(e, v, "more copies than the demand of the last seconds asks for")
		}
	}
}
