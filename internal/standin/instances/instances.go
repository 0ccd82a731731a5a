// Package instances is a stand-in of the platform's instance list, with a lag and with faults that a test sets per call.
package instances

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/instancelist"
)

// Fault is what happens to one call.
type Fault struct {
	// Delay is waited before the call is answered.
	Delay time.Duration
	// Status is answered instead of the list when it is not zero.
	Status int
	// Body is answered instead of the list when it is not empty.
	Body string
	// Drop closes the connection without an answer.
	Drop bool
}

// Server serves the list at GET /v1/instances; POST /v1/instances replaces it. It is safe for concurrent use.
type Server struct {
	http http.Server

	mu sync.Mutex
	// versions are the current list and those that are not visible yet, in the order in which they become visible.
	versions []version
	lag      time.Duration
	queued   []Fault
	calls    int
}

type version struct {
	visible   time.Time
	instances []instancelist.Instance
}

// NewServer returns a server with an empty list and no lag.
func NewServer() *Server {
	s := &Server{versions: []version{{instances: []instancelist.Instance{}}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", s.serveList)
	mux.HandleFunc("POST /v1/instances", s.serveSet)
	s.http.Handler = mux
	return s
}

// Serve accepts connections until Close; it returns nil after Close.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve instance list stand-in")
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	return s.http.Close()
}

// SetLag delays the visibility of later changes.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// Set replaces the list after the lag.
func (s *Server) Set(instances ...instancelist.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := append([]instancelist.Instance{}, instances...)
	s.versions = append(s.versions, version{visible: time.Now().Add(s.lag), instances: list})
}

// Next queues a fault for the next call; calls without a queued fault succeed.
func (s *Server) Next(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued = append(s.queued, fault)
}

// Calls returns the number of list calls so far.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Server) take() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if len(s.queued) == 0 {
		return Fault{}
	}
	fault := s.queued[0]
	s.queued = s.queued[1:]
	return fault
}

func (s *Server) visible() []instancelist.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.versions) > 1 && !now.Before(s.versions[1].visible) {
		s.versions = s.versions[1:]
	}
	return s.versions[0].instances
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	fault := s.take()
	if fault.Delay > 0 {
		select {
		case <-time.After(fault.Delay):
		case <-r.Context().Done():
			return
		}
	}
	switch {
	case fault.Drop:
		panic(http.ErrAbortHandler)
	case fault.Status != 0:
		w.WriteHeader(fault.Status)
	case fault.Body != "":
		_, _ = w.Write([]byte(fault.Body))
	default:
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": s.visible()})
	}
}

func (s *Server) serveSet(w http.ResponseWriter, r *http.Request) {
	var document struct {
		Instances []instancelist.Instance `json:"instances"`
	}
	if err := json.NewDecoder(r.Body).Decode(&document); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(document.Instances...)
	w.WriteHeader(http.StatusNoContent)
}
