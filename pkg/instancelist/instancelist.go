// Package instancelist reads the platform's list of live and leaving instances. The list lags behind the instances.
package instancelist

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryglade/mulberryglade/internal/httpjson"
)

// ErrUnavailable means that the list could not be read.
var ErrUnavailable = errors.New("instance list unavailable")

// Role is what an instance does.
type Role string

const (
	// RoleEntry instances run the daemon.
	RoleEntry Role = "entry"
	// RoleEndpoint instances run engines or plain services.
	RoleEndpoint Role = "endpoint"
)

// State tells whether an instance takes new work.
type State string

const (
	// StateLive instances take new work.
	StateLive State = "live"
	// StateLeaving instances end soon and take no new work.
	StateLeaving State = "leaving"
)

// Instance is one entry of the list.
type Instance struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Address is the IP address and port of the instance.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	State      State  `json:"state"`
}

// Lister reads the list.
type Lister interface {
	// List returns all instances, in the order of the service. Errors: ErrUnavailable.
	List(ctx context.Context) ([]Instance, error)
}

// Options are the parameters of New.
type Options struct {
	// URLs are base URLs of the service; they are equivalent.
	URLs []string
	// Timeout bounds each call, all URLs together; zero means 2 s.
	Timeout time.Duration
	Scope   tally.Scope
}

// Client is a Lister over HTTP and JSON: GET /v1/instances returns {"instances": [...]}.
type Client struct {
	reader *httpjson.Reader
	scope  tally.Scope
}

var _ Lister = (*Client)(nil)

// New returns a client; it opens no connection.
func New(o Options) (*Client, error) {
	reader, err := httpjson.New(httpjson.Options{URLs: o.URLs, Timeout: o.Timeout})
	if err != nil {
		return nil, errors.Wrap(err, "instance list")
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Client{reader: reader, scope: o.Scope.SubScope("instance_list")}, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.reader.Close()
}

// List implements Lister. Entries that are incomplete or have an unknown role or state are left out and counted, so that
// one of them does not hide the others. A document without the list is an error: it would otherwise look as if all
// instances had gone.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	var document struct {
		Instances *[]Instance `json:"instances"`
	}
	if err := c.reader.Get(ctx, "/v1/instances", &document); err != nil {
		c.scope.Counter("failures").Inc(1)
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	if document.Instances == nil {
		c.scope.Counter("failures").Inc(1)
		return nil, errors.Wrap(ErrUnavailable, "document without instances")
	}
	var usable []Instance
	seen := make(map[string]bool)
	for _, instance := range *document.Instances {
		if !instance.valid() || seen[instance.ID] {
			c.scope.Counter("invalid_entries").Inc(1)
			continue
		}
		seen[instance.ID] = true
		usable = append(usable, instance)
	}
	return usable, nil
}

func (i Instance) valid() bool {
	_, err := netip.ParseAddrPort(i.Address)
	role := i.Role == RoleEntry || i.Role == RoleEndpoint
	state := i.State == StateLive || i.State == StateLeaving
	return err == nil && role && state && i.ID != "" && i.DataCentre != ""
}
