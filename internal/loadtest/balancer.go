package loadtest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	// readinessInterval is how often the balancer asks each instance whether it is ready.
	readinessInterval = 250 * time.Millisecond
	readinessTimeout  = 200 * time.Millisecond
)

// Balancer stands for the platform's load balancer. It spreads each member's calls unevenly: each member has an order of
// the instances of its own, and the n-th of them gets calls in proportion to 1/n.
type Balancer struct {
	mu        sync.Mutex
	random    *rand.Rand
	addresses []string
	ready     []bool
	orders    map[string][]int
}

// NewBalancer returns a balancer over the callers' addresses, all of which count as ready.
func NewBalancer(addresses []string, seed uint64) *Balancer {
	b := &Balancer{
		random:    rand.New(rand.NewPCG(seed, 0)),
		addresses: addresses,
		ready:     make([]bool, len(addresses)),
		orders:    make(map[string][]int),
	}
	for i := range b.ready {
		b.ready[i] = true
	}
	return b
}

// Pick returns the address for the next call of the member. Without a ready instance it returns the one that the member
// prefers.
func (b *Balancer) Pick(member string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	order := b.orders[member]
	if order == nil {
		order = b.random.Perm(len(b.addresses))
		b.orders[member] = order
	}
	var ready []int
	for _, i := range order {
		if b.ready[i] {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		ready = order
	}
	return b.addresses[ready[zipf(len(ready), b.random)]]
}

// Watch asks the admin ports for readiness until the context ends.
func (b *Balancer) Watch(ctx context.Context, admins []string) {
	var group conc.WaitGroup
	defer group.Wait()
	for i, admin := range admins {
		group.Go(func() { b.watch(ctx, i, admin) })
	}
}

func (b *Balancer) watch(ctx context.Context, index int, admin string) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		status, _, err := fasthttp.GetTimeout(nil, "http://"+admin+"/readyz", readinessTimeout)
		b.mu.Lock()
		b.ready[index] = err == nil && status == fasthttp.StatusOK
		b.mu.Unlock()
	}
}
