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
	"github.com/mulberryglade/mulberryglade/pkg/membudget"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

const (
	headerTimeout = "X-Request-Timeout-Ms"
	// fallbackTimeout applies where neither the request nor a record sets a timeout.
	fallbackTimeout = 60 * time.Second
	// maxKeyLength bounds the bytes of a bearer key.
	maxKeyLength = 512
	// callIDSuffixLength is the number of random characters after a caller's request id.
	callIDSuffixLength = 12
)

// request is one authenticated request.
type request struct {
	c fiber.Ctx
	// id is returned to the caller. callID identifies the call to endpoints and peers. It is unique even when callers
	// reuse their ids, because an engine resumes and cancels calls by it.
	id        string
	callID    string
	startedAt time.Time
	snapshot  *config.Snapshot
	member    *config.Member
	// streaming is true when the response is written after the handler returns. Closing the stream then ends the request.
	streaming bool
	limits    *Limits
	budget    *membudget.Budget
	// memory is what the body occupies. It is released with the end of the request.
	memory *membudget.Reservation
}

// end releases what the request holds.
func (r *request) end(s *Server) {
	r.memory.Release()
	s.endRequest()
}

// authenticated wraps a handler: it counts the request as in flight, authenticates it, and responds with a problem
// document if authentication or the handler fails.
func (s *Server) authenticated(handler func(r *request) *problem.Problem) fiber.Handler {
	return func(c fiber.Ctx) error {
		r := s.newRequest(c)
		if !s.beginRequest() {
			p := problem.New(problem.TypeShuttingDown, fiber.StatusServiceUnavailable, outcomeBeforeLookup(c),
				"This instance is shutting down.").WithRetryAfter(time.Second)
			s.writeProblem(c.RequestCtx(), r.id, p)
			return nil
		}
		defer func() {
			if !r.streaming {
				r.end(s)
			}
		}()
		prob := s.authenticate(r)
		if prob == nil {
			prob = handler(r)
		}
		if prob != nil {
			s.writeProblem(c.RequestCtx(), r.id, prob)
		}
		if s.isDraining() {
			c.RequestCtx().Response.SetConnectionClose()
		}
		s.options.Scope.Timer("request_time").Record(s.options.Now().Sub(r.startedAt))
		return nil
	}
}

// outcomeBeforeLookup returns the outcome of a request that is rejected before its idempotency key is looked up. The
// request was not sent, but an earlier one with the same key may have run, and after not_run a caller may use another
// key.
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
	return &request{c: c, id: id, callID: callID, startedAt: s.options.Now(), limits: &s.options.Limits, budget: s.options.Memory}
}

// authenticate checks the number of headers and sets the request's snapshot and, by the bearer key, its member.
func (s *Server) authenticate(r *request) *problem.Problem {
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

// deadline returns the request's deadline: the timeout from the caller's header or else defaultTimeout, limited to
// maxTimeout. A zero defaultTimeout or maxTimeout means that the record declares none.
func (r *request) deadline(defaultTimeout, maxTimeout time.Duration) (time.Time, *problem.Problem) {
	timeout := defaultTimeout
	if timeout <= 0 {
		timeout = fallbackTimeout
	}
	if text := r.c.Get(headerTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return time.Time{}, invalidRequest(fmt.Sprintf("The header %s must be a positive number of milliseconds (got %q).", headerTimeout, text))
		}
		timeout = config.Milliseconds(ms)
	}
	if maxTimeout > 0 {
		timeout = min(timeout, maxTimeout)
	}
	return r.startedAt.Add(timeout), nil
}

// cancelOnDisconnect polls the caller's connection and cancels the context when the caller has closed it. Without
// polling, a disconnect is detected only by a write, which for a response without streaming comes after all work is
// done.
func (s *Server) cancelOnDisconnect(ctx context.Context, cancel context.CancelFunc, conn net.Conn) {
	s.runInBackground(func() {
		ticker := time.NewTicker(s.options.Limits.DisconnectCheckInterval)
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
