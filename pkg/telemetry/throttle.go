package telemetry

import (
	"sync"
	"time"
)

// Throttle limits the log lines about each kind of event to one in an interval, so that many events of a kind do not fill the
// log. The kinds must be few. It is safe for concurrent use.
type Throttle struct {
	interval time.Duration

	mu     sync.Mutex
	logged map[string]time.Time
	// unlogged counts the events of a kind since its last line.
	unlogged map[string]int
}

// NewThrottle returns a Throttle with the minimum time between two lines about one kind of event.
func NewThrottle(interval time.Duration) *Throttle {
	return &Throttle{interval: interval, logged: make(map[string]time.Time), unlogged: make(map[string]int)}
}

// Allow reports whether an event may be logged, and the number of events of its kind that were not since the last line.
func (t *Throttle) Allow(kind string, now time.Time) (unlogged int, allowed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	unlogged = t.unlogged[kind]
	if now.Sub(t.logged[kind]) < t.interval {
		t.unlogged[kind]++
		return unlogged, false
	}
	t.logged[kind], t.unlogged[kind] = now, 0
	return unlogged, true
}
