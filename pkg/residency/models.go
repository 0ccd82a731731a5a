package residency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

// queueCost is the cost of the time that requests wait at an engine with the given utilization. Above highUtilization
// queues grow until requests cannot be answered in time.
func queueCost(utilization float64) float64 {
	excess := max(utilization-1, 0)
	utilization = min(utilization, 1)
	aboveHigh := max(utilization-highUtilization, 0)
	return utilization*utilization + overloadWeight*aboveHigh*aboveHigh + excessWeight*excess
}

// modelView is a model with its demand and its copies.
type modelView struct {
	spec *routing.Model
	// load is the load to plan for.
	load    float64
	waiting int
	// byRegion is the load by region of the clients.
	byRegion map[string]float64
	// holders are the indexes of the endpoints that hold the model or will hold it; servingCopies counts those that
	// serve it now.
	holders       []int
	servingCopies int
	// addedCopySaving is the decrease of the holders' queueing cost with one more copy, removedCopyCost the increase
	// with one copy less.
	addedCopySaving float64
	removedCopyCost float64
}

// loadPerCopy returns the load of each copy if there are the given number of copies.
func (m *modelView) loadPerCopy(copies int) float64 {
	return m.load / float64(max(copies, 1))
}

// endpointView is an endpoint with the load of its models, each model's load being shared evenly among its copies.
type endpointView struct {
	state     *EndpointState
	region    string
	totalLoad float64
	// freeMB is the memory that neither held weights nor full adapter slots occupy.
	freeMB float64
	// cheapestRedundantVictim is the model with the least loss among those that other endpoints serve too;
	// cheapestVictim is the model with the least loss of all.
	cheapestRedundantVictim victim
	cheapestVictim          victim
}

// victim is a model that an endpoint could unload; model is nil if there is none.
type victim struct {
	model *modelView
	loss  float64
}

// computeViews recomputes the views of all models and endpoints.
func (p *planner) computeViews() {
	for _, m := range p.models {
		m.holders, m.servingCopies = m.holders[:0], 0
	}
	for i := range p.endpoints {
		e := &p.endpoints[i]
		e.freeMB = p.input.Engine.MemoryMB - p.adapterReserveMB
		for _, held := range e.state.Models {
			p.addHeldModel(i, held.Name)
		}
	}
	for i := range p.endpoints {
		p.endpoints[i].totalLoad = 0
	}
	for _, m := range p.models {
		for _, i := range m.holders {
			p.endpoints[i].totalLoad += m.loadPerCopy(len(m.holders))
		}
	}
	for _, m := range p.models {
		p.computeCopyCosts(m)
	}
	for i := range p.endpoints {
		p.findVictims(i)
	}
}

func (p *planner) addHeldModel(i int, name string) {
	e, m := &p.endpoints[i], p.models[name]
	if m == nil {
		return
	}
	e.freeMB -= m.spec.WeightsMB
	if e.state.Leaving {
		return
	}
	m.holders = append(m.holders, i)
	if !slices.Contains(e.state.ChangingModels, name) {
		m.servingCopies++
	}
}

func (p *planner) computeCopyCosts(m *modelView) {
	m.addedCopySaving, m.removedCopyCost = 0, 0
	copies := len(m.holders)
	for _, i := range m.holders {
		otherLoad := p.endpoints[i].totalLoad - m.loadPerCopy(copies)
		currentCost := queueCost(p.endpoints[i].totalLoad)
		m.addedCopySaving += currentCost - queueCost(otherLoad+m.loadPerCopy(copies+1))
		m.removedCopyCost += queueCost(otherLoad+m.loadPerCopy(copies-1)) - currentCost
	}
}

// findVictims finds what an endpoint could unload. A model that is being loaded elsewhere keeps its present copies.
func (p *planner) findVictims(i int) {
	e := &p.endpoints[i]
	e.cheapestRedundantVictim, e.cheapestVictim = victim{loss: math.Inf(1)}, victim{loss: math.Inf(1)}
	for _, held := range e.state.Models {
		m := p.models[held.Name]
		if m == nil || slices.Contains(e.state.ChangingModels, held.Name) || m.servingCopies < len(m.holders) {
			continue
		}
		loss := p.loss(m, i)
		if loss < e.cheapestVictim.loss {
			e.cheapestVictim = victim{model: m, loss: loss}
		}
		if m.servingCopies > 1 && loss < e.cheapestRedundantVictim.loss {
			e.cheapestRedundantVictim = victim{model: m, loss: loss}
		}
	}
}

// loss is the cost of unloading the model at the endpoint: the queueing cost that the other copies of the model gain,
// and the regional benefit that is lost. For the last copy it is the cost of leaving the load unserved.
func (p *planner) loss(m *modelView, index int) float64 {
	copies := len(m.holders)
	if copies <= 1 {
		return unservedWeight*m.load + lastCopyWeight + waitingWeight*float64(m.waiting)
	}
	totalLoad := p.endpoints[index].totalLoad
	otherLoad := totalLoad - m.loadPerCopy(copies)
	return m.removedCopyCost - (queueCost(otherLoad+m.loadPerCopy(copies-1)) - queueCost(totalLoad)) + p.regionalBenefit(m, index, 1)
}

// gain is the benefit of another copy of the model at the endpoint: the decrease of the queueing cost of the model's
// present copies and the regional benefit, less the cost that the added load causes at the endpoint. For the first copy
// it is the cost of leaving the load unserved, less that added cost. freedLoad is the load that leaves the endpoint
// with a victim.
func (p *planner) gain(m *modelView, index int, freedLoad float64) float64 {
	totalLoad := p.endpoints[index].totalLoad
	added := queueCost(totalLoad-freedLoad+m.loadPerCopy(len(m.holders)+1)) - queueCost(totalLoad)
	if len(m.holders) == 0 {
		return unservedWeight*m.load + waitingWeight*float64(m.waiting) + lastCopyWeight - added
	}
	return m.addedCopySaving + p.regionalBenefit(m, index, 0) - added
}

// regionalBenefit values a copy at the endpoint for the load of its region, if the region has no other copy. ownCopies
// is 1 if the endpoint holds the model already, otherwise 0.
func (p *planner) regionalBenefit(m *modelView, index, ownCopies int) float64 {
	region := p.endpoints[index].region
	load := m.byRegion[region]
	if load == 0 {
		return 0
	}
	copies := 0
	for _, i := range m.holders {
		if p.endpoints[i].region == region {
			copies++
		}
	}
	if copies > ownCopies {
		return 0
	}
	return crossRegionWeight * load
}

// candidate is a possible copy of a model at an endpoint.
type candidate struct {
	model    *modelView
	endpoint int
	// victim is the model to unload first; nil if there is enough free memory.
	victim    *modelView
	loadTime  time.Duration
	fromStore bool
	// netGain is the gain of the copy less its costs.
	netGain float64
}

// planLoadsAfterUnloads plans the loads for which unloads have freed memory.
func (p *planner) planLoadsAfterUnloads() {
	for i := range p.endpoints {
		e := p.endpoints[i].state
		model := p.input.Engine.Models[e.ModelToLoad]
		// The model to load counts as held. Negative free memory means that the unload had no effect.
		if model == nil || e.Busy || e.Leaving || p.endpoints[i].freeMB < 0 {
			continue
		}
		duration, fromStore := loadTime(e, model)
		if fromStore && p.input.StoreLoadsAllowed <= 0 {
			continue
		}
		if fromStore {
			p.input.StoreLoadsAllowed--
		}
		p.hasModelOrder[e.ID] = true
		p.orders = append(p.orders, Order{
			Endpoint: e.ID, Verb: Load, Model: model.Name, Expected: duration, FromStore: fromStore,
			Reason: "room was made", Held: heldNames(e),
		})
	}
}

// planModels plans copies, those with the highest net gain first, as long as the net gain is positive. Candidates are
// evaluated once for all models; after an order only the leading candidates are evaluated again.
func (p *planner) planModels() {
	candidates := p.bestCandidates()
	for range maxEvaluationsPerPlan {
		if len(candidates) == 0 || len(p.orders) >= p.ordersAllowed {
			return
		}
		best := p.bestFor(candidates[0].model)
		if len(candidates) > 1 && best.netGain < candidates[1].netGain {
			candidates = replaceFirst(candidates, best)
			continue
		}
		if best.netGain <= 0 {
			return
		}
		p.addOrder(&best)
		p.computeViews()
		candidates = replaceFirst(candidates, p.bestFor(best.model))
	}
}

// bestCandidates returns the best candidate of each model in demand, by decreasing net gain.
func (p *planner) bestCandidates() []candidate {
	var candidates []candidate
	for _, name := range p.demandedModels {
		if c := p.bestFor(p.models[name]); c.netGain > 0 {
			candidates = append(candidates, c)
		}
	}
	slices.SortStableFunc(candidates, byNetGain)
	return candidates
}

func byNetGain(a, b candidate) int {
	return cmp.Compare(b.netGain, a.netGain)
}

// replaceFirst replaces the first candidate by a newer evaluation of the same model and restores the order.
func replaceFirst(candidates []candidate, updated candidate) []candidate {
	if updated.netGain <= 0 {
		return candidates[1:]
	}
	candidates[0] = updated
	slices.SortStableFunc(candidates, byNetGain)
	return candidates
}

// addOrder adds the order for a candidate and updates the endpoint's planned state.
func (p *planner) addOrder(c *candidate) {
	e := p.endpoints[c.endpoint].state
	p.hasModelOrder[e.ID] = true
	order := Order{Endpoint: e.ID, Held: heldNames(e), Gain: c.netGain}
	if c.victim != nil {
		order.Verb, order.Model, order.Expected = Unload, c.victim.spec.Name, unloadTime
		order.ForModel, order.Reason = c.model.spec.Name, "room for "+c.model.spec.Name
		e.Models = slices.DeleteFunc(slices.Clone(e.Models), func(m fleet.HeldModel) bool { return m.Name == order.Model })
	} else {
		order.Verb, order.Model, order.Expected, order.Reason = Load, c.model.spec.Name, c.loadTime, "demand"
		order.FromStore = c.fromStore
	}
	if c.fromStore {
		p.input.StoreLoadsAllowed--
	}
	e.Models = append(slices.Clone(e.Models), fleet.HeldModel{Name: c.model.spec.Name})
	e.ChangingModels = append(slices.Clone(e.ChangingModels), c.model.spec.Name)
	p.orders = append(p.orders, order)
}

// bestFor returns the best candidate of a model; a net gain of zero means that none is worth its cost.
func (p *planner) bestFor(m *modelView) candidate {
	best := candidate{model: m}
	if len(m.holders) > 0 && m.addedCopySaving+crossRegionWeight*m.load <= loadCost {
		// The saving for the model itself does not cover the cost of a load, whatever the copy would displace.
		return best
	}
	for i := range p.endpoints {
		e := p.endpoints[i].state
		if e.Busy || e.Leaving || p.hasModelOrder[e.ID] || e.HoldsModel(m.spec.Name) {
			continue
		}
		if c := p.candidateAt(i, m); c.netGain > best.netGain {
			best = c
		}
	}
	return best
}

// candidateAt evaluates a copy of the model at an endpoint.
func (p *planner) candidateAt(index int, m *modelView) candidate {
	e := &p.endpoints[index]
	c := candidate{model: m, endpoint: index}
	c.loadTime, c.fromStore = loadTime(e.state, m.spec)
	if c.fromStore && p.input.StoreLoadsAllowed <= 0 {
		return candidate{}
	}
	cost := loadCost + c.loadTime.Seconds()*loadCostPerSecond
	// A copy is useful only once it is loaded, while a victim is missing immediately.
	usefulFraction := max(1-c.loadTime.Seconds()/planHorizon.Seconds(), 0)
	if e.freeMB >= m.spec.WeightsMB {
		c.netGain = p.gain(m, index, 0)*usefulFraction - cost
		return c
	}
	v := e.cheapestRedundantVictim
	// The last serving copy of a model is unloaded only for a model without copies.
	if len(m.holders) == 0 {
		v = e.cheapestVictim
	}
	if v.model == nil || e.freeMB+v.model.spec.WeightsMB < m.spec.WeightsMB {
		return candidate{}
	}
	c.victim = v.model
	freedLoad := v.model.loadPerCopy(len(v.model.holders))
	c.netGain = p.gain(m, index, freedLoad)*usefulFraction - v.loss - unloadCost - freedLoad*displacedLoadCost - cost
	return c
}

func heldNames(e *EndpointState) []string {
	names := make([]string, 0, len(e.Models))
	for _, m := range e.Models {
		names = append(names, m.Name)
	}
	return names
}

// loadTime returns the time to load the model at the endpoint and whether its weights come from the weight store.
func loadTime(e *EndpointState, model *routing.Model) (time.Duration, bool) {
	switch {
	case slices.Contains(e.InMemory, model.Name):
		return model.FromMemory, false
	case slices.Contains(e.OnDisk, model.Name):
		return model.FromDisk, false
	default:
		return model.FromStore, true
	}
}
