// Package engine is the interface of a model engine: inference, load reports, cache events and orders. Adapters
// translate it to a wire protocol; nothing else in the system knows that protocol.
package engine

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNotSent means that no byte of the request can have reached the engine, or that the engine said that it did not
	// run the request.
	ErrNotSent = errors.New("request was not sent")
	// ErrConnectionLost means that the connection broke after bytes were sent; the request may have run.
	ErrConnectionLost = errors.New("connection to endpoint lost")
	// ErrTruncated means that a response ended before its announced or structural end.
	ErrTruncated = errors.New("response truncated")
	// ErrRequestIDMismatch means that the response carries another request's id; it was dropped.
	ErrRequestIDMismatch = errors.New("response belongs to another request")
	// ErrResumeUnsupported means that the engine cannot resume this stream.
	ErrResumeUnsupported = errors.New("stream cannot be resumed")
	// ErrStaleFencingNumber means that the engine refused an order because it accepted a newer fencing number.
	ErrStaleFencingNumber = errors.New("fencing number is stale")
	// ErrSessionClosed means that the order session's connection broke. An order sent on it has an unknown outcome.
	ErrSessionClosed = errors.New("order session closed")
	// ErrOrderRejected means that the engine refused the order without carrying it out, for example for lack of memory.
	ErrOrderRejected = errors.New("order rejected by engine")
)

// StatusError is a complete HTTP response of the endpoint that reports a failure.
type StatusError struct {
	Status int
	Body   []byte
	// NotRun is true when the endpoint stated that it did not run the request (status 429 or 503 with the header
	// X-Not-Run: true).
	NotRun bool
	// RetryAfter is zero when the endpoint named none.
	RetryAfter time.Duration
}

// Error returns the status.
func (e *StatusError) Error() string {
	return "endpoint returned status " + strconv.Itoa(e.Status)
}

// Target names an endpoint and where to reach it.
type Target struct {
	Name string
	// URL is scheme, IP address and port, without a trailing slash.
	URL string
}

// Call is one inference request.
type Call struct {
	RequestID string
	// Path is the OpenAI-compatible path, such as /v1/chat/completions.
	Path string
	// Body is the JSON body as the engine receives it.
	Body []byte
	// Priority orders requests in the engine's queue; higher runs first.
	Priority int
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Response is a complete, verified response to a non-streamed call.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// InputTokens and OutputTokens are the engine's counts, zero when it named none.
	InputTokens  int
	OutputTokens int
}

// Chunk is one server-sent event of a stream.
type Chunk struct {
	// Offset numbers the chunks of a stream from zero.
	Offset int
	// Data is the event's data without framing. The slice belongs to the receiver.
	Data []byte
	// Tokens is the number of output tokens that the chunk carries.
	Tokens int
	// InputTokens is the engine's count; zero except in the chunk that carries it, which is usually the last.
	InputTokens int
	// Finish is true when the chunk carries a finish reason; a stream without one is not complete.
	Finish bool
}

// Stream yields the chunks of one streamed call in order.
type Stream interface {
	// Next returns the next chunk. io.EOF follows the engine's regular end of stream and nothing else. Errors:
	// ErrConnectionLost, ErrTruncated, ErrRequestIDMismatch.
	Next() (Chunk, error)
	// Close releases the connection and cancels the request at the engine when the stream has not ended.
	Close()
}

// Inference sends calls to engines. Implementations never retry by themselves.
type Inference interface {
	// Complete runs a non-streamed call. Errors: ErrNotSent, ErrConnectionLost, ErrTruncated, ErrRequestIDMismatch,
	// *StatusError, or the context's error, which leaves the outcome unknown.
	Complete(ctx context.Context, target Target, call Call) (Response, error)
	// Open starts a streamed call, or resumes it after the first `offset` chunks when offset is positive. Errors: as
	// Complete, and ErrResumeUnsupported.
	Open(ctx context.Context, target Target, call Call, offset int) (Stream, error)
}

// Canceller ends requests whose connection is already gone.
type Canceller interface {
	// Cancel asks the engine in the background to stop the request; it does not report whether that succeeded.
	Cancel(target Target, requestID string)
}

// CacheTransfer moves KV cache blocks between engines.
type CacheTransfer interface {
	// ExportCache returns the blocks of a prefix in the engine's own format. Errors: as Inference.Complete.
	ExportCache(ctx context.Context, target Target, model string, prefixHashes []uint64) ([]byte, error)
	// ImportCache stores exported blocks. Errors: as Inference.Complete.
	ImportCache(ctx context.Context, target Target, model string, blocks []byte) error
}

// ArtifactKind tells models from adapters.
type ArtifactKind string

const (
	// KindModel is a model's weights with its KV cache reserve.
	KindModel ArtifactKind = "model"
	// KindAdapter is an adapter of a loaded model.
	KindAdapter ArtifactKind = "adapter"
)

// Artifact identifies something that an engine can load.
type Artifact struct {
	Kind    ArtifactKind `json:"kind"`
	Name    string       `json:"name"`
	Version string       `json:"version"`
}

// ArtifactState is the state of an artifact as the engine reports it.
type ArtifactState string

const (
	// StateLoading means that memory is taken and the artifact cannot serve yet.
	StateLoading ArtifactState = "loading"
	// StateLoaded means that the artifact serves.
	StateLoaded ArtifactState = "loaded"
	// StateUnloading means that memory is still taken and the artifact no longer serves.
	StateUnloading ArtifactState = "unloading"
)

// LoadedArtifact is an artifact that takes accelerator memory.
type LoadedArtifact struct {
	Artifact
	State ArtifactState `json:"state"`
	// Accelerators are the indexes of the accelerators that hold it.
	Accelerators []int `json:"accelerators"`
	// BytesPerAccelerator includes the KV cache reserve of a model.
	BytesPerAccelerator int64 `json:"bytesPerAccelerator"`
	// OrderID is the order that loaded it; empty when it was loaded at start.
	OrderID string `json:"orderId"`
}

// Report is an engine's load report. It lags behind the engine's state.
type Report struct {
	// Incarnation changes each time the engine process starts; a new incarnation starts with empty memory unless its
	// report says otherwise.
	Incarnation string `json:"incarnation"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// MaxRunning is the batch size limit.
	MaxRunning int `json:"maxRunning"`
	// KVCacheUsage is the used fraction of the KV cache, 0 to 1.
	KVCacheUsage float64 `json:"kvCacheUsage"`
	// PrefillTokensPerSecond and DecodeTokensPerSecond are recent rates over all requests.
	PrefillTokensPerSecond float64 `json:"prefillTokensPerSecond"`
	DecodeTokensPerSecond  float64 `json:"decodeTokensPerSecond"`
	// Artifacts are all artifacts that take memory.
	Artifacts []LoadedArtifact `json:"artifacts"`
	// HighestFencingNumber is the newest accepted number; zero on an engine that does not check.
	HighestFencingNumber int64 `json:"highestFencingNumber"`
	// LastOrders are the ids of recently executed orders, newest last.
	LastOrders []string `json:"lastOrders"`
	// Leaving is true when the engine accepts no new work.
	Leaving bool `json:"leaving"`
	// Role is the engine's current role.
	Role string `json:"role"`
}

// CacheEvent says that an engine stored or evicted a block of prompt prefix. Events come late and with gaps.
type CacheEvent struct {
	// Sequence increases by one per event of an incarnation; a gap means that events were lost.
	Sequence int64 `json:"sequence"`
	// Stored is false when the block was evicted.
	Stored bool   `json:"stored"`
	Model  string `json:"model"`
	// PrefixHash is the hash of the whole prefix up to and including the block.
	PrefixHash uint64 `json:"prefixHash,string"`
}

// Reporter reads what an engine tells about itself.
type Reporter interface {
	// Report reads the engine's load report. Errors: ErrNotSent, ErrConnectionLost, *StatusError.
	Report(ctx context.Context, target Target) (Report, error)
	// CacheEvents reads events after a sequence number; it returns an empty slice when there are none.
	CacheEvents(ctx context.Context, target Target, after int64) ([]CacheEvent, error)
}

// OrderVerb is what an order asks for.
type OrderVerb string

const (
	// VerbLoad loads an artifact.
	VerbLoad OrderVerb = "load"
	// VerbUnload unloads an artifact after its running requests finished.
	VerbUnload OrderVerb = "unload"
	// VerbSetRole changes the engine's role.
	VerbSetRole OrderVerb = "set_role"
	// VerbFence changes nothing; on an engine that checks fencing numbers its acceptance outdates older orders.
	VerbFence OrderVerb = "fence"
)

// Order changes what an engine holds.
type Order struct {
	ID            string    `json:"id"`
	FencingNumber int64     `json:"fencingNumber"`
	Verb          OrderVerb `json:"verb"`
	Artifact      Artifact  `json:"artifact"`
	// Base is the name of the model that an adapter belongs to; empty for a model.
	Base string `json:"base,omitempty"`
	// Accelerators and BytesPerAccelerator state the reservation for a load.
	Accelerators        []int  `json:"accelerators,omitempty"`
	BytesPerAccelerator int64  `json:"bytesPerAccelerator,omitempty"`
	Role                string `json:"role,omitempty"`
}

// OrderSession is one connection to one incarnation of an engine. It is never redialled, so that an order cannot reach
// a later incarnation than the one it was decided for. It is not safe for concurrent use.
type OrderSession interface {
	// Incarnation is what the engine reported on this connection before any order.
	Incarnation() string
	// Report reads the load report on this connection. Errors: ErrSessionClosed.
	Report(ctx context.Context) (Report, error)
	// Send sends one order and waits until the engine has carried it out. Errors: ErrNotSent, ErrStaleFencingNumber and
	// ErrOrderRejected (in these three the order did not and will not run), ErrSessionClosed or the context's error (the
	// order may run or may still run later). After an error other than ErrStaleFencingNumber and ErrOrderRejected the
	// session must be closed.
	Send(ctx context.Context, order Order) error
	// Close closes the connection.
	Close()
}

// OrderDialer opens order sessions.
type OrderDialer interface {
	// DialOrders connects once and reads the incarnation. Errors: ErrNotSent, ErrSessionClosed.
	DialOrders(ctx context.Context, target Target) (OrderSession, error)
}
