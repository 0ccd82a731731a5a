package gateway

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

const headerRequestID = "X-Request-Id"

func invalidRequest(detail string) *problem.Problem {
	return problem.New(problem.TypeInvalidRequest, fasthttp.StatusBadRequest, problem.NotRun, detail)
}

// writeProblem responds with a problem document and logs it.
func (s *Server) writeProblem(ctx *fasthttp.RequestCtx, requestID string, p *problem.Problem) {
	document := *p
	document.RequestID = requestID
	body, err := json.Marshal(document)
	if err != nil {
		// Marshalling cannot fail: a Problem has only strings and an integer.
		panic(err)
	}
	ctx.Response.Header.Set(headerRequestID, requestID)
	if seconds := retryAfterSeconds(p.RetryAfter); seconds > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	if p.Type == problem.TypeShuttingDown {
		ctx.Response.SetConnectionClose()
	}
	ctx.SetStatusCode(p.Status)
	ctx.SetContentType(problem.ContentType)
	ctx.Response.SetBody(body)
	s.logProblem(requestID, p)
}

func (s *Server) logProblem(requestID string, p *problem.Problem) {
	s.options.Scope.Tagged(map[string]string{"outcome": string(p.Outcome), "type": string(p.Type)}).Counter("problems").Inc(1)
	s.options.Log.Info("request failed",
		zap.String("requestId", requestID),
		zap.String("type", string(p.Type)),
		zap.Int("status", p.Status),
		zap.String("outcome", string(p.Outcome)))
}

// retryAfterSeconds rounds up to whole seconds, the unit of the Retry-After header.
func retryAfterSeconds(after time.Duration) int {
	return int((after + time.Second - 1) / time.Second)
}

// handleError responds to errors of fiber and fasthttp with problems. They occur before a request is dispatched.
func (s *Server) handleError(c fiber.Ctx, err error) error {
	id := requestIDOf(c)
	status := fiber.StatusInternalServerError
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		status = fiberErr.Code
	}
	s.writeProblem(c.RequestCtx(), id, fiberProblem(status))
	return nil
}

func fiberProblem(status int) *problem.Problem {
	switch status {
	case fiber.StatusNotFound:
		return problem.New(problem.TypeNotFound, status, problem.NotRun, "There is no such path.")
	case fiber.StatusMethodNotAllowed, fiber.StatusNotImplemented:
		return problem.New(problem.TypeMethodNotAllowed, fiber.StatusMethodNotAllowed, problem.NotRun,
			"The path does not support this method.")
	case fiber.StatusRequestEntityTooLarge:
		return problem.New(problem.TypeBodyTooLarge, status, problem.NotRun, "The body is too large.")
	case fiber.StatusRequestHeaderFieldsTooLarge:
		return problem.New(problem.TypeHeadersTooLarge, status, problem.NotRun, "The headers are too large.")
	case fiber.StatusRequestTimeout:
		return problem.New(problem.TypeRequestTimeout, status, problem.NotRun, "The request was received too slowly.")
	case fiber.StatusInternalServerError:
		return problem.New(problem.TypeInternal, status, problem.Unknown, "The request failed inside of the gateway.")
	default:
		return invalidRequest("The request is not valid HTTP.")
	}
}

// maxRequestIDLength bounds the bytes of a caller's request id.
const maxRequestIDLength = 64

// requestIDOf returns the caller's request id if it is valid, otherwise a new one.
func requestIDOf(c fiber.Ctx) string {
	requestID := c.Get(headerRequestID)
	if isValidRequestID(requestID) {
		return requestID
	}
	return uuid.NewString()
}

func isValidRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDLength {
		return false
	}
	for i := range len(id) {
		c := id[i]
		letter := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}
