package demand_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	// Fixes the seed of the property tests.
	_ "github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/demand"
)

// Guards against a negative demand rate after a peer is removed, returns, or has its messages arrive out of order.
func TestTotalNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := demand.NewTracker()
		peerRequests := make(map[string]uint64)
		var arrived, lastTotal uint64
		steps := rapid.IntRange(1, 400).Draw(t, "steps")
		for range steps {
			peer := fmt.Sprint("peer-", rapid.IntRange(0, 60).Draw(t, "peer"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				tracker.RecordArrival("m", 5)
				arrived++
			case 1:
				newRequests := rapid.Uint64Range(0, 9).Draw(t, "more")
				peerRequests[peer] += newRequests
				arrived += newRequests
				tracker.MergePeerCounts(peer, []demand.Count{{Model: "m", Requests: peerRequests[peer], Tokens: 5 * peerRequests[peer], Waiting: 1}})
			case 2:
				tracker.MergePeerCounts(peer, []demand.Count{{Model: "m", Requests: peerRequests[peer] / 2, Tokens: 5 * (peerRequests[peer] / 2)}})
			default:
				tracker.RemovePeer(peer)
			}
			total := requests(tracker)
			if total < lastTotal {
				t.Fatalf("total decreased from %d to %d", lastTotal, total)
			}
			lastTotal = total
		}
		if len(peerRequests) <= 32 && lastTotal != arrived {
			t.Fatalf("total %d, arrived %d", lastTotal, arrived)
		}
	})
}

func requests(tracker *demand.Tracker) uint64 {
	for _, c := range tracker.Total() {
		if c.Model == "m" {
			return c.Requests
		}
	}
	return 0
}

// Guards against waiting calls of a removed instance that keep a copy loaded for ever.
func TestRemovedPeerHasNoWaitingCalls(t *testing.T) {
	tracker := demand.NewTracker()
	tracker.AddWaiting("m", 2)
	tracker.MergePeerCounts("p", []demand.Count{{Model: "m", Waiting: 3}})
	if got := tracker.Total()[0].Waiting; got != 5 {
		t.Fatalf("waiting %d, want 5", got)
	}
	tracker.RemovePeer("p")
	if got := tracker.Total()[0].Waiting; got != 2 {
		t.Fatalf("waiting %d after the peer was removed, want 2", got)
	}
	if got := tracker.LocalCounts(); len(got) != 1 || got[0].Waiting != 2 {
		t.Fatalf("local demand %v, want two waiting calls", got)
	}
}

// Guards against demand that is lost when more peers are removed than are kept per peer.
func TestManyRemovedPeersStayInTotal(t *testing.T) {
	tracker := demand.NewTracker()
	for i := range 100 {
		peer := fmt.Sprint(i)
		tracker.MergePeerCounts(peer, []demand.Count{{Model: "m", Requests: 1, Tokens: 5}})
		tracker.RemovePeer(peer)
	}
	if got := requests(tracker); got != 100 {
		t.Fatalf("total %d, want 100", got)
	}
}
