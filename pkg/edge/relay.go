package edge

import (
	"slices"
	"sync"
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
	// relayedWatches is the number of watches in a row that an instance leaves to its relays. The next one is its own and
	// finds which instances came and went.
	relayedWatches = 5
	// relayWatchShare shortens the time between the watches of a relay, because what it learns has one step more to go.
	relayWatchShare = 0.5
	// relayRepeats is the number of watches of a relay for which a change is told, because datagrams get lost. An instance
	// that misses all of them sees that and watches the store itself.
	relayRepeats = 3
)

// relayNews remembers what changed lately and up to which revision the view of the store was complete at what time, so that
// this instance can tell it as a relay, and when it heard from a relay. It is safe for concurrent use.
type relayNews struct {
	mu      sync.Mutex
	changed map[string]time.Time
	gone    map[string]time.Time
	// complete lists the revisions up to which the view was complete, the oldest first.
	complete []revisionTime
	heardAt  time.Time
}

// revisionTime is a revision and the time from which on it was known.
type revisionTime struct {
	revision int64
	at       time.Time
}

func newRelayNews() *relayNews {
	return &relayNews{changed: make(map[string]time.Time), gone: make(map[string]time.Time)}
}

func (n *relayNews) endpointChanged(id string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changed[id] = now
	delete(n.gone, id)
}

func (n *relayNews) endpointGone(id string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gone[id] = now
	delete(n.changed, id)
}

// completeUpTo notes that the view holds all changes up to a revision.
func (n *relayNews) completeUpTo(revision int64, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if last := len(n.complete) - 1; last >= 0 && n.complete[last].revision >= revision {
		return
	}
	n.complete = append(n.complete, revisionTime{revision, now})
}

// since returns the endpoints that changed and those that went after a time, and a revision: all changes that followed it
// are among them. What is older is forgotten.
func (n *relayNews) since(t time.Time) (changed, gone []string, after int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(n.complete) > 1 && n.complete[1].at.Before(t) {
		n.complete = n.complete[1:]
	}
	if len(n.complete) > 0 {
		// Changes are noted one by one before the view is complete with them.
		after, t = n.complete[0].revision, n.complete[0].at
	}
	return recent(n.changed, t), recent(n.gone, t), after
}

func recent(times map[string]time.Time, since time.Time) []string {
	var ids []string
	for id, at := range times {
		if at.Before(since) {
			delete(times, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *relayNews) heard(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heardAt = now
}

func (n *relayNews) heardWithin(d time.Duration, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.heardAt.IsZero() && now.Sub(n.heardAt) < d
}

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
	slices.Sort(names)
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
	if !s.relaysTo(to) || s.table.Load() == nil || !s.storeView.settled(now) {
		return
	}
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	changed, gone, after := s.news.since(now.Add(-relayRepeats * s.relayPause()))
	m.Relay = &exchange.RelayDoc{
		After:         after,
		Revision:      s.storeView.revision.Load(),
		Configuration: s.table.Load().Config.Version,
		Holder:        s.members.currentHolder(),
		Gone:          gone,
	}
	m.Relay.ConfigurationEntry = s.newConfig(m.Relay.Configuration, now)
	for _, a := range s.parts.Fleet.Announcements("") {
		if slices.Contains(changed, a.ID) {
			m.Relay.Changed = append(m.Relay.Changed, exchange.EncodeEndpoint(&a))
		}
	}
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
	s.news.heard(now)
	s.members.setHolder(r.Holder, now)
	for i := range r.Changed {
		s.announced(r.Changed[i].Decode(), r.Revision, from, now)
	}
	for _, id := range r.Gone {
		s.parts.Fleet.Withdraw(id, false, now)
		s.news.endpointGone(id, now)
		s.log.Info("endpoint withdrawn", zap.String("endpoint", id), zap.String("from", from), zap.Int64("revision", r.Revision))
	}
	s.completeUpTo(r.Revision, now)
	s.takeRelayedConfig(from, r, now)
}

// takeRelayedConfig takes over a new configuration, or reads it from the store when the message does not have it.
func (s *Server) takeRelayedConfig(from string, r *exchange.RelayDoc, now time.Time) {
	table := s.table.Load()
	if table == nil || r.Configuration <= table.Config.Version {
		return
	}
	if len(r.ConfigurationEntry) > 0 {
		value, err := unpackConfig(r.ConfigurationEntry)
		if err != nil {
			s.log.Warn("relayed configuration not readable", zap.Error(err), zap.String("from", from))
		} else {
			s.takeConfig(value, r.Revision, from, now)
		}
	}
	if r.Configuration > s.table.Load().Config.Version {
		s.log.Info("newer configuration announced by a relay", zap.String("from", from), zap.Int64("version", r.Configuration))
		s.pokeWatch()
	}
}

// completeUpTo notes that this instance knows all changes of endpoints up to a revision of the store.
func (s *Server) completeUpTo(revision int64, now time.Time) {
	s.storeView.advance(revision)
	s.news.completeUpTo(revision, now)
}

// pokeWatch makes the follower watch the store at once.
func (s *Server) pokeWatch() {
	select {
	case s.watchNow <- struct{}{}:
	default:
	}
}
