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

// A half-open connection under a waiting watch is detected by TCP keep-alive after about 5 s without an answer.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	maxIdlePerHost    = 64
	idleTimeout       = 90 * time.Second
)

var errSealed = errors.New("connection is closed for a request that was reported as not sent")

// trackedConn records whether bytes were handed to the operating system. It is the outermost connection: with TLS it
// wraps the encrypted connection, so that handshake bytes do not count as bytes of a request.
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write counts the bytes before they are handed on, so that a failed write counts as one that may have left.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *trackedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// sealIfUnwritten reports whether nothing was written since the count, and refuses all later writes in that case. The
// transport writes in another goroutine; without the seal it could still write after the caller was told "not sent".
func (c *trackedConn) sealIfUnwritten(since int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != since {
		return false
	}
	c.sealed = true
	return true
}

// sendTracker follows one request to the connections that it was assigned to.
type sendTracker struct {
	mu    sync.Mutex
	conns []assigned
}

type assigned struct {
	conn  *trackedConn
	since int64
}

func (t *sendTracker) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		t.conns = append(t.conns, assigned{})
		return
	}
	t.conns = append(t.conns, assigned{conn: conn, since: conn.count()})
}

// neverSent reports that no byte of the request left and that none will.
func (t *sendTracker) neverSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.conns {
		if a.conn == nil || !a.conn.sealIfUnwritten(a.since) {
			return false
		}
	}
	return true
}

// newTransport returns an HTTP/1.1 transport. HTTP/2 is off because its transport resends refused streams itself and
// shares one connection between requests, which would make the written-bytes check meaningless.
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
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return track(dialer.DialContext(ctx, network, address))
		},
		DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			secure := tls.Dialer{NetDialer: dialer, Config: tlsConfig}
			return track(secure.DialContext(ctx, network, address))
		},
	}
}

func track(conn net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}
