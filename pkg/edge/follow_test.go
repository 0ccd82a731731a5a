package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// scriptedStore is an empty store that notes when it is read and when a watch found its history gone.
type scriptedStore struct {
	kvstore.Store
	// gone tells whether the history is gone at a watch, counted from one.
	gone    func(watch int) bool
	watches int
	ranges  []time.Time
	goneAt  []time.Time
}

func (s *scriptedStore) Range(context.Context, string) ([]kvstore.KeyValue, kvstore.Revision, error) {
	s.ranges = append(s.ranges, time.Now())
	return nil, 10, nil
}

func (s *scriptedStore) Watch(context.Context, string, kvstore.Revision) (kvstore.Watch, error) {
	return s, nil
}

func (s *scriptedStore) Next(context.Context) ([]kvstore.Event, error) {
	s.watches++
	if s.gone(s.watches) {
		s.goneAt = append(s.goneAt, time.Now())
		return nil, kvstore.ErrCompacted
	}
	return nil, nil
}

func (s *scriptedStore) Close() {}

// Guards against a pause before the entries are read when the store's history is gone: all that changed since the last look
// is unknown already, and half of the time in which a new configuration must be in force would pass.
func TestEntriesAreReadAtOnceWhenTheHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRelayTestServer(t, "edge-1", 1)
		store := &scriptedStore{gone: func(watch int) bool { return watch == 2 }}
		ctx, cancel := context.WithTimeout(context.Background(), s.settings().Bounds.watchPause()*3/2)
		defer cancel()
		(&follower{server: s, store: store}).run(ctx)
		if len(store.ranges) != 2 || !store.ranges[1].Equal(store.goneAt[0]) {
			t.Fatalf("the entries were read at %v, the history gone at %v", store.ranges, store.goneAt)
		}
	})
}

// Guards against reading the whole store again and again without a pause while its history is always gone.
func TestHistoryThatIsAlwaysGoneIsReadWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRelayTestServer(t, "edge-1", 1)
		store := &scriptedStore{gone: func(int) bool { return true }}
		const retries = 5
		ctx, cancel := context.WithTimeout(context.Background(), retries*retryPause-time.Millisecond)
		defer cancel()
		(&follower{server: s, store: store}).run(ctx)
		if len(store.ranges) != retries {
			t.Fatalf("the entries were read %d times", len(store.ranges))
		}
	})
}

// Guards against an instance that relies on its relays for almost twice the usual time after their last word.
func TestOwnWatchFollowsTheRelaysLastWord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRelayTestServer(t, "edge-4", relayThreshold)
		started := time.Now()
		const lastWord = 100 * time.Millisecond
		time.AfterFunc(lastWord, func() { s.takeRelayed("edge-1", &exchange.RelayDoc{Configuration: 3}, time.Now()) })
		(&follower{server: s, store: &scriptedStore{}}).waitForNextWatch(context.Background(), started)
		if waited, most := time.Since(started), lastWord+s.settings().Bounds.watchPause(); waited > most {
			t.Fatalf("watches %v after the last look, not %v", waited, most)
		}
	})
}

// Guards against a relay that says nothing for seconds after it lost its connection for a moment, so that all who rely on it
// read the whole store, and against one that tells while it keeps endpoints that the store no longer names.
func TestRelayAfterTheStoreIsBack(t *testing.T) {
	now := time.Now()
	s := newRelayTestServer(t, "edge-1", relayThreshold)
	s.parts.Fleet.Announce(fleet.Announcement{ID: "e1", Service: "s", Address: "a:1"}, now)
	tells := func(now time.Time) bool {
		m := &exchange.Message{}
		s.relay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now)
		return m.Relay != nil
	}
	s.storeView.lose(now)
	if tells(now) {
		t.Fatal("tells without the store")
	}
	s.storeView.regain()
	if !tells(now) {
		t.Fatal("does not tell though the store is back and nothing is in doubt")
	}
	s.parts.Fleet.Withdraw("e1", true, now)
	if tells(now) {
		t.Fatal("tells while an endpoint is kept that the store no longer names")
	}
	s.parts.Fleet.Expire(now.Add(fleet.ReappearGrace))
	if !tells(now) {
		t.Fatal("does not tell though nothing is in doubt any more")
	}
}
