package scheduling

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

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

// Picker chooses among candidates that passed the filters.
type Picker interface {
	// Sample returns the indexes of the states that are worth scoring, at least one of those given.
	Sample(request *Request, states []endpoints.State, passed []int) []int
	// Pick returns the index of the chosen candidate, of which there is at least one.
	Pick(candidates []Candidate) int
}

// Blocked tells why no endpoint was chosen. Higher values are closer to success: the pipeline returns the highest that
// applies to any endpoint.
type Blocked int

const (
	// NotDeclared means that there is no endpoint.
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
	// Index is asked once per call for the endpoints that hold its prefix; nil means none.
	Index *PrefixIndex
}

// NewPipeline applies filters in order; filters of lasting conditions should precede those of load, so that a decision
// names the lasting reason.
func NewPipeline(filters []Filter, scorers []Weighted, picker Picker) *Pipeline {
	return &Pipeline{filters: filters, scorers: scorers, picker: picker}
}

// Schedule chooses one of the states. The index is valid only with Chosen.
func (p *Pipeline) Schedule(request *Request, states []endpoints.State) (Decision, int, Blocked) {
	decision := Decision{RequestID: request.ID, Considered: len(states)}
	passed, blocked := p.filter(request, states, &decision)
	decision.Passed = len(passed)
	if len(passed) == 0 {
		decision.Reason = "no endpoint passed the filters"
		return decision, -1, blocked
	}
	if p.Index != nil {
		request.cached = p.Index.Lookup(request)
	}
	sample := p.picker.Sample(request, states, passed)
	candidates := p.score(request, states, sample)
	picked := p.picker.Pick(candidates)
	chosen := &states[sample[picked]]
	decision.Chosen = chosen.Endpoint.Name
	decision.Reason = fmt.Sprintf("lowest cost of %d scored, %d passed", len(sample), len(passed))
	decision.EstimatedFirstToken = EstimateFirstToken(request, chosen)
	decision.Candidates = listed(candidates)
	return decision, sample[picked], Chosen
}

func (p *Pipeline) filter(request *Request, states []endpoints.State, decision *Decision) ([]int, Blocked) {
	blocked := NotDeclared
	passed := make([]int, 0, len(states))
	for i := range states {
		filter, reason := p.reject(request, &states[i])
		if reason == "" {
			passed = append(passed, i)
			continue
		}
		blocked = max(blocked, blockedBy(filter))
		if len(decision.RuledOut) < maxListedExclusions {
			decision.RuledOut = append(decision.RuledOut,
				Exclusion{Name: states[i].Endpoint.Name, Filter: filter, Reason: reason})
		}
	}
	return passed, blocked
}

func (p *Pipeline) reject(request *Request, state *endpoints.State) (filter, reason string) {
	for _, f := range p.filters {
		if reason := f.Reject(request, state); reason != "" {
			return f.Name(), reason
		}
	}
	return "", ""
}

func (p *Pipeline) score(request *Request, states []endpoints.State, sample []int) []Candidate {
	candidates := make([]Candidate, len(sample))
	// One allocation holds the details of all candidates.
	details := make([]ScoreDetail, len(sample)*len(p.scorers))
	for i, at := range sample {
		c := &candidates[i]
		c.State = states[at]
		c.Name = c.State.Endpoint.Name
		c.Scores = details[i*len(p.scorers) : (i+1)*len(p.scorers)]
		for j, w := range p.scorers {
			value := w.Weight * w.Scorer.Score(request, &c.State)
			c.Scores[j] = ScoreDetail{Scorer: w.Scorer.Name(), Value: value}
			c.Score += value
		}
	}
	return candidates
}

// listed returns the cheapest candidates, lowest cost first, without their states.
func listed(candidates []Candidate) []Candidate {
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Score, b.Score) })
	candidates = slices.Clone(candidates[:min(len(candidates), maxListedCandidates)])
	for i := range candidates {
		candidates[i].State = endpoints.State{}
	}
	return candidates
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

// EstimateFirstToken is the expected time to the first token if the call were sent to the endpoint now.
func EstimateFirstToken(request *Request, state *endpoints.State) time.Duration {
	seconds := firstTokenCost(request, state) - cachedGain(request, state)
	return time.Duration(max(0, seconds) * float64(time.Second))
}

// choicesPerDistance is the number of random candidates that are scored at each distance when there are too many.
const choicesPerDistance = 2

// boundedPicker scores all candidates up to a bound. Beyond it, it scores the power of two choices: two random ones at
// each distance, and the endpoints that hold the prompt's prefix.
type boundedPicker struct {
	bound    int
	topology Topology

	mu     sync.Mutex
	random *rand.Rand
}

// NewPicker returns a picker of the lowest cost that breaks ties at random, so that instances with the same view do not
// all choose the same endpoint. With more candidates than bound it scores a sample, which costs less and spreads the
// choices of instances whose view is equally old. The seed makes a run repeatable. A nil topology means that all
// endpoints are near.
func NewPicker(bound int, topology Topology, seed uint64) Picker {
	return &boundedPicker{bound: bound, topology: topology, random: rand.New(rand.NewPCG(seed, seed))}
}

func (p *boundedPicker) Sample(request *Request, states []endpoints.State, passed []int) []int {
	if len(passed) <= p.bound {
		return passed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var seen [Distances]int
	var reservoirs [Distances][choicesPerDistance]int
	sample := make([]int, 0, Distances*choicesPerDistance+len(request.cached))
	for _, at := range passed {
		if request.holdsPrefix(states[at].Endpoint.Name) {
			sample = append(sample, at)
			continue
		}
		d := p.distance(&states[at])
		if slot := p.slot(seen[d]); slot >= 0 {
			reservoirs[d][slot] = at
		}
		seen[d]++
	}
	for d := range reservoirs {
		sample = append(sample, reservoirs[d][:min(seen[d], choicesPerDistance)]...)
	}
	return sample
}

// slot returns the place of the n-th candidate in a reservoir sample, or -1.
func (p *boundedPicker) slot(n int) int {
	if n < choicesPerDistance {
		return n
	}
	if at := p.random.IntN(n + 1); at < choicesPerDistance {
		return at
	}
	return -1
}

func (p *boundedPicker) distance(state *endpoints.State) Distance {
	if p.topology == nil {
		return SameDataCentre
	}
	return p.topology.Distance(state.Endpoint.DataCentre)
}

func (p *boundedPicker) Pick(candidates []Candidate) int {
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
