package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// scriptedStore is a store at revision 10, or at the newest of its items, that records when all entries are read and when a watch fails with ErrCompacted.
type scriptedStore struct {
	kvstore.Store
	items []kvstore.KeyValue
	// compacted reports whether a watch fails with ErrCompacted. Watches are counted from one.
	compacted func(watch int) bool
	// slow reports whether a watch fails at its time-out.
	slow        func(watch int) bool
	watches     int
	rangeTimes  []time.Time
	compactedAt []time.Time
}

func (s *scriptedStore) Range(context.Context, string) ([]kvstore.KeyValue, kvstore.Revision, error) {
	s.rangeTimes = append(s.rangeTimes, time.Now())
	revision := kvstore.Revision(10)
	for i := range s.items {
		revision = max(revision, s.items[i].ModRevision)
	}
	return s.items, revision, nil
}

func (s *scriptedStore) Watch(context.Context, string, kvstore.Revision) (kvstore.Watch, error) {
	return s, nil
}

func (s *scriptedStore) Next(ctx context.Context) ([]kvstore.Event, error) {
	s.watches++
	if s.slow != nil && s.slow(s.watches) {
		<-ctx.Done()
		return nil, kvstore.ErrUnavailable
	}
	if s.compacted(s.watches) {
		s.compactedAt = append(s.compactedAt, time.Now())
		return nil, kvstore.ErrCompacted
	}
	return nil, nil
}

func (s *scriptedStore) Close() {}

// Guards against a delay before all entries are read when the store has compacted its history. The changes since the
// last watch are missing by then, and the delay would take half of the time in which a new configuration must be in
// force.
func TestEntriesAreReadAtOnceWhenHistoryIsCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRelayTestServer(t, "edge-1", 1)
		store := &scriptedStore{compacted: func(watch int) bool { return watch == 2 }}
		ctx, cancel := context.WithTimeout(context.Background(), s.settings().Bounds.watchInterval()*3/2)
		defer cancel()
		(&storeWatcher{server: s, store: store}).run(ctx)
		if len(store.rangeTimes) != 2 || !store.rangeTimes[1].Equal(store.compactedAt[0]) {
			t.Fatalf("the entries were read at %v, the history was compacted at %v", store.rangeTimes, store.compactedAt)
		}
	})
}

// Guards against reading all entries repeatedly without a delay while each watch finds the history compacted.
func TestEntriesAreReadWithPausesWhileHistoryIsCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRelayTestServer(t, "edge-1", 1)
		store := &scriptedStore{compacted: func(int) bool { return true }}
		const retries = 5
		ctx, cancel := context.WithTimeout(context.Background(), retries*storeRetryDelay-time.Millisecond)
		defer cancel()
		(&storeWatcher{server: s, store: store}).run(ctx)
		if len(store.rangeTimes) != retries {
			t.Fatalf("the entries were read %d times, not once per retry delay", len(store.rangeTimes))
		}
	})
}

// Guards against an instance that relies on its relays for almost two watch intervals after their last message.
func TestOwnWatchFollowsLastRelayMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRelayTestServer(t, "edge-4", minInstancesForRelays)
		started := time.Now()
		const lastMessage = 100 * time.Millisecond
		time.AfterFunc(lastMessage, func() { s.applyRelayed("edge-1", &exchange.RelayDoc{Configuration: 3}, time.Now()) })
		(&storeWatcher{server: s, store: &scriptedStore{}}).waitForNextWatch(context.Background(), started)
		if waited, maxWait := time.Since(started), lastMessage+s.settings().Bounds.watchInterval(); waited > maxWait {
			t.Fatalf("watches %v after the last watch, not %v", waited, maxWait)
		}
	})
}

// Guards against a relay that sends no changes for seconds after a short loss of its connection to the store, so that
// all instances that depend on it read the store. Also guards against telling them of endpoints that are kept although the
// store no longer has them as if it did: they must not use these for longer, nor again.
func TestRelayAfterTheStoreIsBack(t *testing.T) {
	now := time.Now()
	s := newRelayTestServer(t, "edge-1", minInstancesForRelays)
	s.deps.Fleet.Announce(fleet.Announcement{ID: "e1", Service: "s", Address: "a:1"}, now)
	s.storeView.recordComplete(now)
	relays := func(now time.Time) bool {
		m := &exchange.Message{}
		s.composeRelay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now)
		return m.Relay != nil
	}
	s.storeView.setUnreachable(now)
	if relays(now) {
		t.Fatal("sends relay messages while the store is unreachable")
	}
	s.storeView.setReachable()
	if !relays(now) {
		t.Fatal("sends no relay messages although the store responds and no endpoint is kept with grace")
	}
	s.deps.Fleet.Withdraw("e1", now.Add(fleet.ReappearGrace), now)
	s.changeLog.endpoints.recordChange("e1", now)
	s.storeView.revision.Store(20)
	m := &exchange.Message{}
	s.composeRelay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now)
	if m.Relay == nil || len(m.Relay.ChangedEndpoints) != 0 {
		t.Fatalf("relays %+v", m.Relay)
	}
	for _, c := range []struct {
		name       string
		known      bool
		lost       bool
		usableTill time.Duration
	}{
		{"that has not lost the store", true, false, 0},
		{"that has lost the store", true, true, fleet.ReappearGrace},
		{"that does not know the endpoint", false, true, 0},
	} {
		reliant := newRelayTestServer(t, "edge-4", minInstancesForRelays)
		if c.known {
			reliant.deps.Fleet.Announce(fleet.Announcement{ID: "e1", Service: "s", Address: "a:1"}, now)
		}
		if c.lost {
			reliant.storeView.setUnreachable(now)
		}
		reliant.applyRelayed("edge-1", m.Relay, now)
		for _, after := range []time.Duration{0, fleet.ReappearGrace - time.Millisecond, fleet.ReappearGrace} {
			choice, _ := reliant.deps.Fleet.Reserve(&fleet.Demand{Service: "s"}, reliant.distance, now.Add(after))
			if used := choice.ID != ""; used != (after < c.usableTill) {
				t.Errorf("an instance %s: the endpoint is used %v after the removal: %v", c.name, after, used)
			}
		}
	}
}

// Guards against keeping endpoints for longer than they need to announce themselves again after an outage, which adds to
// the time in which a removal must take effect.
func TestGraceEndsAFixedTimeAfterTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRelayTestServer(t, "edge-1", 1)
		s.deps.Fleet.Announce(fleet.Announcement{ID: "e1", Service: "s", Address: "a:1"}, time.Now())
		w := &storeWatcher{server: s}
		w.recordFailure(kvstore.ErrUnavailable)
		w.recordSuccess()
		regainedAt := time.Now()
		time.Sleep(fleet.ReappearGrace * 3 / 4)
		w.withdraw("e1", 1)
		time.Sleep(time.Until(regainedAt.Add(fleet.ReappearGrace)))
		demand := &fleet.Demand{Service: "s"}
		if choice, _ := s.deps.Fleet.Reserve(demand, s.distance, time.Now()); choice.ID != "" {
			t.Fatalf("%s is used %v after the outage", choice.ID, time.Since(regainedAt))
		}
	})
}

// Guards against a relay that leaves out a removal because another instance had told it of that before: the instances that
// rely on it would use the endpoint for good.
func TestRemovalKnownFromAnotherInstanceIsRelayed(t *testing.T) {
	now := time.Now()
	relay, reliant := newRelayTestServer(t, "edge-1", minInstancesForRelays), newRelayTestServer(t, "edge-4", minInstancesForRelays)
	for _, s := range []*Server{relay, reliant} {
		s.deps.Fleet.Announce(fleet.Announcement{ID: "e1", Service: "s", Address: "a:1"}, now)
		s.recordRevision(30, now)
		s.storeView.recordComplete(now)
	}
	relay.deps.EntryDecoder.EndpointPrefix = "e/"
	relay.storeView.setUnreachable(now.Add(-staleViewAfter))
	relay.applyPeerEndpoints(&exchange.Message{Instance: "elsewhere", Revision: 40}, now)
	w := &storeWatcher{server: relay, unreachableSince: now.Add(-staleViewAfter)}
	w.recordSuccess()
	w.applyAll([]kvstore.Event{{KeyValue: kvstore.KeyValue{Key: "e/e1", ModRevision: 35}, Deleted: true}}, now)
	m := &exchange.Message{Instance: "edge-1"}
	relay.composeRelay(m, exchange.Peer{Instance: "edge-4", DataCentre: "z1"}, now)
	reliant.applyRelayed("edge-1", m.Relay, now)
	if ids := reliant.deps.Fleet.IDs(); len(ids) != 0 {
		t.Fatalf("endpoints are %v", ids)
	}
}

// Guards against waiting for relays, and then reading all entries, although a relay has reported the missing changes while
// the watch that found the history gone was under way.
func TestRelayedChangesDuringAWatchAreUsedAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRelayTestServer(t, "edge-4", minInstancesForRelays)
		s.recordRevision(30, time.Now())
		s.storeView.recordComplete(time.Now())
		w := &storeWatcher{server: s, store: &scriptedStore{}, seenRevision: 30}
		s.applyRelayed("edge-1", &exchange.RelayDoc{After: 30, Revision: 40, Configuration: 3}, time.Now())
		started := time.Now()
		if !w.resumeAfterRelay(context.Background()) || time.Since(started) > 0 || w.seenRevision != 40 {
			t.Fatalf("resumes at revision %d after %v", w.seenRevision, time.Since(started))
		}
	})
}

// Guards against an outage whose log line tells only how it began: the calls after that may fail for another reason.
func TestFailuresOfALongOutageAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRelayTestServer(t, "edge-1", 1)
		core, logs := observer.New(zap.WarnLevel)
		s.log = zap.New(core)
		w := &storeWatcher{server: s}
		const outage = 16 * time.Second
		for began := time.Now(); time.Since(began) < outage; time.Sleep(storeRetryDelay) {
			w.recordFailure(errors.Newf("after %v", time.Since(began)))
		}
		if lines := logs.FilterMessage("store still lost").Len(); lines != int(outage/failureLogInterval) {
			t.Fatalf("%d log lines in %v", lines, outage)
		}
	})
}

// Guards against repeating a watch whose reply takes too long on a slow link. The next one has more changes.
func TestEntriesAreReadAfterAReplyThatTakesTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRelayTestServer(t, "edge-1", 1)
		store := &scriptedStore{compacted: func(int) bool { return false }, slow: func(watch int) bool { return watch == 2 }}
		ctx, cancel := context.WithTimeout(context.Background(), 2*watchTimeout)
		defer cancel()
		(&storeWatcher{server: s, store: store}).run(ctx)
		if len(store.rangeTimes) != 2 {
			t.Fatalf("the entries were read at %v", store.rangeTimes)
		}
	})
}
