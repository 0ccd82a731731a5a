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
	// claimUpdateTimeout bounds the recording of a response or the release of a claim. Both continue after the caller
	// has disconnected.
	claimUpdateTimeout = 5 * time.Second
)

// ServiceCall is one call of a service.
type ServiceCall struct {
	// Request describes the call to admission.
	Request scheduling.Request
	Service *config.Service
	Method  string
	// Path begins with a slash and is sent unchanged. Query has no leading question mark.
	Path  string
	Query string
	// Headers are forwarded to the service.
	Headers        map[string]string
	Body           []byte
	IdempotencyKey string
}

// ServiceResponse is the complete response of a service.
type ServiceResponse struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed reports whether the response was recorded by an earlier call with the same idempotency key.
	Replayed bool
}

// ServiceDispatcher runs service calls. It is safe for concurrent use.
type ServiceDispatcher struct {
	retrier
	pool    *httpconn.Pool
	claimer claims.Claimer
}

// NewServiceDispatcher returns a dispatcher that sends calls over connections of the pool and claims idempotency keys
// with the claimer.
func NewServiceDispatcher(pool *httpconn.Pool, claimer claims.Claimer, options Options) *ServiceDispatcher {
	return &ServiceDispatcher{retrier: newRetrier(options, "service"), pool: pool, claimer: claimer}
}

// Call runs the call according to the first matching route of the service. A call that matches no route is not
// repeatable.
func (d *ServiceDispatcher) Call(ctx context.Context, call ServiceCall) (ServiceResponse, *problem.Problem) {
	if !isUnambiguousPath(call.Path) {
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
		return d.send(ctx, call, d.pool.Do, func(f failure) bool { return f.retryElsewhere })
	case call.IdempotencyKey == "":
		return d.sendOnce(ctx, call)
	default:
		return d.callWithClaim(ctx, call)
	}
}

// MatchRoute returns the first matching route and reports whether there is one. Otherwise it returns the zero Route,
// which is not repeatable.
func MatchRoute(routes []config.Route, method, path string) (config.Route, bool) {
	for _, route := range routes {
		if (route.Method == "*" || route.Method == method) && hasPathPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return config.Route{}, false
}

// hasPathPrefix reports whether the path begins with all segments of the prefix.
func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// isUnambiguousPath reports whether the path cannot be normalised to a different one. A service may normalise an
// ambiguous path to one that matches another route, and the call would be repeated although the route that the service
// applies is not repeatable.
func isUnambiguousPath(path string) bool {
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

// exchangeFunc sends a request and receives a response of at most maxBytes.
type exchangeFunc func(ctx context.Context, baseURL string, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response, maxBytes int) error

// sendOnce sends a call that must not be repeated. It tries another endpoint only if no byte has been sent.
func (d *ServiceDispatcher) sendOnce(ctx context.Context, call ServiceCall) (ServiceResponse, *problem.Problem) {
	sent := false
	return d.send(ctx, call, d.trackSent(&sent), func(failure) bool { return !sent })
}

// trackSent returns an exchange over a new connection that records in sent whether a byte may have been sent.
func (d *ServiceDispatcher) trackSent(sent *bool) exchangeFunc {
	return func(ctx context.Context, baseURL string, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response, maxBytes int) error {
		err := d.pool.DoOnNewConn(ctx, baseURL, deadline, req, resp, maxBytes)
		*sent = !errors.Is(err, engine.ErrNotSent)
		return err
	}
}

// callWithClaim runs a call at most once. It claims the idempotency key, sends the call once and records the response.
// The claim is released only if the call certainly did not run. If the outcome is unknown, the claim is kept, so that
// the call never runs again.
func (d *ServiceDispatcher) callWithClaim(ctx context.Context, call ServiceCall) (ServiceResponse, *problem.Problem) {
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
	response, prob := d.sendOnce(ctx, call)
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimUpdateTimeout)
	defer cancel()
	switch {
	case prob == nil:
		d.record(recordCtx, call, grant, claims.Response{
			Status:      response.Status,
			ContentType: response.ContentType,
			Body:        response.Body,
		})
	case prob.Outcome == problem.Failed:
		d.record(recordCtx, call, grant, claims.Response{Status: prob.Status})
	case prob.Outcome == problem.NotRun:
		if err := grant.Release(recordCtx); err != nil {
			d.logClaimError("idempotency key claim could not be released", call, err)
		}
	}
	return response, prob
}

func (d *ServiceDispatcher) record(ctx context.Context, call ServiceCall, grant claims.Grant, response claims.Response) {
	if err := grant.Complete(ctx, response); err != nil {
		d.logClaimError("response could not be recorded for replay", call, err)
	}
}

func (d *ServiceDispatcher) logClaimError(message string, call ServiceCall, err error) {
	d.options.Log.Warn(message,
		zap.String("requestId", call.Request.ID),
		zap.String("member", call.Request.Member),
		zap.Error(err))
}

// replay returns the recorded response of an earlier call. A recorded 5xx status means that the earlier call ran and
// failed.
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

// requestHash returns a hash that distinguishes a repeated call from a reuse of its key for another call. The zero byte
// that separates the fields cannot occur in the method or the path.
func requestHash(call ServiceCall) [32]byte {
	h := sha256.New()
	for _, field := range []string{call.Method, call.Path, call.Query} {
		h.Write([]byte(field))
		h.Write([]byte{0})
	}
	h.Write(call.Body)
	return [32]byte(h.Sum(nil))
}

// claimProblem converts an error of claims.Claimer to a problem. The outcome is never not_run if an earlier call with
// the key may have run the same request.
func claimProblem(err error) *problem.Problem {
	switch {
	case errors.Is(err, claims.ErrKeyReused):
		return problem.New(problem.TypeKeyReused, http.StatusUnprocessableEntity, problem.NotRun,
			"The idempotency key was used before with another request.")
	case errors.Is(err, claims.ErrInProgress):
		return problem.New(problem.TypeKeyInProgress, http.StatusConflict, problem.Unknown,
			"A call with this idempotency key is in progress.").WithRetryAfter(defaultRetryAfter)
	case errors.Is(err, claims.ErrExpired):
		return problem.New(problem.TypeKeyExpired, http.StatusConflict, problem.Unknown,
			"The idempotency key is older than the time for which responses are kept.")
	case errors.Is(err, claims.ErrUnavailable):
		// This call was not sent, but an earlier call with the key may have run, which cannot be checked now.
		return problem.New(problem.TypeStoreUnavailable, http.StatusServiceUnavailable, problem.Unknown,
			"The idempotency key cannot be looked up now, so this call was not sent; an earlier call with the key may have run. "+
				"Repeat the call with the same key.").WithRetryAfter(defaultRetryAfter)
	default:
		return problem.New(problem.TypeKeyOutcomeUnknown, http.StatusConflict, problem.Unknown,
			"A call with this idempotency key was or may have been sent, and its response is not known.")
	}
}

// send runs attempts with the exchange. If the problem is nil, the response is complete and has a status below 500.
func (d *ServiceDispatcher) send(ctx context.Context, call ServiceCall, exchange exchangeFunc, retryable func(failure) bool) (ServiceResponse, *problem.Problem) {
	var response ServiceResponse
	prob := d.run(ctx, call.Request, retryable, func(ticket admission.Ticket) (admission.Result, error) {
		startedAt := d.options.Now()
		received, err := exchangeOnce(ctx, call, ticket.Target(), exchange)
		result := admission.Result{Duration: d.options.Now().Sub(startedAt)}
		if err != nil {
			return result, err
		}
		response = received
		d.recordSuccess(call.Request.Member, ticket, result)
		return result, nil
	})
	return response, prob
}

func exchangeOnce(ctx context.Context, call ServiceCall, target engine.Target, exchange exchangeFunc) (ServiceResponse, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fillServiceRequest(req, call, target)
	if err := exchange(ctx, target.URL, call.Request.Deadline, req, resp, maxServiceResponseBytes); err != nil {
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
	// The service must receive the same path that was matched against the routes.
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

// checkServiceResponse returns an error for rejections and 5xx statuses. A service need not echo the request id, but a
// different id means that the response belongs to another request.
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
