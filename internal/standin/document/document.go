// Package document serves one JSON document over HTTP and injects faults that a test sets per call. The stand-ins for
// the instance list and the weight store are based on it.
package document

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/internal/timing"
)

// Fault is a set of faults to inject into one call.
type Fault struct {
	// Delay is the time before the response.
	Delay time.Duration
	// Status, when not zero, is returned instead of the document.
	Status int
	// Body, when not empty, is returned instead of the document.
	Body string
	// Drop closes the connection without a response.
	Drop bool
}

// Server serves a document. It is safe for concurrent use.
type Server struct {
	http         http.Server
	mux          *http.ServeMux
	readDocument func() (document any, status int)

	mu     sync.Mutex
	queued []Fault
	calls  int
}

// NewServer returns a server that responds to GET requests for the path with the result of readDocument. The document
// is sent only with status 200.
func NewServer(path string, readDocument func() (document any, status int)) *Server {
	s := &Server{mux: http.NewServeMux(), readDocument: readDocument}
	s.mux.HandleFunc("GET "+path, s.serve)
	s.http.Handler = s.mux
	return s
}

// Handle adds a handler for another method or path. It must be called before Serve.
func (s *Server) Handle(pattern string, handler http.HandlerFunc) {
	s.mux.HandleFunc(pattern, handler)
}

// Serve accepts connections until Close; it returns nil after Close.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve document stand-in")
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	return s.http.Close()
}

// QueueFault queues a fault for the next call. Calls without a queued fault succeed.
func (s *Server) QueueFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued = append(s.queued, fault)
}

// Calls returns the number of requests for the document so far.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Server) nextFault() Fault {
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

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	fault := s.nextFault()
	if fault.Delay > 0 && timing.Sleep(r.Context(), fault.Delay) != nil {
		return
	}
	switch {
	case fault.Drop:
		panic(http.ErrAbortHandler)
	case fault.Status != 0:
		w.WriteHeader(fault.Status)
	case fault.Body != "":
		_, _ = w.Write([]byte(fault.Body))
	default:
		s.writeDocument(w)
	}
}

func (s *Server) writeDocument(w http.ResponseWriter) {
	document, status := s.readDocument()
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	_ = json.NewEncoder(w).Encode(document)
}
