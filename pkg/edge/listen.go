package edge

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"
)

// controlConcurrency bounds the connections of the readiness and the metrics listener.
const controlConcurrency = 64

// listenReady serves the load balancer's readiness checks.
func (s *Server) listenReady(address string) (*fasthttp.Server, error) {
	return s.listenControl(address, func(ctx *fasthttp.RequestCtx) {
		if !s.ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	})
}

// listenMetrics serves the metrics as text; without an address or a handler there is no listener.
func (s *Server) listenMetrics(address string) (*fasthttp.Server, error) {
	if address == "" || s.parts.Metrics == nil {
		return nil, nil
	}
	return s.listenControl(address, fasthttpadaptor.NewFastHTTPHandler(s.parts.Metrics))
}

func (s *Server) listenControl(address string, handler fasthttp.RequestHandler) (*fasthttp.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %q", address)
	}
	server := &fasthttp.Server{
		Handler:               handler,
		ReadBufferSize:        minReadBuffer,
		Concurrency:           controlConcurrency,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	s.control.Go(func() {
		if err := server.Serve(listener); err != nil {
			s.log.Warn("listener ended", zap.String("address", address), zap.Error(err))
		}
	})
	return server, nil
}

// shutdown stops a listener; nil is allowed.
func (s *Server) shutdown(server *fasthttp.Server) {
	if server == nil {
		return
	}
	if err := server.Shutdown(); err != nil {
		s.log.Debug("close listener", zap.Error(err))
	}
}
