package edge

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event. An event with a few tokens takes some 60 bytes.
const maxEventBytes = 256 << 10

var (
	// errEventTooLarge means that an event exceeds maxEventBytes.
	errEventTooLarge = errors.New("event of a stream too large")
	// errNotAnEvent means that a stream has text that is no event, such as an error message.
	errNotAnEvent = errors.New("stream has text that is no event")
	// errErrorEvent means that the endpoint reported a failure within the stream.
	errErrorEvent = errors.New("endpoint reported an error within the stream")
	// errEventOrder means that an event's id does not exceed those of the events before it.
	errEventOrder = errors.New("event id of a stream does not increase")
	// errNoEvents means that a stream ended without any event.
	errNoEvents = errors.New("stream has no events")
)

// eventBuffer splits a stream of bytes into complete server-sent events and checks that their ids increase, over all
// endpoints that contribute to the stream. If the stream breaks off within an event, another endpoint can then continue
// it without parts of two events being joined. Text that is no event is never passed on.
type eventBuffer struct {
	pending []byte
	// reserved is the size of the buffer at the last call of Growth.
	reserved int
	// lastID is the id of the last returned event, or that of the event after which the client asked to continue; zero
	// if there is none.
	lastID int64
	// returned counts the events with an id since the last Reset.
	returned int
}

// Add appends data and returns the events that are complete now. After an error, which the events before the faulty one
// may accompany, the buffer must be Reset.
func (b *eventBuffer) Add(data []byte) ([]byte, error) {
	// The bytes before had no end of an event, so that one can only begin at the last of them.
	searchFrom := max(len(b.pending)-len(longestEventEnd)+1, 0)
	b.pending = append(b.pending, data...)
	valid := 0
	for {
		length := eventEnd(b.pending[searchFrom:])
		if length == 0 {
			break
		}
		end := searchFrom + length
		if err := b.check(b.pending[valid:end]); err != nil {
			return b.take(valid), err
		}
		valid, searchFrom = end, end
	}
	return b.take(valid), nil
}

// take removes and returns the first n bytes.
func (b *eventBuffer) take(n int) []byte {
	if n == 0 {
		return nil
	}
	events := append([]byte(nil), b.pending[:n]...)
	b.pending = append(b.pending[:0], b.pending[n:]...)
	return events
}

// check checks one complete event and records its id. Comments between events are allowed.
func (b *eventBuffer) check(event []byte) error {
	id := int64(0)
	isComment := true
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		isComment = false
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isFieldName(name) {
			return errNotAnEvent
		}
		value = bytes.TrimSpace(value)
		switch string(name) {
		case "id":
			number, err := strconv.ParseInt(string(value), 10, 64)
			if err != nil {
				return errNotAnEvent
			}
			id = number
		case "event":
			if string(value) == "error" {
				return errErrorEvent
			}
		}
	}
	switch {
	case isComment:
		return nil
	case id == 0:
		return errNotAnEvent
	case id <= b.lastID:
		return errEventOrder
	}
	b.lastID = id
	b.returned++
	return nil
}

// isFieldName reports whether a name consists of lowercase letters and hyphens, as those of all fields of events do.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && c != '-' {
			return false
		}
	}
	return len(name) > 0
}

// LastID returns the id of the last event in the form of the Last-Event-Id header, or an empty string if there is none.
func (b *eventBuffer) LastID() string {
	if b.lastID == 0 {
		return ""
	}
	return strconv.FormatInt(b.lastID, 10)
}

// ContinueAfter sets the id after which the client asked to continue; a malformed one is ignored.
func (b *eventBuffer) ContinueAfter(lastID string) {
	if number, err := strconv.ParseInt(lastID, 10, 64); err == nil {
		b.lastID = number
	}
}

// Returned returns the number of events with an id since the last Reset.
func (b *eventBuffer) Returned() int {
	return b.returned
}

// unreservedEventBytes is the size up to which the buffer needs no memory from the budget for responses.
const unreservedEventBytes = 16 << 10

// Growth returns by how much the buffer has grown beyond unreservedEventBytes since the last call.
func (b *eventBuffer) Growth() int {
	size := max(cap(b.pending), unreservedEventBytes)
	growth := size - max(b.reserved, unreservedEventBytes)
	b.reserved = size
	return growth
}

// Oversized reports whether the incomplete event in the buffer exceeds maxEventBytes.
func (b *eventBuffer) Oversized() bool {
	return len(b.pending) > maxEventBytes
}

// Partial reports whether the buffer has an incomplete event.
func (b *eventBuffer) Partial() bool {
	return len(b.pending) > 0
}

// Reset discards an incomplete event. The next events come from another endpoint.
func (b *eventBuffer) Reset() {
	b.pending = b.pending[:0]
	b.returned = 0
}

// longestEventEnd is the longest sequence of bytes that ends an event.
const longestEventEnd = "\n\r\n"

// eventEnd returns the length of the first complete event in data, or zero. An event ends with an empty line.
func eventEnd(data []byte) int {
	for start := 0; ; {
		newline := bytes.IndexByte(data[start:], '\n')
		if newline < 0 {
			return 0
		}
		start += newline + 1
		switch rest := data[start:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return start + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return start + 2
		}
	}
}
