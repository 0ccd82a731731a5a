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
	// tokensPerBlock is the number of prompt tokens in a cached block.
	tokensPerBlock = prompt.BlockBytes / 4
	// statusCancelled is the customary status of a request cancelled by its client.
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

// applyFaultBeforeEffect injects the faults that precede the effect of a call. It returns false if they end the call.
func (e *Engine) applyFaultBeforeEffect(p *process.Process, ctx *fasthttp.RequestCtx, fault Fault) bool {
	if fault.Hook != nil {
		fault.Hook()
	}
	if fault.Delay > 0 && !p.Sleep(fault.Delay) {
		process.Drop(ctx)
		return false
	}
	switch {
	case fault.DropRequest:
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
	// MaxCompletionTokens is sent instead of MaxTokens by newer clients.
	MaxCompletionTokens int  `json:"max_completion_tokens"`
	Stream              bool `json:"stream"`
}

func (e *Engine) serveInference(p *process.Process, ctx *fasthttp.RequestCtx, chat bool) {
	fault := e.faults.nextFault(CallInference)
	id := string(ctx.Request.Header.Peek(openaihttp.HeaderRequestID))
	echoedID := id
	if fault.WrongRequestID {
		echoedID = "other-" + id
	}
	ctx.Response.Header.Set(openaihttp.HeaderRequestID, echoedID)
	if !e.applyFaultBeforeEffect(p, ctx, fault) {
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
	r := e.startRun(p, ctx, id, chat, body, fault)
	switch {
	case r == nil:
	case body.Stream:
		e.serveStream(ctx, r, 0, fault)
	default:
		e.serveComplete(ctx, r, fault)
	}
}

func resumeOffset(ctx *fasthttp.RequestCtx) (int, bool) {
	offset, err := strconv.Atoi(string(ctx.Request.Header.Peek(openaihttp.HeaderResumeOffset)))
	return offset, err == nil
}

// startRun starts the execution of a request. It returns nil if the request is not run; it has then set the response or
// dropped the connection.
func (e *Engine) startRun(p *process.Process, ctx *fasthttp.RequestCtx, id string, chat bool, body inferenceBody, fault Fault) *run {
	if !e.options.ServeAll && !e.hasLoaded(body.Model) {
		replyNotRun(ctx, fasthttp.StatusServiceUnavailable, "model is not loaded")
		return nil
	}
	priority, _ := strconv.Atoi(string(ctx.Request.Header.Peek(openaihttp.HeaderPriority)))
	w := e.batch.submit(priority)
	if w == nil {
		replyNotRun(ctx, fasthttp.StatusTooManyRequests, "queue is full")
		return nil
	}
	digest := prompt.NewDigest(body.Model, promptMessages(body))
	r := &run{
		id:               id,
		model:            body.Model,
		chat:             chat,
		inputTokens:      digest.Tokens,
		outputTokens:     e.options.OutputTokens,
		omitFinishReason: fault.NoFinishReason,
		changed:          make(chan struct{}),
	}
	if limit := max(body.MaxTokens, body.MaxCompletionTokens); limit > 0 {
		r.outputTokens = limit
		r.hasTokenLimit = true
	}
	r.cachedTokens = min(e.cache.lookupAndStore(body.Model, digest.PrefixHashes)*tokensPerBlock, r.inputTokens)
	if !e.spawn(p, r, w) {
		e.batch.remove(w)
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

// spawn registers and starts the run. It returns false if the process has ended.
func (e *Engine) spawn(p *process.Process, r *run, w *waiter) bool {
	return e.server.IfRunning(p, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		r.ctx, r.cancel = context.WithCancel(p.Context)
		e.runs[r.id] = r
		e.executions[r.id]++
		p.Go(func() { e.execute(r, w) })
	})
}

func (e *Engine) hasLoaded(name string) bool {
	for _, a := range e.memory.Report().Artifacts {
		if a.Name == name && a.State == engine.StateLoaded {
			return true
		}
	}
	return false
}

func (e *Engine) serveComplete(ctx *fasthttp.RequestCtx, r *run, fault Fault) {
	defer r.cancel()
	if _, _, err := r.waitForChunk(r.outputTokens); err != nil {
		e.removeRun(r)
		replyError(ctx, statusCancelled, "cancelled")
		return
	}
	e.removeRun(r)
	if fault.DropReply {
		process.Drop(ctx)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(r.response())
	if fault.TruncateBody {
		process.Truncate(ctx)
	}
}

func (e *Engine) removeRun(r *run) {
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
	e.serveStream(ctx, r, offset, fault)
}

func (e *Engine) serveCancel(ctx *fasthttp.RequestCtx, id string) {
	e.faults.nextFault(CallCancel)
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
	if e.applyFaultBeforeEffect(p, ctx, e.faults.nextFault(CallReport)) {
		replyJSON(ctx, fasthttp.StatusOK, e.Report())
	}
}

// Report returns the load report as the engine sends it. Its load figures lag behind; its artifacts are current.
func (e *Engine) Report() engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastLoadAt.IsZero() || time.Since(e.lastLoadAt) >= e.wallTime(e.options.Timing.ReportLag) {
		e.lastLoad = e.currentLoad()
		e.lastLoadAt = time.Now()
	}
	report := e.memory.Report()
	report.Running = e.lastLoad.Running
	report.Waiting = e.lastLoad.Waiting
	report.MaxRunning = e.lastLoad.MaxRunning
	report.KVCacheUsage = e.lastLoad.KVCacheUsage
	report.PrefillTokensPerSecond = e.lastLoad.PrefillTokensPerSecond
	report.DecodeTokensPerSecond = e.lastLoad.DecodeTokensPerSecond
	report.Leaving = e.leaving
	return report
}

func (e *Engine) currentLoad() engine.Report {
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
	if !e.applyFaultBeforeEffect(p, ctx, e.faults.nextFault(CallCacheEvents)) {
		return
	}
	after, _ := strconv.ParseInt(string(ctx.QueryArgs().Peek("after")), 10, 64)
	replyJSON(ctx, fasthttp.StatusOK, e.cache.eventsAfter(after, e.wallTime(e.options.Timing.CacheEventLag)))
}

// serveOrder executes an order. Once read, an order takes effect even if its connection fails, unless the process ends
// first.
func (e *Engine) serveOrder(p *process.Process, ctx *fasthttp.RequestCtx) {
	fault := e.faults.nextFault(CallOrder)
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
	if !e.applyFaultBeforeEffect(p, ctx, fault) {
		return
	}
	err := e.executeOrder(p, order)
	switch {
	case errors.Is(err, engine.ErrStaleFencingToken):
		reply.Code = openaihttp.CodeStaleFencingToken
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

func (e *Engine) executeOrder(p *process.Process, order engine.Order) error {
	begun, err := false, error(nil)
	if e.server.IfRunning(p, func() { err = e.memory.Begin(order); begun = true }); !begun {
		return engine.ErrSessionClosed
	}
	if err != nil {
		return err
	}
	if !e.sleep(p.Context, e.orderDuration(order)) {
		return engine.ErrSessionClosed
	}
	if !e.server.IfRunning(p, func() { e.memory.Finish(order) }) {
		return engine.ErrSessionClosed
	}
	return nil
}

func (e *Engine) orderDuration(order engine.Order) time.Duration {
	timing := e.options.Timing
	switch {
	case order.Verb == engine.VerbUnload:
		return timing.Unload
	case order.Verb != engine.VerbLoad:
		return 0
	case order.Artifact.Kind == engine.KindAdapter:
		return timing.AdapterLoad
	default:
		return time.Duration(e.modelLoadTime.Load())
	}
}

type cacheRequest struct {
	Model        string   `json:"model"`
	PrefixHashes []uint64 `json:"prefixHashes"`
	Blocks       []byte   `json:"blocks"`
}

// serveCache exports and imports cache blocks; an exported block is its hash.
func (e *Engine) serveCache(p *process.Process, ctx *fasthttp.RequestCtx, export bool) {
	if !e.applyFaultBeforeEffect(p, ctx, e.faults.nextFault(CallCache)) {
		return
	}
	var body cacheRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "body is not JSON")
		return
	}
	if export {
		replyJSON(ctx, fasthttp.StatusOK, e.cache.cachedBlocks(body.PrefixHashes))
		return
	}
	var hashes []uint64
	if err := json.Unmarshal(body.Blocks, &hashes); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "blocks are not from an export")
		return
	}
	e.cache.storeAll(body.Model, hashes)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
