package edge

import (
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

// newRelayTestServer returns an instance of a data centre with the given number of instances, edge-1 to edge-N.
func newRelayTestServer(t *testing.T, name string, instances int) *Server {
	t.Helper()
	s, err := New(Settings{
		InstanceID: name, DataCentre: "z1", ExchangeAddress: "127.0.0.1:0", Bounds: Bounds{LeavingMs: 4000, ConfigurationMs: 4000},
	}, Parts{Pool: httpconn.NewPool(httpconn.Options{})}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.parts.Pool.Close)
	for i := range instances {
		s.members.put(fmt.Sprintf("edge-%d", i+1), exchange.InstanceDoc{DataCentre: "z1"})
	}
	s.members.put("elsewhere", exchange.InstanceDoc{DataCentre: "z2"})
	s.table.Store(routing.NewTable(&routing.Config{Version: 3}))
	return s
}

// Guards against a small data centre waiting for relays, against instances that disagree on who they are, and against small
// machines with narrow links relaying while there are larger ones.
func TestRelaysAreAgreedOn(t *testing.T) {
	if relays := newRelayTestServer(t, "edge-1", relayThreshold-1).members.relays("z1"); relays != nil {
		t.Fatalf("relays of a small data centre are %v", relays)
	}
	relays := newRelayTestServer(t, "edge-4", relayThreshold).members.relays("z1")
	if !slices.Equal(relays, []string{"edge-1", "edge-2"}) {
		t.Fatalf("relays are %v", relays)
	}
	s := newRelayTestServer(t, "edge-4", relayThreshold)
	s.members.put("edge-5", exchange.InstanceDoc{DataCentre: "z1", MemoryMB: 536})
	if relays := s.members.relays("z1"); !slices.Equal(relays, []string{"edge-5", "edge-1"}) {
		t.Fatalf("relays are %v, not the largest first", relays)
	}
}

// Guards against an instance that no longer watches the store missing a leaving endpoint, one that is gone or a new
// configuration, and against a relay that has fallen silent being relied on.
func TestRelayedChanges(t *testing.T) {
	now := time.Now()
	relay, follower := newRelayTestServer(t, "edge-1", relayThreshold), newRelayTestServer(t, "edge-4", relayThreshold)
	for _, s := range []*Server{relay, follower} {
		s.parts.Fleet.Announce(fleet.Announcement{ID: "leaves", Service: "s", Address: "a:1"}, now)
		s.parts.Fleet.Announce(fleet.Announcement{ID: "goes", Service: "s", Address: "a:2"}, now)
	}
	relay.parts.Fleet.Announce(fleet.Announcement{ID: "leaves", Service: "s", Address: "a:1", Leaving: true}, now)
	relay.news.endpoints.changedAt("leaves", now)
	relay.parts.Fleet.Withdraw("goes", false, now)
	relay.news.endpoints.goneAt("goes", now)
	relay.storeView.revision.Store(20)

	m := &exchange.Message{Instance: "edge-1"}
	relay.relay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now)
	if m.Relay == nil {
		t.Fatal("nothing is relayed")
	}
	follower.takeRelayed(m.Instance, m.Relay, now)
	if ids := follower.parts.Fleet.IDs(); len(ids) != 1 || follower.parts.Fleet.Usable() != 0 {
		t.Fatalf("endpoints are %v, usable %d", ids, follower.parts.Fleet.Usable())
	}
	if !follower.leavesWatchToRelays(now) || follower.leavesWatchToRelays(now.Add(follower.settings().Bounds.watchPause())) {
		t.Fatal("relied on at the wrong time")
	}
	if relay.leavesWatchToRelays(now) {
		t.Fatal("a relay relies on others")
	}
}

// Guards against a newer configuration that a relay knows of but does not tell never being read: the revision that the
// message names must not count as known.
func TestConfigurationThatIsNotToldIsRead(t *testing.T) {
	now := time.Now()
	relay, follower := newRelayTestServer(t, "edge-1", relayThreshold), newRelayTestServer(t, "edge-4", relayThreshold)
	relay.storeView.revision.Store(20)
	relay.table.Store(routing.NewTable(&routing.Config{Version: 4}))
	m := &exchange.Message{Instance: "edge-1"}
	relay.relay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now)
	follower.takeRelayed(m.Instance, m.Relay, now)
	if len(follower.watchNow) != 1 || follower.storeView.revision.Load() != 0 || follower.leavesWatchToRelays(now) {
		t.Fatalf("the newer configuration is not read; revision %d", follower.storeView.revision.Load())
	}
}

// Guards against word that is older than what an instance read itself, from an instance that is no relay, or from a relay
// that cannot read the store.
func TestRelayedChangesThatDoNotCount(t *testing.T) {
	now := time.Now()
	follower := newRelayTestServer(t, "edge-4", relayThreshold)
	follower.parts.Fleet.Announce(fleet.Announcement{ID: "e1", Service: "s", Address: "a:1"}, now)
	follower.storeView.revision.Store(30)
	older := &exchange.RelayDoc{Revision: 29, RemovedEndpoints: []string{"e1"}}
	follower.takeRelayed("edge-1", older, now)
	follower.takeRelayed("edge-3", &exchange.RelayDoc{Revision: 40, RemovedEndpoints: []string{"e1"}}, now)
	follower.takeRelayed("elsewhere", &exchange.RelayDoc{Revision: 40, RemovedEndpoints: []string{"e1"}}, now)
	if ids := follower.parts.Fleet.IDs(); len(ids) != 1 {
		t.Fatalf("endpoints are %v", ids)
	}
	relay := newRelayTestServer(t, "edge-1", relayThreshold)
	relay.storeView.lose(now)
	m := &exchange.Message{}
	relay.relay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now)
	if m.Relay != nil {
		t.Fatal("a relay without the store relays")
	}
}

// Guards against an instance that relies on its relays after their messages with a change got lost: an endpoint that leaves
// must not get requests because nobody tells it again.
func TestLostRelayMessagesAreSeen(t *testing.T) {
	now := time.Now()
	follower := newRelayTestServer(t, "edge-4", relayThreshold)
	follower.completeUpTo(30, now)
	follower.takeRelayed("edge-1", &exchange.RelayDoc{After: 28, Revision: 33}, now)
	if !follower.leavesWatchToRelays(now) || follower.storeView.revision.Load() != 33 {
		t.Fatalf("messages without a gap are not relied on; revision %d", follower.storeView.revision.Load())
	}
	later := now.Add(follower.settings().Bounds.watchPause())
	follower.takeRelayed("edge-2", &exchange.RelayDoc{After: 34, Revision: 36}, later)
	if follower.leavesWatchToRelays(later) || follower.storeView.revision.Load() != 33 {
		t.Fatalf("a gap is not seen; revision %d", follower.storeView.revision.Load())
	}
}

// Guards against an endpoint that leaves being used again because of older word of it, from a relay that lags behind or
// from the instance's own next look at the store.
func TestOlderWordDoesNotUndoARelayedChange(t *testing.T) {
	now := time.Now()
	s := newRelayTestServer(t, "edge-4", relayThreshold)
	s.parts.Entries = Entries{EndpointPrefix: "e/", Endpoint: func(id string, _ []byte) (fleet.Announcement, error) {
		return fleet.Announcement{ID: id, Service: "s", Address: "a:1"}, nil
	}}
	present := fleet.Announcement{ID: "e1", Service: "s", Address: "a:1"}
	leaving := present
	leaving.Leaving = true
	s.parts.Fleet.Announce(present, now)
	s.completeUpTo(30, now)
	s.takeRelayed("edge-1", &exchange.RelayDoc{After: 28, Revision: 35, ChangedEndpoints: []exchange.EndpointDoc{exchange.EncodeEndpoint(&leaving)}}, now)
	s.takeRelayed("edge-2", &exchange.RelayDoc{After: 28, Revision: 34, ChangedEndpoints: []exchange.EndpointDoc{exchange.EncodeEndpoint(&present)}}, now)
	f := &follower{server: s, at: 30}
	f.applyAll([]kvstore.Event{{KeyValue: kvstore.KeyValue{Key: "e/e1", ModRevision: 33}}})
	if usable := s.parts.Fleet.Usable(); usable != 0 {
		t.Fatalf("%d usable endpoints", usable)
	}
	f.applyAll([]kvstore.Event{{KeyValue: kvstore.KeyValue{Key: "e/e1", ModRevision: 36}}})
	if usable := s.parts.Fleet.Usable(); usable != 1 {
		t.Fatal("a newer entry is not taken over")
	}
}

// Guards against a relay that claims more than it tells: each change after the revision that it names must be among those
// told, whenever the message is composed.
func TestRelayTellsAllChangesAfterTheRevisionItNames(t *testing.T) {
	n := newRelayNews()
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for revision := 1; revision <= 40; revision++ {
		n.endpoints.changedAt(fmt.Sprint(revision), at(100*revision-30))
		n.completeUpTo(int64(revision), at(100*revision))
	}
	for _, ms := range []int{900, 1950, 1980, 2000, 3999} {
		after, from := n.since(at(ms))
		changed, _ := n.endpoints.since(from)
		for revision := after + 1; revision <= 40; revision++ {
			if !slices.Contains(changed, fmt.Sprint(revision)) {
				t.Errorf("since %d ms: after %d, but %d is not told", ms, after, revision)
			}
		}
		if len(changed) > 42-ms/100 {
			t.Errorf("since %d ms: %d changes are told", ms, len(changed))
		}
	}
}

// Guards against an instance that leaves its watch to relays not learning which instances come and go, and against a relay
// being followed on what it learned from another one without telling it.
func TestInstancesAreRelayed(t *testing.T) {
	now := time.Now()
	relay, follower := newRelayTestServer(t, "edge-1", relayThreshold), newRelayTestServer(t, "edge-4", relayThreshold)
	for _, s := range []*Server{relay, follower} {
		s.completeUpTo(30, now)
	}
	relay.takeRelayed("edge-2", &exchange.RelayDoc{
		After: 30, Revision: 32, Configuration: 3,
		ChangedInstances: map[string]exchange.InstanceDoc{"edge-9": {DataCentre: "z1"}}, RemovedInstances: []string{"elsewhere"},
	}, now)
	m := &exchange.Message{Instance: "edge-1"}
	relay.relay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now)
	follower.takeRelayed("edge-1", m.Relay, now)
	if !follower.members.has("edge-9") || follower.members.has("elsewhere") || follower.storeView.revision.Load() != 32 {
		t.Fatalf("instances are %v at revision %d", follower.members.names(), follower.storeView.revision.Load())
	}
}

// Guards against memory that grows with the changes of the store at instances that tell nobody.
func TestToldChangesAreForgotten(t *testing.T) {
	s := newRelayTestServer(t, "edge-4", relayThreshold)
	start := time.Now()
	for i := range 1000 {
		now := start.Add(time.Duration(i) * s.relayPause())
		s.news.endpoints.goneAt(fmt.Sprint(i), now)
		s.completeUpTo(int64(i), now)
	}
	if n := len(s.news.endpoints.gone) + len(s.news.complete); n > 4*relayRepeats {
		t.Fatalf("%d changes are kept", n)
	}
}

// Guards against an instance without a configuration that takes over a relay's revision and then never reads the entry.
func TestWithoutAConfigurationNothingIsTakenFromARelay(t *testing.T) {
	now := time.Now()
	s := newRelayTestServer(t, "edge-4", relayThreshold)
	s.table.Store(nil)
	s.completeUpTo(1, now)
	s.takeRelayed("edge-1", &exchange.RelayDoc{After: 1, Revision: 50, Configuration: 3}, now)
	if revision := s.storeView.revision.Load(); revision != 1 || len(s.watchNow) != 1 {
		t.Fatalf("revision %d, reads %d", revision, len(s.watchNow))
	}
}

// testConfigEntries decodes entries that are a version, padded with any bytes.
func testConfigEntries() Entries {
	return Entries{Config: func(value []byte) (*routing.Config, error) {
		version, err := strconv.ParseInt(strings.TrimSpace(string(value[:min(len(value), 8)])), 10, 64)
		return &routing.Config{Version: version}, err
	}}
}

// Guards against all instances of a data centre reading a new configuration from the store at once, which fills the link
// between regions, and against one that gets none with its relay's message not reading it.
func TestRelaysTellANewConfiguration(t *testing.T) {
	now := time.Now()
	random := make([]byte, maxRelayedConfig+1)
	rand.NewChaCha8([32]byte{}).Read(random)
	for _, c := range []struct {
		name   string
		value  []byte
		age    time.Duration
		damage bool
		told   bool
	}{
		{name: "new", value: []byte("7       "), told: true},
		{name: "no longer new", value: []byte("7       "), age: time.Second},
		{name: "too large for a datagram", value: append([]byte("7       "), random...)},
		{name: "damaged", value: []byte("7       "), damage: true},
	} {
		relay, follower := newRelayTestServer(t, "edge-1", relayThreshold), newRelayTestServer(t, "edge-4", relayThreshold)
		relay.parts.Entries, follower.parts.Entries = testConfigEntries(), testConfigEntries()
		relay.takeConfig(c.value, 20, "", now.Add(-c.age))
		m := &exchange.Message{Instance: "edge-1"}
		relay.relay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now)
		if c.damage {
			m.Relay.ConfigurationEntry = m.Relay.ConfigurationEntry[:2]
		}
		if _, err := exchange.Encode(m); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		follower.takeRelayed("edge-1", m.Relay, now)
		if inForce := follower.table.Load().Config.Version == 7; inForce != c.told {
			t.Errorf("%s: in force is %v", c.name, inForce)
		}
		if reads := len(follower.watchNow) == 1; reads == c.told {
			t.Errorf("%s: reads the store is %v", c.name, reads)
		}
	}
}
