package engine

import (
	"sync"
	"time"
)

// CallKind names a kind of call for fault injection.
type CallKind string

// The kinds of calls that faults can be set for.
const (
	CallInference   CallKind = "inference"
	CallCancel      CallKind = "cancel"
	CallReport      CallKind = "report"
	CallCacheEvents CallKind = "cache_events"
	CallOrder       CallKind = "order"
	CallCache       CallKind = "cache"
)

// Fault is what happens to one call.
type Fault struct {
	// Delay is waited after the request was read and before it takes effect. It is wall time.
	Delay time.Duration `json:"delayNs,omitempty"`
	// Refuse answers 503 with X-Not-Run before the call takes effect; an order is answered 409 with code rejected.
	Refuse bool `json:"refuse,omitempty"`
	// Status, when positive, is answered without effect and without X-Not-Run.
	Status int `json:"status,omitempty"`
	// Lose closes the connection after the request was read, without effect.
	Lose bool `json:"lose,omitempty"`
	// DropReply closes the connection after the call took effect.
	DropReply bool `json:"dropReply,omitempty"`
	// CloseAfterChunks, when positive, breaks a stream after that many chunks.
	CloseAfterChunks int `json:"closeAfterChunks,omitempty"`
	// EndAfterChunks, when positive, ends a stream early with valid framing but without its end marker.
	EndAfterChunks int `json:"endAfterChunks,omitempty"`
	// SkipChunk, when positive, leaves out the chunk with that offset; RepeatChunk sends it twice.
	SkipChunk   int `json:"skipChunk,omitempty"`
	RepeatChunk int `json:"repeatChunk,omitempty"`
	// WrongRequestID echoes another request's id.
	WrongRequestID bool `json:"wrongRequestId,omitempty"`
	// TruncateBody announces the full length and closes the connection after half of it.
	TruncateBody bool `json:"truncateBody,omitempty"`
	// NoFinishReason leaves out the finish reason.
	NoFinishReason bool `json:"noFinishReason,omitempty"`
	// Hook runs before the call takes effect.
	Hook func() `json:"-"`
	// OnChunk runs before each chunk of a stream is sent, with the number of those sent before.
	OnChunk func(sent int) `json:"-"`
}

// Faults holds queued and permanent faults. It is safe for concurrent use.
type Faults struct {
	mu     sync.Mutex
	queued map[CallKind][]Fault
	always map[CallKind]Fault
	counts map[CallKind]int
}

// NewFaults returns a set without faults.
func NewFaults() *Faults {
	return &Faults{
		queued: make(map[CallKind][]Fault),
		always: make(map[CallKind]Fault),
		counts: make(map[CallKind]int),
	}
}

// Next queues a fault for the next call of this kind.
func (f *Faults) Next(kind CallKind, fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queued[kind] = append(f.queued[kind], fault)
}

// Always sets the fault of each call of this kind without a queued one.
func (f *Faults) Always(kind CallKind, fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.always[kind] = fault
}

// Clear removes all faults; counts stay.
func (f *Faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.queued)
	clear(f.always)
}

// Count returns the number of calls of this kind that were read so far.
func (f *Faults) Count(kind CallKind) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[kind]
}

func (f *Faults) take(kind CallKind) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[kind]++
	queue := f.queued[kind]
	if len(queue) == 0 {
		return f.always[kind]
	}
	f.queued[kind] = queue[1:]
	return queue[0]
}
