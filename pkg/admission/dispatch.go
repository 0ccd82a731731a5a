package admission

import (
	"net/http"
	"slices"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/fairshare"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

func everyQueue(modelKey) bool { return true }

// dispatch starts every waiting call of the eligible models that can start. A model without capacity does not hold up
// calls of other models.
func (c *Controller) dispatch(eligible func(modelKey) bool) {
	if c.calls == 0 || c.snapshot == nil {
		return
	}
	pass := &dispatchPass{eligible: eligible, part: c.parts.Shares.LocalPart(), states: make(map[modelKey][]endpoints.State), blocked: make(map[modelKey]bool), favoured: make(map[string]bool), headroom: make(map[string]float64)}
	for c.grantNext(pass) {
	}
}

// dispatchPass remembers within one dispatch which models cannot start another call.
type dispatchPass struct {
	eligible func(modelKey) bool
	// part is this instance's part of a full endpoint.
	part    float64
	states  map[modelKey][]endpoints.State
	blocked map[modelKey]bool
	// favoured remembers which members the order favours.
	favoured map[string]bool
	// headroom remembers what the calls of members must leave free.
	headroom map[string]float64
}

// statesFor reads the endpoints that have what the calls of a queue need.
func (p *dispatchPass) statesFor(registry *endpoints.Registry, w *waiter) []endpoints.State {
	states, ok := p.states[w.key]
	if ok {
		return states
	}
	switch {
	case w.request.Adapter != "":
		states = registry.AppendServing(nil, w.key.service, engine.KindAdapter, w.request.Adapter)
	case w.request.Model != "":
		states = registry.AppendServing(nil, w.key.service, engine.KindModel, w.request.Model)
	default:
		states = registry.States(w.key.service)
	}
	p.states[w.key] = states
	return states
}

func (c *Controller) grantNext(pass *dispatchPass) bool {
	for _, q := range c.parts.Order.queues(c, pass) {
		// Another member's calls for the same model may have found it blocked in this round.
		if !pass.blocked[q.key] && c.grantFrom(q, pass) {
			return true
		}
	}
	return false
}

// grantFrom starts the first call of the queue that an endpoint can take. Calls that exclude endpoints are passed over
// when only the excluded ones have capacity.
func (c *Controller) grantFrom(q *modelQueue, pass *dispatchPass) bool {
	first := c.parts.Order.first(q, time.Now())
	for i := range q.waiters {
		w := q.waiters[(first+i)%len(q.waiters)]
		states := pass.statesFor(c.parts.Registry, w)
		for j := range states {
			states[j].Part = pass.partFor(c, w.request.Member)
			states[j].Headroom = pass.headroomFor(c, w.request.Member)
		}
		decision, index, blocked := c.parts.Pipeline.Schedule(&w.request, states)
		if blocked == scheduling.Chosen {
			decision.Priority = pass.priorityOf(c, &w.request)
			c.setNotLoaded(q, false)
			c.grantOrRefuse(w, decision, &states[index])
			// The counts of the endpoint changed for every model that it serves.
			clear(pass.states)
			return true
		}
		if allExcluded(w, states) {
			c.refuse(w, problem.New(problem.TypeNoEndpoint, http.StatusServiceUnavailable, problem.NotRun,
				"The request failed at every endpoint that could run it.").WithRetryAfter(minRetryAfter))
			return true
		}
		if len(w.request.Exclude) > 0 {
			continue
		}
		c.setNotLoaded(q, blocked <= scheduling.NotLoaded)
		pass.blocked[q.key] = true
		return false
	}
	return false
}

// allExcluded tells whether every endpoint that has what the call needs failed the call before. Waiting for another one to
// load it would keep the caller from the result of its attempts.
func allExcluded(w *waiter, states []endpoints.State) bool {
	for i := range states {
		if !slices.Contains(w.request.Exclude, states[i].Endpoint.Name) {
			return false
		}
	}
	return len(states) > 0
}

// grantOrRefuse starts the call, unless it is too late for it to finish.
func (c *Controller) grantOrRefuse(w *waiter, decision scheduling.Decision, state *endpoints.State) {
	expected, remaining := c.likelyAt(w, state), time.Until(w.request.Deadline)
	if expected > remaining && !c.statisticsOf(w.key).mayTry(expected, remaining) {
		c.refuse(w, c.deadlineProblem("The request cannot finish before its deadline.", c.retryAfter(w.queue)))
		return
	}
	c.grant(w, decision, state)
}

func (c *Controller) setNotLoaded(q *modelQueue, notLoaded bool) {
	if q.notLoaded == notLoaded {
		return
	}
	c.countWaiting(q, -len(q.waiters))
	q.notLoaded = notLoaded
	c.countWaiting(q, len(q.waiters))
}

func (c *Controller) grant(w *waiter, decision scheduling.Decision, state *endpoints.State) {
	prefill := scheduling.PrefillTime(&w.request, state)
	call := c.parts.Registry.Begin(state.Endpoint.Name, prefill)
	if call == nil {
		// The endpoint was removed from the declarations after its state was read; the next pass reads new states.
		return
	}
	t := &ticket{
		controller:   c,
		request:      w.request,
		key:          w.key,
		call:         call,
		prefill:      prefill,
		target:       engine.Target{Name: state.Endpoint.Name, URL: state.Endpoint.URL},
		decision:     decision,
		granted:      time.Now(),
		linkBytes:    c.parts.Link.Charge(&w.request, state),
		accelerators: c.acceleratorsOf(&w.request),
	}
	// The charge precedes the end of the wait, so that the counters of members that come later are lifted to it.
	t.charge = c.parts.Shares.Start(w.request.Member, w.key.String(), c.expectedCost(w, call))
	w.queue.started(w)
	c.dequeue(w)
	c.running[w.key]++
	if c.parts.Prefixes != nil {
		c.parts.Prefixes.Sent(&w.request, t.target.Name)
	}
	c.parts.Scope.Timer("admission_wait").Record(t.granted.Sub(w.enqueued))
	w.done <- verdict{ticket: t}
}

// acceleratorsOf is the number of accelerators that one copy of the called model spans.
func (c *Controller) acceleratorsOf(request *scheduling.Request) int {
	if model := c.snapshot.Model(request.Model); model != nil {
		return max(1, model.AcceleratorsPerCopy)
	}
	return 1
}

// expectedCost is charged at the start of a call.
func (c *Controller) expectedCost(w *waiter, call *endpoints.Call) fairshare.Cost {
	s := c.statisticsOf(w.key)
	shared := s.likely(&w.request) / time.Duration(max(1, call.InFlight()))
	return fairshare.Cost{
		InputTokens:     w.request.InputTokens,
		OutputTokens:    s.expectedTokens(&w.request),
		AcceleratorTime: shared * time.Duration(c.acceleratorsOf(&w.request)),
	}
}
