package edge

import (
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/retry"
)

// recordStatement records what a run of an endpoint says about itself in a response. It ignores the words of another
// endpoint that has taken over the address.
func (s *Server) recordStatement(id string, lifetime int64, statement fleet.Statement) {
	if statement.Endpoint != "" && statement.Endpoint != id {
		return
	}
	now := time.Now()
	if statement.Leaving && s.deps.Fleet.StatedLeaving(id, lifetime, now) {
		s.logLeaving(id, lifetime, 0, "")
	}
	if statement.Load.Slots > 0 {
		s.deps.Fleet.StatedLoad(id, lifetime, statement.Load, now)
		s.recordLimitChanges()
	}
	if statement.RetryAfter == "" {
		return
	}
	retryAfter, err := retry.ParseAfter(statement.RetryAfter, now)
	if err != nil {
		s.log.Warn("Retry-After of an endpoint is invalid or too long", zap.String("endpoint", id), zap.Duration("used", retryAfter), zap.Error(err))
	}
	if retryAfter > 0 {
		s.deps.Fleet.StatedBusy(id, lifetime, retryAfter, now)
		s.log.Info("endpoint busy", zap.String("endpoint", id), zap.Int64("lifetime", lifetime), zap.Duration("retryAfter", retryAfter))
	}
}

// recordLimitChanges logs and counts the changes of learned limits. There is at most one change per endpoint and second.
func (s *Server) recordLimitChanges() {
	changes := s.deps.Fleet.TakeLimitChanges()
	for i := range changes {
		c := &changes[i]
		if c.Before == 0 || c.After < c.Before {
			s.metrics.limitsLowered.Inc(1)
		} else {
			s.metrics.limitsRaised.Inc(1)
		}
		s.log.Info("endpoint's learned limit changed", zap.String("endpoint", c.Endpoint), zap.Int("before", c.Before), zap.Int("after", c.After),
			zap.Int("slots", c.Slots), zap.Stringer("reason", c.Reason), zap.Int("calls", c.Calls), zap.Duration("latency", c.Latency),
			zap.Int("workPercent", c.WorkPercent))
	}
}

// logLeaving logs that an endpoint has said that it leaves, to the instance named by from or, if that is empty, to this
// one.
func (s *Server) logLeaving(id string, lifetime int64, age time.Duration, from string) {
	s.log.Info("endpoint says that it leaves", zap.String("endpoint", id), zap.Int64("lifetime", lifetime), zap.Duration("age", age),
		zap.String("from", from))
}

// leavingDocs returns the endpoints that have said to this instance that they leave.
func (s *Server) leavingDocs(now time.Time) []exchange.LeavingDoc {
	var docs []exchange.LeavingDoc
	for _, run := range s.deps.Fleet.LeavingRuns(now) {
		docs = append(docs, exchange.LeavingDoc{Endpoint: run.ID, Lifetime: run.Lifetime, AgeMs: run.Age.Milliseconds()})
	}
	return docs
}

// receiveLeaving records the endpoints that have said to another instance that they leave.
func (s *Server) receiveLeaving(m *exchange.Message, now time.Time) {
	runs := make([]fleet.LeavingRun, 0, len(m.Leaving))
	for _, doc := range m.Leaving {
		age := time.Duration(doc.AgeMs) * time.Millisecond
		runs = append(runs, fleet.LeavingRun{ID: doc.Endpoint, Lifetime: doc.Lifetime, Age: age})
	}
	for _, run := range s.deps.Fleet.SetRemoteLeaving(runs, now) {
		s.logLeaving(run.ID, run.Lifetime, run.Age, m.Instance)
	}
}
