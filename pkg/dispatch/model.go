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

// maxResumes bounds the resumptions of one stream.
const maxResumes = 5

// ModelCall is one call of a model or an adapter.
type ModelCall struct {
	// Request describes the call to admission; its ID is also the id that the engine echoes.
	Request scheduling.Request
	// Path is the OpenAI-compatible path.
	Path string
	// Body must not be changed until the call has ended.
	Body []byte
}

// ModelDispatcher runs model calls. It is safe for concurrent use.
type ModelDispatcher struct {
	attempts
	inference engine.Inference
	resumed   tally.Counter
	broken    tally.Counter
}

// NewModelDispatcher returns a dispatcher. An inference that also implements engine.Canceller is asked to cancel calls
// that were given up.
func NewModelDispatcher(inference engine.Inference, options Options) *ModelDispatcher {
	d := &ModelDispatcher{attempts: newAttempts(options, "model"), inference: inference}
	scope := d.options.Scope.SubScope("dispatch")
	d.resumed = scope.Counter("resumed_streams")
	d.broken = scope.Counter("broken_streams")
	return d
}

// engineCall returns the call with the priority that admission gave it.
func (c ModelCall) engineCall(ticket admission.Ticket) engine.Call {
	return engine.Call{
		RequestID: c.Request.ID,
		Path:      c.Path,
		Body:      c.Body,
		Priority:  ticket.Decision().Priority,
		Deadline:  c.Request.Deadline,
	}
}

// modelMayRetry allows a retry at another endpoint whenever that may help: a model call has no effect but its response.
func modelMayRetry(f failure) bool {
	return f.elsewhere
}

// Complete runs a call without streaming. A nil problem means a complete, verified response.
func (d *ModelDispatcher) Complete(ctx context.Context, call ModelCall) (engine.Response, *problem.Problem) {
	var response engine.Response
	failed := d.run(ctx, call.Request, modelMayRetry, func(ticket admission.Ticket) (admission.Result, error) {
		began := d.options.Now()
		got, err := d.inference.Complete(ctx, ticket.Target(), call.engineCall(ticket))
		result := admission.Result{
			InputTokens:  got.InputTokens,
			OutputTokens: got.OutputTokens,
			Duration:     d.options.Now().Sub(began),
		}
		if err != nil {
			d.abandon(ticket.Target(), call, err)
			return result, err
		}
		if result.InputTokens == 0 {
			result.InputTokens = call.Request.InputTokens
		}
		response = got
		d.succeeded(call.Request.Member, ticket, result)
		return result, nil
	})
	return response, failed
}

// abandon cancels a request that may still run at an endpoint and whose response nobody waits for any more.
func (d *ModelDispatcher) abandon(target engine.Target, call ModelCall, err error) {
	canceller, ok := d.inference.(engine.Canceller)
	mayRun := errors.Is(err, engine.ErrConnectionLost) || errors.Is(err, engine.ErrTruncated) ||
		errors.Is(err, engine.ErrRequestIDMismatch)
	if ok && mayRun {
		canceller.Cancel(target, call.Request.ID)
	}
}

// Open starts a streamed call and waits for its first chunk, so that a failure before it can be retried elsewhere and
// answered with a status. Close must follow a nil problem.
func (d *ModelDispatcher) Open(ctx context.Context, call ModelCall) (*ModelStream, *problem.Problem) {
	var opened *ModelStream
	failed := d.run(ctx, call.Request, modelMayRetry, func(ticket admission.Ticket) (admission.Result, error) {
		began := d.options.Now()
		stream, err := d.inference.Open(ctx, ticket.Target(), call.engineCall(ticket), 0)
		if err != nil {
			d.abandon(ticket.Target(), call, err)
			return admission.Result{Duration: d.options.Now().Sub(began)}, err
		}
		s := &ModelStream{dispatcher: d, ctx: ctx, call: call, ticket: ticket, stream: stream, began: began}
		s.first, s.firstErr = s.take()
		if s.firstErr != nil && !errors.Is(s.firstErr, io.EOF) {
			stream.Close()
			d.abandon(ticket.Target(), call, s.firstErr)
			return s.result(), s.firstErr
		}
		opened = s
		return admission.Result{}, nil
	})
	return opened, failed
}

// ModelStream is the response of a streamed call. It is not safe for concurrent use.
type ModelStream struct {
	dispatcher *ModelDispatcher
	ctx        context.Context
	call       ModelCall
	ticket     admission.Ticket
	stream     engine.Stream
	began      time.Time
	first      []byte
	firstErr   error
	// next is the offset of the next chunk that the caller has not been given.
	next int
	// tokens counts the output; inputTokens is the engine's count.
	tokens      int
	inputTokens int
	finished    bool
	resumes     int
	released    bool
}

// Next returns the data of the next chunk. io.EOF follows the engine's regular end of stream and nothing else; any other
// error is a *problem.Problem, after which the stream has ended.
func (s *ModelStream) Next() ([]byte, error) {
	if s.first != nil || s.firstErr != nil {
		data, err := s.first, s.firstErr
		s.first, s.firstErr = nil, nil
		if err != nil {
			return nil, s.end()
		}
		return data, nil
	}
	if s.released {
		return nil, lost(problem.TypeEndpointLost, "The stream has ended.").problem
	}
	for {
		data, err := s.take()
		if err == nil {
			return data, nil
		}
		if errors.Is(err, io.EOF) {
			return nil, s.end()
		}
		if err = s.resume(err); err != nil {
			return nil, s.fail(err)
		}
	}
}

// take reads the next chunk from the endpoint. Chunks that the caller has are dropped; a missing one is an error.
func (s *ModelStream) take() ([]byte, error) {
	for {
		chunk, err := s.stream.Next()
		if err != nil {
			return nil, err
		}
		if chunk.Offset < s.next {
			continue
		}
		if chunk.Offset > s.next {
			return nil, errors.Wrapf(engine.ErrTruncated, "chunk %d instead of %d", chunk.Offset, s.next)
		}
		s.next++
		s.finished = s.finished || chunk.Finish
		s.tokens += chunk.Tokens
		s.inputTokens = max(s.inputTokens, chunk.InputTokens)
		if chunk.Tokens > 0 {
			s.ticket.Tokens(chunk.Tokens)
		}
		return chunk.Data, nil
	}
}

// resume continues a broken stream at the same endpoint under the same request id; another endpoint would produce
// another text. It returns the cause when that is not possible.
func (s *ModelStream) resume(cause error) error {
	d := s.dispatcher
	s.stream.Close()
	for err := cause; s.mayResume(err); {
		s.resumes++
		var stream engine.Stream
		stream, err = d.inference.Open(s.ctx, s.ticket.Target(), s.call.engineCall(s.ticket), s.next)
		if err == nil {
			s.stream = stream
			d.resumed.Inc(1)
			return nil
		}
		if d.options.Sleep(s.ctx, d.options.Backoff.Delay(s.resumes)) != nil {
			return cause
		}
	}
	return cause
}

// mayResume allows another attempt after failures of the connection, within the retry budget.
func (s *ModelStream) mayResume(err error) bool {
	connection := errors.Is(err, engine.ErrConnectionLost) || errors.Is(err, engine.ErrTruncated) ||
		errors.Is(err, engine.ErrNotSent)
	if !connection || s.next == 0 || s.resumes >= maxResumes || s.ctx.Err() != nil {
		return false
	}
	d := s.dispatcher
	return d.options.Budget.Take(s.call.Request.Member, s.ticket.Target().Name, d.options.Now())
}

// result reports the estimate of the input tokens when the stream ended before the engine's count, so that a caller who
// leaves early is still charged for its prompt.
func (s *ModelStream) result() admission.Result {
	input := s.inputTokens
	if input == 0 && s.next > 0 {
		input = s.call.Request.InputTokens
	}
	return admission.Result{
		InputTokens:  input,
		OutputTokens: s.tokens,
		Duration:     s.dispatcher.options.Now().Sub(s.began),
	}
}

// end returns io.EOF when the response is complete. An end without a finish reason is not repaired by resuming: the
// engine has nothing more to send.
func (s *ModelStream) end() error {
	if !s.finished {
		s.stream.Close()
		return s.fail(errors.Wrap(engine.ErrTruncated, "no finish reason"))
	}
	s.finish()
	return io.EOF
}

func (s *ModelStream) finish() {
	s.released = true
	s.dispatcher.succeeded(s.call.Request.Member, s.ticket, s.result())
}

// fail ends the stream. The caller has received a part of the response, so not_run is never right here.
func (s *ModelStream) fail(err error) *problem.Problem {
	d := s.dispatcher
	failed := classify(err)
	if s.ctx.Err() != nil {
		failed = classify(s.ctx.Err())
	}
	d.broken.Inc(1)
	d.abandon(s.ticket.Target(), s.call, err)
	d.options.Log.Warn("stream broken",
		zap.String("requestId", s.call.Request.ID),
		zap.String("endpoint", s.ticket.Target().Name),
		zap.Int("chunks", s.next),
		zap.Error(err))
	s.release(failed.status)
	if failed.problem.Outcome == problem.NotRun {
		return withOutcome(failed.problem, problem.Unknown)
	}
	return failed.problem
}

func (s *ModelStream) release(status admission.Status) {
	s.released = true
	result := s.result()
	result.Status = status
	s.ticket.Release(result)
}

// Close ends the stream; before its end it cancels the request at the engine, as when the caller has left.
func (s *ModelStream) Close() {
	s.stream.Close()
	if !s.released {
		s.release(admission.Cancelled)
	}
}
