package admission

import (
	"cmp"
	"slices"
)

// Order decides which waiting call starts next, and which one is refused when the queue is full.
type Order interface {
	// queues returns the queues that may be able to start a call, the one whose first call is next at the front.
	queues(c *Controller, pass *dispatchPass) []*modelQueue
	// victim returns the call to refuse; byBytes is true when the bound in bytes is exceeded.
	victim(c *Controller, byBytes bool) *waiter
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

func (FairOrder) victim(c *Controller, byBytes bool) *waiter {
	return c.heaviest(byBytes).newest()
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

func (ArrivalOrder) victim(c *Controller, _ bool) *waiter {
	var newest *waiter
	for _, m := range c.members {
		if w := m.newest(); w != nil && (newest == nil || w.sequence > newest.sequence) {
			newest = w
		}
	}
	return newest
}
