// Package problem defines the RFC 9457 problem documents that callers receive for every rejection or failure.
package problem

import (
	"net/http"
	"time"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Outcome states what a caller may assume about its request.
type Outcome string

const (
	// NotRun means that the request has not run. It is used only if no byte of the request can have reached an endpoint,
	// or if the endpoint reported that the request has not run.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Failed means that the request ran and failed.
	Failed Outcome = "failed"
)

// Type identifies a kind of problem by a relative URI reference.
type Type string

// The types are part of the public interface. Clients match on them, so their meaning never changes.
const (
	TypeInvalidRequest      Type = "/problems/invalid-request"
	TypeUnauthenticated     Type = "/problems/unauthenticated"
	TypeModelNotFound       Type = "/problems/model-not-found"
	TypeServiceNotFound     Type = "/problems/service-not-found"
	TypeNotFound            Type = "/problems/not-found"
	TypeMethodNotAllowed    Type = "/problems/method-not-allowed"
	TypeBodyTooLarge        Type = "/problems/body-too-large"
	TypeHeadersTooLarge     Type = "/problems/headers-too-large"
	TypeRequestTimeout      Type = "/problems/request-timeout"
	TypeDeadlineUnreachable Type = "/problems/deadline-unreachable"
	TypeDeadlineExceeded    Type = "/problems/deadline-exceeded"
	TypeOverloaded          Type = "/problems/overloaded"
	TypeMemberLimit         Type = "/problems/member-limit"
	TypeNoEndpoint          Type = "/problems/no-endpoint"
	TypeEndpointFailed      Type = "/problems/endpoint-failed"
	TypeEndpointLost        Type = "/problems/endpoint-lost"
	TypeTruncated           Type = "/problems/response-truncated"
	TypeKeyRequired         Type = "/problems/idempotency-key-required"
	TypeKeyReused           Type = "/problems/idempotency-key-reused"
	TypeKeyExpired          Type = "/problems/idempotency-key-expired"
	TypeKeyInProgress       Type = "/problems/idempotency-key-in-progress"
	TypeKeyOutcomeUnknown   Type = "/problems/idempotency-key-outcome-unknown"
	TypeStoreUnavailable    Type = "/problems/store-unavailable"
	TypeShuttingDown        Type = "/problems/shutting-down"
	TypeNotReady            Type = "/problems/not-ready"
	TypeInternal            Type = "/problems/internal"
)

// Problem is a problem document. It implements error, so that functions can return it as an error.
type Problem struct {
	Type    Type    `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Outcome Outcome `json:"outcome"`
	// RequestID is set by the gateway when it writes the document.
	RequestID string `json:"requestId,omitempty"`
	// RetryAfter is sent as the Retry-After header, rounded up to whole seconds. Zero means that no header is sent.
	RetryAfter time.Duration `json:"-"`
}

// New returns a problem with the standard title of its HTTP status.
func New(t Type, status int, outcome Outcome, detail string) *Problem {
	return &Problem{Type: t, Title: http.StatusText(status), Status: status, Detail: detail, Outcome: outcome}
}

// WithRetryAfter returns a copy with the time after which the caller may retry.
func (p *Problem) WithRetryAfter(after time.Duration) *Problem {
	c := *p
	c.RetryAfter = after
	return &c
}

// Error returns the type and the detail.
func (p *Problem) Error() string {
	return string(p.Type) + ": " + p.Detail
}
