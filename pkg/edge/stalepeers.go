package edge

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
)

const (
	// endpointsSendInterval is the minimum time after which the list of endpoints is sent to the same stale instance
	// again.
	endpointsSendInterval = 2 * time.Second
	// peerReportMaxAge is the age at which an instance's report of whether it can read the store is ignored.
	peerReportMaxAge = 3 * time.Second
)

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
	return p.endpointsDueToAny(instance, []string{instance}, now)
}

// endpointsDueToAny is like endpointsDue for a recipient that stands for several instances.
func (p *stalePeers) endpointsDueToAny(recipient string, instances []string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	anyStale := slices.ContainsFunc(instances, func(name string) bool { return p.isStale(name, now) })
	if !anyStale || now.Sub(p.endpointsSentAt[recipient]) < endpointsSendInterval {
		return false
	}
	p.endpointsSentAt[recipient] = now
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

// endpointsDue reports whether the endpoints should be sent to a recipient now, and records that they are.
func (s *Server) endpointsDue(to exchange.Peer, now time.Time) bool {
	if to.IsRegion() {
		return s.stalePeers.endpointsDueToAny("region "+to.Region, s.instances.inRegion(to.Region, s.settings().Regions), now)
	}
	return s.stalePeers.endpointsDue(to.Instance, now)
}

// sendsEndpointsTo reports whether this instance is one of the endpointSenders instances that send the endpoints to a
// stale instance, or to the stale ones of a region. They are the nearest instances that can read the store: those of the stale
// instance's data centre first, then those of its region, then all others, and among equally near ones the largest first.
func (s *Server) sendsEndpointsTo(to exchange.Peer, now time.Time) bool {
	settings := s.settings()
	candidates := s.instances.byDistance(to.DataCentre, cmp.Or(to.Region, settings.Regions[to.DataCentre]), settings.Regions)
	senders := s.stalePeers.withStoreAccess(candidates, settings.InstanceID, now)
	return slices.Contains(senders[:min(len(senders), endpointSenders)], settings.InstanceID)
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

// applyPeerEndpoints replaces the endpoints by those of an instance that can read the store. It has no effect while
// this instance can read the store itself, or if it knows a newer revision.
func (s *Server) applyPeerEndpoints(m *exchange.Message, now time.Time) {
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	if !s.storeView.stale(now) || m.Revision < max(s.storeView.revision.Load(), s.storeView.peerRevision) {
		return
	}
	s.storeView.peerRevision = m.Revision
	s.changeLog.recordGap(s.storeView.revision.Load(), m.Revision)
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
