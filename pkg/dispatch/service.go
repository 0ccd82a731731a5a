package dispatch

import (
	"context"
	"crypto/sha256"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/admission"
	"github.com/mulberryglade/mulberryglade/pkg/claims"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

const (
	maxServiceResponseBytes = 16 << 20
	// recordTimeout bounds recording a response or releasing a claim, which continues when the caller has left.
	recordTimeout = 5 * time.Second
)

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	// Request describes the call to admission.
	Request scheduling.Request
	Service *config.Service
	Method  string
	// Path begins with a slash and is sent as it is; Query excludes the question mark.
	Path  string
	Query string
	// Headers are forwarded.
	Headers        map[string]string
	Body           []byte
	IdempotencyKey string
}

// ServiceResponse is a complete response.
type ServiceResponse struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed is true when the response was recorded by an earlier call with the same key.
	Replayed bool
}

// ServiceDispatcher runs service calls. It is safe for concurrent use.
type ServiceDispatcher struct {
	attempts
	pool    *httpconn.Pool
	claimer claims.Claimer
}

// NewServiceDispatcher returns a dispatcher that sends on connections of the pool.
func NewServiceDispatcher(pool *httpconn.Pool, claimer claims.Claimer, options Options) *ServiceDispatcher {
	return &ServiceDispatcher{attempts: newAttempts(options, "service"), pool: pool, claimer: claimer}
}

// Call runs the call under the first matching route rule of the service. A call without a match must not be repeated.
func (d *ServiceDispatcher) Call(ctx context.Context, call ServiceCall) (ServiceResponse, *problem.Problem) {
	if !plainPath(call.Path) {
		return ServiceResponse{}, problem.New(problem.TypeInvalidRequest, http.StatusBadRequest, problem.NotRun,
			"The path must not contain empty, dot or encoded-slash segments.")
	}
	route, _ := MatchRoute(call.Service.Routes, call.Method, call.Path)
	if route.RequireIdempotencyKey && call.IdempotencyKey == "" {
		return ServiceResponse{}, problem.New(problem.TypeKeyRequired, http.StatusBadRequest, problem.NotRun,
			"This call needs the header Idempotency-Key.")
	}
	switch {
	case route.Repeatable:
		return d.send(ctx, call, d.pool.Do, func(f failure) bool { return f.elsewhere })
	case call.IdempotencyKey == "":
		return d.sendOnce(ctx, call)
	default:
		return d.callClaimed(ctx, call)
	}
}

// MatchRoute returns the first rule that matches. Without one it returns the zero Route, which is not repeatable.
func MatchRoute(routes []config.Route, method, path string) (config.Route, bool) {
	for _, route := range routes {
		if (route.Method == "*" || route.Method == method) && hasSegments(path, route.PathPrefix) {
			return route, true
		}
	}
	return config.Route{}, false
}

// hasSegments tells whether the path begins with the whole segments of the prefix.
func hasSegments(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// plainPath rules out paths that a service may normalise to one that matches another route rule. Such a path could make
// a call repeatable that must not be repeated.
func plainPath(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	segments := strings.Split(path[1:], "/")
	for i, segment := range segments {
		decoded, err := url.PathUnescape(segment)
		last := i == len(segments)-1
		if err != nil || decoded == "." || decoded == ".." || (decoded == "" && !last) {
			return false
		}
		if strings.ContainsAny(decoded, "/\\;\x00") {
			return false
		}
	}
	return true
}

type exchange func(ctx context.Context, baseURL string, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response, maxBytes int) error

// sendOnce sends a call that must not be repeated. Another endpoint is tried only while no byte has been sent.
func (d *ServiceDispatcher) sendOnce(ctx context.Context, call ServiceCall) (ServiceResponse, *problem.Problem) {
	sent := false
	return d.send(ctx, call, d.countSent(&sent), func(failure) bool { return !sent })
}

// countSent wraps an exchange on a fresh connection and notes whether a byte may have left.
func (d *ServiceDispatcher) countSent(sent *bool) exchange {
	return func(ctx context.Context, baseURL string, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response, maxBytes int) error {
		err := d.pool.DoFresh(ctx, baseURL, deadline, req, resp, maxBytes)
		*sent = !errors.Is(err, engine.ErrNotSent)
		return err
	}
}

// callClaimed runs a call at most once: claim, acquire, send once, record. The claim is released only when it is certain
// that the call did not run; an unknown outcome leaves it standing, so that the call never runs again.
func (d *ServiceDispatcher) callClaimed(ctx context.Context, call ServiceCall) (ServiceResponse, *problem.Problem) {
	grant, recorded, err := d.claimer.Claim(ctx, claims.Request{
		Member: call.Request.Member,
		Key:    call.IdempotencyKey,
		Hash:   requestHash(call),
	})
	if err != nil {
		return ServiceResponse{}, claimProblem(err)
	}
	if recorded != nil {
		return replay(*recorded)
	}
	response, failed := d.sendOnce(ctx, call)
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	switch {
	case failed == nil:
		d.record(recordCtx, call, grant, claims.Response{
			Status:      response.Status,
			ContentType: response.ContentType,
			Body:        response.Body,
		})
	case failed.Outcome == problem.Failed:
		d.record(recordCtx, call, grant, claims.Response{Status: failed.Status})
	case failed.Outcome == problem.NotRun:
		if err := grant.Release(recordCtx); err != nil {
			d.logClaim("claim was not released", call, err)
		}
	}
	return response, failed
}

func (d *ServiceDispatcher) record(ctx context.Context, call ServiceCall, grant claims.Grant, response claims.Response) {
	if err := grant.Complete(ctx, response); err != nil {
		d.logClaim("response was not recorded", call, err)
	}
}

func (d *ServiceDispatcher) logClaim(message string, call ServiceCall, err error) {
	d.options.Log.Warn(message,
		zap.String("requestId", call.Request.ID),
		zap.String("member", call.Request.Member),
		zap.Error(err))
}

// replay answers with the recorded response of an earlier call. A recorded 5xx status stands for a failed run.
func replay(recorded claims.Response) (ServiceResponse, *problem.Problem) {
	if recorded.Status >= http.StatusInternalServerError {
		return ServiceResponse{}, problem.New(problem.TypeEndpointFailed, http.StatusBadGateway, problem.Failed,
			"An earlier call with this idempotency key ran and failed.")
	}
	return ServiceResponse{
		Status:      recorded.Status,
		ContentType: recorded.ContentType,
		Body:        recorded.Body,
		Replayed:    true,
	}, nil
}

// requestHash tells a repetition of a call from a reuse of its key. The separators cannot occur in method and path.
func requestHash(call ServiceCall) [32]byte {
	h := sha256.New()
	for _, part := range []string{call.Method, call.Path, call.Query} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(call.Body)
	return [32]byte(h.Sum(nil))
}

// claimProblem never says not_run where an earlier call with the key may have run the same request.
func claimProblem(err error) *problem.Problem {
	switch {
	case errors.Is(err, claims.ErrKeyReused):
		return problem.New(problem.TypeKeyReused, http.StatusUnprocessableEntity, problem.NotRun,
			"The idempotency key was used before with another request.")
	case errors.Is(err, claims.ErrInProgress):
		return problem.New(problem.TypeKeyInProgress, http.StatusConflict, problem.Unknown,
			"A call with this idempotency key is in progress.").WithRetryAfter(retryAfter)
	case errors.Is(err, claims.ErrExpired):
		return problem.New(problem.TypeKeyExpired, http.StatusConflict, problem.Unknown,
			"The idempotency key is older than the time for which responses are kept.")
	case errors.Is(err, claims.ErrUnavailable):
		// This call was not sent, but an earlier one with the key may have run, and nobody can look that up now.
		return problem.New(problem.TypeStoreUnavailable, http.StatusServiceUnavailable, problem.Unknown,
			"The idempotency key cannot be looked up now, so this call was not sent; an earlier call with the key may have run. "+
				"Repeat the call with the same key.").WithRetryAfter(retryAfter)
	default:
		return problem.New(problem.TypeKeyOutcomeUnknown, http.StatusConflict, problem.Unknown,
			"A call with this idempotency key was or may have been sent, and its response is not known.")
	}
}

// send makes attempts with the exchange. A nil problem means a complete response with a status below 500.
func (d *ServiceDispatcher) send(ctx context.Context, call ServiceCall, do exchange, mayRetry func(failure) bool) (ServiceResponse, *problem.Problem) {
	var response ServiceResponse
	failed := d.run(ctx, call.Request, mayRetry, func(ticket admission.Ticket) (admission.Result, error) {
		began := d.options.Now()
		got, err := exchangeOnce(ctx, call, ticket.Target(), do)
		result := admission.Result{Duration: d.options.Now().Sub(began)}
		if err != nil {
			return result, err
		}
		response = got
		d.succeeded(call.Request.Member, ticket, result)
		return result, nil
	})
	return response, failed
}

func exchangeOnce(ctx context.Context, call ServiceCall, target engine.Target, do exchange) (ServiceResponse, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fillServiceRequest(req, call, target)
	if err := do(ctx, target.URL, call.Request.Deadline, req, resp, maxServiceResponseBytes); err != nil {
		return ServiceResponse{}, err
	}
	if err := checkServiceResponse(resp, call.Request.ID); err != nil {
		return ServiceResponse{}, err
	}
	return ServiceResponse{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	}, nil
}

func fillServiceRequest(req *fasthttp.Request, call ServiceCall, target engine.Target) {
	uri := target.URL + call.Path
	if call.Query != "" {
		uri += "?" + call.Query
	}
	req.SetRequestURI(uri)
	// The path is sent as it was matched against the route rules.
	req.URI().DisablePathNormalizing = true
	req.Header.SetMethod(call.Method)
	req.Header.SetUserAgent("mulberryglade")
	for name, value := range call.Headers {
		req.Header.Set(name, value)
	}
	req.Header.Set("X-Request-Id", call.Request.ID)
	req.Header.Set("X-Member", call.Request.Member)
	remaining := max(time.Until(call.Request.Deadline).Milliseconds(), 1)
	req.Header.Set("X-Request-Timeout-Ms", strconv.FormatInt(remaining, 10))
	if call.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	if len(call.Body) > 0 {
		req.SetBodyRaw(call.Body)
	}
}

// checkServiceResponse turns refusals and 5xx statuses into errors. A plain service need not echo the request id, but
// one that echoes another id has sent another request's response.
func checkServiceResponse(resp *fasthttp.Response, requestID string) error {
	echoed := string(resp.Header.Peek("X-Request-Id"))
	if echoed != "" && echoed != requestID {
		return errors.Wrapf(engine.ErrRequestIDMismatch, "sent %q, received %q", requestID, echoed)
	}
	status := resp.StatusCode()
	notRun := string(resp.Header.Peek("X-Not-Run")) == "true" &&
		(status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable)
	if status < http.StatusInternalServerError && !notRun {
		return nil
	}
	seconds, _ := strconv.Atoi(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	return &engine.StatusError{Status: status, NotRun: notRun, RetryAfter: time.Duration(max(seconds, 0)) * time.Second}
}
