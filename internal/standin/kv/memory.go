// Package kv is a stand-in for the platform's key-value service: an in-memory store with revisions, leases and watches,
// and with faults that a test sets per call.
package kv

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// Memory is an in-memory kvstore.Store. It is safe for concurrent use.
type Memory struct {
	// Now is the clock for lease expiry. Tests may replace it before the store is used.
	Now func() time.Time
	// Faults are the faults to inject into calls.
	Faults *Faults
	// HistoryLimit is the maximum number of events kept for watches. It must be set before the store is used.
	HistoryLimit int

	mu       sync.Mutex
	revision kvstore.Revision
	keys     map[string]kvstore.KeyValue
	leases   map[kvstore.LeaseID]*lease
	nextID   kvstore.LeaseID
	// history holds the latest events in revision order. Events up to the revision compacted have been removed.
	history     []kvstore.Event
	compacted   kvstore.Revision
	heldCommits [][]kvstore.ConditionalWrite
	// changed is closed and replaced at each change, to wake up watches.
	changed chan struct{}
}

// defaultHistoryLimit limits the history of a long experiment to a few megabytes.
const defaultHistoryLimit = 10_000

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	// timer expires the lease without a call to the store, so that watches receive the deletions.
	timer *time.Timer
}

var _ kvstore.Store = (*Memory)(nil)

// NewMemory returns an empty store at revision 1 with the wall clock and without faults.
func NewMemory() *Memory {
	return &Memory{
		Now:          time.Now,
		Faults:       NewFaults(),
		HistoryLimit: defaultHistoryLimit,
		revision:     1,
		keys:         make(map[string]kvstore.KeyValue),
		leases:       make(map[kvstore.LeaseID]*lease),
		changed:      make(chan struct{}),
	}
}

// Get implements kvstore.Reader.
func (m *Memory) Get(ctx context.Context, key string) (kvstore.KeyValue, bool, kvstore.Revision, error) {
	fault, err := m.Faults.beforeCall(ctx, CallGet)
	if err != nil {
		return kvstore.KeyValue{}, false, 0, err
	}
	if err := fault.afterCall(kvstore.ErrUnavailable); err != nil {
		return kvstore.KeyValue{}, false, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	kv, found := m.keys[key]
	return clone(kv), found, m.revision, nil
}

// Range implements kvstore.Reader.
func (m *Memory) Range(ctx context.Context, prefix string) ([]kvstore.KeyValue, kvstore.Revision, error) {
	fault, err := m.Faults.beforeCall(ctx, CallRange)
	if err != nil {
		return nil, 0, err
	}
	if err := fault.afterCall(kvstore.ErrUnavailable); err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	var found []kvstore.KeyValue
	for key, kv := range m.keys {
		if strings.HasPrefix(key, prefix) {
			found = append(found, clone(kv))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, m.revision, nil
}

// Commit implements kvstore.Writer.
func (m *Memory) Commit(ctx context.Context, writes []kvstore.ConditionalWrite) ([]kvstore.WriteResult, error) {
	for _, w := range writes {
		for _, p := range w.Puts {
			if len(p.Value) > kvstore.MaxValueBytes {
				return nil, kvstore.ErrValueTooLarge
			}
		}
	}
	if writesKeyTwice(writes) {
		return nil, errors.Wrap(kvstore.ErrUnavailable, "duplicate key given in txn request")
	}
	fault, err := m.Faults.beforeCall(ctx, CallCommit)
	if err != nil {
		return nil, err
	}
	if fault.Hold {
		m.holdCommit(writes)
		return nil, kvstore.ErrOutcomeUnknown
	}
	results, err := m.commit(writes)
	if err != nil {
		return nil, err
	}
	if err := fault.afterCall(kvstore.ErrOutcomeUnknown); err != nil {
		return nil, err
	}
	return results, nil
}

// writesKeyTwice reports whether a call writes a key more than once. The service rejects such a call.
func writesKeyTwice(writes []kvstore.ConditionalWrite) bool {
	seen := make(map[string]bool)
	for _, w := range writes {
		keys := append([]string(nil), w.Deletes...)
		for _, p := range w.Puts {
			keys = append(keys, p.Key)
		}
		for _, key := range keys {
			if seen[key] {
				return true
			}
			seen[key] = true
		}
	}
	return false
}

func (m *Memory) holdCommit(writes []kvstore.ConditionalWrite) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heldCommits = append(m.heldCommits, writes)
}

// ApplyHeld applies the held commits in order. Their callers have received ErrOutcomeUnknown.
func (m *Memory) ApplyHeld() {
	m.mu.Lock()
	heldCommits := m.heldCommits
	m.heldCommits = nil
	m.mu.Unlock()
	for _, writes := range heldCommits {
		// The caller's reply was lost, so an error has no receiver.
		_, _ = m.commit(writes)
	}
}

func (m *Memory) commit(writes []kvstore.ConditionalWrite) ([]kvstore.WriteResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	met := make([]bool, len(writes))
	for i, w := range writes {
		met[i] = m.conditionsMet(w.Conditions)
		if met[i] && m.usesMissingLease(w.Puts) {
			return nil, kvstore.ErrLeaseNotFound
		}
	}
	next := m.revision + 1
	results := make([]kvstore.WriteResult, len(writes))
	var events []kvstore.Event
	for i, w := range writes {
		if met[i] {
			results[i].Applied = true
			events = append(events, m.applyWrite(w, next)...)
			continue
		}
		results[i].Current = m.currentValues(w.ReadOnFailure)
	}
	m.publish(next, events)
	for i := range results {
		if results[i].Applied {
			results[i].Revision = m.revision
		}
	}
	return results, nil
}

func (m *Memory) usesMissingLease(puts []kvstore.Put) bool {
	for _, p := range puts {
		if p.Lease != 0 && m.leases[p.Lease] == nil {
			return true
		}
	}
	return false
}

func (m *Memory) conditionsMet(conditions []kvstore.Condition) bool {
	for _, c := range conditions {
		kv := m.keys[c.Key]
		actual := kv.ModRevision
		if c.Field == kvstore.CreateRevision {
			actual = kv.CreateRevision
		}
		if actual != c.Equals {
			return false
		}
	}
	return true
}

func (m *Memory) currentValues(keys []string) []kvstore.KeyValue {
	var found []kvstore.KeyValue
	for _, key := range keys {
		if kv, ok := m.keys[key]; ok {
			found = append(found, clone(kv))
		}
	}
	return found
}

func (m *Memory) applyWrite(w kvstore.ConditionalWrite, revision kvstore.Revision) []kvstore.Event {
	var events []kvstore.Event
	for _, p := range w.Puts {
		kv := clone(kvstore.KeyValue{Key: p.Key, Value: p.Value, CreateRevision: revision, ModRevision: revision, Lease: p.Lease})
		if old, ok := m.keys[p.Key]; ok {
			kv.CreateRevision = old.CreateRevision
		}
		m.keys[p.Key] = kv
		events = append(events, kvstore.Event{KeyValue: kv})
	}
	for _, key := range w.Deletes {
		if _, ok := m.keys[key]; !ok {
			continue
		}
		delete(m.keys, key)
		events = append(events, deletion(key, revision))
	}
	return events
}

// clone copies the value, so that the store and the caller do not share its bytes.
func clone(kv kvstore.KeyValue) kvstore.KeyValue {
	kv.Value = append([]byte(nil), kv.Value...)
	return kv
}

func deletion(key string, revision kvstore.Revision) kvstore.Event {
	return kvstore.Event{KeyValue: kvstore.KeyValue{Key: key, ModRevision: revision}, Deleted: true}
}
