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
	"github.com/mulberryglade/mulberryglade/pkg/membudget"
	"github.com/mulberryglade/mulberryglade/pkg/quota"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

// clientRequest is the state of one client request.
type clientRequest struct {
	server      *Server
	conn        *clientConn
	ctx         context.Context
	httpRequest *fasthttp.Request
	request     Request
	table       *routing.Table
	route       *routing.Route
	service     *routing.Service
	// workspace is nil if the request has none.
	workspace *routing.Workspace
	arrivedAt time.Time
	deadline  time.Time
	log       *zap.Logger
	// memory is what this request and the endpoints' responses to it occupy.
	memory *membudget.Reservation

	// keyCheck is the result of the last check of the API key, by the configuration checkedTable. workspaceChanged is set
	// if the key belongs to another workspace there.
	keyCheck         routing.KeyCheck
	checkedTable     *routing.Table
	workspaceChanged bool

	fairness fairness
	// sends counts the sends that may have reached an endpoint. tried lists the endpoints of these sends and those that
	// were unreachable.
	sends int
	tried []string
	// endedAttempt has the log fields of an attempt that ended without an answer and is not logged yet.
	endedAttempt []zap.Field
	// obstacle is the reason why the most recent choice found no endpoint.
	obstacle fleet.Obstacle
	// loggedObstacle is the last obstacle for which a wait was logged. A request never waits for NoEndpoint.
	loggedObstacle fleet.Obstacle
	// holderNotified is set once this request has triggered an early report to the instance that places models.
	holderNotified bool
	// quarantinedPart is the prompt part because of which the request is not sent; zero if there is none.
	quarantinedPart uint64
	// outlastsInstance is set if the request is not sent because this instance stops before the request's deadline.
	outlastsInstance bool
	// software lists the versions of endpoints' software that may run the request; nil means all. A stream that has begun is
	// bound to one.
	software []string
	// mayHaveRun is set once an endpoint may have begun to run the request.
	mayHaveRun bool
	// charge is what was taken from the quota of the workspace. overQuota is set if the request is not sent because it
	// exceeds the quota.
	charge    quota.Charge
	overQuota bool
}

// handle serves one request. It returns false when the connection must be closed.
func (s *Server) handle(ctx context.Context, c *clientConn, httpRequest *fasthttp.Request) bool {
	s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	arrivedAt := time.Now()
	// The deadline of an earlier request on the connection may have passed.
	c.setWriteDeadline(arrivedAt.Add(defaultRequestTimeout))
	request := s.deps.HeaderCodec.DecodeRequest(&httpRequest.Header)
	log := s.log.With(zap.String("request", request.ID))
	closeAfter := s.draining.Load() || httpRequest.Header.ConnectionClose()
	if s.isRefusing() {
		log.Info("refused: stopping")
		return s.respond(c, log, ownResponse{status: fasthttp.StatusServiceUnavailable, closeAfter: true})
	}
	table := s.table.Load()
	if table == nil {
		log.Info("refused: no configuration yet")
		return s.respond(c, log, ownResponse{status: fasthttp.StatusServiceUnavailable, retryAfter: startupRetryAfter, closeAfter: closeAfter})
	}
	route := table.Lookup(string(httpRequest.Header.Host()), pathOf(httpRequest.Header.RequestURI()))
	if route == nil {
		log.Info("refused: no route", zap.Int64("configuration", table.Config.Version),
			zap.Duration("viewAge", s.storeView.age(arrivedAt)))
		return s.respond(c, log, ownResponse{status: fasthttp.StatusNotFound, closeAfter: closeAfter})
	}
	r := &clientRequest{
		server:      s,
		conn:        c,
		ctx:         ctx,
		httpRequest: httpRequest,
		request:     request,
		table:       table,
		route:       route,
		service:     s.chooseService(table, route),
		arrivedAt:   arrivedAt,
		deadline:    arrivedAt.Add(requestTimeout(request.Remaining, route.Timeout)),
		log:         log,
		memory:      c.Memory(),
	}
	c.setWriteDeadline(r.deadline)
	if allowed, keepOpen := r.checkKey(closeAfter); !allowed {
		return keepOpen
	}
	return r.serve(closeAfter)
}

// startupRetryAfter is the Retry-After time while an instance has no configuration; reading one takes well under a
// second.
const startupRetryAfter = time.Second

// defaultRequestTimeout bounds every request; the client and the route may set a shorter time.
const defaultRequestTimeout = 60 * time.Second

func requestTimeout(remaining, routeTimeout time.Duration) time.Duration {
	limit := defaultRequestTimeout
	if remaining > 0 {
		limit = min(limit, remaining)
	}
	if routeTimeout > 0 {
		limit = min(limit, routeTimeout)
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

// respond writes a response of the instance itself. It returns false when the connection must be closed.
func (s *Server) respond(c *clientConn, log *zap.Logger, response ownResponse) bool {
	if err := c.writeOwnResponse(response); err != nil {
		log.Debug("response not written to the client", zap.Error(err))
		return false
	}
	return !response.closeAfter
}

// serve handles the request. It returns false when the connection must be closed.
func (r *clientRequest) serve(closeAfter bool) bool {
	if r.service == nil {
		r.log.Warn("refused: the route names no service", zap.String("route", r.route.Name))
		return r.refuse(startupRetryAfter, "no service", closeAfter)
	}
	r.server.deps.Budget.Requested(r.service.Name, r.arrivedAt)
	if remaining, found := r.inQuarantine(r.arrivedAt); found {
		return r.fail("prompt part in quarantine", remaining, closeAfter)
	}
	if retryAfter, ok := r.takeQuota(); !ok {
		return r.fail(overQuotaReason, retryAfter, closeAfter)
	}
	defer r.refundQuota()
	r.server.demand.recordRequest(r.service.Name, &r.request, r.server.deps.Fleet.ServiceSpeed(r.service.Name, r.arrivedAt), r.arrivedAt)
	endUse := r.server.demand.beginUse(r.service.Name, &r.request, r.arrivedAt)
	defer func() { endUse(time.Now()) }()
	defer func() { r.endCharge(r.mayHaveRun) }()
	if r.route.Kind == routing.Streaming {
		return r.serveStream(closeAfter)
	}
	return r.servePlain(closeAfter)
}

func (r *clientRequest) fleetDemand(now time.Time) *fleet.Demand {
	demand := &fleet.Demand{
		Service:      r.service.Name,
		Model:        r.request.Model,
		Adapter:      r.request.Adapter,
		PromptTokens: r.request.PromptTokens,
		OutputTokens: cmp.Or(r.request.ExpectedOutput, r.request.OutputTokens),
		Parts:        r.request.Parts,
		Exclude:      r.tried,
		Software:     r.allowedSoftware(),
		TimeLeft:     r.deadline.Sub(now),
		Random:       rand.Float64,
	}
	if r.service.Engine == nil {
		return demand
	}
	demand.Spread = r.server.spread(r.service.Name, demand.PromptTokens)
	if r.continuesStream() {
		// A client that has a part of its stream comes before those that have none: where several versions serve, few
		// endpoints can continue it. Its first event has come, so that only the time left bounds the next one.
		demand.TargetLatency = time.Duration(float64(r.deadline.Sub(now)) * continuedDeadlineShare)
		demand.MaxPrefillShare = continuedPrefillShare
		return demand
	}
	demand.TargetLatency, demand.MaxPrefillShare = r.timeToTarget(now), prefillShare
	if demand.TargetLatency < minAttemptTime {
		r.markLate(demand, now)
	}
	return demand
}

// markLate changes the demand to that of a request whose first token is expected after the target latency.
func (r *clientRequest) markLate(demand *fleet.Demand, now time.Time) {
	demand.Late = true
	timeLeft := r.deadline.Sub(now) - time.Duration(demand.OutputTokens)*loadedTokenTime
	demand.TargetLatency = min(time.Duration(float64(r.deadline.Sub(now))*plannedDeadlineShare), timeLeft)
	demand.MaxPrefillShare = latePrefillShare
}

const (
	// prefillShare is the fraction of an engine's time that may be planned for the prompts of requests that can still
	// meet their target.
	prefillShare = 0.95
	// latePrefillShare is the fraction for requests that are late anyway. It is lower, so that late requests do not
	// delay other requests beyond their target.
	latePrefillShare = 0.85
	// continuedPrefillShare is the fraction for streams that are continued. It lets a burst of them wait in the engine.
	continuedPrefillShare = 1.5
	// plannedTargetShare is the fraction of the time left until the target that is planned for, because estimates are
	// slightly inaccurate.
	plannedTargetShare = 0.85
	// continuedDeadlineShare is the fraction of the time left until the deadline that is planned for the next event of a
	// stream that is continued.
	continuedDeadlineShare = 0.5
	// loadedTokenTime is the time per generated token at an engine that reads prompts most of the time.
	loadedTokenTime = 40 * time.Millisecond
	// plannedDeadlineShare is the fraction of the time left until the deadline that is planned for a late first token.
	plannedDeadlineShare = 0.45
)

// timeToTarget returns the planned time until the first token. The target latency counts from the client's first
// attempt, so that a repeated attempt has less time left than the route allows.
func (r *clientRequest) timeToTarget(now time.Time) time.Duration {
	elapsedBefore := time.Duration(0)
	if r.request.Remaining > 0 {
		elapsedBefore = max(r.route.Timeout-r.request.Remaining, 0)
	}
	target := r.arrivedAt.Add(r.route.TargetLatency - elapsedBefore)
	timeLeft := time.Duration(float64(target.Sub(now)) * plannedTargetShare)
	return min(timeLeft, r.deadline.Sub(now))
}

// maySend reports whether the request may be sent now. For a repeated send it spends one repeat of the retry budget, and
// logs how the previous attempt ended.
func (r *clientRequest) maySend(now time.Time) bool {
	reason := r.reasonNotToSend(now)
	if r.endedAttempt != nil {
		r.log.Info("attempt ended", append(r.endedAttempt, zap.Bool("again", reason == ""), zap.String("why", reason))...)
		r.endedAttempt = nil
	}
	return reason == ""
}

// reasonNotToSend returns why the request must not be sent now, or an empty string if it may be sent. It spends one repeat
// of the retry budget for a repeated send.
func (r *clientRequest) reasonNotToSend(now time.Time) string {
	switch {
	case r.ctx.Err() != nil:
		return "client left or instance stopping"
	case r.sends >= r.route.MaxAttempts:
		return "attempts of the route used up"
	case r.mayHaveRun && !r.route.Repeatable():
		return "may have run and must not be repeated"
	case !r.deadline.After(now.Add(minAttemptTime)):
		return "no time left"
	case r.sends == 0:
		return ""
	case r.server.quarantine.Suspected(r.request.Parts):
		return "prompt part suspected of crashing endpoints"
	case !r.server.deps.Budget.Take(r.service.Name, now):
		return "retry budget used up"
	}
	return ""
}

// endAttempt records how an attempt ended that did not answer the request, to be logged once it is known whether another
// one follows. The status is zero if there was no response.
func (r *clientRequest) endAttempt(a *attempt, status int, outcome string) {
	r.endedAttempt = []zap.Field{
		zap.String("endpoint", a.choice.ID), zap.Int("attempt", r.sends), zap.Int("status", status), zap.String("outcome", outcome),
		zap.Duration("took", time.Since(a.sentAt)), zap.Duration("after", time.Since(r.arrivedAt)),
	}
}

// minAttemptTime is the minimum time in which a send can be of use. With less time until the deadline nothing is sent;
// with less time until the target the request counts as late.
const minAttemptTime = 20 * time.Millisecond

// fail ends the request without an endpoint's response. A request that has certainly not run is refused, which states
// that it may be repeated; the response to any other failure does not state whether the request has run. It returns
// false when the connection must be closed.
func (r *clientRequest) fail(reason string, retryAfter time.Duration, closeAfter bool) bool {
	if r.clientLeft() {
		r.log.Info("client left", zap.Duration("after", time.Since(r.arrivedAt)))
		r.recordEnd(r.server.metrics.clientsLeft)
		return false
	}
	switch {
	case !r.keyCheck.Allowed():
		if !r.mayHaveRun {
			r.recordEnd(r.server.metrics.refused)
			return r.refuseKey(closeAfter)
		}
		reason = "API key removed"
	case r.workspaceChanged:
		reason, retryAfter = "workspace of the API key changed", minRetryAfter
	case r.quarantinedPart != 0:
		reason = "prompt part in quarantine"
	case r.overQuota:
		reason = overQuotaReason
	case r.outlastsInstance:
		// Another instance can take the request at once.
		reason, retryAfter = "instance stops before the deadline", 0
	}
	if !r.mayHaveRun {
		return r.refuse(retryAfter, reason, closeAfter)
	}
	status := fasthttp.StatusBadGateway
	if !r.deadline.After(time.Now()) {
		status = fasthttp.StatusGatewayTimeout
	}
	r.log.Warn("failed: outcome unknown", zap.String("reason", reason), zap.Int("status", status),
		zap.Strings("tried", r.tried), zap.Duration("after", time.Since(r.arrivedAt)))
	r.recordEnd(r.server.metrics.failed)
	return r.server.respond(r.conn, r.log, ownResponse{status: status, closeAfter: closeAfter})
}

// recordEnd counts the end of the request and records its response time.
func (r *clientRequest) recordEnd(end tally.Counter) {
	end.Inc(1)
	r.server.metrics.responseTime.RecordDuration(time.Since(r.arrivedAt))
}

// recordSend counts a send that may have reached an endpoint.
func (r *clientRequest) recordSend() {
	r.sends++
	r.server.metrics.sends.Inc(1)
	if r.sends > 1 {
		r.server.metrics.repeats.Inc(1)
	}
}

// clientLeft reports whether the request ended because the client closed its connection.
func (r *clientRequest) clientLeft() bool {
	return r.ctx.Err() != nil && !errors.Is(context.Cause(r.ctx), errStopping)
}

// refuse responds that the request has not run and when the client should retry.
func (r *clientRequest) refuse(retryAfter time.Duration, reason string, closeAfter bool) bool {
	r.recordEnd(r.server.metrics.refused)
	log := r.log
	if r.quarantinedPart != 0 {
		log = log.With(zap.String("quarantinedPart", formatPart(r.quarantinedPart)))
	}
	log.Info("refused: not run", zap.String("route", r.route.Name), zap.String("model", r.request.Model),
		zap.String("adapter", r.request.Adapter), zap.String("reason", reason), zap.Stringer("obstacle", r.obstacle),
		zap.Int64("configuration", r.table.Config.Version), zap.Duration("retryAfter", retryAfter),
		zap.Strings("tried", r.tried), zap.Duration("after", time.Since(r.arrivedAt)))
	return r.server.respond(r.conn, r.log, ownResponse{status: r.refusalStatus(), retryAfter: retryAfter, closeAfter: closeAfter})
}
