package admission

// MemberStats counts one member's calls at this instance.
type MemberStats struct {
	Running int
	Waiting int
}

// Stats counts this instance's calls.
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
		counts := MemberStats{Running: m.inProgress - m.calls, Waiting: m.calls}
		s.Members[name] = counts
		s.Running += counts.Running
		s.Waiting += counts.Waiting
	}
	return s
}
