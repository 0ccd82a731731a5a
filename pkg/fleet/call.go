package fleet

import "time"

// Call is one request at an endpoint, counted from Begin to End.
type Call struct {
	registry *Registry
	endpoint *Endpoint
	prefill  int
	urgent   int
	started  bool
	ended    bool
}

// Reserve chooses an endpoint and counts the request there in one step, so that requests which are chosen at the same
// moment see each other. The call is nil when nothing was chosen.
func (r *Registry) Reserve(demand *Demand, pace Pace, distance Distances, now time.Time) (Choice, *Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []*Endpoint
	for _, e := range r.endpoints {
		if e.Service == demand.Service {
			candidates = append(candidates, e)
		}
	}
	choice := Choose(candidates, demand, pace, distance, now)
	if choice.Candidates == 0 {
		return choice, nil
	}
	e := r.endpoints[choice.ID]
	call := &Call{
		registry: r,
		endpoint: e,
		prefill:  max(demand.PromptTokens-choice.KeptTokens, 0),
	}
	e.own.Waiting++
	if !demand.Late {
		call.urgent = call.prefill
	}
	e.own.PrefillTokens += call.prefill
	e.own.UrgentTokens += call.urgent
	e.sent.add(call.prefill, now)
	e.prompts.note(demand.Model, demand.Adapter, demand.Parts)
	return choice, call
}

// Started records the first event or byte of the response and tells whether it was not recorded before.
func (c *Call) Started() bool {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	if c.started || c.ended {
		return false
	}
	c.started = true
	c.endpoint.own.Waiting--
	c.endpoint.own.PrefillTokens -= c.prefill
	c.endpoint.own.UrgentTokens -= c.urgent
	c.endpoint.own.Running++
	c.registry.signal()
	return true
}

// Result says how a call went, as far as the endpoint is to blame.
type Result int

// Results of a call.
const (
	// Succeeded is a complete response.
	Succeeded Result = iota
	// Failed is a connection that broke, a response that is not whole or a failure of the endpoint.
	Failed
	// Unreachable means that no connection was established.
	Unreachable
	// Neutral says nothing of the endpoint: the client left, or the endpoint refused for lack of room.
	Neutral
)

// End removes the call from the endpoint's work. Only the first End counts.
func (c *Call) End(result Result, now time.Time) {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	if c.started {
		c.endpoint.own.Running--
	} else {
		c.endpoint.own.Waiting--
		c.endpoint.own.PrefillTokens -= c.prefill
		c.endpoint.own.UrgentTokens -= c.urgent
	}
	c.registry.signal()
	switch result {
	case Succeeded:
		c.endpoint.Health.Succeeded()
	case Failed:
		c.endpoint.Health.Failed(now)
	case Unreachable:
		c.endpoint.Health.Unreachable(now)
	case Neutral:
	}
}
