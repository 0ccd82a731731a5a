package admission

import (
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// Guards against an overloaded queue that only ever starts calls that are already late, and against late calls that
// displace others or are kept when the queue is full.
func TestFreshCallsStartBeforeLateOnes(t *testing.T) {
	begin := time.Unix(0, 0)
	const target = 300 * time.Millisecond
	m := newMemberQueue("m")
	q := m.queueFor(modelKey{service: "s", id: "a"})
	for n := range 5 {
		at := begin.Add(time.Duration(n) * 100 * time.Millisecond)
		q.insert(&waiter{key: q.key, sequence: uint64(n), enqueued: at, freshUntil: at.Add(target)})
	}
	cases := map[string]struct {
		after time.Duration
		first int
		least uint64
	}{
		"all in time":       {after: 250 * time.Millisecond, first: 0, least: 4},
		"two are late":      {after: 450 * time.Millisecond, first: 2, least: 0},
		"all are late":      {after: time.Hour, first: 0, least: 0},
		"one is still good": {after: 650 * time.Millisecond, first: 4, least: 0},
	}
	for name, c := range cases {
		now := begin.Add(c.after)
		if got := (FairOrder{}).first(q, now); got != c.first {
			t.Errorf("%s: call %d starts first, want %d", name, got, c.first)
		}
		if got := m.leastUseful(now).sequence; got != c.least {
			t.Errorf("%s: call %d is given up, want %d", name, got, c.least)
		}
	}
	q.insert(&waiter{key: q.key, request: scheduling.Request{Priority: 1}})
	if got := (FairOrder{}).first(q, begin.Add(450*time.Millisecond)); got != 0 {
		t.Errorf("call %d starts first, want the one with the highest priority", got)
	}
}
