package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/dispatch"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

var doneEvent = []byte("data: [DONE]\n\n")

// eventBody produces the server-sent events of a response. fasthttp reads it in the connection's goroutine and flushes
// after each Read, so a chunk is on its way as soon as it has arrived.
type eventBody struct {
	server    *Server
	requestID string
	stream    *dispatch.ModelStream
	cancel    context.CancelFunc
	// pending is the rest of the current event in buffer, which is reused for the next one.
	pending []byte
	buffer  []byte
	ended   bool
	closed  sync.Once
}

// Read implements io.Reader.
func (b *eventBody) Read(p []byte) (n int, err error) {
	defer b.recoverPanic(&n, &err)
	if len(b.pending) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		b.pending = b.next()
	}
	n = copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// recoverPanic breaks the connection: the caller sees that the response is incomplete.
func (b *eventBody) recoverPanic(n *int, err *error) {
	if cause := recover(); cause != nil {
		b.server.options.Log.Error("panic in a stream",
			zap.String("requestId", b.requestID), zap.Any("cause", cause), zap.Stack("stack"))
		*n, *err = 0, io.ErrUnexpectedEOF
	}
}

// next returns the next event. The end marker follows the regular end of the engine's stream and nothing else.
func (b *eventBody) next() []byte {
	data, err := b.stream.Next()
	if err == nil {
		b.buffer = appendEvent(b.buffer[:0], "", data)
		return b.buffer
	}
	b.ended = true
	if errors.Is(err, io.EOF) {
		return doneEvent
	}
	var failed *problem.Problem
	if !errors.As(err, &failed) {
		failed = problem.New(problem.TypeInternal, http.StatusInternalServerError, problem.Unknown, "The stream failed.")
	}
	b.server.logProblem(b.requestID, failed)
	document := *failed
	document.RequestID = b.requestID
	text, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return appendEvent(nil, "error", text)
}

// appendEvent frames data as one event; data with line ends becomes several data lines.
func appendEvent(to []byte, name string, data []byte) []byte {
	if name != "" {
		to = append(to, "event: "...)
		to = append(to, name...)
		to = append(to, '\n')
	}
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		to = append(to, "data: "...)
		to = append(to, line...)
		to = append(to, '\n')
	}
	return append(to, '\n')
}

// Close implements io.Closer. fasthttp calls it at the end of the response and when the caller's connection broke.
func (b *eventBody) Close() error {
	b.closed.Do(func() {
		defer b.server.end()
		defer b.cancel()
		b.stream.Close()
	})
	return nil
}
