package openaihttp

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds the lines of one server-sent event.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("server-sent event is too large")

// event is one server-sent event.
type event struct {
	name string
	id   string
	data []byte
}

// eventReader splits a byte stream into server-sent events.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReader(r)}
}

// next returns the next event with data or a name. An event without its closing empty line is not returned: the stream's
// error, io.EOF included, takes its place.
func (r *eventReader) next() (event, error) {
	var current event
	size, lines := 0, 0
	for {
		line, err := r.line(maxEventBytes - size)
		if err != nil {
			return event{}, err
		}
		size += len(line)
		if len(line) == 0 {
			if lines > 0 || current.name != "" {
				return current, nil
			}
			current = event{}
			continue
		}
		field, value := splitField(line)
		switch field {
		case "event":
			current.name = string(value)
		case "id":
			current.id = string(value)
		case "data":
			if lines > 0 {
				current.data = append(current.data, '\n')
			}
			current.data = append(current.data, value...)
			lines++
		}
	}
}

// line returns a line without its end; the slice is valid until the next call.
func (r *eventReader) line(limit int) ([]byte, error) {
	var long []byte
	for {
		part, err := r.reader.ReadSlice('\n')
		if len(long)+len(part) > limit {
			return nil, errEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, part...)
			continue
		}
		if err != nil {
			return nil, err
		}
		if long != nil {
			part = append(long, part...)
		}
		return bytes.TrimSuffix(bytes.TrimSuffix(part, []byte("\n")), []byte("\r")), nil
	}
}

// splitField splits "field: value"; a comment has an empty field.
func splitField(line []byte) (string, []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	return string(name), bytes.TrimPrefix(value, []byte(" "))
}
