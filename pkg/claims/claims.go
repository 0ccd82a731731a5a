// Package claims ensures that a call that must not be repeated runs at most once, across retries, callers and
// instances. Such a call carries an idempotency key, which is claimed before the call is sent.
package claims

import (
	"context"

	"github.com/cockroachdb/errors"
)

var (
	// ErrKeyReused means that the key was already used with another request.
	ErrKeyReused = errors.New("idempotency key was used with another request")
	// ErrInProgress means that the first call with the key is still running.
	ErrInProgress = errors.New("a call with this idempotency key is in progress")
	// ErrOutcomeUnknown means that a call with the key was or may have been sent and its response is not known.
	ErrOutcomeUnknown = errors.New("outcome of the call with this idempotency key is unknown")
	// ErrExpired means that the key is older than ResponseWindow, the time for which responses are kept.
	ErrExpired = errors.New("idempotency key has expired")
	// ErrUnavailable means that the key cannot be claimed now. This call was not sent.
	ErrUnavailable = errors.New("idempotency key cannot be claimed now")
)

// Request identifies a call that must not be repeated.
type Request struct {
	Member string
	// Key is the caller's Idempotency-Key.
	Key string
	// Hash is the SHA-256 hash of method, path, query and body. It distinguishes a repeated call from a reuse of the
	// key for another call.
	Hash [32]byte
}

// Response is the response to a call, as recorded and replayed.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
}

// Grant is the permission to send a call once. The holder calls at most one of Complete and Release. It calls neither
// if the outcome is unknown; the claim is then kept, so that the call never runs again.
type Grant interface {
	// Complete records the response. After an error, later calls with the key get ErrOutcomeUnknown.
	Complete(ctx context.Context, response Response) error
	// Release gives the grant back. It may be called only if it is certain that the call did not run. After an error,
	// the claim is kept.
	Release(ctx context.Context) error
}

// Claimer claims idempotency keys.
type Claimer interface {
	// Claim returns a grant, the recorded response of an earlier call with the key, or an error. Exactly one of the
	// three results is set. Errors: ErrKeyReused, ErrInProgress, ErrOutcomeUnknown, ErrExpired, ErrUnavailable.
	Claim(ctx context.Context, request Request) (Grant, *Response, error)
}
