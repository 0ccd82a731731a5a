// Package admission decides when a call may start and which endpoint runs it. Capacity is an explicit object: a call
// acquires a Ticket and releases it; nothing else starts calls at endpoints.
package admission

import (
	"context"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// Gate admits calls.
type Gate interface {
	// Acquire waits in the member's queue until an endpoint has capacity, and reserves it. The error is a
	// *problem.Problem with outcome not_run, or the context's error. A retry of a call passes the endpoints that failed
	// in Request.Exclude.
	Acquire(ctx context.Context, request scheduling.Request) (Ticket, error)
}

// Ticket is reserved capacity at one endpoint. Release must be called exactly once.
type Ticket interface {
	// Target is the chosen endpoint.
	Target() engine.Target
	// Decision explains the choice.
	Decision() scheduling.Decision
	// Tokens records output tokens as they arrive; the first call marks the first token.
	Tokens(count int)
	// Release returns the capacity and reports how the call went.
	Release(result Result)
}

// Result says how a call at an endpoint went.
type Result struct {
	Status Status
	// InputTokens and OutputTokens are the engine's counts, zero when unknown.
	InputTokens  int
	OutputTokens int
	// Duration is the time from sending to the end of the response.
	Duration time.Duration
}

// Status classifies the end of a call for outlier detection and limits.
type Status int

const (
	// Succeeded means a complete response that does not blame the endpoint; 4xx responses count.
	Succeeded Status = iota
	// EndpointError means a connection failure, a 5xx response, a truncated or a mismatched response.
	EndpointError
	// EndpointBusy means that the endpoint refused the call without running it.
	EndpointBusy
	// Cancelled means that the caller left or the deadline passed.
	Cancelled
)
