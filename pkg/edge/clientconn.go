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
	// minReadBuffer bounds a request header when the configuration does not.
	minReadBuffer = 4 << 10
	// bodyTimeout bounds the time for a body once its header was read.
	bodyTimeout = 30 * time.Second
	// lingerAfterFailure is how long unread bytes of a client are read before the connection is closed, because closing with
	// unread bytes resets the connection and may destroy the response.
	lingerAfterFailure = 500 * time.Millisecond
)

// defaultClientLimits hold until a configuration is in force.
var defaultClientLimits = routing.ClientLimits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   4 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// clientConn is one connection of a client. Its goroutine reads requests; while one is handled, it waits for the next
// byte, so that a client that leaves is seen at once.
type clientConn struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer

	mu   sync.Mutex
	busy bool
	// closing is set once no further request may be handled.
	closing bool
}

func (s *Server) newClientConn(conn net.Conn) *clientConn {
	size := max(s.limits().MaxHeaderBytes, minReadBuffer)
	return &clientConn{
		server: s,
		conn:   conn,
		reader: bufio.NewReaderSize(conn, size),
		writer: bufio.NewWriterSize(conn, minReadBuffer),
	}
}

// serve handles the requests of the connection until it ends.
func (c *clientConn) serve(ctx context.Context) {
	defer c.close()
	c.setReadDeadline(c.server.limits().IdleTimeout)
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		if !c.begin() {
			return
		}
		if !c.serveOne(ctx) {
			return
		}
	}
}

// begin marks the connection as busy unless it is closing.
func (c *clientConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.busy = true
	return true
}

// closeIfIdle closes the connection when no request is being read or handled.
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

// writeSlack is added to a request's deadline as the bound of writing its answer, so that a client that does not read does
// not hold a request for ever.
const writeSlack = time.Second

func (c *clientConn) setWriteDeadline(deadline time.Time) {
	if err := c.conn.SetWriteDeadline(deadline.Add(writeSlack)); err != nil {
		c.server.log.Debug("set write deadline", zap.Error(err))
	}
}

// serveOne reads and handles one request. It returns false when the connection must be closed.
func (c *clientConn) serveOne(ctx context.Context) bool {
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
	keep := false
	var handling conc.WaitGroup
	handling.Go(func() {
		keep = c.server.handle(requestCtx, c, req)
		c.finish(keep, limits.IdleTimeout)
	})
	if _, err := c.reader.Peek(1); err != nil {
		cancel()
		handling.Wait()
		return false
	}
	handling.Wait()
	return keep
}

// finish ends a request: the wait for the next one is bounded, or the connection is closed, which ends that wait.
func (c *clientConn) finish(keep bool, idle time.Duration) {
	c.mu.Lock()
	c.busy = false
	closing := c.closing
	c.mu.Unlock()
	if !keep || closing {
		c.shutdownWrite()
		c.setReadDeadline(lingerAfterFailure)
		return
	}
	c.setReadDeadline(idle)
}

// shutdownWrite tells the client that no more bytes come.
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

// readRequest reads a header within its timeout and then the body.
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

// reject answers a request that could not be read, if there is something to answer.
func (c *clientConn) reject(err error) {
	status := 0
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, io.EOF), isTimeout(err), errors.Is(err, net.ErrClosed):
		return
	case errors.As(err, &small):
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
	if c.writeOwn(ownAnswer{status: status, close: true}) == nil {
		c.shutdownWrite()
		c.setReadDeadline(lingerAfterFailure)
		_, _ = io.Copy(io.Discard, c.reader)
	}
}
