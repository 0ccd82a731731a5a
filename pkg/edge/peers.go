package edge

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/residency"
)

const (
	// staleAfter is the time without the store after which an instance takes the endpoints from others.
	staleAfter = 1500 * time.Millisecond
	// staleTellInterval is the time between two lists of endpoints for an instance without the store.
	staleTellInterval = 2 * time.Second
	// stalePeerAge is the age at which an instance's word that it cannot read the store no longer counts.
	stalePeerAge = 3 * time.Second
)

// storeView tells how current this instance's view of the store is. It is safe for concurrent use.
type storeView struct {
	// revision is that up to which all changes are known.
	revision atomic.Int64
	// taken is the revision of the endpoints that were last taken from another instance; the server's viewMu guards it.
	taken int64
	// lostAt is nil while the store answers.
	lostAt atomic.Pointer[time.Time]
	// takenOver is set once the endpoints were taken from another instance in this outage.
	takenOver atomic.Bool
}

func (v *storeView) lose(now time.Time) {
	v.lostAt.Store(&now)
	v.takenOver.Store(false)
}

func (v *storeView) regain() {
	v.lostAt.Store(nil)
}

func (v *storeView) stale(now time.Time) bool {
	lost := v.lostAt.Load()
	return lost != nil && now.Sub(*lost) >= staleAfter
}

// stalePeers remembers which instances cannot read the store.
type stalePeers struct {
	mu sync.Mutex
	// spoke is when each instance was heard last, heard when it last said that it cannot read the store, told when this
	// instance last told it the endpoints.
	spoke map[string]time.Time
	heard map[string]time.Time
	told  map[string]time.Time
}

func (p *stalePeers) note(instance string, stale bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spoke == nil {
		p.spoke, p.heard, p.told = make(map[string]time.Time), make(map[string]time.Time), make(map[string]time.Time)
	}
	p.spoke[instance] = now
	if !stale {
		delete(p.heard, instance)
		delete(p.told, instance)
		return
	}
	p.heard[instance] = now
}

// due tells whether an instance should be told the endpoints now.
func (p *stalePeers) due(instance string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isStale(instance, now) || now.Sub(p.told[instance]) < staleTellInterval {
		return false
	}
	p.told[instance] = now
	return true
}

// isStale tells whether an instance said lately that it cannot read the store. The lock is held.
func (p *stalePeers) isStale(instance string, now time.Time) bool {
	heard, said := p.heard[instance]
	return said && now.Sub(heard) < stalePeerAge
}

// current returns those of the instances that were heard lately and can read the store, and this one.
func (p *stalePeers) current(instances []string, own string, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(instances, func(name string) bool {
		return name != own && (p.isStale(name, now) || now.Sub(p.spoke[name]) >= stalePeerAge)
	})
}

// staleTellers is how many instances tell the endpoints to one that cannot read the store: a list of all endpoints has some
// ten kilobytes, and a whole region may be cut off at the same time.
const staleTellers = 2

// tellsEndpointsTo tells whether this instance is one of those that tell an instance without the store the endpoints: the
// largest in its data centre, in its region and elsewhere that can read the store.
func (s *Server) tellsEndpointsTo(to exchange.Peer, now time.Time) bool {
	settings := s.settings()
	order := s.members.byNearness(to.DataCentre, settings.Regions)
	tellers := s.stalePeers.current(order, settings.InstanceID, now)
	return slices.Contains(tellers[:min(len(tellers), staleTellers)], settings.InstanceID)
}

const (
	// newsAge is how old a change may be that an early message tells, unless the time between two of them is longer.
	newsAge = 150 * time.Millisecond
	// heldRepeats is how long what an endpoint holds is told again, in intervals, because datagrams get lost.
	heldRepeats = 3
)

// compose fills in this instance's message.
func (s *Server) compose(m *exchange.Message, to exchange.Peer, kind exchange.Kind) {
	now := time.Now()
	switch kind.Reason {
	case exchange.ReasonWaitingDemand:
		m.Models, m.Adapters = s.demand.waiting(now)
	case exchange.ReasonUpdate:
		s.composeNews(m, to, kind, now)
	case exchange.ReasonRegular:
		s.composeRegular(m, to, kind, now)
	}
}

// composeNews tells what has just changed.
func (s *Server) composeNews(m *exchange.Message, to exchange.Peer, kind exchange.Kind, now time.Time) {
	if _, held := s.lease.Held(); held {
		m.Held = s.heldDocs(now.Add(-max(newsAge, 2*kind.Interval)))
		m.Loading = s.loadingDocs(now)
	}
	s.relay(m, to, now)
}

func (s *Server) composeRegular(m *exchange.Message, to exchange.Peer, kind exchange.Kind, now time.Time) {
	m.Work = exchange.PackWork(s.parts.Fleet.OwnWork(now))
	if kind.ToHolder {
		m.Models, m.Adapters = s.demand.own(now)
	}
	if _, held := s.lease.Held(); held {
		m.Held = s.heldDocs(now.Add(-heldRepeats * kind.Interval))
		m.Loading = s.loadingDocs(now)
	}
	if h, ok := s.placement.Handover(now); ok {
		m.Handover = encodeHandover(&h, now)
	}
	s.relay(m, to, now)
	m.Stale = s.storeView.stale(now)
	if !m.Stale && s.tellsEndpointsTo(to, now) && s.stalePeers.due(to.Instance, now) {
		m.Revision = s.storeView.revision.Load()
		m.Endpoints = s.endpointDocs()
	}
}

// endpointDocs tells the endpoints that the store names.
func (s *Server) endpointDocs() []exchange.EndpointDoc {
	var docs []exchange.EndpointDoc
	for _, a := range s.parts.Fleet.Announcements("") {
		docs = append(docs, exchange.EncodeEndpoint(&a))
	}
	return docs
}

// heldDocs tells what endpoints hold after orders since a time.
func (s *Server) heldDocs(since time.Time) []exchange.HeldDoc {
	var docs []exchange.HeldDoc
	for _, a := range s.parts.Fleet.HeldSince(since) {
		docs = append(docs, exchange.HeldDoc{Endpoint: a.ID, Lifetime: a.Lifetime, Models: exchange.EncodeHeldModels(a.Models)})
	}
	return docs
}

// loadingDocs tells which loads are under way, and notes them here.
func (s *Server) loadingDocs(now time.Time) []exchange.LoadingDoc {
	var docs []exchange.LoadingDoc
	for _, l := range s.placement.Loading() {
		s.parts.Fleet.SetLoading(l.Model, l.Ready, now)
		docs = append(docs, exchange.LoadingDoc{Model: l.Model, ReadyMs: max(l.Ready.Sub(now).Milliseconds(), 0)})
	}
	return docs
}

// receive takes over another instance's message.
func (s *Server) receive(m *exchange.Message, now time.Time) {
	if m.Work != nil {
		s.receiveWork(m, now)
	}
	if m.Models != nil || m.Adapters != nil {
		told := remoteDemand{region: s.members.regionOf(m.Instance, s.settings().Regions), models: m.Models, adapters: m.Adapters, at: now}
		s.demand.receive(m.Instance, told, m.Work == nil)
	}
	if m.Work != nil {
		s.stalePeers.note(m.Instance, m.Stale, now)
	}
	if m.Relay != nil {
		s.takeRelayed(m.Instance, m.Relay, now)
	}
	if len(m.Endpoints) > 0 {
		s.takeOverEndpoints(m, now)
	}
	if m.Handover != nil {
		s.placement.TakeHandover(m.Instance, decodeHandover(m.Handover, now), now)
	}
	if m.Instance != s.members.currentHolder() {
		return
	}
	for _, l := range m.Loading {
		s.parts.Fleet.SetLoading(l.Model, now.Add(time.Duration(l.ReadyMs)*time.Millisecond), now)
	}
	for _, h := range m.Held {
		s.parts.Fleet.SetHeld(h.Endpoint, h.Lifetime, exchange.DecodeHeldModels(h.Models), now)
	}
}

func (s *Server) receiveWork(m *exchange.Message, now time.Time) {
	work, err := exchange.UnpackWork(m.Work)
	if err != nil {
		s.log.Info("work of another instance not readable; the former one stays", zap.String("from", m.Instance), zap.Error(err))
		return
	}
	s.parts.Fleet.SetRemoteWork(m.Instance, work.Of, now)
}

// takeOverEndpoints replaces the endpoints by those of an instance that can read the store, while this one cannot.
func (s *Server) takeOverEndpoints(m *exchange.Message, now time.Time) {
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	if !s.storeView.stale(now) || m.Revision < max(s.storeView.revision.Load(), s.storeView.taken) {
		return
	}
	s.storeView.taken = m.Revision
	present := make(map[string]bool, len(m.Endpoints))
	for i := range m.Endpoints {
		present[m.Endpoints[i].ID] = true
		s.parts.Fleet.Announce(m.Endpoints[i].Decode(), now)
	}
	for _, id := range s.parts.Fleet.IDs() {
		if !present[id] {
			s.parts.Fleet.Withdraw(id, false, now)
		}
	}
	if !s.storeView.takenOver.Swap(true) {
		s.log.Info("endpoints taken over from another instance while the store is lost", zap.String("from", m.Instance),
			zap.Int64("revision", m.Revision), zap.Int("endpoints", len(m.Endpoints)))
	}
}

func encodeHandover(h *residency.Handover, now time.Time) *exchange.HandoverDoc {
	doc := &exchange.HandoverDoc{FencingToken: h.Fence, Ordered: h.Ordered}
	for _, l := range h.Loading {
		doc.Loading = append(doc.Loading, exchange.HandoverLoadDoc{
			Endpoint: l.Endpoint, Model: l.Model, ReadyMs: l.Ready.Sub(now).Milliseconds(),
		})
	}
	for _, age := range h.StoreLoads {
		doc.LoadAgesMs = append(doc.LoadAgesMs, age.Milliseconds())
	}
	return doc
}

func decodeHandover(doc *exchange.HandoverDoc, now time.Time) residency.Handover {
	h := residency.Handover{Fence: doc.FencingToken, Ordered: doc.Ordered}
	for _, l := range doc.Loading {
		h.Loading = append(h.Loading, residency.Loading{
			Endpoint: l.Endpoint, Model: l.Model, Ready: now.Add(time.Duration(l.ReadyMs) * time.Millisecond),
		})
	}
	for _, ms := range doc.LoadAgesMs {
		h.StoreLoads = append(h.StoreLoads, time.Duration(ms)*time.Millisecond)
	}
	return h
}
