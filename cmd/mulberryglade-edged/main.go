// Command mulberryglade-edged runs one entry instance on the operator's platform, whose wire format package platform
// translates. The instance serves clients and takes part in the placement of models. It reads only the settings file;
// all other configuration comes from the platform's store.
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
	"github.com/mulberryglade/mulberryglade/pkg/membudget"
	"github.com/mulberryglade/mulberryglade/pkg/telemetry"
	"github.com/mulberryglade/mulberryglade/platform"
)

// exitFailure is returned if the daemon cannot start or stops with an error, exitUsage if the command line is invalid,
// exitInvalidSettings if the settings file is invalid.
const (
	exitFailure         = 1
	exitUsage           = 2
	exitInvalidSettings = 3
)

const (
	// gcPercent lets the heap grow by half between collections, since memory is paid for on every instance and the heap
	// is only a few megabytes.
	gcPercent = 50
	// memoryLimitFraction is the soft memory limit of the Go runtime as a fraction of the process's memory limit. Near
	// the soft limit, the garbage collector runs more often.
	memoryLimitFraction = 0.7
	// heldMemoryFraction is the fraction of the memory limit for what the instance holds for clients and endpoints: heads,
	// bodies, buffered responses and streams. The heap may grow by half of it before a collection, and the process itself
	// takes some 25 MB. defaultHeldMemory applies without a memory limit.
	heldMemoryFraction = 0.2
	defaultHeldMemory  = 64 << 20
	// metricsFlushInterval is the interval between two flushes of the counters. Metrics are read every few seconds.
	metricsFlushInterval = 5 * time.Second
	// connectionIdleTimeout is the time for which idle connections to endpoints are kept. A shorter keep-alive timeout
	// that an endpoint announces has precedence.
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
	settings, findings := edge.LoadSettings(o.Settings)
	if err := findings.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	if o.Check {
		return 0
	}
	debug.SetGCPercent(gcPercent)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryLimitFraction))
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
	metrics := telemetry.NewMetrics(metricsFlushInterval)
	defer func() { _ = metrics.Close() }()
	rejections := httpconn.NewRejections(metrics.Scope, log)
	// Replies to control calls are whole by their status or their JSON document.
	controlPool := httpconn.NewPool(httpconn.Options{AllowCloseDelimited: true, Rejections: rejections})
	defer controlPool.Close()
	requestPool := httpconn.NewPool(httpconn.Options{
		Accept: platform.AcceptsResponse, AllowCloseDelimited: true, IdleTimeout: connectionIdleTimeout,
		Memory: membudget.New(heldMemory(settings)), Rejections: rejections,
	})
	defer requestPool.Close()
	server, err := edge.New(settings, edge.Dependencies{
		HeaderCodec:  platform.HeaderCodec{},
		EntryDecoder: platform.NewEntryDecoder(),
		Store:        platform.NewStore(settings.StoreAddress, controlPool),
		Engines:      platform.NewEngines(controlPool),
		Pool:         requestPool,
		Scope:        metrics.Scope,
		Metrics:      metrics.Handler,
	}, log)
	if err != nil {
		log.Error("start failed", zap.Error(err))
		return exitFailure
	}
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	go func() {
		for range reloadSignals {
			reload(server, path, log)
		}
	}()
	if err := server.Run(ctx); err != nil {
		log.Error("serving failed", zap.Error(err))
		return exitFailure
	}
	return 0
}

// heldMemory returns the number of bytes that the instance may hold for clients and endpoints.
func heldMemory(settings edge.Settings) int64 {
	if settings.MemoryMB <= 0 {
		return defaultHeldMemory
	}
	return int64(float64(settings.MemoryMB<<20) * heldMemoryFraction)
}

// reload applies the settings file. If the file is invalid, the current settings stay in effect.
func reload(server *edge.Server, path string, log *zap.Logger) {
	settings, findings := edge.LoadSettings(path)
	if err := findings.Err(); err != nil {
		log.Error("settings not reloaded", zap.Error(err))
		return
	}
	server.Reload(settings)
}
