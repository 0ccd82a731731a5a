package endpoints

import "time"

// CallOutcome classifies the result of a call.
type CallOutcome int

const (
	// CallSucceeded is a complete response that shows no fault of the endpoint.
	CallSucceeded CallOutcome = iota
	// CallFailed is a refused or broken connection, a 5xx response, a truncated response or the response to another
	// request.
	CallFailed
	// CallBusy means that the endpoint rejected the call for lack of capacity.
	CallBusy
	// CallCancelled means that the call was cancelled. It has no effect on the health of the endpoint.
	CallCancelled
)

// CallResult holds the measurements of a call. A zero duration is unknown.
type CallResult struct {
	Outcome CallOutcome
	// FirstToken is the time from sending to the first token. BetweenTokens is the mean time between the following
	// tokens.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Duration      time.Duration
	// Prefill is the expected time to process the part of the prompt that is not cached at the endpoint.
	Prefill time.Duration
	// FirstTokenTarget and BetweenTokensTarget are the latency targets of the model. Zero means no target.
	FirstTokenTarget    time.Duration
	BetweenTokensTarget time.Duration
}

// Call is a call of this instance at an endpoint.
type Call struct {
	registry *Registry
	entry    *entry
	// inFlight is the number of calls at the endpoint when this one was sent, including this one.
	inFlight int
	// prefill is part of the entry's pendingPrefill until the first token.
	prefill time.Duration
}

// Begin counts a call that is about to be sent. It returns nil if the endpoint is no longer declared. prefill is the
// time that the endpoint needs for the part of the prompt that it has not cached.
func (r *Registry) Begin(name string, prefill time.Duration) *Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[name]
	if e == nil {
		return nil
	}
	if e.ownInFlight == 0 {
		r.inUseCount++
	}
	e.ownInFlight++
	e.everUsed = true
	if now := time.Now(); now.After(e.prefillDoneAt) {
		e.prefillDoneAt = now
	}
	e.prefillDoneAt = e.prefillDoneAt.Add(prefill)
	e.pendingPrefill += prefill
	return &Call{registry: r, entry: e, inFlight: e.ownInFlight + r.othersInFlight(e), prefill: prefill}
}

// othersInFlight returns State.OthersInFlight for the case that no peer is stale. The caller holds the lock.
func (r *Registry) othersInFlight(e *entry) int {
	others := r.peerInFlight[e.hash]
	if r.sharesReports() && e.report != nil {
		others = max(others, e.report.Running+e.report.Waiting-e.ownInFlightAtReport)
	}
	return others
}

// FirstToken records that the endpoint has processed the prompt.
func (c *Call) FirstToken() {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	c.endPrefill(time.Now())
}

func (c *Call) endPrefill(now time.Time) {
	e := c.entry
	e.pendingPrefill -= c.prefill
	c.prefill = 0
	if latest := now.Add(e.pendingPrefill); e.prefillDoneAt.After(latest) {
		e.prefillDoneAt = latest
	}
}

// InFlight returns the number of calls at the endpoint when this one was sent, including this one.
func (c *Call) InFlight() int { return c.inFlight }

// End counts the end of the call and updates the limit, the averages and the health of the endpoint. It must be called
// exactly once. It does not call the function set with OnChange, because the caller knows that capacity is free.
func (c *Call) End(result CallResult) {
	r, e := c.registry, c.entry
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	c.endPrefill(now)
	e.ownInFlight--
	if e.ownInFlight == 0 {
		r.inUseCount--
	}
	e.limiter.observe(result, c.inFlight, e.maxCalls(), now)
	if result.Outcome == CallSucceeded {
		e.betweenTokens.observe(result.BetweenTokens)
		e.duration.observe(result.Duration)
	}
	r.recordOutcome(e, result.Outcome, now)
}

// averageWeight is the weight of the latest value in a moving average.
const averageWeight = 0.125

// movingAverage is an exponential moving average of durations. The zero value is empty.
type movingAverage struct {
	seconds float64
}

func (a *movingAverage) observe(d time.Duration) {
	switch {
	case d <= 0:
	case a.seconds == 0:
		a.seconds = d.Seconds()
	default:
		a.seconds += averageWeight * (d.Seconds() - a.seconds)
	}
}

func (a *movingAverage) duration() time.Duration {
	return time.Duration(a.seconds * float64(time.Second))
}
