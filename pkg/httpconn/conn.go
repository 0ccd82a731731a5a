// Package httpconn sends HTTP/1.1 requests on connections that it dials itself. It uses the message codec of fasthttp
// but not its client, which retries some requests after a broken connection and does not report whether a byte of the
// request was written. This package writes a request at most once, and each error shows whether a byte may have been
// sent.
package httpconn

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/httpresponse"
	"github.com/mulberryglade/mulberryglade/pkg/membudget"
	"github.com/mulberryglade/mulberryglade/pkg/tcpopt"
)

// readBufferBytes is the size of the read buffer. It also bounds the size of a response header.
const readBufferBytes = 16 << 10

// ErrBodyTooLarge marks an error that is due to a body above the caller's bound.
var ErrBodyTooLarge = errors.New("response body is too large")

// errCloseDelimited means that a body has neither a length nor chunks, so that its completeness cannot be checked.
var errCloseDelimited = errors.New("response body has no length")

// Conn is one connection. It is not safe for concurrent use.
type Conn struct {
	baseURL   string
	raw       *countingConn
	stream    net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	// endpointIdleTimeout is the time for which the endpoint keeps an idle connection, from its Keep-Alive header. Zero
	// means that it sent none.
	endpointIdleTimeout time.Duration
	// unusable is set when the connection must not be reused.
	unusable            bool
	accept              AcceptFunc
	allowCloseDelimited bool
	rejections          *Rejections
	// head is the framing of the current response.
	head httpresponse.Head
	// progress extends the deadline of the next call.
	progress Progress
}

// AcceptFunc reports whether a response belongs to the request that was sent. If not, the response is dropped and the
// next one on the connection is read, since a faulty endpoint may respond to a request twice.
type AcceptFunc func(req *fasthttp.Request, resp *fasthttp.Response) bool

// maxMismatchedResponses is the number of responses to other requests after which a connection counts as broken.
const maxMismatchedResponses = 4

// Dial connects to the host of a URL. All its errors wrap engine.ErrNotSent.
func Dial(ctx context.Context, baseURL string, timeout time.Duration, tlsConfig *tls.Config) (*Conn, error) {
	return DialFrom(ctx, nil, baseURL, timeout, tlsConfig)
}

// DialFrom is like Dial and sets the source address; nil lets the system choose it.
func DialFrom(ctx context.Context, source net.IP, baseURL string, timeout time.Duration, tlsConfig *tls.Config) (*Conn, error) {
	parsed, err := url.Parse(baseURL)
	if err != nil {
		return nil, notSent(err)
	}
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: keepAliveConfig, Control: setSocketOptions}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	begin := time.Now()
	raw, err := dialer.DialContext(ctx, "tcp", parsed.Host)
	if err != nil && ctx.Err() == nil && timedOutLate(time.Since(begin), timeout) {
		raw, err = dialer.DialContext(ctx, "tcp", parsed.Host)
	}
	if err != nil {
		return nil, notSent(err)
	}
	counting := &countingConn{Conn: raw}
	conn := &Conn{baseURL: baseURL, raw: counting, stream: counting}
	if parsed.Scheme == "https" {
		tlsConn := tls.Client(counting, tlsConfigFor(tlsConfig, parsed.Hostname()))
		handshakeCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		if err := tlsConn.HandshakeContext(handshakeCtx); err != nil {
			_ = raw.Close()
			return nil, notSent(err)
		}
		conn.stream = tlsConn
	}
	conn.reader = bufio.NewReaderSize(conn.stream, readBufferBytes)
	conn.writer = bufio.NewWriter(conn.stream)
	return conn, nil
}

// timedOutLate reports whether an attempt to connect that failed after this time says nothing about the peer: its time-out
// came so late that this process had no processor time, and the peer may have accepted long before.
func timedOutLate(took, timeout time.Duration) bool {
	return took >= timeout+timeout/dialLatenessDivisor
}

// dialLatenessDivisor makes a time-out late that comes a quarter of its time after it was due.
const dialLatenessDivisor = 4

// keepAliveConfig ends a connection about four seconds after its peer has become unreachable without a reset.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// tcpUserTimeout bounds the time for which sent bytes may remain unacknowledged.
const tcpUserTimeout = 4 * time.Second

func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		tcpopt.BoundUnsentBytes(fd)
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, optionErr)
}

func tlsConfigFor(base *tls.Config, host string) *tls.Config {
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
	c.unusable = true
	_ = c.raw.Conn.Close()
}

// Body is the body of a response, which can be read while it arrives.
type Body struct {
	conn            *Conn
	ctx             context.Context
	stopCancelWatch func() bool
	resp            *fasthttp.Response
	reader          io.Reader
	reachedEnd      bool
	onClose         func()
}

// Do writes the request once and reads the complete response into resp. Errors: engine.ErrNotSent if no byte was
// written; engine.ErrConnectionLost if the connection broke before the response header was complete;
// engine.ErrTruncated if the body ended early, has no length or exceeds maxBytes (also ErrBodyTooLarge); context.Canceled or
// context.DeadlineExceeded if the context or the deadline ended after bytes were written.
func (c *Conn) Do(ctx context.Context, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response, maxBytes int) error {
	return c.doReserving(ctx, deadline, req, resp, maxBytes, nil)
}

// doReserving is like Do and reserves the memory of the body.
func (c *Conn) doReserving(ctx context.Context, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response, maxBytes int, memory *membudget.Reservation) error {
	stopCancelWatch, err := c.send(ctx, deadline, req, resp)
	if err != nil {
		return err
	}
	err = c.readBody(ctx, deadline, resp, maxBytes, memory)
	if !stopCancelWatch() {
		c.unusable = true
	}
	return err
}

// Open is like Do but returns after the response header; the body can be read while it arrives. If the error is nil,
// the caller must close the body.
func (c *Conn) Open(ctx context.Context, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response) (*Body, error) {
	stopCancelWatch, err := c.send(ctx, deadline, req, resp)
	if err != nil {
		return nil, err
	}
	reader, err := c.bodyReader()
	if err != nil {
		stopCancelWatch()
		return nil, c.fail(ctx, err, engine.ErrTruncated)
	}
	return &Body{conn: c, ctx: ctx, stopCancelWatch: stopCancelWatch, resp: resp, reader: reader}, nil
}

// bodyReader returns a reader that returns the bytes of the body as they arrive, and io.EOF only at the end of the
// body.
func (c *Conn) bodyReader() (io.Reader, error) {
	if c.head.Framing == httpresponse.CloseDelimited {
		c.unusable = true
		if !c.allowCloseDelimited {
			return nil, errCloseDelimited
		}
	}
	return httpresponse.NewBody(c.reader, c.head), nil
}

// send writes the request and reads the response header. It also starts to watch the context for cancellation. The
// returned function ends that watch; it reports false if the context has already ended. After an error the connection
// is unusable.
func (c *Conn) send(ctx context.Context, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response) (func() bool, error) {
	if err := ctx.Err(); err != nil {
		return nil, notSent(err)
	}
	writtenBefore := c.raw.written.Load()
	if err := c.raw.begin(deadline, c.progress); err != nil {
		c.unusable = true
		return nil, notSent(err)
	}
	stopCancelWatch := context.AfterFunc(ctx, c.raw.cancel)
	err := c.writeAndReadHeader(req, resp, writtenBefore)
	if err == nil {
		return stopCancelWatch, nil
	}
	stopCancelWatch()
	if c.raw.written.Load() == writtenBefore {
		c.unusable = true
		return nil, notSent(err)
	}
	return nil, c.fail(ctx, err, engine.ErrConnectionLost)
}

// fail makes the connection unusable and returns the error of a response: that of the context if it has ended,
// context.DeadlineExceeded after a timeout, and otherwise the error of the package engine.
func (c *Conn) fail(ctx context.Context, err, engineError error) error {
	c.unusable = true
	if contextErr := c.contextError(ctx); contextErr != nil {
		return contextErr
	}
	c.rejections.record(c.baseURL, err)
	failure := errors.Wrapf(engineError, "%v", err)
	if errors.Is(err, ErrBodyTooLarge) {
		return errors.Mark(failure, ErrBodyTooLarge)
	}
	return failure
}

// writeAndReadHeader writes the request and reads the header of its response. writtenBefore is the number of bytes that were
// written to the connection before.
func (c *Conn) writeAndReadHeader(req *fasthttp.Request, resp *fasthttp.Response, writtenBefore int64) error {
	writeErr := c.writeRequest(req)
	if writeErr == nil {
		return c.readHeader(req, resp)
	}
	c.unusable = true
	if c.raw.written.Load() == writtenBefore {
		return writeErr
	}
	// The endpoint may have responded and closed the connection before it read the whole request body. That response can
	// still be read.
	if err := c.readHeader(req, resp); err == nil || httpresponse.CauseOf(err) != "" {
		return err
	}
	return writeErr
}

func (c *Conn) writeRequest(req *fasthttp.Request) error {
	if err := req.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readHeader reads responses until one belongs to the request, and returns after its header.
func (c *Conn) readHeader(req *fasthttp.Request, resp *fasthttp.Response) error {
	for range maxMismatchedResponses {
		resp.SkipBody = req.Header.IsHead()
		if err := c.readOneHeader(resp); err != nil {
			return err
		}
		c.recordIdleTimeout(resp)
		if c.accept == nil || c.accept(req, resp) {
			return nil
		}
		if c.head.Framing == httpresponse.CloseDelimited {
			return errors.New("response to another request has no length and cannot be skipped")
		}
		if err := c.skipBody(); err != nil {
			return err
		}
		resp.Reset()
	}
	return errors.New("too many responses to other requests")
}

// readOneHeader reads the header of the next response, if that is well-formed.
func (c *Conn) readOneHeader(resp *fasthttp.Response) error {
	head, err := httpresponse.PeekHead(c.reader, resp.SkipBody)
	if err != nil {
		return err
	}
	buffered := c.reader.Buffered()
	if err := resp.Header.Read(c.reader); err != nil {
		return err
	}
	if read := buffered - c.reader.Buffered(); read != head.Size {
		return errors.Newf("header of %d bytes was decoded from %d bytes", head.Size, read)
	}
	c.head = head
	return nil
}

// skipBody reads and drops the body of a response to another request.
func (c *Conn) skipBody() error {
	body, err := c.bodyReader()
	if err != nil {
		return err
	}
	if _, err := io.CopyN(io.Discard, body, maxMismatchedBodyBytes); !errors.Is(err, io.EOF) {
		return errors.CombineErrors(err, errors.New("response to another request is too large"))
	}
	return nil
}

// maxMismatchedBodyBytes bounds the body of a dropped response.
const maxMismatchedBodyBytes = 1 << 20

// recordIdleTimeout records the timeout parameter of the Keep-Alive header.
func (c *Conn) recordIdleTimeout(resp *fasthttp.Response) {
	const parameter = "timeout="
	value := string(resp.Header.Peek("Keep-Alive"))
	index := strings.Index(value, parameter)
	if index < 0 {
		return
	}
	value, _, _ = strings.Cut(value[index+len(parameter):], ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(value))
	if err == nil && seconds > 0 {
		c.endpointIdleTimeout = time.Duration(seconds) * time.Second
	}
}

// contextError returns the error of the context if it has ended, context.DeadlineExceeded after a timeout of the
// connection, and nil otherwise.
func (c *Conn) contextError(ctx context.Context) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if c.raw.timedOut.Load() {
		return context.DeadlineExceeded
	}
	return nil
}

// readBody reads the complete body of a response.
func (c *Conn) readBody(ctx context.Context, deadline time.Time, resp *fasthttp.Response, maxBytes int, memory *membudget.Reservation) error {
	if resp.ConnectionClose() {
		c.unusable = true
	}
	if c.head.Framing == httpresponse.NoBody {
		return nil
	}
	content, err := c.readContent(ctx, deadline, maxBytes, memory)
	if err == nil {
		resp.SetBodyRaw(content)
		return nil
	}
	return c.fail(ctx, err, engine.ErrTruncated)
}

func (c *Conn) readContent(ctx context.Context, deadline time.Time, maxBytes int, memory *membudget.Reservation) ([]byte, error) {
	if c.head.Length > maxBytes {
		return nil, bodyTooLarge(maxBytes)
	}
	body, err := c.bodyReader()
	if err != nil {
		return nil, err
	}
	if c.head.Framing == httpresponse.FixedLength {
		return readKnownLength(ctx, deadline, body, c.head.Length, memory)
	}
	return ReadAll(ctx, body, maxBytes, memory)
}

func bodyTooLarge(maxBytes int) error {
	return errors.Wrapf(ErrBodyTooLarge, "over %d bytes", maxBytes)
}

// Read implements io.Reader. It returns io.EOF only at the end of the body. Errors: engine.ErrConnectionLost,
// context.Canceled and context.DeadlineExceeded.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.reachedEnd = true
		return n, io.EOF
	}
	return n, b.conn.fail(b.ctx, err, engine.ErrConnectionLost)
}

// Drain reads the framed end of a body whose content is complete, so that the connection can be reused. It waits no
// longer than the timeout.
func (b *Body) Drain(timeout time.Duration) {
	_ = b.conn.raw.SetDeadline(time.Now().Add(timeout))
	n, err := b.Read(make([]byte, 1))
	if n > 0 || !errors.Is(err, io.EOF) {
		b.conn.unusable = true
	}
}

// Close releases the connection, which is reused only if the body was read to its end.
func (b *Body) Close() {
	if b.conn == nil {
		return
	}
	stopped := b.stopCancelWatch()
	if !b.reachedEnd || !stopped || b.resp.ConnectionClose() {
		b.conn.unusable = true
	}
	if b.onClose != nil {
		b.onClose()
	}
	b.conn = nil
}
