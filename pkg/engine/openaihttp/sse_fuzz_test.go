package openaihttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/iotest"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
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

// FuzzInspectChunk guards against content that makes the short way of reading a chunk differ from decoding it.
func FuzzInspectChunk(f *testing.F) {
	for _, content := range []string{"", "word ", `"finish_reason":null`, `","finish_reason":"stop","x":"`, `\`, "नमस्ते\n"} {
		for kind := range byte(6) {
			f.Add(content, kind)
		}
	}
	f.Fuzz(func(t *testing.T, content string, kind byte) {
		quoted, err := json.Marshal(content)
		if err != nil {
			t.Fatal(err)
		}
		formats := []string{
			`{"choices":[{"delta":{"content":%s},"finish_reason":null}]}`,
			`{"choices":[{"text":%s,"finish_reason":null}]}`,
			`{"choices":[{"delta":{"content":%s},"finish_reason":"stop"}],"usage":{"prompt_tokens":3}}`,
			`{"choices":[{"delta":{"content":%s},"finish_reason":null},{"delta":{},"finish_reason":"stop"}]}`,
			`{"choices":[{"delta":{"content":%s,"tool_calls":[]},"finish_reason":null}]}`,
			`{"choices":[{"delta":{"role":%s},"finish_reason":null}]}`,
		}
		data := fmt.Appendf(nil, formats[int(kind)%len(formats)], quoted)
		short, full := engine.Chunk{Data: data}, engine.Chunk{Data: data}
		if err := errors.Join(inspectChunk(&short), decodeChunk(&full)); err != nil {
			t.Fatalf("%s: %v", data, err)
		}
		if short.Tokens != full.Tokens || short.Finish != full.Finish || short.InputTokens != full.InputTokens {
			t.Fatalf("%s: %+v, decoded %+v", data, short, full)
		}
	})
}

// BenchmarkChunk measures what the adapter spends on one chunk of a stream, without the connection.
func BenchmarkChunk(b *testing.B) {
	const chunk = `{"id":"r","object":"chat.completion.chunk","created":1,"model":"m",` +
		`"choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}`
	text := []byte("id: 7\ndata: " + chunk + "\n\n")
	input := bytes.NewReader(nil)
	events := newEventReader(input)
	b.ReportAllocs()
	for b.Loop() {
		input.Reset(text)
		events.reader.Reset(input)
		ev, err := events.next()
		if err != nil {
			b.Fatal(err)
		}
		parsed := engine.Chunk{Data: ev.data}
		if err := inspectChunk(&parsed); err != nil || parsed.Tokens != 1 {
			b.Fatal(parsed, err)
		}
	}
}
