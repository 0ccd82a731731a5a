package fleet

import (
	"math"
	"time"
)

// Call is one request at an endpoint. It counts as work of the endpoint from Reserve to End.
type Call struct {
	registry      *Registry
	endpoint      *Endpoint
	prefillTokens int
	urgentTokens  int
	probe         bool
	plain         bool
	// sentAt is the time of a plain call to an endpoint with stated loads; zero for others.
	sentAt time.Time
	late   bool
	// tokensAhead is the number of prompt tokens that the engine reads before the first token, and otherTime the rest of the
	// expected time to it.
	tokensAhead int
	otherTime   time.Duration
	started     bool
	ended       bool
}

// Reserve chooses an endpoint and counts the request there in one step, so that concurrent choices take each other into
// account. The call is nil if no endpoint was chosen.
func (r *Registry) Reserve(demand *Demand, distanceTo Distances, now time.Time) (Choice, *Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []*Endpoint
	for _, e := range r.endpoints {
		if e.Service == demand.Service {
			candidates = append(candidates, e)
		}
	}
	demand.partKeys = partKeys(demand.Model, demand.Adapter, demand.Parts)
	speed := speedOf(r.serviceSlowness(demand.Service, now))
	if demand.Model == "" && demand.Random != nil {
		demand.draw = PartKey(demand.Random() * math.MaxUint32)
	}
	demand.serviceLatency = r.serviceLatency(demand.Service, now)
	choice := Choose(candidates, demand, speed, distanceTo, now)
	if choice.Candidates == 0 {
		return choice, nil
	}
	e := r.endpoints[choice.ID]
	call := &Call{
		registry:      r,
		endpoint:      e,
		plain:         demand.Model == "",
		prefillTokens: max(demand.PromptTokens-choice.KeptTokens, 0),
	}
	if demand.Model != "" {
		call.late = demand.Late
		call.tokensAhead = tokensAhead(choice.Work, demand, choice.KeptTokens)
		call.otherTime = timeBesidePrefill(choice.Work, e.Slots, e.speedNow(speed, call.tokensAhead, now))
	}
	if call.plain && e.load != nil {
		call.sentAt = now
		e.load.ownSent = append(e.load.ownSent, now)
	}
	call.probe = e.stated.beginProbe(now)
	e.own.Waiting++
	if !demand.Late {
		call.urgentTokens = call.prefillTokens
	}
	e.own.PrefillTokens += call.prefillTokens
	e.own.UrgentTokens += call.urgentTokens
	e.sendRate.add(call.prefillTokens, now)
	r.recordSentParts(e, demand.partKeys, now)
	return choice, call
}

// Started records the first event or byte of the response. It returns false if one was recorded before or the call has
// ended.
func (c *Call) Started(now time.Time) bool {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	if c.started || c.ended {
		return false
	}
	c.started = true
	c.endProbe(now)
	c.endpoint.own.Waiting--
	c.endpoint.own.PrefillTokens -= c.prefillTokens
	c.endpoint.own.UrgentTokens -= c.urgentTokens
	c.endpoint.own.Running++
	c.registry.signalChange()
	return true
}

// Result is the outcome of a call as far as the endpoint is responsible for it.
type Result int

// Results of a call.
const (
	// Succeeded is a complete response.
	Succeeded Result = iota
	// Failed is a broken connection, an incomplete response or a failure of the endpoint.
	Failed
	// Unreachable means that no connection was established.
	Unreachable
	// Neutral says nothing about the endpoint's health: the client disconnected, or the endpoint refused for lack of
	// capacity.
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
	c.endProbe(now)
	c.endpoint.load.endOwn(c.sentAt)
	if c.started {
		c.endpoint.own.Running--
	} else {
		c.endpoint.own.Waiting--
		c.endpoint.own.PrefillTokens -= c.prefillTokens
		c.endpoint.own.UrgentTokens -= c.urgentTokens
	}
	c.registry.signalChange()
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

// endProbe ends the probe of a busy endpoint if this call is one. The caller holds the registry's lock.
func (c *Call) endProbe(now time.Time) {
	if c.probe {
		c.probe = false
		c.endpoint.stated.endProbe(now)
	}
}
