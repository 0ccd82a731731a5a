package limit

import (
	"math"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Guards against a prediction that ignores how fast the quantity changes: right after a sample it is the sample, then the
// mean, and without further samples the prior.
func TestTrackAges(t *testing.T) {
	var track Track
	for i := range 100 {
		track.Add(float64(i%2), start.Add(time.Duration(i)*100*time.Millisecond))
	}
	end := start.Add(9900 * time.Millisecond)
	for _, c := range []struct {
		after    time.Duration
		want, by float64
	}{{0, 1, 0.01}, {time.Second, 0.42, 0.1}, {time.Minute, 0, 0.01}} {
		if got := track.Predict(0, 300*time.Millisecond, end.Add(c.after)); math.Abs(got-c.want) > c.by {
			t.Errorf("%v after the last sample: %.2f, want %.2f", c.after, got, c.want)
		}
	}
	// A late message of another instance does not replace a newer statement.
	track.Add(5, end.Add(-time.Second))
	if got, at := track.Latest(); got != 1 || !at.Equal(end) {
		t.Errorf("latest is %v at %v", got, at)
	}
}

// Guards against a limit where endpoints let calls wait, against one that is learned from a rejection for another reason,
// and against one that stays too low after a chance rejection.
func TestCapacityIsLearnedFromRejections(t *testing.T) {
	var c Capacity
	c.Accepted(70, 48)
	c.Rejected(10, 48)
	if calls, limited := c.Calls(48); limited {
		t.Fatalf("limit of %v calls", calls)
	}
	c.Rejected(60, 48)
	c.Rejected(47, 48)
	if calls, limited := c.Calls(96); !limited || calls != 94 {
		t.Fatalf("limit of %v calls", calls)
	}
	c.Accepted(56, 48)
	if calls, _ := c.Calls(48); calls != 56 {
		t.Fatalf("limit of %v calls", calls)
	}
}
