// Package process emulates a server process that can crash and restart on the same address.
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

// Process is one run of the server, from start to end. Context ends when the run ends.
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

// Server runs one process or none. It is safe for concurrent use.
type Server struct {
	handler          func(*Process, *fasthttp.RequestCtx)
	startedProcesses chan *Process
	workers          conc.WaitGroup

	// transitionMu is held during Down and Up, so that a process cannot start before afterEnd of the previous one has
	// run.
	transitionMu sync.Mutex

	mu      sync.Mutex
	current *Process
	address string
	closed  bool
	// activeRequests is the number of requests being handled; requestDone is signalled when it falls.
	activeRequests int
	requestDone    *sync.Cond
}

// NewServer returns a server that is not running.
func NewServer(handler func(*Process, *fasthttp.RequestCtx)) *Server {
	s := &Server{handler: handler, startedProcesses: make(chan *Process, 1)}
	s.requestDone = sync.NewCond(&s.mu)
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

// WaitIdle waits until no request is being handled, including requests of ended processes.
func (s *Server) WaitIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.activeRequests > 0 {
		s.requestDone.Wait()
	}
}

func (s *Server) handle(p *Process, ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	s.activeRequests++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.activeRequests--
		s.requestDone.Broadcast()
		s.mu.Unlock()
	}()
	s.handler(p, ctx)
}

// Serve accepts connections until Close.
func (s *Server) Serve(listener net.Listener) error {
	s.startOn(listener)
	s.serve()
	return nil
}

// Start serves on a free loopback port and returns the base URL.
func (s *Server) Start() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.startOn(listener)
	s.workers.Go(s.serve)
	return "http://" + listener.Addr().String(), nil
}

func (s *Server) startOn(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = listener.Addr().String()
	s.startLocked(listener)
}

func (s *Server) startLocked(listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	s.current = &Process{Context: ctx, cancel: cancel, listener: listener, conns: make(map[net.Conn]struct{})}
	s.startedProcesses <- s.current
}

func (s *Server) serve() {
	for p := range s.startedProcesses {
		server := &fasthttp.Server{
			Handler:               func(ctx *fasthttp.RequestCtx) { s.handle(p, ctx) },
			MaxRequestBodySize:    maxRequestBodyBytes,
			NoDefaultServerHeader: true,
			Logger:                log.New(io.Discard, "", 0),
		}
		_ = server.Serve(&trackedListener{Listener: p.listener, process: p})
	}
}

// Down ends the process: its connections are closed and new ones are refused. afterEnd runs once the process has ended;
// it does not run if there is no process.
func (s *Server) Down(afterEnd func()) {
	s.transitionMu.Lock()
	defer s.transitionMu.Unlock()
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
	afterEnd()
}

// Up starts a process after Down. It does nothing while a process is running or after Close.
func (s *Server) Up() error {
	s.transitionMu.Lock()
	defer s.transitionMu.Unlock()
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

// Close ends the process permanently, makes Serve return and waits for the goroutine of Start.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.startedProcesses)
	}
	s.mu.Unlock()
	s.Down(func() {})
	s.workers.Wait()
}

// IfRunning runs a change and returns true, or returns false if the process has ended. The function passed to Down runs
// after all such changes.
func (s *Server) IfRunning(p *Process, change func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != p {
		return false
	}
	change()
	return true
}

// Go runs work in a goroutine of the process. It must be called within IfRunning, so that Down waits for the goroutine.
func (p *Process) Go(work func()) {
	p.workers.Go(work)
}

// Sleep waits for the duration. It returns false if the process ends first.
func (p *Process) Sleep(duration time.Duration) bool {
	return timing.Sleep(p.Context, duration) == nil
}

// Drop closes the connection of a request without sending a response.
func Drop(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// Truncate sends the header and half of the body of the response, then closes the connection.
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

// trackedListener registers connections with their process, which closes them when it ends.
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
