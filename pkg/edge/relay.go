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
	// finds what was lost on the way.
	relayedWatches = 5
	// relayWatchShare shortens the time between the watches of a relay, because what it learns has one step more to go.
	relayWatchShare = 0.5
	// relayRepeats is how long a change is told again, in intervals of the exchange, because datagrams get lost.
	relayRepeats = 6
	// relayMemory is how long a change is remembered: the time of all repeats at the longest interval.
	relayMemory = relayRepeats * exchange.MaxInterval
)

// relayNews remembers what changed lately, so that this instance can tell it as a relay, and when it heard from a relay. It
// is safe for concurrent use.
type relayNews struct {
	mu      sync.Mutex
	changed map[string]time.Time
	gone    map[string]time.Time
	heardAt time.Time
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

// since returns the endpoints that changed and those that went after a time, and forgets those that are told no more.
func (n *relayNews) since(t, now time.Time) (changed, gone []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return recent(n.changed, t, now), recent(n.gone, t, now)
}

func recent(times map[string]time.Time, since, now time.Time) []string {
	var ids []string
	for id, at := range times {
		if now.Sub(at) > relayMemory {
			delete(times, id)
			continue
		}
		if !at.Before(since) {
			ids = append(ids, id)
		}
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

// relay adds what changed since a time to a message for an instance that relies on this one.
func (s *Server) relay(m *exchange.Message, to exchange.Peer, since, now time.Time) {
	if !s.relaysTo(to) {
		return
	}
	if s.storeView.lostAt.Load() != nil || s.table.Load() == nil {
		return
	}
	changed, gone := s.news.since(since, now)
	m.Relay = &exchange.RelayDoc{
		Revision:      s.storeView.revision.Load(),
		Configuration: s.table.Load().Config.Version,
		Holder:        s.members.currentHolder(),
		Gone:          gone,
	}
	for _, a := range s.parts.Fleet.Announcements("") {
		if slices.Contains(changed, a.ID) {
			m.Relay.Changed = append(m.Relay.Changed, exchange.EncodeEndpoint(&a))
		}
	}
}

// takeRelayed takes over what a relay of the data centre tells, unless this instance knows more of the store.
func (s *Server) takeRelayed(from string, r *exchange.RelayDoc, now time.Time) {
	if !slices.Contains(s.members.relays(s.settings().DataCentre), from) || r.Revision < s.storeView.revision.Load() {
		return
	}
	s.news.heard(now)
	s.members.setHolder(r.Holder)
	for i := range r.Changed {
		s.parts.Fleet.Announce(r.Changed[i].Decode(), now)
	}
	for _, id := range r.Gone {
		s.parts.Fleet.Withdraw(id, false, now)
	}
	if table := s.table.Load(); table != nil && r.Configuration > table.Config.Version {
		s.log.Info("newer configuration announced by a relay", zap.String("from", from), zap.Int64("version", r.Configuration))
		s.pokeWatch()
	}
}

// pokeWatch makes the follower watch the store at once.
func (s *Server) pokeWatch() {
	select {
	case s.watchNow <- struct{}{}:
	default:
	}
}
