// Package link emulates the latency, bandwidth and partitions of a network between data centres on loopback
// connections. It wraps the listener of a stand-in. The loopback address of the dialling side determines its data
// centre.
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

// Path has the properties of the network from one data centre to another.
type Path struct {
	// Latency is the one-way latency.
	Latency time.Duration
	// Pipe is shared by all connections over a link of limited bandwidth; nil means unlimited bandwidth.
	Pipe *Pipe
}

// Pipe is a link with limited bandwidth in one direction. It is safe for concurrent use.
type Pipe struct {
	bitsPerSecond int64
	bytes         atomic.Int64

	mu        sync.Mutex
	busyUntil time.Time
}

// NewPipe returns a pipe with the given bandwidth.
func NewPipe(bitsPerSecond int64) *Pipe {
	return &Pipe{bitsPerSecond: bitsPerSecond}
}

// Bytes returns the number of bytes sent through the pipe.
func (p *Pipe) Bytes() int64 {
	return p.bytes.Load()
}

// reserve reserves the pipe for n bytes and returns the time at which their last bit has been sent.
func (p *Pipe) reserve(n int, now time.Time) time.Time {
	p.bytes.Add(int64(n))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	const bitsPerByte = 8
	p.busyUntil = p.busyUntil.Add(time.Duration(int64(n) * bitsPerByte * int64(time.Second) / p.bitsPerSecond))
	return p.busyUntil
}

// Network holds the paths and the partitions between data centres. It is safe for concurrent use.
type Network struct {
	// PathBetween returns the path from one data centre to another.
	PathBetween func(from, to string) Path
	// DataCentreOf returns the data centre of a loopback address; empty means outside all data centres.
	DataCentreOf func(net.Addr) string

	// transparent is set while data is neither delayed nor counted.
	transparent atomic.Bool

	mu          sync.Mutex
	partitioned map[[2]string]bool
	conns       map[*conn]bool
}

// NewNetwork returns a network without partitions.
func NewNetwork(pathBetween func(from, to string) Path, dataCentreOf func(net.Addr) string) *Network {
	return &Network{
		PathBetween:  pathBetween,
		DataCentreOf: dataCentreOf,
		partitioned:  make(map[[2]string]bool),
		conns:        make(map[*conn]bool),
	}
}

// SetPartition starts or ends a partition between two data centres, in both directions. The start of a partition closes
// the open connections between them.
func (n *Network) SetPartition(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{a, b}] = cut
	n.partitioned[[2]string{b, a}] = cut
	if !cut {
		return
	}
	for c := range n.conns {
		if n.partitioned[[2]string{c.from, c.to}] {
			_ = c.Conn.Close()
		}
	}
}

// SetTransparent disables or enables the delays and the counting of data on all connections, so that a deployment can
// be set up quickly. Partitions stay in effect.
func (n *Network) SetTransparent(transparent bool) {
	n.transparent.Store(transparent)
}

func (n *Network) isPartitioned(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[[2]string{from, to}]
}

// Listen wraps the listener of a process in the data centre, so that accepted connections have the delays and the
// partitions of their paths.
func (n *Network) Listen(inner net.Listener, dataCentre string) net.Listener {
	return &listener{Listener: inner, network: n, dataCentre: dataCentre}
}

// Wrap delays the data of a connection that a process outside all data centres has dialled to the data centre, as the
// path between them requires.
func (n *Network) Wrap(inner net.Conn, dataCentre string) net.Conn {
	return n.wrap(inner, dataCentre, "")
}

type listener struct {
	net.Listener
	network    *Network
	dataCentre string
}

// Accept returns the next connection that does not cross a partition. It closes those that do.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		from := l.network.DataCentreOf(accepted.RemoteAddr())
		if l.network.isPartitioned(from, l.dataCentre) {
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
		incoming: make(chan segment, maxQueuedSegments),
		outgoing: make(chan segment, maxQueuedSegments),
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
	// maxQueuedSegments is the maximum number of segments in flight per connection and direction.
	maxQueuedSegments = 256
	// maxSegmentBytes is the maximum size of a received segment.
	maxSegmentBytes = 32 << 10
)

// segment is data with the time of its delivery to the other side.
type segment struct {
	data      []byte
	deliverAt time.Time
	err       error
}

// conn delays both directions of a connection.
type conn struct {
	net.Conn
	network   *Network
	from, to  string
	inbound   Path
	outbound  Path
	incoming  chan segment
	outgoing  chan segment
	unread    []byte
	closeOnce sync.Once
	closed    chan struct{}
	deadline  *deadline
}

func (c *conn) deliveryTime(path Path, n int) time.Time {
	deliverAt := time.Now()
	if c.network.transparent.Load() {
		return deliverAt
	}
	if path.Pipe != nil {
		deliverAt = path.Pipe.reserve(n, deliverAt)
	}
	return deliverAt.Add(path.Latency)
}

func (c *conn) receive() {
	for {
		buffer := make([]byte, maxSegmentBytes)
		n, err := c.Conn.Read(buffer)
		s := segment{data: buffer[:n], deliverAt: c.deliveryTime(c.inbound, n), err: err}
		select {
		case c.incoming <- s:
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
		case s := <-c.outgoing:
			time.Sleep(time.Until(s.deliverAt))
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

// flush sends the data written before Close, then closes the connection.
func (c *conn) flush() {
	defer c.Conn.Close()
	for {
		select {
		case s := <-c.outgoing:
			time.Sleep(time.Until(s.deliverAt))
			if _, err := c.Conn.Write(s.data); err != nil {
				return
			}
		default:
			return
		}
	}
}

// Read returns data once its delivery time has passed.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	select {
	case s := <-c.incoming:
		time.Sleep(time.Until(s.deliverAt))
		n := copy(p, s.data)
		c.unread = s.data[n:]
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

// SetDeadline sets the read deadline. Writes only queue data and need no deadline.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the time at which a pending Read fails. Reading from the wrapped connection continues, so that
// no data is lost when a server interrupts a read and resumes later.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadline.set(t)
	return nil
}

// SetWriteDeadline does nothing, since writes only queue data.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// Write queues data for delivery to the other side.
func (c *conn) Write(p []byte) (int, error) {
	s := segment{data: append([]byte(nil), p...), deliverAt: c.deliveryTime(c.outbound, len(p))}
	select {
	case c.outgoing <- s:
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close returns at once. The connection is closed after the data written before has been sent.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return nil
}
