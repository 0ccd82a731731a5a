// Package weights is a stand-in for the weight store: a catalog with a rate limit, and loads that slow down when too
// many run at once.
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

// Fault is a set of faults to inject into one catalog call.
type Fault = document.Fault

// Options are the parameters of NewServer. A limit of zero means no limit.
type Options struct {
	// CallsPerSecond limits catalog calls; calls above the limit get status 429.
	CallsPerSecond float64
	// LoadsPerSecond limits the rate at which loads start. ConcurrentLoads is the number of loads that run at full
	// speed.
	LoadsPerSecond  float64
	ConcurrentLoads int
	// BytesPerSecond is the full speed of one load.
	BytesPerSecond float64
}

// Server serves the catalog at GET /v1/artifacts. It is safe for concurrent use.
type Server struct {
	*document.Server
	options     Options
	callLimiter *rate.Limiter
	loadLimiter *rate.Limiter

	mu           sync.Mutex
	sizes        map[engine.Artifact]int64
	runningLoads int
}

// NewServer returns a server with an empty catalog.
func NewServer(o Options) *Server {
	s := &Server{
		options:     o,
		callLimiter: newLimiter(o.CallsPerSecond),
		loadLimiter: newLimiter(o.LoadsPerSecond),
		sizes:       make(map[engine.Artifact]int64),
	}
	s.Server = document.NewServer("/v1/artifacts", s.catalog)
	return s
}

func newLimiter(perSecond float64) *rate.Limiter {
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

// Load waits for the duration of a load of the artifact. A load that starts when more than ConcurrentLoads are
// running, itself included, is proportionally slower.
func (s *Server) Load(ctx context.Context, artifact engine.Artifact) error {
	size, runningLoads, ok := s.beginLoad(artifact)
	if !ok {
		return ErrNotFound
	}
	defer s.endLoad()
	if err := s.loadLimiter.Wait(ctx); err != nil {
		return errors.Wrap(err, "wait for the load rate limit")
	}
	seconds := 0.0
	if s.options.BytesPerSecond > 0 {
		seconds = float64(size) / s.options.BytesPerSecond
	}
	if s.options.ConcurrentLoads > 0 && runningLoads > s.options.ConcurrentLoads {
		seconds *= float64(runningLoads) / float64(s.options.ConcurrentLoads)
	}
	return timing.Sleep(ctx, time.Duration(seconds*float64(time.Second)))
}

func (s *Server) beginLoad(artifact engine.Artifact) (size int64, runningLoads int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, ok = s.sizes[artifact]
	if ok {
		s.runningLoads++
	}
	return size, s.runningLoads, ok
}

func (s *Server) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningLoads--
}

func (s *Server) catalog() (any, int) {
	if !s.callLimiter.Allow() {
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
