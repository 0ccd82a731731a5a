package scheduling

import (
	"math/rand/v2"
	"sync"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
)

const (
	// maxListedCandidates and maxListedExclusions bound a decision record.
	maxListedCandidates = 16
	maxListedExclusions = 16
)

// Scorer rates a candidate.
type Scorer interface {
	// Name is stable; it appears in decisions.
	Name() string
	// Score returns the estimated cost of sending the call to the endpoint, in seconds; lower is better.
	Score(request *Request, state *endpoints.State) float64
}

// Weighted is a scorer with the weight of its cost.
type Weighted struct {
	Scorer Scorer
	Weight float64
}

// Picker chooses among candidates, of which there is at least one, and returns an index.
type Picker interface {
	Pick(candidates []Candidate) int
}

// Blocked tells why no endpoint was chosen. Higher values are closer to success: the pipeline returns the highest that
// applies to any endpoint.
type Blocked int

const (
	// NotDeclared means that the service has no endpoints.
	NotDeclared Blocked = iota
	// NotLoaded means that no usable endpoint has the artifact loaded.
	NotLoaded
	// Unavailable means that the endpoints with the artifact are ejected, leaving, in another role or excluded.
	Unavailable
	// Saturated means that an endpoint could run the call once it or the region link has capacity.
	Saturated
	// Chosen means that an endpoint was chosen.
	Chosen
)

// Pipeline runs filters, scorers and a picker. It is safe for concurrent use when its parts are.
type Pipeline struct {
	filters []Filter
	scorers []Weighted
	picker  Picker
}

// NewPipeline applies filters in order; filters of lasting conditions should precede those of load, so that a decision
// names the lasting reason.
func NewPipeline(filters []Filter, scorers []Weighted, picker Picker) *Pipeline {
	return &Pipeline{filters: filters, scorers: scorers, picker: picker}
}

// Schedule chooses one of the states. The index is valid only with Chosen.
func (p *Pipeline) Schedule(request *Request, states []endpoints.State) (Decision, int, Blocked) {
	decision := Decision{RequestID: request.ID}
	blocked := NotDeclared
	var candidates []Candidate
	var indexes []int
	for i := range states {
		state := &states[i]
		filter, reason := p.reject(request, state)
		if reason != "" {
			blocked = max(blocked, blockedBy(filter))
			if len(decision.RuledOut) < maxListedExclusions {
				decision.RuledOut = append(decision.RuledOut,
					Exclusion{Name: state.Endpoint.Name, Filter: filter, Reason: reason})
			}
			continue
		}
		candidates = append(candidates, Candidate{State: *state, Name: state.Endpoint.Name})
		indexes = append(indexes, i)
	}
	if len(candidates) == 0 {
		decision.Reason = "no endpoint passed the filters"
		return decision, -1, blocked
	}
	p.score(request, candidates)
	picked := p.picker.Pick(candidates)
	decision.Chosen = candidates[picked].Name
	decision.Reason = "lowest cost"
	decision.Candidates = candidates
	return decision, indexes[picked], Chosen
}

func (p *Pipeline) reject(request *Request, state *endpoints.State) (filter, reason string) {
	for _, f := range p.filters {
		if reason := f.Reject(request, state); reason != "" {
			return f.Name(), reason
		}
	}
	return "", ""
}

func (p *Pipeline) score(request *Request, candidates []Candidate) {
	for i := range candidates {
		c := &candidates[i]
		for _, w := range p.scorers {
			value := w.Weight * w.Scorer.Score(request, &c.State)
			c.Scores = append(c.Scores, ScoreDetail{Scorer: w.Scorer.Name(), Value: value})
			c.Score += value
		}
	}
}

func blockedBy(filter string) Blocked {
	switch filter {
	case FilterArtifact:
		return NotLoaded
	case FilterConcurrency, FilterRegionLink:
		return Saturated
	}
	return Unavailable
}

// leastInFlight spreads calls evenly.
type leastInFlight struct{}

// LeastInFlight costs one second per call in flight relative to the limit.
func LeastInFlight() Scorer { return leastInFlight{} }

func (leastInFlight) Name() string { return "in-flight" }

func (leastInFlight) Score(_ *Request, state *endpoints.State) float64 {
	return float64(state.InFlight()) / float64(max(1, state.ConcurrencyLimit))
}

// lowestCost picks the candidate with the lowest cost.
type lowestCost struct {
	mu     sync.Mutex
	random *rand.Rand
}

// LowestCost picks the lowest cost and breaks ties at random, so that instances with the same view do not all choose the
// same endpoint. The seed makes a run repeatable.
func LowestCost(seed uint64) Picker {
	return &lowestCost{random: rand.New(rand.NewPCG(seed, seed))}
}

func (p *lowestCost) Pick(candidates []Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, ties := 0, 1
	for i := 1; i < len(candidates); i++ {
		switch {
		case candidates[i].Score < candidates[best].Score:
			best, ties = i, 1
		case candidates[i].Score == candidates[best].Score:
			ties++
			if p.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
