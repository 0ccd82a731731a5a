package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/admission"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// maxResumesPerStream is the largest number of attempts to resume one stream.
const maxResumesPerStream = 5

// ModelCall is one call of a model or an adapter.
type ModelCall struct {
	// Request describes the call to admission. The engine echoes its ID.
	Request scheduling.Request
	// Path is the OpenAI-compatible path.
	Path string
	// Body must not be modified until the call has ended.
	Body []byte
}

// ModelDispatcher runs model calls. It is safe for concurrent use.
type ModelDispatcher struct {
	retrier
	inference      engine.Inference
	resumedStreams tally.Counter
	brokenStreams  tally.Counter
}

// NewModelDispatcher returns a dispatcher that sends calls through the inference client. If the client also implements
// engine.Canceller, abandoned calls are cancelled at the engine.
func NewModelDispatcher(inference engine.Inference, options Options) *ModelDispatcher {
	d := &ModelDispatcher{retrier: newRetrier(options, "model"), inference: inference}
	scope := d.options.Scope.SubScope("dispatch")
	d.resumedStreams = scope.Counter("resumed_streams")
	d.brokenStreams = scope.Counter("broken_streams")
	return d
}

// engineCall returns the call in the form that the engine client expects, with the priority assigned by admission.
func (c ModelCall) engineCall(ticket admission.Ticket) engine.Call {
	return engine.Call{
		RequestID: c.Request.ID,
		Path:      c.Path,
		Body:      c.Body,
		Priority:  ticket.Decision().Priority,
		Deadline:  c.Request.Deadline,
	}
}

// retryableModelFailure reports whether a model call may be retried after the failure. A model call has no side
// effects, so any failure that another endpoint may avoid is retryable.
func retryableModelFailure(f failure) bool {
	return f.retryElsewhere
}

// Complete runs a call without streaming. If the problem is nil, the response is complete and verified.
func (d *ModelDispatcher) Complete(ctx context.Context, call ModelCall) (engine.Response, *problem.Problem) {
	var response engine.Response
	prob := d.run(ctx, call.Request, retryableModelFailure, func(ticket admission.Ticket) (admission.Result, error) {
		startedAt := d.options.Now()
		received, err := d.inference.Complete(ctx, ticket.Target(), call.engineCall(ticket))
		result := admission.Result{
			InputTokens:  received.InputTokens,
			OutputTokens: received.OutputTokens,
			Duration:     d.options.Now().Sub(startedAt),
		}
		if err != nil {
			d.cancelAbandoned(ticket.Target(), call, err)
			return result, err
		}
		if result.InputTokens == 0 {
			result.InputTokens = call.Request.InputTokens
		}
		response = received
		d.recordSuccess(call.Request.Member, ticket, result)
		return result, nil
	})
	return response, prob
}

// cancelAbandoned cancels a request at the endpoint if the request may still be running there after the error, because
// no caller waits for its response any longer.
func (d *ModelDispatcher) cancelAbandoned(target engine.Target, call ModelCall, err error) {
	canceller, ok := d.inference.(engine.Canceller)
	mayBeRunning := errors.Is(err, engine.ErrConnectionLost) || errors.Is(err, engine.ErrTruncated) ||
		errors.Is(err, engine.ErrRequestIDMismatch)
	if ok && mayBeRunning {
		canceller.Cancel(target, call.Request.ID)
	}
}

// Open starts a streamed call and waits for its first chunk. A failure before the first chunk can therefore be retried
// at another endpoint and reported with an HTTP status. If the problem is nil, the caller must close the stream.
func (d *ModelDispatcher) Open(ctx context.Context, call ModelCall) (*ModelStream, *problem.Problem) {
	var opened *ModelStream
	prob := d.run(ctx, call.Request, retryableModelFailure, func(ticket admission.Ticket) (admission.Result, error) {
		startedAt := d.options.Now()
		stream, err := d.inference.Open(ctx, ticket.Target(), call.engineCall(ticket), 0)
		if err != nil {
			d.cancelAbandoned(ticket.Target(), call, err)
			return admission.Result{Duration: d.options.Now().Sub(startedAt)}, err
		}
		s := &ModelStream{dispatcher: d, ctx: ctx, call: call, ticket: ticket, stream: stream, startedAt: startedAt}
		s.firstChunk, s.firstErr = s.readChunk()
		if s.firstErr != nil && !errors.Is(s.firstErr, io.EOF) {
			stream.Close()
			d.cancelAbandoned(ticket.Target(), call, s.firstErr)
			return s.result(), s.firstErr
		}
		opened = s
		return admission.Result{}, nil
	})
	return opened, prob
}

// ModelStream is the response to a streamed call. It is not safe for concurrent use.
type ModelStream struct {
	dispatcher *ModelDispatcher
	ctx        context.Context
	call       ModelCall
	ticket     admission.Ticket
	stream     engine.Stream
	startedAt  time.Time
	firstChunk []byte
	firstErr   error
	// nextOffset is the offset of the next chunk to return to the caller.
	nextOffset int
	// outputTokens is the sum over the received chunks. inputTokens is the number reported by the engine.
	outputTokens    int
	inputTokens     int
	hasFinishReason bool
	resumeCount     int
	released        bool
}

// Next returns the data of the next chunk. It returns io.EOF only after the engine has ended the stream regularly. Any
// other error is a *problem.Problem and ends the stream.
func (s *ModelStream) Next() ([]byte, error) {
	if s.firstChunk != nil || s.firstErr != nil {
		data, err := s.firstChunk, s.firstErr
		s.firstChunk, s.firstErr = nil, nil
		if err != nil {
			return nil, s.endOfStream()
		}
		return data, nil
	}
	if s.released {
		return nil, badGatewayFailure(problem.TypeEndpointLost, "The stream has ended.").problem
	}
	for {
		data, err := s.readChunk()
		if err == nil {
			return data, nil
		}
		if errors.Is(err, io.EOF) {
			return nil, s.endOfStream()
		}
		if err = s.resume(err); err != nil {
			return nil, s.fail(err)
		}
	}
}

// readChunk reads the next chunk from the endpoint. It drops chunks that the caller has already received and returns an
// error if a chunk is missing.
func (s *ModelStream) readChunk() ([]byte, error) {
	for {
		chunk, err := s.stream.Next()
		if err != nil {
			return nil, err
		}
		if chunk.Offset < s.nextOffset {
			continue
		}
		if chunk.Offset > s.nextOffset {
			return nil, errors.Wrapf(engine.ErrTruncated, "received chunk %d, expected %d", chunk.Offset, s.nextOffset)
		}
		s.nextOffset++
		s.hasFinishReason = s.hasFinishReason || chunk.HasFinishReason
		s.outputTokens += chunk.Tokens
		s.inputTokens = max(s.inputTokens, chunk.InputTokens)
		if chunk.Tokens > 0 {
			s.ticket.RecordTokens(chunk.Tokens)
		}
		return chunk.Data, nil
	}
}

// resume continues a broken stream at the same endpoint with the same request id. Another endpoint would generate
// different text. If the stream cannot be resumed, resume returns the cause.
func (s *ModelStream) resume(cause error) error {
	d := s.dispatcher
	s.stream.Close()
	for err := cause; s.mayResume(err); {
		s.resumeCount++
		var stream engine.Stream
		stream, err = d.inference.Open(s.ctx, s.ticket.Target(), s.call.engineCall(s.ticket), s.nextOffset)
		if err == nil {
			s.stream = stream
			d.resumedStreams.Inc(1)
			return nil
		}
		if d.options.Sleep(s.ctx, d.options.Backoff.Delay(s.resumeCount)) != nil {
			return cause
		}
	}
	return cause
}

// mayResume reports whether the stream may be resumed after the error. Only connection failures after the first chunk
// are resumed, within maxResumesPerStream and the retry budget.
func (s *ModelStream) mayResume(err error) bool {
	resumable := errors.Is(err, engine.ErrConnectionLost) || errors.Is(err, engine.ErrTruncated) ||
		errors.Is(err, engine.ErrNotSent)
	if !resumable || s.nextOffset == 0 || s.resumeCount >= maxResumesPerStream || s.ctx.Err() != nil {
		return false
	}
	d := s.dispatcher
	return d.options.Budget.Take(s.call.Request.Member, s.ticket.Target().Name, d.options.Now())
}

// result returns the usage of the stream so far. If the engine has not yet reported the input tokens, the estimate of
// the request is used, so that a caller that disconnects early is still charged for its prompt.
func (s *ModelStream) result() admission.Result {
	promptTokens := s.inputTokens
	if promptTokens == 0 && s.nextOffset > 0 {
		promptTokens = s.call.Request.InputTokens
	}
	return admission.Result{
		InputTokens:  promptTokens,
		OutputTokens: s.outputTokens,
		Duration:     s.dispatcher.options.Now().Sub(s.startedAt),
	}
}

// endOfStream handles the end of the engine's stream. It returns io.EOF if the response is complete. A stream without a
// finish reason fails and is not resumed, since the engine has no more chunks to send.
func (s *ModelStream) endOfStream() error {
	if !s.hasFinishReason {
		s.stream.Close()
		return s.fail(errors.Wrap(engine.ErrTruncated, "stream ended without a finish reason"))
	}
	s.releaseSucceeded()
	return io.EOF
}

func (s *ModelStream) releaseSucceeded() {
	s.released = true
	s.dispatcher.recordSuccess(s.call.Request.Member, s.ticket, s.result())
}

// fail ends the stream with a problem. The caller has already received part of the response, so the outcome is never
// not_run.
func (s *ModelStream) fail(err error) *problem.Problem {
	d := s.dispatcher
	f := classify(err)
	if s.ctx.Err() != nil {
		f = classify(s.ctx.Err())
	}
	d.brokenStreams.Inc(1)
	d.cancelAbandoned(s.ticket.Target(), s.call, err)
	d.options.Log.Warn("stream broken",
		zap.String("requestId", s.call.Request.ID),
		zap.String("endpoint", s.ticket.Target().Name),
		zap.Int("chunks", s.nextOffset),
		zap.Error(err))
	s.release(f.status)
	if f.problem.Outcome == problem.NotRun {
		return withMergedOutcome(f.problem, problem.Unknown)
	}
	return f.problem
}

func (s *ModelStream) release(status admission.Status) {
	s.released = true
	result := s.result()
	result.Status = status
	s.ticket.Release(result)
}

// Close closes the stream. If the stream has not ended, Close cancels the request at the engine and releases the ticket
// as cancelled.
func (s *ModelStream) Close() {
	s.stream.Close()
	if !s.released {
		s.release(admission.Cancelled)
	}
}
