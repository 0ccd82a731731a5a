// Package decisions keeps the latest routing and placement decisions in bounded memory, so that an operator can ask why
// a decision was made, and writes one log line for each.
package decisions

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// Kind tells routing from placement decisions.
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
	// ID is the request id of a routing decision or the order id of a placement decision.
	ID      string    `json:"id"`
	Time    time.Time `json:"time"`
	Subject string    `json:"subject"`
	Chosen  string    `json:"chosen"`
	Reason  string    `json:"reason"`
	// Detail is the decision in full; it must marshal to JSON and hold no prompts or keys.
	Detail any `json:"detail"`
}

// Recorder is a ring of records. It is safe for concurrent use.
type Recorder struct {
	log *zap.Logger

	mu    sync.Mutex
	ring  []Record
	next  int
	index map[string]int
}

// NewRecorder keeps the given number of records.
func NewRecorder(log *zap.Logger, capacity int) *Recorder {
	return &Recorder{log: log, ring: make([]Record, capacity), index: make(map[string]int, capacity)}
}

// Add logs the decision and keeps it in place of the oldest one.
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
	if old := r.ring[slot]; old.ID != "" && r.index[old.ID] == slot {
		delete(r.index, old.ID)
	}
	r.ring[slot] = record
	r.index[record.ID] = slot
	r.next = (slot + 1) % len(r.ring)
}

// Find returns the latest record with the id.
func (r *Recorder) Find(id string) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slot, ok := r.index[id]
	if !ok {
		return Record{}, false
	}
	return r.ring[slot], true
}

// Latest returns up to limit records of a kind, newest first.
func (r *Recorder) Latest(kind Kind, limit int) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Record
	for i := 1; i <= len(r.ring) && len(found) < limit; i++ {
		record := r.ring[(r.next-i+len(r.ring))%len(r.ring)]
		if record.ID != "" && record.Kind == kind {
			found = append(found, record)
		}
	}
	return found
}
