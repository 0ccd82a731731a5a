// Package admission decides when a call may start and which endpoint runs it. A call acquires a Ticket for capacity at
// an endpoint and releases it at its end. No call starts at an endpoint without a Ticket.
package admission

import (
	"context"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// Gate admits calls.
type Gate interface {
	// Acquire queues the call for its member until an endpoint has capacity, and reserves that capacity. The error is a
	// *problem.Problem with outcome not_run, or the context's error. A retry lists the endpoints that failed in
	// Request.Exclude.
	Acquire(ctx context.Context, request scheduling.Request) (Ticket, error)
}

// Ticket is reserved capacity at one endpoint. Release must be called exactly once.
type Ticket interface {
	// Target returns the chosen endpoint.
	Target() engine.Target
	// Decision returns the record of the choice.
	Decision() scheduling.Decision
	// RecordTokens records the arrival of output tokens. Its first use marks the first token.
	RecordTokens(count int)
	// Release frees the capacity and reports the result of the call.
	Release(result Result)
}

// Result describes the end of a call at an endpoint.
type Result struct {
	Status Status
	// InputTokens and OutputTokens are counted by the engine; zero when unknown.
	InputTokens  int
	OutputTokens int
	// Duration is the time from sending the request to the end of the response.
	Duration time.Duration
}

// Status classifies the end of a call for outlier detection and limits.
type Status int

const (
	// Succeeded means a complete response that shows no fault of the endpoint, 4xx responses included.
	Succeeded Status = iota
	// EndpointError means a connection failure, a 5xx response, or a truncated or mismatched response.
	EndpointError
	// EndpointBusy means that the endpoint refused the call without running it.
	EndpointBusy
	// Cancelled means that the caller disconnected or the deadline passed.
	Cancelled
)
