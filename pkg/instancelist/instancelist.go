// Package instancelist reads the platform's list of live and leaving instances. The list lags behind their state.
package instancelist

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryglade/mulberryglade/internal/httpjson"
)

// ErrUnavailable is returned when the list cannot be read.
var ErrUnavailable = errors.New("instance list unavailable")

// Role is the purpose of an instance.
type Role string

const (
	// RoleEntry instances run the daemon.
	RoleEntry Role = "entry"
	// RoleEndpoint instances run engines or plain services.
	RoleEndpoint Role = "endpoint"
)

// State determines whether an instance accepts new work.
type State string

const (
	// StateLive instances accept new work.
	StateLive State = "live"
	// StateLeaving instances stop soon and accept no new work.
	StateLeaving State = "leaving"
)

// Instance is one entry of the list.
type Instance struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Address is IP:PORT of the instance.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	State      State  `json:"state"`
}

// Lister reads the list.
type Lister interface {
	// List returns all instances in the order of the response. Errors: ErrUnavailable.
	List(ctx context.Context) ([]Instance, error)
}

// Options are the parameters of New.
type Options struct {
	// URLs are the base URLs of the list service. All of them serve the same list.
	URLs []string
	// Timeout bounds each call including retries at other URLs; zero means 2 s.
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

// List implements Lister. It skips and counts entries that are incomplete, duplicate or of unknown role or state, so
// that one invalid entry does not hide the others. A response without the list is an error, because it would otherwise
// look as if all instances had stopped.
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
		return nil, errors.Wrap(ErrUnavailable, "response has no list of instances")
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
