package gateway

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/mulberryglade/mulberryglade/pkg/clientconn"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

const (
	// maxConcurrentRejections bounds the connections that are rejected with a response at the same time. Further ones are
	// closed without a response.
	maxConcurrentRejections = 64
	// rejectTimeout bounds the time to send the response to a rejected connection.
	rejectTimeout = time.Second
)

// limitedListener limits the number of open connections. It replaces fasthttp's own limit, whose response has no
// outcome.
type limitedListener struct {
	net.Listener
	server      *Server
	conns       *clientconn.Group[*callerConn]
	rejectSlots chan struct{}
}

func (s *Server) limitConnections(listener net.Listener) net.Listener {
	return &limitedListener{Listener: listener, server: s, conns: clientconn.NewGroup[*callerConn](), rejectSlots: make(chan struct{}, maxConcurrentRejections)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		caller := &callerConn{Conn: conn, listener: l, since: time.Now()}
		admitted, closedOne := l.conns.Admit(caller, l.server.options.Limits.MaxConnections)
		if closedOne {
			l.server.options.Scope.Counter("displaced_connections").Inc(1)
		}
		if admitted {
			return caller, nil
		}
		l.reject(conn)
	}
}

func (l *limitedListener) reject(conn net.Conn) {
	l.server.options.Scope.Counter("rejected_connections").Inc(1)
	select {
	case l.rejectSlots <- struct{}{}:
	default:
		_ = conn.Close()
		return
	}
	spawned := l.server.runInBackground(func() {
		defer func() { <-l.rejectSlots }()
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(rejectTimeout))
		_, _ = conn.Write(tooManyConnectionsResponse())
		// Closing a connection with unread input resets it, and the caller could lose the response.
		if halfCloser, ok := conn.(interface{ CloseWrite() error }); ok {
			_ = halfCloser.CloseWrite()
		}
		_, _ = conn.Read(make([]byte, 4096))
	})
	if !spawned {
		_ = conn.Close()
	}
}

// tooManyConnectionsResponse returns the HTTP response for a connection that is rejected before its request is read.
func tooManyConnectionsResponse() []byte {
	rejection := problem.New(problem.TypeOverloaded, http.StatusServiceUnavailable, problem.NotRun,
		"This instance has too many connections.")
	rejection.RequestID = uuid.NewString()
	body, err := json.Marshal(rejection)
	if err != nil {
		panic(err)
	}
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: %s\r\nContent-Length: %d\r\n"+
		"Retry-After: 1\r\n%s: %s\r\nConnection: close\r\n\r\n%s",
		problem.ContentType, len(body), headerRequestID, rejection.RequestID, body)
}

// callerConn is a caller's connection that sets a deadline for each write and counts as open until it is closed.
type callerConn struct {
	net.Conn
	listener  *limitedListener
	closeOnce sync.Once
	// lingers is set if the caller may still send a body that nobody reads, so that the connection is read for a while
	// before it is closed. Closing it with unread bytes resets it, and the caller could lose the response.
	lingers atomic.Bool

	mu     sync.Mutex
	phase  clientconn.Phase
	since  time.Time
	served bool
	// handling is set while a handler runs, which may read the body.
	handling bool
}

// State implements clientconn.Member.
func (c *callerConn) State(now time.Time) clientconn.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return clientconn.State{Phase: c.phase, Served: c.served, Age: now.Sub(c.since)}
}

// CloseIn implements clientconn.Member.
func (c *callerConn) CloseIn(phase clientconn.Phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phase {
		return false
	}
	_ = c.Conn.Close()
	return true
}

// enter changes the phase. Outside of a handler, a read means that the response before it is complete.
func (c *callerConn) enter(phase clientconn.Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.handling && c.phase != phase {
		c.phase, c.since = phase, time.Now()
	}
}

// beginRequest marks that a complete head has arrived, which a handler serves.
func (c *callerConn) beginRequest() {
	c.enter(clientconn.Busy)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling, c.served = true, true
}

// endHandler marks that the handler has returned. The connection stays busy until its response is written.
func (c *callerConn) endHandler() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = false
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if !c.handling && c.phase == clientconn.Busy {
		c.phase, c.since = clientconn.Idle, time.Now()
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.enter(clientconn.ReadingHead)
	}
	return n, err
}

// maxWriteBytes bounds one write, so that a caller that reads a long response slowly makes progress within the time-out.
const maxWriteBytes = 64 << 10

// Write implements net.Conn. The time-out is that of each part of maxWriteBytes.
func (c *callerConn) Write(p []byte) (int, error) {
	written := 0
	for {
		deadline := time.Now().Add(c.listener.server.options.Limits.WriteTimeout)
		if err := c.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+maxWriteBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	err := error(nil)
	c.closeOnce.Do(func() {
		if !c.lingers.Load() || !c.listener.server.runInBackground(func() { _ = c.lingerAndClose() }) {
			err = c.closeNow()
		}
	})
	return err
}

func (c *callerConn) closeNow() error {
	c.listener.conns.Remove(c)
	return c.Conn.Close()
}

func (c *callerConn) lingerAndClose() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	c.mu.Lock()
	c.phase, c.since = clientconn.Closing, time.Now()
	c.mu.Unlock()
	clientconn.Discard(c.Conn)
	return c.closeNow()
}

// SyscallConn implements syscall.Conn for httpconn.PeerClosed.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return socket.SyscallConn()
}
