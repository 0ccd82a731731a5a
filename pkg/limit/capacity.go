package limit

import "time"

// Capacity learns from how many calls on the endpoints of a service reject further ones, relative to their slots. Until one
// has rejected a call for that reason there is no limit, because endpoints may let any number of calls wait.
type Capacity struct {
	ratio float64
	// rejectedAt is the time of the latest rejection that confirms the ratio.
	rejectedAt time.Time
}

// capacityTime is the time after the latest rejection for which a capacity is used. One rejection a minute shows whether it
// still holds.
const capacityTime = time.Minute

// Calls returns the number of calls up to which an endpoint with a number of slots rejects none, and whether there is a
// limit.
func (c *Capacity) Calls(slots int, now time.Time) (calls float64, limited bool) {
	return max(c.ratio*float64(slots), 1), c.ratio > 0 && now.Sub(c.rejectedAt) < capacityTime
}

// Rejected records a rejection by an endpoint that states a number of calls. An endpoint whose slots are not in use rejects
// for another reason; one call may have ended since the decision. It reports whether the capacity changed.
func (c *Capacity) Rejected(calls, slots int, now time.Time) bool {
	if slots <= 0 || calls < slots-1 {
		return false
	}
	_, limited := c.Calls(slots, now)
	c.rejectedAt = now
	ratio := float64(calls) / float64(slots)
	if limited && ratio >= c.ratio {
		return false
	}
	c.ratio = ratio
	return true
}

// Accepted records the response to a call that an endpoint has run while it states a number of calls, of which this call may
// be one. It reports whether the capacity changed.
func (c *Capacity) Accepted(calls, slots int, now time.Time) bool {
	known, limited := c.Calls(slots, now)
	if !limited || slots <= 0 || float64(calls) <= known {
		return false
	}
	c.ratio = float64(calls) / float64(slots)
	return true
}
