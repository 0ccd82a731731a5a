package edge

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// loadBalancerDelay is how long the load balancer may send connections to an instance that is no longer ready: two
	// readiness checks one second apart, and some time for connections on their way.
	loadBalancerDelay = 2500 * time.Millisecond
	// exitMargin is the time reserved before the process would be killed.
	exitMargin = 400 * time.Millisecond
	// drainPollInterval is the time between two checks whether the drain is complete.
	drainPollInterval = 50 * time.Millisecond
)

// errStopping is the cause with which the contexts of unfinished requests end.
var errStopping = errors.New("instance is stopping")

// drain finishes the requests in flight. The instance stops being ready at once, but accepts requests until the load
// balancer has noticed. Requests that arrive after that, or still wait for an endpoint then, are refused as not run, and
// from the beginning those whose deadline is later than the end of the drain: once sent, they might be cut off.
func (s *Server) drain(stopServing func(cause error)) {
	started := time.Now()
	deadline := started.Add(s.settings().Bounds.shutdownTime() - exitMargin)
	s.drainDeadline.Store(&deadline)
	s.draining.Store(true)
	close(s.drainStarted)
	s.log.Info("stopping", zap.Int64("active", s.activeRequests.Load()))
	for time.Since(started) < loadBalancerDelay && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	close(s.refusing)
	s.waitUntilInactive(deadline)
	s.log.Info("drained", zap.Int64("cutOff", s.activeRequests.Load()), zap.Duration("after", time.Since(started)))
	stopServing(errStopping)
	s.waitUntilInactive(time.Now().Add(finalResponseTime))
}

// finalResponseTime is the time to write error responses to requests that are cut off.
const finalResponseTime = 200 * time.Millisecond

// waitUntilInactive closes idle connections until no request is handled or the deadline has passed.
func (s *Server) waitUntilInactive(deadline time.Time) {
	for time.Now().Before(deadline) {
		for _, c := range s.conns.All() {
			c.CloseIfIdle()
		}
		if s.activeRequests.Load() == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// mayFinish reports whether a request with a deadline certainly ends before this instance does.
func (s *Server) mayFinish(deadline time.Time) bool {
	drainDeadline := s.drainDeadline.Load()
	return drainDeadline == nil || !deadline.After(*drainDeadline)
}

func (s *Server) isRefusing() bool {
	select {
	case <-s.refusing:
		return true
	default:
		return false
	}
}
