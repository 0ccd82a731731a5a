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

// bodyEndTimeout bounds the wait for the end of the body after the end marker of the stream.
const bodyEndTimeout = 100 * time.Millisecond

const (
	eventStreamType = "text/event-stream"
	errorEventName  = "error"
)

var doneData = []byte("[DONE]")

// stream implements engine.Stream.
type stream struct {
	client           *Client
	target           engine.Target
	requestID        string
	body             *httpconn.Body
	events           *eventReader
	resumed          bool
	finishReasonSeen bool
	nextOffset       int
	// err is the error that Next returns after the stream has ended or broken.
	err error
}

// Open implements engine.Inference.
func (c *Client) Open(ctx context.Context, target engine.Target, call engine.Call, offset int) (engine.Stream, error) {
	// The stream keeps using the request and the response, so they do not come from fasthttp's pools.
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	deadline := fillInferenceRequest(req, target, call)
	req.Header.Set(fasthttp.HeaderAccept, eventStreamType)
	if offset > 0 {
		req.Header.Set(HeaderResumeOffset, strconv.Itoa(offset))
	}
	body, err := c.pool.Open(ctx, target.URL, deadline, req, resp)
	if err == nil {
		err = checkStreamHeader(resp, body, call.RequestID, offset)
		if err != nil {
			body.Close()
		}
	}
	if err != nil {
		c.countError(err)
		if isContextError(err) {
			c.Cancel(target, call.RequestID)
		}
		return nil, err
	}
	return &stream{
		client:     c,
		target:     target,
		requestID:  call.RequestID,
		body:       body,
		events:     newEventReader(body),
		resumed:    offset > 0,
		nextOffset: offset,
	}, nil
}

// checkStreamHeader verifies the response header of a stream. It reads the body only if the status is not 200.
func checkStreamHeader(resp *fasthttp.Response, body *httpconn.Body, requestID string, offset int) error {
	var failureBody []byte
	status := resp.StatusCode()
	if status != fasthttp.StatusOK {
		var err error
		failureBody, err = io.ReadAll(io.LimitReader(body, maxEventBytes))
		if err != nil {
			return asTruncated(err)
		}
	}
	if err := checkResponse(resp, requestID, failureBody); err != nil {
		var statusErr *engine.StatusError
		resumeRejected := offset > 0 && errors.As(err, &statusErr) && statusErr.Status < fasthttp.StatusInternalServerError
		if resumeRejected {
			return errors.Wrapf(engine.ErrResumeUnsupported, "status %d", status)
		}
		return err
	}
	if !bytes.HasPrefix(resp.Header.ContentType(), []byte(eventStreamType)) {
		return errors.Wrapf(engine.ErrTruncated, "stream has content type %q", resp.Header.ContentType())
	}
	return nil
}

// asTruncated wraps an error of the body as engine.ErrTruncated, except for a lost connection or an ended context.
func asTruncated(err error) error {
	if isContextError(err) || errors.Is(err, engine.ErrConnectionLost) {
		return err
	}
	return errors.Wrapf(engine.ErrTruncated, "%v", err)
}

// Next implements engine.Stream.
func (s *stream) Next() (engine.Chunk, error) {
	if s.err != nil {
		return engine.Chunk{}, s.err
	}
	chunk, err := s.readChunk()
	if err == nil {
		s.nextOffset = chunk.Offset + 1
		return chunk, nil
	}
	s.err = err
	if !errors.Is(err, io.EOF) {
		s.client.countError(err)
		s.release()
	}
	if isContextError(err) {
		s.client.Cancel(s.target, s.requestID)
	}
	return engine.Chunk{}, err
}

// readChunk returns the chunk with the next offset and drops repeated chunks.
func (s *stream) readChunk() (engine.Chunk, error) {
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
			return engine.Chunk{}, s.checkEndMarker(ev)
		}
		offset, err := strconv.Atoi(ev.id)
		if err != nil {
			return engine.Chunk{}, errors.Wrapf(engine.ErrTruncated, "chunk has invalid offset %q", ev.id)
		}
		if offset < s.nextOffset {
			s.client.repeatedChunks.Inc(1)
			continue
		}
		if offset > s.nextOffset {
			return engine.Chunk{}, errors.Wrapf(engine.ErrTruncated, "chunk %d follows %d", offset, s.nextOffset-1)
		}
		chunk := engine.Chunk{Offset: offset, Data: ev.data}
		if err := inspectChunk(&chunk); err != nil {
			return engine.Chunk{}, err
		}
		s.finishReasonSeen = s.finishReasonSeen || chunk.HasFinishReason
		return chunk, nil
	}
}

// checkEndMarker returns io.EOF if the stream is complete: the id of the end marker, if present, is the number of
// chunks, and a stream that was read from its start had a finish reason. The finish reason of a resumed stream may
// precede the offset; the caller that resumes the stream checks it.
func (s *stream) checkEndMarker(ev event) error {
	if ev.id != "" && ev.id != strconv.Itoa(s.nextOffset) {
		return errors.Wrapf(engine.ErrTruncated, "end marker %q after %d chunks", ev.id, s.nextOffset)
	}
	if !s.finishReasonSeen && !s.resumed {
		return errors.Wrap(engine.ErrTruncated, "stream ended without a finish reason")
	}
	return io.EOF
}

// Close implements engine.Stream. A broken stream is not cancelled at the engine, so that it can be resumed. A stream
// whose context or deadline ended was already cancelled by Next.
func (s *stream) Close() {
	if s.body == nil {
		return
	}
	if errors.Is(s.err, io.EOF) {
		s.body.Drain(bodyEndTimeout)
		s.release()
		return
	}
	s.err = errors.Wrap(engine.ErrConnectionLost, "stream was closed by its reader")
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
