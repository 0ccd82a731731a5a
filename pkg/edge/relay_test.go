package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

// newRelayTestServer returns an instance of a data centre with the given number of instances, edge-1 to edge-N.
func newRelayTestServer(t *testing.T, name string, instances int) *Server {
	t.Helper()
	s, err := New(Settings{
		InstanceID: name, DataCentre: "z1", ExchangeAddress: "127.0.0.1:0", Bounds: Bounds{LeavingMs: 4000, ConfigurationMs: 4000},
	}, Parts{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	for i := range instances {
		s.members.put(fmt.Sprintf("edge-%d", i+1), instanceDoc{DataCentre: "z1"})
	}
	s.members.put("elsewhere", instanceDoc{DataCentre: "z2"})
	s.table.Store(routing.NewTable(&routing.Config{Version: 3}))
	return s
}

// Guards against a small data centre waiting for relays, and against instances that disagree on who they are.
func TestRelaysAreAgreedOnByName(t *testing.T) {
	if relays := newRelayTestServer(t, "edge-1", relayThreshold-1).members.relays("z1"); relays != nil {
		t.Fatalf("relays of a small data centre are %v", relays)
	}
	relays := newRelayTestServer(t, "edge-4", relayThreshold).members.relays("z1")
	if !slices.Equal(relays, []string{"edge-1", "edge-2"}) {
		t.Fatalf("relays are %v", relays)
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
	relay.news.endpointChanged("leaves", now)
	relay.parts.Fleet.Withdraw("goes", false, now)
	relay.news.endpointGone("goes", now)
	relay.storeView.revision.Store(20)
	relay.table.Store(routing.NewTable(&routing.Config{Version: 4}))

	m := &exchange.Message{Instance: "edge-1"}
	relay.relay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now, now)
	if m.Relay == nil {
		t.Fatal("nothing is relayed")
	}
	follower.takeRelayed(m.Instance, m.Relay, now)
	if ids := follower.parts.Fleet.IDs(); len(ids) != 1 || follower.parts.Fleet.Usable() != 0 {
		t.Fatalf("endpoints are %v, usable %d", ids, follower.parts.Fleet.Usable())
	}
	select {
	case <-follower.watchNow:
	default:
		t.Fatal("the newer configuration is not read")
	}
	if !follower.leavesWatchToRelays(now) || follower.leavesWatchToRelays(now.Add(follower.settings().Bounds.watchPause())) {
		t.Fatal("relied on at the wrong time")
	}
	if relay.leavesWatchToRelays(now) {
		t.Fatal("a relay relies on others")
	}
}

// Guards against word that is older than what an instance read itself, from an instance that is no relay, or from a relay
// that cannot read the store.
func TestRelayedChangesThatDoNotCount(t *testing.T) {
	now := time.Now()
	follower := newRelayTestServer(t, "edge-4", relayThreshold)
	follower.parts.Fleet.Announce(fleet.Announcement{ID: "e1", Service: "s", Address: "a:1"}, now)
	follower.storeView.revision.Store(30)
	older := &exchange.RelayDoc{Revision: 29, Gone: []string{"e1"}}
	follower.takeRelayed("edge-1", older, now)
	follower.takeRelayed("edge-3", &exchange.RelayDoc{Revision: 40, Gone: []string{"e1"}}, now)
	follower.takeRelayed("elsewhere", &exchange.RelayDoc{Revision: 40, Gone: []string{"e1"}}, now)
	if ids := follower.parts.Fleet.IDs(); len(ids) != 1 {
		t.Fatalf("endpoints are %v", ids)
	}
	relay := newRelayTestServer(t, "edge-1", relayThreshold)
	relay.storeView.lose(now)
	m := &exchange.Message{}
	relay.relay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now, now)
	if m.Relay != nil {
		t.Fatal("a relay without the store relays")
	}
}
