package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// errBroken makes fasthttp close the connection without the end of the body.
var errBroken = errors.New("stream is broken by a fault")

// streamReader produces the server-sent events of a run. fasthttp flushes after each Read.
type streamReader struct {
	engine   *Engine
	run      *run
	fault    Fault
	offset   int
	sent     int
	repeated bool
	ended    bool
	pending  []byte
	detached sync.Once
}

func (e *Engine) stream(ctx *fasthttp.RequestCtx, r *run, offset int, fault Fault) {
	r.attach()
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.Response.SetBodyStream(&streamReader{engine: e, run: r, fault: fault, offset: offset}, -1)
}

// Read implements io.Reader.
func (s *streamReader) Read(p []byte) (int, error) {
	if len(s.pending) == 0 {
		if err := s.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

func (s *streamReader) fill() error {
	switch {
	case s.ended:
		return io.EOF
	case s.fault.DropReply, reached(s.fault.CloseAfterChunks, s.sent):
		return errBroken
	case reached(s.fault.EndAfterChunks, s.sent):
		return io.EOF
	}
	chunk, more, err := s.run.chunkAt(s.offset)
	if err != nil {
		return errBroken
	}
	if !more {
		s.ended = true
		s.pending = fmt.Appendf(nil, "id: %d\ndata: [DONE]\n\n", s.offset)
		return nil
	}
	if s.fault.OnChunk != nil {
		s.fault.OnChunk(s.sent)
	}
	if s.fault.SkipChunk > 0 && s.offset == s.fault.SkipChunk {
		s.offset++
		return s.fill()
	}
	s.pending = fmt.Appendf(nil, "id: %d\ndata: %s\n\n", s.offset, chunk)
	s.sent++
	if s.fault.RepeatChunk > 0 && s.offset == s.fault.RepeatChunk && !s.repeated {
		s.repeated = true
		return nil
	}
	s.offset++
	return nil
}

func reached(limit, count int) bool {
	return limit > 0 && count >= limit
}

// Close implements io.Closer; fasthttp calls it when the response ended or the connection broke.
func (s *streamReader) Close() error {
	s.detached.Do(s.detach)
	return nil
}

// detach keeps the run for the resume window even after its end was written: the reader may not have received it.
func (s *streamReader) detach() {
	last, left := s.run.detach()
	if !last {
		return
	}
	window := s.engine.options.Timing.ResumeWindow
	time.AfterFunc(window, func() {
		if s.run.expire(left) {
			s.engine.forget(s.run)
		}
	})
}

type faultRequest struct {
	Call   CallKind `json:"call"`
	Always bool     `json:"always"`
	Fault  Fault    `json:"fault"`
}

// ServeFaults sets faults over HTTP: POST /faults queues one or sets a permanent one, DELETE /faults clears all, POST
// /faults/down, /faults/up, /faults/restart, /faults/leaving and /faults/staying change the process. Serve it on a
// listener of its own to reach an engine that is down.
func (e *Engine) ServeFaults(ctx *fasthttp.RequestCtx) {
	method, path := string(ctx.Method()), string(ctx.Path())
	actions := map[string]func() error{
		"POST /faults/down":    func() error { e.Down(); return nil },
		"POST /faults/up":      e.Up,
		"POST /faults/restart": func() error { e.Down(); return e.Up() },
		"POST /faults/leaving": func() error { e.SetLeaving(true); return nil },
		"POST /faults/staying": func() error { e.SetLeaving(false); return nil },
		"DELETE /faults":       func() error { e.faults.Clear(); return nil },
	}
	if action, ok := actions[method+" "+path]; ok {
		if err := action(); err != nil {
			replyError(ctx, fasthttp.StatusInternalServerError, err.Error())
			return
		}
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	var request faultRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil || method != "POST" || path != "/faults" {
		replyError(ctx, fasthttp.StatusBadRequest, "no such fault request")
		return
	}
	if request.Always {
		e.faults.Always(request.Call, request.Fault)
	} else {
		e.faults.Next(request.Call, request.Fault)
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
