package edge

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// Guards against planning with the speed of other engines: engines of an unknown deployment read a quarter or three times
// as fast, and one first token in five is late for another reason.
func TestPaceFollowsTheEngines(t *testing.T) {
	for _, truth := range []float64{5, 20, 60} {
		b := newPaceBook()
		random := rand.New(rand.NewPCG(1, 2))
		const tokens = 3000
		fixed := fleet.DefaultPace().Fixed
		for range 400 {
			expected := fixed + time.Duration(tokens/b.of("s").PrefillPerMs*float64(time.Millisecond))
			took := fixed + time.Duration(tokens/truth*float64(time.Millisecond)*(0.9+0.2*random.Float64()))
			if random.IntN(5) == 0 {
				took *= 5
			}
			b.measured("s", expected, took)
		}
		if got := b.of("s").PrefillPerMs; got < truth*0.8 || got > truth*1.25 {
			t.Errorf("learned %.1f tokens a millisecond, engines read %.1f", got, truth)
		}
		if got := b.of("other").PrefillPerMs; got != fleet.DefaultPace().PrefillPerMs {
			t.Errorf("another service's pace became %.1f", got)
		}
	}
}
