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

func invalid(detail string) *problem.Problem {
	return problem.New(problem.TypeInvalidRequest, fasthttp.StatusBadRequest, problem.NotRun, detail)
}

// writeProblem answers with a problem document.
func (s *Server) writeProblem(ctx *fasthttp.RequestCtx, requestID string, p *problem.Problem) {
	document := *p
	document.RequestID = requestID
	body, err := json.Marshal(document)
	if err != nil {
		// A Problem has only strings and an integer.
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

// retryAfterSeconds rounds up: the header has whole seconds.
func retryAfterSeconds(after time.Duration) int {
	return int((after + time.Second - 1) / time.Second)
}

// handleError turns fiber's and fasthttp's own errors into problems. Nothing has been dispatched when they occur.
func (s *Server) handleError(c fiber.Ctx, err error) error {
	id := requestIDOf(c)
	status := fiber.StatusInternalServerError
	var own *fiber.Error
	if errors.As(err, &own) {
		status = own.Code
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
		return invalid("The request is not valid HTTP.")
	}
}

// maxRequestIDLength bounds a caller's request id.
const maxRequestIDLength = 64

// requestIDOf returns the caller's request id when it is well-formed, else a new one.
func requestIDOf(c fiber.Ctx) string {
	given := c.Get(headerRequestID)
	if wellFormedID(given) {
		return given
	}
	return uuid.NewString()
}

func wellFormedID(id string) bool {
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
