package kv

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// Call names a method of the store for fault injection.
type Call string

// The calls that faults can be set for.
const (
	CallGet       Call = "get"
	CallRange     Call = "range"
	CallCommit    Call = "commit"
	CallGrant     Call = "grant"
	CallKeepAlive Call = "keepalive"
	CallRevoke    Call = "revoke"
	CallWatch     Call = "watch"
)

// maxQueueDelay is the longest time that a call waits for its turn under a rate limit; later calls are refused.
const maxQueueDelay = time.Second

// Fault is what happens to one call.
type Fault struct {
	// Delay is waited before the call takes effect.
	Delay time.Duration
	// Refuse fails the call before it takes effect.
	Refuse bool
	// DropReply lets the call take effect and then loses its reply.
	DropReply bool
	// Hold loses the reply of a Commit at once; the write takes effect at Memory.ApplyHeld, or never.
	Hold bool
	// Hook runs before the call takes effect; tests use it to interleave another writer.
	Hook func()
}

// Faults holds the outage switch and the queued faults of a store. It is safe for concurrent use.
type Faults struct {
	mu      sync.Mutex
	down    bool
	signal  chan struct{}
	queued  map[Call][]Fault
	counts  map[Call]int
	latency time.Duration
	reads   *rate.Limiter
	writes  *rate.Limiter
}

// NewFaults returns a set without faults.
func NewFaults() *Faults {
	return &Faults{
		signal: make(chan struct{}),
		queued: make(map[Call][]Fault),
		counts: make(map[Call]int),
	}
}

// Next queues a fault for the next call of this kind; calls without a queued fault succeed.
func (f *Faults) Next(call Call, fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queued[call] = append(f.queued[call], fault)
}

// SetDown starts or ends an outage: every call is refused and watches break.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if down && !f.down {
		close(f.signal)
	}
	if !down && f.down {
		f.signal = make(chan struct{})
	}
	f.down = down
}

// SetLatency adds a delay before each call takes effect; zero switches the slow mode off.
func (f *Faults) SetLatency(latency time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latency = latency
}

// SetRates limits reads and writes per second; zero removes a limit. Lease calls and commits are writes.
func (f *Faults) SetRates(reads, writes float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads = limiter(reads)
	f.writes = limiter(writes)
}

// limiter allows bursts of a tenth of a second.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Count returns the number of calls of this kind so far, refused ones included.
func (f *Faults) Count(call Call) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[call]
}

func (f *Faults) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

func (f *Faults) downSignal() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.signal
}

// before returns the fault of this call, for use after the call took effect.
func (f *Faults) before(ctx context.Context, call Call) (Fault, error) {
	fault, delay, err := f.take(call)
	if err != nil {
		return fault, err
	}
	if fault.Hook != nil {
		fault.Hook()
	}
	if delay > 0 && timing.Sleep(ctx, delay) != nil {
		return fault, kvstore.ErrUnavailable
	}
	return fault, nil
}

// take returns the queued fault of the call and the total delay before it takes effect.
func (f *Faults) take(call Call) (Fault, time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[call]++
	fault := Fault{}
	if queue := f.queued[call]; len(queue) > 0 {
		fault = queue[0]
		f.queued[call] = queue[1:]
	}
	if f.down || fault.Refuse {
		return fault, 0, kvstore.ErrUnavailable
	}
	wait, ok := f.turn(call)
	if !ok {
		return fault, 0, kvstore.ErrUnavailable
	}
	return fault, fault.Delay + f.latency + wait, nil
}

// turn returns how long the call waits under the rate limit, or false when that is too long.
func (f *Faults) turn(call Call) (time.Duration, bool) {
	limit := f.writes
	if call == CallGet || call == CallRange || call == CallWatch {
		limit = f.reads
	}
	if limit == nil {
		return 0, true
	}
	reservation := limit.Reserve()
	delay := reservation.Delay()
	if delay > maxQueueDelay {
		reservation.Cancel()
		return 0, false
	}
	return delay, true
}

// after returns the error of a call whose reply is lost.
func (f Fault) after(lost error) error {
	if f.DropReply {
		return lost
	}
	return nil
}
