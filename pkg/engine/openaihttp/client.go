// Package openaihttp is the adapter of the engine interfaces for engines with an OpenAI-compatible HTTP interface. It
// never repeats a request by itself.
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

// Headers of the engine's protocol.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderPriority     = "X-Priority"
	HeaderTimeout      = "X-Request-Timeout-Ms"
	HeaderResumeOffset = "X-Resume-Offset"
	HeaderNotRun       = "X-Not-Run"
)

// Paths of the engine's protocol besides the OpenAI-compatible ones.
const (
	PathReport      = "/v1/engine/report"
	PathCacheEvents = "/v1/engine/cache-events"
	PathOrders      = "/v1/engine/orders"
	PathKVExport    = "/v1/engine/kv/export"
	PathKVImport    = "/v1/engine/kv/import"
	PathRequests    = "/v1/requests/"
)

const (
	maxResponseBytes = 16 << 20
	maxReportBytes   = 4 << 20
	maxCacheBytes    = 256 << 20
	// controlTimeout bounds reports, cache events and cancellations when the context has no deadline.
	controlTimeout = 2 * time.Second
	// callTimeout bounds calls without a deadline.
	callTimeout = 10 * time.Minute
	// maxCancels bounds concurrent cancellations; the engine also cancels a request some time after its connection broke.
	maxCancels = 64
)

// Options configures a Client.
type Options struct {
	Connections httpconn.Options
	// Scope receives the counters; nil means none.
	Scope tally.Scope
}

// Client implements engine.Inference, engine.Reporter, engine.OrderDialer, engine.Canceller and engine.CacheTransfer. It
// is safe for concurrent use.
type Client struct {
	options Options
	pool    *httpconn.Pool
	cancels chan struct{}

	// mu orders the start of cancellations before Close, which waits for them.
	mu      sync.Mutex
	closed  bool
	workers conc.WaitGroup

	mismatched tally.Counter
	repeated   tally.Counter
	truncated  tally.Counter
	skipped    tally.Counter
}

var (
	_ engine.Inference     = (*Client)(nil)
	_ engine.Reporter      = (*Client)(nil)
	_ engine.OrderDialer   = (*Client)(nil)
	_ engine.Canceller     = (*Client)(nil)
	_ engine.CacheTransfer = (*Client)(nil)
)

// New returns a client; Close stops it.
func New(options Options) *Client {
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	scope := options.Scope.SubScope("engine")
	return &Client{
		options:    options,
		pool:       httpconn.NewPool(options.Connections),
		cancels:    make(chan struct{}, maxCancels),
		mismatched: scope.Counter("mismatched_responses"),
		repeated:   scope.Counter("repeated_chunks"),
		truncated:  scope.Counter("truncated_responses"),
		skipped:    scope.Counter("skipped_cancellations"),
	}
}

// Close waits for cancellations and closes idle connections. Calls that end later are not cancelled at the engine.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.workers.Wait()
	c.pool.Close()
}

// UnsolicitedResponses returns how many connections were dropped because bytes arrived that no request waited for.
func (c *Client) UnsolicitedResponses() int64 {
	return c.pool.Unsolicited()
}

// Complete implements engine.Inference.
func (c *Client) Complete(ctx context.Context, target engine.Target, call engine.Call) (engine.Response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	deadline := fillCall(req, target, call)
	err := c.pool.Do(ctx, target.URL, deadline, req, resp, maxResponseBytes)
	if err == nil {
		err = checkResponse(resp, call.RequestID, resp.Body())
	}
	if err != nil {
		c.count(err)
		if isTimeError(err) {
			c.Cancel(target, call.RequestID)
		}
		return engine.Response{}, err
	}
	body := append([]byte(nil), resp.Body()...)
	usage, err := verifyBody(body)
	if err != nil {
		c.count(err)
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

func isTimeError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

func (c *Client) count(err error) {
	switch {
	case errors.Is(err, engine.ErrRequestIDMismatch):
		c.mismatched.Inc(1)
	case errors.Is(err, engine.ErrTruncated):
		c.truncated.Inc(1)
	}
}

// fillCall builds the request and returns the call's deadline.
func fillCall(req *fasthttp.Request, target engine.Target, call engine.Call) time.Time {
	deadline := call.Deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(callTimeout)
	}
	fill(req, fasthttp.MethodPost, target, call.Path, call.Body)
	req.Header.Set(HeaderRequestID, call.RequestID)
	req.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	remaining := max(time.Until(deadline).Milliseconds(), 1)
	req.Header.Set(HeaderTimeout, strconv.FormatInt(remaining, 10))
	return deadline
}

func fill(req *fasthttp.Request, method string, target engine.Target, path string, body []byte) {
	req.SetRequestURI(target.URL + path)
	req.Header.SetMethod(method)
	req.Header.SetUserAgent("mulberryglade")
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
}

// checkResponse verifies the request id and turns a status outside of 2xx into an error. A success without the id is
// dropped: it cannot be told from another request's response. A failure without the id cannot prove that the request did
// not run.
func checkResponse(resp *fasthttp.Response, requestID string, body []byte) error {
	status := resp.StatusCode()
	succeeded := status >= fasthttp.StatusOK && status < fasthttp.StatusMultipleChoices
	echoed := string(resp.Header.Peek(HeaderRequestID))
	if echoed != requestID && (echoed != "" || succeeded) {
		return errors.Wrapf(engine.ErrRequestIDMismatch, "sent %q, received %q", requestID, echoed)
	}
	if succeeded {
		return nil
	}
	refusal := status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable
	stated := string(resp.Header.Peek(HeaderNotRun)) == "true" && echoed == requestID
	seconds, _ := strconv.Atoi(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	return &engine.StatusError{
		Status:     status,
		Body:       append([]byte(nil), body...),
		NotRun:     refusal && stated,
		RetryAfter: time.Duration(max(seconds, 0)) * time.Second,
	}
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// verifyBody checks that a response is complete: JSON with a finish reason in each choice.
func verifyBody(body []byte) (usage, error) {
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
	case c.cancels <- struct{}{}:
	default:
		c.skipped.Inc(1)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		<-c.cancels
		return
	}
	c.workers.Go(func() {
		defer func() { <-c.cancels }()
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		fill(req, fasthttp.MethodDelete, target, PathRequests+requestID, nil)
		deadline := time.Now().Add(controlTimeout)
		// The engine drops a request whose connection is gone anyway; a failure here only delays that.
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

func (c *Client) getJSON(ctx context.Context, target engine.Target, path string, into any) error {
	body, err := c.control(ctx, target, fasthttp.MethodGet, path, nil, maxReportBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
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
	return c.control(ctx, target, fasthttp.MethodPost, PathKVExport, body, maxCacheBytes)
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
	_, err = c.control(ctx, target, fasthttp.MethodPost, PathKVImport, body, maxReportBytes)
	return err
}

// control runs a call that carries no request id.
func (c *Client) control(ctx context.Context, target engine.Target, method, path string, body []byte, maxBytes int) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fill(req, method, target, path, body)
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
