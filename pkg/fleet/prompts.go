package fleet

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// maxCachedParts bounds the prompt parts recorded per endpoint. An engine caches some 150,000 tokens in parts of a few
// hundred tokens.
const maxCachedParts = 512

// PromptPart is one part of a prompt. Parts are in order from the beginning of the prompt.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// PartKey is a hash of a prompt part, the model and the adapter. Engines share no cached parts between models or
// adapters. If two parts have the same key, a prompt may be sent to an endpoint that does not keep it, which costs time
// only.
type PartKey uint32

func partKeyOf(model, adapter string, part uint64) PartKey {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(adapter)
	var id [8]byte
	binary.BigEndian.PutUint64(id[:], part)
	_, _ = digest.Write(id[:])
	return PartKey(digest.Sum64())
}

// partKeys returns the keys of a prompt's parts.
func partKeys(model, adapter string, parts []PromptPart) []PartKey {
	keys := make([]PartKey, 0, len(parts))
	for _, p := range parts {
		keys = append(keys, partKeyOf(model, adapter, p.ID))
	}
	return keys
}

// promptCache records the prompt parts that were sent to an endpoint and are probably still cached there.
type promptCache struct {
	parts *lru.Cache[PartKey, struct{}]
}

func newPromptCache() *promptCache {
	parts, err := lru.New[PartKey, struct{}](maxCachedParts)
	if err != nil {
		// The only error is a size below one.
		panic(err)
	}
	return &promptCache{parts: parts}
}

// keptTokens returns the number of tokens in the leading parts that were sent before. keys are the keys of the parts.
func (c *promptCache) keptTokens(keys []PartKey, parts []PromptPart) int {
	tokens := 0
	for i, p := range parts {
		if !c.parts.Contains(keys[i]) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// record records that the parts were sent to the endpoint.
func (c *promptCache) record(keys []PartKey) {
	for _, key := range keys {
		c.parts.Add(key, struct{}{})
	}
}

// SentPart is a prompt part that was sent to an endpoint.
type SentPart struct {
	Endpoint EndpointKey
	Part     PartKey
}

func compareSentParts(a, b SentPart) int {
	return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Part, b.Part))
}

// recordSentParts records the parts of a prompt that is sent to an endpoint. The last part belongs to one request or session
// only and is not told to other instances. The caller holds the lock.
func (r *Registry) recordSentParts(e *Endpoint, keys []PartKey, now time.Time) {
	e.prompts.record(keys)
	for _, key := range keys[:max(len(keys)-1, 0)] {
		r.sentParts.record(now, SentPart{e.key, key})
	}
}

// SentPartsSince returns the prompt parts that this instance sent to endpoints after a time, each once, grouped by endpoint.
// It leaves out parts that belong to one request or session only.
func (r *Registry) SentPartsSince(t time.Time) []SentPart {
	r.mu.Lock()
	defer r.mu.Unlock()
	parts := r.sentParts.since(t)
	slices.SortFunc(parts, compareSentParts)
	return slices.Compact(parts)
}

// RecordRemoteParts records prompt parts that another instance sent to endpoints. Parts of unknown endpoints are ignored.
func (r *Registry) RecordRemoteParts(parts []SentPart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, part := range parts {
		if e := r.byKey[part.Endpoint]; e != nil {
			e.prompts.parts.Add(part.Part, struct{}{})
		}
	}
}
