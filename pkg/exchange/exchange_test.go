package exchange

import (
	"reflect"
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// Guards against a datagram that arrives out of order replacing newer state, also across a restart of its sender.
func TestOutOfOrderMessagesAreDropped(t *testing.T) {
	e := &Exchange{lastReceived: make(map[string]receivedMessage)}
	now := time.Unix(1000, 0)
	for i, c := range []struct {
		started, sequence int64
		want              bool
	}{
		{100, 1, true}, {100, 3, true}, {100, 2, false}, {100, 3, false},
		{200, 1, true}, {100, 9, false}, {200, 2, true},
	} {
		if got := e.acceptInOrder(&Message{Instance: "i", Started: c.started, Sequence: c.sequence}, now); got != c.want {
			t.Errorf("step %d: accepted is %v", i, got)
		}
	}
}

// Guards against dropping the messages of an instance for a minute after it restarts with its clock set back.
func TestRestartWithEarlierClockIsAccepted(t *testing.T) {
	e := &Exchange{lastReceived: make(map[string]receivedMessage)}
	now := time.Unix(1000, 0)
	e.acceptInOrder(&Message{Instance: "i", Started: 200, Sequence: 50}, now)
	if e.acceptInOrder(&Message{Instance: "i", Started: 100, Sequence: 1}, now) {
		t.Fatal("a message with an earlier start time was accepted at once")
	}
	if !e.acceptInOrder(&Message{Instance: "i", Started: 100, Sequence: 1}, now.Add(restartGap)) {
		t.Fatal("the message of the restarted instance was dropped")
	}
}

func TestMessageRoundTrip(t *testing.T) {
	m := &Message{
		Instance: "edge-1", Started: 7, Sequence: 8,
		Work:     PackWork(map[string]fleet.Work{"i-1": {Waiting: 1}}),
		Models:   []ModelDoc{{Service: "s", Model: "m", ShortTermLoad: 0.5, LongTermLoad: 0.4, RequestRate: 3, Waiting: 1}},
		Adapters: []AdapterDoc{{Service: "s", Model: "m", Adapter: "a1", Waiting: 2, IdleMs: 30}},
		Held:     []HeldDoc{{Endpoint: "i-1", Lifetime: 9, Models: []HeldModel{{Name: "m", Version: 1, Adapters: []string{"a1"}}}}},
		Loading:  []LoadingDoc{{Model: "n", ReadyMs: 900}},
	}
	data, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, m) {
		t.Fatalf("got %+v", got)
	}
}

// Guards against invalid datagrams stopping the exchange or being accepted as an instance's message.
func TestInvalidDatagramsAreRejected(t *testing.T) {
	for _, data := range []string{"", "\x00\x01", "[]", "{}", `{"i":7}`, `{"i":"x","w":{"e":"many"}}`, `{"i":"x","w":7}`} {
		if m, err := Decode([]byte(data)); err == nil {
			t.Errorf("%q decoded as %+v", data, m)
		}
	}
}

// Guards against early messages that overload a link as the deployment grows: their number per second must not grow
// with the number of instances, neither those that a holder sends to all instances nor those that it receives from all.
func TestEarlyMessagesDoNotGrowWithTheDeployment(t *testing.T) {
	maxPerSecond := float64(baselinePeers) / minEarlyInterval.Seconds()
	for _, peers := range []int{1, baselinePeers, 60, 87, 389} {
		perSecond := float64(peers) / messageInterval(ReasonUpdate, false, peers).Seconds()
		if perSecond > maxPerSecond*1.001 {
			t.Errorf("%d peers: %.0f early messages per second, at most %.0f", peers, perSecond, maxPerSecond)
		}
	}
}

// Guards against waiting demand being sent to instances other than the holder, and against instances other than the
// holder sending updates to all.
func TestEarlyMessageRecipients(t *testing.T) {
	reliant := Peer{Instance: "edge-2", SameRegion: true}
	holder, other := Peer{Instance: "edge-3", SameRegion: true}, Peer{Instance: "edge-4"}
	e := &Exchange{options: Options{Instance: "edge-1", NeedsUpdates: func(to Peer) bool { return to == reliant }}}
	for _, c := range []struct {
		name   string
		holder string
		reason Reason
		want   map[Peer]bool
	}{
		{"waiting demand goes to the holder", "edge-3", ReasonWaitingDemand, map[Peer]bool{holder: true}},
		{"the holder reports its waiting demand to no other instance", "edge-1", ReasonWaitingDemand, map[Peer]bool{}},
		{"a relay updates the peers that depend on it", "edge-3", ReasonUpdate, map[Peer]bool{reliant: true}},
		{"the holder updates all peers", "edge-1", ReasonUpdate, map[Peer]bool{reliant: true, holder: true, other: true}},
	} {
		for _, peer := range []Peer{reliant, holder, other} {
			if got := e.isRecipient(peer, c.holder, c.reason, false); got != c.want[peer] {
				t.Errorf("%s: %s is a recipient: %v", c.name, peer.Instance, got)
			}
		}
	}
}
