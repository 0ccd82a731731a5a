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
	// staleViewAfter is the time without the store after which an instance accepts the endpoints of other instances.
	staleViewAfter = 1500 * time.Millisecond
	// endpointsSendInterval is the minimum time after which the list of endpoints is sent to the same stale instance
	// again.
	endpointsSendInterval = 2 * time.Second
	// peerReportMaxAge is the age at which an instance's report of whether it can read the store is ignored.
	peerReportMaxAge = 3 * time.Second
)

// storeView is the state of this instance's view of the store. It is safe for concurrent use.
type storeView struct {
	// revision is the revision up to which all changes are known.
	revision atomic.Int64
	// completeAt is the latest time at which the view is known to have been complete; nil before the first read.
	completeAt atomic.Pointer[time.Time]
	// peerRevision is the revision of the endpoints last received from another instance; guarded by the server's
	// viewMu.
	peerRevision int64
	// unreachableSince is nil while the store responds.
	unreachableSince atomic.Pointer[time.Time]
	// peerEndpointsApplied is set once endpoints of another instance were applied in the present outage.
	peerEndpointsApplied atomic.Bool
}

// endpointsReflect reports whether the endpoints received from another instance already reflect a revision, so that an
// update as of that revision must not change them. The caller holds the server's viewMu.
func (v *storeView) endpointsReflect(revision int64) bool {
	return revision <= v.peerRevision
}

func (v *storeView) setUnreachable(now time.Time) {
	v.unreachableSince.Store(&now)
	v.peerEndpointsApplied.Store(false)
}

func (v *storeView) setReachable() {
	v.unreachableSince.Store(nil)
}

// recordComplete records that the view was complete at a time, which may be earlier than a recorded one. Calls must not
// overlap.
func (v *storeView) recordComplete(at time.Time) {
	if at.After(v.lastComplete()) {
		v.completeAt.Store(&at)
	}
}

// lastComplete returns the latest time at which the view is known to have been complete; the zero time means never.
func (v *storeView) lastComplete() time.Time {
	if at := v.completeAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// age returns the time since the view was last known to be complete.
func (v *storeView) age(now time.Time) time.Duration {
	return now.Sub(v.lastComplete())
}

func (v *storeView) stale(now time.Time) bool {
	since := v.unreachableSince.Load()
	return since != nil && now.Sub(*since) >= staleViewAfter
}

// stalePeers tracks which instances are stale, which means that they cannot read the store.
type stalePeers struct {
	mu sync.Mutex
	// Times by instance: lastMessageAt of its last regular message, staleReportedAt of its last report that it cannot
	// read the store, endpointsSentAt of the last list of endpoints sent to it.
	lastMessageAt   map[string]time.Time
	staleReportedAt map[string]time.Time
	endpointsSentAt map[string]time.Time
}

func (p *stalePeers) recordMessage(instance string, stale bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastMessageAt == nil {
		p.lastMessageAt, p.staleReportedAt, p.endpointsSentAt = make(map[string]time.Time), make(map[string]time.Time), make(map[string]time.Time)
	}
	p.lastMessageAt[instance] = now
	if !stale {
		delete(p.staleReportedAt, instance)
		delete(p.endpointsSentAt, instance)
		return
	}
	p.staleReportedAt[instance] = now
}

// endpointsDue reports whether the endpoints should be sent to an instance now, and records that they are.
func (p *stalePeers) endpointsDue(instance string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isStale(instance, now) || now.Sub(p.endpointsSentAt[instance]) < endpointsSendInterval {
		return false
	}
	p.endpointsSentAt[instance] = now
	return true
}

// isStale reports whether an instance reported recently that it cannot read the store. The caller holds the lock.
func (p *stalePeers) isStale(instance string, now time.Time) bool {
	staleReportedAt, reported := p.staleReportedAt[instance]
	return reported && now.Sub(staleReportedAt) < peerReportMaxAge
}

// withStoreAccess returns own and those instances that are not stale and sent a regular message within
// peerReportMaxAge.
func (p *stalePeers) withStoreAccess(instances []string, own string, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(instances, func(name string) bool {
		return name != own && (p.isStale(name, now) || now.Sub(p.lastMessageAt[name]) >= peerReportMaxAge)
	})
}

// endpointSenders is the number of instances that send the endpoints to a stale instance. It is small, because a list
// of all endpoints takes some ten kilobytes and a whole region may be cut off at the same time.
const endpointSenders = 2

// sendsEndpointsTo reports whether this instance is one of the endpointSenders instances that send the endpoints to a
// stale instance. They are the nearest instances that can read the store: those of the stale instance's data centre
// first, then those of its region, then all others, and among equally near ones the largest first.
func (s *Server) sendsEndpointsTo(to exchange.Peer, now time.Time) bool {
	settings := s.settings()
	candidates := s.instances.byDistance(to.DataCentre, settings.Regions)
	senders := s.stalePeers.withStoreAccess(candidates, settings.InstanceID, now)
	return slices.Contains(senders[:min(len(senders), endpointSenders)], settings.InstanceID)
}

const (
	// updateMaxAge is the maximum age of a change in a message with ReasonUpdate, unless twice the interval of such
	// messages is longer.
	updateMaxAge = 150 * time.Millisecond
	// modelChangeRepeats is the number of intervals for which a change of an endpoint's models is sent again, because
	// datagrams get lost.
	modelChangeRepeats = 3
)

// compose adds this instance's state to a message.
func (s *Server) compose(m *exchange.Message, to exchange.Peer, info exchange.SendInfo) {
	now := time.Now()
	switch info.Reason {
	case exchange.ReasonWaitingDemand:
		m.Models, m.Adapters = s.demand.waitingDemand(now)
	case exchange.ReasonUpdate:
		s.composeUpdate(m, to, info, now)
	case exchange.ReasonCrash:
		s.composeQuarantine(m, now)
	case exchange.ReasonRegular:
		s.composeRegular(m, to, info, now)
	}
}

// composeUpdate adds recent changes to a message with ReasonUpdate.
func (s *Server) composeUpdate(m *exchange.Message, to exchange.Peer, info exchange.SendInfo, now time.Time) {
	if _, holdsLease := s.lease.Held(); holdsLease {
		m.Held = s.heldDocs(now.Add(-max(updateMaxAge, 2*info.Interval)))
		m.Loading = s.loadingDocs(now)
	}
	s.composeRelay(m, to, now)
}

func (s *Server) composeRegular(m *exchange.Message, to exchange.Peer, info exchange.SendInfo, now time.Time) {
	m.Work = exchange.PackWork(s.deps.Fleet.OwnWork(now))
	if info.ToHolder {
		m.Models, m.Adapters = s.demand.ownDemand(now)
	}
	if _, holdsLease := s.lease.Held(); holdsLease {
		m.Held = s.heldDocs(now.Add(-modelChangeRepeats * info.Interval))
		m.Loading = s.loadingDocs(now)
	}
	if h, ok := s.placement.Handover(now); ok {
		m.Handover = encodeHandover(&h, now)
	}
	s.composeRelay(m, to, now)
	s.composeQuarantine(m, now)
	m.Stale = s.storeView.stale(now)
	if !m.Stale && s.sendsEndpointsTo(to, now) && s.stalePeers.endpointsDue(to.Instance, now) {
		m.Revision = s.storeView.revision.Load()
		m.Endpoints = s.endpointDocs(now)
	}
}

// endpointDocs returns all endpoints that the store lists, and those that the fleet still keeps with grace.
func (s *Server) endpointDocs(now time.Time) []exchange.EndpointDoc {
	var docs []exchange.EndpointDoc
	graceEnds := s.deps.Fleet.GraceEnds()
	for _, a := range s.deps.Fleet.Announcements("") {
		doc := exchange.EncodeEndpoint(&a)
		if end, withdrawn := graceEnds[a.ID]; withdrawn {
			doc.GraceMs = end.Sub(now).Milliseconds()
			if doc.GraceMs <= 0 {
				continue
			}
		}
		docs = append(docs, doc)
	}
	return docs
}

// heldDocs returns, for each endpoint whose models were changed by orders since a time, the models that it holds.
func (s *Server) heldDocs(since time.Time) []exchange.HeldDoc {
	var docs []exchange.HeldDoc
	for _, a := range s.deps.Fleet.ModelsChangedSince(since) {
		docs = append(docs, exchange.HeldDoc{Endpoint: a.ID, Lifetime: a.Lifetime, Models: exchange.EncodeHeldModels(a.Models)})
	}
	return docs
}

// loadingDocs returns the loads in progress, and records them in this instance's fleet.
func (s *Server) loadingDocs(now time.Time) []exchange.LoadingDoc {
	var docs []exchange.LoadingDoc
	for _, l := range s.placement.Loading() {
		s.deps.Fleet.SetLoading(l.Model, l.ReadyAt, now)
		docs = append(docs, exchange.LoadingDoc{Model: l.Model, ReadyMs: max(l.ReadyAt.Sub(now).Milliseconds(), 0)})
	}
	return docs
}

// receive applies a message of another instance.
func (s *Server) receive(m *exchange.Message, now time.Time) {
	if m.Work != nil {
		s.receiveWork(m, now)
	}
	if m.Models != nil || m.Adapters != nil {
		update := remoteDemand{region: s.instances.regionOf(m.Instance, s.settings().Regions), models: m.Models, adapters: m.Adapters, receivedAt: now}
		s.demand.receive(m.Instance, update, m.Work == nil)
	}
	if m.Work != nil {
		s.stalePeers.recordMessage(m.Instance, m.Stale, now)
	}
	if m.Relay != nil {
		s.applyRelayed(m.Instance, m.Relay, now)
	}
	if len(m.Endpoints) > 0 {
		s.applyPeerEndpoints(m, now)
	}
	if m.Quarantine != nil {
		s.receiveQuarantine(m, now)
	}
	if m.Handover != nil {
		s.placement.ReceiveHandover(m.Instance, decodeHandover(m.Handover, now), now)
	}
	if m.Instance != s.instances.currentHolder() {
		return
	}
	for _, l := range m.Loading {
		s.deps.Fleet.SetLoading(l.Model, now.Add(time.Duration(l.ReadyMs)*time.Millisecond), now)
	}
	for _, h := range m.Held {
		s.deps.Fleet.SetModels(h.Endpoint, h.Lifetime, exchange.DecodeHeldModels(h.Models), now)
	}
}

func (s *Server) receiveWork(m *exchange.Message, now time.Time) {
	work, err := exchange.UnpackWork(m.Work)
	if err != nil {
		s.log.Info("work of another instance cannot be decoded; the previous one stays in use", zap.String("from", m.Instance), zap.Error(err))
		return
	}
	s.deps.Fleet.SetRemoteWork(m.Instance, work.Of, now)
}

// applyPeerEndpoints replaces the endpoints by those of an instance that can read the store. It has no effect while
// this instance can read the store itself, or if it knows a newer revision.
func (s *Server) applyPeerEndpoints(m *exchange.Message, now time.Time) {
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	if !s.storeView.stale(now) || m.Revision < max(s.storeView.revision.Load(), s.storeView.peerRevision) {
		return
	}
	s.storeView.peerRevision = m.Revision
	listed := make(map[string]bool, len(m.Endpoints))
	for i := range m.Endpoints {
		doc := &m.Endpoints[i]
		listed[doc.ID] = true
		s.applyAnnouncement(doc.Decode(), m.Revision, m.Instance, now)
		if doc.GraceMs > 0 {
			graceEnd := now.Add(time.Duration(doc.GraceMs) * time.Millisecond)
			s.withdrawEndpoint(doc.ID, graceEnd, m.Revision, m.Instance, now)
		}
	}
	for _, id := range s.deps.Fleet.IDs() {
		if !listed[id] {
			s.withdrawEndpoint(id, now, m.Revision, m.Instance, now)
		}
	}
	if !s.storeView.peerEndpointsApplied.Swap(true) {
		s.log.Info("endpoints of another instance applied while the store is unreachable", zap.String("from", m.Instance),
			zap.Int64("revision", m.Revision), zap.Int("endpoints", len(m.Endpoints)))
	}
}

func encodeHandover(h *residency.Handover, now time.Time) *exchange.HandoverDoc {
	doc := &exchange.HandoverDoc{FencingToken: h.FencingToken, Ordered: h.Ordered}
	for _, l := range h.Loading {
		doc.Loading = append(doc.Loading, exchange.HandoverLoadDoc{
			Endpoint: l.Endpoint, Model: l.Model, ReadyMs: l.ReadyAt.Sub(now).Milliseconds(),
		})
	}
	for _, age := range h.StoreLoadAges {
		doc.LoadAgesMs = append(doc.LoadAgesMs, age.Milliseconds())
	}
	return doc
}

func decodeHandover(doc *exchange.HandoverDoc, now time.Time) residency.Handover {
	h := residency.Handover{FencingToken: doc.FencingToken, Ordered: doc.Ordered}
	for _, l := range doc.Loading {
		h.Loading = append(h.Loading, residency.Loading{
			Endpoint: l.Endpoint, Model: l.Model, ReadyAt: now.Add(time.Duration(l.ReadyMs) * time.Millisecond),
		})
	}
	for _, ms := range doc.LoadAgesMs {
		h.StoreLoadAges = append(h.StoreLoadAges, time.Duration(ms)*time.Millisecond)
	}
	return h
}
