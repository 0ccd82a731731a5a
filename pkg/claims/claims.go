// Package claims makes sure that a call that must not be repeated runs at most once, whatever callers, retries and
// instances do.
package claims

import (
	"context"

	"github.com/cockroachdb/errors"
)

var (
	// ErrKeyReused means that the key was used before with another request.
	ErrKeyReused = errors.New("idempotency key was used with another request")
	// ErrInProgress means that the first call with the key has not ended.
	ErrInProgress = errors.New("a call with this idempotency key is in progress")
	// ErrOutcomeUnknown means that a call with the key was sent or may have been sent and its response is not known.
	ErrOutcomeUnknown = errors.New("outcome of the call with this idempotency key is unknown")
	// ErrExpired means that the key is older than the window in which responses are kept.
	ErrExpired = errors.New("idempotency key has expired")
	// ErrUnavailable means that the key cannot be claimed now; nothing ran because of this call.
	ErrUnavailable = errors.New("idempotency key cannot be claimed now")
)

// Request identifies a call that must not be repeated.
type Request struct {
	Member string
	// Key is the caller's Idempotency-Key.
	Key string
	// Hash is SHA-256 over method, path and body; it tells a repetition from a reuse of the key.
	Hash [32]byte
}

// Response is what is recorded and replayed.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
}

// Grant is the right to send a call once. Exactly one of Complete and Release is called; neither is called when the
// outcome is unknown, which leaves the claim standing so that the call never runs again.
type Grant interface {
	// Complete records the response. An error means that later calls with the key get ErrOutcomeUnknown.
	Complete(ctx context.Context, response Response) error
	// Release returns the right because it is certain that nothing was sent. An error leaves the claim standing.
	Release(ctx context.Context) error
}

// Claimer grants calls.
type Claimer interface {
	// Claim returns a grant, or the recorded response of an earlier call with the key. Exactly one of the three results
	// is set. Errors: ErrKeyReused, ErrInProgress, ErrOutcomeUnknown, ErrExpired, ErrUnavailable.
	Claim(ctx context.Context, request Request) (Grant, *Response, error)
}
