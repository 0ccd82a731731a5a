package kv

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

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
