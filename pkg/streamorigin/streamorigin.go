// Package streamorigin remembers at which software version of an endpoint each stream of events began. Versions do not
// continue each other's streams, so that whoever continues a stream must know its origin. The package has no clock and does
// no input or output.
package streamorigin

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Key identifies a stream by a hash of the id of the request that its first event answered. Among a million streams, two
// have the same key with a probability of one in thirty million.
type Key uint64

// KeyOf returns the key of the stream that a request began.
func KeyOf(requestID string) Key {
	return Key(xxhash.Sum64String(requestID))
}

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the version of the endpoint's software.
	Version string
}

// Stream is a stream that has begun. Nobody continues it after Ends.
type Stream struct {
	Key    Key
	Origin Origin
	Ends   time.Time
}

// Records are the known origins. They are safe for concurrent use.
type Records struct {
	mu      sync.Mutex
	streams map[Key]Stream
	// prunedAt is when streams that had ended were last removed.
	prunedAt time.Time
}

// pruneInterval is the time between two removals of streams that have ended.
const pruneInterval = 10 * time.Second

// NewRecords returns empty records.
func NewRecords() *Records {
	return &Records{streams: make(map[Key]Stream)}
}

// Add records a stream. A key with two origins has none: an id was used twice.
func (r *Records) Add(s Stream, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.prunedAt) >= pruneInterval {
		r.prunedAt = now
		for key, known := range r.streams {
			if !known.Ends.After(now) {
				delete(r.streams, key)
			}
		}
	}
	if known, found := r.streams[s.Key]; found {
		if known.Origin != s.Origin {
			s.Origin = Origin{}
		}
		if known.Ends.After(s.Ends) {
			s.Ends = known.Ends
		}
	}
	r.streams[s.Key] = s
}

// Lookup returns the origin of a stream. It returns false if that is not known.
func (r *Records) Lookup(key Key) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, found := r.streams[key]
	return s.Origin, found && s.Origin != Origin{}
}

// batchDoc is an encoded batch of streams.
type batchDoc struct {
	Groups []groupDoc `json:"groups"`
}

// groupDoc lists streams of one origin. Keys has eight bytes for each.
type groupDoc struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// LeftMs is the time until the last of them ends, as of when the batch was written.
	LeftMs int64  `json:"leftMs"`
	Keys   []byte `json:"keys"`
}

// EncodeBatch encodes streams.
func EncodeBatch(streams []Stream, now time.Time) ([]byte, error) {
	var doc batchDoc
	for _, s := range streams {
		i := slices.IndexFunc(doc.Groups, func(g groupDoc) bool { return g.Service == s.Origin.Service && g.Version == s.Origin.Version })
		if i < 0 {
			i = len(doc.Groups)
			doc.Groups = append(doc.Groups, groupDoc{Service: s.Origin.Service, Version: s.Origin.Version})
		}
		g := &doc.Groups[i]
		g.Keys = binary.BigEndian.AppendUint64(g.Keys, uint64(s.Key))
		g.LeftMs = max(g.LeftMs, s.Ends.Sub(now).Milliseconds())
	}
	encoded, err := json.Marshal(doc)
	return encoded, errors.Wrap(err, "encode origins of streams")
}

// DecodeBatch returns the streams of a batch. The ends count from now, since clocks differ between instances, and are thus
// late by the time since the batch was written.
func DecodeBatch(encoded []byte, now time.Time) ([]Stream, error) {
	var doc batchDoc
	if err := json.Unmarshal(encoded, &doc); err != nil {
		return nil, errors.Wrap(err, "decode origins of streams")
	}
	var streams []Stream
	for _, g := range doc.Groups {
		if len(g.Keys)%8 != 0 || g.Version == "" || g.LeftMs < 0 || g.LeftMs > maxLeft.Milliseconds() {
			return nil, errors.Newf("origins of streams of %.60q: version, keys or time out of range", g.Service)
		}
		ends := now.Add(time.Duration(g.LeftMs) * time.Millisecond)
		for keys := g.Keys; len(keys) > 0; keys = keys[8:] {
			streams = append(streams, Stream{Key: Key(binary.BigEndian.Uint64(keys)), Origin: Origin{g.Service, g.Version}, Ends: ends})
		}
	}
	return streams, nil
}

// maxLeft bounds the time for which a record is kept.
const maxLeft = time.Hour
