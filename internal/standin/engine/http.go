package engine

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/internal/standin/process"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/engine/openaihttp"
	"github.com/mulberryglade/mulberryglade/pkg/prompt"
)

const (
	pathChat       = "/v1/chat/completions"
	pathCompletion = "/v1/completions"
	// tokensPerBlock is the number of prompt tokens that a cached block saves.
	tokensPerBlock = prompt.BlockBytes / 4
	// statusCancelled is the usual status of a request that its client cancelled.
	statusCancelled = 499
)

func (e *Engine) handle(p *process.Process, ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == pathChat || path == pathCompletion:
		e.serveInference(p, ctx, path == pathChat)
	case strings.HasPrefix(path, openaihttp.PathRequests):
		e.serveCancel(ctx, strings.TrimPrefix(path, openaihttp.PathRequests))
	case path == openaihttp.PathReport:
		e.serveReport(p, ctx)
	case path == openaihttp.PathCacheEvents:
		e.serveCacheEvents(p, ctx)
	case path == openaihttp.PathOrders:
		e.serveOrder(p, ctx)
	case path == openaihttp.PathKVExport || path == openaihttp.PathKVImport:
		e.serveCache(p, ctx, path == openaihttp.PathKVExport)
	case strings.HasPrefix(path, "/faults"):
		e.ServeFaults(ctx)
	default:
		replyError(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

// applyBefore runs the part of a fault that comes before the call's effect; it returns false when the call ends there.
func (e *Engine) applyBefore(p *process.Process, ctx *fasthttp.RequestCtx, fault Fault) bool {
	if fault.Hook != nil {
		fault.Hook()
	}
	if fault.Delay > 0 && !p.Wait(fault.Delay) {
		process.Drop(ctx)
		return false
	}
	switch {
	case fault.Lose:
		process.Drop(ctx)
	case fault.Refuse:
		replyNotRun(ctx, fasthttp.StatusServiceUnavailable, "refused")
	case fault.Status > 0:
		replyError(ctx, fault.Status, "fault")
	default:
		return true
	}
	return false
}

func replyJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(encode(value))
}

func replyError(ctx *fasthttp.RequestCtx, status int, detail string) {
	replyJSON(ctx, status, map[string]string{"error": detail})
}

func replyNotRun(ctx *fasthttp.RequestCtx, status int, detail string) {
	replyError(ctx, status, detail)
	ctx.Response.Header.Set(openaihttp.HeaderNotRun, "true")
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
}

type inferenceBody struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	// MaxCompletionTokens replaces MaxTokens in newer clients.
	MaxCompletionTokens int  `json:"max_completion_tokens"`
	Stream              bool `json:"stream"`
}

func (e *Engine) serveInference(p *process.Process, ctx *fasthttp.RequestCtx, chat bool) {
	fault := e.faults.take(CallInference)
	id := string(ctx.Request.Header.Peek(openaihttp.HeaderRequestID))
	echoed := id
	if fault.WrongRequestID {
		echoed = "other-" + id
	}
	ctx.Response.Header.Set(openaihttp.HeaderRequestID, echoed)
	if !e.applyBefore(p, ctx, fault) {
		return
	}
	var body inferenceBody
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "body is not JSON")
		return
	}
	if offset, ok := resumeOffset(ctx); ok {
		e.serveResume(ctx, id, offset, fault)
		return
	}
	r := e.start(p, ctx, id, chat, body, fault)
	switch {
	case r == nil:
	case body.Stream:
		e.stream(ctx, r, 0, fault)
	default:
		e.complete(ctx, r, fault)
	}
}

func resumeOffset(ctx *fasthttp.RequestCtx) (int, bool) {
	offset, err := strconv.Atoi(string(ctx.Request.Header.Peek(openaihttp.HeaderResumeOffset)))
	return offset, err == nil
}

// start begins an execution; it returns nil after a reply that the request was not run.
func (e *Engine) start(p *process.Process, ctx *fasthttp.RequestCtx, id string, chat bool, body inferenceBody, fault Fault) *run {
	if !e.options.ServeAll && !e.serves(body.Model) {
		replyNotRun(ctx, fasthttp.StatusServiceUnavailable, "model is not loaded")
		return nil
	}
	priority, _ := strconv.Atoi(string(ctx.Request.Header.Peek(openaihttp.HeaderPriority)))
	w := e.batch.join(priority)
	if w == nil {
		replyNotRun(ctx, fasthttp.StatusTooManyRequests, "queue is full")
		return nil
	}
	digest := prompt.Of(body.Model, promptMessages(body))
	r := &run{
		id:           id,
		model:        body.Model,
		chat:         chat,
		inputTokens:  digest.Tokens,
		outputTokens: e.options.OutputTokens,
		noFinish:     fault.NoFinishReason,
		changed:      make(chan struct{}),
	}
	if limit := max(body.MaxTokens, body.MaxCompletionTokens); limit > 0 {
		r.outputTokens = limit
		r.limited = true
	}
	r.cachedTokens = min(e.cache.use(body.Model, digest.PrefixHashes)*tokensPerBlock, r.inputTokens)
	if !e.spawn(p, r, w) {
		e.batch.leave(w)
		process.Drop(ctx)
		return nil
	}
	return r
}

func promptMessages(body inferenceBody) []prompt.Message {
	if len(body.Messages) == 0 {
		return []prompt.Message{{Text: body.Prompt}}
	}
	messages := make([]prompt.Message, len(body.Messages))
	for i, m := range body.Messages {
		messages[i] = prompt.Message{Role: m.Role, Text: m.Content}
	}
	return messages
}

// spawn registers the run and starts it, unless the process has ended.
func (e *Engine) spawn(p *process.Process, r *run, w *waiter) bool {
	return e.server.WhileAlive(p, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		r.ctx, r.cancel = context.WithCancel(p.Context)
		e.runs[r.id] = r
		e.executed[r.id]++
		p.Go(func() { e.execute(r, w) })
	})
}

func (e *Engine) serves(name string) bool {
	for _, a := range e.memory.Report().Artifacts {
		if a.Name == name && a.State == engine.StateLoaded {
			return true
		}
	}
	return false
}

func (e *Engine) complete(ctx *fasthttp.RequestCtx, r *run, fault Fault) {
	defer r.cancel()
	if _, _, err := r.chunkAt(r.outputTokens); err != nil {
		e.forget(r)
		replyError(ctx, statusCancelled, "cancelled")
		return
	}
	e.forget(r)
	if fault.DropReply {
		process.Drop(ctx)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(r.body())
	if fault.TruncateBody {
		process.Truncate(ctx)
	}
}

func (e *Engine) forget(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[r.id] == r {
		delete(e.runs, r.id)
	}
}

func (e *Engine) serveResume(ctx *fasthttp.RequestCtx, id string, offset int, fault Fault) {
	e.mu.Lock()
	r := e.runs[id]
	e.mu.Unlock()
	if r == nil || e.options.NoResume {
		replyError(ctx, fasthttp.StatusConflict, "request cannot be resumed")
		return
	}
	e.stream(ctx, r, offset, fault)
}

func (e *Engine) serveCancel(ctx *fasthttp.RequestCtx, id string) {
	e.faults.take(CallCancel)
	e.mu.Lock()
	r := e.runs[id]
	delete(e.runs, id)
	e.mu.Unlock()
	if r == nil {
		replyError(ctx, fasthttp.StatusNotFound, "no such request")
		return
	}
	r.cancel()
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (e *Engine) serveReport(p *process.Process, ctx *fasthttp.RequestCtx) {
	if e.applyBefore(p, ctx, e.faults.take(CallReport)) {
		replyJSON(ctx, fasthttp.StatusOK, e.Report())
	}
}

// Report returns the load report as the engine sends it: its load figures lag, its artifacts are current.
func (e *Engine) Report() engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reported.IsZero() || time.Since(e.reported) >= e.wall(e.options.Timing.ReportLag) {
		e.report = e.load()
		e.reported = time.Now()
	}
	report := e.memory.Report()
	report.Running = e.report.Running
	report.Waiting = e.report.Waiting
	report.MaxRunning = e.report.MaxRunning
	report.KVCacheUsage = e.report.KVCacheUsage
	report.PrefillTokensPerSecond = e.report.PrefillTokensPerSecond
	report.DecodeTokensPerSecond = e.report.DecodeTokensPerSecond
	report.Leaving = e.leaving
	return report
}

func (e *Engine) load() engine.Report {
	running, waiting := e.batch.counts()
	timing := e.options.Timing
	interval := timing.TokenInterval + time.Duration(max(running-1, 0))*timing.TokenIntervalPerRequest
	return engine.Report{
		Running:                running,
		Waiting:                waiting,
		MaxRunning:             e.options.MaxRunning,
		KVCacheUsage:           e.cache.usage(),
		PrefillTokensPerSecond: timing.PrefillTokensPerSecond,
		DecodeTokensPerSecond:  float64(max(running, 1)) / interval.Seconds(),
	}
}

func (e *Engine) serveCacheEvents(p *process.Process, ctx *fasthttp.RequestCtx) {
	if !e.applyBefore(p, ctx, e.faults.take(CallCacheEvents)) {
		return
	}
	after, _ := strconv.ParseInt(string(ctx.QueryArgs().Peek("after")), 10, 64)
	replyJSON(ctx, fasthttp.StatusOK, e.cache.after(after, e.wall(e.options.Timing.CacheEventLag)))
}

// serveOrder executes an order. An order that is read takes effect even when its connection breaks, unless the process
// ends first.
func (e *Engine) serveOrder(p *process.Process, ctx *fasthttp.RequestCtx) {
	fault := e.faults.take(CallOrder)
	var order engine.Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "order is not JSON")
		return
	}
	reply := openaihttp.OrderReply{OrderID: order.ID, Incarnation: e.memory.Incarnation()}
	if fault.WrongRequestID {
		reply.OrderID = "other-" + order.ID
	}
	if fault.Refuse {
		reply.Code = openaihttp.CodeRejected
		replyJSON(ctx, fasthttp.StatusConflict, reply)
		return
	}
	if !e.applyBefore(p, ctx, fault) {
		return
	}
	err := e.execOrder(p, order)
	switch {
	case errors.Is(err, engine.ErrStaleFencingNumber):
		reply.Code = openaihttp.CodeStaleFencingNumber
		replyJSON(ctx, fasthttp.StatusConflict, reply)
	case errors.Is(err, engine.ErrSessionClosed), fault.DropReply:
		process.Drop(ctx)
	case err != nil:
		reply.Code = openaihttp.CodeRejected
		replyJSON(ctx, fasthttp.StatusConflict, reply)
	default:
		replyJSON(ctx, fasthttp.StatusOK, reply)
	}
}

func (e *Engine) execOrder(p *process.Process, order engine.Order) error {
	begun, err := false, error(nil)
	if e.server.WhileAlive(p, func() { err = e.memory.Begin(order); begun = true }); !begun {
		return engine.ErrSessionClosed
	}
	if err != nil {
		return err
	}
	if !e.sleep(p.Context, e.orderTime(order)) {
		return engine.ErrSessionClosed
	}
	if !e.server.WhileAlive(p, func() { e.memory.Finish(order) }) {
		return engine.ErrSessionClosed
	}
	return nil
}

func (e *Engine) orderTime(order engine.Order) time.Duration {
	timing := e.options.Timing
	switch {
	case order.Verb == engine.VerbUnload:
		return timing.Unload
	case order.Verb != engine.VerbLoad:
		return 0
	case order.Artifact.Kind == engine.KindAdapter:
		return timing.AdapterLoad
	default:
		return time.Duration(e.modelLoad.Load())
	}
}

type cacheRequest struct {
	Model        string   `json:"model"`
	PrefixHashes []uint64 `json:"prefixHashes"`
	Blocks       []byte   `json:"blocks"`
}

// serveCache exports and imports blocks; a block is exported as its hash.
func (e *Engine) serveCache(p *process.Process, ctx *fasthttp.RequestCtx, export bool) {
	if !e.applyBefore(p, ctx, e.faults.take(CallCache)) {
		return
	}
	var body cacheRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "body is not JSON")
		return
	}
	if export {
		replyJSON(ctx, fasthttp.StatusOK, e.cache.held(body.PrefixHashes))
		return
	}
	var hashes []uint64
	if err := json.Unmarshal(body.Blocks, &hashes); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "blocks are not from an export")
		return
	}
	e.cache.add(body.Model, hashes)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
