// Package weights is a stand-in of the weight store: a catalog with a rate limit, and loads that slow down when there
// are too many of them.
package weights

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/mulberryglade/mulberryglade/internal/standin/document"
	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/weightstore"
)

// ErrNotFound means that the store does not have the artifact.
var ErrNotFound = errors.New("artifact not found")

// Fault is what happens to one catalog call.
type Fault = document.Fault

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
	*document.Server
	options Options
	calls   *rate.Limiter
	loads   *rate.Limiter

	mu      sync.Mutex
	sizes   map[engine.Artifact]int64
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
	s.Server = document.NewServer("/v1/artifacts", s.catalog)
	return s
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), 1)
}

// Put adds an artifact.
func (s *Server) Put(artifact engine.Artifact, sizeBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes[artifact] = sizeBytes
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

func (s *Server) catalog() (any, int) {
	if !s.calls.Allow() {
		return nil, http.StatusTooManyRequests
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make([]weightstore.Entry, 0, len(s.sizes))
	for artifact, size := range s.sizes {
		entries = append(entries, weightstore.Entry{Artifact: artifact, SizeBytes: size})
	}
	return map[string]any{"artifacts": entries}, http.StatusOK
}
