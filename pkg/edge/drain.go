package edge

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// rotationTime is how long the load balancer takes to send no more connections to an instance that is not ready: two
	// checks a second apart, and some time for connections on their way.
	rotationTime = 2500 * time.Millisecond
	// exitMargin is left between the end of the process and the time at which it would be killed.
	exitMargin = 400 * time.Millisecond
	// drainStep is how often a stopping instance looks whether it may end.
	drainStep = 50 * time.Millisecond
)

// errStopping ends requests that a stopping instance cannot finish.
var errStopping = errors.New("instance stops")

// drain finishes the requests in flight. The instance is no longer ready at once but accepts requests until the load
// balancer has noticed; later ones, and those that still wait for an endpoint, are refused as not run.
func (s *Server) drain(stopServing func(cause error)) {
	started := time.Now()
	s.draining.Store(true)
	s.log.Info("stopping", zap.Int64("active", s.active.Load()))
	end := started.Add(s.settings().Bounds.shutdown() - exitMargin)
	for time.Since(started) < rotationTime && time.Now().Before(end) {
		time.Sleep(drainStep)
	}
	close(s.refusing)
	s.waitInactive(end)
	s.log.Info("drained", zap.Int64("cutOff", s.active.Load()), zap.Duration("after", time.Since(started)))
	stopServing(errStopping)
	s.waitInactive(time.Now().Add(lastAnswersTime))
}

// lastAnswersTime is left for the failures of requests that are cut off.
const lastAnswersTime = 200 * time.Millisecond

// waitInactive closes idle connections until no request is handled.
func (s *Server) waitInactive(end time.Time) {
	for time.Now().Before(end) {
		for _, c := range s.connections() {
			c.closeIfIdle()
		}
		if s.active.Load() == 0 {
			return
		}
		time.Sleep(drainStep)
	}
}

func (s *Server) isRefusing() bool {
	select {
	case <-s.refusing:
		return true
	default:
		return false
	}
}
