package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// Order decides which waiting call starts next, and which one is refused when the queue is full.
type Order interface {
	// queues returns the queues that may be able to start a call, the one whose first call is next at the front.
	queues(c *Controller, pass *dispatchPass) []*modelQueue
	// victim returns the call to refuse; byBytes is true when the bound in bytes is exceeded.
	victim(c *Controller, byBytes bool) *waiter
	// first returns the index of the call of a queue that starts first; those after it follow, then those before it.
	first(q *modelQueue, now time.Time) int
	// favours tells whether the member's calls may start at full endpoints and precede others in the engines' queues.
	favours(c *Controller, member string) bool
	// headroom returns the part of each endpoint that the member's calls must leave free, 0 to 1.
	headroom(c *Controller, member string) float64
}

// FairOrder takes members by fair share, and the models of a member by fair share within it.
type FairOrder struct{}

var _ Order = FairOrder{}

func (FairOrder) queues(c *Controller, pass *dispatchPass) []*modelQueue {
	var members []string
	for name, m := range c.members {
		if m.calls > 0 {
			members = append(members, name)
		}
	}
	c.parts.Shares.SortMembers(members)
	var queues []*modelQueue
	for _, name := range members {
		queues = append(queues, c.modelsInOrder(c.members[name], pass)...)
	}
	return queues
}

func (c *Controller) modelsInOrder(m *memberQueue, pass *dispatchPass) []*modelQueue {
	byName := make(map[string]*modelQueue, len(m.models))
	names := make([]string, 0, len(m.models))
	for key, q := range m.models {
		if !pass.mayStart(q) {
			continue
		}
		byName[key.String()] = q
		names = append(names, key.String())
	}
	c.parts.Shares.SortModels(m.name, names)
	queues := make([]*modelQueue, len(names))
	for i, name := range names {
		queues[i] = byName[name]
	}
	return queues
}

// first lets calls that can still meet their target for the first token start before those that already missed it. Under
// lasting overload the queue would otherwise hold only calls that are late, and every call that starts is one of them.
// Late calls start when no other waits, and are refused when they cannot finish before their deadline.
func (FairOrder) first(q *modelQueue, now time.Time) int { return q.firstFresh(now) }

func (FairOrder) victim(c *Controller, byBytes bool) *waiter {
	return c.heaviest(byBytes).leastUseful(time.Now())
}

// favours is true for a member within its share. An instance has only one or two calls at each of the endpoints that a noisy
// member fills through all instances. A call of a quiet member that waited for one of these to end would miss its target;
// at the head of the engine's queue it waits for the next of all calls there to end.
func (FairOrder) favours(c *Controller, member string) bool {
	return c.parts.Shares.WithinShare(member)
}

func (FairOrder) headroom(c *Controller, member string) float64 {
	return c.parts.Shares.Headroom(member)
}

// favouredPriority exceeds the difference of any two declared priorities.
const favouredPriority = 1 << 22

// priorityOf returns the priority of a call in the engine's queue.
func (p *dispatchPass) priorityOf(c *Controller, request *scheduling.Request) int {
	if p.favours(c, request.Member) {
		return request.Priority + favouredPriority
	}
	return request.Priority
}

func (p *dispatchPass) favours(c *Controller, member string) bool {
	favoured, known := p.favoured[member]
	if !known {
		favoured = c.parts.Order.favours(c, member)
		p.favoured[member] = favoured
	}
	return favoured
}

func (p *dispatchPass) headroomFor(c *Controller, member string) float64 {
	part, known := p.headroom[member]
	if !known {
		part = c.parts.Order.headroom(c, member)
		p.headroom[member] = part
	}
	return part
}

// partFor is the part of a full endpoint that this instance may fill with the member's calls.
func (p *dispatchPass) partFor(c *Controller, member string) float64 {
	if p.favours(c, member) {
		return 1
	}
	return p.part
}

// mayStart tells whether the queue has calls that were not yet found blocked in this pass.
func (p *dispatchPass) mayStart(q *modelQueue) bool {
	return len(q.waiters) > 0 && !p.blocked[q.key] && p.eligible(q.key)
}

// ArrivalOrder is the baseline that takes calls in the order of their arrival, whoever sent them.
type ArrivalOrder struct{}

var _ Order = ArrivalOrder{}

func (ArrivalOrder) queues(c *Controller, pass *dispatchPass) []*modelQueue {
	var queues []*modelQueue
	for _, m := range c.members {
		for _, q := range m.models {
			if pass.mayStart(q) {
				queues = append(queues, q)
			}
		}
	}
	slices.SortFunc(queues, func(a, b *modelQueue) int { return cmp.Compare(a.waiters[0].sequence, b.waiters[0].sequence) })
	return queues
}

func (ArrivalOrder) favours(*Controller, string) bool { return false }

func (ArrivalOrder) first(*modelQueue, time.Time) int { return 0 }

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
