// Command mulberryglade-dev runs a whole deployment in one process on loopback for evaluation: one entry instance per
// data centre, and stand-ins for the key-value store, the engines and the plain services.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

const exitUsage = 2

type options struct {
	Deployment string `short:"d" long:"deployment" description:"sample deployment" choice:"sindhuli" choice:"lusorenda" default:"sindhuli"`
	Demo       bool   `long:"demo" description:"send a streamed model call and an order, print what was decided, and exit"`
	// LogLevel defaults to error, since hundreds of warnings about missing copies are logged until the first loads
	// complete.
	LogLevel string `long:"log-level" description:"debug, info, warn or error" default:"error"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "mulberryglade-dev:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	system, err := startSystem(ctx, o)
	if err != nil {
		return err
	}
	defer system.stop()
	if err := system.waitUntilReady(ctx); err != nil {
		if ctx.Err() != nil {
			// The user pressed Ctrl-C.
			return nil
		}
		return err
	}
	system.printAddresses()
	if o.Demo {
		return system.runDemo(ctx)
	}
	fmt.Println("Press Ctrl-C to stop.")
	<-ctx.Done()
	return nil
}
