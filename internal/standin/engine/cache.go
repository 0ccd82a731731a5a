package engine

import (
	"math/rand/v2"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// maxCacheEvents is the number of events kept for readers; older ones are dropped.
const maxCacheEvents = 4096

// prefixCache is the prompt-prefix cache, an LRU cache of limited size, with its event log.
type prefixCache struct {
	eventLossRate float64
	maxBlocks     int
	seed          uint64

	mu       sync.Mutex
	blocks   *lru.Cache[uint64, string]
	random   *rand.Rand
	sequence int64
	events   []timedEvent
}

type timedEvent struct {
	engine.CacheEvent
	recordedAt time.Time
}

func newPrefixCache(maxBlocks int, eventLossRate float64, seed uint64) *prefixCache {
	c := &prefixCache{eventLossRate: eventLossRate, maxBlocks: maxBlocks, seed: seed}
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
	// The only possible error is a size that is not positive; New excludes it. The callback runs under c.mu.
	c.blocks, _ = lru.NewWithEvict(c.maxBlocks, func(hash uint64, model string) { c.recordEvent(hash, model, false) })
}

// lookupAndStore returns the number of leading blocks that were cached and stores all blocks.
func (c *prefixCache) lookupAndStore(model string, hashes []uint64) int {
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
	c.recordEvent(hash, model, true)
}

// cachedBlocks returns those of the blocks that are cached.
func (c *prefixCache) cachedBlocks(hashes []uint64) []uint64 {
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

// storeAll stores imported blocks.
func (c *prefixCache) storeAll(model string, hashes []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range hashes {
		c.store(model, h)
	}
}

// usage returns the used fraction of the cache, 0 to 1.
func (c *prefixCache) usage() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.blocks.Len()) / float64(c.maxBlocks)
}

func (c *prefixCache) recordEvent(hash uint64, model string, stored bool) {
	c.sequence++
	if c.random.Float64() < c.eventLossRate {
		return
	}
	event := engine.CacheEvent{Sequence: c.sequence, Stored: stored, Model: model, PrefixHash: hash}
	c.events = append(c.events, timedEvent{CacheEvent: event, recordedAt: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events with a higher sequence number that are at least minAge old.
func (c *prefixCache) eventsAfter(sequence int64, minAge time.Duration) []engine.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := []engine.CacheEvent{}
	for _, event := range c.events {
		if event.Sequence > sequence && time.Since(event.recordedAt) >= minAge {
			found = append(found, event.CacheEvent)
		}
	}
	return found
}
