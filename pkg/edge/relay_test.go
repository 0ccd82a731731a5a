package edge

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

// newRelayTestServer returns the server of the named instance. It knows the instances edge-1 to edge-N of its data
// centre, where N is the given number, and the instance "elsewhere" of another data centre.
func newRelayTestServer(t *testing.T, name string, instances int) *Server {
	t.Helper()
	s, err := New(Settings{
		InstanceID: name, DataCentre: "z1", ExchangeAddress: "127.0.0.1:0", Bounds: Bounds{LeavingMs: 4000, ConfigurationMs: 4000},
	}, Dependencies{Pool: httpconn.NewPool(httpconn.Options{})}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.deps.Pool.Close)
	for i := range instances {
		s.instances.put(fmt.Sprintf("edge-%d", i+1), exchange.InstanceDoc{DataCentre: "z1"})
	}
	s.instances.put("elsewhere", exchange.InstanceDoc{DataCentre: "z2"})
	s.table.Store(routing.NewTable(&routing.Config{Version: 3}))
	return s
}

// Guards against using relays in a data centre with few instances, against instances that disagree on the relays, and
// against selecting an instance with little memory as relay while there are larger ones: smaller instances have links
// of lower bandwidth.
func TestRelaySelection(t *testing.T) {
	if relays := newRelayTestServer(t, "edge-1", minInstancesForRelays-1).instances.relays("z1", nil); relays != nil {
		t.Fatalf("a data centre with few instances has the relays %v", relays)
	}
	relays := newRelayTestServer(t, "edge-4", minInstancesForRelays).instances.relays("z1", nil)
	if !slices.Equal(relays, []string{"edge-1", "edge-2"}) {
		t.Fatalf("relays are %v", relays)
	}
	s := newRelayTestServer(t, "edge-4", minInstancesForRelays)
	s.instances.put("edge-5", exchange.InstanceDoc{DataCentre: "z1", MemoryMB: 536})
	if relays := s.instances.relays("z1", nil); !slices.Equal(relays, []string{"edge-5", "edge-1"}) {
		t.Fatalf("relays are %v, want the instance with the most memory first", relays)
	}
}

// Guards against a relay whose machine was suspended telling its view as recent: the monotonic clock stands still meanwhile.
func TestViewAgesWhileTheMachineIsSuspended(t *testing.T) {
	uptime := time.Hour
	s := newRelayTestServer(t, "edge-1", minInstancesForRelays)
	s.storeView.sinceBoot = func() time.Duration { return uptime }
	now := time.Now()
	s.storeView.recordComplete(now)
	const suspended = 3 * time.Second
	uptime += suspended
	m := &exchange.Message{Instance: "edge-1"}
	s.composeRelay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now)
	if age := time.Duration(m.Relay.AgeMs) * time.Millisecond; age < suspended-100*time.Millisecond {
		t.Fatalf("the relay tells an age of %v after the machine was suspended for %v", age, suspended)
	}
}

// Guards against each data centre of a region fetching the same changes over the link to the store, and against a data centre
// with few instances, which watch the store themselves, having no relay among those of its region.
func TestDataCentresOfARegionShareRelays(t *testing.T) {
	regions := map[string]string{"z1": "r1", "z2": "r1", "z3": "r1", "z4": "r2"}
	s := newRelayTestServer(t, "edge-1", minInstancesForRelays)
	settings := *s.settings()
	settings.Regions = regions
	s.Reload(settings)
	for i := range minInstancesForRelays {
		s.instances.put(fmt.Sprintf("other-%d", i+1), exchange.InstanceDoc{DataCentre: "z2"})
		s.instances.put(fmt.Sprintf("far-%d", i+1), exchange.InstanceDoc{DataCentre: "z4"})
	}
	s.instances.put("large", exchange.InstanceDoc{DataCentre: "z3", MemoryMB: 536})
	for dataCentre, want := range map[string][]string{"z1": {"large", "edge-1"}, "z2": {"large", "edge-1"}, "z3": nil, "z4": {"far-1", "far-2"}} {
		if relays := s.relaysOf(dataCentre); !slices.Equal(relays, want) {
			t.Errorf("relays of %s are %v, want %v", dataCentre, relays, want)
		}
	}
	if !s.isRelay() || !s.relaysTo(exchange.Peer{Instance: "other-1", DataCentre: "z2"}) || s.relaysTo(exchange.Peer{Instance: "far-3", DataCentre: "z4"}) {
		t.Error("edge-1 must be a relay for its region only")
	}
	settings.InstanceID, settings.DataCentre = "large", "z3"
	s.Reload(settings)
	if !s.isRelay() || s.hasRelays() {
		t.Error("a relay in a data centre with few instances must watch for the others")
	}
}

// Guards against an instance that relies on relays but does not learn that an endpoint is leaving or was removed, and
// against an instance that relies on a relay which no longer sends messages. The endpoint "leaves" is announced as
// leaving; the endpoint "goes" is removed.
func TestRelayedChanges(t *testing.T) {
	now := time.Now()
	relay, reliant := newRelayTestServer(t, "edge-1", minInstancesForRelays), newRelayTestServer(t, "edge-4", minInstancesForRelays)
	for _, s := range []*Server{relay, reliant} {
		s.deps.Fleet.Announce(fleet.Announcement{ID: "leaves", Service: "s", Address: "a:1"}, now)
		s.deps.Fleet.Announce(fleet.Announcement{ID: "goes", Service: "s", Address: "a:2"}, now)
	}
	relay.deps.Fleet.Announce(fleet.Announcement{ID: "leaves", Service: "s", Address: "a:1", Leaving: true}, now)
	relay.changeLog.endpoints.recordChange("leaves", now)
	relay.deps.Fleet.Withdraw("goes", now, now)
	relay.changeLog.endpoints.recordRemoval("goes", now)
	relay.storeView.revision.Store(20)
	relay.storeView.recordComplete(now)

	m := &exchange.Message{Instance: "edge-1"}
	relay.composeRelay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now)
	if m.Relay == nil {
		t.Fatal("the message has no relayed changes")
	}
	reliant.applyRelayed(m.Instance, m.Relay, now)
	if ids := reliant.deps.Fleet.IDs(); len(ids) != 1 || reliant.deps.Fleet.Usable() != 0 {
		t.Fatalf("endpoints are %v, usable %d", ids, reliant.deps.Fleet.Usable())
	}
	if !reliant.reliesOnRelays(now) || reliant.reliesOnRelays(now.Add(reliant.settings().Bounds.watchInterval())) {
		t.Fatal("the instance must rely on the relay for exactly one watch interval")
	}
	if relay.reliesOnRelays(now) {
		t.Fatal("a relay relies on other relays")
	}
}

// A relay may send the version of a newer configuration without its content. Guards against an instance that then
// records the revision of the message as known, and so never reads the configuration from the store.
func TestConfigurationNotInRelayMessageIsReadFromStore(t *testing.T) {
	now := time.Now()
	relay, reliant := newRelayTestServer(t, "edge-1", minInstancesForRelays), newRelayTestServer(t, "edge-4", minInstancesForRelays)
	relay.storeView.revision.Store(20)
	relay.storeView.recordComplete(now)
	relay.table.Store(routing.NewTable(&routing.Config{Version: 4}))
	m := &exchange.Message{Instance: "edge-1"}
	relay.composeRelay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now)
	reliant.applyRelayed(m.Instance, m.Relay, now)
	if len(reliant.watchRequested) != 1 || reliant.storeView.revision.Load() != 0 || reliant.reliesOnRelays(now) {
		t.Fatalf("the newer configuration is not read; revision %d", reliant.storeView.revision.Load())
	}
}

// Guards against counting a relay's message as news as of its arrival although the relay itself has heard nothing from the
// store for most of the watch interval.
func TestRelayedViewIsAsOldAsTheRelaysView(t *testing.T) {
	now := time.Now()
	relay, reliant := newRelayTestServer(t, "edge-1", minInstancesForRelays), newRelayTestServer(t, "edge-4", minInstancesForRelays)
	interval := reliant.settings().Bounds.watchInterval()
	relay.storeView.recordComplete(now)
	later := now.Add(interval * 3 / 4)
	m := &exchange.Message{Instance: "edge-1"}
	relay.composeRelay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, later)
	reliant.applyRelayed("edge-1", m.Relay, later)
	if !reliant.reliesOnRelays(later) || reliant.reliesOnRelays(now.Add(interval)) {
		t.Fatal("the instance must rely on the relay until the relay's view is one watch interval old")
	}
}

// Guards against applying relayed changes that are older than the instance's own view or come from an instance that is
// not a relay of the data centre, and against a relay sending changes while it cannot read the store.
func TestIgnoredRelayMessages(t *testing.T) {
	now := time.Now()
	reliant := newRelayTestServer(t, "edge-4", minInstancesForRelays)
	reliant.deps.Fleet.Announce(fleet.Announcement{ID: "e1", Service: "s", Address: "a:1"}, now)
	reliant.storeView.revision.Store(30)
	older := &exchange.RelayDoc{Revision: 29, RemovedEndpoints: []string{"e1"}}
	reliant.applyRelayed("edge-1", older, now)
	reliant.applyRelayed("edge-3", &exchange.RelayDoc{Revision: 40, RemovedEndpoints: []string{"e1"}}, now)
	reliant.applyRelayed("elsewhere", &exchange.RelayDoc{Revision: 40, RemovedEndpoints: []string{"e1"}}, now)
	if ids := reliant.deps.Fleet.IDs(); len(ids) != 1 {
		t.Fatalf("endpoints are %v", ids)
	}
	relay := newRelayTestServer(t, "edge-1", minInstancesForRelays)
	relay.storeView.setUnreachable(now)
	m := &exchange.Message{}
	relay.composeRelay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now)
	if m.Relay != nil {
		t.Fatal("a relay without the store sends changes")
	}
}

// Guards against an instance that still relies on its relays after all their messages with a change got lost: it would
// send requests to a leaving endpoint, because the relays do not send the change again.
func TestLostRelayMessagesAreDetected(t *testing.T) {
	now := time.Now()
	reliant := newRelayTestServer(t, "edge-4", minInstancesForRelays)
	reliant.recordRevision(30, now)
	reliant.applyRelayed("edge-1", &exchange.RelayDoc{After: 28, Revision: 33}, now)
	if !reliant.reliesOnRelays(now) || reliant.storeView.revision.Load() != 33 {
		t.Fatalf("a relay message without a gap is not relied on; revision %d", reliant.storeView.revision.Load())
	}
	later := now.Add(reliant.settings().Bounds.watchInterval())
	reliant.applyRelayed("edge-2", &exchange.RelayDoc{After: 34, Revision: 36}, later)
	if reliant.reliesOnRelays(later) || reliant.storeView.revision.Load() != 33 {
		t.Fatalf("a gap is not detected; revision %d", reliant.storeView.revision.Load())
	}
}

// Guards against using a leaving endpoint again because of an older state of it, from a relay that lags behind or from
// the instance's own next watch of the store.
func TestOlderUpdateDoesNotUndoRelayedChange(t *testing.T) {
	now := time.Now()
	s := newRelayTestServer(t, "edge-4", minInstancesForRelays)
	s.deps.EntryDecoder = EntryDecoder{EndpointPrefix: "e/", Endpoint: func(id string, _ []byte) (fleet.Announcement, error) {
		return fleet.Announcement{ID: id, Service: "s", Address: "a:1"}, nil
	}}
	present := fleet.Announcement{ID: "e1", Service: "s", Address: "a:1"}
	leaving := present
	leaving.Leaving = true
	s.deps.Fleet.Announce(present, now)
	s.recordRevision(30, now)
	s.applyRelayed("edge-1", &exchange.RelayDoc{After: 28, Revision: 35, ChangedEndpoints: []exchange.EndpointDoc{exchange.EncodeEndpoint(&leaving)}}, now)
	s.applyRelayed("edge-2", &exchange.RelayDoc{After: 28, Revision: 34, ChangedEndpoints: []exchange.EndpointDoc{exchange.EncodeEndpoint(&present)}}, now)
	w := &storeWatcher{server: s, seenRevision: 30}
	w.applyAll([]kvstore.Event{{KeyValue: kvstore.KeyValue{Key: "e/e1", ModRevision: 33}}}, now)
	if usable := s.deps.Fleet.Usable(); usable != 0 {
		t.Fatalf("%d usable endpoints", usable)
	}
	w.applyAll([]kvstore.Event{{KeyValue: kvstore.KeyValue{Key: "e/e1", ModRevision: 36}}}, now)
	if usable := s.deps.Fleet.Usable(); usable != 1 {
		t.Fatal("a newer entry is not applied")
	}
}

// Guards against using a leaving endpoint again because of an older state of it, from a relay or from the own watch, after
// another instance has sent a newer one during an outage of the store.
func TestOlderUpdateDoesNotUndoEndpointsOfAnotherInstance(t *testing.T) {
	now := time.Now()
	s := newRelayTestServer(t, "edge-4", minInstancesForRelays)
	s.deps.EntryDecoder = simulatedDecoder()
	present := fleet.Announcement{ID: "e1", Service: "s", Address: "a:1"}
	leaving := present
	leaving.Leaving = true
	s.deps.Fleet.Announce(present, now)
	s.recordRevision(30, now)
	s.storeView.setUnreachable(now.Add(-staleViewAfter))
	s.applyPeerEndpoints(&exchange.Message{Instance: "elsewhere", Revision: 40, Endpoints: []exchange.EndpointDoc{exchange.EncodeEndpoint(&leaving)}}, now)
	value, err := json.Marshal(present)
	if err != nil {
		t.Fatal(err)
	}
	entry := func(revision kvstore.Revision) kvstore.KeyValue {
		return kvstore.KeyValue{Key: simulatedEndpoints + "e1", Value: value, ModRevision: revision}
	}
	store := &scriptedStore{items: []kvstore.KeyValue{entry(34)}, compacted: func(int) bool { return false }}
	w := &storeWatcher{server: s, store: store}
	usedBefore := []exchange.EndpointDoc{exchange.EncodeEndpoint(&present)}
	for _, older := range []struct {
		from  string
		apply func()
	}{
		{"another instance", func() {
			s.applyPeerEndpoints(&exchange.Message{Instance: "elsewhere", Revision: 39, Endpoints: usedBefore}, now)
		}},
		{"a relay", func() {
			s.applyRelayed("edge-1", &exchange.RelayDoc{After: 28, Revision: 33, Configuration: 3, ChangedEndpoints: usedBefore}, now)
		}},
		{"a read of all entries", func() { w.readAll(t.Context()) }},
		{"a watch", func() { w.applyAll([]kvstore.Event{{KeyValue: entry(39)}}, now) }},
	} {
		older.apply()
		if s.deps.Fleet.Usable() != 0 {
			t.Errorf("older state from %s makes a leaving endpoint usable again", older.from)
			s.deps.Fleet.Announce(leaving, now)
		}
	}
	w.applyAll([]kvstore.Event{{KeyValue: entry(41)}}, now)
	if s.deps.Fleet.Usable() != 1 {
		t.Fatal("a newer entry is not applied")
	}
}

// Guards against using an endpoint for good that was created and removed while a relay did not see each change: the relay
// has never known it, and cannot report that it is gone.
func TestRelayDoesNotSpeakForChangesThatItSkipped(t *testing.T) {
	now := time.Now()
	brief := fleet.Announcement{ID: "brief", Service: "s", Address: "a:1"}
	skips := map[string]func(relay *Server){
		"a read of all entries": func(relay *Server) {
			store := &scriptedStore{items: []kvstore.KeyValue{{Key: "other", ModRevision: 40}}, compacted: func(int) bool { return false }}
			(&storeWatcher{server: relay, store: store}).readAll(t.Context())
		},
		"endpoints of another instance": func(relay *Server) {
			relay.storeView.setUnreachable(now.Add(-staleViewAfter))
			relay.applyPeerEndpoints(&exchange.Message{Instance: "elsewhere", Revision: 39}, now)
			relay.storeView.setReachable()
			(&storeWatcher{server: relay}).applyAll([]kvstore.Event{{KeyValue: kvstore.KeyValue{Key: "other", ModRevision: 40}}}, now)
		},
	}
	for name, skip := range skips {
		for known, complete := range map[int64]bool{29: true, 30: true, 35: false, 38: false} {
			relay, reliant := newRelayTestServer(t, "edge-1", minInstancesForRelays), newRelayTestServer(t, "edge-4", minInstancesForRelays)
			relay.deps.EntryDecoder = simulatedDecoder()
			relay.recordRevision(28, now.Add(-time.Minute))
			relay.recordRevision(30, now)
			relay.storeView.recordComplete(now)
			reliant.recordRevision(known, now)
			if known > 30 {
				reliant.deps.Fleet.Announce(brief, now)
			}
			skip(relay)
			// A read of all entries has dropped the instances that the test store does not have.
			for i := range minInstancesForRelays {
				relay.instances.put(fmt.Sprintf("edge-%d", i+1), exchange.InstanceDoc{DataCentre: "z1"})
			}
			m := &exchange.Message{Instance: "edge-1"}
			relay.composeRelay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now)
			reliant.applyRelayed("edge-1", m.Relay, now)
			if told := reliant.storeView.revision.Load() == 40; told != complete {
				t.Errorf("%s: a view at revision %d counts as complete up to 40: %v", name, known, told)
			}
		}
	}
}

// Guards against a relay message that leaves out changes: it must list each change whose revision is greater than the
// message's field After, whenever it is composed.
func TestRelayMessageListsAllLaterChanges(t *testing.T) {
	log := newStoreChangeLog()
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for revision := 1; revision <= 40; revision++ {
		log.endpoints.recordChange(fmt.Sprint(revision), at(100*revision-30))
		log.recordRevision(int64(revision), at(100*revision))
	}
	for _, ms := range []int{900, 1950, 1980, 2000, 3999} {
		after, from := log.since(at(ms))
		changed, _ := log.endpoints.since(from)
		for revision := after + 1; revision <= 40; revision++ {
			if !slices.Contains(changed, fmt.Sprint(revision)) {
				t.Errorf("changes since %d ms: After is %d, but change %d is not listed", ms, after, revision)
			}
		}
		if len(changed) > 42-ms/100 {
			t.Errorf("changes since %d ms: %d are listed, which is too many", ms, len(changed))
		}
	}
}

// Guards against an instance that relies on relays but does not learn that other instances were registered or removed,
// also if its relay received these changes from another relay.
func TestInstanceChangesAreRelayed(t *testing.T) {
	now := time.Now()
	relay, reliant := newRelayTestServer(t, "edge-1", minInstancesForRelays), newRelayTestServer(t, "edge-4", minInstancesForRelays)
	for _, s := range []*Server{relay, reliant} {
		s.recordRevision(30, now)
	}
	relay.applyRelayed("edge-2", &exchange.RelayDoc{
		After: 30, Revision: 32, Configuration: 3,
		ChangedInstances: map[string]exchange.InstanceDoc{"edge-9": {DataCentre: "z1"}}, RemovedInstances: []string{"elsewhere"},
	}, now)
	m := &exchange.Message{Instance: "edge-1"}
	relay.composeRelay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now)
	reliant.applyRelayed("edge-1", m.Relay, now)
	if !reliant.instances.has("edge-9") || reliant.instances.has("elsewhere") || reliant.storeView.revision.Load() != 32 {
		t.Fatalf("instances are %v at revision %d", reliant.instances.names(), reliant.storeView.revision.Load())
	}
}

// Guards against a change log that grows without bound at an instance that is not a relay.
func TestChangeLogIsBounded(t *testing.T) {
	s := newRelayTestServer(t, "edge-4", minInstancesForRelays)
	start := time.Now()
	for i := range 1000 {
		now := start.Add(time.Duration(i) * s.relayWatchInterval())
		s.changeLog.endpoints.recordRemoval(fmt.Sprint(i), now)
		s.recordRevision(int64(i), now)
	}
	if n := len(s.changeLog.endpoints.removed) + len(s.changeLog.revisions); n > 4*relayRepeats {
		t.Fatalf("%d changes are kept", n)
	}
}

// Guards against an instance that has no configuration, records the revision of a relay message as known, and then
// never reads the configuration from the store.
func TestInstanceWithoutConfigurationIgnoresRelayMessages(t *testing.T) {
	now := time.Now()
	s := newRelayTestServer(t, "edge-4", minInstancesForRelays)
	s.table.Store(nil)
	s.recordRevision(1, now)
	s.applyRelayed("edge-1", &exchange.RelayDoc{After: 1, Revision: 50, Configuration: 3}, now)
	if revision := s.storeView.revision.Load(); revision != 1 || len(s.watchRequested) != 1 {
		t.Fatalf("revision is %d, %d watches requested", revision, len(s.watchRequested))
	}
}

// testConfigDecoder returns a decoder of configuration entries that start with the version as decimal text, padded with
// spaces to 8 bytes.
func testConfigDecoder() EntryDecoder {
	return EntryDecoder{Config: func(value []byte) (*routing.Config, error) {
		version, err := strconv.ParseInt(strings.TrimSpace(string(value[:min(len(value), 8)])), 10, 64)
		return &routing.Config{Version: version}, err
	}}
}

// Guards against all instances of a data centre reading a new configuration from the store at once, which overloads the
// link between regions, and against an instance that does not read it although the relay's message does not carry it.
func TestRelaysSendNewConfiguration(t *testing.T) {
	now := time.Now()
	random := make([]byte, maxRelayedConfigBytes+1)
	rand.NewChaCha8([32]byte{}).Read(random)
	for _, c := range []struct {
		name    string
		value   []byte
		age     time.Duration
		damage  bool
		relayed bool
	}{
		{name: "new", value: []byte("7       "), relayed: true},
		{name: "no longer new", value: []byte("7       "), age: time.Second},
		{name: "too large for a datagram", value: append([]byte("7       "), random...)},
		{name: "damaged", value: []byte("7       "), damage: true},
	} {
		relay, reliant := newRelayTestServer(t, "edge-1", minInstancesForRelays), newRelayTestServer(t, "edge-4", minInstancesForRelays)
		relay.deps.EntryDecoder, reliant.deps.EntryDecoder = testConfigDecoder(), testConfigDecoder()
		relay.applyConfigEntry(c.value, 20, "", now.Add(-c.age))
		relay.storeView.recordComplete(now)
		m := &exchange.Message{Instance: "edge-1"}
		relay.composeRelay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now)
		if c.damage {
			m.Relay.ConfigurationEntry = m.Relay.ConfigurationEntry[:2]
		}
		if _, err := exchange.Encode(m); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		reliant.applyRelayed("edge-1", m.Relay, now)
		if inForce := reliant.table.Load().Config.Version == 7; inForce != c.relayed {
			t.Errorf("%s: relayed configuration in force: %v", c.name, inForce)
		}
		if readRequested := len(reliant.watchRequested) == 1; readRequested == c.relayed {
			t.Errorf("%s: read from the store requested: %v", c.name, readRequested)
		}
	}
}

// Guards against relay messages that become too large to be sent, because the relay entered each list of endpoints that it
// received during a long outage.
func TestGapsOfALongOutageAreOne(t *testing.T) {
	now := time.Now()
	relay := newRelayTestServer(t, "edge-1", minInstancesForRelays)
	relay.recordRevision(30, now)
	relay.storeView.setUnreachable(now.Add(-staleViewAfter))
	for revision := int64(40); revision < 5000; revision += 10 {
		relay.applyPeerEndpoints(&exchange.Message{Instance: "elsewhere", Revision: revision}, now)
	}
	if gaps := relay.changeLog.gapsSince(0); len(gaps) != 1 || !gaps[0].Contains(31) || !gaps[0].Contains(4980) || gaps[0].Contains(30) {
		t.Fatalf("%d gaps: %v", len(gaps), gaps[:min(len(gaps), 3)])
	}
	relay.changeLog.recordGap(6000, 6100)
	if gaps := relay.changeLog.gapsSince(0); len(gaps) != 2 {
		t.Fatalf("gaps with complete revisions between them are %v", gaps)
	}
}

// Guards against a relay that leaves out that an endpoint is leaving because the endpoint itself had told it of that before:
// the instances that rely on it would use the endpoint until its entry is removed.
func TestLeavingKnownFromTheEndpointIsRelayed(t *testing.T) {
	now := time.Now().Add(-time.Minute)
	relay, reliant := newRelayTestServer(t, "edge-1", minInstancesForRelays), newRelayTestServer(t, "edge-4", minInstancesForRelays)
	entry := fleet.Announcement{ID: "e1", Service: "s", Address: "a:1", Lifetime: 4}
	for _, s := range []*Server{relay, reliant} {
		s.applyAnnouncement(entry, 30, "", now)
		s.recordRevision(30, now)
		s.storeView.recordComplete(now)
	}
	relay.recordRevision(30, now.Add(2*relay.relayWindow()))
	now = time.Now()
	relay.recordRevision(30, now.Add(-relay.relayWindow()))
	relay.recordStatement("e1", 4, fleet.Statement{Leaving: true})
	entry.Leaving = true
	relay.applyAnnouncement(entry, 31, "", now)
	relay.recordRevision(31, now)
	m := &exchange.Message{Instance: "edge-1"}
	relay.composeRelay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now)
	reliant.applyRelayed("edge-1", m.Relay, now)
	if reliant.storeView.revision.Load() != 31 || reliant.deps.Fleet.Usable() != 0 {
		t.Fatalf("the instance knows all up to revision %d and uses %d leaving endpoints", reliant.storeView.revision.Load(), reliant.deps.Fleet.Usable())
	}
}
