package etcdgateway

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// TCP keep-alive detects a half-open connection of a pending watch after about 5 s without a response.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3

	maxIdleConnsPerHost = 64
	idleConnTimeout     = 90 * time.Second
)

var errWritesBlocked = errors.New("writes are blocked: the request was reported as not sent")

// trackedConn counts the written bytes. It is the outermost connection: with TLS it wraps the encrypted connection, so
// that handshake bytes do not count as bytes of a request.
type trackedConn struct {
	net.Conn
	mu            sync.Mutex
	written       int64
	writesBlocked bool
}

// Write counts the bytes before it writes them, so that the bytes of a failed write count as possibly sent.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *trackedConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// blockIfUnwritten reports whether nothing was written since the count was bytesBefore. If so, all later writes fail,
// because the transport writes in another goroutine and could still send a request that was reported as not sent.
func (c *trackedConn) blockIfUnwritten(bytesBefore int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != bytesBefore {
		return false
	}
	c.writesBlocked = true
	return true
}

// sendTracker records the connections to which the transport assigned one request.
type sendTracker struct {
	mu   sync.Mutex
	uses []connUse
}

// connUse is a connection and its count of written bytes when the request was assigned to it.
type connUse struct {
	conn        *trackedConn
	bytesBefore int64
}

func (t *sendTracker) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		t.uses = append(t.uses, connUse{})
		return
	}
	t.uses = append(t.uses, connUse{conn: conn, bytesBefore: conn.bytesWritten()})
}

// ensureUnsent reports whether no byte of the request was written. If so, later writes of the request fail.
func (t *sendTracker) ensureUnsent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, use := range t.uses {
		if use.conn == nil || !use.conn.blockIfUnwritten(use.bytesBefore) {
			return false
		}
	}
	return true
}

// newTransport returns an HTTP/1.1 transport. HTTP/2 is off because its transport resends refused streams itself and
// shares one connection between requests, so that the count of written bytes would not show whether a request was sent.
func newTransport(tlsConfig *tls.Config, source net.IP, dialTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		Protocols:           protocols,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return trackConn(dialer.DialContext(ctx, network, address))
		},
		DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			secure := tls.Dialer{NetDialer: dialer, Config: tlsConfig}
			return trackConn(secure.DialContext(ctx, network, address))
		},
	}
}

func trackConn(conn net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}
