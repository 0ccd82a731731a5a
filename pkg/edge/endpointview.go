package edge

import (
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// applyAnnouncement applies an endpoint's announcement from the store, or from the relay named by from.
func (s *Server) applyAnnouncement(a fleet.Announcement, revision int64, from string, now time.Time) {
	change := s.deps.Fleet.Announce(a, now)
	if change != fleet.Unchanged && change != fleet.Updated {
		s.origins.requestCheck()
	}
	if change != fleet.Unchanged {
		s.changeLog.endpoints.recordChange(a.ID, now)
	}
	if change != fleet.Unchanged && change != fleet.Updated {
		s.log.Info("endpoint announced", zap.String("endpoint", a.ID), zap.String("service", a.Service),
			zap.String("address", a.Address), zap.Bool("leaving", a.Leaving), zap.Duration("removalIn", a.RemovalIn),
			zap.Int64("revision", revision), zap.String("from", from))
	}
}

// withdrawEndpoint withdraws an endpoint that the store, or the instance named by from, no longer lists. It stays in use
// until graceEnd. Instances repeat such reports; only the first is logged.
func (s *Server) withdrawEndpoint(id string, graceEnd time.Time, revision int64, from string, now time.Time) {
	known, kept := s.deps.Fleet.Withdraw(id, graceEnd, now)
	if !kept {
		s.changeLog.endpoints.recordRemoval(id, now)
	}
	if known {
		s.log.Info("endpoint withdrawn", zap.String("endpoint", id), zap.Bool("grace", kept), zap.Int64("revision", revision),
			zap.String("from", from))
	}
}
