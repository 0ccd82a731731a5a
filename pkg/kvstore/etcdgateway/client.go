// Package etcdgateway adapts kvstore.Store to the published API shape of the etcd v3 JSON gateway.
//
// It uses net/http rather than fasthttp: a watch is a response body that is read while it arrives, each call has a
// context, and the transport reuses connections. net/http resends a request by itself only if the method is
// idempotent, an Idempotency-Key header is set, or nothing was written and the body can be rewound. All calls here are
// POST without that header and without GetBody, so the transport never resends one.
package etcdgateway

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryglade/mulberryglade/pkg/httpresponse"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// maxResponseBytes bounds the memory for one response.
const maxResponseBytes = 64 << 20

// defaultTimeout applies if Options.Timeout is not set.
const defaultTimeout = 2 * time.Second

// Options are the parameters of New.
type Options struct {
	// URLs are base URLs of the service, such as http://10.0.0.1:2379; they are equivalent.
	URLs []string
	// Timeout bounds each call, including its attempts at all URLs. It does not bound a watch that has been created.
	Timeout time.Duration
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
	// TLS is used for https URLs.
	TLS *tls.Config
	// Source is the source address of connections; nil lets the system choose.
	Source net.IP
}

// Client is a kvstore.Store. It is safe for concurrent use.
type Client struct {
	urls      []string
	timeout   time.Duration
	scope     tally.Scope
	transport *http.Transport
	// preferred is the index of the URL that is tried first: the one that responded last, or the one after a failed URL.
	preferred      atomic.Int32
	pendingWatches atomic.Int64
}

var _ kvstore.Store = (*Client)(nil)

// New returns a client; it opens no connection.
func New(o Options) (*Client, error) {
	if len(o.URLs) == 0 {
		return nil, errors.New("no URL of the key-value store")
	}
	c := &Client{timeout: o.Timeout, scope: o.Scope}
	for _, url := range o.URLs {
		c.urls = append(c.urls, strings.TrimRight(url, "/"))
	}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	if c.scope == nil {
		c.scope = tally.NoopScope
	}
	c.scope = c.scope.SubScope("kvstore")
	c.transport = newTransport(o.TLS, o.Source, c.timeout/time.Duration(len(c.urls)))
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Get implements kvstore.Reader.
func (c *Client) Get(ctx context.Context, key string) (kvstore.KeyValue, bool, kvstore.Revision, error) {
	kvs, revision, err := c.readRange(ctx, "get", rangeRequest{Key: []byte(key)})
	if err != nil || len(kvs) == 0 {
		return kvstore.KeyValue{}, false, revision, err
	}
	return kvs[0], true, revision, nil
}

// Range implements kvstore.Reader.
func (c *Client) Range(ctx context.Context, prefix string) ([]kvstore.KeyValue, kvstore.Revision, error) {
	return c.readRange(ctx, "range", prefixRange(prefix))
}

func (c *Client) readRange(ctx context.Context, name string, request rangeRequest) ([]kvstore.KeyValue, kvstore.Revision, error) {
	var kvs []kvstore.KeyValue
	var revision kvstore.Revision
	err := c.do(ctx, unaryCall{name: name, path: "/v3/kv/range", request: request, parse: func(raw []byte) (err error) {
		kvs, revision, err = parseRange(raw)
		return err
	}})
	if err != nil {
		return nil, 0, err
	}
	return kvs, revision, nil
}

// Commit implements kvstore.Writer.
func (c *Client) Commit(ctx context.Context, writes []kvstore.ConditionalWrite) ([]kvstore.WriteResult, error) {
	if len(writes) == 0 {
		return nil, nil
	}
	for _, w := range writes {
		for _, p := range w.Puts {
			if len(p.Value) > kvstore.MaxValueBytes {
				return nil, kvstore.ErrValueTooLarge
			}
		}
	}
	var results []kvstore.WriteResult
	err := c.do(ctx, unaryCall{name: "commit", path: "/v3/kv/txn", request: encodeCommit(writes), write: true, parse: func(raw []byte) (err error) {
		results, err = parseCommit(raw, len(writes))
		return err
	}})
	if err != nil {
		return nil, err
	}
	return results, nil
}

// Grant implements kvstore.Leaser. The service counts in whole seconds; ttl is rounded up.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, time.Duration, error) {
	request := leaseRequest{TTL: int64((ttl + time.Second - 1) / time.Second)}
	var id, seconds int64
	err := c.do(ctx, unaryCall{name: "grant", path: "/v3/lease/grant", request: request, write: true, parse: func(raw []byte) (err error) {
		id, seconds, err = parseLease(raw)
		return err
	}})
	if err != nil {
		return 0, 0, err
	}
	return kvstore.LeaseID(id), time.Duration(seconds) * time.Second, nil
}

// KeepAlive implements kvstore.Leaser. It is retried at the next URL like a read, because renewing twice is harmless.
func (c *Client) KeepAlive(ctx context.Context, id kvstore.LeaseID) (time.Duration, error) {
	var seconds int64
	err := c.do(ctx, unaryCall{name: "keepalive", path: "/v3/lease/keepalive", request: leaseRequest{ID: int64(id)}, parse: func(raw []byte) (err error) {
		_, seconds, err = parseLease(raw)
		return err
	}})
	if err != nil {
		return 0, err
	}
	// The service reports a missing lease by a time to live of zero.
	if seconds <= 0 {
		return 0, kvstore.ErrLeaseNotFound
	}
	return time.Duration(seconds) * time.Second, nil
}

// Revoke implements kvstore.Leaser.
func (c *Client) Revoke(ctx context.Context, id kvstore.LeaseID) error {
	err := c.do(ctx, unaryCall{name: "revoke", path: "/v3/lease/revoke", request: leaseRequest{ID: int64(id)}, write: true, parse: func(raw []byte) error {
		response, err := parseObject(raw)
		if err != nil {
			return err
		}
		_, err = response.headerRevision()
		return err
	}})
	if errors.Is(err, kvstore.ErrLeaseNotFound) {
		return nil
	}
	return err
}

// unaryCall is one call with one response.
type unaryCall struct {
	name    string
	path    string
	request any
	// write marks a call that is retried at another URL only if no byte of it was sent.
	write bool
	parse func(raw []byte) error
}

func (c *Client) do(ctx context.Context, call unaryCall) error {
	body, err := json.Marshal(call.request)
	if err != nil {
		return wrapAs(kvstore.ErrUnavailable, errors.Wrap(err, "encode request"))
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	first := int(c.preferred.Load())
	for i := range c.urls {
		index := (first + i) % len(c.urls)
		var retry bool
		retry, err = c.attempt(ctx, call, body, index, len(c.urls)-i)
		c.countCall(call.name, err)
		if err == nil {
			c.preferred.Store(int32(index))
			return nil
		}
		if errors.IsAny(err, kvstore.ErrUnavailable, kvstore.ErrOutcomeUnknown) {
			// A write whose response is lost is not retried. If the preferred URL stayed the same, the next write would go to
			// the same unresponsive server.
			c.preferred.Store(int32((index + 1) % len(c.urls)))
		}
		if !retry || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// attempt sends the call to one URL and reports whether it may be retried at another URL. A read gets an equal fraction
// of the remaining time, so that one unresponsive server does not use up all of it. A write gets all of it, because a
// write is not retried once it was sent.
func (c *Client) attempt(ctx context.Context, call unaryCall, body []byte, index, remainingURLs int) (retry bool, err error) {
	if deadline, ok := ctx.Deadline(); ok && !call.write {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/time.Duration(remainingURLs))
		defer cancel()
	}
	tracker := &sendTracker{}
	response, err := c.send(tracker.attach(ctx), c.urls[index]+call.path, body)
	if err != nil {
		if tracker.ensureUnsent() {
			return true, wrapAs(kvstore.ErrUnavailable, err)
		}
		return !call.write, errorAfterSend(err, call.write)
	}
	defer response.Body.Close()
	raw, err := readUnary(response, call.name)
	if err != nil {
		return !call.write, errorAfterSend(err, call.write)
	}
	if response.StatusCode != http.StatusOK || call.name == "keepalive" && isStreamError(raw) {
		status := parseStatus(raw)
		return !call.write && status.code == codeUnavailable, status.storeError(call.write)
	}
	if err := call.parse(raw); err != nil {
		return !call.write, errorAfterSend(err, call.write)
	}
	return false, nil
}

func errorAfterSend(err error, write bool) error {
	if write {
		return wrapAs(kvstore.ErrOutcomeUnknown, err)
	}
	return wrapAs(kvstore.ErrUnavailable, err)
}

func (c *Client) send(ctx context.Context, url string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	// Without GetBody the transport cannot send the body a second time.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	// All bodies are JSON, which shows whether they are whole.
	if err := httpresponse.CheckDecoded(response.StatusCode, response.Header); err != nil {
		_ = response.Body.Close()
		c.scope.Tagged(map[string]string{"cause": string(httpresponse.CauseOf(err))}).Counter("rejected_responses").Inc(1)
		return nil, err
	}
	return response, nil
}

// readUnary reads a whole response. Of the stream that the keep-alive endpoint returns it reads only the first message.
func readUnary(response *http.Response, call string) ([]byte, error) {
	if call == "keepalive" && response.StatusCode == http.StatusOK {
		var raw json.RawMessage
		err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&raw)
		return raw, errors.Wrap(err, "read response")
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if len(raw) > maxResponseBytes {
		return nil, errors.Newf("response exceeds %d bytes", maxResponseBytes)
	}
	return raw, nil
}

// isStreamError reports whether the message is an error that a streaming endpoint sends with status 200.
func isStreamError(raw []byte) bool {
	response, err := parseObject(raw)
	return err == nil && response.has("error")
}

func (c *Client) countCall(call string, err error) {
	tags := map[string]string{"call": call, "result": resultName(err)}
	c.scope.Tagged(tags).Counter("calls").Inc(1)
}

func resultName(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, kvstore.ErrOutcomeUnknown):
		return "outcome_unknown"
	case errors.Is(err, kvstore.ErrLeaseNotFound):
		return "lease_not_found"
	case errors.Is(err, kvstore.ErrValueTooLarge):
		return "too_large"
	case errors.Is(err, kvstore.ErrCompacted):
		return "compacted"
	default:
		return "unavailable"
	}
}
