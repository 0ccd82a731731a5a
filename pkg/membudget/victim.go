package membudget

import "time"

// Claim is what one holder that may be evicted occupies.
type Claim struct {
	Bytes int64
	// Idle is the time since the claim last grew.
	Idle time.Duration
}

// idleUnit is the idle time after which a claim weighs twice as much as one of the same size that has just grown. A sound
// client on a link of 16 KB/s grows its claim about once a second.
const idleUnit = time.Second

// weight orders claims for eviction.
func (c Claim) weight() float64 {
	return float64(c.Bytes) * (1 + c.Idle.Seconds()/idleUnit.Seconds())
}

// Victim returns the index of the claim that is evicted when the budget is exhausted, or -1 if there is none that holds
// anything. It is the one with the largest product of size and idle time, so that small claims and claims that make
// progress are spared while larger or stalled ones exist. Of equal claims the first is chosen.
//
// The load that it addresses is many bodies that stop short of their end and stay open, next to bodies of well-behaved clients.
func Victim(claims []Claim) int {
	victim, heaviest := -1, 0.0
	for i, claim := range claims {
		if weight := claim.weight(); weight > heaviest {
			victim, heaviest = i, weight
		}
	}
	return victim
}
