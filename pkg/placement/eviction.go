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
	// keepDeclaredMinimum stands for the data centre's share of a model's declared minimum of copies.
	keepDeclaredMinimum = 0
	// keepOne allows evictions down to the last copy of a model.
	keepOne = 1
	// noPriceLimit allows evictions at any price.
	noPriceLimit = math.MaxFloat64
)

// victim is a copy that can be unloaded together with its adapters, and the price of these unloads.
type victim struct {
	copy     *artifactCopy
	witness  string
	adapters []adapterVictim
	// price is the value of the requests that will no longer meet their latency targets, plus the price of the unloads.
	price float64
}

type adapterVictim struct {
	copy    *artifactCopy
	witness string
}

type victimCacheKey struct {
	endpoint     *endpointLayout
	minRemaining int
}

// cachedVictims is valid while the plan has the same number of unloads.
type cachedVictims struct {
	unloads int
	victims []victim
}

// victims returns the endpoint's copies that can be unloaded, cheapest first. Each model keeps at least minRemaining
// copies; keepDeclaredMinimum stands for its declared minimum. Callers must not modify the result.
func (p *planBuilder) victims(e *endpointLayout, minRemaining int) []victim {
	key := victimCacheKey{endpoint: e, minRemaining: minRemaining}
	if known, ok := p.victimCache[key]; ok && known.unloads == p.unloads {
		return known.victims
	}
	found := p.findVictims(e, minRemaining)
	p.victimCache[key] = cachedVictims{unloads: p.unloads, victims: found}
	return found
}

func (p *planBuilder) findVictims(e *endpointLayout, minRemaining int) []victim {
	var found []victim
	for _, c := range e.copies {
		if c.artifact.Kind != engine.KindModel || !c.serving() {
			continue
		}
		if v, ok := p.victim(e, c, minRemaining); ok {
			found = append(found, v)
		}
	}
	slices.SortStableFunc(found, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(b.copy.bytes, a.copy.bytes), cmp.Compare(a.copy.artifact.Name, b.copy.artifact.Name))
	})
	return found
}

// victim returns copy c with its adapters and price. The second result is false if c cannot be unloaded.
func (p *planBuilder) victim(e *endpointLayout, c *artifactCopy, minRemaining int) (victim, bool) {
	m := p.state.Snapshot.Model(c.artifact.Name)
	if m == nil {
		return victim{}, false
	}
	if minRemaining == keepDeclaredMinimum {
		minRemaining = p.localMinimum(m)
	}
	servingCopies := p.countEndpoints(artifactNameOf(c.artifact), p.substitutesFor(m, c))
	witness, ok := p.witness(e, c)
	if !ok || servingCopies-1 < minRemaining {
		return victim{}, false
	}
	v := victim{copy: c, witness: witness}
	for _, adapter := range e.adaptersOf(c) {
		adapterWitness, ok := p.witness(e, adapter)
		if !ok || !adapter.serving() {
			return victim{}, false
		}
		v.adapters = append(v.adapters, adapterVictim{copy: adapter, witness: adapterWitness})
	}
	lostRequests := retentionDemand(p.state.Demand[m.Name], m).gain(servingCopies, concurrencyPerCopy(m, p.byService[m.Service]))
	v.price = p.prices.value(lostRequests) + p.prices.loadOrUnload*float64(1+len(v.adapters))
	return v, true
}

// substitutesFor returns a predicate for the copies that can replace c. Copies of old versions do not replace a copy of
// the declared version: otherwise the first copy of a new version would count as surplus and would be unloaded and
// loaded again without end.
func (p *planBuilder) substitutesFor(m *config.Model, c *artifactCopy) func(*artifactCopy) bool {
	declared := ModelArtifact(m)
	if c.artifact != declared {
		return (*artifactCopy).serving
	}
	return func(other *artifactCopy) bool { return other.artifact == declared && other.serving() }
}

func (p *planBuilder) evict(e *endpointLayout, v victim, reason string) {
	for _, adapter := range v.adapters {
		p.unload(e, adapter.copy, adapter.witness, reason)
	}
	p.unload(e, v.copy, v.witness, reason)
}

// replaceVictims plans a load in place of the cheapest victims if their price is below the limit.
func (p *planBuilder) replaceVictims(m *config.Model, reason string, minRemaining int, priceLimit float64) bool {
	if p.remainingLoads <= 0 {
		return false
	}
	var best *endpointLayout
	var chosen []victim
	price := priceLimit
	for _, e := range p.byService[m.Service] {
		victims, total := p.victimsToFit(e, m, minRemaining, price)
		if victims != nil && total < price {
			best, chosen, price = e, victims, total
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

// victimsToFit returns the cheapest victims whose unload lets the model fit on the endpoint, and their price. The
// result is nil if there are none below the price limit.
func (p *planBuilder) victimsToFit(e *endpointLayout, m *config.Model, minRemaining int, priceLimit float64) ([]victim, float64) {
	artifact := ModelArtifact(m)
	if e.findByName(artifactNameOf(artifact), func(*artifactCopy) bool { return true }) != nil {
		return nil, 0
	}
	bytesEach := ledger.SplitBytes(m.WeightBytes+m.KVReserveBytes, m.AcceleratorsPerCopy)
	free := slices.Clone(e.free)
	var chosen []victim
	total := 0.0
	for _, v := range p.victims(e, minRemaining) {
		total += v.price
		if total >= priceLimit {
			return nil, 0
		}
		chosen = append(chosen, v)
		v.release(free)
		if bestFitAccelerators(free, m.AcceleratorsPerCopy, bytesEach) != nil {
			return p.dropUnneeded(e, m, chosen)
		}
	}
	return nil, 0
}

// dropUnneeded removes the victims that need not be unloaded for the model to fit, the most expensive first.
func (p *planBuilder) dropUnneeded(e *endpointLayout, m *config.Model, chosen []victim) ([]victim, float64) {
	bytesEach := ledger.SplitBytes(m.WeightBytes+m.KVReserveBytes, m.AcceleratorsPerCopy)
	for i := len(chosen) - 2; i >= 0; i-- {
		free := slices.Clone(e.free)
		rest := slices.Delete(slices.Clone(chosen), i, i+1)
		for _, v := range rest {
			v.release(free)
		}
		if bestFitAccelerators(free, m.AcceleratorsPerCopy, bytesEach) != nil {
			chosen = rest
		}
	}
	total := 0.0
	for _, v := range chosen {
		total += v.price
	}
	return chosen, total
}

// release adds the memory of the victim and its adapters to the free memory of each accelerator.
func (v victim) release(free []int64) {
	freed := []*artifactCopy{v.copy}
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

// loadModel plans a load on an endpoint where the model fits.
func (p *planBuilder) loadModel(e *endpointLayout, m *config.Model, reason string) {
	bytesEach := ledger.SplitBytes(m.WeightBytes+m.KVReserveBytes, m.AcceleratorsPerCopy)
	p.load(e, modelStep(m, reason), e.pickAccelerators(m.AcceleratorsPerCopy, bytesEach), bytesEach)
	p.remainingLoads--
}

// relocateToFit starts to move a copy of another model to another endpoint, so that model m fits into the memory that
// the move frees. A later plan unloads the old copy once the new copy serves. Only one move is in progress at any time,
// because its outcome determines the next. relocateToFit reports whether a move is or may be in progress.
func (p *planBuilder) relocateToFit(m *config.Model) bool {
	if p.mayBeRelocating {
		return true
	}
	if p.remainingLoads <= 0 {
		return false
	}
	bytesEach := ledger.SplitBytes(m.WeightBytes+m.KVReserveBytes, m.AcceleratorsPerCopy)
	for _, e := range p.byService[m.Service] {
		for _, c := range e.copies {
			moved := p.state.Snapshot.Model(c.artifact.Name)
			if c.artifact.Kind != engine.KindModel || !c.serving() || moved == nil || moved == m || len(e.adaptersOf(c)) > 0 {
				continue
			}
			free := slices.Clone(e.free)
			victim{copy: c}.release(free)
			if bestFitAccelerators(free, m.AcceleratorsPerCopy, bytesEach) == nil {
				continue
			}
			if p.tryLoadModel(moved, "moves from "+e.Declaration.Name+" to make room for "+m.Name) {
				p.mayBeRelocating = true
				return true
			}
		}
	}
	return false
}
