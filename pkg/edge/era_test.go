package edge

import (
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

func revisionIn(t *testing.T, era, revision int64) int64 {
	t.Helper()
	r, err := kvstore.RevisionInEra(era, revision)
	if err != nil {
		t.Fatal(err)
	}
	return int64(r)
}

// Guards against an instance that relies on relays and takes changes of a new era for those after its own view, which is
// of the era before; and against one that learns of the new era only when its view has become old.
func TestRelayOfANewEraMakesAnInstanceReadTheStore(t *testing.T) {
	s, now := newRelayTestServer(t, "edge-4", minInstancesForRelays), time.Now()
	s.storeView.revision.Store(revisionIn(t, 1, 50))
	doc := &exchange.RelayDoc{
		After: revisionIn(t, 2, 40), Revision: revisionIn(t, 2, 60), Configuration: 3,
		ChangedEndpoints: []exchange.EndpointDoc{{ID: "e1", Service: "s"}},
	}
	s.applyRelayed("edge-1", doc, now)
	if s.storeView.revision.Load() != revisionIn(t, 1, 50) || len(s.deps.Fleet.IDs()) != 0 {
		t.Fatal("changes of a new era were applied to a view of the era before")
	}
	select {
	case <-s.watchRequested:
	default:
		t.Fatal("the store is not watched at once")
	}
}

// Guards against a relay of the era before that takes an instance back to it although its revision is higher.
func TestRelayOfAnEarlierEraIsIgnored(t *testing.T) {
	s, now := newRelayTestServer(t, "edge-4", minInstancesForRelays), time.Now()
	s.storeView.revision.Store(revisionIn(t, 2, 50))
	s.applyRelayed("edge-1", &exchange.RelayDoc{
		After: revisionIn(t, 1, 40), Revision: revisionIn(t, 1, 90), Configuration: 3,
		ChangedEndpoints: []exchange.EndpointDoc{{ID: "e1", Service: "s"}},
	}, now)
	if s.storeView.revision.Load() != revisionIn(t, 2, 50) || len(s.deps.Fleet.IDs()) != 0 {
		t.Fatal("changes of an earlier era were applied")
	}
}

// Guards against endpoints of an earlier era that replace those of a later one at an instance that cannot read the store.
func TestPeerEndpointsOfAnEarlierEraAreIgnored(t *testing.T) {
	s, now := newRelayTestServer(t, "edge-1", 1), time.Now()
	s.storeView.revision.Store(revisionIn(t, 2, 50))
	s.storeView.setUnreachable(now.Add(-staleViewAfter))
	m := &exchange.Message{Instance: "edge-2", Revision: revisionIn(t, 1, 90), Endpoints: []exchange.EndpointDoc{{ID: "e1", Service: "s"}}}
	s.applyPeerEndpoints(m, now)
	if len(s.deps.Fleet.IDs()) != 0 {
		t.Fatal("endpoints of an earlier era were applied")
	}
	m.Revision = revisionIn(t, 3, 1)
	s.applyPeerEndpoints(m, now)
	if len(s.deps.Fleet.IDs()) != 1 {
		t.Fatal("endpoints of a later era were not applied")
	}
}

// Guards against a relay message after a restore that claims to be complete for a view of the era before.
func TestRelayedChangesBeginAnewWithAnEra(t *testing.T) {
	l, now := newStoreChangeLog(), time.Now()
	l.recordRevision(revisionIn(t, 1, 50), now)
	l.recordGap(revisionIn(t, 1, 50), revisionIn(t, 1, 60))
	l.recordRevision(revisionIn(t, 2, 40), now)
	if after, _ := l.since(now.Add(-time.Minute)); after != revisionIn(t, 2, 40) {
		t.Fatalf("changes are complete after revision %x", after)
	}
	if gaps := l.gapsSince(0); len(gaps) != 0 {
		t.Fatalf("gaps %+v", gaps)
	}
}

// Guards against requests to models that an endpoint has given up: a copy of the store lists them as of an earlier number
// of orders. What an endpoint has acknowledged outlives the store's record of it.
func TestEntryOfAnEarlierNumberOfOrdersChangesNoModels(t *testing.T) {
	s, now := newRelayTestServer(t, "edge-1", 1), time.Now()
	entry := fleet.Announcement{ID: "e1", Service: "s", Address: "a:1", Lifetime: 4, OrdersAccepted: 9, Models: []fleet.HeldModel{{Name: "new"}}}
	s.applyAnnouncement(entry, revisionIn(t, 1, 50), "", now)
	older := entry
	older.OrdersAccepted, older.Models = 7, []fleet.HeldModel{{Name: "old"}}
	s.applyAnnouncement(older, revisionIn(t, 2, 40), "", now)
	if a := s.deps.Fleet.Announcements("s"); !a[0].HoldsModel("new") || a[0].HoldsModel("old") {
		t.Fatalf("the endpoint has %+v", a[0].Models)
	}
	restarted := older
	restarted.Lifetime, restarted.OrdersAccepted = 5, 0
	s.applyAnnouncement(restarted, revisionIn(t, 2, 41), "", now)
	if a := s.deps.Fleet.Announcements("s"); !a[0].HoldsModel("old") {
		t.Fatalf("the restarted endpoint has %+v", a[0].Models)
	}
}
