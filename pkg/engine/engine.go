// Package engine declares the interfaces of a model engine: inference, load reports, cache events and orders. The
// packages below it implement them for a wire protocol; no other package depends on that protocol.
package engine

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNotSent means that no byte of the request can have reached the engine, or that the engine stated that it did not
	// run the request.
	ErrNotSent = errors.New("request was not sent")
	// ErrConnectionLost means that the connection broke after bytes were sent; the request may have run.
	ErrConnectionLost = errors.New("connection to endpoint lost")
	// ErrTruncated means that a response is incomplete: shorter than its framing announced, or without the end that its
	// content requires.
	ErrTruncated = errors.New("response truncated")
	// ErrRequestIDMismatch means that a response was dropped because it carries the id of another request, or because it
	// is a success without an id.
	ErrRequestIDMismatch = errors.New("response belongs to another request")
	// ErrResumeUnsupported means that the engine cannot resume this stream.
	ErrResumeUnsupported = errors.New("stream cannot be resumed")
	// ErrStaleFencingToken means that the engine rejected an order because it has accepted a newer fencing token.
	ErrStaleFencingToken = errors.New("fencing token is stale")
	// ErrSessionClosed means that the connection of the order session broke. An order sent on it has an unknown outcome.
	ErrSessionClosed = errors.New("order session closed")
	// ErrOrderRejected means that the engine rejected the order without executing it, for example for lack of memory.
	ErrOrderRejected = errors.New("order rejected by engine")
)

// StatusError is a complete HTTP response in which the endpoint reports a failure.
type StatusError struct {
	Status int
	Body   []byte
	// NotRun reports whether the endpoint stated that it did not run the request (status 429 or 503 with the header
	// X-Not-Run: true).
	NotRun bool
	// RetryAfter is zero when the response has no Retry-After header.
	RetryAfter time.Duration
}

// Error implements error.
func (e *StatusError) Error() string {
	return "endpoint returned status " + strconv.Itoa(e.Status)
}

// Target is the name and the address of an endpoint.
type Target struct {
	Name string
	// URL consists of scheme, IP address and port, without a trailing slash.
	URL string
}

// Call is one inference request.
type Call struct {
	RequestID string
	// Path is the OpenAI-compatible path, such as /v1/chat/completions.
	Path string
	// Body is the JSON body, which is sent unchanged.
	Body []byte
	// Priority orders requests in the engine's queue; a higher priority runs first.
	Priority int
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
}

// Response is the complete and verified response to a call without streaming.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// InputTokens and OutputTokens are the counts that the engine reported, or zero.
	InputTokens  int
	OutputTokens int
}

// Chunk is one server-sent event of a stream.
type Chunk struct {
	// Offset numbers the chunks of a stream from zero.
	Offset int
	// Data is the data of the event without framing. The receiver owns the slice.
	Data []byte
	// Tokens is the number of output tokens in the chunk.
	Tokens int
	// InputTokens is the count that the engine reported. It is zero except in the chunk that carries it, usually the last.
	InputTokens int
	// HasFinishReason reports whether the chunk carries a finish reason; a stream without one is incomplete.
	HasFinishReason bool
}

// Stream returns the chunks of a streamed call in order.
type Stream interface {
	// Next returns the next chunk, and io.EOF only after the end marker that the engine sent. The reader of a resumed
	// stream must itself check that there was a finish reason, which may precede the offset. Errors: ErrConnectionLost,
	// ErrTruncated, ErrRequestIDMismatch.
	Next() (Chunk, error)
	// Close releases the connection, and cancels the request at the engine if the stream has neither ended nor failed.
	Close()
}

// Inference sends calls to engines. Implementations never retry a call.
type Inference interface {
	// Complete runs a call without streaming. Errors: ErrNotSent, ErrConnectionLost, ErrTruncated, ErrRequestIDMismatch,
	// *StatusError, or the error of the context, which leaves the outcome unknown.
	Complete(ctx context.Context, target Target, call Call) (Response, error)
	// Open starts a streamed call, or resumes it after the first `offset` chunks if offset is positive. Errors: as
	// Complete, and ErrResumeUnsupported.
	Open(ctx context.Context, target Target, call Call, offset int) (Stream, error)
}

// Canceller cancels requests whose connection is already closed.
type Canceller interface {
	// Cancel requests the cancellation in the background; it does not report whether the cancellation succeeded.
	Cancel(target Target, requestID string)
}

// CacheTransfer moves KV cache blocks between engines.
type CacheTransfer interface {
	// ExportCache returns the blocks with the given hashes in the engine's own format. Errors: as Inference.Complete.
	ExportCache(ctx context.Context, target Target, model string, prefixHashes []uint64) ([]byte, error)
	// ImportCache stores exported blocks. Errors: as Inference.Complete.
	ImportCache(ctx context.Context, target Target, model string, blocks []byte) error
}

// ArtifactKind is the kind of an artifact: model or adapter.
type ArtifactKind string

const (
	// KindModel is the weights of a model together with its KV cache reservation.
	KindModel ArtifactKind = "model"
	// KindAdapter is an adapter of a loaded model.
	KindAdapter ArtifactKind = "adapter"
)

// Artifact identifies a model or an adapter that an engine can load.
type Artifact struct {
	Kind    ArtifactKind `json:"kind"`
	Name    string       `json:"name"`
	Version string       `json:"version"`
}

// ArtifactState is the state of an artifact as the engine reports it.
type ArtifactState string

const (
	// StateLoading means that the artifact occupies memory but cannot serve requests yet.
	StateLoading ArtifactState = "loading"
	// StateLoaded means that the artifact can serve requests.
	StateLoaded ArtifactState = "loaded"
	// StateUnloading means that the artifact still occupies memory but no longer serves requests.
	StateUnloading ArtifactState = "unloading"
)

// LoadedArtifact is an artifact that occupies accelerator memory.
type LoadedArtifact struct {
	Artifact
	State ArtifactState `json:"state"`
	// Accelerators are the indexes of the accelerators that hold the artifact.
	Accelerators []int `json:"accelerators"`
	// BytesPerAccelerator includes the KV cache reservation of a model.
	BytesPerAccelerator int64 `json:"bytesPerAccelerator"`
	// OrderID is the id of the order that loaded the artifact. It is empty if the artifact was loaded at start.
	OrderID string `json:"orderId"`
}

// Report is the load report of an engine. It lags behind the state of the engine.
type Report struct {
	// Incarnation changes each time the engine process starts. A new incarnation has no artifacts in memory unless its
	// report lists them.
	Incarnation string `json:"incarnation"`
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// MaxRunning is the maximum batch size.
	MaxRunning int `json:"maxRunning"`
	// KVCacheUsage is the used fraction of the KV cache, 0 to 1.
	KVCacheUsage float64 `json:"kvCacheUsage"`
	// PrefillTokensPerSecond and DecodeTokensPerSecond are recent rates, summed over all requests.
	PrefillTokensPerSecond float64 `json:"prefillTokensPerSecond"`
	DecodeTokensPerSecond  float64 `json:"decodeTokensPerSecond"`
	// Artifacts are all artifacts that occupy memory.
	Artifacts []LoadedArtifact `json:"artifacts"`
	// HighestFencingToken is the highest accepted fencing token. It is zero on an engine that does not check tokens.
	HighestFencingToken int64 `json:"highestFencingNumber"`
	// LastOrderIDs are the ids of recently executed orders, newest last.
	LastOrderIDs []string `json:"lastOrders"`
	// Leaving reports whether the engine is leaving and accepts no new requests.
	Leaving bool `json:"leaving"`
	// Role is the current role of the engine.
	Role string `json:"role"`
}

// CacheEvent reports that an engine stored or evicted a block of a prompt prefix. Events arrive late and some are lost.
type CacheEvent struct {
	// Sequence increases by one with each event of an incarnation; a gap means that events were lost.
	Sequence int64 `json:"sequence"`
	// Stored reports whether the block was stored; otherwise it was evicted.
	Stored bool   `json:"stored"`
	Model  string `json:"model"`
	// PrefixHash is the hash of the whole prefix up to and including the block.
	PrefixHash uint64 `json:"prefixHash,string"`
}

// Reporter reads load reports and cache events of engines.
type Reporter interface {
	// Report reads the load report. Errors: ErrNotSent, ErrConnectionLost, *StatusError.
	Report(ctx context.Context, target Target) (Report, error)
	// CacheEvents reads the events after a sequence number. It returns an empty slice if there are none.
	CacheEvents(ctx context.Context, target Target, after int64) ([]CacheEvent, error)
}

// OrderVerb is the operation of an order.
type OrderVerb string

const (
	// VerbLoad loads an artifact.
	VerbLoad OrderVerb = "load"
	// VerbUnload unloads an artifact after its running requests have finished.
	VerbUnload OrderVerb = "unload"
	// VerbSetRole changes the engine's role.
	VerbSetRole OrderVerb = "set_role"
	// VerbFence changes nothing. An engine that checks fencing tokens rejects orders with older tokens after it has
	// accepted this one.
	VerbFence OrderVerb = "fence"
)

// Order is an instruction to an engine to load or unload an artifact, to change its role, or to accept a fencing token.
type Order struct {
	ID           string    `json:"id"`
	FencingToken int64     `json:"fencingNumber"`
	Verb         OrderVerb `json:"verb"`
	Artifact     Artifact  `json:"artifact"`
	// Base is the name of the model that an adapter belongs to. It is empty for a model.
	Base string `json:"base,omitempty"`
	// Accelerators and BytesPerAccelerator are the memory reservation for a load.
	Accelerators        []int  `json:"accelerators,omitempty"`
	BytesPerAccelerator int64  `json:"bytesPerAccelerator,omitempty"`
	Role                string `json:"role,omitempty"`
}

// OrderSession is one connection to one incarnation of an engine. It never reconnects, so that an order cannot reach a
// later incarnation than the one for which it was decided. It is not safe for concurrent use.
type OrderSession interface {
	// Incarnation returns the incarnation that the engine reported on this connection before any order.
	Incarnation() string
	// Report reads the load report on this connection. Errors: ErrSessionClosed.
	Report(ctx context.Context) (Report, error)
	// Send sends one order and waits until the engine has executed it. Errors: ErrNotSent, ErrStaleFencingToken and
	// ErrOrderRejected (the order has not run and will not run), ErrSessionClosed or the error of the context (the order
	// may have run or may still run). After an error other than ErrStaleFencingToken and ErrOrderRejected the session
	// must be closed.
	Send(ctx context.Context, order Order) error
	// Close closes the connection.
	Close()
}

// OrderDialer opens order sessions.
type OrderDialer interface {
	// DialOrders opens a connection, without a retry, and reads the incarnation. Errors: ErrNotSent, ErrSessionClosed.
	DialOrders(ctx context.Context, target Target) (OrderSession, error)
}
