package engine

import (
	"sync"
	"time"
)

// CallKind is a kind of call that faults can be injected into.
type CallKind string

// The kinds of calls.
const (
	CallInference   CallKind = "inference"
	CallCancel      CallKind = "cancel"
	CallReport      CallKind = "report"
	CallCacheEvents CallKind = "cache_events"
	CallOrder       CallKind = "order"
	// CallCache is an export or import of cache blocks.
	CallCache CallKind = "cache"
)

// Fault is a set of faults to inject into one call.
type Fault struct {
	// Delay is the wall time between reading the request and its effect.
	Delay time.Duration `json:"delayNs,omitempty"`
	// Refuse responds with 503 and X-Not-Run before the call takes effect; an order gets 409 with code rejected.
	Refuse bool `json:"refuse,omitempty"`
	// Status, when positive, is the status of a response without X-Not-Run; the call takes no effect.
	Status int `json:"status,omitempty"`
	// DropRequest closes the connection after reading the request; the call takes no effect.
	DropRequest bool `json:"lose,omitempty"`
	// DropReply closes the connection after the call took effect.
	DropReply bool `json:"dropReply,omitempty"`
	// CloseAfterChunks, when positive, closes the connection of a stream after that many chunks.
	CloseAfterChunks int `json:"closeAfterChunks,omitempty"`
	// EndAfterChunks, when positive, ends a stream early with valid framing but without its end marker.
	EndAfterChunks int `json:"endAfterChunks,omitempty"`
	// SkipChunk, when positive, omits the chunk with that offset; RepeatChunk sends it twice.
	SkipChunk   int `json:"skipChunk,omitempty"`
	RepeatChunk int `json:"repeatChunk,omitempty"`
	// WrongRequestID puts another id into the response in place of that of the request or order.
	WrongRequestID bool `json:"wrongRequestId,omitempty"`
	// TruncateBody sends the full Content-Length but closes the connection after half of the body.
	TruncateBody bool `json:"truncateBody,omitempty"`
	// NoFinishReason omits the finish reason.
	NoFinishReason bool `json:"noFinishReason,omitempty"`
	// Hook runs before the call takes effect.
	Hook func() `json:"-"`
	// OnChunk runs before each chunk of a stream, with the number of chunks sent before it.
	OnChunk func(sent int) `json:"-"`
}

// Faults holds, per kind of call, a queue of faults for single calls and a default fault for all others. It is safe for
// concurrent use.
type Faults struct {
	mu            sync.Mutex
	queued        map[CallKind][]Fault
	defaultFaults map[CallKind]Fault
	counts        map[CallKind]int
}

// NewFaults returns an empty set of faults.
func NewFaults() *Faults {
	return &Faults{
		queued:        make(map[CallKind][]Fault),
		defaultFaults: make(map[CallKind]Fault),
		counts:        make(map[CallKind]int),
	}
}

// Queue queues a fault for the next call of this kind.
func (f *Faults) Queue(kind CallKind, fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queued[kind] = append(f.queued[kind], fault)
}

// SetDefault sets the fault for all calls of this kind that have no queued fault.
func (f *Faults) SetDefault(kind CallKind, fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.defaultFaults[kind] = fault
}

// Clear removes all faults and keeps the counts.
func (f *Faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.queued)
	clear(f.defaultFaults)
}

// Count returns the number of calls of this kind that have been read.
func (f *Faults) Count(kind CallKind) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[kind]
}

func (f *Faults) nextFault(kind CallKind) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[kind]++
	queue := f.queued[kind]
	if len(queue) == 0 {
		return f.defaultFaults[kind]
	}
	f.queued[kind] = queue[1:]
	return queue[0]
}
