package kv

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// Call is a method of the store that faults can be injected into.
type Call string

// The methods of the store.
const (
	CallGet       Call = "get"
	CallRange     Call = "range"
	CallCommit    Call = "commit"
	CallGrant     Call = "grant"
	CallKeepAlive Call = "keepalive"
	CallRevoke    Call = "revoke"
	CallWatch     Call = "watch"
)

// maxQueueDelay is the maximum delay of a call by a rate limit. A call that would have to wait longer is rejected.
const maxQueueDelay = time.Second

// Fault is a set of faults to inject into one call.
type Fault struct {
	// Delay is the time before the call takes effect.
	Delay time.Duration
	// Refuse fails the call before it takes effect.
	Refuse bool
	// DropReply loses the reply after the call took effect.
	DropReply bool
	// Hold loses the reply of a Commit at once. The writes take effect at Memory.ApplyHeld, or never.
	Hold bool
	// Hook runs before the call takes effect. Tests use it to interleave another writer.
	Hook func()
}

// Faults holds the queued faults, outage, latency and rate limits of a store. It is safe for concurrent use.
type Faults struct {
	mu           sync.Mutex
	down         bool
	downSignalCh chan struct{}
	queued       map[Call][]Fault
	counts       map[Call]int
	latency      time.Duration
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
}

// NewFaults returns an empty set of faults.
func NewFaults() *Faults {
	return &Faults{
		downSignalCh: make(chan struct{}),
		queued:       make(map[Call][]Fault),
		counts:       make(map[Call]int),
	}
}

// Queue queues a fault for the next call of this method. Without a queued fault, only the outage, the latency and the
// rate limits affect a call.
func (f *Faults) Queue(call Call, fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queued[call] = append(f.queued[call], fault)
}

// SetDown starts or ends an outage. During an outage every call is rejected and watches fail.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if down && !f.down {
		close(f.downSignalCh)
	}
	if !down && f.down {
		f.downSignalCh = make(chan struct{})
	}
	f.down = down
}

// SetLatency sets a delay before each call takes effect; zero removes it.
func (f *Faults) SetLatency(latency time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latency = latency
}

// SetRates limits reads and writes per second; zero removes a limit. Lease calls and commits are writes.
func (f *Faults) SetRates(reads, writes float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readLimiter = newLimiter(reads)
	f.writeLimiter = newLimiter(writes)
}

// newLimiter returns a rate limiter with a burst of the calls of a tenth of a second, or nil without a limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Count returns the number of calls of this method so far, including rejected ones.
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
	return f.downSignalCh
}

// beforeCall injects the faults that precede the effect of a call. It returns the fault for afterCall, or an error if
// the call fails without effect.
func (f *Faults) beforeCall(ctx context.Context, call Call) (Fault, error) {
	fault, delay, err := f.nextFault(call)
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

// nextFault returns the queued fault of the call and the total delay before the call takes effect.
func (f *Faults) nextFault(call Call) (Fault, time.Duration, error) {
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
	wait, ok := f.rateLimitDelay(call)
	if !ok {
		return fault, 0, kvstore.ErrUnavailable
	}
	return fault, fault.Delay + f.latency + wait, nil
}

// rateLimitDelay returns how long the call has to wait for the rate limit, or false if that exceeds maxQueueDelay.
func (f *Faults) rateLimitDelay(call Call) (time.Duration, bool) {
	limiter := f.writeLimiter
	if call == CallGet || call == CallRange || call == CallWatch {
		limiter = f.readLimiter
	}
	if limiter == nil {
		return 0, true
	}
	reservation := limiter.Reserve()
	delay := reservation.Delay()
	if delay > maxQueueDelay {
		reservation.Cancel()
		return 0, false
	}
	return delay, true
}

// afterCall returns errReplyLost if the fault loses the reply of the call.
func (f Fault) afterCall(errReplyLost error) error {
	if f.DropReply {
		return errReplyLost
	}
	return nil
}
