package kv

import (
	"context"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

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
