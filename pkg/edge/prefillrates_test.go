package edge

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// Guards against planning with the default prefill rate: engines of an unknown deployment may read prompts at a quarter
// or three times that rate, and one first token in five is late for another reason.
func TestPrefillRateFollowsEngines(t *testing.T) {
	for _, actualRate := range []float64{5, 20, 60} {
		rates := newPrefillRateEstimator()
		random := rand.New(rand.NewPCG(1, 2))
		const tokens = 3000
		fixed := fleet.DefaultEngineSpeed().FixedTime
		for range 400 {
			expected := fixed + time.Duration(tokens/rates.forService("s").PrefillPerMs*float64(time.Millisecond))
			took := fixed + time.Duration(tokens/actualRate*float64(time.Millisecond)*(0.9+0.2*random.Float64()))
			if random.IntN(5) == 0 {
				took *= 5
			}
			rates.recordFirstToken("s", expected, took)
		}
		if got := rates.forService("s").PrefillPerMs; got < actualRate*0.8 || got > actualRate*1.25 {
			t.Errorf("estimated %.1f tokens per millisecond, engines read %.1f", got, actualRate)
		}
		if got := rates.forService("other").PrefillPerMs; got != fleet.DefaultEngineSpeed().PrefillPerMs {
			t.Errorf("the rate of another service became %.1f", got)
		}
	}
}
