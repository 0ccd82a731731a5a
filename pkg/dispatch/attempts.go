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

// defaultMaxAttempts bounds the attempts of one call, the first one included.
const defaultMaxAttempts = 3

// Options configures a dispatcher.
type Options struct {
	Gate    admission.Gate
	Budget  *retry.Budget
	Backoff retry.Backoff
	Log     *zap.Logger
	Scope   tally.Scope
	// MaxAttempts bounds the attempts of one call; zero means 3.
	MaxAttempts int
	// Now is replaced by tests.
	Now func() time.Time
	// Sleep waits before a retry; tests replace it.
	Sleep func(ctx context.Context, span time.Duration) error
}

// attempts is what both dispatchers share.
type attempts struct {
	options Options
	retries tally.Counter
	failed  tally.Counter
}

func newAttempts(options Options, name string) attempts {
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
	scope := options.Scope.SubScope("dispatch").Tagged(map[string]string{"kind": name})
	return attempts{options: options, retries: scope.Counter("retries"), failed: scope.Counter("failed_attempts")}
}

// attempt sends a call to the ticket's endpoint once. A nil error means that it keeps the ticket and releases it; after
// an error the ticket is released here with the result.
type attempt func(ticket admission.Ticket) (admission.Result, error)

// run makes attempts at different endpoints until one succeeds or no further one is allowed. mayRetry rules retries out
// by the failure of an attempt.
func (a *attempts) run(ctx context.Context, request scheduling.Request, mayRetry func(failure) bool, send attempt) *problem.Problem {
	earlier := problem.NotRun
	for number := 0; ; number++ {
		ticket, err := a.options.Gate.Acquire(ctx, request)
		if err != nil {
			return withOutcome(gateProblem(err), earlier)
		}
		endpoint := ticket.Target().Name
		result, err := send(ticket)
		if err == nil {
			return nil
		}
		failed := classify(err)
		if ctx.Err() != nil {
			failed.status = admission.Cancelled
		}
		result.Status = failed.status
		ticket.Release(result)
		a.failed.Inc(1)
		earlier = worse(earlier, failed.problem.Outcome)
		retrying := mayRetry(failed) && a.mayTryAgain(ctx, request, endpoint, number)
		a.options.Log.Warn("attempt failed",
			zap.String("requestId", request.ID),
			zap.String("endpoint", endpoint),
			zap.Error(err),
			zap.String("outcome", string(failed.problem.Outcome)),
			zap.Bool("retrying", retrying))
		if !retrying {
			return withOutcome(failed.problem, earlier)
		}
		a.retries.Inc(1)
		request.Exclude = append(slices.Clip(request.Exclude), endpoint)
	}
}

// mayTryAgain checks the number of attempts, the deadline and the budget, and waits.
func (a *attempts) mayTryAgain(ctx context.Context, request scheduling.Request, endpoint string, number int) bool {
	if number+1 >= a.options.MaxAttempts || ctx.Err() != nil {
		return false
	}
	delay := a.options.Backoff.Delay(number)
	now := a.options.Now()
	if !request.Deadline.IsZero() && !now.Add(delay).Before(request.Deadline) {
		return false
	}
	if !a.options.Budget.Take(request.Member, endpoint, now) {
		return false
	}
	return a.options.Sleep(ctx, delay) == nil
}

// succeeded releases the ticket of a complete response and earns retries.
func (a *attempts) succeeded(member string, ticket admission.Ticket, result admission.Result) {
	result.Status = admission.Succeeded
	ticket.Release(result)
	a.options.Budget.Succeeded(member, ticket.Target().Name, a.options.Now())
}
