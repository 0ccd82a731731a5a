package edge

import (
	"sync"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

const (
	// paceStep is the factor by which one measured first token moves the pace of a service towards it. Steps of a fixed size
	// follow the median, so that a few engines that are slow or stuck do not move it.
	paceStep = 1.02
	// slowestPace and fastestPace bound the learned time in terms of the default pace's.
	slowestPace = 8.0
	fastestPace = 0.125
	// leastReading is the expected reading time from which on a first token tells the pace; below it other times weigh more.
	leastReading = 50 * time.Millisecond
)

// paceBook learns how fast the engines of each service read prompts, from expected and measured times to the first token.
// It is safe for concurrent use.
type paceBook struct {
	mu sync.Mutex
	// slowness is the reading time by service in terms of the default pace's.
	slowness map[string]float64
}

func newPaceBook() *paceBook {
	return &paceBook{slowness: make(map[string]float64)}
}

// of returns the pace of a service's engines.
func (b *paceBook) of(service string) fleet.Pace {
	b.mu.Lock()
	defer b.mu.Unlock()
	pace := fleet.DefaultPace()
	pace.PrefillPerMs /= b.slownessOf(service)
	return pace
}

func (b *paceBook) slownessOf(service string) float64 {
	if slowness := b.slowness[service]; slowness > 0 {
		return slowness
	}
	return 1
}

// measured records a first token whose time at the engine was expected by the present pace.
func (b *paceBook) measured(service string, expected, took time.Duration) {
	reading := expected - fleet.DefaultPace().Fixed
	if reading < leastReading {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	slowness := b.slownessOf(service)
	if took > expected {
		slowness *= paceStep
	} else {
		slowness /= paceStep
	}
	b.slowness[service] = min(max(slowness, fastestPace), slowestPace)
}
