package edge

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"
)

// The limits of the readiness listener and of the metrics listener, whose requests have no bodies. Anyone who reaches their
// addresses may send others.
const (
	// maxControlConnections bounds the connections of each.
	maxControlConnections = 64
	maxControlBodyBytes   = 1 << 10
	// controlReadTimeout bounds the time to read a request, controlWriteTimeout that to write the response.
	controlReadTimeout  = 3 * time.Second
	controlWriteTimeout = 3 * time.Second
	controlIdleTimeout  = 15 * time.Second
)

// listenReady starts the listener for the load balancer's readiness checks.
func (s *Server) listenReady(address string) (*fasthttp.Server, error) {
	return s.listenControl(address, func(ctx *fasthttp.RequestCtx) {
		if !s.ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	})
}

// listenMetrics starts the listener that serves the metrics as text. It returns nil without an address or a handler.
func (s *Server) listenMetrics(address string) (*fasthttp.Server, error) {
	if address == "" || s.deps.Metrics == nil {
		return nil, nil
	}
	return s.listenControl(address, fasthttpadaptor.NewFastHTTPHandler(s.deps.Metrics))
}

func (s *Server) listenControl(address string, handler fasthttp.RequestHandler) (*fasthttp.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %q", address)
	}
	server := &fasthttp.Server{
		Handler:               handler,
		ReadBufferSize:        minReadBufferBytes,
		Concurrency:           maxControlConnections,
		MaxRequestBodySize:    maxControlBodyBytes,
		ReadTimeout:           controlReadTimeout,
		WriteTimeout:          controlWriteTimeout,
		IdleTimeout:           controlIdleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	s.controlListeners.Go(func() {
		if err := server.Serve(listener); err != nil {
			s.log.Warn("listener stopped", zap.String("address", address), zap.Error(err))
		}
	})
	return server, nil
}

// shutdownListener stops a listener; server may be nil.
func (s *Server) shutdownListener(server *fasthttp.Server) {
	if server == nil {
		return
	}
	if err := server.Shutdown(); err != nil {
		s.log.Debug("failed to close a listener", zap.Error(err))
	}
}
