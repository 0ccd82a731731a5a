// Package link gives loopback connections the latency, bandwidth and partitions of a network between data centres. A
// stand-in's listener is wrapped; each side's data centre follows from its loopback address.
package link

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrPartitioned is returned by connections across a partition.
var ErrPartitioned = errors.New("network partition")

// Path is what lies between two data centres.
type Path struct {
	// Latency is one way.
	Latency time.Duration
	// Pipe is shared by all connections of a slow link; nil means unlimited bandwidth.
	Pipe *Pipe
}

// Pipe is a link with limited bandwidth in one direction. It is safe for concurrent use.
type Pipe struct {
	bitsPerSecond int64
	bytes         atomic.Int64

	mu   sync.Mutex
	free time.Time
}

// NewPipe returns a pipe with the given capacity.
func NewPipe(bitsPerSecond int64) *Pipe {
	return &Pipe{bitsPerSecond: bitsPerSecond}
}

// Bytes returns the number of bytes sent through the pipe.
func (p *Pipe) Bytes() int64 {
	return p.bytes.Load()
}

// reserve returns when the last bit of n bytes has been sent.
func (p *Pipe) reserve(n int, now time.Time) time.Time {
	p.bytes.Add(int64(n))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free.Before(now) {
		p.free = now
	}
	const bitsPerByte = 8
	p.free = p.free.Add(time.Duration(int64(n) * bitsPerByte * int64(time.Second) / p.bitsPerSecond))
	return p.free
}

// Network knows the paths between data centres and which of them are cut. It is safe for concurrent use.
type Network struct {
	// PathBetween returns the path from one data centre to another.
	PathBetween func(from, to string) Path
	// DataCentreOf returns the data centre of a loopback address; empty means a caller outside all of them.
	DataCentreOf func(net.Addr) string

	// transparent is true while no data is delayed or counted.
	transparent atomic.Bool

	mu    sync.Mutex
	cut   map[[2]string]bool
	conns map[*conn]bool
}

// NewNetwork returns a network without partitions.
func NewNetwork(pathBetween func(from, to string) Path, dataCentreOf func(net.Addr) string) *Network {
	return &Network{
		PathBetween:  pathBetween,
		DataCentreOf: dataCentreOf,
		cut:          make(map[[2]string]bool),
		conns:        make(map[*conn]bool),
	}
}

// SetCut starts or ends a partition between two data centres, in both directions. Open connections across it break.
func (n *Network) SetCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = cut
	n.cut[[2]string{b, a}] = cut
	if !cut {
		return
	}
	for c := range n.conns {
		if n.cut[[2]string{c.from, c.to}] {
			_ = c.Conn.Close()
		}
	}
}

// SetTransparent stops or starts the delay and the count of data on all connections, so that a deployment can be set up
// quickly. Partitions stay in effect.
func (n *Network) SetTransparent(transparent bool) {
	n.transparent.Store(transparent)
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}]
}

// Listen wraps the listener of a process in the data centre.
func (n *Network) Listen(inner net.Listener, dataCentre string) net.Listener {
	return &listener{Listener: inner, network: n, dataCentre: dataCentre}
}

// Wrap gives a connection that a process outside of all data centres dialled the latency of its path to the data centre.
func (n *Network) Wrap(inner net.Conn, dataCentre string) net.Conn {
	return n.wrap(inner, dataCentre, "")
}

type listener struct {
	net.Listener
	network    *Network
	dataCentre string
}

// Accept returns the next connection that is not across a partition.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		from := l.network.DataCentreOf(accepted.RemoteAddr())
		if l.network.isCut(from, l.dataCentre) {
			_ = accepted.Close()
			continue
		}
		return l.network.wrap(accepted, from, l.dataCentre), nil
	}
}

func (n *Network) wrap(inner net.Conn, from, to string) net.Conn {
	c := &conn{
		Conn:     inner,
		network:  n,
		from:     from,
		to:       to,
		inbound:  n.PathBetween(from, to),
		outbound: n.PathBetween(to, from),
		arrived:  make(chan segment, segmentQueue),
		leaving:  make(chan segment, segmentQueue),
		closed:   make(chan struct{}),
		deadline: newDeadline(),
	}
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	go c.receive()
	go c.send()
	return c
}

const (
	// segmentQueue bounds the segments in flight of one connection and direction.
	segmentQueue = 256
	// segmentBytes is the largest segment.
	segmentBytes = 32 << 10
)

// segment is data with the time at which the other side gets it.
type segment struct {
	data []byte
	due  time.Time
	err  error
}

// conn delays both directions of a connection.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	inbound  Path
	outbound Path
	arrived  chan segment
	leaving  chan segment
	rest     []byte
	once     sync.Once
	closed   chan struct{}
	deadline *deadline
}

func (c *conn) due(path Path, n int) time.Time {
	at := time.Now()
	if c.network.transparent.Load() {
		return at
	}
	if path.Pipe != nil {
		at = path.Pipe.reserve(n, at)
	}
	return at.Add(path.Latency)
}

func (c *conn) receive() {
	for {
		buffer := make([]byte, segmentBytes)
		n, err := c.Conn.Read(buffer)
		s := segment{data: buffer[:n], due: c.due(c.inbound, n), err: err}
		select {
		case c.arrived <- s:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

func (c *conn) send() {
	for {
		select {
		case s := <-c.leaving:
			time.Sleep(time.Until(s.due))
			if _, err := c.Conn.Write(s.data); err != nil {
				_ = c.Close()
				_ = c.Conn.Close()
				return
			}
		case <-c.closed:
			c.flush()
			return
		}
	}
}

// flush sends what was written before Close, then closes the connection.
func (c *conn) flush() {
	defer c.Conn.Close()
	for {
		select {
		case s := <-c.leaving:
			time.Sleep(time.Until(s.due))
			if _, err := c.Conn.Write(s.data); err != nil {
				return
			}
		default:
			return
		}
	}
}

// Read returns data after its latency.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.rest) > 0 {
		n := copy(p, c.rest)
		c.rest = c.rest[n:]
		return n, nil
	}
	select {
	case s := <-c.arrived:
		time.Sleep(time.Until(s.due))
		n := copy(p, s.data)
		c.rest = s.data[n:]
		if n == 0 && s.err != nil {
			return 0, s.err
		}
		return n, nil
	case <-c.deadline.expired():
		return 0, os.ErrDeadlineExceeded
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// SetDeadline sets the read deadline; writes only queue and need none.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the time at which a pending Read fails. The wrapped connection keeps reading, so that no data is
// lost when a server interrupts a read and continues later.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadline.set(t)
	return nil
}

// SetWriteDeadline does nothing, since writes only queue.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// Write queues data; the other side gets it after the latency.
func (c *conn) Write(p []byte) (int, error) {
	s := segment{data: append([]byte(nil), p...), due: c.due(c.outbound, len(p))}
	select {
	case c.leaving <- s:
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close closes the connection after the data written before has been sent.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return nil
}
