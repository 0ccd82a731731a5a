package openaihttp

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds the total size of the lines of one server-sent event.
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

// next returns the next event with data or a name. If the byte stream ends before the empty line that terminates an
// event, next returns the error of the stream, which may be io.EOF, instead of the event.
func (r *eventReader) next() (event, error) {
	var current event
	size, dataLines := 0, 0
	for {
		line, err := r.readLine(maxEventBytes - size)
		if err != nil {
			return event{}, err
		}
		size += len(line)
		if len(line) == 0 {
			if dataLines > 0 || current.name != "" {
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
			if dataLines > 0 {
				current.data = append(current.data, '\n')
			}
			current.data = append(current.data, value...)
			dataLines++
		}
	}
}

// readLine returns a line without its line break. The slice is valid until the next call.
func (r *eventReader) readLine(maxBytes int) ([]byte, error) {
	var buffered []byte
	for {
		part, err := r.reader.ReadSlice('\n')
		if len(buffered)+len(part) > maxBytes {
			return nil, errEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			buffered = append(buffered, part...)
			continue
		}
		if err != nil {
			return nil, err
		}
		if buffered != nil {
			part = append(buffered, part...)
		}
		return bytes.TrimSuffix(bytes.TrimSuffix(part, []byte("\n")), []byte("\r")), nil
	}
}

// splitField splits "field: value". A comment line has an empty field name.
func splitField(line []byte) (string, []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	return string(name), bytes.TrimPrefix(value, []byte(" "))
}
