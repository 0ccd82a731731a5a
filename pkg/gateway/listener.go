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
	openConns   atomic.Int64
	rejectSlots chan struct{}
}

func (s *Server) limitConnections(listener net.Listener) net.Listener {
	return &limitedListener{Listener: listener, server: s, rejectSlots: make(chan struct{}, maxConcurrentRejections)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openConns.Add(1) <= int64(l.server.options.Limits.MaxConnections) {
			return &callerConn{Conn: conn, listener: l}, nil
		}
		l.openConns.Add(-1)
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
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	deadline := time.Now().Add(c.listener.server.options.Limits.WriteTimeout)
	if err := c.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.closeOnce.Do(func() { c.listener.openConns.Add(-1) })
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn for httpconn.PeerClosed.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return socket.SyscallConn()
}
