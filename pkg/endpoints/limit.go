package endpoints

import (
	"math"
	"time"
)

const (
	// limitDecrease is the factor of a decrease; it is applied once per limitWindow, because calls that started before a
	// decrease still show the load from before it.
	limitDecrease = 0.9
	limitWindow   = time.Second
	// limitUse is the fraction of the limit that must be in use for a success to raise it: a lightly loaded endpoint shows
	// nothing about a higher limit.
	limitUse = 0.8
	// inherentFactor is how much slower than its best time an endpoint must be for load to be the cause. Without it an
	// endpoint that misses the target even alone, or a long prompt, would be throttled to one call for nothing.
	inherentFactor = 1.5
	// prefillOverhead is the time to first token of a prompt that is cached as a whole.
	prefillOverhead = 20 * time.Millisecond
	// bestGrowth raises the best times with each observation, so that one lucky value does not stay for ever.
	bestGrowth = 1.005
)

// limiter is an additive-increase, multiplicative-decrease limit of calls at once. It starts at the cap: the declared
// limit is the operator's statement of what the endpoint can run.
type limiter struct {
	// below is how far the limit is under the cap.
	below     float64
	decreased time.Time
	// bestFirst is the lowest ratio of the time to first token to the expected prefill time. It absorbs a wrong prefill rate.
	// bestBetween is the lowest time between tokens, in seconds.
	bestFirst   float64
	bestBetween float64
}

// limit returns the limit, at least one.
func (l *limiter) limit(top int) int {
	return max(1, int(math.Round(float64(top)-l.below)))
}

func (l *limiter) observe(result CallResult, inFlight, top int, now time.Time) {
	slow := l.slow(result)
	// The exact value is used, because a rounded one would be restored by each decrease of less than a half.
	current := max(1, float64(top)-l.below)
	switch {
	case slow || result.Outcome == CallBusy:
		if now.Sub(l.decreased) < limitWindow {
			return
		}
		l.decreased = now
		l.below = float64(top) - max(1, current*limitDecrease)
	case result.Outcome == CallSucceeded && float64(inFlight) >= limitUse*current:
		l.below = max(0, l.below-1/current)
	}
}

// slow tells whether the call missed a target because of load.
func (l *limiter) slow(result CallResult) bool {
	first := result.FirstToken.Seconds() / (result.Prefill + prefillOverhead).Seconds()
	slowFirst := result.FirstTokenTarget > 0 && result.FirstToken > result.FirstTokenTarget &&
		l.bestFirst > 0 && first > inherentFactor*l.bestFirst
	slowBetween := result.BetweenTokensTarget > 0 && result.BetweenTokens > result.BetweenTokensTarget &&
		l.bestBetween > 0 && result.BetweenTokens.Seconds() > inherentFactor*l.bestBetween
	lower(&l.bestFirst, first)
	lower(&l.bestBetween, result.BetweenTokens.Seconds())
	return slowFirst || slowBetween
}

func lower(best *float64, value float64) {
	if value <= 0 {
		return
	}
	if *best == 0 {
		*best = value
		return
	}
	*best = min(*best*bestGrowth, value)
}
