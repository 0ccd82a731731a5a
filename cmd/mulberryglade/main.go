// Command mulberryglade is the command line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore/etcdgateway"
	"github.com/mulberryglade/mulberryglade/pkg/operator"
	"github.com/mulberryglade/mulberryglade/pkg/operator/commands"
	"github.com/mulberryglade/mulberryglade/pkg/operator/queries"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	env := &operator.Environment{
		Context:   ctx,
		Stdin:     os.Stdin,
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
		OpenStore: openStore,
		Now:       time.Now,
	}
	parser := operator.NewParser(env)
	commands.Register(parser, env)
	queries.Register(parser, env)
	code := operator.Run(parser, env, os.Args[1:])
	stop()
	os.Exit(code)
}

func openStore(o operator.StoreOptions) (kvstore.Store, error) {
	tlsConfig, err := o.TLS()
	if err != nil {
		return nil, err
	}
	return etcdgateway.New(etcdgateway.Options{URLs: o.URLs, TLS: tlsConfig})
}
