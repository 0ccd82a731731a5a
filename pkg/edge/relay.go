package edge

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
)

const (
	// relaysPerRegion is the number of instances that watch the store for all others of their region. With two, one may
	// fail. Each data centre watching by itself would fetch the same changes several times over the link between regions.
	relaysPerRegion = 2
	// minInstancesForRelays is the minimum number of instances of a data centre for which relays are used. Fewer
	// instances watch the store themselves, so that they see changes sooner.
	minInstancesForRelays = 5
	// relayWatchIntervalShare shortens the watch interval of a relay, because its changes still have to be sent to the
	// instances that rely on it.
	relayWatchIntervalShare = 0.5
	// relayRepeats is the number of relay watch intervals for which a change is sent, because datagrams get lost. An
	// instance that misses all messages with a change detects that and watches the store itself.
	relayRepeats = 3
)

// relays returns the instances that watch the store for a data centre: the largest ones of its region, or none if the data
// centre has few instances. A data centre that regions does not list is a region of its own.
func (r *instanceRegistry) relays(dataCentre string, regions map[string]string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	instances := 0
	var names []string
	for name, doc := range r.instances {
		if doc.DataCentre == dataCentre {
			instances++
		}
		if doc.DataCentre == dataCentre || regions[dataCentre] != "" && regions[doc.DataCentre] == regions[dataCentre] {
			names = append(names, name)
		}
	}
	if instances < minInstancesForRelays {
		return nil
	}
	slices.SortFunc(names, r.compareSize)
	return names[:relaysPerRegion]
}

// relaysOf returns the relays of a data centre.
func (s *Server) relaysOf(dataCentre string) []string {
	return s.instances.relays(dataCentre, s.settings().Regions)
}

// reliesOnRelays reports whether this instance need not watch the store, because the messages of the relays of its
// region keep its view recent. The instance that places models and the relays always watch the store themselves.
func (s *Server) reliesOnRelays(now time.Time) bool {
	return s.storeView.age(now) < s.settings().Bounds.watchInterval() && s.hasRelays()
}

// hasRelays reports whether relays watch the store for this instance.
func (s *Server) hasRelays() bool {
	settings := s.settings()
	if _, holder := s.lease.Held(); holder || s.table.Load() == nil {
		return false
	}
	relays := s.relaysOf(settings.DataCentre)
	return relays != nil && !slices.Contains(relays, settings.InstanceID)
}

// isRelay reports whether this instance watches the store for others.
func (s *Server) isRelay() bool {
	settings := s.settings()
	return slices.ContainsFunc(s.instances.dataCentres(), func(dataCentre string) bool {
		return slices.Contains(s.relaysOf(dataCentre), settings.InstanceID)
	})
}

// relaysTo reports whether this instance is a relay for another one.
func (s *Server) relaysTo(to exchange.Peer) bool {
	relays := s.relaysOf(to.DataCentre)
	return slices.Contains(relays, s.settings().InstanceID) && !slices.Contains(relays, to.Instance)
}

// relayWatchInterval returns the time between two watches of a relay.
func (s *Server) relayWatchInterval() time.Duration {
	return time.Duration(float64(s.settings().Bounds.watchInterval()) * relayWatchIntervalShare)
}

// canRelay reports whether this instance has a view of the store that others can rely on.
func (s *Server) canRelay() bool {
	return s.table.Load() != nil && s.storeView.completeAt.Load() != nil && s.storeView.unreachableSince.Load() == nil
}

// composeRelay adds the recent changes in the store to a message, if this instance is a relay for the recipient.
func (s *Server) composeRelay(m *exchange.Message, to exchange.Peer, now time.Time) {
	if !s.relaysTo(to) || !s.canRelay() {
		return
	}
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	after, from := s.changeLog.since(now.Add(-s.relayWindow()))
	m.Relay = &exchange.RelayDoc{
		After:         after,
		Revision:      s.storeView.revision.Load(),
		Gaps:          s.changeLog.gapsSince(after),
		AgeMs:         s.storeView.age(now).Milliseconds(),
		Configuration: s.table.Load().Config.Version,
		Holder:        s.instances.currentHolder(),
	}
	m.Relay.ConfigurationEntry = s.configEntryToRelay(m.Relay.Configuration, now)
	graceEnds := s.deps.Fleet.GraceEnds()
	if len(graceEnds) > 0 {
		m.Relay.GraceMs = make(map[string]int64, len(graceEnds))
	}
	for id, end := range graceEnds {
		m.Relay.GraceMs[id] = max(end.Sub(now).Milliseconds(), 0)
	}
	var changed []string
	changed, m.Relay.RemovedEndpoints = s.changeLog.endpoints.since(from)
	for _, a := range s.deps.Fleet.Announcements("") {
		if _, withdrawn := graceEnds[a.ID]; !withdrawn && slices.Contains(changed, a.ID) {
			m.Relay.ChangedEndpoints = append(m.Relay.ChangedEndpoints, exchange.EncodeEndpoint(&a))
		}
	}
	changed, m.Relay.RemovedInstances = s.changeLog.instances.since(from)
	m.Relay.ChangedInstances = s.instances.entries(changed)
}

// configEntryToRelay returns the compressed configuration for half a relay watch interval after it came into force. It
// returns nil later, for another version, or if the configuration is too large. Instances that miss it receive the
// version in the next message and read the configuration from the store.
func (s *Server) configEntryToRelay(version int64, now time.Time) []byte {
	entry := s.configEntry.Load()
	if entry == nil || entry.version != version || now.Sub(entry.inForceSince) >= s.relayWatchInterval()/2 {
		return nil
	}
	compressedValue, err := entry.compressed()
	if err != nil {
		s.log.Error("failed to compress the configuration for relaying", zap.Error(err), zap.Int64("version", version))
	}
	return compressedValue
}

// applyRelayed applies the changes that a relay reports. It ignores a message if this instance knows
// a newer revision. It also ignores a message that may not list all changes which this instance lacks, or that does not
// carry a configuration which this instance lacks; the instance then watches the store itself.
func (s *Server) applyRelayed(from string, r *exchange.RelayDoc, now time.Time) {
	if !slices.Contains(s.relaysOf(s.settings().DataCentre), from) {
		return
	}
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	known := s.storeView.revision.Load()
	if isNewEra(known, r.Revision) {
		// In a new era, everything is read again.
		s.requestWatch()
		return
	}
	inGap := slices.ContainsFunc(r.Gaps, func(g exchange.RevisionGap) bool { return g.Contains(known) })
	if r.Revision < known || r.After > known || inGap {
		return
	}
	if !s.applyRelayedConfig(from, r, now) {
		s.log.Info("relay announced a newer configuration; reading it from the store", zap.String("from", from), zap.Int64("version", r.Configuration))
		s.requestWatch()
		return
	}
	s.instances.setHolderWithoutPrevious(r.Holder, now)
	s.applyRelayedEndpoints(from, r, now)
	for name, doc := range r.ChangedInstances {
		s.instances.put(name, doc)
		s.changeLog.instances.recordChange(name, now)
	}
	for _, name := range r.RemovedInstances {
		s.instances.remove(name)
		s.changeLog.instances.recordRemoval(name, now)
	}
	s.recordRevision(r.Revision, now)
	s.storeView.recordComplete(now.Add(-time.Duration(r.AgeMs) * time.Millisecond))
}

// applyRelayedEndpoints applies the changed and removed endpoints of a relay message, unless newer ones are known.
func (s *Server) applyRelayedEndpoints(from string, r *exchange.RelayDoc, now time.Time) {
	if s.storeView.endpointsReflect(r.Revision) {
		return
	}
	for i := range r.ChangedEndpoints {
		s.applyAnnouncement(r.ChangedEndpoints[i].Decode(), r.Revision, from, now)
	}
	for _, id := range r.RemovedEndpoints {
		s.withdrawEndpoint(id, now, r.Revision, from, now)
	}
	for id, graceMs := range r.GraceMs {
		graceEnd := now
		if s.storeView.unreachableSince.Load() != nil {
			// The outage is not the relay's alone, so that the entry may have expired because of it.
			graceEnd = now.Add(time.Duration(graceMs) * time.Millisecond)
		}
		s.withdrawEndpoint(id, graceEnd, r.Revision, from, now)
	}
}

// applyRelayedConfig applies the configuration of a relay message if it is newer than the one in force. It returns
// false if the message does not carry the newer configuration or if that cannot be applied.
func (s *Server) applyRelayedConfig(from string, r *exchange.RelayDoc, now time.Time) bool {
	if s.hasConfig(r.Configuration) {
		return true
	}
	if len(r.ConfigurationEntry) == 0 {
		return false
	}
	value, err := decompressConfig(r.ConfigurationEntry)
	if err != nil {
		s.log.Warn("relayed configuration cannot be decompressed", zap.Error(err), zap.String("from", from))
		return false
	}
	s.applyConfigEntry(value, r.Revision, from, now)
	return s.hasConfig(r.Configuration)
}

// hasConfig reports whether a version of the configuration, or a later one, is in force.
func (s *Server) hasConfig(version int64) bool {
	table := s.table.Load()
	return table != nil && table.Config.Version >= version
}

// recordRevision records that this instance knows all changes up to a revision of the store. The caller holds viewMu.
func (s *Server) recordRevision(revision int64, now time.Time) {
	s.storeView.revision.Store(revision)
	s.changeLog.recordRevision(revision, now)
	s.changeLog.dropBefore(now.Add(-s.relayWindow()))
}

// relayWindow returns how long a relay sends a change.
func (s *Server) relayWindow() time.Duration {
	return relayRepeats * s.relayWatchInterval()
}

// requestWatch makes the store watcher watch the store at once.
func (s *Server) requestWatch() {
	select {
	case s.watchRequested <- struct{}{}:
	default:
	}
}
