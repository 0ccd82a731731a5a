package endpoints

import "time"

// CallOutcome classifies the end of a call.
type CallOutcome int

const (
	// CallSucceeded is a complete response that does not blame the endpoint.
	CallSucceeded CallOutcome = iota
	// CallFailed is a refused or broken connection, a 5xx response, or a truncated or mismatched response.
	CallFailed
	// CallBusy means that the endpoint refused the call for lack of capacity.
	CallBusy
	// CallCancelled says nothing about the endpoint.
	CallCancelled
)

// CallResult is what a call showed about its endpoint. Zero durations are unknown.
type CallResult struct {
	Outcome CallOutcome
	// FirstToken is the time from sending to the first token, BetweenTokens the mean time between later ones.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Duration      time.Duration
	// Prefill is the expected time to process the part of the prompt that the endpoint had not cached.
	Prefill time.Duration
	// FirstTokenTarget and BetweenTokensTarget are the model's targets; zero means none.
	FirstTokenTarget    time.Duration
	BetweenTokensTarget time.Duration
}

// Call is one of this instance's calls at an endpoint.
type Call struct {
	registry *Registry
	entry    *entry
	// inFlight is the number of calls at the endpoint when this one was sent, itself included.
	inFlight int
	// prefill is counted as pending until the first token.
	prefill time.Duration
}

// Begin counts a call that is about to be sent; nil when the endpoint is not declared any more. Prefill is the time that
// the endpoint needs for the part of the prompt that it has not cached.
func (r *Registry) Begin(name string, prefill time.Duration) *Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[name]
	if e == nil {
		return nil
	}
	if e.own == 0 {
		r.inUse++
	}
	e.own++
	e.used = true
	if now := time.Now(); now.After(e.prefillFree) {
		e.prefillFree = now
	}
	e.prefillFree = e.prefillFree.Add(prefill)
	e.pendingPrefill += prefill
	return &Call{registry: r, entry: e, inFlight: e.own + r.othersInFlight(e), prefill: prefill}
}

// othersInFlight is State.OthersInFlight while peers are not silent. The caller holds the lock.
func (r *Registry) othersInFlight(e *entry) int {
	others := r.peerSums[e.hash]
	if r.shares() && e.report != nil {
		others = max(others, e.report.Running+e.report.Waiting-e.ownAtReport)
	}
	return others
}

// FirstToken notes that the prompt has been processed.
func (c *Call) FirstToken() {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	c.prefilled(time.Now())
}

func (c *Call) prefilled(now time.Time) {
	e := c.entry
	e.pendingPrefill -= c.prefill
	c.prefill = 0
	if latest := now.Add(e.pendingPrefill); e.prefillFree.After(latest) {
		e.prefillFree = latest
	}
}

// InFlight is the number of calls at the endpoint when this one was sent, itself included.
func (c *Call) InFlight() int { return c.inFlight }

// End counts the end of a call and learns from it. It must be called once. It does not call the function of OnChange: the
// caller knows that capacity became free.
func (c *Call) End(result CallResult) {
	r, e := c.registry, c.entry
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	c.prefilled(now)
	e.own--
	if e.own == 0 {
		r.inUse--
	}
	e.limiter.observe(result, c.inFlight, e.cap(), now)
	if result.Outcome == CallSucceeded {
		e.betweenTokens.observe(result.BetweenTokens)
		e.duration.observe(result.Duration)
	}
	r.judge(e, result.Outcome, now)
}

// averageGain is the weight of a new value in a moving average.
const averageGain = 0.125

// average is a moving average of durations. The zero value is empty.
type average struct {
	seconds float64
}

func (a *average) observe(d time.Duration) {
	switch {
	case d <= 0:
	case a.seconds == 0:
		a.seconds = d.Seconds()
	default:
		a.seconds += averageGain * (d.Seconds() - a.seconds)
	}
}

func (a *average) duration() time.Duration {
	return time.Duration(a.seconds * float64(time.Second))
}
