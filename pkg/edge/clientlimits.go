package edge

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/telemetry"
)

// The limits on clients, as metrics and log lines name them.
const (
	limitMemory      = "memory"
	limitRate        = "rate"
	limitHead        = "head_size"
	limitBody        = "body_size"
	limitUnread      = "unread_response"
	limitConnections = "connections"
	limitEndpoint    = "endpoint_bytes"
)

// clientLimits counts the clients that reached a limit, and logs at most one line a second for each limit, so that a
// crowd outside the limits does not fill the log.
type clientLimits struct {
	scope    tally.Scope
	log      *zap.Logger
	throttle *telemetry.Throttle
}

// clientGaugeInterval is the interval at which the gauges of clients are updated.
const clientGaugeInterval = 5 * time.Second

// reportClients updates the gauges of what clients occupy until the context ends.
func (s *Server) reportClients(ctx context.Context) {
	for ctx.Err() == nil {
		used, _ := s.deps.Pool.Memory().Usage()
		s.clientLimits.scope.Gauge("held_bytes").Update(float64(used))
		s.clientLimits.scope.Gauge("client_connections").Update(float64(len(s.conns.All())))
		sleep(ctx, clientGaugeInterval)
	}
}

// limitLogInterval is the minimum time between two log lines about one limit.
const limitLogInterval = time.Second

func newClientLimits(scope tally.Scope, log *zap.Logger) *clientLimits {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &clientLimits{scope: scope, log: log, throttle: telemetry.NewThrottle(limitLogInterval)}
}

func (l *clientLimits) record(limit string, fields ...zap.Field) {
	l.scope.Tagged(map[string]string{"limit": limit}).Counter("client_limits").Inc(1)
	if unlogged, allowed := l.throttle.Allow(limit, time.Now()); allowed {
		l.log.Info("client limit reached", append(fields, zap.String("limit", limit), zap.Int("unlogged", unlogged))...)
	}
}
