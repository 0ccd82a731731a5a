package edge

import (
	"context"
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
	sent   time.Time
	// late attempts come after others in the engine's queue.
	late bool
}

// sendResult classifies a send.
type sendResult int

const (
	// sendAnswered means that the endpoint's response is whole, or that its stream is open.
	sendAnswered sendResult = iota
	// sendNotRun means that the endpoint said that it did not run the request.
	sendNotRun
	// sendNotSent means that no byte left, so that no endpoint has had the request.
	sendNotSent
	// sendUnknown means that the request may have run.
	sendUnknown
)

func (x *clientRequest) logChoice(choice *fleet.Choice) {
	x.log.Info("routed",
		zap.String("endpoint", choice.ID),
		zap.Duration("expected", choice.FirstToken),
		zap.Int("waiting", choice.Work.Waiting),
		zap.Int("running", choice.Work.Running),
		zap.Int("prefill", choice.Work.PrefillTokens),
		zap.Int("kept", choice.KeptTokens),
		zap.Int("prompt", x.request.PromptTokens),
		zap.Int("output", x.request.OutputTokens),
		zap.Int("hint", x.request.ExpectedOutput),
		zap.String("model", x.request.Model),
		zap.String("adapter", x.request.Adapter),
		zap.String("runnerUp", choice.RunnerUp),
		zap.Int("candidates", choice.Candidates))
}

// forwardRequest builds the request for the endpoint.
func (x *clientRequest) forwardRequest(a *attempt, lastEventID string) *fasthttp.Request {
	out := fasthttp.AcquireRequest()
	x.req.Header.CopyTo(&out.Header)
	out.Header.SetNoDefaultContentType(true)
	out.SetBodyRaw(x.req.Body())
	a.sent = time.Now()
	x.server.parts.Wire.EncodeForward(&out.Header, Forwarding{
		Remaining:   x.deadline.Sub(a.sent),
		Endpoint:    a.choice.ID,
		LastEventID: lastEventID,
		Priority:    x.enginePriority(a.late),
	})
	return out
}

// enginePriority maps the route's rank to the engine's queue, late requests after all others; plain services have none.
func (x *clientRequest) enginePriority(late bool) int {
	if x.service.Engine == nil {
		return -1
	}
	rank := min(x.route.Priority, latePriority-1)
	if late {
		rank += latePriority
	}
	return min(rank, maxEnginePriority)
}

const (
	// maxEnginePriority is the least urgent rank that engines know.
	maxEnginePriority = 9
	// latePriority is the first rank of late requests.
	latePriority = 5
)

// classify tells what a failed send means and records it against the endpoint.
func (x *clientRequest) classify(a *attempt, err error) sendResult {
	now := time.Now()
	x.tried = append(x.tried, a.choice.ID)
	left := x.ctx.Err() != nil
	switch {
	case errors.Is(err, engine.ErrNotSent):
		a.call.End(blame(left, fleet.Unreachable), now)
		x.log.Info("not sent", zap.String("endpoint", a.choice.ID), zap.Error(err))
		return sendNotSent
	case errors.Is(err, context.DeadlineExceeded):
		a.call.End(blame(left, fleet.Failed), now)
	default:
		a.call.End(blame(left, fleet.Failed), now)
	}
	x.countSend()
	x.mayHaveRun = true
	x.log.Info("send failed", zap.String("endpoint", a.choice.ID), zap.Error(err), zap.Duration("took", now.Sub(a.sent)))
	return sendUnknown
}

// blame returns Neutral when the client left, because the endpoint then had no chance.
func blame(left bool, result fleet.Result) fleet.Result {
	if left {
		return fleet.Neutral
	}
	return result
}

// refusedBy records that the endpoint did not run the request.
func (x *clientRequest) refusedBy(a *attempt, status int, reply *Reply) sendResult {
	now := time.Now()
	a.call.End(fleet.Neutral, now)
	if status == fasthttp.StatusMisdirectedRequest {
		x.server.parts.Fleet.Misdirected(a.choice.ID, reply.Endpoint, x.request.Model, x.request.Adapter, now)
	}
	x.tried = append(x.tried, a.choice.ID)
	x.countSend()
	x.log.Info("endpoint refused: not run", zap.String("endpoint", a.choice.ID), zap.Int("status", status),
		zap.String("answeredBy", reply.Endpoint))
	return sendNotRun
}

// maxReplyBytes bounds the response of a plain service that is kept in memory until it is whole.
const maxReplyBytes = 8 << 20

// plain serves a request whose response is forwarded once it is whole.
func (x *clientRequest) plain(closing bool) bool {
	// lastReply is an endpoint's failure that is delivered when no better answer comes.
	var lastReply *fasthttp.Response
	defer func() { releaseReply(lastReply) }()
	reason, retryAfter := "no endpoint", minimumRetryAfter
	for x.mayRepeat(time.Now()) {
		a, wait := x.place()
		if a == nil {
			retryAfter = wait
			break
		}
		resp := fasthttp.AcquireResponse()
		switch x.sendPlain(a, resp) {
		case sendAnswered:
			if !x.improvable(resp) {
				defer fasthttp.ReleaseResponse(resp)
				return x.deliver(resp, a, closing)
			}
			releaseReply(lastReply)
			lastReply = resp
			continue
		case sendNotRun:
			reason = "endpoint refused"
		case sendNotSent, sendUnknown:
			reason = "endpoint failed"
		}
		fasthttp.ReleaseResponse(resp)
	}
	if lastReply != nil && !x.clientLeft() {
		return x.deliver(lastReply, nil, closing)
	}
	return x.fail(reason, retryAfter, closing)
}

func releaseReply(resp *fasthttp.Response) {
	if resp != nil {
		fasthttp.ReleaseResponse(resp)
	}
}

// improvable tells whether another endpoint may do better than this response.
func (x *clientRequest) improvable(resp *fasthttp.Response) bool {
	return resp.StatusCode() >= fasthttp.StatusInternalServerError && x.route.Repeatable()
}

func (x *clientRequest) sendPlain(a *attempt, resp *fasthttp.Response) sendResult {
	out := x.forwardRequest(a, "")
	defer fasthttp.ReleaseRequest(out)
	resp.Header.SetNoDefaultContentType(true)
	err := x.server.parts.Pool.Do(x.ctx, "http://"+a.choice.Address, x.deadline, out, resp, maxReplyBytes)
	if err != nil {
		return x.classify(a, err)
	}
	reply := x.server.parts.Wire.DecodeReply(&resp.Header)
	if reply.NotRun {
		return x.refusedBy(a, resp.StatusCode(), &reply)
	}
	x.countSend()
	x.tried = append(x.tried, a.choice.ID)
	x.mayHaveRun = true
	if !x.acceptable(a, &reply, resp) {
		return sendUnknown
	}
	a.call.End(resultOf(resp), time.Now())
	return sendAnswered
}

func resultOf(resp *fasthttp.Response) fleet.Result {
	if resp.StatusCode() >= fasthttp.StatusInternalServerError {
		return fleet.Neutral
	}
	return fleet.Succeeded
}

// acceptable checks that a response names this request and that a success is signed.
func (x *clientRequest) acceptable(a *attempt, reply *Reply, resp *fasthttp.Response) bool {
	named := reply.ID == x.request.ID
	signed := reply.Signed || resp.StatusCode() >= fasthttp.StatusMultipleChoices
	if named && signed {
		return true
	}
	a.call.End(fleet.Failed, time.Now())
	x.log.Warn("response dropped", zap.String("endpoint", a.choice.ID), zap.Int("status", resp.StatusCode()),
		zap.String("namedRequest", reply.ID), zap.Bool("signed", reply.Signed))
	return false
}

// deliver forwards an endpoint's response.
func (x *clientRequest) deliver(resp *fasthttp.Response, a *attempt, closing bool) bool {
	if err := x.conn.writeReply(resp, closing); err != nil {
		x.log.Info("answer not delivered", zap.Error(err))
		return false
	}
	fields := []zap.Field{zap.Int("status", resp.StatusCode()), zap.Duration("after", time.Since(x.arrived))}
	if a != nil {
		fields = append(fields, zap.String("endpoint", a.choice.ID))
	}
	x.log.Info("answered", fields...)
	x.finished(x.server.metrics.answered)
	return !closing
}
