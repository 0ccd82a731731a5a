// Command mulberryglade-edged is the entry daemon on the users' platform: it serves clients and takes part in placing
// models. It needs the settings file only; everything else comes from the platform's store.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/edge"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
	"github.com/mulberryglade/mulberryglade/pkg/telemetry"
	"github.com/mulberryglade/mulberryglade/platform"
)

// Exit codes.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitFindings = 3
)

const (
	// collectorPercent lets the heap grow by half between collections: memory is priced on every instance, and the heap
	// is a few megabytes.
	collectorPercent = 50
	// memoryShare is the part of the process's limit at which the collector works harder.
	memoryShare = 0.7
	// metricsInterval is how often counters are flushed; metrics are read every few seconds.
	metricsInterval = 5 * time.Second
	// connectionIdleTimeout keeps connections to endpoints between requests; what an endpoint says of its own goes first.
	connectionIdleTimeout = 10 * time.Second
)

type options struct {
	Settings string `short:"s" long:"settings" description:"JSON settings file" required:"true"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	os.Exit(run(o))
}

func run(o options) int {
	settings, found := edge.LoadSettings(o.Settings)
	if err := found.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFindings
	}
	if o.Check {
		return 0
	}
	debug.SetGCPercent(collectorPercent)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryShare))
	}
	log, err := telemetry.NewStandardOutputLogger(settings.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	defer func() { _ = log.Sync() }()
	log = log.With(zap.String("instance", settings.InstanceID))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return serve(ctx, o.Settings, settings, log)
}

func serve(ctx context.Context, path string, settings edge.Settings, log *zap.Logger) int {
	control := httpconn.NewPool(httpconn.Options{})
	defer control.Close()
	requests := httpconn.NewPool(httpconn.Options{Accept: platform.Accepts, Unframed: true, IdleTimeout: connectionIdleTimeout})
	defer requests.Close()
	metrics := telemetry.NewMetrics(metricsInterval)
	defer func() { _ = metrics.Close() }()
	server, err := edge.New(settings, edge.Parts{
		Wire:    platform.Wire{},
		Entries: platform.Entries(),
		Store:   platform.NewStore(settings.StoreAddress, control),
		Engines: platform.NewEngines(control),
		Pool:    requests,
		Scope:   metrics.Scope,
		Metrics: metrics.Handler,
	}, log)
	if err != nil {
		log.Error("start failed", zap.Error(err))
		return exitFailure
	}
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		for range reloads {
			reload(server, path, log)
		}
	}()
	if err := server.Run(ctx); err != nil {
		log.Error("serving failed", zap.Error(err))
		return exitFailure
	}
	return 0
}

// reload keeps the settings in force when the new ones have findings.
func reload(server *edge.Server, path string, log *zap.Logger) {
	settings, found := edge.LoadSettings(path)
	if err := found.Err(); err != nil {
		log.Error("settings not reloaded", zap.Error(err))
		return
	}
	server.Reload(settings)
}
