package kv

import (
	"sort"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

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
