package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

// clientRequest is one request of a client from its arrival to its end.
type clientRequest struct {
	server   *Server
	conn     *clientConn
	ctx      context.Context
	req      *fasthttp.Request
	request  Request
	table    *routing.Table
	route    *routing.Route
	service  *routing.Service
	arrived  time.Time
	deadline time.Time
	log      *zap.Logger

	// sends counts the endpoints to which the request was handed; tried lists them and those that were unreachable.
	sends int
	tried []string
	// obstacle is why no endpoint was chosen at last.
	obstacle fleet.Obstacle
	// waitsFor is the obstacle for which the request was last logged to wait; a request never waits for NoEndpoint.
	waitsFor fleet.Obstacle
	// urged is set once the instance that places models was told early that this request waits.
	urged bool
	// mayHaveRun is set once an endpoint may have begun to work on the request.
	mayHaveRun bool
}

// handle serves one request and tells whether the connection may be used again.
func (s *Server) handle(ctx context.Context, c *clientConn, req *fasthttp.Request) bool {
	s.active.Add(1)
	defer s.active.Add(-1)
	arrived := time.Now()
	request := s.parts.Wire.DecodeRequest(&req.Header)
	log := s.log.With(zap.String("request", request.ID))
	closing := s.draining.Load() || req.Header.ConnectionClose()
	if s.isRefusing() {
		log.Info("refused: stopping")
		return s.answer(c, log, ownAnswer{status: fasthttp.StatusServiceUnavailable, close: true})
	}
	table := s.table.Load()
	if table == nil {
		log.Info("refused: no configuration yet")
		return s.answer(c, log, ownAnswer{status: fasthttp.StatusServiceUnavailable, retryAfter: startRetryAfter, close: closing})
	}
	route := table.Lookup(string(req.Header.Host()), pathOf(req.Header.RequestURI()))
	if route == nil {
		log.Info("refused: no route", zap.Int64("configuration", table.Config.Version))
		return s.answer(c, log, ownAnswer{status: fasthttp.StatusNotFound, close: closing})
	}
	x := &clientRequest{
		server:   s,
		conn:     c,
		ctx:      ctx,
		req:      req,
		request:  request,
		table:    table,
		route:    route,
		service:  s.chooseService(table, route),
		arrived:  arrived,
		deadline: arrived.Add(patience(request.Remaining, route.Timeout)),
		log:      log,
	}
	c.setWriteDeadline(x.deadline)
	return x.run(closing)
}

// startRetryAfter is told while an instance has no configuration; reading it takes well under a second.
const startRetryAfter = time.Second

// defaultPatience bounds a request when neither the client nor the route does.
const defaultPatience = 60 * time.Second

func patience(remaining, timeout time.Duration) time.Duration {
	limit := defaultPatience
	if remaining > 0 {
		limit = min(limit, remaining)
	}
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	return limit
}

// pathOf returns the path of a request target without its query.
func pathOf(target []byte) string {
	for i, b := range target {
		if b == '?' {
			return string(target[:i])
		}
	}
	return string(target)
}

// answer writes an answer of this system.
func (s *Server) answer(c *clientConn, log *zap.Logger, a ownAnswer) bool {
	if err := c.writeOwn(a); err != nil {
		log.Debug("answer not delivered", zap.Error(err))
		return false
	}
	return !a.close
}

// run serves the request. It returns false when the connection must be closed.
func (x *clientRequest) run(closing bool) bool {
	if x.service == nil {
		x.log.Warn("refused: the route names no service", zap.String("route", x.route.Name))
		return x.refuse(startRetryAfter, "no service", closing)
	}
	x.server.parts.Budget.Requested(x.service.Name, x.arrived)
	x.server.demand.note(x.service.Name, &x.request, x.server.paces.of(x.service.Name), x.arrived)
	if x.route.Kind == routing.Streaming {
		return x.stream(closing)
	}
	return x.plain(closing)
}

func (x *clientRequest) fleetDemand(now time.Time) *fleet.Demand {
	demand := &fleet.Demand{
		Service:      x.service.Name,
		Model:        x.request.Model,
		Adapter:      x.request.Adapter,
		PromptTokens: x.request.PromptTokens,
		OutputTokens: cmp.Or(x.request.ExpectedOutput, x.request.OutputTokens),
		Parts:        x.request.Parts,
		Exclude:      x.tried,
	}
	if x.service.Engine == nil {
		return demand
	}
	demand.Spread, demand.Random = x.server.spread(x.service.Name, demand.PromptTokens), rand.Float64
	demand.Within, demand.MaxPrefillShare = x.usefulTime(now), prefillShare
	if demand.Within < minimumAttempt {
		x.makeLate(demand, now)
	}
	return demand
}

// makeLate turns the demand into that of a request that cannot be in time.
func (x *clientRequest) makeLate(demand *fleet.Demand, now time.Time) {
	demand.Late = true
	left := x.deadline.Sub(now) - time.Duration(demand.OutputTokens)*loadedStep
	demand.Within = min(time.Duration(float64(x.deadline.Sub(now))*lateShare), left)
	demand.MaxPrefillShare = latePrefillShare
}

const (
	// prefillShare is the part of an engine's time that requests may take for prompts while they can be in time.
	prefillShare = 0.95
	// latePrefillShare is the part that requests which are late anyway may take, so that they do not make others late.
	latePrefillShare = 0.85
	// inTimeShare of the time left until the target is planned with; estimates are a little off.
	inTimeShare = 0.85
	// loadedStep is the time for one token at an engine that reads prompts most of the time.
	loadedStep = 40 * time.Millisecond
	// lateShare of the time left until the deadline is planned with for a first token that is late.
	lateShare = 0.45
)

// usefulTime returns the time in which the first token is in time. The target counts from the client's first attempt; one
// that comes back has less time left than the route allows.
func (x *clientRequest) usefulTime(now time.Time) time.Duration {
	before := time.Duration(0)
	if x.request.Remaining > 0 {
		before = max(x.route.Timeout-x.request.Remaining, 0)
	}
	target := x.arrived.Add(x.route.TargetLatency - before)
	left := time.Duration(float64(target.Sub(now)) * inTimeShare)
	return min(left, x.deadline.Sub(now))
}

// mayRepeat tells whether the request may be sent once more after a send, and spends the budget if so.
func (x *clientRequest) mayRepeat(now time.Time) bool {
	switch {
	case x.ctx.Err() != nil, x.sends >= x.route.MaxAttempts:
		return false
	case x.mayHaveRun && !x.route.Repeatable():
		return false
	case !x.deadline.After(now.Add(minimumAttempt)):
		return false
	case x.sends == 0:
		return true
	}
	return x.server.parts.Budget.Take(x.service.Name, now)
}

// minimumAttempt is the least time in which a send can be of use.
const minimumAttempt = 20 * time.Millisecond

// fail ends the request without an endpoint's answer. A request that has certainly not run is refused with a promise;
// any other failure promises nothing.
func (x *clientRequest) fail(reason string, retryAfter time.Duration, closing bool) bool {
	if x.clientLeft() {
		x.log.Info("client left", zap.Duration("after", time.Since(x.arrived)))
		x.finished(x.server.metrics.left)
		return false
	}
	if !x.mayHaveRun {
		return x.refuse(retryAfter, reason, closing)
	}
	status := fasthttp.StatusBadGateway
	if !x.deadline.After(time.Now()) {
		status = fasthttp.StatusGatewayTimeout
	}
	x.log.Warn("failed: outcome unknown", zap.String("reason", reason), zap.Int("status", status),
		zap.Strings("tried", x.tried), zap.Duration("after", time.Since(x.arrived)))
	x.finished(x.server.metrics.failed)
	return x.server.answer(x.conn, x.log, ownAnswer{status: status, close: closing})
}

// finished counts the end of the request.
func (x *clientRequest) finished(end tally.Counter) {
	end.Inc(1)
	x.server.metrics.response.RecordDuration(time.Since(x.arrived))
}

// countSend counts a request that was handed to an endpoint.
func (x *clientRequest) countSend() {
	x.sends++
	x.server.metrics.sends.Inc(1)
	if x.sends > 1 {
		x.server.metrics.repeats.Inc(1)
	}
}

// clientLeft tells whether the request ended because the client closed its connection.
func (x *clientRequest) clientLeft() bool {
	return x.ctx.Err() != nil && !errors.Is(context.Cause(x.ctx), errStopping)
}

// refuse tells the client that the request has not run and when to come back.
func (x *clientRequest) refuse(retryAfter time.Duration, reason string, closing bool) bool {
	x.finished(x.server.metrics.refused)
	x.log.Info("refused: not run", zap.String("route", x.route.Name), zap.String("model", x.request.Model),
		zap.String("adapter", x.request.Adapter), zap.String("reason", reason), zap.Stringer("obstacle", x.obstacle),
		zap.Int64("configuration", x.table.Config.Version), zap.Duration("retryAfter", retryAfter),
		zap.Strings("tried", x.tried), zap.Duration("after", time.Since(x.arrived)))
	return x.server.answer(x.conn, x.log, ownAnswer{status: fasthttp.StatusServiceUnavailable, retryAfter: retryAfter, close: closing})
}
