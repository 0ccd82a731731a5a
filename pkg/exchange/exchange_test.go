package exchange

import (
	"reflect"
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// Guards against a datagram that was overtaken replacing newer state, also across a restart of its sender.
func TestOvertakenMessagesAreDropped(t *testing.T) {
	e := &Exchange{seen: make(map[string]seenMessage)}
	now := time.Unix(1000, 0)
	for i, c := range []struct {
		started, sequence int64
		want              bool
	}{
		{100, 1, true}, {100, 3, true}, {100, 2, false}, {100, 3, false},
		{200, 1, true}, {100, 9, false}, {200, 2, true},
	} {
		if got := e.fresh(&Message{Instance: "i", Started: c.started, Sequence: c.sequence}, now); got != c.want {
			t.Errorf("step %d: fresh is %v", i, got)
		}
	}
}

// Guards against an instance that restarts with its clock set back not being heard for a minute.
func TestRestartWithAnEarlierClockIsHeard(t *testing.T) {
	e := &Exchange{seen: make(map[string]seenMessage)}
	now := time.Unix(1000, 0)
	e.fresh(&Message{Instance: "i", Started: 200, Sequence: 50}, now)
	if e.fresh(&Message{Instance: "i", Started: 100, Sequence: 1}, now) {
		t.Fatal("a message of the former start was taken")
	}
	if !e.fresh(&Message{Instance: "i", Started: 100, Sequence: 1}, now.Add(restartGap)) {
		t.Fatal("the restarted instance is not heard")
	}
}

func TestMessageSurvivesTheWire(t *testing.T) {
	m := &Message{
		Instance: "edge-1", Started: 7, Sequence: 8,
		Work:     PackWork(map[string]fleet.Work{"i-1": {Waiting: 1}}),
		Models:   []ModelDoc{{Service: "s", Model: "m", Load: 0.5, SlowLoad: 0.4, Requests: 3, Waiting: 1}},
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

// Guards against foreign datagrams stopping the exchange or being taken for an instance.
func TestForeignDatagramsAreRefused(t *testing.T) {
	for _, data := range []string{"", "\x00\x01", "[]", "{}", `{"i":7}`, `{"i":"x","w":{"e":"many"}}`, `{"i":"x","w":7}`} {
		if m, err := Decode([]byte(data)); err == nil {
			t.Errorf("%q decoded as %+v", data, m)
		}
	}
}

// Guards against early messages that fill a link as the deployment grows: their number per second must not depend on the
// number of instances, neither for a holder that tells all nor for the holder that all ask.
func TestEarlyMessagesDoNotGrowWithTheDeployment(t *testing.T) {
	most := float64(fewPeers) / urgentGap.Seconds()
	for _, peers := range []int{1, fewPeers, 60, 87, 389} {
		perSecond := float64(peers) / usualInterval(News, false, peers).Seconds()
		if perSecond > most*1.001 {
			t.Errorf("%d peers: %.0f early messages per second, at most %.0f", peers, perSecond, most)
		}
	}
}

// Guards against an instance whose requests wait telling others than the holder, and against news that go to all from
// others than the holder.
func TestEarlyMessagesGoToThoseConcerned(t *testing.T) {
	relies := Peer{Instance: "edge-2", Near: true}
	holder, other := Peer{Instance: "edge-3", Near: true}, Peer{Instance: "edge-4"}
	e := &Exchange{options: Options{Instance: "edge-1", TellEarly: func(to Peer) bool { return to == relies }}}
	for _, c := range []struct {
		name   string
		holder string
		reason Reason
		want   map[Peer]bool
	}{
		{"asks the holder", "edge-3", Ask, map[Peer]bool{holder: true}},
		{"holds itself and asks nobody", "edge-1", Ask, map[Peer]bool{}},
		{"relays to those that rely on it", "edge-3", News, map[Peer]bool{relies: true}},
		{"holds and tells all", "edge-1", News, map[Peer]bool{relies: true, holder: true, other: true}},
	} {
		for _, peer := range []Peer{relies, holder, other} {
			if got := e.concerns(peer, c.holder, c.reason, false); got != c.want[peer] {
				t.Errorf("%s: message to %s is %v", c.name, peer.Instance, got)
			}
		}
	}
}
