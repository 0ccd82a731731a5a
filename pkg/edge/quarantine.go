package edge

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/quarantine"
)

const (
	// answerSettleTime is the time after the first event from which on an answer does not count as the cause of a crash.
	answerSettleTime = time.Second
	// refusalTimeout bounds the check whether an endpoint has ended.
	refusalTimeout = 200 * time.Millisecond
)

// inQuarantine reports whether the request has a prompt part in quarantine, and if so, for how long.
func (r *clientRequest) inQuarantine(now time.Time) (remaining time.Duration, found bool) {
	part, until, found := r.server.quarantine.Quarantined(r.request.Parts, now)
	if !found {
		return 0, false
	}
	r.quarantinedPart = part
	return until.Sub(now), true
}

// recordCrash records the failure of a send as a crash under the request's prompt parts, if the endpoint has ended while
// it was beginning to answer. A reset or a cut connection alone is no crash.
func (r *clientRequest) recordCrash(a *attempt, failure error) {
	now := time.Now()
	settled := !a.firstEventAt.IsZero() && now.Sub(a.firstEventAt) >= answerSettleTime
	if settled || !errors.Is(failure, engine.ErrConnectionLost) || !r.server.quarantine.MayBeGuilty(r.request.Parts, now) {
		return
	}
	if !r.server.deps.Pool.Refuses(r.ctx, "http://"+a.choice.Address, refusalTimeout) {
		return
	}
	endpoint := quarantine.Endpoint{ID: a.choice.ID, Lifetime: a.choice.Lifetime}
	quarantined := r.server.quarantine.RecordCrash(r.request.Parts, endpoint, now)
	r.log.Info("endpoint crashed under the request", zap.String("endpoint", endpoint.ID), zap.Int64("lifetime", endpoint.Lifetime),
		zap.Int("parts", len(r.request.Parts)))
	r.server.logQuarantined(quarantined, "")
	r.server.exchange.ReportCrash()
}

// recordAnswered clears the prompt parts of a request whose answer ended well.
func (r *clientRequest) recordAnswered() {
	r.server.logReleased(r.server.quarantine.RecordSuccess(r.request.Parts, time.Now()), "")
}

// logQuarantined logs the parts that have been put in quarantine, because of a report of the instance named by from unless
// that is empty.
func (s *Server) logQuarantined(parts []uint64, from string) {
	for _, part := range parts {
		s.metrics.quarantines.Inc(1)
		s.log.Warn("prompt part put in quarantine: endpoints crash under it", zap.String("part", formatPart(part)),
			zap.Duration("for", quarantine.Duration), zap.String("from", from))
	}
}

// logReleased logs the parts whose quarantine has ended because an answer with them ended well.
func (s *Server) logReleased(parts []uint64, from string) {
	for _, part := range parts {
		s.log.Warn("prompt part released from quarantine", zap.String("part", formatPart(part)), zap.String("from", from))
	}
}

func formatPart(part uint64) string {
	return strconv.FormatUint(part, 16)
}

// composeQuarantine adds what this instance knows of crashes to a message.
func (s *Server) composeQuarantine(m *exchange.Message, now time.Time) {
	if report := s.quarantine.Report(now); !report.Empty() {
		m.Quarantine = &report
	}
}

func (s *Server) receiveQuarantine(m *exchange.Message, now time.Time) {
	quarantined, released := s.quarantine.Merge(m.Quarantine, now)
	s.logQuarantined(quarantined, m.Instance)
	s.logReleased(released, m.Instance)
}
