package scheduling

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

const (
	// DefaultPrefixBlocks is the default size of the index. A block takes about 150 bytes, 15 MB in total.
	DefaultPrefixBlocks = 100_000
	// maxHoldersPerBlock bounds the endpoints recorded per block. A prefix that more endpoints hold needs no affinity.
	maxHoldersPerBlock = 8
)

// CachedPrefix is the part of a prompt that an endpoint has cached.
type CachedPrefix struct {
	Endpoint string
	// Blocks counts the leading blocks of Request.PrefixHashes.
	Blocks int
}

func (r *Request) hasCachedPrefix(endpoint string) bool {
	return slices.ContainsFunc(r.cached, func(c CachedPrefix) bool { return c.Endpoint == endpoint })
}

// PrefixIndex records which endpoints hold which prompt blocks, from cache events and from this instance's calls.
// Events arrive late and with gaps; a gap invalidates all earlier blocks of the endpoint. The index is bounded and safe
// for concurrent use.
type PrefixIndex struct {
	mu      sync.Mutex
	blocks  *lru.Cache[uint64, []holder]
	sources map[string]*source
}

// holder is an endpoint that holds a block. It is valid while the generation of the endpoint is unchanged.
type holder struct {
	source     *source
	generation uint32
}

// source is the state of one endpoint's event stream.
type source struct {
	endpoint    string
	incarnation string
	sequence    int64
	// generation changes when all recorded blocks of the endpoint become invalid.
	generation uint32
}

var _ endpoints.EventSink = (*PrefixIndex)(nil)

// NewPrefixIndex returns an index of up to the given number of blocks, which must be positive.
func NewPrefixIndex(blocks int) *PrefixIndex {
	cache, err := lru.New[uint64, []holder](blocks)
	if err != nil {
		// The library rejects only a size below one.
		panic(err)
	}
	return &PrefixIndex{blocks: cache, sources: make(map[string]*source)}
}

// LastSequence implements endpoints.EventSink.
func (x *PrefixIndex) LastSequence(endpoint, incarnation string) int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.source(endpoint, incarnation).sequence
}

// Apply implements endpoints.EventSink. It ignores events that were applied before.
func (x *PrefixIndex) Apply(endpoint, incarnation string, events []engine.CacheEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.source(endpoint, incarnation)
	for _, e := range events {
		if e.Sequence <= s.sequence {
			continue
		}
		if e.Sequence != s.sequence+1 {
			s.generation++
		}
		s.sequence = e.Sequence
		key := blockKey(e.Model, e.PrefixHash)
		if e.Stored {
			x.add(key, s)
			continue
		}
		x.remove(key, s)
	}
}

// RecordSent records the prompt's blocks for the endpoint that received the call, before the cache events arrive.
func (x *PrefixIndex) RecordSent(request *Request, endpoint string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.sources[endpoint]
	if s == nil {
		s = x.source(endpoint, "")
	}
	for _, hash := range request.PrefixHashes {
		x.add(blockKey(request.cacheNamespace(), hash), s)
	}
}

// RemoveEndpoint drops an endpoint that is no longer declared.
func (x *PrefixIndex) RemoveEndpoint(endpoint string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := x.sources[endpoint]; s != nil {
		s.generation++
		delete(x.sources, endpoint)
	}
}

// Lookup returns the endpoints that hold leading blocks of the prompt, longest prefix first.
func (x *PrefixIndex) Lookup(request *Request) []CachedPrefix {
	if len(request.PrefixHashes) == 0 {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	var found []CachedPrefix
	for i := len(request.PrefixHashes) - 1; i >= 0; i-- {
		holders, _ := x.blocks.Get(blockKey(request.cacheNamespace(), request.PrefixHashes[i]))
		for _, h := range holders {
			listed := slices.ContainsFunc(found, func(c CachedPrefix) bool { return c.Endpoint == h.source.endpoint })
			if h.valid() && !listed {
				found = append(found, CachedPrefix{Endpoint: h.source.endpoint, Blocks: i + 1})
			}
		}
		if len(found) >= maxHoldersPerBlock {
			break
		}
	}
	return found
}

// Len returns the number of blocks in the index.
func (x *PrefixIndex) Len() int { return x.blocks.Len() }

func (x *PrefixIndex) source(endpoint, incarnation string) *source {
	s := x.sources[endpoint]
	if s == nil {
		s = &source{endpoint: endpoint, incarnation: incarnation}
		x.sources[endpoint] = s
	}
	if s.incarnation != incarnation {
		if s.incarnation != "" {
			s.generation++
		}
		s.incarnation = incarnation
		s.sequence = 0
	}
	return s
}

func (x *PrefixIndex) add(key uint64, s *source) {
	holders, _ := x.blocks.Get(key)
	kept := make([]holder, 0, len(holders)+1)
	for _, h := range holders {
		if h.valid() && h.source != s {
			kept = append(kept, h)
		}
	}
	if len(kept) == maxHoldersPerBlock {
		kept = kept[1:]
	}
	x.blocks.Add(key, append(kept, holder{source: s, generation: s.generation}))
}

func (x *PrefixIndex) remove(key uint64, s *source) {
	holders, ok := x.blocks.Peek(key)
	if !ok {
		return
	}
	kept := slices.DeleteFunc(slices.Clone(holders), func(h holder) bool { return h.source == s || !h.valid() })
	if len(kept) == 0 {
		x.blocks.Remove(key)
		return
	}
	x.blocks.Add(key, kept)
}

func (h holder) valid() bool { return h.generation == h.source.generation }

// cacheNamespace returns the name under which the engine caches the call's blocks: the adapter, because it changes the
// cached values, else the model.
func (r *Request) cacheNamespace() string {
	if r.Adapter != "" {
		return r.Adapter
	}
	return r.Model
}

// blockKey distinguishes equal blocks of different models.
func blockKey(model string, hash uint64) uint64 {
	return xxhash.Sum64String(model) ^ hash*0x9e3779b97f4a7c15
}
