// Package scheduling chooses an endpoint for a call: filters rule candidates out, scorers rate the rest, a picker
// chooses. Each decision can be explained from its record.
package scheduling

import (
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
)

// Request describes a call as far as the choice of an endpoint depends on it.
type Request struct {
	ID      string
	Member  string
	Service string
	// Model is empty for a plain service; Adapter is empty unless an adapter was called.
	Model   string
	Adapter string
	// InputTokens is an estimate from the body; OutputTokens is the caller's limit or the expected number.
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

	// cached are the endpoints that hold a part of the prompt's prefix; the pipeline sets them.
	cached []CachedPrefix
}

// Candidate is an endpoint that passed all filters.
type Candidate struct {
	// State is cleared once a choice is made, so that decision records do not retain reports.
	State endpoints.State `json:"-"`
	Name  string          `json:"name"`
	// Score is the estimated cost of the choice in seconds; lower is better.
	Score float64 `json:"score"`
	// Scores has one value per scorer, in pipeline order.
	Scores []ScoreDetail `json:"scores"`
}

// ScoreDetail is the weighted score that one scorer gave.
type ScoreDetail struct {
	Scorer string  `json:"scorer"`
	Value  float64 `json:"value"`
}

// Exclusion is an endpoint that a filter ruled out.
type Exclusion struct {
	Name   string `json:"name"`
	Filter string `json:"filter"`
	Reason string `json:"reason"`
}

// Decision is the explained result of scheduling one call.
type Decision struct {
	RequestID  string      `json:"requestId"`
	Chosen     string      `json:"chosen"`
	Reason     string      `json:"reason"`
	Candidates []Candidate `json:"candidates"`
	RuledOut   []Exclusion `json:"ruledOut"`
	// Priority is the priority of the call in the engine's queue; admission sets it.
	Priority int `json:"priority"`
	// Passed and Considered count the endpoints that passed the filters and all that were looked at. The lists above are
	// bounded and may name fewer.
	Passed     int `json:"passed"`
	Considered int `json:"considered"`
	// EstimatedFirstToken is the expected time to the first token at the chosen endpoint.
	EstimatedFirstToken time.Duration `json:"estimatedFirstTokenNs"`
}
