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

// streamState is what a client has received of a stream.
type streamState struct {
	begun  bool
	events eventBuffer
	buffer [streamReadBytes]byte
}

// streamReadBytes is read from an endpoint at a time; an event takes some 60 bytes.
const streamReadBytes = 4 << 10

// streamEnd tells how forwarding a stream from one endpoint ended.
type streamEnd int

const (
	streamWhole streamEnd = iota
	// streamBroken means that the endpoint broke off; the stream may be continued elsewhere.
	streamBroken
	// streamUnwanted means that the client does not take any more bytes.
	streamUnwanted
)

// stream serves a request that is answered by events.
func (x *clientRequest) stream(closing bool) bool {
	state := &streamState{}
	reason, retryAfter := "no endpoint", minimumRetryAfter
	for x.mayRepeat(time.Now()) {
		a, wait := x.place()
		if a == nil {
			retryAfter = wait
			break
		}
		resp := fasthttp.AcquireResponse()
		body, sent := x.openStream(a, resp, state)
		switch sent {
		case sendAnswered:
			if body == nil {
				defer fasthttp.ReleaseResponse(resp)
				if state.begun {
					return x.abort("the endpoint refused to continue the stream")
				}
				return x.deliver(resp, a, closing)
			}
			result := x.forwardStream(a, body, resp, state, closing)
			fasthttp.ReleaseResponse(resp)
			switch result {
			case streamWhole:
				return !closing
			case streamUnwanted:
				return false
			case streamBroken:
				reason = "stream broke off"
			}
			continue
		case sendNotRun:
			reason = "endpoint refused"
		case sendNotSent, sendUnknown:
			reason = "endpoint failed"
		}
		fasthttp.ReleaseResponse(resp)
	}
	if state.begun {
		return x.abort(reason)
	}
	return x.fail(reason, retryAfter, closing)
}

// abort ends a stream that has begun without the mark of its end; the connection is closed.
func (x *clientRequest) abort(reason string) bool {
	x.log.Warn("stream broken off", zap.String("reason", reason), zap.Strings("tried", x.tried),
		zap.Duration("after", time.Since(x.arrived)))
	x.finished(x.server.metrics.broken)
	return false
}

// openStream sends the request. A nil body with sendAnswered means that resp is a whole response without a stream.
func (x *clientRequest) openStream(a *attempt, resp *fasthttp.Response, state *streamState) (*httpconn.Body, sendResult) {
	if state.begun {
		x.server.metrics.resumed.Inc(1)
	}
	out := x.forwardRequest(a, state.events.LastID)
	defer fasthttp.ReleaseRequest(out)
	resp.Header.SetNoDefaultContentType(true)
	body, err := x.server.parts.Pool.Open(x.ctx, "http://"+a.choice.Address, x.deadline, out, resp)
	if err != nil {
		return nil, x.classify(a, err)
	}
	reply := x.server.parts.Wire.DecodeReply(&resp.Header)
	if resp.StatusCode() == fasthttp.StatusOK {
		x.countSend()
		x.tried = append(x.tried, a.choice.ID)
		x.mayHaveRun = true
		if !x.acceptable(a, &reply, resp) {
			body.Close()
			return nil, sendUnknown
		}
		return body, sendAnswered
	}
	return nil, x.closeFailed(a, body, resp, &reply)
}

// closeFailed reads the body of a response that is no stream.
func (x *clientRequest) closeFailed(a *attempt, body *httpconn.Body, resp *fasthttp.Response, reply *Reply) sendResult {
	content, err := io.ReadAll(io.LimitReader(body, maxReplyBytes))
	body.Close()
	if reply.NotRun {
		return x.refusedBy(a, resp.StatusCode(), reply)
	}
	if err != nil {
		return x.classify(a, err)
	}
	x.countSend()
	x.tried = append(x.tried, a.choice.ID)
	x.mayHaveRun = true
	if !x.acceptable(a, reply, resp) {
		return sendUnknown
	}
	resp.SetBodyRaw(content)
	a.call.End(resultOf(resp), time.Now())
	return sendAnswered
}

// forwardStream forwards whole events as they arrive.
func (x *clientRequest) forwardStream(a *attempt, body *httpconn.Body, resp *fasthttp.Response, state *streamState, closing bool) streamEnd {
	defer body.Close()
	state.events.Reset()
	for {
		n, err := body.Read(state.buffer[:])
		if n > 0 {
			x.noteFirst(a)
		}
		if events := state.events.Add(state.buffer[:n]); len(events) > 0 {
			if failure := x.forwardEvents(resp, events, state, closing); failure != nil {
				a.call.End(fleet.Neutral, time.Now())
				x.log.Info("client left", zap.Error(failure), zap.Duration("after", time.Since(x.arrived)))
				x.finished(x.server.metrics.left)
				return streamUnwanted
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && !state.events.Partial() {
			return x.completeStream(a, resp, state, closing)
		}
		return x.brokenStream(a, err)
	}
}

func (x *clientRequest) noteFirst(a *attempt) {
	if a.call.Started() {
		took := time.Since(a.sent)
		x.server.metrics.firstEvent.RecordDuration(took)
		x.server.paces.measured(x.service.Name, a.choice.AtEndpoint, took-a.choice.Latency)
		x.log.Info("first event", zap.String("endpoint", a.choice.ID), zap.String("model", x.request.Model),
			zap.Duration("took", took), zap.Duration("expected", a.choice.AtEndpoint))
	}
}

// forwardEvents writes events, preceded by the header of the stream's first endpoint.
func (x *clientRequest) forwardEvents(resp *fasthttp.Response, events []byte, state *streamState, closing bool) error {
	if !state.begun {
		if err := x.conn.writeStreamHeader(&resp.Header, closing); err != nil {
			return err
		}
		state.begun = true
	}
	return x.conn.writeChunk(events)
}

func (x *clientRequest) completeStream(a *attempt, resp *fasthttp.Response, state *streamState, closing bool) streamEnd {
	a.call.End(fleet.Succeeded, time.Now())
	if !state.begun {
		if err := x.conn.writeStreamHeader(&resp.Header, closing); err != nil {
			return streamUnwanted
		}
	}
	if err := x.conn.writeLastChunk(); err != nil {
		return streamUnwanted
	}
	x.finished(x.server.metrics.answered)
	x.log.Info("stream complete", zap.String("endpoint", a.choice.ID), zap.String("lastEvent", state.events.LastID),
		zap.Duration("after", time.Since(x.arrived)))
	return streamWhole
}

func (x *clientRequest) brokenStream(a *attempt, err error) streamEnd {
	if x.ctx.Err() != nil {
		a.call.End(fleet.Neutral, time.Now())
		x.log.Info("client left", zap.Duration("after", time.Since(x.arrived)))
		x.finished(x.server.metrics.left)
		return streamUnwanted
	}
	a.call.End(fleet.Failed, time.Now())
	x.log.Info("stream broke off at the endpoint", zap.String("endpoint", a.choice.ID), zap.Error(err),
		zap.Duration("took", time.Since(a.sent)))
	return streamBroken
}
