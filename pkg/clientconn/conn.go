// Package clientconn reads requests from the connections of clients and writes responses to them. It bounds what clients
// outside the limits can occupy: the number of connections, the memory of heads and bodies, the time that a request may
// take to arrive and the time that a response may stay unread. An idle connection holds no buffers.
package clientconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/pkg/membudget"
)

var (
	// ErrTooSlow means that a head or body did not arrive in time.
	ErrTooSlow = errors.New("request arrives too slowly")
	// ErrUnread means that the client did not read a response in time.
	ErrUnread = errors.New("response stays unread")
)

// Limits bound what a client may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout bounds the time from the first byte of a head to its last one.
	HeaderTimeout time.Duration
	// StallTimeout is the time in which a body must bring MinBytesPerSecond on average, and in which a client must accept
	// at least one byte of a response.
	StallTimeout      time.Duration
	MinBytesPerSecond int
}

const (
	// minReaderBytes is the minimum size of the read buffer, which bounds a request header.
	minReaderBytes = 4 << 10
	writerBytes    = 4 << 10
	// firstReadBytes is the size of the buffer in which a connection waits for a request. Most heads fit.
	firstReadBytes = 1 << 10
	// handlingBytes is what a request occupies besides its head and body while it is handled: the buffers of the
	// connection to the endpoint and of both writers.
	handlingBytes = 16 << 10
	// maxWriteBytes bounds one write to the socket, so that the progress of a long response is seen.
	maxWriteBytes = 64 << 10
)

// The limits on reading a connection that is to be closed. Closing it with unread bytes resets it, and the client may lose
// the response. A client that sends more than lingerBytes after its response is not waited for.
const (
	lingerTimeout      = 500 * time.Millisecond
	lingerTotalTimeout = 5 * time.Second
	lingerBytes        = 8 << 20
)

// Conn is one connection of a client. One goroutine reads requests, another one may write the response meanwhile.
type Conn struct {
	// OnUnread is called when a client accepts no byte of a response for the stall timeout; it may be nil.
	OnUnread func()

	conn   net.Conn
	budget *membudget.Budget

	// The fields up to mu belong to the reading goroutine.
	source source
	reader *bufio.Reader
	memory *membudget.Reservation
	body   Body

	mu     sync.Mutex
	phase  Phase
	since  time.Time
	served bool
	// closing is set when no further request may be served.
	closing bool
	// evicted is set once the memory of the request that is being read is given to others. Read deadlines are not moved
	// after that.
	evicted bool

	// writingSince is when the write in progress began, in nanoseconds since 1970; zero while there is none.
	writingSince atomic.Int64

	// The fields below belong to the goroutine that writes.
	writer        *bufio.Writer
	stall         time.Duration
	writeLimit    time.Time
	writeDeadline time.Time
}

// New returns a connection whose requests take memory from the budget; a nil budget grants everything.
func New(conn net.Conn, budget *membudget.Budget) *Conn {
	c := &Conn{conn: conn, budget: budget, since: time.Now()}
	c.source.conn = conn
	return c
}

// source reads the connection: first what Await has read, then the rest.
type source struct {
	conn       net.Conn
	first      [firstReadBytes]byte
	start, end int
	timedOut   bool
	// broken is set once the connection has failed or was closed on this side.
	broken bool
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.start < s.end {
		n := copy(p, s.first[s.start:s.end])
		s.start += n
		return n, nil
	}
	n, err := s.conn.Read(p)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.timedOut = true
	case err != nil && !errors.Is(err, io.EOF):
		s.broken = true
	}
	return n, err
}

// fill waits for bytes.
func (s *source) fill() error {
	n, err := s.conn.Read(s.first[:])
	s.start, s.end = 0, n
	if n > 0 {
		return nil
	}
	return err
}

// State implements Member.
func (c *Conn) State(now time.Time) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := State{Phase: c.phase, Served: c.served, Age: now.Sub(c.since)}
	if since := c.writingSince.Load(); since != 0 {
		state.Unread = now.Sub(time.Unix(0, since))
	}
	return state
}

// setPhaseLocked requires mu.
func (c *Conn) setPhaseLocked(phase Phase) {
	c.phase, c.since = phase, time.Now()
}

// CloseIn implements Member.
func (c *Conn) CloseIn(phase Phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phase {
		return false
	}
	c.closing = true
	_ = c.conn.Close()
	return true
}

// CloseIfIdle closes the connection if no request is being read or handled.
func (c *Conn) CloseIfIdle() {
	_ = c.CloseIn(Idle)
}

// Close closes the connection.
func (c *Conn) Close() {
	_ = c.conn.Close()
}

// Release closes the connection and returns its buffers and memory. No other method may be in use.
func (c *Conn) Release() {
	c.Close()
	c.releaseRequest()
	c.releaseReader()
}

// setReadDeadline moves the deadline of reads; zero means none.
func (c *Conn) setReadDeadline(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return
	}
	deadline := time.Time{}
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	_ = c.conn.SetReadDeadline(deadline)
}

// WaitIdle bounds the wait for the first byte of the first request.
func (c *Conn) WaitIdle(idleTimeout time.Duration) {
	c.setReadDeadline(idleTimeout)
}

// Await waits until a byte of the next request can be read. Meanwhile, the connection holds no read buffer.
func (c *Conn) Await() error {
	if c.reader != nil && c.reader.Buffered() > 0 || c.source.start < c.source.end {
		return nil
	}
	c.releaseReader()
	return c.source.fill()
}

// Begin marks that a request is being read. It returns false if the connection is closing.
func (c *Conn) Begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.setPhaseLocked(ReadingHead)
	return true
}

// evict ends the reading of a request whose memory reservation is evicted.
func (c *Conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != ReadingHead && c.phase != ReadingBody {
		return
	}
	c.evicted = true
	// A deadline in the past ends a read in progress without a race on closing the connection.
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
}

// ReadRequest reads the head and body of one request. Its memory, the body included, is held until EndRequest. Besides the
// errors of fasthttp, it returns ErrTooSlow, fasthttp.ErrBodyTooLarge, membudget.ErrEvicted and membudget.ErrExhausted.
func (c *Conn) ReadRequest(ctx context.Context, req *fasthttp.Request, limits Limits) error {
	c.stall = limits.StallTimeout
	// The limit of the request before must not end the response to this one.
	c.LimitWrites(time.Time{})
	c.source.timedOut, c.source.broken = false, false
	c.memory = c.budget.ReserveEvictable(c.evict)
	if err := c.memory.Grow(ctx, time.Time{}, limits.MaxHeaderBytes+handlingBytes); err != nil {
		return err
	}
	c.setReadDeadline(limits.HeaderTimeout)
	c.acquireReader(max(limits.MaxHeaderBytes, minReaderBytes))
	err := c.readHeadAndBody(ctx, req, limits)
	switch {
	case c.memory.Evicted():
		return membudget.ErrEvicted
	case err != nil && c.source.timedOut:
		return ErrTooSlow
	case err != nil && c.source.broken:
		// fasthttp does not wrap all errors of the connection.
		return errors.Wrapf(net.ErrClosed, "%v", err)
	case err != nil:
		return err
	}
	if !c.memory.Settle() {
		return membudget.ErrEvicted
	}
	c.mu.Lock()
	c.served = true
	c.setPhaseLocked(Busy)
	c.mu.Unlock()
	c.setReadDeadline(0)
	return nil
}

func (c *Conn) readHeadAndBody(ctx context.Context, req *fasthttp.Request, limits Limits) error {
	if err := req.Header.Read(c.reader); err != nil {
		return err
	}
	length := req.Header.ContentLength()
	if length > limits.MaxBodyBytes {
		return fasthttp.ErrBodyTooLarge
	}
	c.mu.Lock()
	c.setPhaseLocked(ReadingBody)
	c.mu.Unlock()
	if req.MayContinue() {
		c.LimitWrites(time.Time{})
		if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	return c.readBody(ctx, req, length, limits)
}

// Body returns the body of the request that was read last. It is valid until EndRequest.
func (c *Conn) Body() *Body {
	return &c.body
}

// Memory returns the reservation of the request that was read last.
func (c *Conn) Memory() *membudget.Reservation {
	return c.memory
}

// DropRequest returns the memory of a request that was not read completely. The connection gets a last response.
func (c *Conn) DropRequest() {
	c.releaseRequest()
	c.mu.Lock()
	c.evicted = false
	c.setPhaseLocked(Closing)
	c.mu.Unlock()
}

// EndRequest returns the memory of a request, the body included. After the response, the connection waits for the next
// request for idleTimeout, or, if there must be none, for the client to close it.
func (c *Conn) EndRequest(keepOpen bool, idleTimeout time.Duration) {
	c.releaseRequest()
	c.mu.Lock()
	c.evicted = false
	closing := c.closing
	phase := Idle
	if !keepOpen || closing {
		phase = Closing
	}
	c.setPhaseLocked(phase)
	c.mu.Unlock()
	if phase == Closing {
		c.shutdownWrite()
		c.setReadDeadline(lingerTimeout)
		return
	}
	c.setReadDeadline(idleTimeout)
}

func (c *Conn) releaseRequest() {
	c.body.Release()
	c.memory.Release()
	c.memory = nil
}

// Linger reads and drops what the client still sends, after EndRequest has ended the connection's last response.
func (c *Conn) Linger() {
	c.releaseReader()
	discard(c.conn, c.source.first[:])
}

// Discard reads and drops what the client of a connection that is to be closed still sends, up to a bound in time and
// bytes. The write side must be closed.
func Discard(conn net.Conn) {
	discard(conn, make([]byte, firstReadBytes))
}

func discard(conn net.Conn, buffer []byte) {
	begin := time.Now()
	for dropped := 0; dropped < lingerBytes && time.Since(begin) < lingerTotalTimeout; {
		_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		n, err := conn.Read(buffer)
		dropped += n
		if err != nil {
			return
		}
	}
}

func (c *Conn) shutdownWrite() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
		return
	}
	_ = c.conn.Close()
}

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, minReaderBytes) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writerBytes) }}
)

func (c *Conn) acquireReader(size int) {
	if c.reader != nil {
		return
	}
	c.reader = readers.Get().(*bufio.Reader)
	if c.reader.Size() != size {
		c.reader = bufio.NewReaderSize(nil, size)
	}
	c.reader.Reset(&c.source)
}

func (c *Conn) releaseReader() {
	if c.reader == nil {
		return
	}
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.reader = nil
}

// LimitWrites sets when writes must have ended in any case; zero means no such limit.
func (c *Conn) LimitWrites(deadline time.Time) {
	c.writeLimit = deadline
}

// Writer returns a buffered writer, to be used until Flush.
func (c *Conn) Writer() *bufio.Writer {
	if c.writer == nil {
		c.writer = writers.Get().(*bufio.Writer)
		c.writer.Reset(c)
	}
	return c.writer
}

// Flush writes what is buffered and returns the buffer.
func (c *Conn) Flush() error {
	if c.writer == nil {
		return nil
	}
	err := c.writer.Flush()
	c.writer.Reset(nil)
	writers.Put(c.writer)
	c.writer = nil
	return err
}

// Write implements io.Writer. It gives up with ErrUnread if the client accepts no byte for the stall timeout, and at the
// limit of LimitWrites.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	defer c.writingSince.Store(0)
	for written < len(p) {
		if err := c.moveWriteDeadline(); err != nil {
			return written, err
		}
		c.writingSince.Store(time.Now().UnixNano())
		n, err := c.conn.Write(p[written:min(len(p), written+maxWriteBytes)])
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if n > 0 {
				c.writeDeadline = time.Time{}
				continue
			}
			if c.OnUnread != nil && (c.writeLimit.IsZero() || time.Now().Before(c.writeLimit)) {
				c.OnUnread()
			}
			return written, errors.Wrapf(ErrUnread, "%v", err)
		}
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// moveWriteDeadline sets the deadline of the next write. One that leaves three quarters of the time or more is not moved,
// which saves most of the calls for streams of small events.
func (c *Conn) moveWriteDeadline() error {
	if c.stall <= 0 && c.writeLimit.IsZero() {
		return nil
	}
	now := time.Now()
	if !c.writeLimit.IsZero() && !now.Before(c.writeLimit) {
		return errors.Wrapf(ErrUnread, "%v", os.ErrDeadlineExceeded)
	}
	deadline := now.Add(c.stall)
	if c.stall <= 0 || !c.writeLimit.IsZero() && c.writeLimit.Before(deadline) {
		deadline = c.writeLimit
	}
	// The deadline in force may be that of an earlier request, which has passed or is about to.
	if left := c.writeDeadline.Sub(now); left <= deadline.Sub(now) && left >= deadline.Sub(now)*3/4 {
		return nil
	}
	c.writeDeadline = deadline
	return c.conn.SetWriteDeadline(deadline)
}

var _ io.Writer = (*Conn)(nil)
