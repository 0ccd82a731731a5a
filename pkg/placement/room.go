package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/ledger"
)

const (
	// respectMinimum makes victims keep their declared minimum of copies, keepOne only the last one.
	respectMinimum = 0
	keepOne        = 1
	// unbounded is the highest price of an eviction.
	unbounded = math.MaxFloat64
)

// victim is a copy that can be unloaded together with its adapters, and what that costs.
type victim struct {
	copy     *copyOf
	witness  string
	adapters []adapterVictim
	// price is the worth of the requests that are no longer answered in time, and of the moves.
	price float64
}

type adapterVictim struct {
	copy    *copyOf
	witness string
}

type spareKey struct {
	slot *slot
	keep int
}

type spareCopies struct {
	unloads int
	victims []victim
}

// victims returns the slot's copies that can be unloaded, cheapest first. A model keeps at least the given number of
// copies; respectMinimum stands for its declared minimum. Callers do not modify the result.
func (p *planning) victims(s *slot, keep int) []victim {
	key := spareKey{slot: s, keep: keep}
	if known, ok := p.spare[key]; ok && known.unloads == p.unloads {
		return known.victims
	}
	found := p.findVictims(s, keep)
	p.spare[key] = spareCopies{unloads: p.unloads, victims: found}
	return found
}

func (p *planning) findVictims(s *slot, keep int) []victim {
	var found []victim
	for _, c := range s.held {
		if c.artifact.Kind != engine.KindModel || !c.serves() {
			continue
		}
		if v, ok := p.victim(s, c, keep); ok {
			found = append(found, v)
		}
	}
	slices.SortStableFunc(found, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(b.copy.bytes, a.copy.bytes), cmp.Compare(a.copy.artifact.Name, b.copy.artifact.Name))
	})
	return found
}

func (p *planning) victim(s *slot, c *copyOf, keep int) (victim, bool) {
	m := p.state.Snapshot.Model(c.artifact.Name)
	if m == nil {
		return victim{}, false
	}
	if keep == respectMinimum {
		keep = p.minimum(m)
	}
	serving := p.count(nameOf(c.artifact), p.sameRank(m, c))
	witness, ok := p.witness(s, c)
	if !ok || serving-1 < keep {
		return victim{}, false
	}
	v := victim{copy: c, witness: witness}
	for _, adapter := range s.adaptersOf(c) {
		other, ok := p.witness(s, adapter)
		if !ok || !adapter.serves() {
			return victim{}, false
		}
		v.adapters = append(v.adapters, adapterVictim{copy: adapter, witness: other})
	}
	lost := retained(p.state.Demand[m.Name], m).gain(serving, perCopy(m, p.byService[m.Service]))
	v.price = p.prices.worth(lost) + p.prices.move*float64(1+len(v.adapters))
	return v, true
}

// sameRank tells which copies stand in for a copy. Old versions do not stand in for the declared one: otherwise the first
// copy of a new version would be unloaded as spare and loaded again without end.
func (p *planning) sameRank(m *config.Model, c *copyOf) func(*copyOf) bool {
	declared := ModelArtifact(m)
	if c.artifact != declared {
		return (*copyOf).serves
	}
	return func(other *copyOf) bool { return other.artifact == declared && other.serves() }
}

func (p *planning) evict(s *slot, v victim, reason string) {
	for _, adapter := range v.adapters {
		p.unload(s, adapter.copy, adapter.witness, reason)
	}
	p.unload(s, v.copy, v.witness, reason)
}

// replace plans a load in place of the cheapest copies, if their price is below the limit.
func (p *planning) replace(m *config.Model, reason string, keep int, limit float64) bool {
	if p.loads <= 0 {
		return false
	}
	var best *slot
	var chosen []victim
	price := limit
	for _, s := range p.byService[m.Service] {
		victims, total := p.room(s, m, keep, price)
		if victims != nil && total < price {
			best, chosen, price = s, victims, total
		}
	}
	if best == nil {
		return false
	}
	for _, v := range chosen {
		p.evict(best, v, "makes room for "+m.Name+": "+reason)
	}
	p.loadModel(best, m, reason)
	return true
}

// room returns the cheapest victims whose memory lets the model fit on the slot, and their price; nil when none do.
func (p *planning) room(s *slot, m *config.Model, keep int, limit float64) ([]victim, float64) {
	artifact := ModelArtifact(m)
	if s.any(nameOf(artifact), func(*copyOf) bool { return true }) != nil {
		return nil, 0
	}
	each := ledger.SplitBytes(m.WeightBytes+m.KVReserveBytes, m.AcceleratorsPerCopy)
	free := slices.Clone(s.free)
	var chosen []victim
	total := 0.0
	for _, v := range p.victims(s, keep) {
		total += v.price
		if total >= limit {
			return nil, 0
		}
		chosen = append(chosen, v)
		v.release(free)
		if tightest(free, m.AcceleratorsPerCopy, each) != nil {
			return p.needed(s, m, chosen)
		}
	}
	return nil, 0
}

// needed drops victims that the load does not need after all, most expensive first.
func (p *planning) needed(s *slot, m *config.Model, chosen []victim) ([]victim, float64) {
	each := ledger.SplitBytes(m.WeightBytes+m.KVReserveBytes, m.AcceleratorsPerCopy)
	for i := len(chosen) - 2; i >= 0; i-- {
		free := slices.Clone(s.free)
		rest := slices.Delete(slices.Clone(chosen), i, i+1)
		for _, v := range rest {
			v.release(free)
		}
		if tightest(free, m.AcceleratorsPerCopy, each) != nil {
			chosen = rest
		}
	}
	total := 0.0
	for _, v := range chosen {
		total += v.price
	}
	return chosen, total
}

func (v victim) release(free []int64) {
	freed := []*copyOf{v.copy}
	for _, adapter := range v.adapters {
		freed = append(freed, adapter.copy)
	}
	for _, c := range freed {
		for _, index := range c.accelerators {
			if index < len(free) {
				free[index] += c.bytes
			}
		}
	}
}

// loadModel plans a load on a slot where the model fits.
func (p *planning) loadModel(s *slot, m *config.Model, reason string) {
	each := ledger.SplitBytes(m.WeightBytes+m.KVReserveBytes, m.AcceleratorsPerCopy)
	p.load(s, modelStep(m, reason), s.pickAccelerators(m.AcceleratorsPerCopy, each), each)
	p.loads--
}

// relocateFor starts to move a copy to another endpoint so that the model fits in its place. The copy's unload follows
// in a later plan, when the new one serves. One move at a time is under way, because its result decides about the next.
func (p *planning) relocateFor(m *config.Model) bool {
	if p.relocating {
		return true
	}
	if p.loads <= 0 {
		return false
	}
	each := ledger.SplitBytes(m.WeightBytes+m.KVReserveBytes, m.AcceleratorsPerCopy)
	for _, s := range p.byService[m.Service] {
		for _, c := range s.held {
			moved := p.state.Snapshot.Model(c.artifact.Name)
			if c.artifact.Kind != engine.KindModel || !c.serves() || moved == nil || moved == m || len(s.adaptersOf(c)) > 0 {
				continue
			}
			free := slices.Clone(s.free)
			victim{copy: c}.release(free)
			if tightest(free, m.AcceleratorsPerCopy, each) == nil {
				continue
			}
			if p.tryLoad(moved, "moves from "+s.Declaration.Name+" to make room for "+m.Name) {
				p.relocating = true
				return true
			}
		}
	}
	return false
}
