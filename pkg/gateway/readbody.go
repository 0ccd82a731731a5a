package gateway

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/pkg/clientconn"
	"github.com/mulberryglade/mulberryglade/pkg/membudget"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

const (
	// parsedCopies is how often the content of a body is copied besides its blocks: as a whole, and while its fields are
	// parsed.
	parsedCopies = 2
	// memoryRetryAfter is the Retry-After time if memory is used up. Evicted bodies free it within a fraction of a second.
	memoryRetryAfter = time.Second
)

// body reads the request's body. Compressed bodies are rejected. The memory of the body and of its parsed fields is
// reserved as it arrives and held until the end of the request.
func (r *request) body() ([]byte, *problem.Problem) {
	encoding := r.c.Get(fiber.HeaderContentEncoding)
	if encoding != "" && encoding != "identity" {
		return nil, problem.New(problem.TypeInvalidRequest, fiber.StatusUnsupportedMediaType, problem.NotRun,
			"Compressed bodies are not supported.")
	}
	content, err := r.readBody()
	if err == nil {
		return content, nil
	}
	// The rest of the body may be still to come.
	r.c.RequestCtx().Response.SetConnectionClose()
	if conn, ok := r.c.RequestCtx().Conn().(*callerConn); ok {
		conn.lingers.Store(true)
	}
	outcome := outcomeBeforeLookup(r.c)
	switch {
	case errors.Is(err, membudget.ErrEvicted), errors.Is(err, membudget.ErrExhausted):
		return nil, problem.New(problem.TypeOverloaded, fiber.StatusServiceUnavailable, outcome,
			"This instance has no memory left for the body.").WithRetryAfter(memoryRetryAfter)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return nil, fiberProblem(fiber.StatusRequestEntityTooLarge)
	case errors.Is(err, clientconn.ErrTooSlow):
		return nil, fiberProblem(fiber.StatusRequestTimeout)
	}
	return nil, invalidRequest("The body is not valid HTTP.")
}

func (r *request) readBody() ([]byte, error) {
	httpRequest := r.c.Request()
	length := httpRequest.Header.ContentLength()
	if length > r.limits.MaxBodyBytes {
		return nil, fasthttp.ErrBodyTooLarge
	}
	if !httpRequest.IsBodyStream() {
		return bytes.Clone(httpRequest.Body()), nil
	}
	conn := r.c.RequestCtx().Conn()
	deadline := &readDeadline{set: conn.SetReadDeadline}
	r.memory = r.budget.ReserveEvictable(deadline.end)
	limits := clientconn.Limits{
		MaxBodyBytes: r.limits.MaxBodyBytes, StallTimeout: r.limits.StallTimeout, MinBytesPerSecond: r.limits.MinBytesPerSecond,
	}
	var body clientconn.Body
	defer body.Release()
	err := body.Fill(context.Background(), r.memory, httpRequest.BodyStream(), length, limits, deadline.move)
	timedOut := err != nil && errors.Is(err, os.ErrDeadlineExceeded)
	if err == nil {
		err = r.memory.Grow(context.Background(), time.Time{}, parsedCopies*body.Size())
	}
	if evicted := !r.memory.Settle(); evicted {
		err = membudget.ErrEvicted
	} else if timedOut {
		err = clientconn.ErrTooSlow
	}
	deadline.stop()
	if err != nil {
		r.memory.Release()
		return nil, err
	}
	return body.Bytes(), nil
}
