package httpconn

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Options configures a Pool; zero values take the defaults.
type Options struct {
	// DialTimeout bounds connecting and the TLS handshake.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept. It must be below the keep-alive time of the endpoints: a
	// request on a connection that the endpoint just closed has an unknown outcome.
	IdleTimeout time.Duration
	// MaxIdlePerAddress bounds the unused connections per endpoint.
	MaxIdlePerAddress int
	TLSConfig         *tls.Config
	// Source is the source address of connections; nil lets the system choose.
	Source net.IP
	// Accept drops responses that belong to other requests; nil accepts all.
	Accept AcceptFunc
	// Unframed accepts bodies that have no length and end with an orderly close of the connection.
	Unframed bool
}

const (
	defaultDialTimeout       = 500 * time.Millisecond
	defaultIdleTimeout       = 2 * time.Second
	defaultMaxIdlePerAddress = 32
)

// Pool keeps idle connections per endpoint. It is safe for concurrent use.
type Pool struct {
	options     Options
	maxIdle     atomic.Int64
	unsolicited atomic.Int64
	stop        chan struct{}
	reaper      conc.WaitGroup

	mu     sync.Mutex
	closed bool
	idle   map[string][]*Conn
}

// NewPool returns an empty pool; Close stops it.
func NewPool(options Options) *Pool {
	if options.DialTimeout <= 0 {
		options.DialTimeout = defaultDialTimeout
	}
	if options.IdleTimeout <= 0 {
		options.IdleTimeout = defaultIdleTimeout
	}
	if options.MaxIdlePerAddress <= 0 {
		options.MaxIdlePerAddress = defaultMaxIdlePerAddress
	}
	p := &Pool{options: options, stop: make(chan struct{}), idle: make(map[string][]*Conn)}
	p.maxIdle.Store(int64(options.MaxIdlePerAddress))
	p.reaper.Go(p.reap)
	return p
}

// LimitIdle changes the bound of unused connections per endpoint; it is at least one.
func (p *Pool) LimitIdle(perAddress int) {
	p.maxIdle.Store(int64(max(perAddress, 1)))
}

// Close closes idle connections; connections in use are closed when they are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	close(p.stop)
	for _, conns := range p.idle {
		closeAll(conns)
	}
	p.idle = nil
	p.mu.Unlock()
	p.reaper.Wait()
}

// Unsolicited returns how many idle connections were dropped because bytes had arrived that no request waited for.
func (p *Pool) Unsolicited() int64 {
	return p.unsolicited.Load()
}

// Do sends the request on an idle or a new connection and reads the complete response. A zero deadline means none.
// Errors: as Conn.Do.
func (p *Pool) Do(ctx context.Context, baseURL string, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response, maxBytes int) error {
	conn, err := p.take(ctx, baseURL, deadline)
	if err != nil {
		return err
	}
	err = conn.Do(ctx, deadline, req, resp, maxBytes)
	p.put(conn)
	return err
}

// DoFresh is Do on a new connection that is closed afterwards. Calls that must not be repeated use it: an idle connection
// may have been closed by the endpoint, which makes a failure ambiguous that would otherwise be a clear refusal.
func (p *Pool) DoFresh(ctx context.Context, baseURL string, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response, maxBytes int) error {
	conn, err := p.dial(ctx, baseURL, deadline)
	if err != nil {
		return err
	}
	defer conn.Close()
	return conn.Do(ctx, deadline, req, resp, maxBytes)
}

// Open sends the request and returns the body while it arrives. Errors: as Conn.Do.
func (p *Pool) Open(ctx context.Context, baseURL string, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response) (*Body, error) {
	conn, err := p.take(ctx, baseURL, deadline)
	if err != nil {
		return nil, err
	}
	body, err := conn.Open(ctx, deadline, req, resp)
	if err != nil {
		p.put(conn)
		return nil, err
	}
	body.done = func() { p.put(conn) }
	return body, nil
}

func (p *Pool) dial(ctx context.Context, baseURL string, deadline time.Time) (*Conn, error) {
	timeout := p.options.DialTimeout
	if !deadline.IsZero() {
		timeout = min(timeout, time.Until(deadline))
	}
	if timeout <= 0 {
		return nil, notSent(context.DeadlineExceeded)
	}
	conn, err := DialFrom(ctx, p.options.Source, baseURL, timeout, p.options.TLSConfig)
	if err != nil {
		return nil, err
	}
	conn.accept, conn.unframed = p.options.Accept, p.options.Unframed
	return conn, nil
}

func (p *Pool) take(ctx context.Context, baseURL string, deadline time.Time) (*Conn, error) {
	for {
		conn := p.takeIdle(baseURL)
		if conn == nil {
			return p.dial(ctx, baseURL, deadline)
		}
		switch idleState(conn.raw.Conn) {
		case stateQuiet:
			return conn, nil
		case stateData:
			p.unsolicited.Add(1)
		}
		conn.Close()
	}
}

// takeIdle returns the most recently used idle connection, or nil.
func (p *Pool) takeIdle(baseURL string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[baseURL]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	if time.Since(conn.idleSince) >= p.idleTimeout(conn) {
		closeAll(conns)
		delete(p.idle, baseURL)
		return nil
	}
	p.idle[baseURL] = conns[:len(conns)-1]
	return conn
}

// idleTimeout leaves a quarter of the endpoint's own keep-alive time unused: a request that crosses the endpoint's close
// has an unknown outcome.
func (p *Pool) idleTimeout(conn *Conn) time.Duration {
	if conn.idleLimit > 0 {
		return min(p.options.IdleTimeout, conn.idleLimit*3/4)
	}
	return p.options.IdleTimeout
}

func (p *Pool) put(conn *Conn) {
	if conn.broken {
		conn.Close()
		return
	}
	// Bytes beyond the response belong to no request of this connection.
	if conn.reader.Buffered() > 0 {
		p.unsolicited.Add(1)
		conn.Close()
		return
	}
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[conn.address]
	if p.closed || int64(len(conns)) >= p.maxIdle.Load() {
		conn.Close()
		return
	}
	p.idle[conn.address] = append(conns, conn)
}

func (p *Pool) reap() {
	ticker := time.NewTicker(p.options.IdleTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
			p.closeExpired()
		}
	}
}

func (p *Pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		fresh := 0
		for fresh < len(conns) && time.Since(conns[fresh].idleSince) >= p.idleTimeout(conns[fresh]) {
			fresh++
		}
		closeAll(conns[:fresh])
		if fresh == len(conns) {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = append([]*Conn(nil), conns[fresh:]...)
	}
}

func closeAll(conns []*Conn) {
	for _, conn := range conns {
		conn.Close()
	}
}
