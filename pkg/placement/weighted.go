package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/ledger"
)

// Weighted is the default planner. It loads first copies, the declared minimum of copies and the declared versions at
// any price. It loads further copies if the value of the additional requests that meet their latency targets exceeds
// the price of the loads and unloads. The value and the price follow from the deployment's AttainmentWeight and
// MoveWeight. It unloads copies only to free memory, to change a version, to respect declared limits, or if they are no
// longer declared.
type Weighted struct{}

var _ Planner = Weighted{}

// planBuilder computes one plan of Weighted or Reactive.
type planBuilder struct {
	*layout
	prices   prices
	models   []*config.Model
	adapters []*config.Adapter
	// remainingLoads and remainingAdapterLoads are the numbers of loads that this plan may still add to those in
	// progress. Further loads wait for a later plan, so that an urgent load does not queue behind them at the weight
	// store.
	remainingLoads, remainingAdapterLoads int
	// mayBeRelocating is true if a copy may be moving to another endpoint to free the memory that it uses now: this
	// plan has started such a move, or a model that already serves is loading another copy, whose reason the record
	// does not contain. No other move starts until that load has ended.
	mayBeRelocating bool
	// victimCache holds the results of victims, which are valid until the next planned unload.
	victimCache map[victimCacheKey]cachedVictims
}

// Plan implements Planner.
func (Weighted) Plan(state State) Plan {
	p := newPlanBuilder(state)
	p.setRoles()
	p.unloadUndeclared()
	p.evictOvercommitted()
	for _, m := range p.modelsWithWaitingCalls() {
		p.ensureFirstCopy(m, "calls are waiting and no copy is loaded")
	}
	for _, m := range p.models {
		p.ensureFirstCopy(m, "no copy in the data centre")
	}
	for _, m := range p.models {
		p.ensureMinimum(m)
	}
	for _, m := range p.models {
		p.changeVersion(m)
	}
	for _, a := range p.adapters {
		p.placeAdapter(a)
	}
	for _, m := range p.modelsByGain() {
		p.addCopiesForDemand(m)
	}
	p.unloadAboveMaximum()
	return Plan{Steps: p.steps, Unplaced: p.unplaced}
}

func newPlanBuilder(state State) *planBuilder {
	p := &planBuilder{
		layout:      newLayout(state),
		prices:      pricesOf(state.Snapshot.Deployment()),
		models:      modelsBySize(state.Snapshot),
		adapters:    adaptersByName(state.Snapshot),
		victimCache: make(map[victimCacheKey]cachedVictims),
	}
	p.removeOtherServices()
	p.sortByPriority()
	deployment := state.Snapshot.Deployment()
	p.remainingLoads = loadLimit(deployment.ConcurrentModelLoads)
	p.remainingAdapterLoads = loadLimit(deployment.ConcurrentAdapterLoads)
	p.subtractPendingLoads()
	return p
}

// unlimitedLoads replaces a limit that is not declared.
const unlimitedLoads = 1 << 30

func loadLimit(declared int) int {
	if declared <= 0 {
		return unlimitedLoads
	}
	return declared
}

// removeOtherServices removes models and adapters of services without an endpoint in the data centre, so that they do
// not count as unplaced.
func (p *planBuilder) removeOtherServices() {
	here := make(map[string]bool)
	for _, endpoint := range p.state.Endpoints {
		here[endpoint.Declaration.Service] = true
	}
	p.models = slices.DeleteFunc(p.models, func(m *config.Model) bool { return !here[m.Service] })
	p.adapters = slices.DeleteFunc(p.adapters, func(a *config.Adapter) bool {
		m := p.state.Snapshot.Model(a.Model)
		return m == nil || !here[m.Service]
	})
}

// sortByPriority sorts models without a copy in another data centre first, then by decreasing size. Models of equal
// size have a different order in each data centre, so that a shortage of memory does not affect the same models
// everywhere.
func (p *planBuilder) sortByPriority() {
	rank := make(map[string]uint64, len(p.models))
	for _, m := range p.models {
		rank[m.Name] = xxhash.Sum64String(p.state.DataCentre + "/" + m.Name)
	}
	elsewhere := func(m *config.Model) int { return min(p.state.CopiesElsewhere[m.Name], 1) }
	slices.SortStableFunc(p.models, func(a, b *config.Model) int {
		return cmp.Or(
			cmp.Compare(elsewhere(a), elsewhere(b)),
			cmp.Compare(b.AcceleratorsPerCopy, a.AcceleratorsPerCopy),
			cmp.Compare(b.WeightBytes+b.KVReserveBytes, a.WeightBytes+a.KVReserveBytes),
			cmp.Compare(rank[a.Name], rank[b.Name]),
		)
	})
}

// subtractPendingLoads subtracts the loads in progress from the limits and sets mayBeRelocating.
func (p *planBuilder) subtractPendingLoads() {
	for _, e := range p.endpoints {
		for _, c := range e.copies {
			if c.state != ledger.Loading {
				continue
			}
			if c.artifact.Kind == engine.KindAdapter {
				p.remainingAdapterLoads--
				continue
			}
			p.remainingLoads--
			p.mayBeRelocating = p.mayBeRelocating || p.countEndpoints(artifactNameOf(c.artifact), (*artifactCopy).serving) > 0
		}
	}
}

func (p *planBuilder) setRoles() {
	for _, e := range p.endpoints {
		desired := e.Declaration.Role
		if desired == "" {
			desired = "serve"
		}
		if !e.usable() || e.Role == "" || e.Role == desired || e.Record.RoleOrder != nil {
			continue
		}
		p.steps = append(p.steps, Step{
			Endpoint: e.Declaration.Name, Kind: StepSetRole, Role: desired, Reason: "the declared role differs from " + e.Role,
		})
	}
}

// unloadUndeclared unloads artifacts that are no longer declared, adapters before models.
func (p *planBuilder) unloadUndeclared() {
	for _, kind := range []engine.ArtifactKind{engine.KindAdapter, engine.KindModel} {
		for _, e := range p.endpoints {
			for _, c := range e.copies {
				if c.artifact.Kind != kind || !e.usable() || !c.serving() || p.isDeclared(c.artifact) {
					continue
				}
				p.unload(e, c, "", "no longer declared")
				p.steps[len(p.steps)-1].Withdrawn = true
			}
		}
	}
}

func (p *planBuilder) isDeclared(artifact engine.Artifact) bool {
	if artifact.Kind == engine.KindAdapter {
		return p.state.Snapshot.Adapter(artifact.Name) != nil
	}
	return p.state.Snapshot.Model(artifact.Name) != nil
}

// evictOvercommitted unloads the cheapest victims of endpoints with more reserved than declared memory.
func (p *planBuilder) evictOvercommitted() {
	for _, e := range p.endpoints {
		if !e.usable() || len(e.free) == 0 || slices.Min(e.free) >= 0 {
			continue
		}
		for _, v := range p.victims(e, keepOne) {
			if slices.Min(e.free) >= 0 {
				break
			}
			p.evict(e, v, "the declared memory of the endpoint was reduced")
		}
	}
}

// unloadAboveMaximum unloads copies of the declared version above the declared maximum. It leaves old versions to
// changeVersion, which temporarily needs one copy above the maximum. While a copy is moved, its model also has one copy
// more, until the load that needs the old copy's memory takes its place. So nothing is unloaded here while a move may
// be in progress, or while the limit of loads is reached, because that load may then still have to wait.
func (p *planBuilder) unloadAboveMaximum() {
	if p.remainingLoads <= 0 || p.mayBeRelocating {
		return
	}
	for _, m := range p.models {
		name := artifactName{kind: engine.KindModel, id: m.Name}
		isCurrent := func(c *artifactCopy) bool { return c.artifact == ModelArtifact(m) && c.serving() }
		for _, e := range p.byArtifact[name] {
			if m.MaxCopies <= 0 || p.countEndpoints(name, isCurrent) <= max(m.MaxCopies, p.localMinimum(m)) {
				break
			}
			c := e.findByName(name, isCurrent)
			if c == nil || !e.usable() {
				continue
			}
			if v, ok := p.victim(e, c, keepOne); ok {
				p.evict(e, v, "above the declared maximum of copies")
			}
		}
	}
}

// modelsWithWaitingCalls returns the models with waiting calls, those with the most calls first.
func (p *planBuilder) modelsWithWaitingCalls() []*config.Model {
	var found []*config.Model
	for _, m := range p.models {
		if p.state.Demand[m.Name].Waiting > 0 {
			found = append(found, m)
		}
	}
	slices.SortStableFunc(found, func(a, b *config.Model) int {
		return cmp.Compare(p.state.Demand[b.Name].Waiting, p.state.Demand[a.Name].Waiting)
	})
	return found
}

// ensureFirstCopy loads the first copy of a model without copies. It uses free memory, or else evicts copies that are
// not the last copy of their model, or else moves a copy to another endpoint.
func (p *planBuilder) ensureFirstCopy(m *config.Model, reason string) {
	name := artifactName{kind: engine.KindModel, id: m.Name}
	if p.countEndpoints(name, (*artifactCopy).servingOrLoading) > 0 || p.isUnplaced(ModelArtifact(m)) {
		return
	}
	if p.tryLoadModel(m, reason) || p.remainingLoads <= 0 {
		return
	}
	if p.replaceVictims(m, reason, keepOne, noPriceLimit) || p.relocateToFit(m) {
		return
	}
	p.recordUnplaced(ModelArtifact(m), p.localMinimum(m), 0, "no endpoint has enough memory, and no copy can be spared or moved")
}

func (p *planBuilder) isUnplaced(artifact engine.Artifact) bool {
	return slices.ContainsFunc(p.unplaced, func(u UnplacedArtifact) bool { return u.Artifact == artifact })
}

// tryLoadModel plans a load into free memory within the limit of loads. It reports whether it planned one.
func (p *planBuilder) tryLoadModel(m *config.Model, reason string) bool {
	if p.remainingLoads <= 0 || !p.loadModelAnywhere(m, reason) {
		return false
	}
	p.remainingLoads--
	return true
}

// ensureMinimum loads copies up to the data centre's share of the declared minimum, into free memory or in place of
// other models' copies that exceed their own minimum.
func (p *planBuilder) ensureMinimum(m *config.Model) {
	name := artifactName{kind: engine.KindModel, id: m.Name}
	copies := p.countEndpoints(name, (*artifactCopy).servingOrLoading)
	if copies == 0 {
		return
	}
	for ; copies < p.localMinimum(m) && p.remainingLoads > 0; copies++ {
		const reason = "below the declared minimum"
		if !p.tryLoadModel(m, reason) && !p.replaceVictims(m, reason, keepDeclaredMinimum, noPriceLimit) {
			p.recordUnplaced(ModelArtifact(m), p.localMinimum(m), copies, "no endpoint of the service has enough memory to spare")
			return
		}
	}
}

// addCopiesForDemand loads copies while the value of the additional requests that meet their latency targets exceeds
// the price of the loads and unloads.
func (p *planBuilder) addCopiesForDemand(m *config.Model) {
	name := artifactName{kind: engine.KindModel, id: m.Name}
	demand := growthDemand(p.state.Demand[m.Name], m)
	copies := p.countEndpoints(name, (*artifactCopy).servingOrLoading)
	for copies < m.MaxCopies && p.remainingLoads > 0 && copies > 0 {
		netValue := p.netValueOfNextCopy(demand, copies, m)
		if netValue <= 0 {
			return
		}
		const reason = "requests answered in time outweigh the moves"
		if !p.tryLoadModel(m, reason) && !p.replaceVictims(m, reason, keepDeclaredMinimum, netValue/evictionMargin) {
			return
		}
		copies++
	}
}

// netValueOfNextCopy returns the value of one more copy minus the price of its load, or zero if the demand is below
// growthMargin times the demand that the present copies can serve.
func (p *planBuilder) netValueOfNextCopy(demand modelDemand, copies int, m *config.Model) float64 {
	perCopy := concurrencyPerCopy(m, p.byService[m.Service])
	if demand.concurrency < growthMargin*float64(copies)*perCopy {
		return 0
	}
	return p.prices.value(demand.gain(copies+1, perCopy)) - p.prices.loadOrUnload
}

// modelsByGain returns the models with demand by decreasing gain of one more copy.
func (p *planBuilder) modelsByGain() []*config.Model {
	type candidate struct {
		model *config.Model
		gain  float64
	}
	var found []candidate
	for _, m := range p.models {
		if p.state.Demand[m.Name].FastRequests == 0 && p.state.Demand[m.Name].SlowRequests == 0 {
			continue
		}
		name := artifactName{kind: engine.KindModel, id: m.Name}
		copies := p.countEndpoints(name, (*artifactCopy).servingOrLoading)
		demand := growthDemand(p.state.Demand[m.Name], m)
		found = append(found, candidate{m, demand.gain(copies+1, concurrencyPerCopy(m, p.byService[m.Service]))})
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return cmp.Compare(b.gain, a.gain) })
	models := make([]*config.Model, len(found))
	for i, c := range found {
		models[i] = c.model
	}
	return models
}
