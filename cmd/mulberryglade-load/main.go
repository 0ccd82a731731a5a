// Command mulberryglade-load runs experiments with open-loop load against daemon processes and stand-ins on loopback,
// and compares their reports.
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

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parser := flags.NewNamedParser("mulberryglade-load", flags.Default)
	commands := []struct {
		name, short, long string
		command           flags.Commander
	}{
		{"run", "run a scenario", "Runs a scenario once for each policy and seed, one after the other.", &runCommand{ctx: ctx}},
		{"compare", "compare reports", "Prints a table of the reports' means over the seeds and writes a plot.", &compareCommand{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.command); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitUsage)
		}
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}
