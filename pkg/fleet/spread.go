package fleet

import "time"

// spreadAt returns the amount that is added to the cost of an endpoint, so that instances with equally outdated views do
// not all choose the same one. It is smaller where parts of the prompt are kept, because prompts that others send there
// meanwhile have them, too.
//
// Load pattern: many prompts begin with one of a number of shared parts, each of which arrives at all instances at the same
// time, for instance after demand has moved to other models. The amount then depends on the shared part, so that instances
// that have not heard of each other's choices send the same part to the same endpoint, and different parts to different ones.
func (d *Demand) spreadAt(endpoint EndpointKey, keptTokens int) time.Duration {
	if d.Random == nil || d.Spread <= 0 {
		return 0
	}
	fraction := d.Random()
	if shared := len(d.partKeys) - 2; shared >= 0 {
		fraction = rendezvousFraction(d.partKeys[shared], endpoint)
	}
	uncached := 1.0
	if d.PromptTokens > 0 {
		uncached = float64(max(d.PromptTokens-keptTokens, 0)) / float64(d.PromptTokens)
	}
	return time.Duration(fraction * uncached * float64(d.Spread))
}

// rendezvousFraction returns a number in [0, 1) that depends on a part and an endpoint only.
func rendezvousFraction(part PartKey, endpoint EndpointKey) float64 {
	// The finalizer of splitmix64 spreads a difference in one bit over all bits.
	x := uint64(part)<<32 | uint64(endpoint)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	const mantissaBits = 53
	return float64(x>>(64-mantissaBits)) / (1 << mantissaBits)
}
