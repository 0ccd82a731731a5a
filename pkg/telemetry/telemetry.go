// Package telemetry builds the logger and the metrics scope that all components share.
package telemetry

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ReportInterval is how often a daemon flushes counters to the Prometheus registry.
const ReportInterval = time.Second

// NewLogger returns a JSON logger that writes to standard error. Level is debug, info, warn or error.
func NewLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", level)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(parsed)
	// Sampling would drop lines, but every decision must be logged.
	cfg.Sampling = nil
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	log, err := cfg.Build(zap.WrapCore(func(core zapcore.Core) zapcore.Core { return stacklessCore{Core: core} }))
	return log, errors.Wrap(err, "build logger")
}

// Metrics is a root scope and the handler that serves it as Prometheus text.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns a scope whose metric names begin with "mulberryglade_". Counters are flushed once per interval.
func NewMetrics(interval time.Duration) *Metrics {
	registry := prom.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "mulberryglade",
		CachedReporter:  reporter,
		Separator:       tallyprom.DefaultSeparator,
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts,
	}, interval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close flushes the metrics.
func (m *Metrics) Close() error {
	return m.closer.Close()
}

// NewStandardOutputLogger returns a JSON logger that writes to standard output. Level is debug, info, warn or error;
// empty means info. The number of lines is limited, and logging never waits for the reader of the output.
func NewStandardOutputLogger(level string) (*zap.Logger, error) {
	if level == "" {
		level = "info"
	}
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", level)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := queuedCore{
		LevelEnabler: parsed,
		encoder:      zapcore.NewJSONEncoder(encoding),
		queue:        newLineQueue(os.Stdout, time.Now),
	}
	return zap.New(stacklessCore{Core: core}), nil
}
