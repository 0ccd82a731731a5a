// Package openaihttp implements the interfaces of package engine for engines with an OpenAI-compatible HTTP interface.
// It never retries a request.
package openaihttp

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
)

// Headers of the engine protocol.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderPriority     = "X-Priority"
	HeaderTimeout      = "X-Request-Timeout-Ms"
	HeaderResumeOffset = "X-Resume-Offset"
	HeaderNotRun       = "X-Not-Run"
)

// Paths of the engine protocol besides the OpenAI-compatible ones.
const (
	PathReport      = "/v1/engine/report"
	PathCacheEvents = "/v1/engine/cache-events"
	PathOrders      = "/v1/engine/orders"
	PathKVExport    = "/v1/engine/kv/export"
	PathKVImport    = "/v1/engine/kv/import"
	PathRequests    = "/v1/requests/"
)

const (
	maxResponseBytes    = 16 << 20
	maxReportBytes      = 4 << 20
	maxCacheExportBytes = 256 << 20
	// controlTimeout bounds reports, cache events and cancellations when the context has no deadline.
	controlTimeout = 2 * time.Second
	// defaultCallTimeout bounds inference calls without a deadline.
	defaultCallTimeout = 10 * time.Minute
	// maxConcurrentCancellations bounds the cancellations in progress; further ones are skipped. The engine also cancels a
	// request itself some time after its connection broke.
	maxConcurrentCancellations = 64
)

// Options configures a Client.
type Options struct {
	Connections httpconn.Options
	// Scope receives the counters; nil disables them.
	Scope tally.Scope
}

// Client implements engine.Inference, engine.Reporter, engine.OrderDialer, engine.Canceller and engine.CacheTransfer.
// It is safe for concurrent use.
type Client struct {
	options     Options
	pool        *httpconn.Pool
	cancelSlots chan struct{}

	// mu prevents a cancellation from starting after Close has begun to wait for those in progress.
	mu            sync.Mutex
	closed        bool
	cancellations conc.WaitGroup

	mismatchedResponses  tally.Counter
	repeatedChunks       tally.Counter
	truncatedResponses   tally.Counter
	skippedCancellations tally.Counter
}

var (
	_ engine.Inference     = (*Client)(nil)
	_ engine.Reporter      = (*Client)(nil)
	_ engine.OrderDialer   = (*Client)(nil)
	_ engine.Canceller     = (*Client)(nil)
	_ engine.CacheTransfer = (*Client)(nil)
)

// New returns a client, which must be closed.
func New(options Options) *Client {
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	scope := options.Scope.SubScope("engine")
	return &Client{
		options:              options,
		pool:                 httpconn.NewPool(options.Connections),
		cancelSlots:          make(chan struct{}, maxConcurrentCancellations),
		mismatchedResponses:  scope.Counter("mismatched_responses"),
		repeatedChunks:       scope.Counter("repeated_chunks"),
		truncatedResponses:   scope.Counter("truncated_responses"),
		skippedCancellations: scope.Counter("skipped_cancellations"),
	}
}

// Close waits for cancellations in progress and closes idle connections. Calls that end after Close are not cancelled
// at the engine.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancellations.Wait()
	c.pool.Close()
}

// UnsolicitedResponses returns the number of connections that were closed because they received bytes that belong to no
// request.
func (c *Client) UnsolicitedResponses() int64 {
	return c.pool.UnsolicitedResponses()
}

// Complete implements engine.Inference.
func (c *Client) Complete(ctx context.Context, target engine.Target, call engine.Call) (engine.Response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	deadline := fillInferenceRequest(req, target, call)
	err := c.pool.Do(ctx, target.URL, deadline, req, resp, maxResponseBytes)
	if err == nil {
		err = checkResponse(resp, call.RequestID, resp.Body())
	}
	if err != nil {
		c.countError(err)
		if isContextError(err) {
			c.Cancel(target, call.RequestID)
		}
		return engine.Response{}, err
	}
	body := append([]byte(nil), resp.Body()...)
	usage, err := checkComplete(body)
	if err != nil {
		c.countError(err)
		return engine.Response{}, err
	}
	return engine.Response{
		Status:       resp.StatusCode(),
		ContentType:  string(resp.Header.ContentType()),
		Body:         body,
		InputTokens:  usage.PromptTokens,
		OutputTokens: usage.CompletionTokens,
	}, nil
}

func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

func (c *Client) countError(err error) {
	switch {
	case errors.Is(err, engine.ErrRequestIDMismatch):
		c.mismatchedResponses.Inc(1)
	case errors.Is(err, engine.ErrTruncated):
		c.truncatedResponses.Inc(1)
	}
}

// fillInferenceRequest builds the request of a call and returns its deadline.
func fillInferenceRequest(req *fasthttp.Request, target engine.Target, call engine.Call) time.Time {
	deadline := call.Deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(defaultCallTimeout)
	}
	fillRequest(req, fasthttp.MethodPost, target, call.Path, call.Body)
	req.Header.Set(HeaderRequestID, call.RequestID)
	req.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	remaining := max(time.Until(deadline).Milliseconds(), 1)
	req.Header.Set(HeaderTimeout, strconv.FormatInt(remaining, 10))
	return deadline
}

func fillRequest(req *fasthttp.Request, method string, target engine.Target, path string, body []byte) {
	req.SetRequestURI(target.URL + path)
	req.Header.SetMethod(method)
	req.Header.SetUserAgent("mulberryglade")
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
}

// checkResponse verifies the request id and returns an error for a status outside of 2xx. A success without the id is
// dropped, because it may be the response to another request. A failure without the id does not prove that the request
// did not run.
func checkResponse(resp *fasthttp.Response, requestID string, body []byte) error {
	status := resp.StatusCode()
	succeeded := status >= fasthttp.StatusOK && status < fasthttp.StatusMultipleChoices
	echoed := string(resp.Header.Peek(HeaderRequestID))
	if echoed != requestID && (echoed != "" || succeeded) {
		return errors.Wrapf(engine.ErrRequestIDMismatch, "sent id %q, received id %q", requestID, echoed)
	}
	if succeeded {
		return nil
	}
	rejected := status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable
	statedNotRun := string(resp.Header.Peek(HeaderNotRun)) == "true" && echoed == requestID
	retryAfterSeconds, _ := strconv.Atoi(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	return &engine.StatusError{
		Status:     status,
		Body:       append([]byte(nil), body...),
		NotRun:     rejected && statedNotRun,
		RetryAfter: time.Duration(max(retryAfterSeconds, 0)) * time.Second,
	}
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// checkComplete returns the token counts of a response. It returns an error unless the body is JSON with a finish
// reason in each choice.
func checkComplete(body []byte) (usage, error) {
	var parsed struct {
		Choices []struct {
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
		Usage usage `json:"usage"`
	}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return usage{}, errors.Wrapf(engine.ErrTruncated, "response is not JSON: %v", err)
	}
	if len(parsed.Choices) == 0 {
		return usage{}, errors.Wrap(engine.ErrTruncated, "response has no choices")
	}
	for _, choice := range parsed.Choices {
		if choice.FinishReason == nil || *choice.FinishReason == "" {
			return usage{}, errors.Wrap(engine.ErrTruncated, "response has no finish reason")
		}
	}
	return parsed.Usage, nil
}

// Cancel implements engine.Canceller.
func (c *Client) Cancel(target engine.Target, requestID string) {
	select {
	case c.cancelSlots <- struct{}{}:
	default:
		c.skippedCancellations.Inc(1)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		<-c.cancelSlots
		return
	}
	c.cancellations.Go(func() {
		defer func() { <-c.cancelSlots }()
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		fillRequest(req, fasthttp.MethodDelete, target, PathRequests+requestID, nil)
		deadline := time.Now().Add(controlTimeout)
		// The error is ignored: the engine drops a request with a closed connection anyway, only later.
		_ = c.pool.Do(context.Background(), target.URL, deadline, req, resp, maxReportBytes)
	})
}

// Report implements engine.Reporter.
func (c *Client) Report(ctx context.Context, target engine.Target) (engine.Report, error) {
	var report engine.Report
	err := c.getJSON(ctx, target, PathReport, &report)
	return report, err
}

// CacheEvents implements engine.Reporter.
func (c *Client) CacheEvents(ctx context.Context, target engine.Target, after int64) ([]engine.CacheEvent, error) {
	events := []engine.CacheEvent{}
	err := c.getJSON(ctx, target, PathCacheEvents+"?after="+strconv.FormatInt(after, 10), &events)
	return events, err
}

func (c *Client) getJSON(ctx context.Context, target engine.Target, path string, result any) error {
	body, err := c.doControl(ctx, target, fasthttp.MethodGet, path, nil, maxReportBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, result); err != nil {
		return errors.Wrapf(engine.ErrTruncated, "%s: %v", path, err)
	}
	return nil
}

type exportRequest struct {
	Model        string   `json:"model"`
	PrefixHashes []uint64 `json:"prefixHashes"`
}

// ExportCache implements engine.CacheTransfer.
func (c *Client) ExportCache(ctx context.Context, target engine.Target, model string, prefixHashes []uint64) ([]byte, error) {
	body, err := json.Marshal(exportRequest{Model: model, PrefixHashes: prefixHashes})
	if err != nil {
		return nil, errors.Wrap(err, "encode export request")
	}
	return c.doControl(ctx, target, fasthttp.MethodPost, PathKVExport, body, maxCacheExportBytes)
}

type importRequest struct {
	Model  string `json:"model"`
	Blocks []byte `json:"blocks"`
}

// ImportCache implements engine.CacheTransfer.
func (c *Client) ImportCache(ctx context.Context, target engine.Target, model string, blocks []byte) error {
	body, err := json.Marshal(importRequest{Model: model, Blocks: blocks})
	if err != nil {
		return errors.Wrap(err, "encode import request")
	}
	_, err = c.doControl(ctx, target, fasthttp.MethodPost, PathKVImport, body, maxReportBytes)
	return err
}

// doControl runs a call without a request id and returns the body of the response.
func (c *Client) doControl(ctx context.Context, target engine.Target, method, path string, body []byte, maxBytes int) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fillRequest(req, method, target, path, body)
	if err := c.pool.Do(ctx, target.URL, controlDeadline(ctx), req, resp, maxBytes); err != nil {
		return nil, err
	}
	if err := checkResponse(resp, "", resp.Body()); err != nil {
		return nil, err
	}
	return append([]byte(nil), resp.Body()...), nil
}

func controlDeadline(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(controlTimeout)
}
