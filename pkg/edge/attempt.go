package edge

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// attempt is one send of a request to one endpoint.
type attempt struct {
	choice fleet.Choice
	call   *fleet.Call
	sentAt time.Time
	// firstEventAt is when the first bytes of a stream arrived; zero before.
	firstEventAt time.Time
	// late is set if the response is expected after its target. Late attempts rank after all others in the engine's
	// queue.
	late bool
}

// sendResult is the outcome of a send.
type sendResult int

const (
	// sendAnswered means that the endpoint's response is complete or that its stream is open.
	sendAnswered sendResult = iota
	// sendNotRun means that the endpoint stated that it did not run the request.
	sendNotRun
	// sendNotSent means that no byte was sent, so that the endpoint has not received the request.
	sendNotSent
	// sendUnknown means that the endpoint may have run the request.
	sendUnknown
)

func (r *clientRequest) logChoice(choice *fleet.Choice) {
	r.log.Info("routed",
		zap.String("endpoint", choice.ID),
		zap.Duration("expected", choice.FirstToken),
		zap.Int("waiting", choice.Work.Waiting),
		zap.Int("running", choice.Work.Running),
		zap.Int("prefill", choice.Work.PrefillTokens),
		zap.Int("kept", choice.KeptTokens),
		zap.Int("prompt", r.request.PromptTokens),
		zap.Int("output", r.request.OutputTokens),
		zap.Int("hint", r.request.ExpectedOutput),
		zap.String("model", r.request.Model),
		zap.String("adapter", r.request.Adapter),
		zap.Duration("viewAge", r.server.storeView.age(time.Now())),
		zap.String("runnerUp", choice.RunnerUp),
		zap.Int("candidates", choice.Candidates))
}

// buildForwardRequest returns the request to the endpoint; the caller releases it.
func (r *clientRequest) buildForwardRequest(a *attempt, lastEventID string) *fasthttp.Request {
	out := fasthttp.AcquireRequest()
	r.httpRequest.Header.CopyTo(&out.Header)
	out.Header.SetNoDefaultContentType(true)
	r.conn.Body().SetOn(out)
	a.sentAt = time.Now()
	r.server.deps.HeaderCodec.EncodeForward(&out.Header, Forwarding{
		Remaining:   r.deadline.Sub(a.sentAt),
		Endpoint:    a.choice.ID,
		LastEventID: lastEventID,
		Priority:    r.enginePriority(a.late),
		UsesKeys:    r.usesKeys(),
		Workspace:   workspaceName(r.workspace),
	})
	return out
}

// enginePriority returns the rank in the engine's queue: that of the workspace or the route, or a later one for late
// requests. Plain services have none.
func (r *clientRequest) enginePriority(late bool) int {
	if r.service.Engine == nil {
		return -1
	}
	rank := min(r.priority(), firstLatePriority-1)
	if late {
		rank += firstLatePriority
	}
	return min(rank, maxEnginePriority)
}

const (
	// maxEnginePriority is the least urgent rank of an engine's queue.
	maxEnginePriority = 9
	// firstLatePriority is the first rank of late requests.
	firstLatePriority = 5
)

// handleSendError ends the call of a failed send at the endpoint and returns the outcome of the send.
func (r *clientRequest) handleSendError(a *attempt, err error) sendResult {
	now := time.Now()
	r.tried = append(r.tried, a.choice.ID)
	clientLeft := r.ctx.Err() != nil
	if errors.Is(err, engine.ErrNotSent) {
		a.call.End(failureResult(clientLeft, fleet.Unreachable), now)
		r.log.Info("not sent", zap.String("endpoint", a.choice.ID), zap.Error(err))
		r.endAttempt(a, 0, "not sent")
		return sendNotSent
	}
	a.call.End(failureResult(clientLeft, fleet.Failed), now)
	r.recordSend()
	r.mayHaveRun = true
	r.log.Info("send failed", zap.String("endpoint", a.choice.ID), zap.Error(err), zap.Duration("took", now.Sub(a.sentAt)))
	r.recordCrash(a, err)
	r.endAttempt(a, 0, "unknown")
	return sendUnknown
}

// failureResult returns result, or Neutral if the client left, because the endpoint then is not at fault.
func failureResult(clientLeft bool, result fleet.Result) fleet.Result {
	if clientLeft {
		return fleet.Neutral
	}
	return result
}

// decodeReply decodes the header of a response and records what the endpoint says about itself. A response that does not
// name this request belongs to another one, so that it says nothing about this one: a faulty endpoint may send an earlier
// refusal again on a connection that is in use for another request.
func (r *clientRequest) decodeReply(a *attempt, resp *fasthttp.Response) Reply {
	reply := r.server.deps.HeaderCodec.DecodeReply(&resp.Header)
	if reply.ID != r.request.ID {
		reply.NotRun = false
		return reply
	}
	r.server.recordStatement(a.choice.ID, a.choice.Lifetime, reply.Statement)
	return reply
}

// recordRefusal records that the endpoint did not run the request.
func (r *clientRequest) recordRefusal(a *attempt, status int, reply *Reply) sendResult {
	now := time.Now()
	a.call.End(fleet.Neutral, now)
	if status == fasthttp.StatusMisdirectedRequest {
		r.server.deps.Fleet.Misdirected(a.choice.ID, reply.Statement.Endpoint, r.request.Model, r.request.Adapter, now)
	}
	r.tried = append(r.tried, a.choice.ID)
	r.recordSend()
	r.log.Info("endpoint refused: not run", zap.String("endpoint", a.choice.ID), zap.Int("status", status),
		zap.String("answeredBy", reply.Statement.Endpoint))
	r.endAttempt(a, status, "not run")
	return sendNotRun
}

// retryAfterRefusal returns when the client should try again after an endpoint refused the request. It is the time for
// which the endpoint wants no calls if no other one could have run the request.
func (r *clientRequest) retryAfterRefusal(a *attempt) time.Duration {
	if a.choice.Candidates > 1 {
		return minRetryAfter
	}
	return max(r.server.deps.Fleet.CallsAllowedIn(a.choice.ID, a.choice.Lifetime, time.Now()), minRetryAfter)
}

// maxResponseBytes bounds a response that is buffered in memory until it is complete.
const maxResponseBytes = 8 << 20

// defaultEndpointBodyMB bounds the bodies that one endpoint holds for this instance, in megabytes. It is four times the
// largest body.
const defaultEndpointBodyMB = 16

// endpointHoldsEnough is the reason why a request was not sent to any endpoint.
const endpointHoldsEnough = "endpoints hold enough bytes of requests"

// holdAt counts the body as held by the endpoint. If that has too many bytes already, it ends the call without sending the
// request, so that another endpoint is tried.
func (r *clientRequest) holdAt(a *attempt) bool {
	size := r.conn.Body().Size()
	if r.server.endpointBytes.TryTake(a.choice.ID, size) {
		return true
	}
	a.call.End(fleet.Neutral, time.Now())
	r.tried = append(r.tried, a.choice.ID)
	r.server.clientLimits.record(limitEndpoint, zap.String("endpoint", a.choice.ID), zap.Int("bytes", size))
	return false
}

// releaseAt ends what holdAt has counted.
func (r *clientRequest) releaseAt(a *attempt) {
	r.server.endpointBytes.Return(a.choice.ID, r.conn.Body().Size())
}

// servePlain serves a request whose response is forwarded once it is complete. It returns false when the connection
// must be closed.
func (r *clientRequest) servePlain(closeAfter bool) bool {
	// lastResponse is an endpoint's error response, delivered if no other endpoint gives a better one.
	var lastResponse *fasthttp.Response
	var lastAttempt *attempt
	defer func() { releaseResponse(lastResponse) }()
	reason, retryAfter := "no endpoint", minRetryAfter
	for r.maySend(time.Now()) {
		a, wait := r.chooseEndpoint()
		if a == nil {
			retryAfter = wait
			break
		}
		if !r.holdAt(a) {
			reason = endpointHoldsEnough
			continue
		}
		resp := fasthttp.AcquireResponse()
		sent := r.sendPlain(a, resp)
		r.releaseAt(a)
		switch sent {
		case sendAnswered:
			if !r.retryMayHelp(resp) {
				defer fasthttp.ReleaseResponse(resp)
				return r.deliver(resp, a, closeAfter)
			}
			r.endAttempt(a, resp.StatusCode(), "error of the endpoint")
			releaseResponse(lastResponse)
			lastResponse, lastAttempt = resp, a
			continue
		case sendNotRun:
			reason, retryAfter = "endpoint refused", r.retryAfterRefusal(a)
		case sendNotSent, sendUnknown:
			reason = "endpoint failed"
		}
		fasthttp.ReleaseResponse(resp)
	}
	if lastResponse != nil && !r.clientLeft() {
		return r.deliver(lastResponse, lastAttempt, closeAfter)
	}
	return r.fail(reason, retryAfter, closeAfter)
}

func releaseResponse(resp *fasthttp.Response) {
	if resp != nil {
		fasthttp.ReleaseResponse(resp)
	}
}

// retryMayHelp reports whether the response is an error of the endpoint and the route allows another attempt.
func (r *clientRequest) retryMayHelp(resp *fasthttp.Response) bool {
	return resp.StatusCode() >= fasthttp.StatusInternalServerError && r.route.Repeatable()
}

func (r *clientRequest) sendPlain(a *attempt, resp *fasthttp.Response) sendResult {
	out := r.buildForwardRequest(a, "")
	defer fasthttp.ReleaseRequest(out)
	resp.Header.SetNoDefaultContentType(true)
	err := r.server.deps.Pool.DoReserving(r.ctx, "http://"+a.choice.Address, r.deadline, out, resp, maxResponseBytes, r.memory)
	if err != nil {
		return r.handleSendError(a, err)
	}
	reply := r.decodeReply(a, resp)
	if reply.NotRun {
		return r.recordRefusal(a, resp.StatusCode(), &reply)
	}
	r.recordSend()
	r.tried = append(r.tried, a.choice.ID)
	r.mayHaveRun = true
	if !r.checkResponse(a, &reply, resp) {
		r.endAttempt(a, resp.StatusCode(), "invalid response")
		return sendUnknown
	}
	now := time.Now()
	if callResult(resp) == fleet.Succeeded {
		a.call.Responded(now.Sub(a.sentAt)-a.choice.Latency, now)
		r.server.recordLimitChanges()
	}
	a.call.End(callResult(resp), now)
	if resp.StatusCode() < fasthttp.StatusMultipleChoices {
		r.recordAnswered()
	}
	return sendAnswered
}

func callResult(resp *fasthttp.Response) fleet.Result {
	if resp.StatusCode() >= fasthttp.StatusInternalServerError {
		return fleet.Neutral
	}
	return fleet.Succeeded
}

// checkResponse reports whether a response names this request and, if it is a success, is signed by the endpoint. It
// ends the call as failed otherwise.
func (r *clientRequest) checkResponse(a *attempt, reply *Reply, resp *fasthttp.Response) bool {
	named := reply.ID == r.request.ID
	signed := reply.Signed || resp.StatusCode() >= fasthttp.StatusMultipleChoices
	if named && signed {
		return true
	}
	a.call.End(fleet.Failed, time.Now())
	r.log.Warn("invalid response of an endpoint dropped", zap.String("endpoint", a.choice.ID), zap.Int("status", resp.StatusCode()),
		zap.String("namedRequest", reply.ID), zap.Bool("signed", reply.Signed))
	return false
}

// deliver writes an endpoint's response to the client. It returns false when the connection must be closed.
func (r *clientRequest) deliver(resp *fasthttp.Response, a *attempt, closeAfter bool) bool {
	if err := r.conn.writeResponse(resp, closeAfter); err != nil {
		r.log.Info("response not written to the client", zap.Error(err))
		return false
	}
	r.log.Info("answered", zap.String("endpoint", a.choice.ID), zap.Int("status", resp.StatusCode()),
		zap.Duration("took", time.Since(a.sentAt)), zap.Duration("after", time.Since(r.arrivedAt)))
	r.recordEnd(r.server.metrics.answered)
	return !closeAfter
}
