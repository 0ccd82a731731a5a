// Package kv is a stand-in of the platform's key-value service: an in-memory store with revisions, leases and watches,
// and faults that a test sets per call.
package kv

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// Memory is an in-memory kvstore.Store. It is safe for concurrent use.
type Memory struct {
	// Now is the store's own clock for lease expiry; tests replace it before use.
	Now func() time.Time
	// Faults is consulted before and after each call.
	Faults *Faults

	mu       sync.Mutex
	revision kvstore.Revision
	keys     map[string]kvstore.KeyValue
	leases   map[kvstore.LeaseID]*lease
	nextID   kvstore.LeaseID
	history  []kvstore.Event
	// changed is closed and replaced at each commit, to wake watches.
	changed chan struct{}
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

var _ kvstore.Store = (*Memory)(nil)

// NewMemory returns an empty store at revision 1 that uses the wall clock and has no faults.
func NewMemory() *Memory {
	return &Memory{
		Now:      time.Now,
		Faults:   NewFaults(),
		revision: 1,
		keys:     make(map[string]kvstore.KeyValue),
		leases:   make(map[kvstore.LeaseID]*lease),
		changed:  make(chan struct{}),
	}
}

// Get implements kvstore.Reader.
func (m *Memory) Get(ctx context.Context, key string) (kvstore.KeyValue, bool, kvstore.Revision, error) {
	if err := m.Faults.before(ctx, CallGet); err != nil {
		return kvstore.KeyValue{}, false, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	kv, found := m.keys[key]
	return kv, found, m.revision, nil
}

// Range implements kvstore.Reader.
func (m *Memory) Range(ctx context.Context, prefix string) ([]kvstore.KeyValue, kvstore.Revision, error) {
	if err := m.Faults.before(ctx, CallRange); err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	var found []kvstore.KeyValue
	for key, kv := range m.keys {
		if strings.HasPrefix(key, prefix) {
			found = append(found, kv)
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
	if err := m.Faults.before(ctx, CallCommit); err != nil {
		return nil, err
	}
	results, err := m.commit(writes)
	if err != nil {
		return nil, err
	}
	if err := m.Faults.after(ctx, CallCommit); err != nil {
		return nil, err
	}
	return results, nil
}

func (m *Memory) commit(writes []kvstore.ConditionalWrite) ([]kvstore.WriteResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	for _, w := range writes {
		for _, p := range w.Puts {
			if p.Lease != 0 && m.leases[p.Lease] == nil {
				return nil, kvstore.ErrLeaseNotFound
			}
		}
	}
	next := m.revision + 1
	results := make([]kvstore.WriteResult, len(writes))
	var events []kvstore.Event
	for i, w := range writes {
		if !m.holds(w.Conditions) {
			results[i] = kvstore.WriteResult{Current: m.current(w.ReadOnFailure)}
			continue
		}
		results[i] = kvstore.WriteResult{Applied: true, Revision: next}
		events = append(events, m.apply(w, next)...)
	}
	m.publish(next, events)
	return results, nil
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
			found = append(found, kv)
		}
	}
	return found
}

func (m *Memory) apply(w kvstore.ConditionalWrite, at kvstore.Revision) []kvstore.Event {
	var events []kvstore.Event
	for _, p := range w.Puts {
		kv := kvstore.KeyValue{Key: p.Key, Value: append([]byte(nil), p.Value...), ModRevision: at, Lease: p.Lease}
		kv.CreateRevision = at
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
	close(m.changed)
	m.changed = make(chan struct{})
}

// Grant implements kvstore.Leaser.
func (m *Memory) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, time.Duration, error) {
	if err := m.Faults.before(ctx, CallGrant); err != nil {
		return 0, 0, err
	}
	m.mu.Lock()
	m.expireLeases()
	m.nextID++
	id := m.nextID
	m.leases[id] = &lease{ttl: ttl, expires: m.Now().Add(ttl)}
	m.mu.Unlock()
	if err := m.Faults.after(ctx, CallGrant); err != nil {
		return 0, 0, err
	}
	return id, ttl, nil
}

// KeepAlive implements kvstore.Leaser.
func (m *Memory) KeepAlive(ctx context.Context, id kvstore.LeaseID) (time.Duration, error) {
	if err := m.Faults.before(ctx, CallKeepAlive); err != nil {
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
	return l.ttl, nil
}

// Revoke implements kvstore.Leaser.
func (m *Memory) Revoke(ctx context.Context, id kvstore.LeaseID) error {
	if err := m.Faults.before(ctx, CallRevoke); err != nil {
		return err
	}
	m.mu.Lock()
	m.expireLeases()
	m.dropLease(id)
	m.mu.Unlock()
	return m.Faults.after(ctx, CallRevoke)
}

// ExpireLeases drops leases whose time is up; tests with a replaced clock call it to make watches see the deletions.
func (m *Memory) ExpireLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
}

func (m *Memory) expireLeases() {
	now := m.Now()
	for id, l := range m.leases {
		if !now.Before(l.expires) {
			m.dropLease(id)
		}
	}
}

func (m *Memory) dropLease(id kvstore.LeaseID) {
	delete(m.leases, id)
	next := m.revision + 1
	var events []kvstore.Event
	for key, kv := range m.keys {
		if kv.Lease == id && id != 0 {
			delete(m.keys, key)
			events = append(events, deletion(key, next))
		}
	}
	m.publish(next, events)
}

// Watch implements kvstore.Watcher.
func (m *Memory) Watch(ctx context.Context, prefix string, from kvstore.Revision) (kvstore.Watch, error) {
	if err := m.Faults.before(ctx, CallWatch); err != nil {
		return nil, err
	}
	return &memoryWatch{store: m, prefix: prefix, next: from}, nil
}

type memoryWatch struct {
	store  *Memory
	prefix string
	next   kvstore.Revision
}

// Next implements kvstore.Watch.
func (w *memoryWatch) Next(ctx context.Context) ([]kvstore.Event, error) {
	for {
		if w.store.Faults.isDown() {
			return nil, kvstore.ErrUnavailable
		}
		events, changed := w.pending()
		if len(events) > 0 {
			return events, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		case <-w.store.Faults.downSignal():
		}
	}
}

func (w *memoryWatch) pending() ([]kvstore.Event, <-chan struct{}) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	var events []kvstore.Event
	for _, e := range w.store.history {
		if e.ModRevision >= w.next && strings.HasPrefix(e.Key, w.prefix) {
			events = append(events, e)
		}
	}
	w.next = w.store.revision + 1
	return events, w.store.changed
}

// Close implements kvstore.Watch.
func (w *memoryWatch) Close() {}
