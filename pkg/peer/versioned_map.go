package peer

// pruneAfter is the number of sequence steps after which an entry that returned to zero is dropped. A peer whose
// acknowledgement is older gets the full state.
const pruneAfter = 256

// journal keeps the current value of each entry with the sequence of its last change, so that a peer gets only what
// changed since its acknowledgement. It is not safe for concurrent use.
type journal[K comparable, V comparable] struct {
	entries map[K]journalEntry[V]
}

type journalEntry[V comparable] struct {
	value   V
	changed uint64
}

func newJournal[K comparable, V comparable]() *journal[K, V] {
	return &journal[K, V]{entries: make(map[K]journalEntry[V])}
}

// update compares with the current values and marks differences with the sequence. Entries that are missing from
// current become zero. It returns whether anything changed.
func (j *journal[K, V]) update(sequence uint64, current map[K]V) bool {
	changed := false
	for key, value := range current {
		old, known := j.entries[key]
		if known && old.value == value {
			continue
		}
		j.entries[key] = journalEntry[V]{value: value, changed: sequence}
		changed = true
	}
	var zero V
	for key, entry := range j.entries {
		if _, present := current[key]; present {
			continue
		}
		switch {
		case entry.value != zero:
			j.entries[key] = journalEntry[V]{value: zero, changed: sequence}
			changed = true
		case entry.changed+pruneAfter < sequence:
			delete(j.entries, key)
		}
	}
	return changed
}

// since returns the entries that changed after the sequence; for zero it returns all non-zero entries.
func (j *journal[K, V]) since(sequence uint64) map[K]V {
	var zero V
	found := make(map[K]V)
	for key, entry := range j.entries {
		if sequence == 0 && entry.value == zero {
			continue
		}
		if entry.changed > sequence {
			found[key] = entry.value
		}
	}
	return found
}
