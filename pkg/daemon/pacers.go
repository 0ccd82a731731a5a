package daemon

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/placement"
)

// loadLimits is this data centre's part of the weight store's limits. The holders of different data centres do not talk
// to each other, so each keeps to an equal part.
type loadLimits struct {
	modelsPerSecond    float64
	concurrentModels   int
	concurrentAdapters int
}

func limitsOf(snapshot *config.Snapshot) loadLimits {
	d := snapshot.Deployment()
	parts := max(1, len(engineDataCentres(snapshot))*max(1, d.PlacementShards))
	return loadLimits{
		modelsPerSecond:    d.ModelLoadsPerSecond / float64(parts),
		concurrentModels:   max(1, d.ConcurrentModelLoads/parts),
		concurrentAdapters: max(1, d.ConcurrentAdapterLoads/parts),
	}
}

// engineDataCentres returns the data centres that have engine endpoints.
func engineDataCentres(snapshot *config.Snapshot) map[string]bool {
	found := make(map[string]bool)
	for _, e := range snapshot.Records().Endpoints {
		if len(e.Accelerators) > 0 {
			found[e.DataCentre] = true
		}
	}
	return found
}

// sharedPacer paces the loads of all placement shards of this instance. Its limits follow the declarations. It is safe
// for concurrent use.
type sharedPacer struct {
	rate *rate.Limiter

	mu      sync.Mutex
	running int
	limit   int
	// freed is closed and replaced when a load ends or the limit grows.
	freed chan struct{}
}

var _ placement.Pacer = (*sharedPacer)(nil)

// newSharedPacer returns a pacer that lets nothing start before setLimits.
func newSharedPacer() *sharedPacer {
	return &sharedPacer{rate: rate.NewLimiter(rate.Inf, 1), freed: make(chan struct{})}
}

// setLimits changes the limits; a rate of zero means no limit of the rate.
func (p *sharedPacer) setLimits(perSecond float64, concurrent int) {
	limit := rate.Limit(perSecond)
	if perSecond <= 0 {
		limit = rate.Inf
	}
	p.rate.SetLimit(limit)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = concurrent
	p.signal()
}

// signal wakes waiting loads. The caller holds the lock.
func (p *sharedPacer) signal() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// Acquire implements placement.Pacer.
func (p *sharedPacer) Acquire(ctx context.Context) (func(), error) {
	if err := p.takeSlot(ctx); err != nil {
		return nil, err
	}
	if err := p.rate.Wait(ctx); err != nil {
		p.freeSlot()
		return nil, errors.Wrap(err, "wait for the load rate")
	}
	return sync.OnceFunc(p.freeSlot), nil
}

func (p *sharedPacer) takeSlot(ctx context.Context) error {
	for {
		p.mu.Lock()
		if p.running < p.limit {
			p.running++
			p.mu.Unlock()
			return nil
		}
		freed := p.freed
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-freed:
		}
	}
}

func (p *sharedPacer) freeSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.signal()
}
