package gateway

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

const (
	headerTimeout = "X-Request-Timeout-Ms"
	// fallbackTimeout applies where a record declares none.
	fallbackTimeout = 60 * time.Second
	// maxKeyLength bounds a bearer key.
	maxKeyLength = 512
	// callIDSuffixLength is the number of random characters after a caller's request id.
	callIDSuffixLength = 12
)

// request is one authenticated request.
type request struct {
	c fiber.Ctx
	// id is returned to the caller. callID is used towards endpoints and peers; it is unique even when callers reuse
	// their ids, because an engine resumes and cancels by it.
	id       string
	callID   string
	began    time.Time
	snapshot *config.Snapshot
	member   *config.Member
	// streaming is true when the response is written after the handler; the stream then ends the request.
	streaming bool
}

// authenticated registers the request as in flight, checks what is common to all requests and runs the handler.
func (s *Server) authenticated(handler func(r *request) *problem.Problem) fiber.Handler {
	return func(c fiber.Ctx) error {
		r := s.newRequest(c)
		if !s.begin() {
			p := problem.New(problem.TypeShuttingDown, fiber.StatusServiceUnavailable, outcomeBeforeLookup(c),
				"This instance is shutting down.").WithRetryAfter(time.Second)
			s.writeProblem(c.RequestCtx(), r.id, p)
			return nil
		}
		defer func() {
			if !r.streaming {
				s.end()
			}
		}()
		failed := s.identify(r)
		if failed == nil {
			failed = handler(r)
		}
		if failed != nil {
			s.writeProblem(c.RequestCtx(), r.id, failed)
		}
		if s.isDraining() {
			c.RequestCtx().Response.SetConnectionClose()
		}
		s.options.Scope.Timer("request_time").Record(s.options.Now().Sub(r.began))
		return nil
	}
}

// outcomeBeforeLookup is the outcome of a request that is refused before its idempotency key was looked up. The request
// was not sent, but an earlier one with the key may have run, and a caller that is told not_run may use another key.
func outcomeBeforeLookup(c fiber.Ctx) problem.Outcome {
	if c.Get(headerIdempotency) != "" {
		return problem.Unknown
	}
	return problem.NotRun
}

func (s *Server) newRequest(c fiber.Ctx) *request {
	id := requestIDOf(c)
	callID := id
	if id == c.Get(headerRequestID) {
		random := strings.ReplaceAll(uuid.NewString(), "-", "")
		callID = id + "." + random[:callIDSuffixLength]
	}
	c.Set(headerRequestID, id)
	return &request{c: c, id: id, callID: callID, began: s.options.Now()}
}

// identify finds the member by its bearer key.
func (s *Server) identify(r *request) *problem.Problem {
	if count := r.c.Request().Header.Len(); count > s.options.Limits.MaxHeaders {
		return problem.New(problem.TypeHeadersTooLarge, fiber.StatusRequestHeaderFieldsTooLarge, problem.NotRun,
			fmt.Sprintf("The request has %d headers; the limit is %d.", count, s.options.Limits.MaxHeaders))
	}
	r.snapshot = s.options.Snapshot()
	if r.snapshot == nil {
		return problem.New(problem.TypeNotReady, fiber.StatusServiceUnavailable, outcomeBeforeLookup(r.c),
			"This instance has not received its configuration.").WithRetryAfter(time.Second)
	}
	scheme, key, _ := strings.Cut(r.c.Get(fiber.HeaderAuthorization), " ")
	if strings.EqualFold(scheme, "Bearer") && key != "" && len(key) <= maxKeyLength {
		r.member = r.snapshot.MemberByKey(key)
	}
	if r.member == nil {
		r.c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
		return problem.New(problem.TypeUnauthenticated, fiber.StatusUnauthorized, problem.NotRun,
			"The request needs a valid bearer key.")
	}
	return nil
}

// body returns a copy of the body.
func (r *request) body() ([]byte, *problem.Problem) {
	encoding := r.c.Get(fiber.HeaderContentEncoding)
	if encoding != "" && encoding != "identity" {
		return nil, problem.New(problem.TypeInvalidRequest, fiber.StatusUnsupportedMediaType, problem.NotRun,
			"Compressed bodies are not supported.")
	}
	return append([]byte(nil), r.c.Request().Body()...), nil
}

// deadline applies the caller's timeout, at most the longest one declared, or the standard one declared. Zero means that
// none is declared.
func (r *request) deadline(standard, longest time.Duration) (time.Time, *problem.Problem) {
	timeout := standard
	if timeout <= 0 {
		timeout = fallbackTimeout
	}
	if text := r.c.Get(headerTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return time.Time{}, invalid(fmt.Sprintf("The header %s must be a positive number of milliseconds (got %q).", headerTimeout, text))
		}
		timeout = config.Milliseconds(ms)
	}
	if longest > 0 {
		timeout = min(timeout, longest)
	}
	return r.began.Add(timeout), nil
}

// watch cancels the context when the caller has closed its connection. A caller's disconnect is otherwise detected only
// on a write, which for a response without streaming comes when all work is done.
func (s *Server) watch(ctx context.Context, cancel context.CancelFunc, conn net.Conn) {
	s.spawn(func() {
		ticker := time.NewTicker(s.options.Limits.DisconnectPoll)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if httpconn.PeerClosed(conn) {
					s.options.Scope.Counter("caller_disconnects").Inc(1)
					cancel()
					return
				}
			}
		}
	})
}
