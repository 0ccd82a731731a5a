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

	"github.com/mulberryglade/mulberryglade/pkg/membudget"
)

// Options configures a Pool; zero values select the defaults.
type Options struct {
	// DialTimeout bounds the connection setup and the TLS handshake.
	DialTimeout time.Duration
	// IdleTimeout is the time for which an idle connection is kept. It must be shorter than the keep-alive time of the
	// endpoints, since a request on a connection that the endpoint has just closed has an unknown outcome.
	IdleTimeout time.Duration
	// MaxIdlePerAddress bounds the idle connections per endpoint.
	MaxIdlePerAddress int
	TLSConfig         *tls.Config
	// Source is the source address of connections; nil lets the system choose.
	Source net.IP
	// Accept decides whether a response is accepted or dropped; nil accepts all responses.
	Accept AcceptFunc
	// AllowCloseDelimited allows bodies without a length that end with an orderly close of the connection.
	AllowCloseDelimited bool
	// Rejections is told of responses that are not whole or not well-formed; nil discards them.
	Rejections *Rejections
	// Memory bounds the memory of the bodies that are being buffered, over all pools that share it; nil means no bound.
	Memory *membudget.Budget
}

const (
	defaultDialTimeout       = 500 * time.Millisecond
	defaultIdleTimeout       = 2 * time.Second
	defaultMaxIdlePerAddress = 32
)

// Pool keeps idle connections per endpoint. It is safe for concurrent use.
type Pool struct {
	options Options
	maxIdle atomic.Int64
	// maxIdleTotal bounds the idle connections to all endpoints; zero means no bound.
	maxIdleTotal         atomic.Int64
	unsolicitedResponses atomic.Int64
	stop                 chan struct{}
	reaper               conc.WaitGroup

	mu     sync.Mutex
	closed bool
	idle   map[string][]*Conn
	// idleTotal is the number of connections in idle.
	idleTotal int
}

// NewPool returns an empty pool, which must be closed.
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
	p.reaper.Go(p.closeExpiredPeriodically)
	return p
}

// LimitIdle changes the bound on idle connections per endpoint. The bound is at least one.
func (p *Pool) LimitIdle(perAddress int) {
	p.maxIdle.Store(int64(max(perAddress, 1)))
}

// LimitIdleTotal sets the bound on idle connections to all endpoints together, which is at least one.
func (p *Pool) LimitIdleTotal(total int) {
	p.maxIdleTotal.Store(int64(max(total, 1)))
}

// Close closes idle connections. Connections in use are closed when they are released.
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

// UnsolicitedResponses returns the number of connections that were closed because they received bytes that belong to no
// request.
func (p *Pool) UnsolicitedResponses() int64 {
	return p.unsolicitedResponses.Load()
}

// Do sends the request on an idle or a new connection and reads the complete response. A zero deadline means no
// deadline. Errors: as Conn.Do.
func (p *Pool) Do(ctx context.Context, baseURL string, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response, maxBytes int) error {
	memory := p.Reserve()
	defer memory.Release()
	return p.DoReserving(ctx, baseURL, deadline, req, resp, maxBytes, memory)
}

// DoReserving is like Do for a body that is kept longer than the call. The caller releases its memory.
func (p *Pool) DoReserving(ctx context.Context, baseURL string, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response, maxBytes int, memory *membudget.Reservation) error {
	conn, err := p.acquire(ctx, baseURL, deadline)
	if err != nil {
		return err
	}
	err = conn.doReserving(ctx, deadline, req, resp, maxBytes, memory)
	p.release(conn)
	return err
}

// DoProgressing is like Do for a response that may be long on a slow link. The deadline is that of its first byte; from then
// on, the call goes on as long as the progress allows.
func (p *Pool) DoProgressing(ctx context.Context, baseURL string, deadline time.Time, progress Progress, req *fasthttp.Request, resp *fasthttp.Response, maxBytes int) error {
	conn, err := p.acquire(ctx, baseURL, deadline)
	if err != nil {
		return err
	}
	memory := p.Reserve()
	defer memory.Release()
	conn.progress = progress
	err = conn.doReserving(ctx, deadline, req, resp, maxBytes, memory)
	conn.progress = Progress{}
	p.release(conn)
	return err
}

// Reserve returns an empty reservation in the pool's memory budget.
func (p *Pool) Reserve() *membudget.Reservation {
	return p.options.Memory.Reserve()
}

// Memory returns the pool's memory budget, or nil if there is none.
func (p *Pool) Memory() *membudget.Budget {
	return p.options.Memory
}

// DoOnNewConn is like Do on a new connection that is closed afterwards. It is for calls that must not be repeated: an
// endpoint may close an idle connection while a call is written to it, and the outcome of that call is unknown, while a
// new connection that fails shows that nothing was sent.
func (p *Pool) DoOnNewConn(ctx context.Context, baseURL string, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response, maxBytes int) error {
	conn, err := p.dial(ctx, baseURL, deadline)
	if err != nil {
		return err
	}
	defer conn.Close()
	memory := p.Reserve()
	defer memory.Release()
	return conn.doReserving(ctx, deadline, req, resp, maxBytes, memory)
}

// Open sends the request on an idle or a new connection and returns after the response header; the body can be read
// while it arrives. Errors: as Conn.Do.
func (p *Pool) Open(ctx context.Context, baseURL string, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response) (*Body, error) {
	conn, err := p.acquire(ctx, baseURL, deadline)
	if err != nil {
		return nil, err
	}
	body, err := conn.Open(ctx, deadline, req, resp)
	if err != nil {
		p.release(conn)
		return nil, err
	}
	body.onClose = func() { p.release(conn) }
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
	return p.options.Dial(ctx, baseURL, timeout)
}

// Dial opens a connection that belongs to no pool. All its errors wrap engine.ErrNotSent.
func (o Options) Dial(ctx context.Context, baseURL string, timeout time.Duration) (*Conn, error) {
	conn, err := DialFrom(ctx, o.Source, baseURL, timeout, o.TLSConfig)
	if err != nil {
		return nil, err
	}
	conn.accept, conn.allowCloseDelimited, conn.rejections = o.Accept, o.AllowCloseDelimited, o.Rejections
	return conn, nil
}

// acquire returns an idle connection that is still open and has received no bytes, or a new one.
func (p *Pool) acquire(ctx context.Context, baseURL string, deadline time.Time) (*Conn, error) {
	for {
		conn := p.popIdle(baseURL)
		if conn == nil {
			return p.dial(ctx, baseURL, deadline)
		}
		switch peekSocket(conn.raw.Conn) {
		case stateIdle:
			return conn, nil
		case stateUnread:
			p.unsolicitedResponses.Add(1)
		}
		conn.Close()
	}
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle(baseURL string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[baseURL]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	if time.Since(conn.idleSince) >= p.idleTimeout(conn) {
		closeAll(conns)
		p.idleTotal -= len(conns)
		delete(p.idle, baseURL)
		return nil
	}
	p.idle[baseURL] = conns[:len(conns)-1]
	p.idleTotal--
	return conn
}

// idleTimeout returns the time for which the connection is kept idle. It leaves a quarter of the keep-alive time of the
// endpoint unused, since a request that is sent while the endpoint closes the connection has an unknown outcome.
func (p *Pool) idleTimeout(conn *Conn) time.Duration {
	if conn.endpointIdleTimeout > 0 {
		return min(p.options.IdleTimeout, conn.endpointIdleTimeout*3/4)
	}
	return p.options.IdleTimeout
}

// release returns a connection to the pool, or closes it if it must not be reused.
func (p *Pool) release(conn *Conn) {
	if conn.unusable {
		conn.Close()
		return
	}
	// Bytes after the response belong to no request on this connection.
	if conn.reader.Buffered() > 0 {
		p.unsolicitedResponses.Add(1)
		conn.Close()
		return
	}
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[conn.baseURL]
	maxTotal := p.maxIdleTotal.Load()
	if p.closed || int64(len(conns)) >= p.maxIdle.Load() || maxTotal > 0 && int64(p.idleTotal) >= maxTotal {
		conn.Close()
		return
	}
	p.idleTotal++
	p.idle[conn.baseURL] = append(conns, conn)
}

func (p *Pool) closeExpiredPeriodically() {
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
	for baseURL, conns := range p.idle {
		expired := 0
		for expired < len(conns) && time.Since(conns[expired].idleSince) >= p.idleTimeout(conns[expired]) {
			expired++
		}
		closeAll(conns[:expired])
		p.idleTotal -= expired
		if expired == len(conns) {
			delete(p.idle, baseURL)
			continue
		}
		p.idle[baseURL] = append([]*Conn(nil), conns[expired:]...)
	}
}

func closeAll(conns []*Conn) {
	for _, conn := range conns {
		conn.Close()
	}
}
