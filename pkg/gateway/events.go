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

// eventBody is a response body of server-sent events. fasthttp reads it in the connection's goroutine and flushes after
// each Read, so each chunk is sent as soon as it has arrived.
type eventBody struct {
	server    *Server
	requestID string
	stream    *dispatch.ModelStream
	cancel    context.CancelFunc
	// endRequest releases what the request holds.
	endRequest func()
	// pending is the unread rest of the current event. For a chunk it is a part of buffer, which is reused for the next
	// chunk.
	pending   []byte
	buffer    []byte
	ended     bool
	closeOnce sync.Once
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

// recoverPanic turns a panic into a read error. The connection is then closed, and the caller sees an incomplete
// response.
func (b *eventBody) recoverPanic(n *int, err *error) {
	if cause := recover(); cause != nil {
		b.server.options.Log.Error("panic in a stream",
			zap.String("requestId", b.requestID), zap.Any("cause", cause), zap.Stack("stack"))
		*n, *err = 0, io.ErrUnexpectedEOF
	}
}

// next returns the next event. The end marker is sent only after the regular end of the engine's stream.
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
	var prob *problem.Problem
	if !errors.As(err, &prob) {
		prob = problem.New(problem.TypeInternal, http.StatusInternalServerError, problem.Unknown, "The stream failed.")
	}
	b.server.logProblem(b.requestID, prob)
	document := *prob
	document.RequestID = b.requestID
	text, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return appendEvent(nil, "error", text)
}

// appendEvent appends data as one event to dst. Each line of data becomes a data line of the event.
func appendEvent(dst []byte, name string, data []byte) []byte {
	if name != "" {
		dst = append(dst, "event: "...)
		dst = append(dst, name...)
		dst = append(dst, '\n')
	}
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		dst = append(dst, "data: "...)
		dst = append(dst, line...)
		dst = append(dst, '\n')
	}
	return append(dst, '\n')
}

// Close implements io.Closer. fasthttp calls it at the end of the response and when the caller's connection fails.
func (b *eventBody) Close() error {
	b.closeOnce.Do(func() {
		defer b.endRequest()
		defer b.cancel()
		b.stream.Close()
	})
	return nil
}
