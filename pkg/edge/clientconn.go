package edge

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/clientconn"
	"github.com/mulberryglade/mulberryglade/pkg/membudget"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

// minReadBufferBytes is the size of the read buffers of the readiness and metrics listeners.
const minReadBufferBytes = 4 << 10

// defaultClientLimits apply until a configuration is in force, and to limits that it does not set.
var defaultClientLimits = routing.ClientLimits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   4 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

const (
	// stallTimeout is the time in which a body must bring minBodyBytesPerSecond on average, and a client must accept a byte
	// of a response. It is the default idle timeout, so that a client that keeps to that does not reach it.
	stallTimeout = 15 * time.Second
	// minBodyBytesPerSecond is far below what a client can use: the largest body would take over an hour, and no request
	// may take more than a minute.
	minBodyBytesPerSecond = 1 << 10
	// rejectTimeout bounds the time to write the response to a request that was not read completely.
	rejectTimeout = time.Second
	// memoryRetryAfter is the Retry-After time if memory is used up. Evicted bodies free it within a fraction of a second.
	memoryRetryAfter = time.Second
)

func connLimits(limits routing.ClientLimits) clientconn.Limits {
	return clientconn.Limits{
		MaxHeaderBytes: limits.MaxHeaderBytes, MaxBodyBytes: limits.MaxBodyBytes, HeaderTimeout: limits.HeaderTimeout,
		StallTimeout: stallTimeout, MinBytesPerSecond: minBodyBytesPerSecond,
	}
}

// clientConn is one connection of a client. Its goroutine reads requests. While a request is handled, the goroutine
// waits for the next byte, so that it notices at once when the client closes the connection.
type clientConn struct {
	*clientconn.Conn
	server *Server
}

func (s *Server) newClientConn(conn net.Conn) *clientConn {
	c := &clientConn{server: s, Conn: clientconn.New(conn, s.deps.Pool.Memory())}
	c.OnUnread = func() { s.clientLimits.record(limitUnread) }
	return c
}

// serve serves the requests of the connection until it ends.
func (c *clientConn) serve(ctx context.Context) {
	defer c.Release()
	c.WaitIdle(c.server.limits().IdleTimeout)
	for c.Await() == nil && c.Begin() && c.serveRequest(ctx) {
	}
}

// writeGracePeriod is the time after a request's deadline in which its response may still be written. The bound
// prevents a client that does not read from blocking a request forever.
const writeGracePeriod = time.Second

func (c *clientConn) setWriteDeadline(deadline time.Time) {
	c.LimitWrites(deadline.Add(writeGracePeriod))
}

// serveRequest reads and handles one request. It returns false when the connection must be closed.
func (c *clientConn) serveRequest(ctx context.Context) bool {
	limits := c.server.limits()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := c.ReadRequest(ctx, req, connLimits(limits)); err != nil {
		c.reject(err)
		return false
	}
	requestCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	keepOpen := false
	var handling conc.WaitGroup
	handling.Go(func() {
		keepOpen = c.server.handle(requestCtx, c, req)
		c.EndRequest(keepOpen, limits.IdleTimeout)
	})
	if c.Await() != nil {
		cancel()
		handling.Wait()
		return false
	}
	handling.Wait()
	if !keepOpen {
		c.Linger()
	}
	return keepOpen
}

// rejection returns the response to a request that could not be read, and the limit that it violates. The status is zero
// if the connection failed or ended, so that nothing is sent.
func rejection(err error) (ownResponse, string) {
	var smallBuffer *fasthttp.ErrSmallBuffer
	var netErr net.Error
	response := ownResponse{closeAfter: true}
	switch {
	case errors.Is(err, membudget.ErrEvicted), errors.Is(err, membudget.ErrExhausted):
		response.status, response.retryAfter = fasthttp.StatusServiceUnavailable, memoryRetryAfter
		return response, limitMemory
	case errors.Is(err, clientconn.ErrTooSlow):
		response.status = fasthttp.StatusRequestTimeout
		return response, limitRate
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		return response, ""
	case errors.As(err, &smallBuffer):
		response.status = fasthttp.StatusRequestHeaderFieldsTooLarge
		return response, limitHead
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		response.status = fasthttp.StatusRequestEntityTooLarge
		return response, limitBody
	case errors.As(err, &netErr):
		return response, ""
	}
	response.status = fasthttp.StatusBadRequest
	return response, ""
}

// reject responds to a request that could not be read, which has not been sent to any endpoint.
func (c *clientConn) reject(err error) {
	response, limit := rejection(err)
	if response.status == 0 {
		return
	}
	c.DropRequest()
	if limit == "" {
		// The error quotes the header, which may have an API key.
		c.server.log.Info("request rejected", zap.Int("status", response.status), zap.String("reason", "malformed request"))
	} else {
		c.server.clientLimits.record(limit, zap.Int("status", response.status))
	}
	c.LimitWrites(time.Now().Add(rejectTimeout))
	if c.writeOwnResponse(response) == nil {
		c.EndRequest(false, 0)
		c.Linger()
	}
}
