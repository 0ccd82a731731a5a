package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

const (
	// minReadBufferBytes is the minimum size of a connection's read buffer, which bounds a request header.
	minReadBufferBytes = 4 << 10
	// bodyTimeout bounds the time to read a request body after its header.
	bodyTimeout = 30 * time.Second
	// lingerTimeout bounds how long a connection that is to be closed is still read. Closing it with unread bytes
	// resets the connection, and the client may lose the response.
	lingerTimeout = 500 * time.Millisecond
)

// defaultClientLimits apply until a configuration is in force, and to limits that it does not set.
var defaultClientLimits = routing.ClientLimits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   4 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// clientConn is one connection of a client. Its goroutine reads requests. While a request is handled, the goroutine
// waits for the next byte, so that it notices at once when the client closes the connection.
type clientConn struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer

	mu   sync.Mutex
	busy bool
	// closing is set when no further request may be served.
	closing bool
}

func (s *Server) newClientConn(conn net.Conn) *clientConn {
	size := max(s.limits().MaxHeaderBytes, minReadBufferBytes)
	return &clientConn{
		server: s,
		conn:   conn,
		reader: bufio.NewReaderSize(conn, size),
		writer: bufio.NewWriterSize(conn, minReadBufferBytes),
	}
}

// serve serves the requests of the connection until it ends.
func (c *clientConn) serve(ctx context.Context) {
	defer c.close()
	c.setReadDeadline(c.server.limits().IdleTimeout)
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		if !c.beginRequest() {
			return
		}
		if !c.serveRequest(ctx) {
			return
		}
	}
}

// beginRequest marks the connection as busy. It returns false if the connection is closing.
func (c *clientConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.busy = true
	return true
}

// closeIfIdle closes the connection if no request is being read or handled.
func (c *clientConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		c.closing = true
		_ = c.conn.Close()
	}
}

func (c *clientConn) close() {
	_ = c.conn.Close()
}

func (c *clientConn) setReadDeadline(d time.Duration) {
	if err := c.conn.SetReadDeadline(time.Now().Add(d)); err != nil {
		c.server.log.Debug("set read deadline", zap.Error(err))
	}
}

// writeGracePeriod is the time after a request's deadline in which its response may still be written. The bound
// prevents a client that does not read from blocking a request forever.
const writeGracePeriod = time.Second

func (c *clientConn) setWriteDeadline(deadline time.Time) {
	if err := c.conn.SetWriteDeadline(deadline.Add(writeGracePeriod)); err != nil {
		c.server.log.Debug("set write deadline", zap.Error(err))
	}
}

// serveRequest reads and handles one request. It returns false when the connection must be closed.
func (c *clientConn) serveRequest(ctx context.Context) bool {
	limits := c.server.limits()
	c.setReadDeadline(limits.HeaderTimeout)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := c.readRequest(req, limits); err != nil {
		c.reject(err)
		return false
	}
	requestCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	keepOpen := false
	var handling conc.WaitGroup
	handling.Go(func() {
		keepOpen = c.server.handle(requestCtx, c, req)
		c.finishRequest(keepOpen, limits.IdleTimeout)
	})
	if _, err := c.reader.Peek(1); err != nil {
		cancel()
		handling.Wait()
		return false
	}
	handling.Wait()
	return keepOpen
}

// finishRequest marks the connection as idle and bounds the wait for the next request by idleTimeout. If there must be
// no next request, it closes the write side and bounds the wait by lingerTimeout instead.
func (c *clientConn) finishRequest(keepOpen bool, idleTimeout time.Duration) {
	c.mu.Lock()
	c.busy = false
	closing := c.closing
	c.mu.Unlock()
	if !keepOpen || closing {
		c.shutdownWrite()
		c.setReadDeadline(lingerTimeout)
		return
	}
	c.setReadDeadline(idleTimeout)
}

// shutdownWrite closes the write side of the connection.
func (c *clientConn) shutdownWrite() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		return
	}
	_ = c.conn.Close()
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// readRequest reads the header and the body of a request. The caller has set the deadline for the header.
func (c *clientConn) readRequest(req *fasthttp.Request, limits routing.ClientLimits) error {
	if err := req.Header.Read(c.reader); err != nil {
		return err
	}
	c.setReadDeadline(bodyTimeout)
	if req.MayContinue() {
		if _, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	return req.ContinueReadBody(c.reader, limits.MaxBodyBytes, false)
}

// reject responds to a request that could not be read. It sends nothing if the connection failed, ended or timed out.
func (c *clientConn) reject(err error) {
	status := 0
	var smallBuffer *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, io.EOF), isTimeout(err), errors.Is(err, net.ErrClosed):
		return
	case errors.As(err, &smallBuffer):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	default:
		var netErr net.Error
		if errors.As(err, &netErr) {
			return
		}
		status = fasthttp.StatusBadRequest
	}
	c.server.log.Info("request rejected", zap.Int("status", status), zap.Error(err))
	if c.writeOwnResponse(ownResponse{status: status, closeAfter: true}) == nil {
		c.shutdownWrite()
		c.setReadDeadline(lingerTimeout)
		_, _ = io.Copy(io.Discard, c.reader)
	}
}
