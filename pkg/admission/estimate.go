package admission

import (
	"math"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

const (
	// meanGain and deviationGain average over about 30 calls. The gains of the retransmission timer of RFC 6298, 1/8 and
	// 1/4, let a few long responses in a row double the estimate, which refused calls that could finish.
	meanGain      = 0.03
	deviationGain = 0.03
	// unlearnedTokens is the output expected of a model before any response ended; the caller's limit is often far above
	// the length of the response, and a high guess would refuse calls that can finish.
	unlearnedTokens = 64
	// maxRetryAfter bounds the time after which a refused caller is told to retry.
	maxRetryAfter = time.Minute
)

// average is a moving mean with a moving mean deviation. The zero value is empty.
type average struct {
	count     int
	mean      float64
	deviation float64
}

func (a *average) observe(value float64) {
	a.count++
	if a.count == 1 {
		a.mean, a.deviation = value, value/2
		return
	}
	// The first observations count equally, so that the first one alone does not decide for long.
	gain := max(meanGain, 1/float64(a.count))
	a.deviation += max(deviationGain, 1/float64(a.count)) * (math.Abs(value-a.mean) - a.deviation)
	a.mean += gain * (value - a.mean)
}

// high is a value that most observations stay below.
func (a *average) high() float64 {
	return a.mean + 2*a.deviation
}

// modelStatistics is what was learned from the calls of one model.
type modelStatistics struct {
	// firstToken, betweenTokens and duration are in seconds from the grant.
	firstToken    average
	betweenTokens average
	duration      average
	outputTokens  average
	// tried is when a call was last started against the estimate.
	tried time.Time
}

const (
	// trialInterval is the time between calls of a model that start although they are expected to be late. Estimates are
	// learned from calls: without trials a model that was slow once would be refused for ever.
	trialInterval = 10 * time.Second
	// hopelessPart is the part of the expected duration that must fit before the deadline for a trial.
	hopelessPart = 0.25
)

// mayTry tells whether a call that is expected to take longer than remains may start as a trial.
func (s *modelStatistics) mayTry(expected, remaining time.Duration) bool {
	if time.Duration(hopelessPart*float64(expected)) > remaining || time.Since(s.tried) < trialInterval {
		return false
	}
	s.tried = time.Now()
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

// expectedTokens is the likely length of the response.
func (s *modelStatistics) expectedTokens(request *scheduling.Request) int {
	if s.outputTokens.count == 0 {
		return min(request.OutputTokens, unlearnedTokens)
	}
	return min(request.OutputTokens, int(math.Ceil(s.outputTokens.mean)))
}

// likely is the expected time from grant to the end of the response.
func (s *modelStatistics) likely(request *scheduling.Request) time.Duration {
	if request.Model == "" {
		return seconds(s.duration.mean)
	}
	tokens := float64(s.expectedTokens(request))
	return seconds(s.firstToken.mean + tokens*s.betweenTokens.mean)
}

// waitingPart is the part of the time to spare that a call may wait.
const waitingPart = 0.5

// reserve is the time that a waiting call keeps for its run: one that most calls stay below, but at most so much that a
// part of the time to spare is left for waiting. Without that limit a model with widely different response lengths would
// refuse every call that cannot start at once.
func (s *modelStatistics) reserve(request *scheduling.Request, remaining time.Duration) time.Duration {
	likely := s.likely(request)
	spare := max(0, remaining-likely)
	return min(s.cautious(request), likely+time.Duration((1-waitingPart)*float64(spare)))
}

// cautious is a time from grant to the end of the response that most calls stay below.
func (s *modelStatistics) cautious(request *scheduling.Request) time.Duration {
	if request.Model == "" {
		return seconds(s.duration.high())
	}
	tokens := min(float64(request.OutputTokens), s.outputTokens.high())
	return seconds(s.firstToken.high() + tokens*s.betweenTokens.high())
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// likelyAt is the expected time to the end of the response at an endpoint, from its state and the model's history.
func (c *Controller) likelyAt(w *waiter, state *endpoints.State) time.Duration {
	s := c.statisticsOf(w.key)
	if w.request.Model == "" {
		return seconds(s.duration.mean)
	}
	first := scheduling.EstimateFirstToken(&w.request, state)
	between := s.betweenTokens.mean
	if s.betweenTokens.count == 0 {
		between = scheduling.BetweenTokensEstimate(state).Seconds()
	}
	return first + seconds(float64(s.expectedTokens(&w.request))*between)
}

// expectedWait is the time until a call at the given place of its queue starts, from the recent time between two starts
// of the queue. That time reflects the capacity of the model and the member's fair share of it, without a model of either.
func (c *Controller) expectedWait(q *modelQueue, place int) time.Duration {
	interval := q.pace.interval.mean
	if q.pace.interval.count == 0 {
		// Nothing started from a backlog yet: assume that the calls that run now end one after the other.
		running := max(1, c.running[q.key])
		interval = c.statisticsOf(q.key).duration.mean / float64(running)
	}
	return seconds(float64(place+1) * interval)
}

// pace measures how fast a backlogged queue moves.
type pace struct {
	interval average
	// backlogged is when the queue last had a start that left calls waiting, or began to wait; zero while it is empty.
	backlogged time.Time
}

// retryAfter estimates when the queue of a call will have drained.
func (c *Controller) retryAfter(q *modelQueue) time.Duration {
	if q == nil {
		return minRetryAfter
	}
	return max(minRetryAfter, min(maxRetryAfter, c.expectedWait(q, len(q.waiters)-1)))
}

// learn records how a call went.
func (c *Controller) learn(t *ticket, result Result) {
	if result.Status != Succeeded {
		return
	}
	s := c.statisticsOf(t.key)
	s.duration.observe(time.Since(t.granted).Seconds())
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
