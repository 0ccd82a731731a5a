package edge

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// Request is what a request's header says, decoded from the platform's names.
type Request struct {
	// ID is the client's id of this attempt.
	ID string
	// Remaining is how long the client waits; zero means that it did not say.
	Remaining time.Duration
	// Model and Adapter are empty for plain services.
	Model        string
	Adapter      string
	PromptTokens int
	// OutputTokens is the most that may be generated, ExpectedOutput the client's estimate; zero means unknown.
	OutputTokens   int
	ExpectedOutput int
	Parts          []fleet.PromptPart
	// LastEventID is the last event that the client has already; empty for a new stream.
	LastEventID string
}

// Forwarding is what this system says to the endpoint about a request.
type Forwarding struct {
	// Remaining is the time that the endpoint may take.
	Remaining time.Duration
	// Endpoint is the id that the endpoint must have to run the request.
	Endpoint string
	// LastEventID continues a stream after this event; empty leaves the client's own.
	LastEventID string
	// Priority is the rank in the engine's queue, 0 first; negative leaves the engine's default.
	Priority int
}

// Reply is what a response's header says.
type Reply struct {
	ID string
	// Signed responses come from an endpoint's run.
	Signed bool
	// NotRun states that the endpoint did not run the request.
	NotRun bool
	// Endpoint is the id of the endpoint that answered, when the response carries it.
	Endpoint string
}

// Wire translates between headers of the platform and the types above.
type Wire interface {
	DecodeRequest(h *fasthttp.RequestHeader) Request
	// EncodeForward turns the header of a client's request into that of the request to the endpoint.
	EncodeForward(h *fasthttp.RequestHeader, f Forwarding)
	DecodeReply(h *fasthttp.ResponseHeader) Reply
}
