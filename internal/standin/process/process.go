// Package process emulates a server process that can crash and start again on the same address.
package process

import (
	"context"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/internal/timing"
)

const maxRequestBodyBytes = 256 << 20

// Process is one run of the server between its start and its end. Its context ends with it.
type Process struct {
	Context context.Context

	cancel   context.CancelFunc
	workers  conc.WaitGroup
	listener net.Listener

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	accepted int
	ended    bool
}

// Server runs one process after the other. It is safe for concurrent use.
type Server struct {
	handler func(*Process, *fasthttp.RequestCtx)
	started chan *Process
	workers conc.WaitGroup

	// transition is held over Down and Up, so that a process cannot start before the end of the last one was handled.
	transition sync.Mutex

	mu      sync.Mutex
	current *Process
	address string
	closed  bool
	// active counts the requests being handled; handled is signalled when it falls.
	active  int
	handled *sync.Cond
}

// NewServer returns a server that is not running.
func NewServer(handler func(*Process, *fasthttp.RequestCtx)) *Server {
	s := &Server{handler: handler, started: make(chan *Process, 1)}
	s.handled = sync.NewCond(&s.mu)
	return s
}

// Accepted returns the number of connections that the current process has accepted.
func (s *Server) Accepted() int {
	s.mu.Lock()
	p := s.current
	s.mu.Unlock()
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// Quiesce waits until no request is being handled, requests of ended processes included.
func (s *Server) Quiesce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.active > 0 {
		s.handled.Wait()
	}
}

func (s *Server) handle(p *Process, ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	s.active++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.active--
		s.handled.Broadcast()
		s.mu.Unlock()
	}()
	s.handler(p, ctx)
}

// Serve accepts connections until Close.
func (s *Server) Serve(listener net.Listener) error {
	s.begin(listener)
	s.serve()
	return nil
}

// Start serves on a free loopback port and returns the base URL.
func (s *Server) Start() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.begin(listener)
	s.workers.Go(s.serve)
	return "http://" + listener.Addr().String(), nil
}

func (s *Server) begin(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = listener.Addr().String()
	s.startLocked(listener)
}

func (s *Server) startLocked(listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	s.current = &Process{Context: ctx, cancel: cancel, listener: listener, conns: make(map[net.Conn]struct{})}
	s.started <- s.current
}

func (s *Server) serve() {
	for p := range s.started {
		server := &fasthttp.Server{
			Handler:               func(ctx *fasthttp.RequestCtx) { s.handle(p, ctx) },
			MaxRequestBodySize:    maxRequestBodyBytes,
			NoDefaultServerHeader: true,
			Logger:                log.New(io.Discard, "", 0),
		}
		_ = server.Serve(&trackedListener{Listener: p.listener, process: p})
	}
}

// Down ends the process: connections break and new ones are refused. The function runs when the process has ended.
func (s *Server) Down(ended func()) {
	s.transition.Lock()
	defer s.transition.Unlock()
	s.mu.Lock()
	p := s.current
	s.current = nil
	s.mu.Unlock()
	if p == nil {
		return
	}
	p.stop()
	p.workers.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	ended()
}

// Up starts a process after Down; it does nothing while one runs or after Close.
func (s *Server) Up() error {
	s.transition.Lock()
	defer s.transition.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.current != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.startLocked(listener)
	return nil
}

// Close ends the process for good, makes Serve return and waits for what Start began.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.started)
	}
	s.mu.Unlock()
	s.Down(func() {})
	s.workers.Wait()
}

// WhileAlive runs a change unless the process has ended; the function given to Down runs after all such changes.
func (s *Server) WhileAlive(p *Process, change func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != p {
		return false
	}
	change()
	return true
}

// Go runs work of the process in the background. It must be called in WhileAlive, so that Down waits for it.
func (p *Process) Go(work func()) {
	p.workers.Go(work)
}

// Wait waits; it returns false when the process ended first.
func (p *Process) Wait(span time.Duration) bool {
	return timing.Sleep(p.Context, span) == nil
}

// Drop closes the connection of a request without a response.
func Drop(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// Truncate replaces the response by its header and half of its body.
func Truncate(ctx *fasthttp.RequestCtx) {
	body := append([]byte(nil), ctx.Response.Body()...)
	ctx.Response.Header.SetContentLength(len(body))
	header := append([]byte(nil), ctx.Response.Header.Header()...)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		_, _ = conn.Write(append(header, body[:len(body)/2]...))
	})
}

func (p *Process) stop() {
	p.cancel()
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for conn := range p.conns {
		_ = conn.Close()
	}
}

// trackedListener registers connections with their process, so that they break when it ends.
type trackedListener struct {
	net.Listener
	process *Process
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.process.mu.Lock()
	defer l.process.mu.Unlock()
	if l.process.ended {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	l.process.accepted++
	l.process.conns[conn] = struct{}{}
	return &trackedConn{Conn: conn, process: l.process}, nil
}

type trackedConn struct {
	net.Conn
	process *Process
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.process.mu.Lock()
	delete(c.process.conns, c.Conn)
	c.process.mu.Unlock()
	return c.Conn.Close()
}
