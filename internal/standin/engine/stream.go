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

// errStreamBroken makes fasthttp close the connection without the end of the body.
var errStreamBroken = errors.New("stream was cancelled or broken by a fault")

// streamReader encodes a run as server-sent events. fasthttp flushes after each Read.
type streamReader struct {
	engine        *Engine
	run           *run
	fault         Fault
	offset        int
	sentChunks    int
	chunkRepeated bool
	endWritten    bool
	pending       []byte
	detachOnce    sync.Once
}

func (e *Engine) serveStream(ctx *fasthttp.RequestCtx, r *run, offset int, fault Fault) {
	r.addReader()
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
	case s.endWritten:
		return io.EOF
	case s.fault.DropReply, limitReached(s.fault.CloseAfterChunks, s.sentChunks):
		return errStreamBroken
	case limitReached(s.fault.EndAfterChunks, s.sentChunks):
		return io.EOF
	}
	chunk, more, err := s.run.waitForChunk(s.offset)
	if err != nil {
		return errStreamBroken
	}
	if !more {
		s.endWritten = true
		s.pending = fmt.Appendf(nil, "id: %d\ndata: [DONE]\n\n", s.offset)
		return nil
	}
	if s.fault.OnChunk != nil {
		s.fault.OnChunk(s.sentChunks)
	}
	if s.fault.SkipChunk > 0 && s.offset == s.fault.SkipChunk {
		s.offset++
		return s.fill()
	}
	s.pending = fmt.Appendf(nil, "id: %d\ndata: %s\n\n", s.offset, chunk)
	s.sentChunks++
	if s.fault.RepeatChunk > 0 && s.offset == s.fault.RepeatChunk && !s.chunkRepeated {
		s.chunkRepeated = true
		return nil
	}
	s.offset++
	return nil
}

func limitReached(limit, count int) bool {
	return limit > 0 && count >= limit
}

// Close implements io.Closer. fasthttp calls it when the response is complete or the connection has failed.
func (s *streamReader) Close() error {
	s.detachOnce.Do(s.detach)
	return nil
}

// detach removes the reader and keeps the run for the resume window, even if the stream was written to its end: the
// client may not have received it.
func (s *streamReader) detach() {
	last, detachCount := s.run.removeReader()
	if !last {
		return
	}
	window := s.engine.options.Timing.ResumeWindow
	time.AfterFunc(window, func() {
		if s.run.cancelIfUnread(detachCount) {
			s.engine.removeRun(s.run)
		}
	})
}

type faultRequest struct {
	Call   CallKind `json:"call"`
	Always bool     `json:"always"`
	Fault  Fault    `json:"fault"`
}

// ServeFaults sets faults over HTTP. POST /faults queues a fault or sets the default one, DELETE /faults clears all,
// and POST /faults/down, /faults/up, /faults/restart, /faults/leaving and /faults/staying change the state of the
// engine. Serve it on a separate listener to reach an engine that is down.
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
		e.faults.SetDefault(request.Call, request.Fault)
	} else {
		e.faults.Queue(request.Call, request.Fault)
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
