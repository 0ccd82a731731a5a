// Package decisions keeps the latest routing and placement decisions in bounded memory, so that an operator can look up
// the reason for a decision. It also logs each decision in one line.
package decisions

import (
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Kind distinguishes routing from placement decisions.
type Kind string

const (
	// Routing is the choice of an endpoint for a call.
	Routing Kind = "routing"
	// Placement is the choice to load, unload or keep an artifact.
	Placement Kind = "placement"
)

// Record is one decision.
type Record struct {
	Kind Kind `json:"kind"`
	// ID is the request id of a routing decision, or the order id of a placement decision.
	ID      string    `json:"id"`
	Time    time.Time `json:"time"`
	Subject string    `json:"subject"`
	Chosen  string    `json:"chosen"`
	Reason  string    `json:"reason"`
	// Detail is the full decision. It must marshal to JSON and contain no prompts or keys.
	Detail any `json:"detail"`
}

// Recorder is a ring buffer of records. It is safe for concurrent use.
type Recorder struct {
	log *zap.Logger

	mu    sync.Mutex
	ring  []Record
	next  int
	index map[string]int
}

// NewRecorder returns a recorder of the given capacity in records.
func NewRecorder(log *zap.Logger, capacity int) *Recorder {
	return &Recorder{log: log, ring: make([]Record, capacity), index: make(map[string]int, capacity)}
}

// Add logs the decision and replaces the oldest record by it.
func (r *Recorder) Add(record Record) {
	r.log.Info("decision",
		zap.String("kind", string(record.Kind)),
		zap.String("id", record.ID),
		zap.String("subject", record.Subject),
		zap.String("chosen", record.Chosen),
		zap.String("reason", record.Reason),
		zap.Any("detail", record.Detail))
	r.mu.Lock()
	defer r.mu.Unlock()
	slot := r.next
	if replaced := r.ring[slot]; replaced.ID != "" && r.index[replaced.ID] == slot {
		delete(r.index, replaced.ID)
	}
	r.ring[slot] = record
	r.index[record.ID] = slot
	r.next = (slot + 1) % len(r.ring)
}

// Find returns the latest record with the id. Without one it returns the latest record whose id is the given id
// followed by a dot and a suffix: the gateway appends a suffix to a request id that the caller chose, and the caller
// knows only its own id.
func (r *Recorder) Find(id string) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slot, ok := r.index[id]; ok {
		return r.ring[slot], true
	}
	for i := 1; i <= len(r.ring); i++ {
		if record := r.nthNewest(i); strings.HasPrefix(record.ID, id+".") {
			return record, true
		}
	}
	return Record{}, false
}

// nthNewest returns the n-th record counted from the newest. Its ID is empty when there are fewer records.
func (r *Recorder) nthNewest(n int) Record {
	return r.ring[(r.next-n+len(r.ring))%len(r.ring)]
}

// Latest returns up to limit records of a kind, newest first.
func (r *Recorder) Latest(kind Kind, limit int) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Record
	for i := 1; i <= len(r.ring) && len(found) < limit; i++ {
		record := r.nthNewest(i)
		if record.ID != "" && record.Kind == kind {
			found = append(found, record)
		}
	}
	return found
}
