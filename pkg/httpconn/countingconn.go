package httpconn

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// countingConn counts the bytes that the kernel accepted and records whether a timeout occurred. fasthttp wraps some
// errors in a way that hides their cause.
//
// The kernel reports a reset once. Reads after that return what had arrived and then the end of the stream, as if the peer had
// closed in order, so countingConn returns the first failure of a read or a write instead of that end.
type countingConn struct {
	net.Conn
	written  atomic.Int64
	timedOut atomic.Bool

	mu sync.Mutex
	// failure is the first failure of a read or a write after which the end of the stream cannot be trusted.
	failure error
	// progress extends the deadline with each byte that is read; its zero value does not.
	progress Progress
	// cancelled is set once the context of the call has ended. From then on the deadline must not be extended.
	cancelled bool
}

// Progress is the time that a response may take as long as its bytes arrive.
type Progress struct {
	// Idle is the time without any byte after which the call is given up; zero means that bytes do not extend the deadline.
	Idle time.Duration
	// End is when the call is given up in any case.
	End time.Time
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recordTimeout(err)
	if n > 0 {
		c.extendDeadline()
	}
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		err = c.endOfStream()
	default:
		c.recordFailure(err)
	}
	return n, err
}

// endOfStream returns io.EOF if the peer ended the stream in order, and the failure of the connection otherwise.
func (c *countingConn) endOfStream() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return errors.Wrap(c.failure, "connection had failed before")
	}
	return io.EOF
}

func (c *countingConn) recordFailure(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil {
		c.failure = err
	}
}

// begin sets the deadline of a call and how it is extended.
func (c *countingConn) begin(deadline time.Time, progress Progress) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress, c.cancelled = progress, false
	return c.SetDeadline(deadline)
}

// cancel ends reads and writes in progress by a deadline in the past, without a race on closing the connection.
func (c *countingConn) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	_ = c.SetDeadline(time.Unix(1, 0))
}

func (c *countingConn) extendDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.progress.Idle <= 0 || c.cancelled {
		return
	}
	deadline := time.Now().Add(c.progress.Idle)
	if deadline.After(c.progress.End) {
		deadline = c.progress.End
	}
	_ = c.SetDeadline(deadline)
}

func (c *countingConn) recordTimeout(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.timedOut.Store(true)
	}
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	c.recordTimeout(err)
	// EPIPE as the first failure means that the peer had ended its stream in order before it reset the connection, as one
	// that does not read the rest of a request does. A reset without that end is reported as ECONNRESET.
	if err != nil && !errors.Is(err, syscall.EPIPE) {
		c.recordFailure(err)
	}
	return n, err
}
