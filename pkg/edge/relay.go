package edge

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
)

const (
	// relaysPerDataCentre instances of a data centre watch the store for all of it; two, so that one may fail.
	relaysPerDataCentre = 2
	// relayThreshold is the number of instances of a data centre from which on relays are used. Fewer instances watch the
	// store themselves, which is sooner.
	relayThreshold = 5
	// relayWatchShare shortens the time between the watches of a relay, because what it learns has one step more to go.
	relayWatchShare = 0.5
	// relayRepeats is the number of watches of a relay for which a change is told, because datagrams get lost. An instance
	// that misses all of them sees that and watches the store itself.
	relayRepeats = 3
)

// relays returns the instances that watch the store for a data centre, or none if it has few instances.
func (m *members) relays(dataCentre string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, doc := range m.instances {
		if doc.DataCentre == dataCentre {
			names = append(names, name)
		}
	}
	if len(names) < relayThreshold {
		return nil
	}
	slices.SortFunc(names, m.bySize)
	return names[:relaysPerDataCentre]
}

// leavesWatchToRelays tells whether a relay of the data centre was heard lately. The instance that places models and the
// relays watch the store themselves.
func (s *Server) leavesWatchToRelays(now time.Time) bool {
	settings := s.settings()
	if _, holder := s.lease.Held(); holder || s.table.Load() == nil {
		return false
	}
	relays := s.members.relays(settings.DataCentre)
	return relays != nil && !slices.Contains(relays, settings.InstanceID) &&
		s.news.heardWithin(settings.Bounds.watchPause(), now)
}

// isRelay tells whether this instance watches the store for others.
func (s *Server) isRelay() bool {
	settings := s.settings()
	return slices.Contains(s.members.relays(settings.DataCentre), settings.InstanceID)
}

// relaysTo tells whether an instance relies on this one to watch the store.
func (s *Server) relaysTo(to exchange.Peer) bool {
	settings := s.settings()
	if to.DataCentre != settings.DataCentre {
		return false
	}
	relays := s.members.relays(settings.DataCentre)
	return slices.Contains(relays, settings.InstanceID) && !slices.Contains(relays, to.Instance)
}

// relayPause is the time between two watches of a relay.
func (s *Server) relayPause() time.Duration {
	return time.Duration(float64(s.settings().Bounds.watchPause()) * relayWatchShare)
}

// relay adds what changed lately to a message for an instance that relies on this one.
func (s *Server) relay(m *exchange.Message, to exchange.Peer, now time.Time) {
	if !s.relaysTo(to) || s.table.Load() == nil || s.storeView.lostAt.Load() != nil {
		return
	}
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	if s.parts.Fleet.Graced() {
		// The view differs from the store until the endpoints that an outage removed are back or dropped.
		return
	}
	after, from := s.news.since(now.Add(-s.relayWindow()))
	m.Relay = &exchange.RelayDoc{
		After:         after,
		Revision:      s.storeView.revision.Load(),
		Configuration: s.table.Load().Config.Version,
		Holder:        s.members.currentHolder(),
	}
	m.Relay.ConfigurationEntry = s.newConfig(m.Relay.Configuration, now)
	var changed []string
	changed, m.Relay.RemovedEndpoints = s.news.endpoints.since(from)
	for _, a := range s.parts.Fleet.Announcements("") {
		if slices.Contains(changed, a.ID) {
			m.Relay.ChangedEndpoints = append(m.Relay.ChangedEndpoints, exchange.EncodeEndpoint(&a))
		}
	}
	changed, m.Relay.RemovedInstances = s.news.instances.since(from)
	m.Relay.ChangedInstances = s.members.entries(changed)
}

// newConfig returns the compressed configuration until the next watch; nil means that there is no new one, or that it is too
// large. Instances that miss the message hear of the version in the next one and read it from the store.
func (s *Server) newConfig(version int64, now time.Time) []byte {
	entry := s.configEntry.Load()
	if entry == nil || entry.version != version || now.Sub(entry.since) >= s.relayPause()/2 {
		return nil
	}
	packed, err := entry.compressed()
	if err != nil {
		s.log.Error("configuration not relayed", zap.Error(err), zap.Int64("version", version))
	}
	return packed
}

// takeRelayed takes over what a relay of the data centre tells, unless this instance knows more of the store, or lacks
// changes that the relay no longer tells: then it watches the store itself.
func (s *Server) takeRelayed(from string, r *exchange.RelayDoc, now time.Time) {
	if !slices.Contains(s.members.relays(s.settings().DataCentre), from) {
		return
	}
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	if known := s.storeView.revision.Load(); r.Revision < known || r.After > known {
		return
	}
	if !s.takeRelayedConfig(from, r, now) {
		s.log.Info("newer configuration announced by a relay", zap.String("from", from), zap.Int64("version", r.Configuration))
		s.pokeWatch()
		return
	}
	s.news.heard(now)
	s.members.sawHolder(r.Holder, now)
	for i := range r.ChangedEndpoints {
		s.announced(r.ChangedEndpoints[i].Decode(), r.Revision, from, now)
	}
	for _, id := range r.RemovedEndpoints {
		s.withdrawRelayed(id, r.Revision, from, now)
	}
	for name, doc := range r.ChangedInstances {
		s.members.put(name, doc)
		s.news.instances.changedAt(name, now)
	}
	for _, name := range r.RemovedInstances {
		s.members.remove(name)
		s.news.instances.goneAt(name, now)
	}
	s.completeUpTo(r.Revision, now)
}

// withdrawRelayed drops an endpoint of which a relay tells, again and again, that it has gone.
func (s *Server) withdrawRelayed(id string, revision int64, from string, now time.Time) {
	s.news.endpoints.goneAt(id, now)
	if s.parts.Fleet.Withdraw(id, false, now) {
		s.log.Info("endpoint withdrawn", zap.String("endpoint", id), zap.String("from", from), zap.Int64("revision", revision))
	}
}

// takeRelayedConfig takes over a new configuration. It returns false when there is one but the message does not have it.
func (s *Server) takeRelayedConfig(from string, r *exchange.RelayDoc, now time.Time) bool {
	if s.hasConfig(r.Configuration) {
		return true
	}
	if len(r.ConfigurationEntry) == 0 {
		return false
	}
	value, err := unpackConfig(r.ConfigurationEntry)
	if err != nil {
		s.log.Warn("relayed configuration not readable", zap.Error(err), zap.String("from", from))
		return false
	}
	s.takeConfig(value, r.Revision, from, now)
	return s.hasConfig(r.Configuration)
}

// hasConfig tells whether a version of the configuration, or a later one, is in force.
func (s *Server) hasConfig(version int64) bool {
	table := s.table.Load()
	return table != nil && table.Config.Version >= version
}

// completeUpTo notes that this instance knows all changes up to a revision of the store; viewMu is held.
func (s *Server) completeUpTo(revision int64, now time.Time) {
	s.storeView.revision.Store(revision)
	s.news.completeUpTo(revision, now)
	s.news.forget(now.Add(-s.relayWindow()))
}

// relayWindow is how long a relay tells a change.
func (s *Server) relayWindow() time.Duration {
	return relayRepeats * s.relayPause()
}

// pokeWatch makes the follower watch the store at once.
func (s *Server) pokeWatch() {
	select {
	case s.watchNow <- struct{}{}:
	default:
	}
}
