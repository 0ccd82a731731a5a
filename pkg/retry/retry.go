// Package retry limits and delays retries, so that retries of failed calls cannot multiply the load on failing
// endpoints.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Limits are the parameters of a Budget.
type Limits struct {
	// Ratio is the number of retries earned per successful call, from 0 to 1.
	Ratio float64
	// FloorPerSecond is earned regardless of successes, so that a caller with little traffic can retry.
	FloorPerSecond float64
	// Burst bounds the saved retries, so that credit from an hour without failures cannot be spent in one second.
	Burst float64
}

// DefaultLimits returns the limits for a configured ratio.
func DefaultLimits(ratio float64) Limits {
	return Limits{Ratio: ratio, FloorPerSecond: 1, Burst: 20}
}

// Budget tracks the retries available to each member and each endpoint. It is safe for concurrent use.
type Budget struct {
	limits func() Limits

	mu      sync.Mutex
	buckets map[bucketKey]*bucket
}

type bucketKey struct {
	kind byte
	name string
}

const (
	kindMember   = 'm'
	kindEndpoint = 'e'
)

type bucket struct {
	available  float64
	refilledAt time.Time
}

// NewBudget returns a budget. It reads its limits at each use, so that a changed declaration takes effect.
func NewBudget(limits func() Limits) *Budget {
	return &Budget{limits: limits, buckets: make(map[bucketKey]*bucket)}
}

// Succeeded credits Limits.Ratio to the member and to the endpoint.
func (b *Budget) Succeeded(member, endpoint string, now time.Time) {
	limits := b.limits()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range bucketKeys(member, endpoint) {
		bucket := b.refill(k, limits, now)
		bucket.available = min(bucket.available+limits.Ratio, limits.Burst)
	}
}

// Take spends one retry of the member and one of the failed endpoint. If either has none, it spends nothing and returns
// false.
func (b *Budget) Take(member, endpoint string, now time.Time) bool {
	limits := b.limits()
	b.mu.Lock()
	defer b.mu.Unlock()
	pair := bucketKeys(member, endpoint)
	for _, k := range pair {
		if b.refill(k, limits, now).available < 1 {
			return false
		}
	}
	for _, k := range pair {
		b.buckets[k].available--
	}
	return true
}

// Forget removes the state of an endpoint that has left.
func (b *Budget) Forget(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.buckets, bucketKey{kindEndpoint, endpoint})
}

func bucketKeys(member, endpoint string) [2]bucketKey {
	return [2]bucketKey{{kindMember, member}, {kindEndpoint, endpoint}}
}

// refill credits the floor for the time since the last use. A new bucket starts with one second of the floor.
func (b *Budget) refill(k bucketKey, limits Limits, now time.Time) *bucket {
	current, ok := b.buckets[k]
	if !ok {
		current = &bucket{available: min(limits.FloorPerSecond, limits.Burst), refilledAt: now}
		b.buckets[k] = current
		return current
	}
	if elapsed := now.Sub(current.refilledAt); elapsed > 0 {
		current.available = min(current.available+elapsed.Seconds()*limits.FloorPerSecond, limits.Burst)
		current.refilledAt = now
	}
	return current
}

// Backoff computes exponentially growing delays with full jitter, so that callers that failed together do not retry
// together.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
	// Rand returns a number in [0, 1). It must be safe for concurrent use. Nil means math/rand/v2.
	Rand func() float64
}

// Delay returns a random delay in [0, Max] before a retry. Retries are counted from zero.
func (b Backoff) Delay(retry int) time.Duration {
	ceiling := b.Base
	for i := 0; i < retry && ceiling < b.Max; i++ {
		ceiling *= 2
	}
	ceiling = min(ceiling, b.Max)
	random := b.Rand
	if random == nil {
		random = rand.Float64
	}
	return time.Duration(random() * float64(ceiling))
}
