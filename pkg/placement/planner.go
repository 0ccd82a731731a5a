package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/ledger"
)

// Static is a baseline planner. It gives each model its declared minimum of copies and each adapter one copy, and
// unloads nothing.
type Static struct{}

var _ Planner = Static{}

// Plan implements Planner.
func (Static) Plan(state State) Plan {
	l := newLayout(state)
	for _, m := range modelsBySize(state.Snapshot) {
		l.ensureModel(m, l.localMinimum(m), "below the declared minimum")
	}
	for _, a := range adaptersByName(state.Snapshot) {
		l.ensureAdapter(a, 1, "no copy in the data centre")
	}
	return Plan{Steps: l.steps, Unplaced: l.unplaced}
}

// modelsBySize returns the models by decreasing size of a copy, because large copies are the hardest to place.
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

// ensureModel plans loads until the desired number of endpoints has a copy in any version or the model fits on no
// further endpoint.
func (l *layout) ensureModel(m *config.Model, desired int, reason string) {
	name := artifactName{kind: engine.KindModel, id: m.Name}
	copies := l.countEndpoints(name, (*artifactCopy).servingOrLoading)
	for copies < desired {
		if !l.loadModelAnywhere(m, reason) {
			l.recordUnplaced(ModelArtifact(m), desired, copies, "no endpoint of the service has enough free memory")
			return
		}
		copies++
	}
}

func (l *layout) recordUnplaced(artifact engine.Artifact, desired, copies int, reason string) {
	l.unplaced = append(l.unplaced, UnplacedArtifact{Artifact: artifact, Desired: desired, Copies: copies, Reason: reason})
}

// loadModelAnywhere plans a load on the best-fit endpoint. It reports whether the model fits on any endpoint.
func (l *layout) loadModelAnywhere(m *config.Model, reason string) bool {
	e, accelerators := l.bestFit(m)
	if e == nil {
		return false
	}
	bytesEach := ledger.SplitBytes(m.WeightBytes+m.KVReserveBytes, m.AcceleratorsPerCopy)
	l.load(e, modelStep(m, reason), accelerators, bytesEach)
	return true
}

// bestFit returns the endpoint without a copy of the model whose accelerators have the least free memory left after the
// load, and these accelerators. The endpoint is nil if the model fits on none.
func (l *layout) bestFit(m *config.Model) (*endpointLayout, []int) {
	bytesEach := ledger.SplitBytes(m.WeightBytes+m.KVReserveBytes, m.AcceleratorsPerCopy)
	var best *endpointLayout
	var chosen []int
	bestRemaining := int64(0)
	for _, e := range l.byService[m.Service] {
		if e.findByName(artifactName{kind: engine.KindModel, id: m.Name}, func(*artifactCopy) bool { return true }) != nil {
			continue
		}
		accelerators := e.pickAccelerators(m.AcceleratorsPerCopy, bytesEach)
		if accelerators == nil {
			continue
		}
		remaining := int64(0)
		for _, index := range accelerators {
			remaining += e.free[index] - bytesEach
		}
		if best == nil || remaining < bestRemaining {
			best, chosen, bestRemaining = e, accelerators, remaining
		}
	}
	return best, chosen
}

// ensureAdapter plans loads until the desired number of endpoints has a copy of the adapter or it fits on no further
// endpoint.
func (l *layout) ensureAdapter(a *config.Adapter, desired int, reason string) {
	name := artifactName{kind: engine.KindAdapter, id: a.Name}
	copies := l.countEndpoints(name, (*artifactCopy).servingOrLoading)
	for copies < desired {
		if !l.loadAdapterAnywhere(a, reason) {
			l.recordUnplaced(AdapterArtifact(a), desired, copies, "no endpoint with a loaded copy of "+a.Model+" has enough free memory")
			return
		}
		copies++
	}
}

// loadAdapterAnywhere plans a load on the endpoint with the most free memory among those with a serving copy of the
// adapter's model. It reports whether the adapter fits on any.
func (l *layout) loadAdapterAnywhere(a *config.Adapter, reason string) bool {
	var best *endpointLayout
	var chosen []int
	mostFree, bytesEach := int64(0), int64(0)
	for _, e := range l.byArtifact[artifactName{kind: engine.KindModel, id: a.Model}] {
		accelerators, bytes, free := e.freeMemoryForAdapter(a)
		if free > mostFree {
			best, chosen, bytesEach, mostFree = e, accelerators, bytes, free
		}
	}
	if best == nil {
		return false
	}
	l.load(best, adapterStep(a, reason), chosen, bytesEach)
	return true
}

// freeMemoryForAdapter returns the accelerators of a serving copy of the adapter's model, the adapter's size in bytes
// on each of them and the free bytes of the one with the least. The free bytes are zero if the adapter cannot be
// loaded.
func (e *endpointLayout) freeMemoryForAdapter(a *config.Adapter) ([]int, int64, int64) {
	if !e.usable() || e.find(AdapterArtifact(a)) != nil {
		return nil, 0, 0
	}
	base := e.findByName(artifactName{kind: engine.KindModel, id: a.Model}, (*artifactCopy).serving)
	if base == nil || len(base.accelerators) == 0 {
		return nil, 0, 0
	}
	bytesEach := ledger.SplitBytes(a.Bytes, len(base.accelerators))
	minFree := e.free[base.accelerators[0]]
	for _, index := range base.accelerators {
		minFree = min(minFree, e.free[index])
	}
	if minFree < bytesEach {
		return nil, 0, 0
	}
	return base.accelerators, bytesEach, minFree
}

// String returns the step in a form for logs.
func (s Step) String() string {
	return fmt.Sprintf("%s %s/%s@%s on %s: %s", s.Kind, s.Artifact.Kind, s.Artifact.Name, s.Artifact.Version, s.Endpoint, s.Reason)
}
