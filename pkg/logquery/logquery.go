// Package logquery finds the lines about a request in the structured logs of instances: its own lines, and the lines of
// that time about the endpoints, models and dependencies that the request used.
package logquery

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxLineBytes bounds the length of a log line. Read fails on a longer line.
	maxLineBytes = 1 << 20
	// marginBefore and marginAfter extend the time of a request to the range in which other lines can be related to it.
	marginBefore = 5 * time.Second
	marginAfter  = time.Second
)

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Fields has the other fields in the order of the line.
	Fields []Field
}

// Field is one field of a line. Value is JSON text.
type Field struct {
	Name  string
	Value string
}

// stringField returns the value of a string field, or an empty string if there is none.
func (l *Line) stringField(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return strings.Trim(f.Value, `"`)
		}
	}
	return ""
}

// String formats the line as time, instance, message and fields.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.Format("15:04:05.000000"), l.Instance, l.Message)
	for _, f := range l.Fields {
		fmt.Fprintf(&b, " %s=%s", f.Name, f.Value)
	}
	return b.String()
}

// Read returns the log lines of a stream. It skips the text before the first brace of a line, such as the prefix of a
// log collector, and skips lines that are not log lines.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		if line, ok := parseLine(text[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read log")
}

// parseLine decodes one line and keeps the order of the fields.
func parseLine(text []byte) (Line, bool) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return Line{}, false
	}
	var line Line
	for decoder.More() {
		token, err := decoder.Token()
		name, ok := token.(string)
		if err != nil || !ok {
			return Line{}, false
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return Line{}, false
		}
		line.set(name, value)
	}
	return line, line.Message != "" && !line.Time.IsZero()
}

func (l *Line) set(name string, value json.RawMessage) {
	text := strings.Trim(string(value), `"`)
	switch name {
	case "ts":
		// A line whose time cannot be parsed stays without a time and is skipped.
		l.Time, _ = time.Parse(time.RFC3339Nano, text)
	case "msg":
		l.Message = text
	case "instance":
		l.Instance = text
	case "level":
	default:
		l.Fields = append(l.Fields, Field{Name: name, Value: string(value)})
	}
}

// RequestLines returns the lines of a request and the related lines, ordered by time. Related lines are from the time
// of the request, and about the endpoints and models that it used or about the instances that handled it. The result is
// nil if no line belongs to the request.
func RequestLines(lines []Line, request string) []Line {
	ownLines := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.stringField("request") != request })
	if len(ownLines) == 0 {
		return nil
	}
	sortByTime(ownLines)
	s := newRequestScope(ownLines)
	var result []Line
	for _, l := range lines {
		if l.stringField("request") == request || l.stringField("request") == "" && s.contains(&l) {
			result = append(result, l)
		}
	}
	sortByTime(result)
	return result
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// requestScope is the time range of a request, extended by the margins, with the instances, endpoints and models that
// its lines name.
type requestScope struct {
	from, to  time.Time
	instances []string
	endpoints []string
	models    []string
}

func newRequestScope(ownLines []Line) requestScope {
	s := requestScope{from: ownLines[0].Time.Add(-marginBefore), to: ownLines[len(ownLines)-1].Time.Add(marginAfter)}
	for _, l := range ownLines {
		s.instances = append(s.instances, l.Instance)
		if endpoint := l.stringField("endpoint"); endpoint != "" {
			s.endpoints = append(s.endpoints, endpoint)
		}
		if model := l.stringField("model"); model != "" {
			s.models = append(s.models, model)
		}
	}
	return s
}

// contains reports whether a line without a request is related to the request: it is from the time range, and it has a
// model of the request, or an endpoint of the request and no model, or neither and comes from an instance that handled
// the request.
func (s *requestScope) contains(l *Line) bool {
	if l.Time.Before(s.from) || l.Time.After(s.to) {
		return false
	}
	endpoint, model := l.stringField("endpoint"), l.stringField("model")
	if endpoint == "" && model == "" {
		return slices.Contains(s.instances, l.Instance)
	}
	return slices.Contains(s.endpoints, endpoint) && (model == "" || slices.Contains(s.models, model)) ||
		slices.Contains(s.models, model)
}
