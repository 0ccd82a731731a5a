package edge

import (
	"sync"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

const (
	// slownessStep is the factor by which one measured first token changes the slowness of a service. Steps of a fixed
	// size approach the median, so that a few slow or stuck engines do not change the result.
	slownessStep = 1.02
	// maxSlowness and minSlowness bound the learned slowness.
	maxSlowness = 8.0
	minSlowness = 0.125
	// minPrefillTime is the minimum expected prefill time for which a first token is used. Below it, other times
	// dominate.
	minPrefillTime = 50 * time.Millisecond
)

// prefillRateEstimator estimates how fast the engines of each service read prompts, from expected and measured times to
// the first token. It is safe for concurrent use.
type prefillRateEstimator struct {
	mu sync.Mutex
	// slowness is the prefill time of each service's engines relative to that of fleet.DefaultEngineSpeed.
	slowness map[string]float64
}

func newPrefillRateEstimator() *prefillRateEstimator {
	return &prefillRateEstimator{slowness: make(map[string]float64)}
}

// forService returns the estimated speed of a service's engines.
func (r *prefillRateEstimator) forService(service string) fleet.EngineSpeed {
	r.mu.Lock()
	defer r.mu.Unlock()
	speed := fleet.DefaultEngineSpeed()
	speed.PrefillPerMs /= r.slownessOf(service)
	return speed
}

func (r *prefillRateEstimator) slownessOf(service string) float64 {
	if slowness := r.slowness[service]; slowness > 0 {
		return slowness
	}
	return 1
}

// recordFirstToken updates the estimate from the time that a first token took at the engine and the time that was
// expected.
func (r *prefillRateEstimator) recordFirstToken(service string, expected, took time.Duration) {
	prefillTime := expected - fleet.DefaultEngineSpeed().FixedTime
	if prefillTime < minPrefillTime {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	slowness := r.slownessOf(service)
	if took > expected {
		slowness *= slownessStep
	} else {
		slowness /= slownessStep
	}
	r.slowness[service] = min(max(slowness, minSlowness), maxSlowness)
}
