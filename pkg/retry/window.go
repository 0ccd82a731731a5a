package retry

import (
	"sync"
	"time"
)

// WindowLimits bound the repeated sends of a service in any span of a length, over all instances together.
type WindowLimits struct {
	Window time.Duration
	// Ratio is the number of repeats allowed per request.
	Ratio float64
	// Slack is allowed besides, over all instances.
	Slack float64
	// Instances share the slack.
	Instances int
}

// windowBuckets divides a window; repeats count until their whole bucket has left it.
const windowBuckets = 20

// shareUsed is the part of an instance's share that it uses, because requests are not spread evenly over instances and
// an instance may start anew with an empty window.
const shareUsed = 0.8

// WindowBudget limits repeats in a sliding window. Each instance uses its own share, so that no message is needed. It is
// safe for concurrent use.
type WindowBudget struct {
	limits func() WindowLimits

	mu sync.Mutex
	// start is the time of the first use; buckets count from it, so that a step of the wall clock does not empty a window.
	start    time.Time
	services map[string]*window
}

type window struct {
	requests [windowBuckets + 1]int
	repeats  [windowBuckets + 1]int
	newest   int64
}

// NewWindowBudget returns a budget that reads its limits at each use.
func NewWindowBudget(limits func() WindowLimits) *WindowBudget {
	return &WindowBudget{limits: limits, services: make(map[string]*window)}
}

// Requested counts a request of a client.
func (b *WindowBudget) Requested(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, b.limits(), now)
	w.requests[w.newest%int64(len(w.requests))]++
}

// Take spends one repeat. It returns false when the share is used up.
func (b *WindowBudget) Take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := b.limits()
	w := b.at(service, limits, now)
	allowed := (limits.Ratio*float64(sum(w.requests)) + limits.Slack/float64(max(limits.Instances, 1))) * shareUsed
	if float64(sum(w.repeats)+1) > allowed {
		return false
	}
	w.repeats[w.newest%int64(len(w.repeats))]++
	return true
}

// at returns the service's window with buckets up to now.
func (b *WindowBudget) at(service string, limits WindowLimits, now time.Time) *window {
	if b.start.IsZero() {
		b.start = now
	}
	bucket := int64(now.Sub(b.start)) / max(int64(limits.Window)/windowBuckets, 1)
	w := b.services[service]
	if w == nil {
		w = &window{newest: bucket}
		b.services[service] = w
	}
	for steps := 0; w.newest < bucket && steps <= windowBuckets; steps++ {
		w.newest++
		w.requests[w.newest%int64(len(w.requests))] = 0
		w.repeats[w.newest%int64(len(w.repeats))] = 0
	}
	w.newest = max(w.newest, bucket)
	return w
}

func sum(counts [windowBuckets + 1]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
