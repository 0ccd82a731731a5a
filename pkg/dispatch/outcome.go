// Package dispatch runs model calls and service calls. For each call it acquires capacity, sends the request, verifies
// the response, retries at another endpoint where that is safe, and reports the outcome of a failure. A call runs in
// the goroutine of its caller.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/admission"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

// defaultRetryAfter is the minimum retry delay returned with failures that a later attempt may avoid.
const defaultRetryAfter = time.Second

// statusClientClosedRequest is the customary status when the caller has disconnected. No caller receives it.
const statusClientClosedRequest = 499

// failure is the classified error of one attempt.
type failure struct {
	problem *problem.Problem
	status  admission.Status
	// retryElsewhere reports whether a retry at another endpoint may succeed.
	retryElsewhere bool
}

// classify returns the failure for an error of an attempt. The outcome is not_run only for engine.ErrNotSent and when
// the endpoint itself reports that the request did not run.
func classify(err error) failure {
	var status *engine.StatusError
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return failure{
			problem: problem.New(problem.TypeNoEndpoint, http.StatusServiceUnavailable, problem.NotRun,
				"The endpoint could not be reached.").WithRetryAfter(defaultRetryAfter),
			status:         admission.EndpointError,
			retryElsewhere: true,
		}
	case errors.As(err, &status):
		return classifyStatus(status)
	case errors.Is(err, context.Canceled):
		return failure{
			problem: problem.New(problem.TypeRequestTimeout, statusClientClosedRequest, problem.Unknown, "The caller left."),
			status:  admission.Cancelled,
		}
	case errors.Is(err, context.DeadlineExceeded):
		return failure{
			problem: problem.New(problem.TypeDeadlineExceeded, http.StatusGatewayTimeout, problem.Unknown,
				"The deadline passed while the endpoint was working on the request."),
			status: admission.Cancelled,
		}
	case errors.Is(err, engine.ErrTruncated):
		return badGatewayFailure(problem.TypeTruncated, "The endpoint's response was incomplete.")
	case errors.Is(err, engine.ErrRequestIDMismatch):
		return badGatewayFailure(problem.TypeEndpointFailed, "The endpoint answered with another request's response, which was dropped.")
	default:
		return badGatewayFailure(problem.TypeEndpointLost, "The connection to the endpoint broke after the request was sent.")
	}
}

// badGatewayFailure returns a failure with status 502 and an unknown outcome.
func badGatewayFailure(kind problem.Type, detail string) failure {
	return failure{
		problem:        problem.New(kind, http.StatusBadGateway, problem.Unknown, detail),
		status:         admission.EndpointError,
		retryElsewhere: true,
	}
}

// classifyStatus returns the failure for a complete error response. The outcome is unknown for statuses that
// intermediaries also send.
func classifyStatus(err *engine.StatusError) failure {
	if err.NotRun {
		p := problem.New(problem.TypeOverloaded, http.StatusServiceUnavailable, problem.NotRun,
			"The endpoint refused the request without running it.")
		return failure{
			problem:        p.WithRetryAfter(max(err.RetryAfter, defaultRetryAfter)),
			status:         admission.EndpointBusy,
			retryElsewhere: true,
		}
	}
	switch err.Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return failure{
			problem: problem.New(problem.TypeInvalidRequest, err.Status, problem.Failed,
				"The endpoint rejected the request as invalid."),
			status: admission.Succeeded,
		}
	case http.StatusTooManyRequests:
		f := badGatewayFailure(problem.TypeOverloaded, "The endpoint is overloaded and did not state whether the request ran.")
		f.status = admission.EndpointBusy
		return f
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusRequestTimeout:
		return badGatewayFailure(problem.TypeEndpointFailed, "The endpoint failed and did not state whether the request ran.")
	default:
		f := badGatewayFailure(problem.TypeEndpointFailed, "The endpoint ran the request and failed.")
		f.problem.Outcome = problem.Failed
		return f
	}
}

// mergeOutcomes combines the outcomes of several attempts. The result is not_run only if no attempt ran, because
// callers rely on that. Unknown takes precedence over failed.
func mergeOutcomes(a, b problem.Outcome) problem.Outcome {
	for _, outcome := range []problem.Outcome{problem.Unknown, problem.Failed} {
		if a == outcome || b == outcome {
			return outcome
		}
	}
	return problem.NotRun
}

// withMergedOutcome returns a copy of the problem whose outcome is combined with that of earlier attempts.
func withMergedOutcome(p *problem.Problem, earlier problem.Outcome) *problem.Problem {
	combined := *p
	combined.Outcome = mergeOutcomes(p.Outcome, earlier)
	return &combined
}

// gateProblem converts an error of admission.Gate to a problem.
func gateProblem(err error) *problem.Problem {
	var p *problem.Problem
	switch {
	case errors.As(err, &p):
		return p
	case errors.Is(err, context.Canceled):
		return problem.New(problem.TypeRequestTimeout, statusClientClosedRequest, problem.NotRun, "The caller left.")
	case errors.Is(err, context.DeadlineExceeded):
		return problem.New(problem.TypeDeadlineExceeded, http.StatusGatewayTimeout, problem.NotRun,
			"The deadline passed while the request waited for capacity.").WithRetryAfter(defaultRetryAfter)
	default:
		return problem.New(problem.TypeInternal, http.StatusInternalServerError, problem.NotRun,
			"The request could not be admitted.")
	}
}
