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

func allModels(modelKey) bool { return true }

// dispatch starts waiting calls of the eligible models until none can start. A model without capacity does not block
// calls of other models.
func (c *Controller) dispatch(eligible func(modelKey) bool) {
	if c.waitingCalls == 0 || c.snapshot == nil {
		return
	}
	pass := &dispatchPass{eligible: eligible, localFraction: c.deps.Shares.LocalFraction(), states: make(map[modelKey][]endpoints.State), blocked: make(map[modelKey]bool), precedence: make(map[string]bool), headroom: make(map[string]float64)}
	for c.grantNext(pass) {
	}
}

// dispatchPass caches, for one run of dispatch, endpoint states and the models that cannot start another call.
type dispatchPass struct {
	eligible func(modelKey) bool
	// localFraction is the fraction of a full endpoint that this instance may use.
	localFraction float64
	states        map[modelKey][]endpoints.State
	blocked       map[modelKey]bool
	// precedence caches Order.hasPrecedence per member.
	precedence map[string]bool
	// headroom caches Order.headroom per member.
	headroom map[string]float64
}

// statesFor returns the states of the endpoints that serve the adapter, model or plain service of a call.
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
	for _, q := range c.deps.Order.queues(c, pass) {
		// A queue of another member with the same model may have marked it as blocked in this loop.
		if !pass.blocked[q.key] && c.grantFrom(q, pass) {
			return true
		}
	}
	return false
}

// grantFrom starts the first call of the queue for which an endpoint has capacity. It skips calls with excluded
// endpoints when only those have capacity. It returns false if no call of the queue can start now.
func (c *Controller) grantFrom(q *modelQueue, pass *dispatchPass) bool {
	firstToStart := c.deps.Order.firstToStart(q, time.Now())
	for i := range q.waiters {
		w := q.waiters[(firstToStart+i)%len(q.waiters)]
		states := pass.statesFor(c.deps.Registry, w)
		for j := range states {
			states[j].EntitledFraction = pass.endpointFraction(c, w.request.Member)
			states[j].Headroom = pass.headroomFor(c, w.request.Member)
		}
		decision, index, status := c.deps.Pipeline.Schedule(&w.request, states)
		if status == scheduling.Chosen {
			decision.Priority = pass.priorityOf(c, &w.request)
			c.setNotLoaded(q, false)
			c.grantOrRefuse(w, decision, &states[index])
			// The in-flight count changed for every model that the endpoint serves.
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
		c.setNotLoaded(q, status <= scheduling.NotLoaded)
		pass.blocked[q.key] = true
		return false
	}
	return false
}

// allExcluded reports whether every endpoint that serves the call has already failed it. Such a call does not wait for
// another endpoint to load the model, because that would delay the result of its attempts to the caller.
func allExcluded(w *waiter, states []endpoints.State) bool {
	for i := range states {
		if !slices.Contains(w.request.Exclude, states[i].Endpoint.Name) {
			return false
		}
	}
	return len(states) > 0
}

// grantOrRefuse starts the call, or refuses it if it cannot finish before its deadline.
func (c *Controller) grantOrRefuse(w *waiter, decision scheduling.Decision, state *endpoints.State) {
	duration, remaining := c.expectedDurationAt(w, state), time.Until(w.request.Deadline)
	if duration > remaining && !c.statisticsOf(w.key).allowTrial(duration, remaining) {
		c.refuse(w, c.deadlineProblem("The request cannot finish before its deadline.", c.retryAfter(w.queue)))
		return
	}
	c.grant(w, decision, state)
}

func (c *Controller) setNotLoaded(q *modelQueue, notLoaded bool) {
	if q.notLoaded == notLoaded {
		return
	}
	c.updateWaitingCounts(q, -len(q.waiters))
	q.notLoaded = notLoaded
	c.updateWaitingCounts(q, len(q.waiters))
}

func (c *Controller) grant(w *waiter, decision scheduling.Decision, state *endpoints.State) {
	expectedPrefill := scheduling.PrefillTime(&w.request, state)
	call := c.deps.Registry.Begin(state.Endpoint.Name, expectedPrefill)
	if call == nil {
		// The endpoint was removed from the declarations after its state was read. The next pass reads new states.
		return
	}
	t := &ticket{
		controller:       c,
		request:          w.request,
		key:              w.key,
		call:             call,
		expectedPrefill:  expectedPrefill,
		target:           engine.Target{Name: state.Endpoint.Name, URL: state.Endpoint.URL},
		decision:         decision,
		grantedAt:        time.Now(),
		chargedLinkBytes: c.deps.Link.Charge(&w.request, state),
		accelerators:     c.acceleratorsOf(&w.request),
	}
	// The charge precedes the dequeuing. The minimum counter, to which members that begin to wait later are lifted,
	// therefore includes it when this call stops waiting.
	t.charge = c.deps.Shares.Start(w.request.Member, w.key.String(), c.expectedCost(w, call))
	w.queue.recordStart(w)
	c.dequeue(w)
	c.running[w.key]++
	if c.deps.Prefixes != nil {
		c.deps.Prefixes.RecordSent(&w.request, t.target.Name)
	}
	c.deps.Scope.Timer("admission_wait").Record(t.grantedAt.Sub(w.enqueuedAt))
	w.result <- waitResult{ticket: t}
}

// acceleratorsOf returns the number of accelerators per copy of the called model.
func (c *Controller) acceleratorsOf(request *scheduling.Request) int {
	if model := c.snapshot.Model(request.Model); model != nil {
		return max(1, model.AcceleratorsPerCopy)
	}
	return 1
}

// expectedCost returns the cost that is charged when the call starts.
func (c *Controller) expectedCost(w *waiter, call *endpoints.Call) fairshare.Cost {
	s := c.statisticsOf(w.key)
	timePerCall := s.expectedDuration(&w.request) / time.Duration(max(1, call.InFlight()))
	return fairshare.Cost{
		InputTokens:     w.request.InputTokens,
		OutputTokens:    s.expectedOutputTokens(&w.request),
		AcceleratorTime: timePerCall * time.Duration(c.acceleratorsOf(&w.request)),
	}
}
