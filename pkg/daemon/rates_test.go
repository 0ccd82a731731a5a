package daemon

import (
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/demand"
)

// Guards against rates that are too high in the first plan of a new lease holder: the totals count from the start of
// the instance.
func TestRatesCountOnlySinceTheLastCall(t *testing.T) {
	now := time.Unix(0, 0)
	counts := []demand.Count{{Model: "m", Requests: 1000, Tokens: 50000, Waiting: 3}}
	meter := newRateMeter(func() []demand.Count { return counts }, func() time.Time { return now }, func() int { return 2 })

	first := meter.Demand()[0]
	if first.RequestsPerSecond != 0 || first.Waiting != 3 {
		t.Fatalf("first call returned %+v, want no rate and 3 waiting", first)
	}
	now = now.Add(5 * time.Second)
	counts = []demand.Count{{Model: "m", Requests: 1100, Tokens: 51000}}
	second := meter.Demand()[0]
	if second.RequestsPerSecond != 10 || second.TokensPerSecond != 100 {
		t.Fatalf("second call returned %+v, want 10 requests/s and 100 tokens/s per shard", second)
	}
}
