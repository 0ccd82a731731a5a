// Package httpconn sends HTTP/1.1 requests on connections that it dials itself. It uses fasthttp's message codec but not
// its client: that client repeats some requests on its own after a broken connection and does not tell whether a byte
// of the request was written. Here a request is written at most once, and each error says whether it may have left.
package httpconn

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// readBufferBytes also bounds the size of a response header.
const readBufferBytes = 16 << 10

// contentLengthIdentity is fasthttp's content length of a body that ends with the connection.
const contentLengthIdentity = -2

// errUnframed means that a body has neither a length nor chunks, so that its completeness cannot be checked.
var errUnframed = errors.New("response body has no length")

// Conn is one connection. It is not safe for concurrent use.
type Conn struct {
	address   string
	raw       *countingConn
	stream    net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	// idleLimit is how long the endpoint said that it keeps the connection when it is idle; zero means that it did not.
	idleLimit time.Duration
	broken    bool
	accept    AcceptFunc
	unframed  bool
}

// AcceptFunc tells whether a response belongs to the request that was sent. A response that does not is dropped and the
// next one on the connection is read: a faulty endpoint may answer a request twice.
type AcceptFunc func(req *fasthttp.Request, resp *fasthttp.Response) bool

// maxForeignResponses bounds the responses that are dropped before a connection counts as broken.
const maxForeignResponses = 4

// countingConn counts the bytes that the kernel accepted and notes timeouts: fasthttp wraps some errors so that their
// cause cannot be found.
type countingConn struct {
	net.Conn
	written  atomic.Int64
	timedOut atomic.Bool
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.note(err)
	return n, err
}

func (c *countingConn) note(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.timedOut.Store(true)
	}
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	c.note(err)
	return n, err
}

// Dial connects to the host of a URL. The error wraps engine.ErrNotSent.
func Dial(ctx context.Context, baseURL string, timeout time.Duration, tlsConfig *tls.Config) (*Conn, error) {
	return DialFrom(ctx, nil, baseURL, timeout, tlsConfig)
}

// DialFrom is Dial from a source address; nil lets the system choose it.
func DialFrom(ctx context.Context, source net.IP, baseURL string, timeout time.Duration, tlsConfig *tls.Config) (*Conn, error) {
	parsed, err := url.Parse(baseURL)
	if err != nil {
		return nil, notSent(err)
	}
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: silencePeriod, Control: setUserTimeout}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	raw, err := dialer.DialContext(ctx, "tcp", parsed.Host)
	if err != nil {
		return nil, notSent(err)
	}
	counting := &countingConn{Conn: raw}
	conn := &Conn{address: baseURL, raw: counting, stream: counting}
	if parsed.Scheme == "https" {
		secured := tls.Client(counting, configFor(tlsConfig, parsed.Hostname()))
		handshakeCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		if err := secured.HandshakeContext(handshakeCtx); err != nil {
			_ = raw.Close()
			return nil, notSent(err)
		}
		conn.stream = secured
	}
	conn.reader = bufio.NewReaderSize(conn.stream, readBufferBytes)
	conn.writer = bufio.NewWriter(conn.stream)
	return conn, nil
}

// silencePeriod ends connections whose peer is gone without a reset after some four seconds.
var silencePeriod = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// userTimeout is how long sent bytes may stay without an acknowledgement.
const userTimeout = 4 * time.Second

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failure)
}

func configFor(base *tls.Config, host string) *tls.Config {
	if base == nil {
		return &tls.Config{ServerName: host, MinVersion: tls.VersionTLS12}
	}
	cfg := base.Clone()
	if cfg.ServerName == "" {
		cfg.ServerName = host
	}
	return cfg
}

func notSent(cause error) error {
	return errors.Wrapf(engine.ErrNotSent, "%v", cause)
}

// Close closes the connection.
func (c *Conn) Close() {
	c.broken = true
	_ = c.raw.Conn.Close()
}

// Body is the body of a response that is read while it arrives.
type Body struct {
	conn   *Conn
	ctx    context.Context
	stop   func() bool
	resp   *fasthttp.Response
	reader io.Reader
	ended  bool
	done   func()
}

// Do writes the request once and reads the complete response into resp. Errors: engine.ErrNotSent when no byte was
// written; engine.ErrConnectionLost when the connection broke before the response header was complete;
// engine.ErrTruncated when the body ended early, has no length or exceeds maxBytes; context.Canceled or
// context.DeadlineExceeded when time ran out after bytes were written.
func (c *Conn) Do(ctx context.Context, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response, maxBytes int) error {
	stop, err := c.send(ctx, deadline, req, resp)
	if err != nil {
		return err
	}
	err = c.readBody(ctx, resp, maxBytes)
	if !stop() {
		c.broken = true
	}
	return err
}

// Open is like Do but returns the body while it arrives. Body.Close must follow a nil error.
func (c *Conn) Open(ctx context.Context, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response) (*Body, error) {
	stop, err := c.send(ctx, deadline, req, resp)
	if err != nil {
		return nil, err
	}
	reader, err := c.bodyReader(resp)
	if err != nil {
		stop()
		c.broken = true
		return nil, errors.Wrapf(engine.ErrTruncated, "%v", err)
	}
	return &Body{conn: c, ctx: ctx, stop: stop, resp: resp, reader: reader}, nil
}

// bodyReader returns a reader of the body that yields bytes as they arrive and io.EOF only at the body's end.
func (c *Conn) bodyReader(resp *fasthttp.Response) (io.Reader, error) {
	length := resp.Header.ContentLength()
	switch {
	case bodyless(resp):
		return &exactReader{}, nil
	case length >= 0:
		return &exactReader{source: c.reader, left: length}, nil
	case length == contentLengthIdentity:
		c.broken = true
		if !c.unframed {
			return nil, errUnframed
		}
		return c.reader, nil
	}
	resp.StreamBody = true
	if err := resp.ReadBody(c.reader, 0); err != nil {
		return nil, err
	}
	return resp.BodyStream(), nil
}

// exactReader reads a body of known length; a connection that ends before is an unexpected end.
type exactReader struct {
	source io.Reader
	left   int
}

// Read implements io.Reader.
func (r *exactReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	if errors.Is(err, io.EOF) && r.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return n, err
}

// send writes the request and reads the response header. After an error the connection is broken.
func (c *Conn) send(ctx context.Context, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response) (func() bool, error) {
	if err := ctx.Err(); err != nil {
		return nil, notSent(err)
	}
	before := c.raw.written.Load()
	if err := c.raw.SetDeadline(deadline); err != nil {
		c.broken = true
		return nil, notSent(err)
	}
	// A deadline in the past ends reads and writes in progress without a race on closing the connection.
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	err := c.exchangeHeader(req, resp)
	if err == nil {
		return stop, nil
	}
	stop()
	c.broken = true
	if c.raw.written.Load() == before {
		return nil, notSent(err)
	}
	if timeErr := c.timeError(ctx); timeErr != nil {
		return nil, timeErr
	}
	return nil, errors.Wrapf(engine.ErrConnectionLost, "%v", err)
}

func (c *Conn) exchangeHeader(req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := c.write(req); err != nil {
		// The endpoint may have answered and closed before it read the whole body; that answer is still there.
		if c.raw.written.Load() == 0 || c.readHeader(req, resp) != nil {
			return err
		}
		c.broken = true
		return nil
	}
	return c.readHeader(req, resp)
}

func (c *Conn) write(req *fasthttp.Request) error {
	if err := req.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readHeader reads response headers until one belongs to the request.
func (c *Conn) readHeader(req *fasthttp.Request, resp *fasthttp.Response) error {
	for range maxForeignResponses {
		resp.SkipBody = req.Header.IsHead()
		if err := resp.Header.Read(c.reader); err != nil {
			return err
		}
		// An interim response would need a second header; no endpoint of this system sends one.
		if status := resp.StatusCode(); status < fasthttp.StatusOK {
			return errors.Newf("unexpected interim status %d", status)
		}
		c.noteKeepAlive(resp)
		if c.accept == nil || c.accept(req, resp) {
			return nil
		}
		if resp.Header.ContentLength() == contentLengthIdentity {
			return errors.New("response without a length belongs to another request")
		}
		if err := resp.ReadBody(c.reader, maxForeignBytes); err != nil {
			return err
		}
		resp.Reset()
	}
	return errors.New("responses belong to other requests")
}

// maxForeignBytes bounds the body of a response that is dropped.
const maxForeignBytes = 1 << 20

// noteKeepAlive remembers how long the endpoint keeps the connection when it is idle.
func (c *Conn) noteKeepAlive(resp *fasthttp.Response) {
	const parameter = "timeout="
	value := string(resp.Header.Peek("Keep-Alive"))
	at := strings.Index(value, parameter)
	if at < 0 {
		return
	}
	value, _, _ = strings.Cut(value[at+len(parameter):], ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(value))
	if err == nil && seconds > 0 {
		c.idleLimit = time.Duration(seconds) * time.Second
	}
}

// timeError returns the context's error or context.DeadlineExceeded when time ran out, else nil.
func (c *Conn) timeError(ctx context.Context) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if c.raw.timedOut.Load() {
		return context.DeadlineExceeded
	}
	return nil
}

func bodyless(resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	return resp.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

func (c *Conn) readBody(ctx context.Context, resp *fasthttp.Response, maxBytes int) error {
	if resp.ConnectionClose() {
		c.broken = true
	}
	if bodyless(resp) {
		return nil
	}
	length := resp.Header.ContentLength()
	if length == contentLengthIdentity {
		c.broken = true
		return c.readUnframed(ctx, resp, maxBytes)
	}
	err := resp.ReadBody(c.reader, maxBytes)
	if err == nil && length == -1 {
		err = resp.Header.ReadTrailer(c.reader)
	}
	if err == nil {
		return nil
	}
	c.broken = true
	if timeErr := c.timeError(ctx); timeErr != nil {
		return timeErr
	}
	return errors.Wrapf(engine.ErrTruncated, "%v", err)
}

// readUnframed reads a body that ends with the connection. An orderly close ends it; a reset does not.
func (c *Conn) readUnframed(ctx context.Context, resp *fasthttp.Response, maxBytes int) error {
	if !c.unframed {
		return errors.Wrapf(engine.ErrTruncated, "%v", errUnframed)
	}
	body, err := io.ReadAll(io.LimitReader(c.reader, int64(maxBytes)+1))
	switch {
	case err == nil && len(body) <= maxBytes:
		resp.SetBodyRaw(body)
		return nil
	case err == nil:
		return errors.Wrapf(engine.ErrTruncated, "body exceeds %d bytes", maxBytes)
	}
	if timeErr := c.timeError(ctx); timeErr != nil {
		return timeErr
	}
	return errors.Wrapf(engine.ErrTruncated, "%v", err)
}

// Read implements io.Reader. io.EOF follows the framed end of the body. Errors: as Conn.Do after the header.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.ended = true
		return n, io.EOF
	}
	b.conn.broken = true
	if timeErr := b.conn.timeError(b.ctx); timeErr != nil {
		return n, timeErr
	}
	return n, errors.Wrapf(engine.ErrConnectionLost, "%v", err)
}

// Drain reads the framed end of a body whose content is complete, so that the connection can be reused. It waits at most
// for the timeout.
func (b *Body) Drain(timeout time.Duration) {
	_ = b.conn.raw.SetDeadline(time.Now().Add(timeout))
	n, err := b.Read(make([]byte, 1))
	if n > 0 || !errors.Is(err, io.EOF) {
		b.conn.broken = true
	}
}

// Close releases the connection; it is reused only when the body was read to its end.
func (b *Body) Close() {
	if b.conn == nil {
		return
	}
	stopped := b.stop()
	if !b.ended || !stopped || b.resp.ConnectionClose() {
		b.conn.broken = true
	}
	if b.done != nil {
		b.done()
	}
	b.conn = nil
}
