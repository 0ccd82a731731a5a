package edge

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
)

// streamState is the state of a stream to a client across endpoints.
type streamState struct {
	// started is set once the response header was written to the client.
	started bool
	events  eventBuffer
	buffer  [streamReadBytes]byte
}

// streamReadBytes is the buffer size of reads from an endpoint; an event takes some 60 bytes.
const streamReadBytes = 4 << 10

// streamResult is the outcome of forwarding a stream from one endpoint.
type streamResult int

const (
	streamComplete streamResult = iota
	// streamBroken means that the endpoint broke off the stream; another endpoint may continue it.
	streamBroken
	// streamClientLeft means that no more bytes can be sent to the client.
	streamClientLeft
)

// serveStream serves a request whose response is a stream of events. It returns false when the connection must be
// closed.
func (r *clientRequest) serveStream(closeAfter bool) bool {
	state := &streamState{}
	if r.route.Repeatable() {
		state.events.ContinueAfter(r.request.LastEventID)
		if r.request.LastEventID != "" && !r.bindToOrigin() {
			return r.fail("version that began the stream is not known", 0, closeAfter)
		}
	}
	reason, retryAfter := "no endpoint", minRetryAfter
	for r.maySend(time.Now()) {
		a, wait := r.chooseEndpoint()
		if a == nil {
			retryAfter = wait
			break
		}
		if !r.holdAt(a) {
			reason = endpointHoldsEnough
			continue
		}
		resp := fasthttp.AcquireResponse()
		body, sent := r.openStream(a, resp, state)
		switch sent {
		case sendAnswered:
			if body == nil {
				r.releaseAt(a)
				defer fasthttp.ReleaseResponse(resp)
				if state.started {
					return r.abort("the endpoint refused to continue the stream")
				}
				return r.deliver(resp, a, closeAfter)
			}
			result := r.forwardStream(a, body, resp, state, closeAfter)
			r.releaseAt(a)
			fasthttp.ReleaseResponse(resp)
			switch result {
			case streamComplete:
				return !closeAfter
			case streamClientLeft:
				return false
			case streamBroken:
				reason = "stream broke off"
			}
			continue
		case sendNotRun:
			reason, retryAfter = "endpoint refused", r.retryAfterRefusal(a)
		case sendNotSent, sendUnknown:
			reason = "endpoint failed"
		}
		r.releaseAt(a)
		fasthttp.ReleaseResponse(resp)
	}
	if state.started {
		return r.abort(reason)
	}
	return r.fail(reason, retryAfter, closeAfter)
}

// abort ends a started stream without its last chunk. It returns false, so that the connection is closed.
func (r *clientRequest) abort(reason string) bool {
	r.log.Warn("stream broken off", zap.String("reason", reason), zap.Strings("tried", r.tried),
		zap.Duration("after", time.Since(r.arrivedAt)))
	r.recordEnd(r.server.metrics.broken)
	return false
}

// openStream sends the request. A nil body with sendAnswered means that resp is a complete response without a stream.
func (r *clientRequest) openStream(a *attempt, resp *fasthttp.Response, state *streamState) (*httpconn.Body, sendResult) {
	if state.started {
		r.server.metrics.resumed.Inc(1)
	}
	out := r.buildForwardRequest(a, state.events.LastID())
	defer fasthttp.ReleaseRequest(out)
	resp.Header.SetNoDefaultContentType(true)
	body, err := r.server.deps.Pool.Open(r.ctx, "http://"+a.choice.Address, r.deadline, out, resp)
	if err != nil {
		return nil, r.handleSendError(a, err)
	}
	reply := r.decodeReply(a, resp)
	if resp.StatusCode() == fasthttp.StatusOK {
		r.recordSend()
		r.tried = append(r.tried, a.choice.ID)
		r.mayHaveRun = true
		if !r.checkResponse(a, &reply, resp) {
			body.Close()
			r.endAttempt(a, resp.StatusCode(), "invalid response")
			return nil, sendUnknown
		}
		return body, sendAnswered
	}
	return nil, r.readErrorResponse(a, body, resp, &reply)
}

// readErrorResponse reads the body of a response that is not a stream, and ends the call.
func (r *clientRequest) readErrorResponse(a *attempt, body *httpconn.Body, resp *fasthttp.Response, reply *Reply) sendResult {
	content, err := httpconn.ReadAll(r.ctx, body, maxResponseBytes, r.memory)
	body.Close()
	if err != nil {
		return r.handleSendError(a, err)
	}
	if reply.NotRun {
		return r.recordRefusal(a, resp.StatusCode(), reply)
	}
	r.recordSend()
	r.tried = append(r.tried, a.choice.ID)
	r.mayHaveRun = true
	if !r.checkResponse(a, reply, resp) {
		r.endAttempt(a, resp.StatusCode(), "invalid response")
		return sendUnknown
	}
	resp.SetBodyRaw(content)
	a.call.End(callResult(resp), time.Now())
	return sendAnswered
}

// forwardStream forwards complete events as they arrive.
func (r *clientRequest) forwardStream(a *attempt, body *httpconn.Body, resp *fasthttp.Response, state *streamState, closeAfter bool) streamResult {
	defer body.Close()
	state.events.Reset()
	for {
		n, err := body.Read(state.buffer[:])
		if n > 0 {
			r.recordFirstEvent(a)
		}
		events, invalid := state.events.Add(state.buffer[:n])
		if growth := state.events.Growth(); invalid == nil && growth > 0 && r.memory.GrowByEviction(r.ctx, growth) != nil {
			invalid = errEventTooLarge
		}
		if len(events) > 0 {
			r.recordOrigin(a)
			if failure := r.forwardEvents(resp, events, state, closeAfter); failure != nil {
				a.call.End(fleet.Neutral, time.Now())
				r.log.Info("client left", zap.Error(failure), zap.Duration("after", time.Since(r.arrivedAt)))
				r.recordEnd(r.server.metrics.clientsLeft)
				return streamClientLeft
			}
		}
		if invalid == nil && state.events.Oversized() {
			invalid = errEventTooLarge
		}
		if invalid != nil {
			return r.handleBrokenStream(a, invalid)
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) || state.events.Partial() {
			return r.handleBrokenStream(a, err)
		}
		if !r.mayBeComplete(state) {
			return r.handleBrokenStream(a, errNoEvents)
		}
		return r.completeStream(a, resp, state, closeAfter)
	}
}

// mayBeComplete reports whether the stream may be whole at the end of an endpoint's response. A response without events
// completes it only if the client itself asked for what follows its last event, which may be nothing. Where another
// endpoint has broken off, it would make a cut stream look whole.
func (r *clientRequest) mayBeComplete(state *streamState) bool {
	return state.events.Returned() > 0 || !state.started && r.request.LastEventID != ""
}

func (r *clientRequest) recordFirstEvent(a *attempt) {
	if a.call.Started(time.Now()) {
		r.recordPromptRead()
		a.firstEventAt = time.Now()
		took := a.firstEventAt.Sub(a.sentAt)
		r.server.metrics.firstEventTime.RecordDuration(took)
		a.call.FirstToken(took-a.choice.Latency, a.firstEventAt)
		r.log.Info("first event", zap.String("endpoint", a.choice.ID), zap.String("model", r.request.Model),
			zap.Duration("took", took), zap.Duration("expected", a.choice.AtEndpoint))
	}
}

// forwardEvents writes events to the client. It writes the response header first if the stream has not started.
func (r *clientRequest) forwardEvents(resp *fasthttp.Response, events []byte, state *streamState, closeAfter bool) error {
	if !state.started {
		if err := r.conn.writeStreamHeader(&resp.Header, closeAfter); err != nil {
			return err
		}
		state.started = true
	}
	return r.conn.writeChunk(events)
}

func (r *clientRequest) completeStream(a *attempt, resp *fasthttp.Response, state *streamState, closeAfter bool) streamResult {
	a.call.End(fleet.Succeeded, time.Now())
	r.recordAnswered()
	if !state.started {
		if err := r.conn.writeStreamHeader(&resp.Header, closeAfter); err != nil {
			return streamClientLeft
		}
	}
	if err := r.conn.writeLastChunk(); err != nil {
		return streamClientLeft
	}
	r.recordEnd(r.server.metrics.answered)
	r.log.Info("stream complete", zap.String("endpoint", a.choice.ID), zap.String("lastEvent", state.events.LastID()),
		zap.Duration("after", time.Since(r.arrivedAt)))
	return streamComplete
}

func (r *clientRequest) handleBrokenStream(a *attempt, err error) streamResult {
	if r.ctx.Err() != nil {
		a.call.End(fleet.Neutral, time.Now())
		r.log.Info("client left", zap.Duration("after", time.Since(r.arrivedAt)))
		r.recordEnd(r.server.metrics.clientsLeft)
		return streamClientLeft
	}
	a.call.End(fleet.Failed, time.Now())
	r.log.Info("stream broke off at the endpoint", zap.String("endpoint", a.choice.ID), zap.Error(err),
		zap.Duration("took", time.Since(a.sentAt)))
	r.recordCrash(a, err)
	r.endAttempt(a, fasthttp.StatusOK, "broke off")
	return streamBroken
}
