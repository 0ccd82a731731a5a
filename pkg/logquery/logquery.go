// Package logquery finds the story of a request in the structured logs of instances: its own lines, and what the instances
// learned at that time of the endpoints, models and dependencies that the request met.
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
	// maxLineBytes bounds a log line; longer ones are skipped.
	maxLineBytes = 1 << 20
	// before and after the request, lines about what it met are part of its story.
	before = 5 * time.Second
	after  = time.Second
)

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Fields are the other fields in the order of the line.
	Fields []Field
}

// Field is one field of a line, its value as JSON text.
type Field struct {
	Name  string
	Value string
}

// field returns the text of a string field, or an empty string.
func (l *Line) field(name string) string {
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

// Read returns the log lines of a stream. Text before a line's first brace, such as a collector's prefix, and lines that
// are no log lines are skipped.
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
		if line, ok := parse(text[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read log")
}

// parse decodes one line; fields keep their order.
func parse(text []byte) (Line, bool) {
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
		// A time that cannot be read leaves the line without one, and it is skipped.
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

// Story returns the lines of a request in the order of time, with lines about the endpoints and models that it met and
// about the state of the instances that handled it. It is empty when no line names the request.
func Story(lines []Line, request string) []Line {
	own := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.field("request") != request })
	if len(own) == 0 {
		return nil
	}
	sortByTime(own)
	s := scopeOf(own)
	var story []Line
	for _, l := range lines {
		if l.field("request") == request || l.field("request") == "" && s.contains(&l) {
			story = append(story, l)
		}
	}
	sortByTime(story)
	return story
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// scope is what a request met and when.
type scope struct {
	from, to  time.Time
	instances []string
	endpoints []string
	models    []string
}

func scopeOf(own []Line) scope {
	s := scope{from: own[0].Time.Add(-before), to: own[len(own)-1].Time.Add(after)}
	for _, l := range own {
		s.instances = append(s.instances, l.Instance)
		if endpoint := l.field("endpoint"); endpoint != "" {
			s.endpoints = append(s.endpoints, endpoint)
		}
		if model := l.field("model"); model != "" {
			s.models = append(s.models, model)
		}
	}
	return s
}

// contains tells whether a line that names no request belongs to the story: it names an endpoint or a model of the
// request, or it is about an instance that handled the request and names neither.
func (s *scope) contains(l *Line) bool {
	if l.Time.Before(s.from) || l.Time.After(s.to) {
		return false
	}
	endpoint, model := l.field("endpoint"), l.field("model")
	if endpoint == "" && model == "" {
		return slices.Contains(s.instances, l.Instance)
	}
	return slices.Contains(s.endpoints, endpoint) && (model == "" || slices.Contains(s.models, model)) ||
		slices.Contains(s.models, model)
}
