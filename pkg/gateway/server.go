// Package gateway is the caller-facing HTTP server. It identifies the member, validates the request, hands it to a
// dispatcher and turns every failure into a problem document with an outcome.
//
// A caller that leaves is noticed by failed writes and by looking at its connection from time to time; a model call is
// then cancelled. A call of a plain service continues, because it may have an effect that the caller relies on.
package gateway

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/dispatch"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

// ModelDispatcher runs model calls.
type ModelDispatcher interface {
	Complete(ctx context.Context, call dispatch.ModelCall) (engine.Response, *problem.Problem)
	Open(ctx context.Context, call dispatch.ModelCall) (*dispatch.ModelStream, *problem.Problem)
}

// ServiceDispatcher runs calls of plain services.
type ServiceDispatcher interface {
	Call(ctx context.Context, call dispatch.ServiceCall) (dispatch.ServiceResponse, *problem.Problem)
}

// KeyIssuer issues idempotency keys.
type KeyIssuer interface {
	Issue(member string) (string, error)
}

// Limits bounds what one caller can occupy; zero values take the defaults.
type Limits struct {
	MaxBodyBytes int
	// MaxHeaderBytes bounds the request line and all headers; MaxHeaders bounds their number.
	MaxHeaderBytes int
	MaxHeaders     int
	// MaxConnections bounds open connections; further ones are answered 503 and closed.
	MaxConnections int
	// ReadTimeout bounds receiving one request, IdleTimeout waiting for the next one on a connection.
	ReadTimeout time.Duration
	IdleTimeout time.Duration
	// WriteTimeout bounds one write, so that a caller that does not read cannot hold a stream for ever.
	WriteTimeout time.Duration
	// DisconnectPoll is the interval at which the connections of model calls in progress are checked.
	DisconnectPoll time.Duration
}

// Options configures a Server.
type Options struct {
	// Snapshot returns the declarations in effect, or nil before the first ones arrived.
	Snapshot func() *config.Snapshot
	Models   ModelDispatcher
	Services ServiceDispatcher
	Keys     KeyIssuer
	Log      *zap.Logger
	Scope    tally.Scope
	Limits   Limits
	// Now is replaced by tests.
	Now func() time.Time
}

// Server is the caller-facing server.
type Server struct {
	options Options
	app     *fiber.App
	ctx     context.Context
	cancel  context.CancelFunc
	workers conc.WaitGroup

	mu       sync.Mutex
	closed   bool
	draining bool
	inFlight int
	idle     chan struct{}
}

// errDraining is returned by Drain when its context ended before the requests in flight.
var errDraining = errors.New("requests were still in flight")

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxBodyBytes, 4<<20)
	setDefault(&l.MaxHeaderBytes, 16<<10)
	setDefault(&l.MaxHeaders, 100)
	setDefault(&l.MaxConnections, 4096)
	setDefault(&l.ReadTimeout, 15*time.Second)
	setDefault(&l.IdleTimeout, 60*time.Second)
	setDefault(&l.WriteTimeout, 20*time.Second)
	setDefault(&l.DisconnectPoll, 250*time.Millisecond)
	return l
}

// New returns a server; Serve runs it.
func New(options Options) *Server {
	options.Limits = options.Limits.withDefaults()
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	options.Scope = options.Scope.SubScope("gateway")
	if options.Now == nil {
		options.Now = time.Now
	}
	s := &Server{options: options, idle: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.app = fiber.New(fiber.Config{
		// Immutable makes fiber copy what it hands out, so that nothing refers to fasthttp's buffers after a handler.
		Immutable:               true,
		CaseSensitive:           true,
		StrictRouting:           true,
		BodyLimit:               options.Limits.MaxBodyBytes,
		ReadBufferSize:          options.Limits.MaxHeaderBytes,
		ReadTimeout:             options.Limits.ReadTimeout,
		IdleTimeout:             options.Limits.IdleTimeout,
		ErrorHandler:            s.handleError,
		DisableHeadAutoRegister: true,
	})
	s.routes()
	s.guard()
	return s
}

func (s *Server) routes() {
	s.app.Post("/v1/chat/completions", s.authenticated(s.serveChat))
	s.app.Post("/v1/completions", s.authenticated(s.serveCompletion))
	s.app.Get("/v1/models", s.authenticated(s.serveModels))
	s.app.Post("/v1/idempotency-keys", s.authenticated(s.serveKey))
	s.app.All("/v1/services/:service", s.authenticated(s.serveService))
	s.app.All("/v1/services/:service/*", s.authenticated(s.serveService))
}

// guard wraps fiber's handler to catch what fiber answers without its error handler: unknown methods and panics.
func (s *Server) guard() {
	server := s.app.Server()
	inner := server.Handler
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		defer s.recoverPanic(ctx)
		if !knownMethod(string(ctx.Method())) {
			p := problem.New(problem.TypeMethodNotAllowed, fasthttp.StatusMethodNotAllowed, problem.NotRun,
				"The method is not known.")
			s.writeProblem(ctx, uuid.NewString(), p)
			return
		}
		inner(ctx)
	}
}

func knownMethod(method string) bool {
	return slices.Contains(fiber.DefaultMethods, method)
}

func (s *Server) recoverPanic(ctx *fasthttp.RequestCtx) {
	cause := recover()
	if cause == nil {
		return
	}
	id := uuid.NewString()
	s.options.Log.Error("panic in a handler", zap.String("requestId", id), zap.Any("cause", cause), zap.Stack("stack"))
	ctx.Response.Reset()
	s.writeProblem(ctx, id, problem.New(problem.TypeInternal, fasthttp.StatusInternalServerError, problem.Unknown,
		"The request failed inside of the gateway; it may have run."))
}

// Serve accepts connections until Close.
func (s *Server) Serve(listener net.Listener) error {
	return s.app.Listener(s.limit(listener), fiber.ListenConfig{DisableStartupMessage: true})
}

// begin registers a request; it returns false when the server drains.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.inFlight++
	s.options.Scope.Gauge("in_flight").Update(float64(s.inFlight))
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.options.Scope.Gauge("in_flight").Update(float64(s.inFlight))
	if s.draining && s.inFlight == 0 {
		s.signalIdle()
	}
}

// spawn runs work in the background; it returns false after Close.
func (s *Server) spawn(work func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.workers.Go(work)
	return true
}

func (s *Server) signalIdle() {
	select {
	case s.idle <- struct{}{}:
	default:
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// Drain refuses new requests as not run and waits for those in flight. The listener stays open, so that callers get an
// answer; call it after the load balancer's grace period and Close after it.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	if s.inFlight == 0 {
		s.signalIdle()
	}
	s.mu.Unlock()
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(errDraining, "%d left", s.InFlight())
	}
}

// Close stops listening, gives responses until the context's end to be written, and breaks what remains.
func (s *Server) Close(ctx context.Context) error {
	err := s.app.ShutdownWithContext(ctx)
	s.cancel()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.workers.Wait()
	if errors.Is(err, fiber.ErrNotRunning) {
		return nil
	}
	return errors.Wrap(err, "shut down the caller-facing server")
}
