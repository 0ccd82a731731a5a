package placement

import (
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/ledger"
)

// changeVersion replaces copies of old versions one after the other. The new version is loaded first if memory allows
// it, and an old copy is unloaded only while another copy serves.
func (p *planBuilder) changeVersion(m *config.Model) {
	artifact := ModelArtifact(m)
	name := artifactNameOf(artifact)
	isCurrent := func(c *artifactCopy) bool { return c.artifact == artifact && c.servingOrLoading() }
	isOld := func(c *artifactCopy) bool { return c.artifact != artifact && c.serving() }
	if p.countEndpoints(name, isOld) == 0 {
		return
	}
	desiredCopies := p.desiredCopies(m)
	p.retireOldVersions(m, desiredCopies)
	isLoading := func(c *artifactCopy) bool { return c.artifact == artifact && c.servingOrLoading() && !c.serving() }
	if p.countEndpoints(name, isLoading) > 0 || p.countEndpoints(name, isCurrent) >= desiredCopies || p.remainingLoads <= 0 {
		return
	}
	const reason = "version change"
	if p.loadBeside(m, reason) || p.swapInPlace(m, reason) {
		return
	}
	// Only the first copy of the new version may evict other models. Further copies replace old ones.
	isFirstCopy := p.countEndpoints(name, isCurrent) == 0
	if isFirstCopy && (p.replaceVictims(m, reason, keepDeclaredMinimum, noPriceLimit) || p.relocateToFit(m)) {
		return
	}
	p.recordUnplaced(artifact, desiredCopies, p.countEndpoints(name, isCurrent), "no endpoint has memory for the new version; the old version keeps serving")
}

// desiredCopies returns the number of copies that the demand requires, within the declared limits.
func (p *planBuilder) desiredCopies(m *config.Model) int {
	demanded := retentionDemand(p.state.Demand[m.Name], m).requiredCopies(concurrencyPerCopy(m, p.byService[m.Service]))
	return max(p.localMinimum(m), min(demanded, m.MaxCopies))
}

// retireOldVersions unloads old versions while a copy of the declared version serves: those on endpoints that serve the
// declared version, and those above the desired number of copies.
func (p *planBuilder) retireOldVersions(m *config.Model, desired int) {
	artifact := ModelArtifact(m)
	name := artifactNameOf(artifact)
	newCopies := 0
	for _, e := range p.byArtifact[name] {
		if e.usable() && e.findByName(name, func(c *artifactCopy) bool { return c.artifact == artifact && c.serving() }) != nil {
			newCopies++
		}
	}
	if newCopies == 0 {
		return
	}
	for _, e := range p.byArtifact[name] {
		c := e.findByName(name, func(c *artifactCopy) bool { return c.artifact != artifact && c.serving() })
		if c == nil || !e.usable() {
			continue
		}
		newVersionServing := e.find(artifact) != nil && e.find(artifact).serving()
		if !newVersionServing && p.countEndpoints(name, (*artifactCopy).serving) <= desired {
			continue
		}
		p.retireCopy(e, c)
	}
}

// retireCopy unloads an old copy with its adapters. If an adapter has no other copy, it is first loaded on another
// endpoint that serves its model.
func (p *planBuilder) retireCopy(e *endpointLayout, c *artifactCopy) {
	witness, ok := p.witness(e, c)
	if !ok {
		return
	}
	v := victim{copy: c, witness: witness}
	for _, adapter := range e.adaptersOf(c) {
		adapterWitness, ok := p.witness(e, adapter)
		if !ok {
			p.addAdapterCopy(adapter)
			return
		}
		if !adapter.serving() {
			return
		}
		v.adapters = append(v.adapters, adapterVictim{copy: adapter, witness: adapterWitness})
	}
	p.evict(e, v, "replaced by the declared version")
}

// addAdapterCopy plans another copy of an adapter whose only copy prevents an unload, unless another copy is loading.
func (p *planBuilder) addAdapterCopy(c *artifactCopy) {
	a := p.state.Snapshot.Adapter(c.artifact.Name)
	if a == nil || p.remainingAdapterLoads <= 0 || p.countEndpoints(artifactNameOf(c.artifact), (*artifactCopy).servingOrLoading) > 1 {
		return
	}
	if p.loadAdapterAnywhere(a, "its only copy is on an endpoint where its model is replaced") {
		p.remainingAdapterLoads--
	}
}

// loadBeside loads the declared version next to an old one, or on an endpoint without a copy.
func (p *planBuilder) loadBeside(m *config.Model, reason string) bool {
	bytesEach := ledger.SplitBytes(m.WeightBytes+m.KVReserveBytes, m.AcceleratorsPerCopy)
	artifact := ModelArtifact(m)
	for _, e := range p.byArtifact[artifactNameOf(artifact)] {
		if e.usable() && e.find(artifact) == nil && e.pickAccelerators(m.AcceleratorsPerCopy, bytesEach) != nil {
			p.loadModel(e, m, reason)
			return true
		}
	}
	return p.tryLoadModel(m, reason)
}

// swapInPlace unloads an old copy and loads the declared version in its place, while another copy serves.
func (p *planBuilder) swapInPlace(m *config.Model, reason string) bool {
	bytesEach := ledger.SplitBytes(m.WeightBytes+m.KVReserveBytes, m.AcceleratorsPerCopy)
	artifact := ModelArtifact(m)
	name := artifactNameOf(artifact)
	for _, e := range p.byArtifact[name] {
		c := e.findByName(name, func(c *artifactCopy) bool { return c.artifact != artifact && c.serving() })
		if c == nil || !e.usable() || e.find(artifact) != nil {
			continue
		}
		v, ok := p.victim(e, c, keepOne)
		if !ok {
			continue
		}
		free := append([]int64(nil), e.free...)
		v.release(free)
		if bestFitAccelerators(free, m.AcceleratorsPerCopy, bytesEach) == nil {
			continue
		}
		p.evict(e, v, "makes room for the declared version")
		p.loadModel(e, m, reason)
		return true
	}
	return false
}

// placeAdapter loads one copy of the adapter's declared version. Once it serves, old versions are unloaded and further
// copies are loaded according to demand.
func (p *planBuilder) placeAdapter(a *config.Adapter) {
	artifact := AdapterArtifact(a)
	name := artifactNameOf(artifact)
	if p.countEndpoints(name, func(c *artifactCopy) bool { return c.artifact == artifact && c.serving() }) > 0 {
		p.retireOldAdapterVersions(artifact)
		p.addAdapterCopyForDemand(a)
		return
	}
	if p.countEndpoints(name, func(c *artifactCopy) bool { return c.artifact == artifact && c.servingOrLoading() }) > 0 || p.remainingAdapterLoads <= 0 {
		return
	}
	if p.countEndpoints(artifactName{kind: engine.KindModel, id: a.Model}, (*artifactCopy).serving) == 0 {
		p.recordUnplaced(artifact, 1, 0, "no copy of "+a.Model+" serves in the data centre")
		return
	}
	if !p.loadAdapterAnywhere(a, "no copy of the declared version in the data centre") {
		p.recordUnplaced(artifact, 1, 0, "no endpoint with a loaded copy of "+a.Model+" has enough free memory")
		return
	}
	p.remainingAdapterLoads--
}

// addAdapterCopyForDemand loads the adapter on another endpoint that serves its model, by the same rule as for copies
// of models.
func (p *planBuilder) addAdapterCopyForDemand(a *config.Adapter) {
	m := p.state.Snapshot.Model(a.Model)
	if m == nil || p.remainingAdapterLoads <= 0 {
		return
	}
	copies := p.countEndpoints(artifactNameOf(AdapterArtifact(a)), (*artifactCopy).servingOrLoading)
	if p.netValueOfNextCopy(growthDemand(p.state.Demand[a.Name], m), copies, m) <= 0 {
		return
	}
	if p.loadAdapterAnywhere(a, "requests answered in time outweigh the moves") {
		p.remainingAdapterLoads--
	}
}

func (p *planBuilder) retireOldAdapterVersions(artifact engine.Artifact) {
	name := artifactNameOf(artifact)
	for _, e := range p.byArtifact[name] {
		c := e.findByName(name, func(c *artifactCopy) bool { return c.artifact != artifact && c.serving() })
		if c == nil || !e.usable() {
			continue
		}
		if witness, ok := p.witness(e, c); ok {
			p.unload(e, c, witness, "replaced by the declared version")
		}
	}
}
