package peer

// pruneAfterSequences is the number of sequence steps after which an entry that became zero is removed. A peer with an
// older acknowledgement receives the full state.
const pruneAfterSequences = 256

// versionedMap holds the current value of each entry and the sequence of its last change. A peer is sent only the
// changes since its acknowledgement. It is not safe for concurrent use.
type versionedMap[K comparable, V comparable] struct {
	entries map[K]versionedValue[V]
}

type versionedValue[V comparable] struct {
	value V
	// changeSequence is the sequence of the last change.
	changeSequence uint64
}

func newVersionedMap[K comparable, V comparable]() *versionedMap[K, V] {
	return &versionedMap[K, V]{entries: make(map[K]versionedValue[V])}
}

// update replaces the values by those of current and marks the changed ones with the sequence. Entries that are missing
// from current become zero. It reports whether any value changed.
func (m *versionedMap[K, V]) update(sequence uint64, current map[K]V) bool {
	changed := false
	for key, value := range current {
		old, known := m.entries[key]
		if known && old.value == value {
			continue
		}
		m.entries[key] = versionedValue[V]{value: value, changeSequence: sequence}
		changed = true
	}
	var zero V
	for key, entry := range m.entries {
		if _, present := current[key]; present {
			continue
		}
		switch {
		case entry.value != zero:
			m.entries[key] = versionedValue[V]{value: zero, changeSequence: sequence}
			changed = true
		case entry.changeSequence+pruneAfterSequences < sequence:
			delete(m.entries, key)
		}
	}
	return changed
}

// since returns the entries that changed after the sequence. For sequence zero it returns all non-zero entries.
func (m *versionedMap[K, V]) since(sequence uint64) map[K]V {
	var zero V
	found := make(map[K]V)
	for key, entry := range m.entries {
		if sequence == 0 && entry.value == zero {
			continue
		}
		if entry.changeSequence > sequence {
			found[key] = entry.value
		}
	}
	return found
}
