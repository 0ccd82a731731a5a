package admission

import (
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// Guards against an overloaded queue that starts only late calls, and against late calls that are started before others
// or kept when the queue is full.
func TestOnTimeCallsStartBeforeLateOnes(t *testing.T) {
	start := time.Unix(0, 0)
	const target = 300 * time.Millisecond
	m := newMemberQueue("m")
	q := m.queueFor(modelKey{service: "s", id: "a"})
	for n := range 5 {
		arrivedAt := start.Add(time.Duration(n) * 100 * time.Millisecond)
		q.insert(&waiter{key: q.key, sequence: uint64(n), enqueuedAt: arrivedAt, firstTokenDue: arrivedAt.Add(target)})
	}
	cases := map[string]struct {
		after     time.Duration
		wantFirst int
		wantShed  uint64
	}{
		"all are on time": {after: 250 * time.Millisecond, wantFirst: 0, wantShed: 4},
		"two are late":    {after: 450 * time.Millisecond, wantFirst: 2, wantShed: 0},
		"all are late":    {after: time.Hour, wantFirst: 0, wantShed: 0},
		"one is on time":  {after: 650 * time.Millisecond, wantFirst: 4, wantShed: 0},
	}
	for name, c := range cases {
		now := start.Add(c.after)
		if got := (FairOrder{}).firstToStart(q, now); got != c.wantFirst {
			t.Errorf("%s: call %d starts first, want %d", name, got, c.wantFirst)
		}
		if got := m.shedCandidate(now).sequence; got != c.wantShed {
			t.Errorf("%s: call %d is refused on overflow, want %d", name, got, c.wantShed)
		}
	}
	q.insert(&waiter{key: q.key, request: scheduling.Request{Priority: 1}})
	if got := (FairOrder{}).firstToStart(q, start.Add(450*time.Millisecond)); got != 0 {
		t.Errorf("call %d starts first, want the one with the highest priority", got)
	}
}
