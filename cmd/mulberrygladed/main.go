// Command mulberrygladed is the entry daemon: it serves callers, exchanges state with its peers and places models.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/daemon"
	"github.com/mulberryglade/mulberryglade/pkg/settings"
	"github.com/mulberryglade/mulberryglade/pkg/telemetry"
)

// exitFailure is returned if the daemon cannot start or stops with an error, exitUsage if the command line is invalid,
// exitInvalidSettings if the settings file is invalid.
const (
	exitFailure         = 1
	exitUsage           = 2
	exitInvalidSettings = 3
)

// Where the memory of the process is limited, the heap grows by half between collections, and the garbage collector runs
// more often near the soft limit, which is this fraction of the memory.
const (
	gcPercent           = 50
	memoryLimitFraction = 0.7
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
	s, findings := settings.Load(o.Settings)
	if err := findings.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	if o.Check {
		return 0
	}
	if s.Limits.MemoryMB > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMB<<20) * memoryLimitFraction))
	}
	log, err := telemetry.NewLogger(s.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	defer func() { _ = log.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return serve(ctx, s, log)
}

func serve(ctx context.Context, s settings.Settings, log *zap.Logger) int {
	d, err := daemon.New(s, log)
	if err != nil {
		log.Error("start failed", zap.Error(err))
		return exitFailure
	}
	if err := d.Run(ctx); err != nil {
		return exitFailure
	}
	return 0
}
