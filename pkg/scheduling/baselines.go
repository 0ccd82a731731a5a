package scheduling

import (
	"sync"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
)

// roundRobin takes the candidates in turn.
type roundRobin struct {
	mu   sync.Mutex
	next map[string]int
}

// NewRoundRobinPicker returns the baseline that takes the endpoints of a model in turn, whatever their load. Filters still
// apply, so that a full endpoint is passed over.
func NewRoundRobinPicker() Picker {
	return &roundRobin{next: make(map[string]int)}
}

func (p *roundRobin) Sample(request *Request, _ []endpoints.State, passed []int) []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := request.Service + "/" + request.Model + "/" + request.Adapter
	turn := p.next[key]
	p.next[key] = turn + 1
	at := turn % len(passed)
	return passed[at : at+1]
}

func (p *roundRobin) Pick([]Candidate) int { return 0 }

// LeastOutstandingScorers is the baseline that takes the endpoint with the fewest calls in flight.
func LeastOutstandingScorers() []Weighted {
	return []Weighted{{Scorer: LeastInFlight(), Weight: 1}}
}
