// Package weightstore reads the sizes of artifacts from the weight store and limits the rate and number of loads from
// it.
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

// ErrUnavailable means that the catalog could not be read or is invalid.
var ErrUnavailable = errors.New("weight store catalog unavailable")

// Catalog lists the artifacts in the weight store.
type Catalog interface {
	// Sizes returns the size of every artifact in bytes. Errors: ErrUnavailable.
	Sizes(ctx context.Context) (map[engine.Artifact]int64, error)
}

// Options configures a Client.
type Options struct {
	// URLs are equivalent base URLs of the weight store.
	URLs []string
	// Timeout bounds each call, including attempts at all URLs. Zero means 2 s.
	Timeout time.Duration
}

// Client reads the catalog over HTTP. GET /v1/artifacts returns the JSON document
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

// New returns a client. It opens no connection.
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

// Sizes implements Catalog. It omits entries without a name or version and entries whose size is not positive: with a
// size of zero, a load could be planned where it does not fit.
func (c *Client) Sizes(ctx context.Context) (map[engine.Artifact]int64, error) {
	var document struct {
		Artifacts *[]Entry `json:"artifacts"`
	}
	if err := c.reader.Get(ctx, "/v1/artifacts", &document); err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	if document.Artifacts == nil {
		return nil, errors.Wrap(ErrUnavailable, "document has no artifacts field")
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

// Pacer limits the number of loads that start per second and the number in progress. It is safe for concurrent use.
type Pacer struct {
	limiter *rate.Limiter

	mu         sync.Mutex
	maxRunning int
	running    int
	// slotFreed is closed and replaced when a load ends or the limits change.
	slotFreed chan struct{}
}

// NewPacer returns a pacer. The first load may start immediately, later loads at the given rate. A rate or maximum that
// is not positive means no limit.
func NewPacer(loadsPerSecond float64, maxRunning int) *Pacer {
	p := &Pacer{limiter: rate.NewLimiter(rate.Inf, 1), slotFreed: make(chan struct{})}
	p.Set(loadsPerSecond, maxRunning)
	return p
}

// Set changes the limits, for example after a change of the declarations. It does not affect loads in progress.
func (p *Pacer) Set(loadsPerSecond float64, maxRunning int) {
	limit := rate.Limit(loadsPerSecond)
	if loadsPerSecond <= 0 {
		limit = rate.Inf
	}
	p.limiter.SetLimit(limit)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxRunning = maxRunning
	p.notifyWaiters()
}

// Acquire waits until a load may start. The first call of the returned function ends the load; later calls have no
// effect. Errors: the context's error; context.DeadlineExceeded also if the wait would exceed the deadline.
func (p *Pacer) Acquire(ctx context.Context) (release func(), err error) {
	if err := p.acquireSlot(ctx); err != nil {
		return nil, err
	}
	release = sync.OnceFunc(p.releaseSlot)
	// The slot is acquired before the rate token: a token that waits for a slot would waste the rate.
	if err := p.limiter.Wait(ctx); err != nil {
		release()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, errors.Wrap(context.DeadlineExceeded, "wait for the load rate limit")
	}
	return release, nil
}

// Running returns the number of loads in progress, including those that wait for the rate.
func (p *Pacer) Running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

func (p *Pacer) acquireSlot(ctx context.Context) error {
	for {
		if err := ctx.Err(); err != nil {
			return err
		}
		slotFreed, ok := p.tryAcquireSlot()
		if ok {
			return nil
		}
		select {
		case <-slotFreed:
		case <-ctx.Done():
		}
	}
}

func (p *Pacer) tryAcquireSlot() (<-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxRunning > 0 && p.running >= p.maxRunning {
		return p.slotFreed, false
	}
	p.running++
	return nil, true
}

func (p *Pacer) releaseSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.notifyWaiters()
}

func (p *Pacer) notifyWaiters() {
	close(p.slotFreed)
	p.slotFreed = make(chan struct{})
}
