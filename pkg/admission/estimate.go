package admission

import (
	"math"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

const (
	// meanGain and deviationGain average over about 30 calls. With the gains of the retransmission timer of RFC 6298,
	// 1/8 and 1/4, a few long responses in a row doubled the estimate, and calls that could finish were refused.
	meanGain      = 0.03
	deviationGain = 0.03
	// initialOutputTokens is the expected output of a model before its first response ends. The caller's limit is often
	// far above the actual length, and a high value would refuse calls that can finish.
	initialOutputTokens = 64
	// maxRetryAfter is the upper bound of Retry-After in a refusal.
	maxRetryAfter = time.Minute
)

// movingAverage is an exponential moving mean with a moving mean deviation. The zero value is empty.
type movingAverage struct {
	count     int
	mean      float64
	deviation float64
}

func (a *movingAverage) observe(value float64) {
	a.count++
	if a.count == 1 {
		a.mean, a.deviation = value, value/2
		return
	}
	// The first observations have equal weight, so that the very first one does not dominate the mean.
	gain := max(meanGain, 1/float64(a.count))
	a.deviation += max(deviationGain, 1/float64(a.count)) * (math.Abs(value-a.mean) - a.deviation)
	a.mean += gain * (value - a.mean)
}

// highEstimate returns the mean plus two mean deviations. Most observations stay below it.
func (a *movingAverage) highEstimate() float64 {
	return a.mean + 2*a.deviation
}

// modelStatistics holds moving averages over the successful calls of one model.
type modelStatistics struct {
	// firstToken, betweenTokens and duration are in seconds. firstToken and duration start at the grant.
	firstToken    movingAverage
	betweenTokens movingAverage
	duration      movingAverage
	outputTokens  movingAverage
	// lastTrial is the time of the last call that started although the estimate exceeded its deadline.
	lastTrial time.Time
}

const (
	// trialInterval is the time between trials: calls of a model that start although they are expected to miss their
	// deadline. Estimates come from successful calls, so without trials a model that was slow once would be refused
	// for ever.
	trialInterval = 10 * time.Second
	// minTrialFraction is the fraction of the expected duration that must remain before the deadline of a trial.
	minTrialFraction = 0.25
)

// allowTrial reports whether a call that is expected to exceed the remaining time may start as a trial, and records the
// time of the trial.
func (s *modelStatistics) allowTrial(duration, remaining time.Duration) bool {
	if time.Duration(minTrialFraction*float64(duration)) > remaining || time.Since(s.lastTrial) < trialInterval {
		return false
	}
	s.lastTrial = time.Now()
	return true
}

func (c *Controller) statisticsOf(key modelKey) *modelStatistics {
	s := c.statistics[key]
	if s == nil {
		s = &modelStatistics{}
		c.statistics[key] = s
	}
	return s
}

// expectedOutputTokens returns the expected length of the response.
func (s *modelStatistics) expectedOutputTokens(request *scheduling.Request) int {
	if s.outputTokens.count == 0 {
		return min(request.OutputTokens, initialOutputTokens)
	}
	return min(request.OutputTokens, int(math.Ceil(s.outputTokens.mean)))
}

// expectedDuration returns the expected time from the grant to the end of the response.
func (s *modelStatistics) expectedDuration(request *scheduling.Request) time.Duration {
	if request.Model == "" {
		return seconds(s.duration.mean)
	}
	tokens := float64(s.expectedOutputTokens(request))
	return seconds(s.firstToken.mean + tokens*s.betweenTokens.mean)
}

// minWaitFraction is the smallest fraction of a call's slack that is left for waiting. The slack is the remaining time
// minus the expected duration.
const minWaitFraction = 0.5

// reservedDuration returns the time before the deadline that is reserved for running the call. Most calls need less,
// but the reservation leaves at least minWaitFraction of the slack for waiting. Without that limit a model with widely
// varying response lengths would refuse every call that cannot start at once.
func (s *modelStatistics) reservedDuration(request *scheduling.Request, remaining time.Duration) time.Duration {
	expectedDuration := s.expectedDuration(request)
	slack := max(0, remaining-expectedDuration)
	return min(s.highDurationEstimate(request), expectedDuration+time.Duration((1-minWaitFraction)*float64(slack)))
}

// highDurationEstimate returns a high estimate of the time from the grant to the end of the response. Most calls take
// less.
func (s *modelStatistics) highDurationEstimate(request *scheduling.Request) time.Duration {
	if request.Model == "" {
		return seconds(s.duration.highEstimate())
	}
	tokens := min(float64(request.OutputTokens), s.outputTokens.highEstimate())
	return seconds(s.firstToken.highEstimate() + tokens*s.betweenTokens.highEstimate())
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// expectedDurationAt returns the expected time to the end of the response at an endpoint, from the endpoint's state and
// the model's statistics.
func (c *Controller) expectedDurationAt(w *waiter, state *endpoints.State) time.Duration {
	s := c.statisticsOf(w.key)
	if w.request.Model == "" {
		return seconds(s.duration.mean)
	}
	first := scheduling.EstimateFirstToken(&w.request, state)
	between := s.betweenTokens.mean
	if s.betweenTokens.count == 0 {
		between = scheduling.EstimateBetweenTokens(state).Seconds()
	}
	return first + seconds(float64(s.expectedOutputTokens(&w.request))*between)
}

// expectedWait returns the expected time until the call at the given position of the queue starts. It uses the recent
// interval between two starts of the queue, which reflects both the capacity of the model and the member's fair share
// of it, so neither is estimated separately.
func (c *Controller) expectedWait(q *modelQueue, position int) time.Duration {
	interval := q.startIntervals.average.mean
	if q.startIntervals.average.count == 0 {
		// No start from a backlog was observed yet: assume that the running calls end at equal intervals.
		running := max(1, c.running[q.key])
		interval = c.statisticsOf(q.key).duration.mean / float64(running)
	}
	return seconds(float64(position+1) * interval)
}

// startIntervals measures the time between two starts from a backlogged queue.
type startIntervals struct {
	average movingAverage
	// intervalStart is the time of the queue's last start if it left calls waiting, and otherwise that of the first
	// arrival in the empty queue. It is zero while the queue is empty.
	intervalStart time.Time
}

// retryAfter returns the expected time until the last call of the queue starts, within the bounds of Retry-After.
func (c *Controller) retryAfter(q *modelQueue) time.Duration {
	if q == nil {
		return minRetryAfter
	}
	return max(minRetryAfter, min(maxRetryAfter, c.expectedWait(q, len(q.waiters)-1)))
}

// observeCall updates the statistics of the model after a successful call.
func (c *Controller) observeCall(t *ticket, result Result) {
	if result.Status != Succeeded {
		return
	}
	s := c.statisticsOf(t.key)
	s.duration.observe(time.Since(t.grantedAt).Seconds())
	if first := t.timeToFirstToken(); first > 0 {
		s.firstToken.observe(first.Seconds())
	}
	if between := t.timeBetweenTokens(result); between > 0 {
		s.betweenTokens.observe(between.Seconds())
	}
	if result.OutputTokens > 0 {
		s.outputTokens.observe(float64(result.OutputTokens))
	}
}
