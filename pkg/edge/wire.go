package edge

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// Request is the decoded header of a client's request.
type Request struct {
	// ID is the client's id for this attempt.
	ID string
	// Remaining is how long the client waits; zero means unknown.
	Remaining time.Duration
	// Model and Adapter are empty for plain services.
	Model        string
	Adapter      string
	PromptTokens int
	// OutputTokens is the maximum number of generated tokens, ExpectedOutput the client's estimate; zero means unknown.
	OutputTokens   int
	ExpectedOutput int
	// StatedTokens is the sum of the prompt and output tokens that the client states. HasStatedTokens is unset if it
	// states none.
	StatedTokens    int
	HasStatedTokens bool
	Parts           []fleet.PromptPart
	// LastEventID is the last event that the client has received; empty for a new stream.
	LastEventID string
	// Resumes is the ID of the attempt that brought the first event of a stream that is taken up; empty if it is not stated.
	Resumes string
	// Key is the API key; it must not be logged. KeyRepeated is set if the request has several.
	Key         string
	KeyRepeated bool
}

// Forwarding has the values that an instance adds to the header of a forwarded request.
type Forwarding struct {
	// Remaining is the time that the endpoint may take.
	Remaining time.Duration
	// Endpoint is the id of the intended endpoint. Any other endpoint must not run the request.
	Endpoint string
	// LastEventID is the event after which the stream continues; empty keeps the client's value.
	LastEventID string
	// Priority is the rank in the engine's queue, 0 first; a negative value keeps the engine's default.
	Priority int
	// UsesKeys is set if the configuration has workspaces. The client's API key and the name of a workspace that it
	// sent are then removed.
	UsesKeys bool
	// Workspace is the name of the request's workspace; empty if it has none.
	Workspace string
}

// Reply is the decoded header of an endpoint's response.
type Reply struct {
	// ID is the id of the request that the response names.
	ID string
	// Signed is set if the response has the signature of an endpoint that ran the request.
	Signed bool
	// NotRun is set if the endpoint states that it did not run the request.
	NotRun bool
	// Statement is what the endpoint says about itself.
	Statement fleet.Statement
}

// HeaderCodec translates between the platform's headers and the types above.
type HeaderCodec interface {
	DecodeRequest(h *fasthttp.RequestHeader) Request
	// EncodeForward changes the header of a client's request into the header of the request to the endpoint.
	EncodeForward(h *fasthttp.RequestHeader, f Forwarding)
	DecodeReply(h *fasthttp.ResponseHeader) Reply
}
