package demand_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	// Fixes the seed of the property tests.
	_ "github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/demand"
)

// Guards against a negative demand rate after a peer leaves, returns, or sends an exchange out of order.
func TestTotalNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := demand.NewTracker()
		sent := make(map[string]uint64)
		var arrived, last uint64
		steps := rapid.IntRange(1, 400).Draw(t, "steps")
		for range steps {
			peer := fmt.Sprint("peer-", rapid.IntRange(0, 60).Draw(t, "peer"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				tracker.Arrive("m", 5)
				arrived++
			case 1:
				more := rapid.Uint64Range(0, 9).Draw(t, "more")
				sent[peer] += more
				arrived += more
				tracker.SetPeer(peer, []demand.Count{{Model: "m", Requests: sent[peer], Tokens: 5 * sent[peer], Waiting: 1}})
			case 2:
				tracker.SetPeer(peer, []demand.Count{{Model: "m", Requests: sent[peer] / 2, Tokens: 5 * (sent[peer] / 2)}})
			default:
				tracker.RemovePeer(peer)
			}
			total := requests(tracker)
			if total < last {
				t.Fatalf("total went back from %d to %d", last, total)
			}
			last = total
		}
		if len(sent) <= 32 && last != arrived {
			t.Fatalf("total %d, arrived %d", last, arrived)
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

// Guards against waiting calls of a dead instance that keep a copy loaded for ever.
func TestRemovedPeerWaitsNoMore(t *testing.T) {
	tracker := demand.NewTracker()
	tracker.Wait("m", 2)
	tracker.SetPeer("p", []demand.Count{{Model: "m", Waiting: 3}})
	if got := tracker.Total()[0].Waiting; got != 5 {
		t.Fatalf("waiting %d, want 5", got)
	}
	tracker.RemovePeer("p")
	if got := tracker.Total()[0].Waiting; got != 2 {
		t.Fatalf("waiting %d after the peer left, want 2", got)
	}
	if got := tracker.Local(); len(got) != 1 || got[0].Waiting != 2 {
		t.Fatalf("local demand %v, want two waiting calls", got)
	}
}

// Guards against demand that is lost when more peers leave than are remembered apart.
func TestManyRemovedPeersStayInTotal(t *testing.T) {
	tracker := demand.NewTracker()
	for i := range 100 {
		peer := fmt.Sprint(i)
		tracker.SetPeer(peer, []demand.Count{{Model: "m", Requests: 1, Tokens: 5}})
		tracker.RemovePeer(peer)
	}
	if got := requests(tracker); got != 100 {
		t.Fatalf("total %d, want 100", got)
	}
}
