// Package kv is a stand-in of the platform's key-value service: an in-memory store with revisions, leases and watches,
// and faults that a test sets per call.
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
	// Now is the store's own clock for lease expiry; tests replace it before use.
	Now func() time.Time
	// Faults is consulted before and after each call.
	Faults *Faults
	// HistoryLimit is the number of events kept for watches; it is set before use.
	HistoryLimit int

	mu       sync.Mutex
	revision kvstore.Revision
	keys     map[string]kvstore.KeyValue
	leases   map[kvstore.LeaseID]*lease
	nextID   kvstore.LeaseID
	// history holds the last events in revision order; events up to compacted are gone.
	history   []kvstore.Event
	compacted kvstore.Revision
	held      [][]kvstore.ConditionalWrite
	// changed is closed and replaced at each commit, to wake watches.
	changed chan struct{}
}

// defaultHistoryLimit keeps the history of a long experiment at a few megabytes.
const defaultHistoryLimit = 10_000

type lease struct {
	ttl     time.Duration
	expires time.Time
	// timer wakes watches at expiry without a call to the store.
	timer *time.Timer
}

var _ kvstore.Store = (*Memory)(nil)

// NewMemory returns an empty store at revision 1 that uses the wall clock and has no faults.
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
	fault, err := m.Faults.before(ctx, CallGet)
	if err != nil {
		return kvstore.KeyValue{}, false, 0, err
	}
	if err := fault.after(kvstore.ErrUnavailable); err != nil {
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
	fault, err := m.Faults.before(ctx, CallRange)
	if err != nil {
		return nil, 0, err
	}
	if err := fault.after(kvstore.ErrUnavailable); err != nil {
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
	if writesTwice(writes) {
		return nil, errors.Wrap(kvstore.ErrUnavailable, "duplicate key given in txn request")
	}
	fault, err := m.Faults.before(ctx, CallCommit)
	if err != nil {
		return nil, err
	}
	if fault.Hold {
		m.hold(writes)
		return nil, kvstore.ErrOutcomeUnknown
	}
	results, err := m.commit(writes)
	if err != nil {
		return nil, err
	}
	if err := fault.after(kvstore.ErrOutcomeUnknown); err != nil {
		return nil, err
	}
	return results, nil
}

// writesTwice reports that a key is written more than once in a call, which the service rejects.
func writesTwice(writes []kvstore.ConditionalWrite) bool {
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

func (m *Memory) hold(writes []kvstore.ConditionalWrite) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held = append(m.held, writes)
}

// ApplyHeld lets the held commits take effect now, in order. Their callers were told that the outcome is unknown.
func (m *Memory) ApplyHeld() {
	m.mu.Lock()
	held := m.held
	m.held = nil
	m.mu.Unlock()
	for _, writes := range held {
		// The reply is lost, and so is the error.
		_, _ = m.commit(writes)
	}
}

func (m *Memory) commit(writes []kvstore.ConditionalWrite) ([]kvstore.WriteResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	holds := make([]bool, len(writes))
	for i, w := range writes {
		holds[i] = m.holds(w.Conditions)
		if holds[i] && m.lacksLease(w.Puts) {
			return nil, kvstore.ErrLeaseNotFound
		}
	}
	next := m.revision + 1
	results := make([]kvstore.WriteResult, len(writes))
	var events []kvstore.Event
	for i, w := range writes {
		if holds[i] {
			results[i].Applied = true
			events = append(events, m.apply(w, next)...)
			continue
		}
		results[i].Current = m.current(w.ReadOnFailure)
	}
	m.publish(next, events)
	for i := range results {
		if results[i].Applied {
			results[i].Revision = m.revision
		}
	}
	return results, nil
}

func (m *Memory) lacksLease(puts []kvstore.Put) bool {
	for _, p := range puts {
		if p.Lease != 0 && m.leases[p.Lease] == nil {
			return true
		}
	}
	return false
}

func (m *Memory) holds(conditions []kvstore.Condition) bool {
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

func (m *Memory) current(keys []string) []kvstore.KeyValue {
	var found []kvstore.KeyValue
	for _, key := range keys {
		if kv, ok := m.keys[key]; ok {
			found = append(found, clone(kv))
		}
	}
	return found
}

func (m *Memory) apply(w kvstore.ConditionalWrite, at kvstore.Revision) []kvstore.Event {
	var events []kvstore.Event
	for _, p := range w.Puts {
		kv := clone(kvstore.KeyValue{Key: p.Key, Value: p.Value, CreateRevision: at, ModRevision: at, Lease: p.Lease})
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
		events = append(events, deletion(key, at))
	}
	return events
}

// clone copies the value, so that neither side sees later changes of the other's bytes.
func clone(kv kvstore.KeyValue) kvstore.KeyValue {
	kv.Value = append([]byte(nil), kv.Value...)
	return kv
}

func deletion(key string, at kvstore.Revision) kvstore.Event {
	return kvstore.Event{KeyValue: kvstore.KeyValue{Key: key, ModRevision: at}, Deleted: true}
}

// publish makes the events visible at a revision; without events the revision does not move.
func (m *Memory) publish(at kvstore.Revision, events []kvstore.Event) {
	if len(events) == 0 {
		return
	}
	m.revision = at
	m.history = append(m.history, events...)
	m.trim()
	m.wake()
}

// Revision returns the current revision. It is not a call of the service.
func (m *Memory) Revision() kvstore.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Compacted returns the revision up to which events are gone.
func (m *Memory) Compacted() kvstore.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.compacted
}

// trim drops the oldest events beyond the limit, whole revisions at a time.
func (m *Memory) trim() {
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

// Compact forgets the events up to a revision, as an operator of the service does.
func (m *Memory) Compact(through kvstore.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compacted = max(m.compacted, min(through, m.revision))
	m.history = append([]kvstore.Event(nil), m.history[m.firstFrom(m.compacted+1):]...)
	m.wake()
}

// firstFrom returns the index of the first event at or after the revision.
func (m *Memory) firstFrom(from kvstore.Revision) int {
	return sort.Search(len(m.history), func(i int) bool { return m.history[i].ModRevision >= from })
}

func (m *Memory) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Grant implements kvstore.Leaser.
func (m *Memory) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, time.Duration, error) {
	fault, err := m.Faults.before(ctx, CallGrant)
	if err != nil {
		return 0, 0, err
	}
	m.mu.Lock()
	m.expireLeases()
	m.nextID++
	id := m.nextID
	m.leases[id] = &lease{ttl: ttl, expires: m.Now().Add(ttl), timer: time.AfterFunc(ttl, m.ExpireLeases)}
	m.mu.Unlock()
	if err := fault.after(kvstore.ErrOutcomeUnknown); err != nil {
		return 0, 0, err
	}
	return id, ttl, nil
}

// KeepAlive implements kvstore.Leaser.
func (m *Memory) KeepAlive(ctx context.Context, id kvstore.LeaseID) (time.Duration, error) {
	fault, err := m.Faults.before(ctx, CallKeepAlive)
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
	l.expires = m.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return l.ttl, fault.after(kvstore.ErrUnavailable)
}

// Revoke implements kvstore.Leaser.
func (m *Memory) Revoke(ctx context.Context, id kvstore.LeaseID) error {
	fault, err := m.Faults.before(ctx, CallRevoke)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.expireLeases()
	m.dropLease(id)
	m.mu.Unlock()
	return fault.after(kvstore.ErrOutcomeUnknown)
}

// ExpireLeases drops leases whose time is up; tests with a replaced clock call it to make watches see the deletions.
func (m *Memory) ExpireLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
}

// expireLeases drops due leases in the order of their ids, so that revisions do not depend on the map order.
func (m *Memory) expireLeases() {
	now := m.Now()
	var due []kvstore.LeaseID
	for id, l := range m.leases {
		if !now.Before(l.expires) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		m.dropLease(id)
	}
}

func (m *Memory) dropLease(id kvstore.LeaseID) {
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
	fault, err := m.Faults.before(ctx, CallWatch)
	if err != nil {
		return nil, err
	}
	if err := fault.after(kvstore.ErrUnavailable); err != nil {
		return nil, err
	}
	return &memoryWatch{store: m, prefix: prefix, next: max(1, from), closed: make(chan struct{})}, nil
}

type memoryWatch struct {
	store     *Memory
	prefix    string
	next      kvstore.Revision
	closed    chan struct{}
	closeOnce sync.Once
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
	if w.next <= w.store.compacted {
		return nil, nil, errors.Wrapf(kvstore.ErrCompacted, "compacted at revision %d", w.store.compacted)
	}
	var events []kvstore.Event
	for _, e := range w.store.history[w.store.firstFrom(w.next):] {
		if strings.HasPrefix(e.Key, w.prefix) {
			events = append(events, kvstore.Event{KeyValue: clone(e.KeyValue), Deleted: e.Deleted})
		}
	}
	w.next = max(w.next, w.store.revision+1)
	return events, w.store.changed, nil
}

// Close implements kvstore.Watch.
func (w *memoryWatch) Close() {
	w.closeOnce.Do(func() { close(w.closed) })
}
