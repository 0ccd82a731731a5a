// Package retry limits and paces retries, so that retries of failed calls cannot multiply the load on endpoints that
// are already failing.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Limits are the parameters of a Budget.
type Limits struct {
	// Ratio is the number of retries earned per successful call, 0 to 1.
	Ratio float64
	// FloorPerSecond is earned regardless of successes, so that a caller with little traffic can retry at all.
	FloorPerSecond float64
	// Burst bounds the retries saved up, so that credit from a good hour cannot be spent in one bad second.
	Burst float64
}

// DefaultLimits returns the limits for a declared ratio.
func DefaultLimits(ratio float64) Limits {
	return Limits{Ratio: ratio, FloorPerSecond: 1, Burst: 20}
}

// Budget holds the retries available to each member and each endpoint. It is safe for concurrent use.
type Budget struct {
	limits func() Limits

	mu     sync.Mutex
	tokens map[key]*bucket
}

type key struct {
	kind byte
	name string
}

const (
	kindMember   = 'm'
	kindEndpoint = 'e'
)

type bucket struct {
	available float64
	refilled  time.Time
}

// NewBudget returns a budget that reads its limits at each use, so that a changed declaration takes effect.
func NewBudget(limits func() Limits) *Budget {
	return &Budget{limits: limits, tokens: make(map[key]*bucket)}
}

// Succeeded earns the ratio for the member and the endpoint.
func (b *Budget) Succeeded(member, endpoint string, now time.Time) {
	limits := b.limits()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range keys(member, endpoint) {
		bucket := b.refill(k, limits, now)
		bucket.available = min(bucket.available+limits.Ratio, limits.Burst)
	}
}

// Take spends one retry of the member and of the endpoint that failed. It spends both or none.
func (b *Budget) Take(member, endpoint string, now time.Time) bool {
	limits := b.limits()
	b.mu.Lock()
	defer b.mu.Unlock()
	pair := keys(member, endpoint)
	for _, k := range pair {
		if b.refill(k, limits, now).available < 1 {
			return false
		}
	}
	for _, k := range pair {
		b.tokens[k].available--
	}
	return true
}

// Forget drops the state of an endpoint that left.
func (b *Budget) Forget(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.tokens, key{kindEndpoint, endpoint})
}

func keys(member, endpoint string) [2]key {
	return [2]key{{kindMember, member}, {kindEndpoint, endpoint}}
}

// refill adds the floor for the time since the last use. A new bucket starts with one second of the floor.
func (b *Budget) refill(k key, limits Limits, now time.Time) *bucket {
	held, ok := b.tokens[k]
	if !ok {
		held = &bucket{available: min(limits.FloorPerSecond, limits.Burst), refilled: now}
		b.tokens[k] = held
		return held
	}
	if elapsed := now.Sub(held.refilled); elapsed > 0 {
		held.available = min(held.available+elapsed.Seconds()*limits.FloorPerSecond, limits.Burst)
		held.refilled = now
	}
	return held
}

// Backoff computes delays that grow exponentially and are jittered over their whole range, so that callers that failed
// together do not retry together.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
	// Rand returns a number in [0, 1); it must be safe for concurrent use. Nil means math/rand/v2.
	Rand func() float64
}

// Delay returns the delay before the retry with this number, counted from zero. The result is in [0, Max].
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
