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
	// maxRejecters bounds the connections that are refused with an answer at a time; further ones are only closed.
	maxRejecters = 64
	// rejectTimeout bounds refusing one connection.
	rejectTimeout = time.Second
)

// limitedListener bounds the number of open connections. fasthttp's own limit answers without an outcome.
type limitedListener struct {
	net.Listener
	server   *Server
	open     atomic.Int64
	rejected chan struct{}
}

func (s *Server) limit(listener net.Listener) net.Listener {
	return &limitedListener{Listener: listener, server: s, rejected: make(chan struct{}, maxRejecters)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= int64(l.server.options.Limits.MaxConnections) {
			return &callerConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.reject(conn)
	}
}

func (l *limitedListener) reject(conn net.Conn) {
	l.server.options.Scope.Counter("rejected_connections").Inc(1)
	select {
	case l.rejected <- struct{}{}:
	default:
		_ = conn.Close()
		return
	}
	spawned := l.server.spawn(func() {
		defer func() { <-l.rejected }()
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(rejectTimeout))
		_, _ = conn.Write(tooManyConnections())
		// Closing with unread input resets the connection, and the caller could lose the answer.
		if half, ok := conn.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		_, _ = conn.Read(make([]byte, 4096))
	})
	if !spawned {
		_ = conn.Close()
	}
}

// tooManyConnections is the answer to a connection that is refused before its request was read.
func tooManyConnections() []byte {
	refusal := problem.New(problem.TypeOverloaded, http.StatusServiceUnavailable, problem.NotRun,
		"This instance has too many connections.")
	refusal.RequestID = uuid.NewString()
	body, err := json.Marshal(refusal)
	if err != nil {
		panic(err)
	}
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: %s\r\nContent-Length: %d\r\n"+
		"Retry-After: 1\r\n%s: %s\r\nConnection: close\r\n\r\n%s",
		problem.ContentType, len(body), headerRequestID, refusal.RequestID, body)
}

// callerConn bounds each write.
type callerConn struct {
	net.Conn
	listener *limitedListener
	closed   sync.Once
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
	c.closed.Do(func() { c.listener.open.Add(-1) })
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
