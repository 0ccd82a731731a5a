// Package findings collects validation findings with their locations, so that a user sees all mistakes in a set of
// files at once instead of only the first one.
package findings

import (
	"fmt"
	"sort"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// Finding is one mistake in a settings or declaration file.
type Finding struct {
	// File is the path as given by the user. It is empty if the input is not a file.
	File string `json:"file,omitempty"`
	// Pointer is the RFC 6901 JSON pointer of the offending field.
	Pointer string `json:"pointer"`
	// Value is the offending value as JSON text, shortened to MaxValueLength bytes.
	Value string `json:"value,omitempty"`
	// Message describes the mistake and what is allowed.
	Message string `json:"message"`
}

// MaxValueLength bounds the length, in bytes, of the value quoted in a finding.
const MaxValueLength = 80

// String formats the finding as "file: pointer: message (got value)" without the parts that are empty.
func (f Finding) String() string {
	var b strings.Builder
	for _, location := range []string{f.File, f.Pointer} {
		if location != "" {
			b.WriteString(location)
			b.WriteString(": ")
		}
	}
	b.WriteString(f.Message)
	if f.Value != "" {
		fmt.Fprintf(&b, " (got %s)", f.Value)
	}
	return b.String()
}

// List is a list of findings. The zero value is ready to use. It is not safe for concurrent use.
type List struct {
	items []Finding
}

// Add adds one finding. A value longer than MaxValueLength is cut before the first character that exceeds the limit.
func (l *List) Add(f Finding) {
	if len(f.Value) > MaxValueLength {
		end := MaxValueLength
		for end > 0 && !utf8.RuneStart(f.Value[end]) {
			end--
		}
		f.Value = f.Value[:end] + "..."
	}
	l.items = append(l.items, f)
}

// Addf adds a finding with a formatted message.
func (l *List) Addf(file, pointer, value, format string, args ...any) {
	l.Add(Finding{File: file, Pointer: pointer, Value: value, Message: fmt.Sprintf(format, args...)})
}

// Append adds all findings of another list.
func (l *List) Append(other List) {
	l.items = append(l.items, other.items...)
}

// Len returns the number of findings.
func (l *List) Len() int {
	return len(l.items)
}

// Items returns the findings ordered by file and pointer.
func (l *List) Items() []Finding {
	sorted := append([]Finding(nil), l.items...)
	sort.SliceStable(sorted, func(i, j int) bool {
		if sorted[i].File != sorted[j].File {
			return sorted[i].File < sorted[j].File
		}
		return sorted[i].Pointer < sorted[j].Pointer
	})
	return sorted
}

// Err returns an *Error with all findings, or nil if the list is empty.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}
	return errors.WithStack(&Error{Findings: l.Items()})
}

// Error is the error of a failed validation.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings)+1)
	lines = append(lines, fmt.Sprintf("%d finding(s):", len(e.Findings)))
	for _, f := range e.Findings {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}
