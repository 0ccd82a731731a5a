// Package gateway is the caller-facing HTTP server. It authenticates the member, validates the request, passes it to a
// dispatcher and reports every failure as a problem document with an outcome.
//
// A caller's disconnect is detected by failed writes and by polling its connection. It cancels a model call. A call of
// a plain service continues, because it may have an effect that the caller relies on.
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
	"github.com/mulberryglade/mulberryglade/pkg/membudget"
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

// Limits bounds the resources that callers can use. Zero values mean the defaults.
type Limits struct {
	MaxBodyBytes int
	// MaxHeaderBytes bounds the size of the request line and all headers, MaxHeaders the number of headers.
	MaxHeaderBytes int
	MaxHeaders     int
	// MaxConnections bounds open connections. Further ones get a 503 response and are closed.
	MaxConnections int
	// ReadTimeout bounds the time to receive one request, IdleTimeout the wait for the next one on a connection.
	ReadTimeout time.Duration
	IdleTimeout time.Duration
	// WriteTimeout bounds one write, so that a caller that does not read cannot keep a stream open for ever.
	WriteTimeout time.Duration
	// StallTimeout is the time in which a body must bring MinBytesPerSecond on average.
	StallTimeout      time.Duration
	MinBytesPerSecond int
	// DisconnectCheckInterval is the interval at which the connections of model calls in progress are checked.
	DisconnectCheckInterval time.Duration
}

// Options configures a Server.
type Options struct {
	// Snapshot returns the configuration in effect, or nil before the first one was received.
	Snapshot func() *config.Snapshot
	Models   ModelDispatcher
	Services ServiceDispatcher
	Keys     KeyIssuer
	Log      *zap.Logger
	Scope    tally.Scope
	Limits   Limits
	// Memory bounds the memory of bodies, together with what else takes from it; nil means no bound.
	Memory *membudget.Budget
	// Now defaults to time.Now; tests replace it.
	Now func() time.Time
}

// Server is the caller-facing HTTP server.
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
	drained  chan struct{}
}

// errRequestsInFlight is returned by Drain when its context ends before all requests have finished.
var errRequestsInFlight = errors.New("requests were still in flight")

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
	setDefault(&l.StallTimeout, 15*time.Second)
	setDefault(&l.MinBytesPerSecond, 1<<10)
	setDefault(&l.DisconnectCheckInterval, 250*time.Millisecond)
	return l
}

// New returns a server that is not serving yet; see Serve.
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
	s := &Server{options: options, drained: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.app = fiber.New(fiber.Config{
		// Immutable makes fiber return copies, so that nothing refers to fasthttp's buffers after a handler has returned.
		Immutable:               true,
		CaseSensitive:           true,
		StrictRouting:           true,
		BodyLimit:               options.Limits.MaxBodyBytes,
		ReadBufferSize:          options.Limits.MaxHeaderBytes,
		ReadTimeout:             options.Limits.ReadTimeout,
		IdleTimeout:             options.Limits.IdleTimeout,
		ErrorHandler:            s.handleError,
		DisableHeadAutoRegister: true,
		// The handlers read bodies themselves, since fasthttp reads them whole into buffers that nothing counts.
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
	})
	s.routes()
	s.wrapHandler()
	return s
}

func (s *Server) routes() {
	s.app.Post("/v1/chat/completions", s.authenticated(s.serveChat))
	s.app.Post("/v1/completions", s.authenticated(s.serveCompletion))
	s.app.Get("/v1/models", s.authenticated(s.serveModels))
	s.app.Post("/v1/idempotency-keys", s.authenticated(s.serveIdempotencyKey))
	s.app.All("/v1/services/:service", s.authenticated(s.serveService))
	s.app.All("/v1/services/:service/*", s.authenticated(s.serveService))
}

// wrapHandler wraps fiber's handler for the failures that do not reach fiber's error handler: unknown methods and
// panics.
func (s *Server) wrapHandler() {
	server := s.app.Server()
	next := server.Handler
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		if conn, ok := ctx.Conn().(*callerConn); ok {
			conn.beginRequest()
			defer conn.endHandler()
		}
		defer s.recoverPanic(ctx)
		if !knownMethod(string(ctx.Method())) {
			p := problem.New(problem.TypeMethodNotAllowed, fasthttp.StatusMethodNotAllowed, problem.NotRun,
				"The method is not known.")
			s.writeProblem(ctx, uuid.NewString(), p)
			return
		}
		next(ctx)
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
	return s.app.Listener(s.limitConnections(listener), fiber.ListenConfig{DisableStartupMessage: true})
}

// beginRequest counts a request as in flight. It returns false when the server is draining.
func (s *Server) beginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.inFlight++
	s.options.Scope.Gauge("in_flight").Update(float64(s.inFlight))
	return true
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.options.Scope.Gauge("in_flight").Update(float64(s.inFlight))
	if s.draining && s.inFlight == 0 {
		s.signalDrained()
	}
}

// runInBackground runs work in a goroutine that Close waits for. It returns false, without running the work, once Close
// has cancelled the remaining calls.
func (s *Server) runInBackground(work func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.workers.Go(work)
	return true
}

func (s *Server) signalDrained() {
	select {
	case s.drained <- struct{}{}:
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

// Drain rejects new requests as not run, or as unknown if they have an idempotency key, and waits for those in flight.
// The listener stays open, so that callers get a response. Drain is called after the load balancer's grace period and
// before Close.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	if s.inFlight == 0 {
		s.signalDrained()
	}
	s.mu.Unlock()
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(errRequestsInFlight, "%d left", s.InFlight())
	}
}

// Close stops listening, waits until the context ends for the responses on open connections to be written, and then
// cancels the remaining calls.
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
