package httpconn

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/httpresponse"
	"github.com/mulberryglade/mulberryglade/pkg/telemetry"
)

// rejectionLogInterval is the minimum time between two log lines about one cause.
const rejectionLogInterval = time.Second

// Rejections counts and logs the responses that were dropped because they were not whole or not well-formed. Nil discards
// them. It is safe for concurrent use, and several pools may share it.
type Rejections struct {
	scope    tally.Scope
	log      *zap.Logger
	throttle *telemetry.Throttle
}

// NewRejections returns a Rejections that reports to a scope and a log.
func NewRejections(scope tally.Scope, log *zap.Logger) *Rejections {
	return &Rejections{scope: scope, log: log, throttle: telemetry.NewThrottle(rejectionLogInterval)}
}

// record counts and logs an error if it is that of a response.
func (r *Rejections) record(baseURL string, err error) {
	var invalid *httpresponse.Error
	if r == nil || !errors.As(err, &invalid) {
		return
	}
	cause := string(invalid.Cause)
	r.scope.Tagged(map[string]string{"cause": cause}).Counter("rejected_responses").Inc(1)
	if unlogged, allowed := r.throttle.Allow(cause, time.Now()); allowed {
		r.log.Warn("response rejected: not whole or not well-formed", zap.String("address", baseURL), zap.String("cause", cause),
			zap.String("detail", invalid.Detail), zap.Int("unlogged", unlogged))
	}
}
