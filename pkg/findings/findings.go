// Package findings collects validation findings with their location, so that a user sees every mistake of a file set
// at once instead of the first one.
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
	// File is the path as the user gave it; empty when the input has no file.
	File string `json:"file,omitempty"`
	// Pointer is the RFC 6901 JSON pointer of the offending field.
	Pointer string `json:"pointer"`
	// Value is the offending value as JSON text, shortened to MaxValueLength bytes.
	Value string `json:"value,omitempty"`
	// Message says what is wrong and what is allowed.
	Message string `json:"message"`
}

// MaxValueLength bounds the length, in bytes, of the value quoted in a finding.
const MaxValueLength = 80

// String formats the finding as "file: pointer: message (got value)"; an empty file or pointer is left out.
func (f Finding) String() string {
	var b strings.Builder
	for _, part := range []string{f.File, f.Pointer} {
		if part != "" {
			b.WriteString(part)
			b.WriteString(": ")
		}
	}
	b.WriteString(f.Message)
	if f.Value != "" {
		fmt.Fprintf(&b, " (got %s)", f.Value)
	}
	return b.String()
}

// List is an ordered collection of findings. The zero value is ready to use. It is not safe for concurrent use.
type List struct {
	items []Finding
}

// Add records one finding. A value longer than MaxValueLength is cut before the character that exceeds it.
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

// Addf records a finding whose message is built from a format string.
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

// Err returns nil when the list is empty, else an *Error with all findings.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}
	return errors.WithStack(&Error{Findings: l.Items()})
}

// Error carries all findings of a validation.
type Error struct {
	Findings []Finding
}

// Error lists the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings)+1)
	lines = append(lines, fmt.Sprintf("%d finding(s):", len(e.Findings)))
	for _, f := range e.Findings {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}
