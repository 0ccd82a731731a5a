// Package operator has the common parts of the commands and queries of the operators' command line: options,
// connections, output and exit codes.
package operator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/mulberryglade/mulberryglade/pkg/adminapi"
	"github.com/mulberryglade/mulberryglade/pkg/configstore"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/tlsfiles"
)

// Environment has the inputs, outputs and dependencies of the command line.
type Environment struct {
	// Context is canceled when the user interrupts the program.
	Context context.Context
	Stdin   io.Reader
	Stdout  io.Writer
	Stderr  io.Writer
	// OpenStore connects to the key-value store.
	OpenStore func(StoreOptions) (kvstore.Store, error)
	// Now returns the current time.
	Now func() time.Time

	global globalOptions
}

type globalOptions struct {
	Output string `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"Form of the output"`
}

// StoreOptions are the options for the connection to the key-value store.
type StoreOptions struct {
	URLs []string `long:"store" env:"MULBERRYGLADE_STORE" env-delim:"," value-name:"URL" description:"Key-value store; may be given more than once"`

	Prefix  string         `long:"prefix" env:"MULBERRYGLADE_PREFIX" default:"mulberryglade/" description:"Prefix of all keys of the deployment in the store"`
	CAFile  flags.Filename `long:"store-ca" env:"MULBERRYGLADE_STORE_CA" value-name:"FILE" description:"PEM file with the authorities of the store"`
	Timeout time.Duration  `long:"timeout" default:"30s" description:"Time after which to give up"`
}

// TLS returns the client configuration for the store.
func (o StoreOptions) TLS() (*tls.Config, error) {
	return tlsfiles.Client(tlsfiles.Files{CAFile: string(o.CAFile)})
}

// AdminOptions are the options for the connection to a daemon's admin port.
type AdminOptions struct {
	URL       string         `long:"admin" env:"MULBERRYGLADE_ADMIN" value-name:"URL" default:"http://127.0.0.1:9480" description:"Admin port of an instance"`
	TokenFile flags.Filename `long:"token-file" env:"MULBERRYGLADE_TOKEN_FILE" value-name:"FILE" description:"File with the operator token"`
	CAFile    flags.Filename `long:"admin-ca" env:"MULBERRYGLADE_ADMIN_CA" value-name:"FILE" description:"PEM file with the authorities of the admin port"`
	CertFile  flags.Filename `long:"admin-cert" env:"MULBERRYGLADE_ADMIN_CERT" value-name:"FILE" description:"PEM file with the client certificate"`
	KeyFile   flags.Filename `long:"admin-key" env:"MULBERRYGLADE_ADMIN_KEY" value-name:"FILE" description:"PEM file with the client key"`
	Timeout   time.Duration  `long:"timeout" default:"10s" description:"Time after which to give up"`
}

// ErrUsage marks errors in the command line arguments.
var ErrUsage = errors.New("usage")

// UsageError returns an error that is marked with ErrUsage. Its text does not contain the text of ErrUsage.
func UsageError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrUsage)
}

// Repository returns a repository of the configuration in the store.
func (e *Environment) Repository(o StoreOptions) (*configstore.Repository, error) {
	if len(o.URLs) == 0 {
		return nil, UsageError("set the key-value store with --store or MULBERRYGLADE_STORE")
	}
	store, err := e.OpenStore(o)
	if err != nil {
		return nil, err
	}
	return configstore.New(store, configstore.Options{Prefix: o.Prefix, Now: e.Now}), nil
}

// Admin returns a client for the admin port of an instance.
func (e *Environment) Admin(o AdminOptions) (*adminapi.Client, error) {
	files := tlsfiles.Files{CertFile: string(o.CertFile), KeyFile: string(o.KeyFile), CAFile: string(o.CAFile)}
	config, err := tlsfiles.Client(files)
	if err != nil {
		return nil, err
	}
	token := ""
	if o.TokenFile != "" {
		data, err := os.ReadFile(string(o.TokenFile))
		if err != nil {
			return nil, errors.Wrap(err, "operator token")
		}
		token = strings.TrimSpace(string(data))
	}
	return adminapi.NewClient(adminapi.Options{URL: o.URL, Token: token, TLS: config, Timeout: o.Timeout}), nil
}

// JSON reports whether the output format is JSON.
func (e *Environment) JSON() bool {
	return e.global.Output == "json"
}

// Print writes the value as JSON, or the rows as a table.
func (e *Environment) Print(value any, header []string, rows [][]string) error {
	if e.JSON() {
		return e.PrintJSON(value)
	}
	w := tabwriter.NewWriter(e.Stdout, 0, 0, 2, ' ', 0)
	if len(header) > 0 {
		rows = append([][]string{header}, rows...)
	}
	for _, row := range rows {
		if _, err := io.WriteString(w, strings.Join(row, "\t")+"\n"); err != nil {
			return err
		}
	}
	return w.Flush()
}

// PrintJSON writes the value as indented JSON.
func (e *Environment) PrintJSON(value any) error {
	enc := json.NewEncoder(e.Stdout)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(value)
}
