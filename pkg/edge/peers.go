package edge

import (
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
)

const (
	// updateMaxAge is the maximum age of a change in a message with ReasonUpdate, unless twice the interval of such
	// messages is longer.
	updateMaxAge = 150 * time.Millisecond
	// modelChangeRepeats is the number of intervals for which a change of an endpoint's models is sent again, because
	// datagrams get lost.
	modelChangeRepeats = 3
	// sentPartRepeats is the number of intervals for which a prompt part is told. A lost one costs an engine's time to
	// read it again, and is told anew with the next request that has it.
	sentPartRepeats = 1.5
	// maxToldLoads and minToldLoads bound the endpoints whose loads one message tells. Between them the number is
	// toldLoadsTime by the interval: with 63 instances, seven within the region take up to 3.1 KB/s of the 22 KB/s that
	// control may use; with 390 instances, three take up to 3.5 KB/s.
	maxToldLoads  = 8
	minToldLoads  = 2
	toldLoadsTime = 6 * time.Second
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
	if to.SameRegion {
		// Sending a prompt to another region costs more than reading a shared part again.
		m.Parts = exchange.PackParts(s.deps.Fleet.SentPartsSince(now.Add(-time.Duration(sentPartRepeats * float64(info.Interval)))))
	}
	m.Slowness = exchange.PackSlowness(s.deps.Fleet.SlownessSince(now.Add(-info.Interval)))
	m.Loads = exchange.PackLoads(s.deps.Fleet.LoadsSince(now.Add(-info.Interval), now, toldLoads(info.Interval), !to.SameRegion))
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
	m.Leaving = s.leavingDocs(now)
	m.Stale = s.storeView.stale(now)
	if !m.Stale && s.sendsEndpointsTo(to, now) && s.endpointsDue(to, now) {
		m.Revision = s.storeView.revision.Load()
		m.Endpoints = s.endpointDocs(now)
	}
}

// toldLoads returns the number of endpoints whose stated loads one message tells, in up to twelve bytes each. The interval
// grows with the number of instances, and with more instances each of them gets fewer of an endpoint's responses.
func toldLoads(interval time.Duration) int {
	return min(max(int(toldLoadsTime/interval), minToldLoads), maxToldLoads)
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
		s.receiveParts(m)
		s.receiveSlowness(m, now)
		s.receiveLoads(m, now)
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
	if len(m.Leaving) > 0 {
		s.receiveLeaving(m, now)
	}
	if m.Quota != nil {
		s.quota.receive(m)
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
	s.deps.Fleet.SetRemoteWork(m.Instance, work, now)
}

func (s *Server) receiveParts(m *exchange.Message) {
	parts, err := exchange.UnpackParts(m.Parts)
	if err != nil {
		s.log.Info("prompt parts of another instance cannot be decoded", zap.String("from", m.Instance), zap.Error(err))
		return
	}
	s.deps.Fleet.RecordRemoteParts(parts)
}

func (s *Server) receiveSlowness(m *exchange.Message, now time.Time) {
	slowness, err := exchange.UnpackSlowness(m.Slowness)
	if err != nil {
		s.log.Info("measurements of another instance cannot be decoded", zap.String("from", m.Instance), zap.Error(err))
		return
	}
	s.deps.Fleet.AddRemoteSlowness(slowness, now)
}

func (s *Server) receiveLoads(m *exchange.Message, now time.Time) {
	loads, err := exchange.UnpackLoads(m.Loads)
	if err != nil {
		s.log.Info("loads of another instance cannot be decoded", zap.String("from", m.Instance), zap.Error(err))
		return
	}
	s.deps.Fleet.AddRemoteLoads(loads, now)
	s.recordLimitChanges()
}
