// Package scheduling chooses an endpoint for a call. Filters exclude candidates, scorers estimate the cost of the
// others, and a picker selects one. A decision record explains each choice.
package scheduling

import (
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
)

// Request describes a call for the choice of an endpoint.
type Request struct {
	ID      string
	Member  string
	Service string
	// Model is empty for a plain service; Adapter is empty unless an adapter was called.
	Model   string
	Adapter string
	// InputTokens is estimated from the body. OutputTokens is the caller's limit or the expected number.
	InputTokens  int
	OutputTokens int
	// PrefixHashes are the hashes of the prompt's leading blocks, longest prefix last.
	PrefixHashes []uint64
	// Bytes is the size of the request body.
	Bytes    int
	Priority int
	Deadline time.Time
	// Exclude names endpoints that already failed this call.
	Exclude []string

	// cached lists the endpoints that hold leading blocks of the prompt; the pipeline sets it.
	cached []CachedPrefix
}

// Candidate is an endpoint that passed all filters.
type Candidate struct {
	// State is cleared after the choice, so that decision records do not retain reports.
	State endpoints.State `json:"-"`
	Name  string          `json:"name"`
	// Score is the estimated cost in seconds; lower is better.
	Score float64 `json:"score"`
	// Scores has one entry per scorer, in pipeline order.
	Scores []ScoreDetail `json:"scores"`
}

// ScoreDetail is the weighted cost from one scorer.
type ScoreDetail struct {
	Scorer string  `json:"scorer"`
	Value  float64 `json:"value"`
}

// Exclusion is an endpoint that a filter excluded.
type Exclusion struct {
	Name   string `json:"name"`
	Filter string `json:"filter"`
	Reason string `json:"reason"`
}

// Decision records the choice of an endpoint for one call.
type Decision struct {
	RequestID  string      `json:"requestId"`
	Chosen     string      `json:"chosen"`
	Reason     string      `json:"reason"`
	Candidates []Candidate `json:"candidates"`
	Excluded   []Exclusion `json:"ruledOut"`
	// Priority is the priority of the call in the engine's queue; admission sets it.
	Priority int `json:"priority"`
	// Passed counts the endpoints that passed the filters, Considered all endpoints. The lists above are bounded and
	// may be shorter.
	Passed     int `json:"passed"`
	Considered int `json:"considered"`
	// EstimatedFirstToken is the expected time to the first token at the chosen endpoint.
	EstimatedFirstToken time.Duration `json:"estimatedFirstTokenNs"`
}
