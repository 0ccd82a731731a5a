package httpconn

import (
	"context"
	"net"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Refuses reports whether the process at an address has ended: no idle connection to it is open, and it refuses a new
// one. It returns false if that cannot be told within the timeout.
func (p *Pool) Refuses(ctx context.Context, baseURL string, timeout time.Duration) bool {
	if p.hasOpenIdle(baseURL) {
		return false
	}
	parsed, err := url.Parse(baseURL)
	if err != nil {
		return false
	}
	dialer := net.Dialer{Timeout: timeout}
	if p.options.Source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: p.options.Source}
	}
	conn, err := dialer.DialContext(ctx, "tcp", parsed.Host)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// hasOpenIdle reports whether an idle connection to an address is open.
func (p *Pool) hasOpenIdle(baseURL string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[baseURL] {
		if !PeerClosed(conn.raw.Conn) {
			return true
		}
	}
	return false
}
