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
	controller       *Controller
	request          scheduling.Request
	key              modelKey
	call             *endpoints.Call
	charge           *fairshare.Charge
	target           engine.Target
	decision         scheduling.Decision
	grantedAt        time.Time
	chargedLinkBytes int
	accelerators     int
	expectedPrefill  time.Duration

	mu           sync.Mutex
	released     bool
	firstTokenAt time.Time
	lastTokenAt  time.Time
	// firstChunkTokens counts the tokens of the first arrival; outputTokens counts all.
	firstChunkTokens int
	outputTokens     int
}

func (t *ticket) Target() engine.Target { return t.target }

func (t *ticket) Decision() scheduling.Decision { return t.decision }

func (t *ticket) RecordTokens(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastTokenAt = time.Now()
	if t.outputTokens == 0 {
		t.firstTokenAt = t.lastTokenAt
		t.firstChunkTokens = count
		t.call.FirstToken()
	}
	t.outputTokens += count
	t.charge.Progress(count)
}

// Release ignores a repeated call, so that a faulty caller cannot free capacity twice.
func (t *ticket) Release(result Result) {
	t.mu.Lock()
	if t.released {
		t.mu.Unlock()
		return
	}
	t.released = true
	if result.OutputTokens == 0 {
		result.OutputTokens = t.outputTokens
	}
	t.mu.Unlock()
	t.controller.releaseTicket(t, result)
}

// streamed reports whether tokens arrived at different times. A response that arrives as a whole gives no time to the
// first token.
func (t *ticket) streamed() bool {
	return t.lastTokenAt.After(t.firstTokenAt)
}

func (t *ticket) timeToFirstToken() time.Duration {
	if !t.streamed() {
		return 0
	}
	return t.firstTokenAt.Sub(t.grantedAt)
}

// minTokensForInterval is the length of the shortest response whose total time gives an estimate of the time between
// tokens.
const minTokensForInterval = 16

// timeBetweenTokens returns the mean time between tokens, zero when unknown. For a response that arrives as a whole it
// is estimated from the time after the expected prefill.
func (t *ticket) timeBetweenTokens(result Result) time.Duration {
	if t.streamed() && t.outputTokens > t.firstChunkTokens {
		return t.lastTokenAt.Sub(t.firstTokenAt) / time.Duration(t.outputTokens-t.firstChunkTokens)
	}
	if result.OutputTokens >= minTokensForInterval {
		return max(0, time.Since(t.grantedAt)-t.expectedPrefill) / time.Duration(result.OutputTokens)
	}
	return 0
}

// releaseTicket frees the capacity of an ended call and starts calls that wait for it.
func (c *Controller) releaseTicket(t *ticket, result Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.call.End(c.callResult(t, result))
	t.charge.Finish(t.actualCost(result))
	c.deps.Link.Settle(t.chargedLinkBytes, &t.request, result.OutputTokens)
	c.observeCall(t, result)
	c.running[t.key]--
	if c.running[t.key] == 0 {
		delete(c.running, t.key)
	}
	c.endCall(t.request.Member)
	c.dispatch(func(key modelKey) bool { return c.deps.Registry.ServesID(t.target.Name, key.service, key.id) })
}

// actualCost divides the time of the endpoint's accelerators among the calls that share them.
func (t *ticket) actualCost(result Result) fairshare.Cost {
	timePerCall := time.Since(t.grantedAt) / time.Duration(max(1, t.call.InFlight()))
	return fairshare.Cost{
		InputTokens:     result.InputTokens,
		OutputTokens:    result.OutputTokens,
		AcceleratorTime: timePerCall * time.Duration(t.accelerators),
	}
}

func (c *Controller) callResult(t *ticket, result Result) endpoints.CallResult {
	r := endpoints.CallResult{
		Outcome:       callOutcomes[result.Status],
		FirstToken:    t.timeToFirstToken(),
		BetweenTokens: t.timeBetweenTokens(result),
		Duration:      time.Since(t.grantedAt),
		Prefill:       t.expectedPrefill,
	}
	if model := c.snapshot.Model(t.request.Model); model != nil {
		r.FirstTokenTarget = targetOrDefault(model.FirstTokenTargetMs, config.DefaultFirstTokenTarget)
		r.BetweenTokensTarget = targetOrDefault(model.BetweenTokensTargetMs, config.DefaultBetweenTokensTarget)
	}
	return r
}

func targetOrDefault(milliseconds int64, defaultTarget time.Duration) time.Duration {
	if milliseconds <= 0 {
		return defaultTarget
	}
	return config.Milliseconds(milliseconds)
}

var callOutcomes = map[Status]endpoints.CallOutcome{
	Succeeded:     endpoints.CallSucceeded,
	EndpointError: endpoints.CallFailed,
	EndpointBusy:  endpoints.CallBusy,
	Cancelled:     endpoints.CallCancelled,
}
