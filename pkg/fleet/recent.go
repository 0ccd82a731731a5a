package fleet

import "time"

// Bounds of a recentLog. The retention covers several intervals between regular messages.
const (
	recentLogRetention = 10 * time.Second
	maxRecentLogLength = 1024
)

// recentLog lists values that were recorded recently, the oldest first, to be told to other instances. The zero value is
// empty.
type recentLog[T any] struct {
	entries []recentEntry[T]
}

type recentEntry[T any] struct {
	value T
	at    time.Time
}

// record adds values. It drops those that are too old, and the oldest ones beyond the bound.
func (l *recentLog[T]) record(now time.Time, values ...T) {
	expired := 0
	for expired < len(l.entries) && now.Sub(l.entries[expired].at) >= recentLogRetention {
		expired++
	}
	l.entries = l.entries[expired:]
	for _, value := range values {
		l.entries = append(l.entries, recentEntry[T]{value, now})
	}
	l.entries = l.entries[max(len(l.entries)-maxRecentLogLength, 0):]
}

// since returns the values that were recorded after a time.
func (l *recentLog[T]) since(t time.Time) []T {
	first := len(l.entries)
	for first > 0 && l.entries[first-1].at.After(t) {
		first--
	}
	var values []T
	for _, entry := range l.entries[first:] {
		values = append(values, entry.value)
	}
	return values
}
