package limit

import (
	"math"
	"math/rand/v2"
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
		if got := track.Predict(0, 300*time.Millisecond, 0, end.Add(c.after)); math.Abs(got-c.want) > c.by {
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
	if c.Accepted(70, 48, start) || c.Rejected(10, 48, start) {
		t.Fatal("changed by a rejection with slots left")
	}
	if calls, limited := c.Calls(48, start); limited {
		t.Fatalf("limit of %v calls", calls)
	}
	if !c.Rejected(60, 48, start) || !c.Rejected(47, 48, start) || c.Rejected(48, 48, start) {
		t.Fatal("only rejections with fewer calls than before change the limit")
	}
	if calls, limited := c.Calls(96, start); !limited || calls != 94 {
		t.Fatalf("limit of %v calls", calls)
	}
	if !c.Accepted(56, 48, start) || c.Accepted(50, 48, start) {
		t.Fatal("only more calls than the limit raise it")
	}
	if calls, _ := c.Calls(48, start); calls != 56 {
		t.Fatalf("limit of %v calls", calls)
	}
	if calls, limited := c.Calls(48, start.Add(capacityTime)); limited {
		t.Fatalf("limit of %v calls a minute after the last rejection", calls)
	}
}

// respond adds responses to calls at an endpoint that is slow beyond knee calls, one every 10 ms.
func respond(c *Concurrency, random *rand.Rand, from time.Time, seconds, knee int) time.Time {
	const slots = 12
	for range seconds * 100 {
		from = from.Add(10 * time.Millisecond)
		calls := 1 + random.IntN(max(int(c.Limit(slots, from)*1.2), 2))
		latency := 15 * math.Max(1, float64(calls)/float64(knee)) * (0.7 + 0.6*random.Float64())
		c.Add(math.Log(latency/1000), math.Log(0.015), calls, slots, from)
	}
	return from
}

// Guards against filling an endpoint that is slow long before its slots are in use, against a limit that does not return
// within seconds, and against taking a chance deviation for either.
func TestConcurrencyFollowsWhereAnEndpointBecomesSlow(t *testing.T) {
	var c Concurrency
	random := rand.New(rand.NewPCG(1, 2))
	at := respond(&c, random, start, 5, 12)
	if got := c.Limit(12, at); got < 10 {
		t.Fatalf("limit %.1f of an endpoint that is never slow", got)
	}
	at = respond(&c, random, at, 5, 4)
	if got := c.Limit(12, at); got < 3 || got > 8 {
		t.Fatalf("limit %.1f of an endpoint that is slow beyond 4 calls", got)
	}
	at = respond(&c, random, at, 8, 12)
	if got := c.Limit(12, at); got < 9 {
		t.Fatalf("limit %.1f after the endpoint has become fast", got)
	}
}

// Guards against an endpoint that gets few calls for ever because it was slow: without responses its estimates return to the
// number of slots and to the latency of the service.
func TestConcurrencyIsForgotten(t *testing.T) {
	var c Concurrency
	at := respond(&c, rand.New(rand.NewPCG(1, 2)), start, 10, 2)
	if got := c.Limit(12, at); got > 6 {
		t.Fatalf("limit %.1f", got)
	}
	at = at.Add(30 * time.Second)
	if got := c.Limit(12, at); got < 11 {
		t.Fatalf("limit %.1f after half a minute", got)
	}
	prior := math.Log(0.004)
	if got := c.LogLatency(prior, at); math.Abs(got-prior) > 0.1 {
		t.Fatalf("latency %.4f s", math.Exp(got))
	}
}
