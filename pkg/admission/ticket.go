package admission

import (
	"sync"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/fairshare"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// ticket implements Ticket.
type ticket struct {
	controller *Controller
	request    scheduling.Request
	key        modelKey
	call       *endpoints.Call
	charge     *fairshare.Charge
	target     engine.Target
	decision   scheduling.Decision
	granted    time.Time
	linkBytes  int

	mu         sync.Mutex
	released   bool
	firstToken time.Time
	lastToken  time.Time
	tokens     int
}

func (t *ticket) Target() engine.Target { return t.target }

func (t *ticket) Decision() scheduling.Decision { return t.decision }

func (t *ticket) Tokens(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastToken = time.Now()
	if t.tokens == 0 {
		t.firstToken = t.lastToken
	}
	t.tokens += count
	t.charge.Progress(count)
}

// Release ignores a second call, so that a fault of a caller cannot free capacity twice.
func (t *ticket) Release(result Result) {
	t.mu.Lock()
	if t.released {
		t.mu.Unlock()
		return
	}
	t.released = true
	if result.OutputTokens == 0 {
		result.OutputTokens = t.tokens
	}
	t.mu.Unlock()
	t.controller.released(t, result)
}

// released returns the capacity and starts calls that waited for it.
func (c *Controller) released(t *ticket, result Result) {
	t.call.End()
	t.charge.Finish(fairshare.Cost{InputTokens: result.InputTokens, OutputTokens: result.OutputTokens})
	c.parts.Link.Settle(t.linkBytes, &t.request, result.OutputTokens)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leave(t.request.Member)
	c.dispatch()
}
