// Package limit estimates what one endpoint can take, from the loads that it states and the latencies of its responses. It
// has no clock and no network: all times are arguments.
package limit

import (
	"math"
	"time"
)

// Track follows a quantity that changes many times a second around a mean that changes slowly, from samples that may be
// some seconds old. The zero value has no samples.
type Track struct {
	latest, mean float64
	at           time.Time
}

const (
	// meanTime is the time constant of the mean, and minMeanWeight the least weight of a sample in it: frequent samples are
	// averaged over some sixteen of them, rare ones over some seconds.
	meanTime      = 2 * time.Second
	minMeanWeight = 1.0 / 16
	// forgetTime is the time constant with which the mean gives way to the prior, so that an endpoint that got no more
	// calls because it was slow is tried again.
	forgetTime = 5 * time.Second
)

// Add adds a sample. An older sample than the latest one changes the mean only.
func (t *Track) Add(value float64, at time.Time) {
	if t.at.IsZero() {
		t.latest, t.mean, t.at = value, value, at
		return
	}
	weight := max(1-decay(at.Sub(t.at), meanTime), minMeanWeight)
	t.mean += weight * (value - t.mean)
	if !at.Before(t.at) {
		t.latest, t.at = value, at
	}
}

// Predict returns the expected mean over the time from now to a horizon: near the latest sample for about recent after it,
// then the mean of the samples, and in the end the prior.
func (t *Track) Predict(prior float64, recent, horizon time.Duration, now time.Time) float64 {
	if t.at.IsZero() {
		return prior
	}
	age := now.Sub(t.at)
	weight := decay(age, recent)
	if horizon > 0 {
		weight *= recent.Seconds() / horizon.Seconds() * (1 - decay(horizon, recent))
	}
	return prior + decay(age, forgetTime)*(t.mean-prior+weight*(t.latest-t.mean))
}

// Mean returns the mean, and without further samples more and more the prior.
func (t *Track) Mean(prior float64, now time.Time) float64 {
	if t.at.IsZero() {
		return prior
	}
	return prior + decay(now.Sub(t.at), forgetTime)*(t.mean-prior)
}

// Latest returns the latest sample and its time, which is zero if there is none.
func (t *Track) Latest() (value float64, at time.Time) {
	return t.latest, t.at
}

// decay returns the weight that remains after an age.
func decay(age, constant time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / constant.Seconds())
}
