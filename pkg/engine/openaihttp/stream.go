package openaihttp

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
)

// drainTimeout bounds the wait for the end of the body after the end of the stream.
const drainTimeout = 100 * time.Millisecond

const (
	eventStreamType = "text/event-stream"
	errorEventName  = "error"
)

var doneData = []byte("[DONE]")

// stream implements engine.Stream.
type stream struct {
	client    *Client
	target    engine.Target
	requestID string
	body      *httpconn.Body
	events    *eventReader
	resumed   bool
	finished  bool
	next      int
	// err is the result of the last Next once the stream has ended or broken.
	err error
}

// Open implements engine.Inference.
func (c *Client) Open(ctx context.Context, target engine.Target, call engine.Call, offset int) (engine.Stream, error) {
	// The request and the response live as long as the stream, so they do not go back to fasthttp's pools.
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	deadline := fillCall(req, target, call)
	req.Header.Set(fasthttp.HeaderAccept, eventStreamType)
	if offset > 0 {
		req.Header.Set(HeaderResumeOffset, strconv.Itoa(offset))
	}
	body, err := c.pool.Open(ctx, target.URL, deadline, req, resp)
	if err == nil {
		err = checkOpened(resp, body, call.RequestID, offset)
		if err != nil {
			body.Close()
		}
	}
	if err != nil {
		c.count(err)
		if isTimeError(err) {
			c.Cancel(target, call.RequestID)
		}
		return nil, err
	}
	return &stream{
		client:    c,
		target:    target,
		requestID: call.RequestID,
		body:      body,
		events:    newEventReader(body),
		resumed:   offset > 0,
		next:      offset,
	}, nil
}

// checkOpened verifies the header of a stream; it reads the body of a failure.
func checkOpened(resp *fasthttp.Response, body *httpconn.Body, requestID string, offset int) error {
	var text []byte
	status := resp.StatusCode()
	if status != fasthttp.StatusOK {
		var err error
		text, err = io.ReadAll(io.LimitReader(body, maxEventBytes))
		if err != nil {
			return asTruncated(err)
		}
	}
	if err := checkResponse(resp, requestID, text); err != nil {
		var refused *engine.StatusError
		resumeRefused := offset > 0 && errors.As(err, &refused) && refused.Status < fasthttp.StatusInternalServerError
		if resumeRefused {
			return errors.Wrapf(engine.ErrResumeUnsupported, "status %d", status)
		}
		return err
	}
	if !bytes.HasPrefix(resp.Header.ContentType(), []byte(eventStreamType)) {
		return errors.Wrapf(engine.ErrTruncated, "stream has content type %q", resp.Header.ContentType())
	}
	return nil
}

func asTruncated(err error) error {
	if isTimeError(err) || errors.Is(err, engine.ErrConnectionLost) {
		return err
	}
	return errors.Wrapf(engine.ErrTruncated, "%v", err)
}

// Next implements engine.Stream.
func (s *stream) Next() (engine.Chunk, error) {
	if s.err != nil {
		return engine.Chunk{}, s.err
	}
	chunk, err := s.read()
	if err == nil {
		s.next = chunk.Offset + 1
		return chunk, nil
	}
	s.err = err
	if !errors.Is(err, io.EOF) {
		s.client.count(err)
		s.release()
	}
	if isTimeError(err) {
		s.client.Cancel(s.target, s.requestID)
	}
	return engine.Chunk{}, err
}

// read returns the chunk with the next offset; it drops chunks that were seen before.
func (s *stream) read() (engine.Chunk, error) {
	for {
		ev, err := s.events.next()
		switch {
		case errors.Is(err, io.EOF):
			return engine.Chunk{}, errors.Wrap(engine.ErrTruncated, "stream ended without its end marker")
		case err != nil:
			return engine.Chunk{}, asTruncated(err)
		case ev.name == errorEventName:
			return engine.Chunk{}, &engine.StatusError{Status: fasthttp.StatusInternalServerError, Body: ev.data}
		case bytes.Equal(ev.data, doneData):
			return engine.Chunk{}, s.checkEnd(ev)
		}
		offset, err := strconv.Atoi(ev.id)
		if err != nil {
			return engine.Chunk{}, errors.Wrapf(engine.ErrTruncated, "chunk has offset %q", ev.id)
		}
		if offset < s.next {
			s.client.repeated.Inc(1)
			continue
		}
		if offset > s.next {
			return engine.Chunk{}, errors.Wrapf(engine.ErrTruncated, "chunk %d follows %d", offset, s.next-1)
		}
		chunk := engine.Chunk{Offset: offset, Data: ev.data}
		if err := inspectChunk(&chunk); err != nil {
			return engine.Chunk{}, err
		}
		s.finished = s.finished || chunk.Finish
		return chunk, nil
	}
}

// checkEnd returns io.EOF when the end marker is at the right place: its id, where present, is the number of chunks, and
// a stream that was read from its start has had a finish reason. The finish reason of a resumed stream may have come
// before the offset; whoever resumes checks it.
func (s *stream) checkEnd(ev event) error {
	if ev.id != "" && ev.id != strconv.Itoa(s.next) {
		return errors.Wrapf(engine.ErrTruncated, "end marker %q after %d chunks", ev.id, s.next)
	}
	if !s.finished && !s.resumed {
		return errors.Wrap(engine.ErrTruncated, "stream ended without a finish reason")
	}
	return io.EOF
}

// Close implements engine.Stream. A stream that broke is not cancelled, so that it can be resumed; one whose context or
// deadline ended was cancelled by Next.
func (s *stream) Close() {
	if s.body == nil {
		return
	}
	if errors.Is(s.err, io.EOF) {
		s.body.Drain(drainTimeout)
		s.release()
		return
	}
	s.err = errors.Wrap(engine.ErrConnectionLost, "stream was closed")
	s.release()
	s.client.Cancel(s.target, s.requestID)
}

func (s *stream) release() {
	if s.body == nil {
		return
	}
	s.body.Close()
	s.body = nil
}
