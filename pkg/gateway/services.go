package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/dispatch"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

const (
	servicePrefix     = "/v1/services/"
	headerIdempotency = "Idempotency-Key"
	headerReplayed    = "Idempotent-Replayed"
	// maxIdempotencyKeyLength bounds the bytes of a caller's idempotency key.
	maxIdempotencyKeyLength = 255
)

// forwardedHeaders are the only request headers that are sent to a plain service. In particular, the bearer key is not.
var forwardedHeaders = []string{
	fiber.HeaderAccept,
	fiber.HeaderAcceptLanguage,
	fiber.HeaderContentType,
	fiber.HeaderIfMatch,
	fiber.HeaderIfNoneMatch,
}

func (s *Server) serveService(r *request) *problem.Problem {
	call, prob := s.newServiceCall(r)
	if prob != nil {
		return prob
	}
	// A disconnect of the caller does not cancel the call: it may have an effect, and its response is recorded for a
	// repeated call.
	ctx, cancel := context.WithDeadline(s.ctx, call.Request.Deadline)
	defer cancel()
	response, prob := s.options.Services.Call(ctx, call)
	if prob != nil {
		return prob
	}
	r.c.Status(response.Status)
	if response.ContentType != "" {
		r.c.Set(fiber.HeaderContentType, response.ContentType)
	}
	if response.Replayed {
		r.c.Set(headerReplayed, "true")
	}
	r.c.Response().SetBodyRaw(response.Body)
	return nil
}

func (s *Server) newServiceCall(r *request) (dispatch.ServiceCall, *problem.Problem) {
	name, path, query, ok := splitServiceURI(string(r.c.Request().Header.RequestURI()))
	if !ok {
		return dispatch.ServiceCall{}, invalidRequest("The path does not name a service.")
	}
	service := r.snapshot.Service(name)
	if service == nil || service.Type != config.PlainService || !service.MayCall(r.member.Name) {
		return dispatch.ServiceCall{}, problem.New(problem.TypeServiceNotFound, fiber.StatusNotFound, problem.NotRun,
			fmt.Sprintf("There is no service %q that this member may call.", name))
	}
	body, prob := r.body()
	if prob != nil {
		return dispatch.ServiceCall{}, prob
	}
	if service.MaxBodyBytes > 0 && int64(len(body)) > service.MaxBodyBytes {
		return dispatch.ServiceCall{}, problem.New(problem.TypeBodyTooLarge, fiber.StatusRequestEntityTooLarge, problem.NotRun,
			fmt.Sprintf("The body has %d bytes; the limit of the service is %d.", len(body), service.MaxBodyBytes))
	}
	key := r.c.Get(headerIdempotency)
	if !isValidIdempotencyKey(key) {
		return dispatch.ServiceCall{}, invalidRequest("The header " + headerIdempotency + " must have 1 to 255 printable characters.")
	}
	deadline, prob := r.deadline(config.Milliseconds(service.DefaultTimeoutMs), config.Milliseconds(service.MaxTimeoutMs))
	if prob != nil {
		return dispatch.ServiceCall{}, prob
	}
	return dispatch.ServiceCall{
		Request: scheduling.Request{
			ID:       r.callID,
			Member:   r.member.Name,
			Service:  service.Name,
			Bytes:    len(body),
			Deadline: deadline,
		},
		Service:        service,
		Method:         strings.Clone(r.c.Method()),
		Path:           path,
		Query:          query,
		Headers:        r.headersToForward(),
		Body:           body,
		IdempotencyKey: key,
	}, nil
}

// splitServiceURI splits a URI as it was received into service name, path and query. fasthttp's decoded and normalised
// path is not used, because it may match another route than the path that the caller sent.
func splitServiceURI(uri string) (name, path, query string, ok bool) {
	rest, ok := strings.CutPrefix(uri, servicePrefix)
	if !ok {
		return "", "", "", false
	}
	rest, query, _ = strings.Cut(rest, "?")
	name, path, _ = strings.Cut(rest, "/")
	return name, "/" + path, query, name != ""
}

func (r *request) headersToForward() map[string]string {
	headers := make(map[string]string)
	for _, name := range forwardedHeaders {
		if value := r.c.Get(name); value != "" {
			headers[name] = value
		}
	}
	return headers
}

// isValidIdempotencyKey accepts an empty key, which means none. The route decides whether a key is required.
func isValidIdempotencyKey(key string) bool {
	if len(key) > maxIdempotencyKeyLength {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

func (s *Server) serveIdempotencyKey(r *request) *problem.Problem {
	key, err := s.options.Keys.Issue(r.member.Name)
	if err == nil {
		return writeJSON(r.c, map[string]string{"key": key})
	}
	var prob *problem.Problem
	if errors.As(err, &prob) {
		return prob
	}
	return problem.New(problem.TypeOverloaded, fiber.StatusServiceUnavailable, problem.NotRun,
		"No idempotency key can be issued now.").WithRetryAfter(time.Second)
}

func writeJSON(c fiber.Ctx, value any) *problem.Problem {
	body, err := json.Marshal(value)
	if err != nil {
		return problem.New(problem.TypeInternal, fiber.StatusInternalServerError, problem.Unknown, "The response failed.")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	c.Response().SetBodyRaw(body)
	return nil
}
