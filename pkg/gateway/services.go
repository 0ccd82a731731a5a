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
	// maxIdempotencyKeyLength bounds a caller's key.
	maxIdempotencyKeyLength = 255
)

// forwardedHeaders reach a plain service; all others end here, above all the bearer key.
var forwardedHeaders = []string{
	fiber.HeaderAccept,
	fiber.HeaderAcceptLanguage,
	fiber.HeaderContentType,
	fiber.HeaderIfMatch,
	fiber.HeaderIfNoneMatch,
}

func (s *Server) serveService(r *request) *problem.Problem {
	call, failed := s.serviceCall(r)
	if failed != nil {
		return failed
	}
	// The caller's disconnect does not end the call: it may have an effect, and its response is recorded for a repetition.
	ctx, cancel := context.WithDeadline(s.ctx, call.Request.Deadline)
	defer cancel()
	response, failed := s.options.Services.Call(ctx, call)
	if failed != nil {
		return failed
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

func (s *Server) serviceCall(r *request) (dispatch.ServiceCall, *problem.Problem) {
	name, path, query, ok := splitServiceURI(string(r.c.Request().Header.RequestURI()))
	if !ok {
		return dispatch.ServiceCall{}, invalid("The path does not name a service.")
	}
	service := r.snapshot.Service(name)
	if service == nil || service.Type != config.PlainService || !service.MayCall(r.member.Name) {
		return dispatch.ServiceCall{}, problem.New(problem.TypeServiceNotFound, fiber.StatusNotFound, problem.NotRun,
			fmt.Sprintf("There is no service %q that this member may call.", name))
	}
	body, failed := r.body()
	if failed != nil {
		return dispatch.ServiceCall{}, failed
	}
	if service.MaxBodyBytes > 0 && int64(len(body)) > service.MaxBodyBytes {
		return dispatch.ServiceCall{}, problem.New(problem.TypeBodyTooLarge, fiber.StatusRequestEntityTooLarge, problem.NotRun,
			fmt.Sprintf("The body has %d bytes; the limit of the service is %d.", len(body), service.MaxBodyBytes))
	}
	key := r.c.Get(headerIdempotency)
	if !wellFormedKey(key) {
		return dispatch.ServiceCall{}, invalid("The header " + headerIdempotency + " must have 1 to 255 printable characters.")
	}
	deadline, failed := r.deadline(config.Milliseconds(service.DefaultTimeoutMs), config.Milliseconds(service.MaxTimeoutMs))
	if failed != nil {
		return dispatch.ServiceCall{}, failed
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
		Headers:        r.forwarded(),
		Body:           body,
		IdempotencyKey: key,
	}, nil
}

// splitServiceURI splits the URI as it was received. fasthttp's decoded and normalised path cannot be used: it may match
// another route rule than what the caller sent.
func splitServiceURI(uri string) (name, path, query string, ok bool) {
	rest, ok := strings.CutPrefix(uri, servicePrefix)
	if !ok {
		return "", "", "", false
	}
	rest, query, _ = strings.Cut(rest, "?")
	name, path, _ = strings.Cut(rest, "/")
	return name, "/" + path, query, name != ""
}

func (r *request) forwarded() map[string]string {
	headers := make(map[string]string)
	for _, name := range forwardedHeaders {
		if value := r.c.Get(name); value != "" {
			headers[name] = value
		}
	}
	return headers
}

// wellFormedKey allows a missing key; whether one is needed depends on the route.
func wellFormedKey(key string) bool {
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

func (s *Server) serveKey(r *request) *problem.Problem {
	key, err := s.options.Keys.Issue(r.member.Name)
	if err == nil {
		return writeJSON(r.c, map[string]string{"key": key})
	}
	var failed *problem.Problem
	if errors.As(err, &failed) {
		return failed
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
