package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// Order selects the waiting call that starts next, and the call that is refused when the queue is full.
type Order interface {
	// queues returns the queues with calls that may be able to start, in the order in which they are tried.
	queues(c *Controller, pass *dispatchPass) []*modelQueue
	// victim returns the call to refuse. byBytes reports whether the limit in bytes is exceeded.
	victim(c *Controller, byBytes bool) *waiter
	// firstToStart returns the index of the first call of a queue to try. The calls after it follow, then those before
	// it.
	firstToStart(q *modelQueue, now time.Time) int
	// hasPrecedence reports whether the member's calls may start at full endpoints and precede others in the engines'
	// queues.
	hasPrecedence(c *Controller, member string) bool
	// headroom returns the fraction of each endpoint, 0 to 1, that the member's calls must leave free.
	headroom(c *Controller, member string) float64
}

// FairOrder orders members by fair share, and the models of a member by fair share within the member.
type FairOrder struct{}

var _ Order = FairOrder{}

func (FairOrder) queues(c *Controller, pass *dispatchPass) []*modelQueue {
	var members []string
	for name, m := range c.members {
		if m.waitingCalls > 0 {
			members = append(members, name)
		}
	}
	c.deps.Shares.SortMembers(members)
	var queues []*modelQueue
	for _, name := range members {
		queues = append(queues, c.sortedModelQueues(c.members[name], pass)...)
	}
	return queues
}

func (c *Controller) sortedModelQueues(m *memberQueue, pass *dispatchPass) []*modelQueue {
	byName := make(map[string]*modelQueue, len(m.models))
	names := make([]string, 0, len(m.models))
	for key, q := range m.models {
		if !pass.canDispatch(q) {
			continue
		}
		byName[key.String()] = q
		names = append(names, key.String())
	}
	c.deps.Shares.SortModels(m.name, names)
	queues := make([]*modelQueue, len(names))
	for i, name := range names {
		queues[i] = byName[name]
	}
	return queues
}

// firstToStart prefers calls that can still meet their first-token target to calls that already missed it. Under
// lasting overload the queue would otherwise hold only late calls, and every call that starts would be late. Late calls
// start when no other call waits, and are refused when they cannot finish before their deadline.
func (FairOrder) firstToStart(q *modelQueue, now time.Time) int { return q.firstOnTime(now) }

func (FairOrder) victim(c *Controller, byBytes bool) *waiter {
	return c.heaviestMember(byBytes).shedCandidate(time.Now())
}

// hasPrecedence is true for a member within its share. A noisy member fills endpoints through all instances, while one
// instance has only one or two calls at each of them. A call of a quiet member would miss its target if it waited for
// one of this instance's calls to end. At the head of the engine's queue it waits only for the next of all running
// calls to end.
func (FairOrder) hasPrecedence(c *Controller, member string) bool {
	return c.deps.Shares.WithinShare(member)
}

func (FairOrder) headroom(c *Controller, member string) float64 {
	return c.deps.Shares.Headroom(member)
}

// precedencePriority exceeds the difference of any two declared priorities.
const precedencePriority = 1 << 22

// priorityOf returns the priority of a call in the engine's queue.
func (p *dispatchPass) priorityOf(c *Controller, request *scheduling.Request) int {
	if p.hasPrecedence(c, request.Member) {
		return request.Priority + precedencePriority
	}
	return request.Priority
}

func (p *dispatchPass) hasPrecedence(c *Controller, member string) bool {
	precedence, cached := p.precedence[member]
	if !cached {
		precedence = c.deps.Order.hasPrecedence(c, member)
		p.precedence[member] = precedence
	}
	return precedence
}

func (p *dispatchPass) headroomFor(c *Controller, member string) float64 {
	fraction, cached := p.headroom[member]
	if !cached {
		fraction = c.deps.Order.headroom(c, member)
		p.headroom[member] = fraction
	}
	return fraction
}

// endpointFraction returns the fraction of a full endpoint that this instance may fill with the member's calls.
func (p *dispatchPass) endpointFraction(c *Controller, member string) float64 {
	if p.hasPrecedence(c, member) {
		return 1
	}
	return p.localFraction
}

// canDispatch reports whether the queue has calls of an eligible model that is not blocked in this pass.
func (p *dispatchPass) canDispatch(q *modelQueue) bool {
	return len(q.waiters) > 0 && !p.blocked[q.key] && p.eligible(q.key)
}

// ArrivalOrder is the baseline that starts calls in order of arrival, regardless of the member.
type ArrivalOrder struct{}

var _ Order = ArrivalOrder{}

func (ArrivalOrder) queues(c *Controller, pass *dispatchPass) []*modelQueue {
	var queues []*modelQueue
	for _, m := range c.members {
		for _, q := range m.models {
			if pass.canDispatch(q) {
				queues = append(queues, q)
			}
		}
	}
	slices.SortFunc(queues, func(a, b *modelQueue) int { return cmp.Compare(a.waiters[0].sequence, b.waiters[0].sequence) })
	return queues
}

func (ArrivalOrder) hasPrecedence(*Controller, string) bool { return false }

func (ArrivalOrder) firstToStart(*modelQueue, time.Time) int { return 0 }

func (ArrivalOrder) headroom(*Controller, string) float64 { return 0 }

func (ArrivalOrder) victim(c *Controller, _ bool) *waiter {
	var newest *waiter
	for _, m := range c.members {
		if w := m.newest(); w != nil && (newest == nil || w.sequence > newest.sequence) {
			newest = w
		}
	}
	return newest
}
