package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/admission"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
	"github.com/mulberryglade/mulberryglade/pkg/retry"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// defaultMaxAttempts is the largest number of attempts for one call, including the first.
const defaultMaxAttempts = 3

// Options are the parameters of NewModelDispatcher and NewServiceDispatcher.
type Options struct {
	Gate    admission.Gate
	Budget  *retry.Budget
	Backoff retry.Backoff
	Log     *zap.Logger
	Scope   tally.Scope
	// MaxAttempts is the largest number of attempts for one call, including the first. Zero means 3.
	MaxAttempts int
	// Now returns the current time; nil means time.Now. Tests replace it.
	Now func() time.Time
	// Sleep waits before a retry; nil means timing.Sleep. Tests replace it.
	Sleep func(ctx context.Context, delay time.Duration) error
}

// retrier is the retry logic that both dispatchers embed.
type retrier struct {
	options        Options
	retries        tally.Counter
	failedAttempts tally.Counter
}

func newRetrier(options Options, kind string) retrier {
	if options.MaxAttempts <= 0 {
		options.MaxAttempts = defaultMaxAttempts
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Sleep == nil {
		options.Sleep = timing.Sleep
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	scope := options.Scope.SubScope("dispatch").Tagged(map[string]string{"kind": kind})
	return retrier{options: options, retries: scope.Counter("retries"), failedAttempts: scope.Counter("failed_attempts")}
}

// attemptFunc sends a call once to the ticket's endpoint. If it returns a nil error, it owns the ticket and must
// release it. If it returns an error, retrier.run releases the ticket with the returned result.
type attemptFunc func(ticket admission.Ticket) (admission.Result, error)

// run makes attempts at different endpoints until one succeeds or no further attempt is allowed. retryable reports
// whether the call may be retried after the failure of an attempt. The outcome of a returned problem covers all
// attempts.
func (r *retrier) run(ctx context.Context, request scheduling.Request, retryable func(failure) bool, send attemptFunc) *problem.Problem {
	outcome := problem.NotRun
	for attempt := 0; ; attempt++ {
		ticket, err := r.options.Gate.Acquire(ctx, request)
		if err != nil {
			return withMergedOutcome(gateProblem(err), outcome)
		}
		endpoint := ticket.Target().Name
		result, err := send(ticket)
		if err == nil {
			return nil
		}
		f := classify(err)
		if ctx.Err() != nil {
			f.status = admission.Cancelled
		}
		result.Status = f.status
		ticket.Release(result)
		r.failedAttempts.Inc(1)
		outcome = mergeOutcomes(outcome, f.problem.Outcome)
		retrying := retryable(f) && r.waitForRetry(ctx, request, endpoint, attempt)
		r.options.Log.Warn("attempt failed",
			zap.String("requestId", request.ID),
			zap.String("endpoint", endpoint),
			zap.Error(err),
			zap.String("outcome", string(f.problem.Outcome)),
			zap.Bool("retrying", retrying))
		if !retrying {
			return withMergedOutcome(f.problem, outcome)
		}
		r.retries.Inc(1)
		request.Exclude = append(slices.Clip(request.Exclude), endpoint)
	}
}

// waitForRetry waits for the backoff delay and reports whether the call may be retried. It returns false without
// waiting when the attempts, the time until the deadline or the retry budget do not allow another attempt.
func (r *retrier) waitForRetry(ctx context.Context, request scheduling.Request, endpoint string, attempt int) bool {
	if attempt+1 >= r.options.MaxAttempts || ctx.Err() != nil {
		return false
	}
	delay := r.options.Backoff.Delay(attempt)
	now := r.options.Now()
	if !request.Deadline.IsZero() && !now.Add(delay).Before(request.Deadline) {
		return false
	}
	if !r.options.Budget.Take(request.Member, endpoint, now) {
		return false
	}
	return r.options.Sleep(ctx, delay) == nil
}

// recordSuccess releases the ticket after a complete response and credits the retry budget.
func (r *retrier) recordSuccess(member string, ticket admission.Ticket, result admission.Result) {
	result.Status = admission.Succeeded
	ticket.Release(result)
	r.options.Budget.Succeeded(member, ticket.Target().Name, r.options.Now())
}
