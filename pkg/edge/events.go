package edge

import "bytes"

// eventBuffer cuts a stream of bytes into whole server-sent events, so that a stream that breaks off inside an event can
// be continued by another endpoint without a joined event.
type eventBuffer struct {
	pending []byte
	// LastID is the id of the last whole event that was taken.
	LastID string
}

// Add appends bytes and returns the whole events among all bytes so far. The result is valid until the next Add.
func (b *eventBuffer) Add(data []byte) []byte {
	b.pending = append(b.pending, data...)
	end := lastEventEnd(b.pending)
	if end == 0 {
		return nil
	}
	events := append([]byte(nil), b.pending[:end]...)
	b.pending = append(b.pending[:0], b.pending[end:]...)
	if id := lastID(events); id != "" {
		b.LastID = id
	}
	return events
}

// Partial tells whether an event is incomplete.
func (b *eventBuffer) Partial() bool {
	return len(b.pending) > 0
}

// Reset drops an incomplete event.
func (b *eventBuffer) Reset() {
	b.pending = b.pending[:0]
}

// lastEventEnd returns the length of the whole events in data. An event ends with an empty line.
func lastEventEnd(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\n\r\n")); i >= 0 {
		end = max(end, i+3)
	}
	return end
}

// lastID returns the value of the last id field.
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
