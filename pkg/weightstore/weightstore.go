// Package weightstore reads the sizes of artifacts from the weight store and paces loads to its rate.
package weightstore

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/mulberryglade/mulberryglade/internal/httpjson"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// ErrUnavailable means that the catalog could not be read.
var ErrUnavailable = errors.New("weight store catalog unavailable")

// Catalog knows the artifacts that the weight store has.
type Catalog interface {
	// Sizes returns the size of every artifact in bytes. Errors: ErrUnavailable.
	Sizes(ctx context.Context) (map[engine.Artifact]int64, error)
}

// Options are the parameters of New.
type Options struct {
	// URLs are base URLs of the service; they are equivalent.
	URLs []string
	// Timeout bounds each call, all URLs together; zero means 2 s.
	Timeout time.Duration
}

// Client is a Catalog over HTTP and JSON: GET /v1/artifacts returns
// {"artifacts": [{"kind", "name", "version", "sizeBytes"}]}.
type Client struct {
	reader *httpjson.Reader
}

var _ Catalog = (*Client)(nil)

// Entry is one artifact of the catalog.
type Entry struct {
	engine.Artifact
	SizeBytes int64 `json:"sizeBytes"`
}

// New returns a client; it opens no connection.
func New(o Options) (*Client, error) {
	reader, err := httpjson.New(httpjson.Options{URLs: o.URLs, Timeout: o.Timeout})
	if err != nil {
		return nil, errors.Wrap(err, "weight store")
	}
	return &Client{reader: reader}, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.reader.Close()
}

// Sizes implements Catalog. Entries without name or version or with a size that is not positive are left out: a size of
// zero would let a load be planned where it does not fit.
func (c *Client) Sizes(ctx context.Context) (map[engine.Artifact]int64, error) {
	var document struct {
		Artifacts *[]Entry `json:"artifacts"`
	}
	if err := c.reader.Get(ctx, "/v1/artifacts", &document); err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	if document.Artifacts == nil {
		return nil, errors.Wrap(ErrUnavailable, "document without artifacts")
	}
	sizes := make(map[engine.Artifact]int64)
	for _, entry := range *document.Artifacts {
		if entry.Name == "" || entry.Version == "" || entry.SizeBytes <= 0 {
			continue
		}
		sizes[entry.Artifact] = entry.SizeBytes
	}
	return sizes, nil
}

// Pacer limits the loads that start per second and those in progress. It is safe for concurrent use.
type Pacer struct {
	limiter *rate.Limiter

	mu         sync.Mutex
	concurrent int
	running    int
	// freed is closed and replaced when a load ends or the bound changes.
	freed chan struct{}
}

// NewPacer returns a pacer. One load may start at once, later ones at the rate; a rate or bound that is not positive
// means no limit.
func NewPacer(loadsPerSecond float64, concurrent int) *Pacer {
	p := &Pacer{limiter: rate.NewLimiter(rate.Inf, 1), freed: make(chan struct{})}
	p.Set(loadsPerSecond, concurrent)
	return p
}

// Set changes the limits, for example when the declarations change. Loads in progress are not affected.
func (p *Pacer) Set(loadsPerSecond float64, concurrent int) {
	limit := rate.Limit(loadsPerSecond)
	if loadsPerSecond <= 0 {
		limit = rate.Inf
	}
	p.limiter.SetLimit(limit)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.concurrent = concurrent
	p.wake()
}

// Acquire waits until a load may start. The returned function ends the load; later calls of it have no effect. Errors:
// the context's error, also when the wait would be longer than its deadline.
func (p *Pacer) Acquire(ctx context.Context) (release func(), err error) {
	if err := p.enter(ctx); err != nil {
		return nil, err
	}
	release = sync.OnceFunc(p.leave)
	// The place is taken first: a token that is taken and then waits for a place would waste the rate.
	if err := p.limiter.Wait(ctx); err != nil {
		release()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, errors.Wrap(context.DeadlineExceeded, "wait for a load")
	}
	return release, nil
}

// Running returns the number of loads in progress, including those that wait for the rate.
func (p *Pacer) Running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

func (p *Pacer) enter(ctx context.Context) error {
	for {
		if err := ctx.Err(); err != nil {
			return err
		}
		freed, ok := p.tryEnter()
		if ok {
			return nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
		}
	}
}

func (p *Pacer) tryEnter() (<-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.concurrent > 0 && p.running >= p.concurrent {
		return p.freed, false
	}
	p.running++
	return nil, true
}

func (p *Pacer) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.wake()
}

func (p *Pacer) wake() {
	close(p.freed)
	p.freed = make(chan struct{})
}
