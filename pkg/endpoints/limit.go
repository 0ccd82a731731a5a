package endpoints

import (
	"math"
	"time"
)

const (
	// limitDecreaseFactor is applied to the limit at most once per limitDecreaseInterval, because calls that started
	// before a decrease still show the previous load.
	limitDecreaseFactor   = 0.9
	limitDecreaseInterval = time.Second
	// minUtilization is the fraction of the limit that must be in use for a successful call to raise the limit. A
	// lightly loaded endpoint does not show whether it can handle more calls.
	minUtilization = 0.8
	// loadSlowdownFactor is the ratio to the best value above which a missed target counts as caused by load. Without
	// it, an endpoint that misses the target even with a single call, or receives a long prompt, would be limited to
	// one call without benefit.
	loadSlowdownFactor = 1.5
	// prefillOverhead is the time to first token of a fully cached prompt.
	prefillOverhead = 20 * time.Millisecond
	// bestValueGrowth raises the best values with each observation, so that a single exceptional value is not
	// permanent.
	bestValueGrowth = 1.005
)

// limiter is an additive-increase, multiplicative-decrease limit of concurrent calls. It starts at the maximum, since
// the operator declares what the endpoint can run.
type limiter struct {
	// reduction is the number of calls by which the limit is below the maximum.
	reduction   float64
	decreasedAt time.Time
	// bestFirstTokenRatio is the lowest ratio of the time to first token to the expected prefill time. It compensates
	// for a wrong prefill rate. bestBetweenTokensSeconds is the lowest time between tokens.
	bestFirstTokenRatio      float64
	bestBetweenTokensSeconds float64
}

// limit returns the current limit, which is at least one.
func (l *limiter) limit(maxLimit int) int {
	return max(1, int(math.Round(float64(maxLimit)-l.reduction)))
}

func (l *limiter) observe(result CallResult, inFlight, maxLimit int, now time.Time) {
	slow := l.slow(result)
	// The value is not rounded, since rounding would undo each decrease of less than one half.
	current := max(1, float64(maxLimit)-l.reduction)
	switch {
	case slow || result.Outcome == CallBusy:
		if now.Sub(l.decreasedAt) < limitDecreaseInterval {
			return
		}
		l.decreasedAt = now
		l.reduction = float64(maxLimit) - max(1, current*limitDecreaseFactor)
	case result.Outcome == CallSucceeded && float64(inFlight) >= minUtilization*current:
		l.reduction = max(0, l.reduction-1/current)
	}
}

// slow reports whether the call missed a latency target because of load. It also updates the best values.
func (l *limiter) slow(result CallResult) bool {
	firstTokenRatio := result.FirstToken.Seconds() / (result.Prefill + prefillOverhead).Seconds()
	slowFirstToken := result.FirstTokenTarget > 0 && result.FirstToken > result.FirstTokenTarget &&
		l.bestFirstTokenRatio > 0 && firstTokenRatio > loadSlowdownFactor*l.bestFirstTokenRatio
	slowBetweenTokens := result.BetweenTokensTarget > 0 && result.BetweenTokens > result.BetweenTokensTarget &&
		l.bestBetweenTokensSeconds > 0 && result.BetweenTokens.Seconds() > loadSlowdownFactor*l.bestBetweenTokensSeconds
	updateBest(&l.bestFirstTokenRatio, firstTokenRatio)
	updateBest(&l.bestBetweenTokensSeconds, result.BetweenTokens.Seconds())
	return slowFirstToken || slowBetweenTokens
}

func updateBest(best *float64, value float64) {
	if value <= 0 {
		return
	}
	if *best == 0 {
		*best = value
		return
	}
	*best = min(*best*bestValueGrowth, value)
}
