// Package kv is a stand-in for the platform's key-value service: an in-memory store with revisions, leases and watches,
// and with faults that a test sets per call.
package kv

import (
	"context"
	"slices"
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

// publish makes the events visible at the revision. Without events the revision does not change.
func (m *Memory) publish(revision kvstore.Revision, events []kvstore.Event) {
	if len(events) == 0 {
		return
	}
	m.revision = revision
	m.history = append(m.history, events...)
	m.trimHistory()
	m.notifyWatches()
}

// Revision returns the current revision. Unlike the calls of the service, it is not subject to faults.
func (m *Memory) Revision() kvstore.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Compacted returns the revision up to which events have been removed.
func (m *Memory) Compacted() kvstore.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.compacted
}

// trimHistory removes the oldest events beyond HistoryLimit. It removes all events of a revision or none.
func (m *Memory) trimHistory() {
	excess := len(m.history) - m.HistoryLimit
	if excess <= 0 {
		return
	}
	m.compacted = m.history[excess-1].ModRevision
	for excess < len(m.history) && m.history[excess].ModRevision == m.compacted {
		excess++
	}
	m.history = append([]kvstore.Event(nil), m.history[excess:]...)
}

// Compact removes the events up to a revision, like a compaction by an operator of the service.
func (m *Memory) Compact(upTo kvstore.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compacted = max(m.compacted, min(upTo, m.revision))
	m.history = append([]kvstore.Event(nil), m.history[m.firstEventFrom(m.compacted+1):]...)
	m.notifyWatches()
}

// firstEventFrom returns the index in history of the first event at or after the revision.
func (m *Memory) firstEventFrom(from kvstore.Revision) int {
	return sort.Search(len(m.history), func(i int) bool { return m.history[i].ModRevision >= from })
}

func (m *Memory) notifyWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Grant implements kvstore.Leaser.
func (m *Memory) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, time.Duration, error) {
	fault, err := m.Faults.beforeCall(ctx, CallGrant)
	if err != nil {
		return 0, 0, err
	}
	m.mu.Lock()
	m.expireLeases()
	m.nextID++
	id := m.nextID
	m.leases[id] = &lease{ttl: ttl, expiresAt: m.Now().Add(ttl), timer: time.AfterFunc(ttl, m.ExpireLeases)}
	m.mu.Unlock()
	if err := fault.afterCall(kvstore.ErrOutcomeUnknown); err != nil {
		return 0, 0, err
	}
	return id, ttl, nil
}

// KeepAlive implements kvstore.Leaser.
func (m *Memory) KeepAlive(ctx context.Context, id kvstore.LeaseID) (time.Duration, error) {
	fault, err := m.Faults.beforeCall(ctx, CallKeepAlive)
	if err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	l := m.leases[id]
	if l == nil {
		return 0, kvstore.ErrLeaseNotFound
	}
	l.expiresAt = m.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return l.ttl, fault.afterCall(kvstore.ErrUnavailable)
}

// Revoke implements kvstore.Leaser.
func (m *Memory) Revoke(ctx context.Context, id kvstore.LeaseID) error {
	fault, err := m.Faults.beforeCall(ctx, CallRevoke)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.expireLeases()
	m.removeLease(id)
	m.mu.Unlock()
	return fault.afterCall(kvstore.ErrOutcomeUnknown)
}

// ExpireLeases removes expired leases. Tests that replace the clock call it so that watches receive the deletions.
func (m *Memory) ExpireLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
}

// expireLeases removes expired leases in the order of their ids, so that revisions do not depend on map order.
func (m *Memory) expireLeases() {
	now := m.Now()
	var due []kvstore.LeaseID
	for id, l := range m.leases {
		if !now.Before(l.expiresAt) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		m.removeLease(id)
	}
}

func (m *Memory) removeLease(id kvstore.LeaseID) {
	l := m.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(m.leases, id)
	next := m.revision + 1
	var events []kvstore.Event
	for key, kv := range m.keys {
		if kv.Lease == id {
			delete(m.keys, key)
			events = append(events, deletion(key, next))
		}
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Key < events[j].Key })
	m.publish(next, events)
}

// Watch implements kvstore.Watcher.
func (m *Memory) Watch(ctx context.Context, prefix string, from kvstore.Revision) (kvstore.Watch, error) {
	fault, err := m.Faults.beforeCall(ctx, CallWatch)
	if err != nil {
		return nil, err
	}
	if err := fault.afterCall(kvstore.ErrUnavailable); err != nil {
		return nil, err
	}
	return &memoryWatch{store: m, prefix: prefix, nextRevision: max(1, from), closed: make(chan struct{})}, nil
}

type memoryWatch struct {
	store        *Memory
	prefix       string
	nextRevision kvstore.Revision
	closed       chan struct{}
	closeOnce    sync.Once
}

// Next implements kvstore.Watch.
func (w *memoryWatch) Next(ctx context.Context) ([]kvstore.Event, error) {
	for {
		down := w.store.Faults.downSignal()
		if w.store.Faults.isDown() {
			return nil, kvstore.ErrUnavailable
		}
		events, changed, err := w.pending()
		if err != nil || len(events) > 0 {
			return events, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-w.closed:
			return nil, errors.Wrap(kvstore.ErrUnavailable, "watch is closed")
		case <-changed:
		case <-down:
			return nil, kvstore.ErrUnavailable
		}
	}
}

func (w *memoryWatch) pending() ([]kvstore.Event, <-chan struct{}, error) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	if w.nextRevision <= w.store.compacted {
		return nil, nil, errors.Wrapf(kvstore.ErrCompacted, "compacted at revision %d", w.store.compacted)
	}
	var events []kvstore.Event
	for _, e := range w.store.history[w.store.firstEventFrom(w.nextRevision):] {
		if strings.HasPrefix(e.Key, w.prefix) {
			events = append(events, kvstore.Event{KeyValue: clone(e.KeyValue), Deleted: e.Deleted})
		}
	}
	w.nextRevision = max(w.nextRevision, w.store.revision+1)
	return events, w.store.changed, nil
}

// Close implements kvstore.Watch.
func (w *memoryWatch) Close() {
	w.closeOnce.Do(func() { close(w.closed) })
}
