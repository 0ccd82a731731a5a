// Package admin serves the admin port: health, readiness, metrics, profiles, and the operators' queries and commands.
package admin

import (
	"crypto/subtle"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

const (
	tokenScheme = "Bearer "
	// maxBodyBytes is much larger than the body of any command.
	maxBodyBytes = 64 << 10
	// maxConnections bounds the connections of operators, monitoring and the load balancer's checks together.
	maxConnections = 64
	// readTimeout bounds the time to read a request. Responses have no bound: a profile takes as long as it is asked to.
	readTimeout = 10 * time.Second
	idleTimeout = time.Minute
)

// Options configure a Server.
type Options struct {
	// Ready returns the reason why the instance must get no new work, or nil when it is ready.
	Ready   func() error
	Metrics http.Handler
	// Token authenticates operators. It may be empty where mutual TLS or a loopback address protects the port.
	Token    string
	Queries  Queries
	Commands Commands
	Log      *zap.Logger
}

// Server serves the admin port.
type Server struct {
	options Options
	app     *fiber.App
}

// NewServer returns a server; Serve starts it.
func NewServer(options Options) *Server {
	s := &Server{options: options}
	s.app = fiber.New(fiber.Config{
		BodyLimit: maxBodyBytes, Concurrency: maxConnections, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		ErrorHandler: s.sendProblem,
	})
	s.app.Get("/healthz", s.health)
	s.app.Get("/readyz", s.ready)
	s.addOperatorGet("/metrics", adaptor.HTTPHandler(options.Metrics))
	s.addProfiles()
	s.addQueries()
	s.addCommands()
	return s
}

// Serve handles requests on the listener until Close.
func (s *Server) Serve(listener net.Listener) error {
	config := fiber.ListenConfig{DisableStartupMessage: true}
	return errors.Wrap(s.app.Listener(listener, config), "admin server")
}

// Close stops the server.
func (s *Server) Close() error {
	return errors.Wrap(s.app.Shutdown(), "close admin server")
}

// health reports that the process is running.
func (s *Server) health(c fiber.Ctx) error {
	return c.SendString("ok\n")
}

// ready reports to the load balancer whether the instance accepts new work.
func (s *Server) ready(c fiber.Ctx) error {
	if err := s.options.Ready(); err != nil {
		return c.Status(http.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ready\n")
}

// addOperatorGet adds a GET route that requires the operator token. Authentication is a handler of the route and not a
// middleware, since fiber also runs middleware for connections that fail before a request, and would log an error for
// each.
func (s *Server) addOperatorGet(path string, handler fiber.Handler) {
	s.app.Get(path, s.authenticate, handler)
}

func (s *Server) authenticate(c fiber.Ctx) error {
	if s.options.Token == "" {
		return c.Next()
	}
	expected := []byte(tokenScheme + s.options.Token)
	if subtle.ConstantTimeCompare([]byte(c.Get(fiber.HeaderAuthorization)), expected) == 1 {
		return c.Next()
	}
	return problem.New(problem.TypeUnauthenticated, http.StatusUnauthorized, problem.NotRun, "The operator token is missing or wrong.")
}

func (s *Server) addProfiles() {
	s.addOperatorGet("/debug/pprof/cmdline", adaptor.HTTPHandlerFunc(pprof.Cmdline))
	s.addOperatorGet("/debug/pprof/profile", adaptor.HTTPHandlerFunc(pprof.Profile))
	s.addOperatorGet("/debug/pprof/symbol", adaptor.HTTPHandlerFunc(pprof.Symbol))
	s.addOperatorGet("/debug/pprof/trace", adaptor.HTTPHandlerFunc(pprof.Trace))
	s.addOperatorGet("/debug/pprof/*", adaptor.HTTPHandlerFunc(pprof.Index))
}

// sendProblem responds with the problem document of an error.
func (s *Server) sendProblem(c fiber.Ctx, err error) error {
	var p *problem.Problem
	if !errors.As(err, &p) {
		p = s.toProblem(err)
	}
	c.Set(fiber.HeaderContentType, problem.ContentType)
	return c.Status(p.Status).JSON(p, problem.ContentType)
}

func (s *Server) toProblem(err error) *problem.Problem {
	var f *fiber.Error
	if errors.As(err, &f) {
		return problem.New(problem.TypeNotFound, f.Code, problem.NotRun, f.Message)
	}
	s.options.Log.Error("admin call failed", zap.Error(err))
	return problem.New(problem.TypeInternal, http.StatusInternalServerError, problem.Unknown, "The call failed inside of the instance; its log has the error.")
}
