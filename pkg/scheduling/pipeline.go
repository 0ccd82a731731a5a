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
	// maxListedCandidates and maxListedExclusions bound the size of a decision record.
	maxListedCandidates = 16
	maxListedExclusions = 16
)

// Scorer estimates the cost of a candidate.
type Scorer interface {
	// Name is stable, because it appears in decisions.
	Name() string
	// Score returns the estimated cost of sending the call to the endpoint, in seconds; lower is better.
	Score(request *Request, state *endpoints.State) float64
}

// WeightedScorer is a scorer with the weight of its cost.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Picker selects one of the candidates that passed the filters.
type Picker interface {
	// Sample returns the indexes of the states to score, at least one of those that passed.
	Sample(request *Request, states []endpoints.State, passed []int) []int
	// Pick returns the index of the chosen candidate. There is at least one candidate.
	Pick(candidates []Candidate) int
}

// Status is the result of Schedule. Higher values are closer to a choice. Without a choice, Schedule returns the
// highest value of any endpoint.
type Status int

const (
	// NotDeclared means that no endpoint is declared.
	NotDeclared Status = iota
	// NotLoaded means that no usable endpoint has the artifact loaded.
	NotLoaded
	// Unavailable means that the endpoints with the artifact are ejected, leaving, in another role or excluded.
	Unavailable
	// Saturated means that an endpoint can run the call once it or the region link has free capacity.
	Saturated
	// Chosen means that an endpoint was chosen.
	Chosen
)

// Pipeline runs filters, scorers and a picker. It is safe for concurrent use if they are.
type Pipeline struct {
	filters []Filter
	scorers []WeightedScorer
	picker  Picker
	// Index is searched once per call for the endpoints that cache the prompt's prefix; nil disables the lookup.
	Index *PrefixIndex
}

// NewPipeline returns a pipeline that applies the filters in order. Filters of lasting conditions should precede those
// of load, so that a decision names the lasting reason.
func NewPipeline(filters []Filter, scorers []WeightedScorer, picker Picker) *Pipeline {
	return &Pipeline{filters: filters, scorers: scorers, picker: picker}
}

// Schedule chooses one of the states and returns its index. The index is valid only with Chosen.
func (p *Pipeline) Schedule(request *Request, states []endpoints.State) (Decision, int, Status) {
	decision := Decision{RequestID: request.ID, Considered: len(states)}
	passed, status := p.filter(request, states, &decision)
	decision.Passed = len(passed)
	if len(passed) == 0 {
		decision.Reason = "no endpoint passed the filters"
		return decision, -1, status
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
	decision.Candidates = cheapestCandidates(candidates)
	return decision, sample[picked], Chosen
}

func (p *Pipeline) filter(request *Request, states []endpoints.State, decision *Decision) ([]int, Status) {
	status := NotDeclared
	passed := make([]int, 0, len(states))
	for i := range states {
		filter, reason := p.reject(request, &states[i])
		if reason == "" {
			passed = append(passed, i)
			continue
		}
		status = max(status, statusOf(filter))
		if len(decision.Excluded) < maxListedExclusions {
			decision.Excluded = append(decision.Excluded,
				Exclusion{Name: states[i].Endpoint.Name, Filter: filter, Reason: reason})
		}
	}
	return passed, status
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
	// A single allocation holds the details of all candidates.
	details := make([]ScoreDetail, len(sample)*len(p.scorers))
	for i, index := range sample {
		c := &candidates[i]
		c.State = states[index]
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

// cheapestCandidates returns the candidates for the decision record, lowest cost first and without their states.
func cheapestCandidates(candidates []Candidate) []Candidate {
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Score, b.Score) })
	candidates = slices.Clone(candidates[:min(len(candidates), maxListedCandidates)])
	for i := range candidates {
		candidates[i].State = endpoints.State{}
	}
	return candidates
}

func statusOf(filter string) Status {
	switch filter {
	case FilterArtifact:
		return NotLoaded
	case FilterConcurrency, FilterRegionLink:
		return Saturated
	}
	return Unavailable
}

// EstimateFirstToken returns the expected time to the first token if the endpoint receives the call now.
func EstimateFirstToken(request *Request, state *endpoints.State) time.Duration {
	seconds := firstTokenSeconds(request, state) - cachedPrefixSeconds(request, state)
	return time.Duration(max(0, seconds) * float64(time.Second))
}

// samplesPerDistance is the number of random candidates that are scored at each distance when more than maxScored
// candidates passed the filters.
const samplesPerDistance = 2

// boundedPicker scores all candidates up to maxScored. With more candidates it scores a sample by the power of two
// choices: two random candidates at each distance, plus the endpoints that cache the prompt's prefix.
type boundedPicker struct {
	maxScored int
	topology  Topology

	mu     sync.Mutex
	random *rand.Rand
}

// NewPicker returns a picker that selects the candidate with the lowest cost. It breaks ties at random, so that
// instances with the same state do not all choose the same endpoint. With more than maxScored candidates it scores a
// sample, which costs less and spreads the choices of instances whose states are equally old. The seed makes a run
// repeatable. A nil topology treats all endpoints as being in the same data centre.
func NewPicker(maxScored int, topology Topology, seed uint64) Picker {
	return &boundedPicker{maxScored: maxScored, topology: topology, random: rand.New(rand.NewPCG(seed, seed))}
}

func (p *boundedPicker) Sample(request *Request, states []endpoints.State, passed []int) []int {
	if len(passed) <= p.maxScored {
		return passed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var seen [DistanceCount]int
	var reservoirs [DistanceCount][samplesPerDistance]int
	sample := make([]int, 0, DistanceCount*samplesPerDistance+len(request.cached))
	for _, index := range passed {
		if request.hasCachedPrefix(states[index].Endpoint.Name) {
			sample = append(sample, index)
			continue
		}
		d := p.distance(&states[index])
		if slot := p.reservoirSlot(seen[d]); slot >= 0 {
			reservoirs[d][slot] = index
		}
		seen[d]++
	}
	for d := range reservoirs {
		sample = append(sample, reservoirs[d][:min(seen[d], samplesPerDistance)]...)
	}
	return sample
}

// reservoirSlot returns the slot of the n-th candidate in a reservoir sample, or -1 if the candidate is dropped.
func (p *boundedPicker) reservoirSlot(n int) int {
	if n < samplesPerDistance {
		return n
	}
	if slot := p.random.IntN(n + 1); slot < samplesPerDistance {
		return slot
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
