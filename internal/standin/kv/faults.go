package kv

import (
	"context"
	"sync"
	"time"

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

// Fault is what happens to one call.
type Fault struct {
	// Delay is waited before the call takes effect.
	Delay time.Duration
	// Refuse fails the call before it takes effect.
	Refuse bool
	// DropReply lets the call take effect and then loses its reply.
	DropReply bool
	// Hook runs before the call takes effect; tests use it to interleave another writer.
	Hook func()
}

// Faults holds the outage switch and the queued faults of a store. It is safe for concurrent use.
type Faults struct {
	mu     sync.Mutex
	down   bool
	signal chan struct{}
	queued map[Call][]Fault
	active map[Call]Fault
	counts map[Call]int
}

// NewFaults returns a set without faults.
func NewFaults() *Faults {
	return &Faults{
		signal: make(chan struct{}),
		queued: make(map[Call][]Fault),
		active: make(map[Call]Fault),
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

func (f *Faults) before(ctx context.Context, call Call) error {
	fault, down := f.take(call)
	if down || fault.Refuse {
		return kvstore.ErrUnavailable
	}
	if fault.Hook != nil {
		fault.Hook()
	}
	if fault.Delay <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return kvstore.ErrUnavailable
	case <-time.After(fault.Delay):
		return nil
	}
}

func (f *Faults) take(call Call) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[call]++
	fault := Fault{}
	if queue := f.queued[call]; len(queue) > 0 {
		fault = queue[0]
		f.queued[call] = queue[1:]
	}
	f.active[call] = fault
	return fault, f.down
}

// after loses the reply of a call that took effect. With concurrent calls of one kind the fault belongs to the latest.
func (f *Faults) after(_ context.Context, call Call) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active[call].DropReply {
		f.active[call] = Fault{}
		return kvstore.ErrOutcomeUnknown
	}
	return nil
}
