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
	// readinessInterval is the interval between two readiness checks of an instance.
	readinessInterval = 250 * time.Millisecond
	readinessTimeout  = 200 * time.Millisecond
)

// Balancer emulates the load balancer in front of the instances in production, which distributes a member's calls
// unevenly. Each member has its own random preference order of the instances; the n-th instance receives calls in
// proportion to 1/n.
type Balancer struct {
	mu                sync.Mutex
	random            *rand.Rand
	instanceAddresses []string
	ready             []bool
	// preferences has the indexes of the instances in the preference order of each member.
	preferences map[string][]int
}

// NewBalancer returns a balancer over the addresses at which the instances accept calls. All instances are ready at
// first.
func NewBalancer(instanceAddresses []string, seed uint64) *Balancer {
	b := &Balancer{
		random:            rand.New(rand.NewPCG(seed, 0)),
		instanceAddresses: instanceAddresses,
		ready:             make([]bool, len(instanceAddresses)),
		preferences:       make(map[string][]int),
	}
	for i := range b.ready {
		b.ready[i] = true
	}
	return b
}

// PickAddress returns the address of a ready instance for the member's next call. If no instance is ready, it picks
// among all of them.
func (b *Balancer) PickAddress(member string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	preference := b.preferences[member]
	if preference == nil {
		preference = b.random.Perm(len(b.instanceAddresses))
		b.preferences[member] = preference
	}
	var candidates []int
	for _, i := range preference {
		if b.ready[i] {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		candidates = preference
	}
	return b.instanceAddresses[candidates[zipf(len(candidates), b.random)]]
}

// PollReadiness checks the readiness of the instances at their admin addresses until the context ends.
func (b *Balancer) PollReadiness(ctx context.Context, adminAddresses []string) {
	var group conc.WaitGroup
	defer group.Wait()
	for i, address := range adminAddresses {
		group.Go(func() { b.pollInstance(ctx, i, address) })
	}
}

func (b *Balancer) pollInstance(ctx context.Context, index int, address string) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		status, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/readyz", readinessTimeout)
		b.mu.Lock()
		b.ready[index] = err == nil && status == fasthttp.StatusOK
		b.mu.Unlock()
	}
}
