package openaihttp

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"testing/iotest"
)

// FuzzEvents guards against input that makes the parser panic, loop, or read different events depending on how the
// bytes are split over reads.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		"",
		"id: 0\ndata: {}\n\nid: 1\ndata: [DONE]\n\n",
		"data: a\ndata: b\r\n\r\n: comment\n\nevent: error\n\n",
		"id: 0\ndata: cut",
		"\n\n\ndata\n\ndata:\n\n",
		"id:7\nid: 8\ndata:  two spaces\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		whole, wholeErr := readEvents(bytes.NewReader(input))
		split, splitErr := readEvents(iotest.OneByteReader(bytes.NewReader(input)))
		if fmt.Sprint(whole, wholeErr) != fmt.Sprint(split, splitErr) {
			t.Fatalf("%q: %v %v, byte by byte %v %v", input, whole, wholeErr, split, splitErr)
		}
		total := 0
		for _, ev := range whole {
			total += len(ev.data) + len(ev.id) + len(ev.name)
		}
		if total > len(input) {
			t.Fatalf("%q: events hold %d bytes", input, total)
		}
	})
}

func readEvents(r io.Reader) ([]event, error) {
	events := newEventReader(r)
	var all []event
	for {
		ev, err := events.next()
		if err != nil {
			return all, err
		}
		all = append(all, ev)
	}
}
