package residency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

// strain values how long requests wait at an engine that is busy for the given share of the time. Above highLoad queues
// grow until requests cannot be answered in time.
func strain(share float64) float64 {
	excess := max(share-1, 0)
	share = min(share, 1)
	over := max(share-highLoad, 0)
	return share*share + overloadWeight*over*over + excessWeight*excess
}

// modelView is a model as the copies and the demand of the moment show it.
type modelView struct {
	spec *routing.Model
	// load is the load to plan for.
	load    float64
	waiting int
	// byRegion is the load by region of the clients.
	byRegion map[string]float64
	// holders are the endpoints that hold the model or will, by index; serving counts those that serve it now.
	holders []int
	serving int
	// relief is the strain that the holders lose by one more copy, strainGain what they gain by one less.
	relief     float64
	strainGain float64
}

// shareOf is the load of one of the given number of copies.
func (m *modelView) shareOf(copies int) float64 {
	return m.load / float64(max(copies, 1))
}

// endpointView is an endpoint with the load that its models bring it if each is shared evenly among its copies.
type endpointView struct {
	state  *EndpointState
	region string
	share  float64
	// freeMB is the memory that neither held weights nor full adapter slots take.
	freeMB float64
	// spare is the model that is missed least among those that other endpoints serve as well, last the one missed least
	// of all.
	spare victim
	last  victim
}

// victim is a model that an endpoint could unload; a nil model means that there is none.
type victim struct {
	model *modelView
	loss  float64
}

// look computes the views of all models and endpoints.
func (p *planner) look() {
	for _, m := range p.models {
		m.holders, m.serving = m.holders[:0], 0
	}
	for i := range p.endpoints {
		e := &p.endpoints[i]
		e.freeMB = p.in.Engine.MemoryMB - p.adapterReserveMB
		for _, held := range e.state.Models {
			p.lookAtHeld(i, held.Name)
		}
	}
	for i := range p.endpoints {
		p.endpoints[i].share = 0
	}
	for _, m := range p.models {
		for _, i := range m.holders {
			p.endpoints[i].share += m.shareOf(len(m.holders))
		}
	}
	for _, m := range p.models {
		p.lookAtStrain(m)
	}
	for i := range p.endpoints {
		p.lookForVictims(i)
	}
}

func (p *planner) lookAtHeld(i int, name string) {
	e, m := &p.endpoints[i], p.models[name]
	if m == nil {
		return
	}
	e.freeMB -= m.spec.WeightsMB
	if e.state.Leaving {
		return
	}
	m.holders = append(m.holders, i)
	if !slices.Contains(e.state.Changing, name) {
		m.serving++
	}
}

func (p *planner) lookAtStrain(m *modelView) {
	m.relief, m.strainGain = 0, 0
	copies := len(m.holders)
	for _, i := range m.holders {
		rest := p.endpoints[i].share - m.shareOf(copies)
		now := strain(p.endpoints[i].share)
		m.relief += now - strain(rest+m.shareOf(copies+1))
		m.strainGain += strain(rest+m.shareOf(copies-1)) - now
	}
}

// lookForVictims finds what an endpoint could unload. A model that is being loaded elsewhere keeps the copies that it has.
func (p *planner) lookForVictims(i int) {
	e := &p.endpoints[i]
	e.spare, e.last = victim{loss: math.Inf(1)}, victim{loss: math.Inf(1)}
	for _, held := range e.state.Models {
		m := p.models[held.Name]
		if m == nil || slices.Contains(e.state.Changing, held.Name) || m.serving < len(m.holders) {
			continue
		}
		loss := p.loss(m, i)
		if loss < e.last.loss {
			e.last = victim{model: m, loss: loss}
		}
		if m.serving > 1 && loss < e.spare.loss {
			e.spare = victim{model: m, loss: loss}
		}
	}
}

// loss is the strain that the other copies of a model gain when the endpoint unloads it.
func (p *planner) loss(m *modelView, at int) float64 {
	copies := len(m.holders)
	if copies <= 1 {
		return unservedWeight*m.load + lastCopyWeight + waitingWeight*float64(m.waiting)
	}
	share := p.endpoints[at].share
	rest := share - m.shareOf(copies)
	return m.strainGain - (strain(rest+m.shareOf(copies-1)) - strain(share)) + p.nearer(m, at, 1)
}

// gain is the strain that the present copies of a model lose when the endpoint takes a share of its load, less the strain
// that this adds there; freed is the load that leaves the endpoint with a victim.
func (p *planner) gain(m *modelView, at int, freed float64) float64 {
	share := p.endpoints[at].share
	added := strain(share-freed+m.shareOf(len(m.holders)+1)) - strain(share)
	if len(m.holders) == 0 {
		return unservedWeight*m.load + waitingWeight*float64(m.waiting) + lastCopyWeight - added
	}
	return m.relief + p.nearer(m, at, 0) - added
}

// nearer values the load of the endpoint's region that has the model within the region only through this copy; others is
// the number of copies there that may be this one.
func (p *planner) nearer(m *modelView, at, others int) float64 {
	region := p.endpoints[at].region
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
	if copies > others {
		return 0
	}
	return farWeight * load
}

// site is one way to make room for a copy.
type site struct {
	model    *modelView
	endpoint int
	// victim is the model to unload first; nil when there is room.
	victim    *modelView
	loadTime  time.Duration
	fromStore bool
	// net is the gain of the copy less what it costs.
	net float64
}

// planIntended orders the loads that unloads have made room for.
func (p *planner) planIntended() {
	for i := range p.endpoints {
		e := p.endpoints[i].state
		model := p.in.Engine.Models[e.Intended]
		// The intended model counts as held; without room for it the unload had no effect.
		if model == nil || e.Busy || e.Leaving || p.endpoints[i].freeMB < 0 {
			continue
		}
		took, fromStore := loadTime(e, model)
		if fromStore && p.in.StoreLoads <= 0 {
			continue
		}
		if fromStore {
			p.in.StoreLoads--
		}
		p.used[e.ID] = true
		p.orders = append(p.orders, Order{
			Endpoint: e.ID, Verb: Load, Model: model.Name, Expected: took, FromStore: fromStore,
			Reason: "room was made", Held: heldNames(e),
		})
	}
}

// planModels orders copies, the most useful first, as long as one is worth its cost. Sites are valued for all models once;
// after an order only those that come next are valued anew.
func (p *planner) planModels() {
	sites := p.bestSites()
	for range valuationsPerPlan {
		if len(sites) == 0 || len(p.orders) >= p.ordersAllowed {
			return
		}
		best := p.bestFor(sites[0].model)
		if len(sites) > 1 && best.net < sites[1].net {
			sites = resort(sites, best)
			continue
		}
		if best.net <= 0 {
			return
		}
		p.order(&best)
		p.look()
		sites = resort(sites, p.bestFor(best.model))
	}
}

// bestSites returns the best site of each model that clients ask for, the most useful first.
func (p *planner) bestSites() []site {
	var sites []site
	for _, name := range p.demanded {
		if s := p.bestFor(p.models[name]); s.net > 0 {
			sites = append(sites, s)
		}
	}
	slices.SortStableFunc(sites, byNet)
	return sites
}

func byNet(a, b site) int {
	return cmp.Compare(b.net, a.net)
}

// resort replaces the first site by a newer valuation of the same model.
func resort(sites []site, newer site) []site {
	if newer.net <= 0 {
		return sites[1:]
	}
	sites[0] = newer
	slices.SortStableFunc(sites, byNet)
	return sites
}

// order adds the order of a site and takes it into account.
func (p *planner) order(s *site) {
	e := p.endpoints[s.endpoint].state
	p.used[e.ID] = true
	order := Order{Endpoint: e.ID, Held: heldNames(e), Gain: s.net}
	if s.victim != nil {
		order.Verb, order.Model, order.Expected = Unload, s.victim.spec.Name, unloadTime
		order.For, order.Reason = s.model.spec.Name, "room for "+s.model.spec.Name
		e.Models = slices.DeleteFunc(slices.Clone(e.Models), func(m fleet.HeldModel) bool { return m.Name == order.Model })
	} else {
		order.Verb, order.Model, order.Expected, order.Reason = Load, s.model.spec.Name, s.loadTime, "demand"
		order.FromStore = s.fromStore
	}
	if s.fromStore {
		p.in.StoreLoads--
	}
	e.Models = append(slices.Clone(e.Models), fleet.HeldModel{Name: s.model.spec.Name})
	e.Changing = append(slices.Clone(e.Changing), s.model.spec.Name)
	p.orders = append(p.orders, order)
}

// bestFor returns the best site of a model; a net gain of zero means that none is worth its cost.
func (p *planner) bestFor(m *modelView) site {
	best := site{model: m}
	if len(m.holders) > 0 && m.relief+farWeight*m.load <= loadCost {
		// A copy that relieves its own model so little is not worth a load, whatever it would displace.
		return best
	}
	for i := range p.endpoints {
		e := p.endpoints[i].state
		if e.Busy || e.Leaving || p.used[e.ID] || e.HoldsModel(m.spec.Name) {
			continue
		}
		if s := p.siteAt(i, m); s.net > best.net {
			best = s
		}
	}
	return best
}

// siteAt values a copy of the model at an endpoint.
func (p *planner) siteAt(at int, m *modelView) site {
	e := &p.endpoints[at]
	s := site{model: m, endpoint: at}
	s.loadTime, s.fromStore = loadTime(e.state, m.spec)
	if s.fromStore && p.in.StoreLoads <= 0 {
		return site{}
	}
	cost := loadCost + s.loadTime.Seconds()*loadTimeCost
	// A copy is of use only from the end of its load on, while a victim is missed at once.
	lasting := max(1-s.loadTime.Seconds()/planHorizon.Seconds(), 0)
	if e.freeMB >= m.spec.WeightsMB {
		s.net = p.gain(m, at, 0)*lasting - cost
		return s
	}
	v := e.spare
	// The last serving copy of a model gives way only to a model that has none.
	if len(m.holders) == 0 {
		v = e.last
	}
	if v.model == nil || e.freeMB+v.model.spec.WeightsMB < m.spec.WeightsMB {
		return site{}
	}
	s.victim = v.model
	freed := v.model.shareOf(len(v.model.holders))
	s.net = p.gain(m, at, freed)*lasting - v.loss - unloadCost - freed*unloadLoadCost - cost
	return s
}

func heldNames(e *EndpointState) []string {
	names := make([]string, 0, len(e.Models))
	for _, m := range e.Models {
		names = append(names, m.Name)
	}
	return names
}

// loadTime is the time to load the model at the endpoint, and whether its weights come from the weight store.
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
