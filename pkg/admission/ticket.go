package admission

import (
	"sync"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/fairshare"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// ticket implements Ticket.
type ticket struct {
	controller   *Controller
	request      scheduling.Request
	key          modelKey
	call         *endpoints.Call
	charge       *fairshare.Charge
	target       engine.Target
	decision     scheduling.Decision
	granted      time.Time
	linkBytes    int
	accelerators int
	prefill      time.Duration

	mu         sync.Mutex
	released   bool
	firstToken time.Time
	lastToken  time.Time
	// firstCount is the number of tokens that arrived first; tokens counts all.
	firstCount int
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
		t.firstCount = count
		t.call.FirstToken()
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

// streamed tells whether tokens arrived at more than one time. A response that came as a whole says nothing about its
// first token.
func (t *ticket) streamed() bool {
	return t.lastToken.After(t.firstToken)
}

func (t *ticket) timeToFirstToken() time.Duration {
	if !t.streamed() {
		return 0
	}
	return t.firstToken.Sub(t.granted)
}

// minTokensForPace is the shortest response whose total time says something about the time between tokens.
const minTokensForPace = 16

// timeBetweenTokens is the mean time. Of a response that came as a whole it is estimated from the time after the expected
// prefill.
func (t *ticket) timeBetweenTokens(result Result) time.Duration {
	if t.streamed() && t.tokens > t.firstCount {
		return t.lastToken.Sub(t.firstToken) / time.Duration(t.tokens-t.firstCount)
	}
	if result.OutputTokens >= minTokensForPace {
		return max(0, time.Since(t.granted)-t.prefill) / time.Duration(result.OutputTokens)
	}
	return 0
}

// released returns the capacity and starts calls that waited for it.
func (c *Controller) released(t *ticket, result Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.call.End(c.callResult(t, result))
	t.charge.Finish(t.actualCost(result))
	c.parts.Link.Settle(t.linkBytes, &t.request, result.OutputTokens)
	c.learn(t, result)
	c.running[t.key]--
	if c.running[t.key] == 0 {
		delete(c.running, t.key)
	}
	c.leave(t.request.Member)
	c.dispatch(func(key modelKey) bool { return c.parts.Registry.ServesID(t.target.Name, key.service, key.id) })
}

// actualCost counts the time of the endpoint's accelerators divided among the calls that shared them.
func (t *ticket) actualCost(result Result) fairshare.Cost {
	shared := time.Since(t.granted) / time.Duration(max(1, t.call.InFlight()))
	return fairshare.Cost{
		InputTokens:     result.InputTokens,
		OutputTokens:    result.OutputTokens,
		AcceleratorTime: shared * time.Duration(t.accelerators),
	}
}

func (c *Controller) callResult(t *ticket, result Result) endpoints.CallResult {
	r := endpoints.CallResult{
		Outcome:       outcomes[result.Status],
		FirstToken:    t.timeToFirstToken(),
		BetweenTokens: t.timeBetweenTokens(result),
		Duration:      time.Since(t.granted),
		Prefill:       t.prefill,
	}
	if model := c.snapshot.Model(t.request.Model); model != nil {
		r.FirstTokenTarget = targetOf(model.FirstTokenTargetMs, config.DefaultFirstTokenTarget)
		r.BetweenTokensTarget = targetOf(model.BetweenTokensTargetMs, config.DefaultBetweenTokensTarget)
	}
	return r
}

func targetOf(milliseconds int64, standard time.Duration) time.Duration {
	if milliseconds <= 0 {
		return standard
	}
	return config.Milliseconds(milliseconds)
}

var outcomes = map[Status]endpoints.CallOutcome{
	Succeeded:     endpoints.CallSucceeded,
	EndpointError: endpoints.CallFailed,
	EndpointBusy:  endpoints.CallBusy,
	Cancelled:     endpoints.CallCancelled,
}
