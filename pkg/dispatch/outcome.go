// Package dispatch runs one model call or service call: it acquires capacity, sends, verifies the response, retries
// elsewhere where that is safe, and states the outcome of a failure. Each call is straight-line code in its caller's
// goroutine.
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

// retryAfter is the advice with failures that another attempt may avoid.
const retryAfter = time.Second

// statusClientClosed is the usual status for a caller that left; nobody receives it.
const statusClientClosed = 499

// failure is a classified error of one attempt.
type failure struct {
	problem *problem.Problem
	status  admission.Status
	// elsewhere is true when another endpoint may do better.
	elsewhere bool
}

// classify states what an error of an endpoint means. not_run is used only for engine.ErrNotSent and for an endpoint's
// own statement.
func classify(err error) failure {
	var status *engine.StatusError
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return failure{
			problem: problem.New(problem.TypeNoEndpoint, http.StatusServiceUnavailable, problem.NotRun,
				"The endpoint could not be reached.").WithRetryAfter(retryAfter),
			status:    admission.EndpointError,
			elsewhere: true,
		}
	case errors.As(err, &status):
		return classifyStatus(status)
	case errors.Is(err, context.Canceled):
		return failure{
			problem: problem.New(problem.TypeRequestTimeout, statusClientClosed, problem.Unknown, "The caller left."),
			status:  admission.Cancelled,
		}
	case errors.Is(err, context.DeadlineExceeded):
		return failure{
			problem: problem.New(problem.TypeDeadlineExceeded, http.StatusGatewayTimeout, problem.Unknown,
				"The deadline passed while the endpoint was working on the request."),
			status: admission.Cancelled,
		}
	case errors.Is(err, engine.ErrTruncated):
		return lost(problem.TypeTruncated, "The endpoint's response was incomplete.")
	case errors.Is(err, engine.ErrRequestIDMismatch):
		return lost(problem.TypeEndpointFailed, "The endpoint answered with another request's response, which was dropped.")
	default:
		return lost(problem.TypeEndpointLost, "The connection to the endpoint broke after the request was sent.")
	}
}

func lost(kind problem.Type, detail string) failure {
	return failure{
		problem:   problem.New(kind, http.StatusBadGateway, problem.Unknown, detail),
		status:    admission.EndpointError,
		elsewhere: true,
	}
}

// classifyStatus classifies a complete failure response. Statuses that intermediaries also send leave the outcome
// unknown.
func classifyStatus(err *engine.StatusError) failure {
	if err.NotRun {
		p := problem.New(problem.TypeOverloaded, http.StatusServiceUnavailable, problem.NotRun,
			"The endpoint refused the request without running it.")
		return failure{
			problem:   p.WithRetryAfter(max(err.RetryAfter, retryAfter)),
			status:    admission.EndpointBusy,
			elsewhere: true,
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
		f := lost(problem.TypeOverloaded, "The endpoint is overloaded and did not state whether the request ran.")
		f.status = admission.EndpointBusy
		return f
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusRequestTimeout:
		return lost(problem.TypeEndpointFailed, "The endpoint failed and did not state whether the request ran.")
	default:
		f := lost(problem.TypeEndpointFailed, "The endpoint ran the request and failed.")
		f.problem.Outcome = problem.Failed
		return f
	}
}

// worse combines the outcomes of several attempts: a caller told not_run relies on none of them having run.
func worse(a, b problem.Outcome) problem.Outcome {
	for _, outcome := range []problem.Outcome{problem.Unknown, problem.Failed} {
		if a == outcome || b == outcome {
			return outcome
		}
	}
	return problem.NotRun
}

// withOutcome returns the problem with the combined outcome of all attempts.
func withOutcome(p *problem.Problem, earlier problem.Outcome) *problem.Problem {
	combined := *p
	combined.Outcome = worse(p.Outcome, earlier)
	return &combined
}

// gateProblem turns an error of admission.Gate into a problem.
func gateProblem(err error) *problem.Problem {
	var p *problem.Problem
	switch {
	case errors.As(err, &p):
		return p
	case errors.Is(err, context.Canceled):
		return problem.New(problem.TypeRequestTimeout, statusClientClosed, problem.NotRun, "The caller left.")
	case errors.Is(err, context.DeadlineExceeded):
		return problem.New(problem.TypeDeadlineExceeded, http.StatusGatewayTimeout, problem.NotRun,
			"The deadline passed while the request waited for capacity.").WithRetryAfter(retryAfter)
	default:
		return problem.New(problem.TypeInternal, http.StatusInternalServerError, problem.NotRun,
			"The request could not be admitted.")
	}
}
