package placement

import (
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/ledger"
)

// changeVersion replaces copies of old versions one at a time: the new version is loaded first wherever memory allows,
// and an old copy is unloaded only while another one serves.
func (p *planning) changeVersion(m *config.Model) {
	artifact := ModelArtifact(m)
	n := nameOf(artifact)
	current := func(c *copyOf) bool { return c.artifact == artifact && c.counts() }
	old := func(c *copyOf) bool { return c.artifact != artifact && c.serves() }
	if p.count(n, old) == 0 {
		return
	}
	wanted := p.wanted(m)
	p.retireOld(m, wanted)
	loading := func(c *copyOf) bool { return c.artifact == artifact && c.counts() && !c.serves() }
	if p.count(n, loading) > 0 || p.count(n, current) >= wanted || p.loads <= 0 {
		return
	}
	const reason = "version change"
	if p.loadBeside(m, reason) || p.swapInPlace(m, reason) {
		return
	}
	// Only the first copy of the new version may displace other models; the others take the place of old ones.
	first := p.count(n, current) == 0
	if first && (p.replace(m, reason, respectMinimum, unbounded) || p.relocateFor(m)) {
		return
	}
	p.unplace(artifact, wanted, p.count(n, current), "no endpoint has memory for the new version; the old version keeps serving")
}

// wanted is the number of copies that the demand and the declared limits ask for.
func (p *planning) wanted(m *config.Model) int {
	demanded := retained(p.state.Demand[m.Name], m).copies(perCopy(m, p.byService[m.Service]))
	return max(p.minimum(m), min(demanded, m.MaxCopies))
}

// retireOld unloads old versions that are more than the wanted copies, while a copy of the declared version serves.
func (p *planning) retireOld(m *config.Model, wanted int) {
	artifact := ModelArtifact(m)
	n := nameOf(artifact)
	serving := 0
	for _, s := range p.holders[n] {
		if s.usable() && s.any(n, func(c *copyOf) bool { return c.artifact == artifact && c.serves() }) != nil {
			serving++
		}
	}
	if serving == 0 {
		return
	}
	for _, s := range p.holders[n] {
		c := s.any(n, func(c *copyOf) bool { return c.artifact != artifact && c.serves() })
		if c == nil || !s.usable() {
			continue
		}
		beside := s.find(artifact) != nil && s.find(artifact).serves()
		if !beside && p.count(n, (*copyOf).serves) <= wanted {
			continue
		}
		p.retire(s, c)
	}
}

// retire unloads an old copy with its adapters. An adapter without another copy is loaded beside another copy of its
// model first.
func (p *planning) retire(s *slot, c *copyOf) {
	witness, ok := p.witness(s, c)
	if !ok {
		return
	}
	v := victim{copy: c, witness: witness}
	for _, adapter := range s.adaptersOf(c) {
		other, ok := p.witness(s, adapter)
		if !ok {
			p.copyAdapter(adapter)
			return
		}
		if !adapter.serves() {
			return
		}
		v.adapters = append(v.adapters, adapterVictim{copy: adapter, witness: other})
	}
	p.evict(s, v, "replaced by the declared version")
}

// copyAdapter plans another copy of an adapter whose only copy is in the way, unless one is on its way.
func (p *planning) copyAdapter(c *copyOf) {
	a := p.state.Snapshot.Adapter(c.artifact.Name)
	if a == nil || p.adapterLoads <= 0 || p.count(nameOf(c.artifact), (*copyOf).counts) > 1 {
		return
	}
	if p.loadAdapterAnywhere(a, "its only copy is on an endpoint where its model is replaced") {
		p.adapterLoads--
	}
}

// loadBeside loads the declared version next to an old one, or on any endpoint without a copy.
func (p *planning) loadBeside(m *config.Model, reason string) bool {
	each := ledger.SplitBytes(m.WeightBytes+m.KVReserveBytes, m.AcceleratorsPerCopy)
	artifact := ModelArtifact(m)
	for _, s := range p.holders[nameOf(artifact)] {
		if s.usable() && s.find(artifact) == nil && s.pickAccelerators(m.AcceleratorsPerCopy, each) != nil {
			p.loadModel(s, m, reason)
			return true
		}
	}
	return p.tryLoad(m, reason)
}

// swapInPlace unloads an old copy and loads the declared version in its place, while another copy serves.
func (p *planning) swapInPlace(m *config.Model, reason string) bool {
	each := ledger.SplitBytes(m.WeightBytes+m.KVReserveBytes, m.AcceleratorsPerCopy)
	artifact := ModelArtifact(m)
	n := nameOf(artifact)
	for _, s := range p.holders[n] {
		c := s.any(n, func(c *copyOf) bool { return c.artifact != artifact && c.serves() })
		if c == nil || !s.usable() || s.find(artifact) != nil {
			continue
		}
		v, ok := p.victim(s, c, keepOne)
		if !ok {
			continue
		}
		free := append([]int64(nil), s.free...)
		v.release(free)
		if tightest(free, m.AcceleratorsPerCopy, each) == nil {
			continue
		}
		p.evict(s, v, "makes room for the declared version")
		p.loadModel(s, m, reason)
		return true
	}
	return false
}

// placeAdapter keeps one copy of the adapter's declared version, and removes old versions once it serves. More copies
// follow the demand.
func (p *planning) placeAdapter(a *config.Adapter) {
	artifact := AdapterArtifact(a)
	n := nameOf(artifact)
	if p.count(n, func(c *copyOf) bool { return c.artifact == artifact && c.serves() }) > 0 {
		p.retireOldAdapters(artifact)
		p.followAdapterDemand(a)
		return
	}
	if p.count(n, func(c *copyOf) bool { return c.artifact == artifact && c.counts() }) > 0 || p.adapterLoads <= 0 {
		return
	}
	if p.count(name{kind: engine.KindModel, id: a.Model}, (*copyOf).serves) == 0 {
		p.unplace(artifact, 1, 0, "no copy of "+a.Model+" serves in the data centre")
		return
	}
	if !p.loadAdapterAnywhere(a, "no copy of the declared version in the data centre") {
		p.unplace(artifact, 1, 0, "no endpoint with a loaded copy of "+a.Model+" has enough free memory")
		return
	}
	p.adapterLoads--
}

// followAdapterDemand loads the adapter on more of its model's copies by the same rule as copies of models.
func (p *planning) followAdapterDemand(a *config.Adapter) {
	m := p.state.Snapshot.Model(a.Model)
	if m == nil || p.adapterLoads <= 0 {
		return
	}
	copies := p.count(nameOf(AdapterArtifact(a)), (*copyOf).counts)
	if p.worthAnother(expected(p.state.Demand[a.Name], m), copies, m) <= 0 {
		return
	}
	if p.loadAdapterAnywhere(a, "requests answered in time outweigh the moves") {
		p.adapterLoads--
	}
}

func (p *planning) retireOldAdapters(artifact engine.Artifact) {
	n := nameOf(artifact)
	for _, s := range p.holders[n] {
		c := s.any(n, func(c *copyOf) bool { return c.artifact != artifact && c.serves() })
		if c == nil || !s.usable() {
			continue
		}
		if witness, ok := p.witness(s, c); ok {
			p.unload(s, c, witness, "replaced by the declared version")
		}
	}
}
