package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/ledger"
)

// Static is the baseline that gives each model its declared minimum of copies and each adapter one copy, and never moves
// anything afterwards.
type Static struct{}

var _ Planner = Static{}

// Plan implements Planner.
func (Static) Plan(state State) Plan {
	g := newGrid(state)
	for _, m := range modelsBySize(state.Snapshot) {
		g.ensureModel(m, g.minimum(m), "below the declared minimum")
	}
	for _, a := range adaptersByName(state.Snapshot) {
		g.ensureAdapter(a, 1, "no copy in the data centre")
	}
	return Plan{Steps: g.steps, Unplaced: g.unplaced}
}

// modelsBySize orders the models by decreasing size of a copy, because large ones are the hardest to place.
func modelsBySize(snapshot *config.Snapshot) []*config.Model {
	records := snapshot.Records()
	models := make([]*config.Model, 0, len(records.Models))
	for i := range records.Models {
		models = append(models, &records.Models[i])
	}
	slices.SortFunc(models, func(a, b *config.Model) int {
		return cmp.Or(
			cmp.Compare(b.AcceleratorsPerCopy, a.AcceleratorsPerCopy),
			cmp.Compare(b.WeightBytes+b.KVReserveBytes, a.WeightBytes+a.KVReserveBytes),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return models
}

func adaptersByName(snapshot *config.Snapshot) []*config.Adapter {
	records := snapshot.Records()
	adapters := make([]*config.Adapter, 0, len(records.Adapters))
	for i := range records.Adapters {
		adapters = append(adapters, &records.Adapters[i])
	}
	slices.SortFunc(adapters, func(a, b *config.Adapter) int { return cmp.Compare(a.Name, b.Name) })
	return adapters
}

// ensureModel plans loads until the wanted number of endpoints has a copy in any version, or no endpoint fits.
func (g *grid) ensureModel(m *config.Model, wanted int, reason string) {
	n := name{kind: engine.KindModel, id: m.Name}
	copies := g.count(n, (*copyOf).counts)
	for copies < wanted {
		if !g.loadModelAnywhere(m, reason) {
			g.unplace(ModelArtifact(m), wanted, copies, "no endpoint of the service has enough free memory")
			return
		}
		copies++
	}
}

func (g *grid) unplace(artifact engine.Artifact, wanted, copies int, reason string) {
	g.unplaced = append(g.unplaced, Unplaced{Artifact: artifact, Wanted: wanted, Copies: copies, Reason: reason})
}

// loadModelAnywhere plans a load on the endpoint whose accelerators have the least memory left after it.
func (g *grid) loadModelAnywhere(m *config.Model, reason string) bool {
	s, accelerators := g.bestSlot(m)
	if s == nil {
		return false
	}
	each := ledger.SplitBytes(m.WeightBytes+m.KVReserveBytes, m.AcceleratorsPerCopy)
	g.load(s, modelStep(m, reason), accelerators, each)
	return true
}

func (g *grid) bestSlot(m *config.Model) (*slot, []int) {
	each := ledger.SplitBytes(m.WeightBytes+m.KVReserveBytes, m.AcceleratorsPerCopy)
	var best *slot
	var chosen []int
	left := int64(0)
	for _, s := range g.byService[m.Service] {
		if s.any(name{kind: engine.KindModel, id: m.Name}, func(*copyOf) bool { return true }) != nil {
			continue
		}
		accelerators := s.pickAccelerators(m.AcceleratorsPerCopy, each)
		if accelerators == nil {
			continue
		}
		remaining := int64(0)
		for _, index := range accelerators {
			remaining += s.free[index] - each
		}
		if best == nil || remaining < left {
			best, chosen, left = s, accelerators, remaining
		}
	}
	return best, chosen
}

// ensureAdapter plans loads until the wanted number of endpoints with the adapter's model has a copy.
func (g *grid) ensureAdapter(a *config.Adapter, wanted int, reason string) {
	n := name{kind: engine.KindAdapter, id: a.Name}
	copies := g.count(n, (*copyOf).counts)
	for copies < wanted {
		if !g.loadAdapterAnywhere(a, reason) {
			g.unplace(AdapterArtifact(a), wanted, copies, "no endpoint with a loaded copy of "+a.Model+" has enough free memory")
			return
		}
		copies++
	}
}

// loadAdapterAnywhere plans a load on the endpoint with the most free memory among those where the model serves.
func (g *grid) loadAdapterAnywhere(a *config.Adapter, reason string) bool {
	var best *slot
	var chosen []int
	most, each := int64(0), int64(0)
	for _, s := range g.holders[name{kind: engine.KindModel, id: a.Model}] {
		accelerators, bytes, room := s.roomForAdapter(a)
		if room > most {
			best, chosen, each, most = s, accelerators, bytes, room
		}
	}
	if best == nil {
		return false
	}
	g.load(best, adapterStep(a, reason), chosen, each)
	return true
}

// roomForAdapter returns the accelerators of a serving copy of the adapter's model, the adapter's bytes on each and the
// free bytes on the fullest; zero free bytes when the adapter cannot be loaded.
func (s *slot) roomForAdapter(a *config.Adapter) ([]int, int64, int64) {
	if !s.usable() || s.find(AdapterArtifact(a)) != nil {
		return nil, 0, 0
	}
	base := s.any(name{kind: engine.KindModel, id: a.Model}, (*copyOf).serves)
	if base == nil || len(base.accelerators) == 0 {
		return nil, 0, 0
	}
	each := ledger.SplitBytes(a.Bytes, len(base.accelerators))
	room := s.free[base.accelerators[0]]
	for _, index := range base.accelerators {
		room = min(room, s.free[index])
	}
	if room < each {
		return nil, 0, 0
	}
	return base.accelerators, each, room
}

// String returns the step for logs.
func (s Step) String() string {
	return fmt.Sprintf("%s %s/%s@%s on %s: %s", s.Kind, s.Artifact.Kind, s.Artifact.Name, s.Artifact.Version, s.Endpoint, s.Reason)
}
