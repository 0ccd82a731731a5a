package engine

import (
	"math/rand/v2"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// keptCacheEvents bounds the events that can still be read; older ones are lost.
const keptCacheEvents = 4096

// prefixCache is the prompt-prefix cache in limited memory and its event log.
type prefixCache struct {
	loss float64
	size int
	seed uint64

	mu       sync.Mutex
	blocks   *lru.Cache[uint64, string]
	random   *rand.Rand
	sequence int64
	events   []timedEvent
}

type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

func newPrefixCache(size int, loss float64, seed uint64) *prefixCache {
	c := &prefixCache{loss: loss, size: size, seed: seed}
	c.reset()
	return c
}

// reset empties the cache, as a process restart does.
func (c *prefixCache) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.random = rand.New(rand.NewPCG(c.seed, c.seed))
	c.sequence = 0
	c.events = nil
	// The only error is a size that is not positive, which New excludes. The callback runs under c.mu.
	c.blocks, _ = lru.NewWithEvict(c.size, func(hash uint64, model string) { c.log(hash, model, false) })
}

// use returns how many leading blocks were cached, and stores all of them.
func (c *prefixCache) use(model string, hashes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := 0
	for cached < len(hashes) {
		if _, ok := c.blocks.Get(hashes[cached]); !ok {
			break
		}
		cached++
	}
	for _, h := range hashes[cached:] {
		c.store(model, h)
	}
	return cached
}

func (c *prefixCache) store(model string, hash uint64) {
	if c.blocks.Contains(hash) {
		return
	}
	c.blocks.Add(hash, model)
	c.log(hash, model, true)
}

// held returns which of the blocks are cached.
func (c *prefixCache) held(hashes []uint64) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []uint64
	for _, h := range hashes {
		if c.blocks.Contains(h) {
			found = append(found, h)
		}
	}
	return found
}

// add stores imported blocks.
func (c *prefixCache) add(model string, hashes []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range hashes {
		c.store(model, h)
	}
}

// usage is the used fraction of the cache.
func (c *prefixCache) usage() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.blocks.Len()) / float64(c.size)
}

func (c *prefixCache) log(hash uint64, model string, stored bool) {
	c.sequence++
	if c.random.Float64() < c.loss {
		return
	}
	event := engine.CacheEvent{Sequence: c.sequence, Stored: stored, Model: model, PrefixHash: hash}
	c.events = append(c.events, timedEvent{CacheEvent: event, at: time.Now()})
	if len(c.events) > keptCacheEvents {
		c.events = c.events[len(c.events)-keptCacheEvents:]
	}
}

// after returns the events after a sequence number that are at least as old as the lag.
func (c *prefixCache) after(sequence int64, lag time.Duration) []engine.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := []engine.CacheEvent{}
	for _, event := range c.events {
		if event.Sequence > sequence && time.Since(event.at) >= lag {
			found = append(found, event.CacheEvent)
		}
	}
	return found
}
