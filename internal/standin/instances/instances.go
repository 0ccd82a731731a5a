// Package instances is a stand-in for the platform's instance list, with a lag and with faults that a test sets per
// call.
package instances

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/mulberryglade/mulberryglade/internal/standin/document"
	"github.com/mulberryglade/mulberryglade/pkg/instancelist"
)

// Fault is a set of faults to inject into one request for the list.
type Fault = document.Fault

// Server serves the list at GET /v1/instances; POST /v1/instances replaces it. It is safe for concurrent use.
type Server struct {
	*document.Server

	mu sync.Mutex
	// versions holds the current list followed by those that are not visible yet, in order of visibility.
	versions []version
	lag      time.Duration
}

type version struct {
	visibleAt time.Time
	instances []instancelist.Instance
}

// NewServer returns a server with an empty list and no lag.
func NewServer() *Server {
	s := &Server{versions: []version{{instances: []instancelist.Instance{}}}}
	s.Server = document.NewServer("/v1/instances", func() (any, int) {
		return map[string]any{"instances": s.visibleInstances()}, http.StatusOK
	})
	s.Handle("POST /v1/instances", s.serveSet)
	return s
}

// SetLag sets the delay after which a change becomes visible. It applies to later changes only.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// Set replaces the list. The change becomes visible after the lag.
func (s *Server) Set(instances ...instancelist.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := append([]instancelist.Instance{}, instances...)
	s.versions = append(s.versions, version{visibleAt: time.Now().Add(s.lag), instances: list})
}

func (s *Server) visibleInstances() []instancelist.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.versions) > 1 && !now.Before(s.versions[1].visibleAt) {
		s.versions = s.versions[1:]
	}
	return s.versions[0].instances
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
