package fleet

import (
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

// maxSentParts bounds the recent parts that an instance tells others, and sentPartRetention their age. The retention
// covers several intervals between messages, because datagrams get lost.
const (
	maxSentParts      = 1024
	sentPartRetention = 10 * time.Second
)

// sentPartLog lists the shared prompt parts that this instance has sent recently, the oldest first.
type sentPartLog struct {
	entries []sentPartEntry
}

type sentPartEntry struct {
	SentPart
	at time.Time
}

// record adds the parts of a prompt. It leaves out the last part, which belongs to one request or session only.
func (l *sentPartLog) record(endpoint EndpointKey, keys []PartKey, now time.Time) {
	expired := 0
	for expired < len(l.entries) && now.Sub(l.entries[expired].at) >= sentPartRetention {
		expired++
	}
	l.entries = l.entries[expired:]
	for _, key := range keys[:max(len(keys)-1, 0)] {
		l.entries = append(l.entries, sentPartEntry{SentPart{endpoint, key}, now})
	}
	l.entries = l.entries[max(len(l.entries)-maxSentParts, 0):]
}

// since returns the parts sent after a time, each once, grouped by endpoint.
func (l *sentPartLog) since(t time.Time) []SentPart {
	var parts []SentPart
	for i := range l.entries {
		if l.entries[i].at.After(t) {
			parts = append(parts, l.entries[i].SentPart)
		}
	}
	slices.SortFunc(parts, compareSentParts)
	return slices.Compact(parts)
}

func compareSentParts(a, b SentPart) int {
	if a.Endpoint != b.Endpoint {
		return int(int64(a.Endpoint) - int64(b.Endpoint))
	}
	return int(int64(a.Part) - int64(b.Part))
}

// SentPartsSince returns the prompt parts that this instance sent to endpoints after a time, grouped by endpoint. It
// leaves out parts that belong to one request or session only.
func (r *Registry) SentPartsSince(t time.Time) []SentPart {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sentParts.since(t)
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
