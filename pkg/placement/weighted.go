package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/ledger"
)

// Weighted is the planner in use: it loads a copy when the requests that it lets answer in time outweigh the moves, at
// the deployment's declared weights, and unloads only to make room, to change a version or to remove what is no longer
// declared.
type Weighted struct{}

var _ Planner = Weighted{}

// planning is one run of Weighted.
type planning struct {
	*grid
	prices   prices
	models   []*config.Model
	adapters []*config.Adapter
	// loads and adapterLoads are the loads that may still be planned or run at once. The rest waits for a later plan, so
	// that an urgent load does not queue behind them at the weight store.
	loads, adapterLoads int
	// relocating is true while a copy is being moved to make room; another move waits for its result.
	relocating bool
	// spare caches the victims of a slot until the next planned unload.
	spare map[spareKey]spareCopies
}

// Plan implements Planner.
func (Weighted) Plan(state State) Plan {
	p := newPlanning(state)
	p.setRoles()
	p.withdraw()
	p.shrink()
	for _, m := range p.waitingModels() {
		p.ensureReachable(m, "calls are waiting and no copy is loaded")
	}
	for _, m := range p.models {
		p.ensureReachable(m, "no copy in the data centre")
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
	for _, m := range p.byGain() {
		p.followDemand(m)
	}
	p.limitCopies()
	return Plan{Steps: p.steps, Unplaced: p.unplaced}
}

func newPlanning(state State) *planning {
	p := &planning{
		grid:     newGrid(state),
		prices:   pricesOf(state.Snapshot.Deployment()),
		models:   modelsBySize(state.Snapshot),
		adapters: adaptersByName(state.Snapshot),
		spare:    make(map[spareKey]spareCopies),
	}
	p.dropOtherServices()
	p.sortByNeedHere()
	deployment := state.Snapshot.Deployment()
	p.loads = limitOf(deployment.ConcurrentModelLoads)
	p.adapterLoads = limitOf(deployment.ConcurrentAdapterLoads)
	p.countPending()
	return p
}

// unlimitedLoads stands for a limit that is not declared.
const unlimitedLoads = 1 << 30

func limitOf(declared int) int {
	if declared <= 0 {
		return unlimitedLoads
	}
	return declared
}

// dropOtherServices leaves out models and adapters of services that declare no endpoint in the data centre: they are not
// missing here.
func (p *planning) dropOtherServices() {
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

// sortByNeedHere puts models without a copy in another data centre first. Among models of one size the order differs
// between data centres, so that a shortage does not leave out the same models everywhere.
func (p *planning) sortByNeedHere() {
	rank := make(map[string]uint64, len(p.models))
	for _, m := range p.models {
		rank[m.Name] = xxhash.Sum64String(p.state.DataCentre + "/" + m.Name)
	}
	elsewhere := func(m *config.Model) int { return min(p.state.Elsewhere[m.Name], 1) }
	slices.SortStableFunc(p.models, func(a, b *config.Model) int {
		return cmp.Or(
			cmp.Compare(elsewhere(a), elsewhere(b)),
			cmp.Compare(b.AcceleratorsPerCopy, a.AcceleratorsPerCopy),
			cmp.Compare(b.WeightBytes+b.KVReserveBytes, a.WeightBytes+a.KVReserveBytes),
			cmp.Compare(rank[a.Name], rank[b.Name]),
		)
	})
}

// countPending takes the loads in flight from the limits.
func (p *planning) countPending() {
	for _, s := range p.slots {
		for _, held := range s.held {
			if held.state != ledger.Loading {
				continue
			}
			if held.artifact.Kind == engine.KindAdapter {
				p.adapterLoads--
				continue
			}
			p.loads--
			p.relocating = p.relocating || p.count(nameOf(held.artifact), (*copyOf).serves) > 0
		}
	}
}

func (p *planning) setRoles() {
	for _, s := range p.slots {
		wanted := s.Declaration.Role
		if wanted == "" {
			wanted = "serve"
		}
		if !s.usable() || s.Role == "" || s.Role == wanted || s.Record.RoleOrder != nil {
			continue
		}
		p.steps = append(p.steps, Step{
			Endpoint: s.Declaration.Name, Kind: StepSetRole, Role: wanted, Reason: "the declared role differs from " + s.Role,
		})
	}
}

// withdraw unloads artifacts whose declaration was removed, adapters before models.
func (p *planning) withdraw() {
	for _, kind := range []engine.ArtifactKind{engine.KindAdapter, engine.KindModel} {
		for _, s := range p.slots {
			for _, held := range s.held {
				if held.artifact.Kind != kind || !s.usable() || !held.serves() || p.declared(held.artifact) {
					continue
				}
				p.unload(s, held, "", "no longer declared")
				p.steps[len(p.steps)-1].Withdrawn = true
			}
		}
	}
}

func (p *planning) declared(artifact engine.Artifact) bool {
	if artifact.Kind == engine.KindAdapter {
		return p.state.Snapshot.Adapter(artifact.Name) != nil
	}
	return p.state.Snapshot.Model(artifact.Name) != nil
}

// shrink unloads the least valuable copies of endpoints whose declared memory is below what is reserved.
func (p *planning) shrink() {
	for _, s := range p.slots {
		if !s.usable() || len(s.free) == 0 || slices.Min(s.free) >= 0 {
			continue
		}
		for _, v := range p.victims(s, keepOne) {
			if slices.Min(s.free) >= 0 {
				break
			}
			p.evict(s, v, "the declared memory of the endpoint was reduced")
		}
	}
}

// limitCopies unloads copies of the declared version above the declared maximum. Old versions are left to changeVersion,
// which needs one copy more than the maximum for a while, as does a move, whose end needs a load.
func (p *planning) limitCopies() {
	if p.loads <= 0 || p.relocating {
		return
	}
	for _, m := range p.models {
		n := name{kind: engine.KindModel, id: m.Name}
		current := func(c *copyOf) bool { return c.artifact == ModelArtifact(m) && c.serves() }
		for _, s := range p.holders[n] {
			if m.MaxCopies <= 0 || p.count(n, current) <= max(m.MaxCopies, p.minimum(m)) {
				break
			}
			c := s.any(n, current)
			if c == nil || !s.usable() {
				continue
			}
			if v, ok := p.victim(s, c, keepOne); ok {
				p.evict(s, v, "above the declared maximum of copies")
			}
		}
	}
}

// waitingModels returns the models with waiting calls, most calls first.
func (p *planning) waitingModels() []*config.Model {
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

// ensureReachable gives a model without any copy its first one: in free memory, in place of copies that are not the last
// of their model, or after a copy was moved away.
func (p *planning) ensureReachable(m *config.Model, reason string) {
	n := name{kind: engine.KindModel, id: m.Name}
	if p.count(n, (*copyOf).counts) > 0 || p.isUnplaced(ModelArtifact(m)) {
		return
	}
	if p.tryLoad(m, reason) || p.loads <= 0 {
		return
	}
	if p.replace(m, reason, keepOne, unbounded) || p.relocateFor(m) {
		return
	}
	p.unplace(ModelArtifact(m), p.minimum(m), 0, "no endpoint has enough memory, and no copy can be spared or moved")
}

func (p *planning) isUnplaced(artifact engine.Artifact) bool {
	return slices.ContainsFunc(p.unplaced, func(u Unplaced) bool { return u.Artifact == artifact })
}

// tryLoad plans a load in free memory within the limit of loads.
func (p *planning) tryLoad(m *config.Model, reason string) bool {
	if p.loads <= 0 || !p.loadModelAnywhere(m, reason) {
		return false
	}
	p.loads--
	return true
}

// ensureMinimum loads up to the data centre's part of the declared minimum into free memory or in place of copies above other models' minimum.
func (p *planning) ensureMinimum(m *config.Model) {
	n := name{kind: engine.KindModel, id: m.Name}
	copies := p.count(n, (*copyOf).counts)
	if copies == 0 {
		return
	}
	for ; copies < p.minimum(m) && p.loads > 0; copies++ {
		const reason = "below the declared minimum"
		if !p.tryLoad(m, reason) && !p.replace(m, reason, respectMinimum, unbounded) {
			p.unplace(ModelArtifact(m), p.minimum(m), copies, "no endpoint of the service has enough memory to spare")
			return
		}
	}
}

// followDemand loads a copy when the requests that it lets answer in time are worth more than the moves.
func (p *planning) followDemand(m *config.Model) {
	n := name{kind: engine.KindModel, id: m.Name}
	demand := expected(p.state.Demand[m.Name], m)
	copies := p.count(n, (*copyOf).counts)
	for copies < m.MaxCopies && p.loads > 0 && copies > 0 {
		surplus := p.worthAnother(demand, copies, m)
		if surplus <= 0 {
			return
		}
		const reason = "requests answered in time outweigh the moves"
		if !p.tryLoad(m, reason) && !p.replace(m, reason, respectMinimum, surplus/evictionMargin) {
			return
		}
		copies++
	}
}

// worthAnother is by how much one more copy is worth more than its load; zero or less when it is not.
func (p *planning) worthAnother(demand load, copies int, m *config.Model) float64 {
	each := perCopy(m, p.byService[m.Service])
	if demand.concurrency < growthMargin*float64(copies)*each {
		return 0
	}
	return p.prices.worth(demand.gain(copies+1, each)) - p.prices.move
}

// byGain orders the models with demand by the worth of one more copy.
func (p *planning) byGain() []*config.Model {
	type candidate struct {
		model *config.Model
		gain  float64
	}
	var found []candidate
	for _, m := range p.models {
		if p.state.Demand[m.Name].FastRequests == 0 && p.state.Demand[m.Name].SlowRequests == 0 {
			continue
		}
		n := name{kind: engine.KindModel, id: m.Name}
		copies := p.count(n, (*copyOf).counts)
		demand := expected(p.state.Demand[m.Name], m)
		found = append(found, candidate{m, demand.gain(copies+1, perCopy(m, p.byService[m.Service]))})
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return cmp.Compare(b.gain, a.gain) })
	models := make([]*config.Model, len(found))
	for i, c := range found {
		models[i] = c.model
	}
	return models
}
