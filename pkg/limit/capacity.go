package limit

// Capacity learns from how many calls on the endpoints of a service reject further ones, relative to their slots. Until one
// has rejected a call for that reason there is no limit, because endpoints may let any number of calls wait.
type Capacity struct {
	ratio float64
}

// Calls returns the number of calls up to which an endpoint with a number of slots rejects none, and whether there is a
// limit.
func (c *Capacity) Calls(slots int) (calls float64, limited bool) {
	return max(c.ratio*float64(slots), 1), c.ratio > 0
}

// Rejected records a rejection by an endpoint that states a number of calls. An endpoint whose slots are not in use rejects
// for another reason; one call may have ended since the decision.
func (c *Capacity) Rejected(calls, slots int) {
	if slots <= 0 || calls < slots-1 {
		return
	}
	if ratio := float64(calls) / float64(slots); c.ratio == 0 || ratio < c.ratio {
		c.ratio = ratio
	}
}

// Accepted records the response to a call that an endpoint has run while it states a number of calls, of which this call may
// be one.
func (c *Capacity) Accepted(calls, slots int) {
	if slots > 0 && c.ratio > 0 {
		c.ratio = max(c.ratio, float64(calls)/float64(slots))
	}
}
