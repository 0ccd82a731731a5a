package retry

import (
	"sync"
	"time"
)

// WindowLimits bound the repeated sends of a service within any time window, over all instances together.
type WindowLimits struct {
	Window time.Duration
	// Ratio is the number of repeats allowed per request.
	Ratio float64
	// Slack is the number of repeats allowed in addition, over all instances.
	Slack float64
	// Instances is the number of instances that share the slack.
	Instances int
}

// windowBuckets is the number of buckets per window. A request or repeat counts until its whole bucket has left the
// window.
const windowBuckets = 20

// usedShareRatio is the fraction of its share that an instance uses. Requests are not distributed evenly over
// instances, and an instance may restart with an empty window.
const usedShareRatio = 0.8

// WindowBudget limits repeats in a sliding window. Each instance uses its own share, so instances exchange no messages.
// It is safe for concurrent use.
type WindowBudget struct {
	limits func() WindowLimits

	mu sync.Mutex
	// start is the time of the first use. Buckets are numbered from it, so that a step of the wall clock does not empty
	// a window.
	start    time.Time
	services map[string]*window
}

type window struct {
	requests     [windowBuckets + 1]int
	repeats      [windowBuckets + 1]int
	newestBucket int64
}

// NewWindowBudget returns a budget. It reads its limits at each use.
func NewWindowBudget(limits func() WindowLimits) *WindowBudget {
	return &WindowBudget{limits: limits, services: make(map[string]*window)}
}

// Requested counts a client request.
func (b *WindowBudget) Requested(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service, b.limits(), now)
	w.requests[w.newestBucket%int64(len(w.requests))]++
}

// Take spends one repeat. It returns false if the instance's share is used up.
func (b *WindowBudget) Take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := b.limits()
	w := b.currentWindow(service, limits, now)
	allowed := (limits.Ratio*float64(sum(w.requests)) + limits.Slack/float64(max(limits.Instances, 1))) * usedShareRatio
	if float64(sum(w.repeats)+1) > allowed {
		return false
	}
	w.repeats[w.newestBucket%int64(len(w.repeats))]++
	return true
}

// currentWindow returns the service's window after removing the buckets that have left it.
func (b *WindowBudget) currentWindow(service string, limits WindowLimits, now time.Time) *window {
	if b.start.IsZero() {
		b.start = now
	}
	bucket := int64(now.Sub(b.start)) / max(int64(limits.Window)/windowBuckets, 1)
	w := b.services[service]
	if w == nil {
		w = &window{newestBucket: bucket}
		b.services[service] = w
	}
	for steps := 0; w.newestBucket < bucket && steps <= windowBuckets; steps++ {
		w.newestBucket++
		w.requests[w.newestBucket%int64(len(w.requests))] = 0
		w.repeats[w.newestBucket%int64(len(w.repeats))] = 0
	}
	w.newestBucket = max(w.newestBucket, bucket)
	return w
}

func sum(counts [windowBuckets + 1]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
