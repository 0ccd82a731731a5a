// Package weights is a stand-in of the weight store: a catalog with a rate limit, and loads that slow down when there
// are too many of them.
package weights

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/weightstore"
)

// ErrNotFound means that the store does not have the artifact.
var ErrNotFound = errors.New("artifact not found")

// Fault is what happens to one catalog call.
type Fault struct {
	// Delay is waited before the call is answered.
	Delay time.Duration
	// Status is answered instead of the catalog when it is not zero.
	Status int
	// Body is answered instead of the catalog when it is not empty.
	Body string
}

// Options are the parameters of NewServer; zero limits mean none.
type Options struct {
	// CallsPerSecond limits catalog calls; more are answered with 429.
	CallsPerSecond float64
	// LoadsPerSecond and ConcurrentLoads are the rate and number of loads at full speed.
	LoadsPerSecond  float64
	ConcurrentLoads int
	// BytesPerSecond is the speed of one load at full speed.
	BytesPerSecond float64
}

// Server serves the catalog at GET /v1/artifacts. It is safe for concurrent use.
type Server struct {
	http    http.Server
	options Options
	calls   *rate.Limiter
	loads   *rate.Limiter

	mu      sync.Mutex
	sizes   map[engine.Artifact]int64
	queued  []Fault
	running int
}

// NewServer returns a server with an empty catalog.
func NewServer(o Options) *Server {
	s := &Server{
		options: o,
		calls:   limiter(o.CallsPerSecond),
		loads:   limiter(o.LoadsPerSecond),
		sizes:   make(map[engine.Artifact]int64),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/artifacts", s.serveCatalog)
	s.http.Handler = mux
	return s
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), 1)
}

// Serve accepts connections until Close; it returns nil after Close.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve weight store stand-in")
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	return s.http.Close()
}

// Put adds an artifact.
func (s *Server) Put(artifact engine.Artifact, sizeBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes[artifact] = sizeBytes
}

// Next queues a fault for the next catalog call; calls without a queued fault succeed.
func (s *Server) Next(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued = append(s.queued, fault)
}

// Load takes as long as a load of the artifact; beyond ConcurrentLoads all loads that start are proportionally slower.
func (s *Server) Load(ctx context.Context, artifact engine.Artifact) error {
	size, running, ok := s.begin(artifact)
	if !ok {
		return ErrNotFound
	}
	defer s.end()
	if err := s.loads.Wait(ctx); err != nil {
		return errors.Wrap(err, "wait for the load rate")
	}
	seconds := 0.0
	if s.options.BytesPerSecond > 0 {
		seconds = float64(size) / s.options.BytesPerSecond
	}
	if s.options.ConcurrentLoads > 0 && running > s.options.ConcurrentLoads {
		seconds *= float64(running) / float64(s.options.ConcurrentLoads)
	}
	return timing.Sleep(ctx, time.Duration(seconds*float64(time.Second)))
}

func (s *Server) begin(artifact engine.Artifact) (size int64, running int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, ok = s.sizes[artifact]
	if ok {
		s.running++
	}
	return size, s.running, ok
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) take() (Fault, []weightstore.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make([]weightstore.Entry, 0, len(s.sizes))
	for artifact, size := range s.sizes {
		entries = append(entries, weightstore.Entry{Artifact: artifact, SizeBytes: size})
	}
	if len(s.queued) == 0 {
		return Fault{}, entries
	}
	fault := s.queued[0]
	s.queued = s.queued[1:]
	return fault, entries
}

func (s *Server) serveCatalog(w http.ResponseWriter, r *http.Request) {
	fault, entries := s.take()
	if fault.Delay > 0 {
		select {
		case <-time.After(fault.Delay):
		case <-r.Context().Done():
			return
		}
	}
	switch {
	case !s.calls.Allow():
		w.WriteHeader(http.StatusTooManyRequests)
	case fault.Status != 0:
		w.WriteHeader(fault.Status)
	case fault.Body != "":
		_, _ = w.Write([]byte(fault.Body))
	default:
		_ = json.NewEncoder(w).Encode(map[string]any{"artifacts": entries})
	}
}
