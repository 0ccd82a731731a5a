package edge

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/clientconn"
)

// accept accepts connections until the listener is closed and serves each one in its own goroutine.
func (s *Server) accept(ctx context.Context, listener net.Listener) {
	var connections conc.WaitGroup
	defer connections.Wait()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			s.closeConnections()
			return
		}
		if err != nil {
			s.log.Warn("failed to accept a client connection", zap.Error(err))
			sleep(ctx, acceptRetryDelay)
			continue
		}
		client := s.newClientConn(conn)
		if !s.admit(client) {
			client.refuseConnection()
			continue
		}
		connections.Go(func() {
			defer s.conns.Remove(client.Conn)
			client.serve(ctx)
		})
	}
}

// acceptRetryDelay is the delay after a failed accept, for example when file descriptors have run out.
const acceptRetryDelay = 50 * time.Millisecond

// admit counts a connection. At the limit it closes another one, or refuses the new one.
func (s *Server) admit(c *clientConn) bool {
	settings := s.settings()
	limit := clientconn.ConnectionLimit(clientconn.DescriptorLimit(settings.MaxFDs), settings.MemoryMB, clientconn.ConnectionBytes)
	admitted, closedOne := s.conns.Admit(c.Conn, limit)
	if closedOne || !admitted {
		s.clientLimits.record(limitConnections, zap.Bool("refused", !admitted))
	}
	return admitted
}

// refuseConnection responds that the instance has too many connections, and closes the connection. It does not wait for the
// client.
func (c *clientConn) refuseConnection() {
	defer c.Close()
	c.LimitWrites(time.Now().Add(refuseTimeout))
	if c.writeOwnResponse(ownResponse{status: fasthttp.StatusServiceUnavailable, retryAfter: memoryRetryAfter, closeAfter: true}) == nil {
		c.EndRequest(false, 0)
	}
}

// refuseTimeout bounds the response to a refused connection, whose socket buffer is empty.
const refuseTimeout = 10 * time.Millisecond

func (s *Server) closeConnections() {
	for _, c := range s.conns.All() {
		c.Close()
	}
}
