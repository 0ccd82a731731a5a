package admission

// MemberStats counts the calls of one member at this instance.
type MemberStats struct {
	Running int
	Waiting int
}

// Stats counts the calls of this instance.
type Stats struct {
	Running int
	Waiting int
	Members map[string]MemberStats
}

// Stats returns the current counts.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Stats{Members: make(map[string]MemberStats, len(c.members))}
	for name, m := range c.members {
		counts := MemberStats{Running: m.inProgress - m.waitingCalls, Waiting: m.waitingCalls}
		s.Members[name] = counts
		s.Running += counts.Running
		s.Waiting += counts.Waiting
	}
	return s
}
