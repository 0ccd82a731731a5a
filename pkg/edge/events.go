package edge

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event. An event with a few tokens takes some 60 bytes.
const maxEventBytes = 256 << 10

// errEventTooLarge means that an event exceeds maxEventBytes.
var errEventTooLarge = errors.New("event of a stream too large")

// eventBuffer splits a stream of bytes into complete server-sent events. If the stream breaks off within an event,
// another endpoint can then continue the stream without parts of two events being joined.
type eventBuffer struct {
	pending []byte
	// LastID is the last event id among the returned events.
	LastID string
}

// Add appends data and returns the events that are complete now.
func (b *eventBuffer) Add(data []byte) []byte {
	// The bytes before had no end of an event, so that one can only begin at the last of them.
	searchFrom := max(len(b.pending)-len(longestEventEnd)+1, 0)
	b.pending = append(b.pending, data...)
	end := lastEventEnd(b.pending[searchFrom:])
	if end == 0 {
		return nil
	}
	end += searchFrom
	events := append([]byte(nil), b.pending[:end]...)
	b.pending = append(b.pending[:0], b.pending[end:]...)
	if id := lastID(events); id != "" {
		b.LastID = id
	}
	return events
}

// Oversized reports whether the incomplete event in the buffer exceeds maxEventBytes.
func (b *eventBuffer) Oversized() bool {
	return len(b.pending) > maxEventBytes
}

// Partial reports whether the buffer has an incomplete event.
func (b *eventBuffer) Partial() bool {
	return len(b.pending) > 0
}

// Reset discards an incomplete event.
func (b *eventBuffer) Reset() {
	b.pending = b.pending[:0]
}

// longestEventEnd is the longest sequence of bytes that ends an event.
const longestEventEnd = "\n\r\n"

// lastEventEnd returns the length of the complete events in data. An event ends with an empty line.
func lastEventEnd(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte(longestEventEnd)); i >= 0 {
		end = max(end, i+3)
	}
	return end
}

// lastID returns the value of the last id field, or an empty string if there is none.
func lastID(events []byte) string {
	id := ""
	for line := range bytes.Lines(events) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if found {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
