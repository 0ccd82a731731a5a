package edge

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
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
		s.track(client)
		connections.Go(func() {
			defer s.untrack(client)
			client.serve(ctx)
		})
	}
}

// acceptRetryDelay is the delay after a failed accept, for example when file descriptors have run out.
const acceptRetryDelay = 50 * time.Millisecond

func (s *Server) track(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) untrack(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) connections() []*clientConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*clientConn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

func (s *Server) closeConnections() {
	for _, c := range s.connections() {
		c.close()
	}
}
