package scheduling

import (
	"sync"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
)

// roundRobin selects the candidates of each model in turn.
type roundRobin struct {
	mu   sync.Mutex
	next map[string]int
}

// NewRoundRobinPicker returns the baseline that selects the endpoints of a model in turn, regardless of their load.
// Filters still apply, so full endpoints are skipped.
func NewRoundRobinPicker() Picker {
	return &roundRobin{next: make(map[string]int)}
}

func (p *roundRobin) Sample(request *Request, _ []endpoints.State, passed []int) []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := request.Service + "/" + request.Model + "/" + request.Adapter
	turn := p.next[key]
	p.next[key] = turn + 1
	index := turn % len(passed)
	return passed[index : index+1]
}

func (p *roundRobin) Pick([]Candidate) int { return 0 }

// LeastOutstandingScorers returns the baseline that selects the endpoint with the fewest calls in flight.
func LeastOutstandingScorers() []WeightedScorer {
	return []WeightedScorer{{Scorer: LeastInFlight(), Weight: 1}}
}
