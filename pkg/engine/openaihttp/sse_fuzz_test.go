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

// FuzzEvents guards against input that makes the parser panic, loop forever, or return different events depending on
// how the bytes are split over reads.
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
		events, err := readEvents(bytes.NewReader(input))
		split, splitErr := readEvents(iotest.OneByteReader(bytes.NewReader(input)))
		if fmt.Sprint(events, err) != fmt.Sprint(split, splitErr) {
			t.Fatalf("%q: %v %v, byte by byte %v %v", input, events, err, split, splitErr)
		}
		total := 0
		for _, ev := range events {
			total += len(ev.data) + len(ev.id) + len(ev.name)
		}
		if total > len(input) {
			t.Fatalf("%q: events hold %d bytes", input, total)
		}
	})
}

func readEvents(r io.Reader) ([]event, error) {
	reader := newEventReader(r)
	var all []event
	for {
		ev, err := reader.next()
		if err != nil {
			return all, err
		}
		all = append(all, ev)
	}
}

// FuzzInspectChunk guards against content for which the fast path of inspectChunk differs from decoding the chunk.
func FuzzInspectChunk(f *testing.F) {
	for _, content := range []string{"", "word ", `"finish_reason":null`, `","finish_reason":"stop","x":"`, `\`, "नमस्ते\n"} {
		for format := range byte(6) {
			f.Add(content, format)
		}
	}
	f.Fuzz(func(t *testing.T, content string, format byte) {
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
		data := fmt.Appendf(nil, formats[int(format)%len(formats)], quoted)
		fast, decoded := engine.Chunk{Data: data}, engine.Chunk{Data: data}
		if err := errors.Join(inspectChunk(&fast), decodeChunk(&decoded)); err != nil {
			t.Fatalf("%s: %v", data, err)
		}
		if fast.Tokens != decoded.Tokens || fast.HasFinishReason != decoded.HasFinishReason || fast.InputTokens != decoded.InputTokens {
			t.Fatalf("%s: %+v, decoded %+v", data, fast, decoded)
		}
	})
}

// BenchmarkChunk measures the cost of parsing one chunk of a stream, without the connection.
func BenchmarkChunk(b *testing.B) {
	const chunk = `{"id":"r","object":"chat.completion.chunk","created":1,"model":"m",` +
		`"choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}`
	text := []byte("id: 7\ndata: " + chunk + "\n\n")
	input := bytes.NewReader(nil)
	reader := newEventReader(input)
	b.ReportAllocs()
	for b.Loop() {
		input.Reset(text)
		reader.reader.Reset(input)
		ev, err := reader.next()
		if err != nil {
			b.Fatal(err)
		}
		parsed := engine.Chunk{Data: ev.data}
		if err := inspectChunk(&parsed); err != nil || parsed.Tokens != 1 {
			b.Fatal(parsed, err)
		}
	}
}
