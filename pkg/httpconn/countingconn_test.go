package httpconn

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
)

// scriptedConn fails its reads and writes with the given errors, in order.
type scriptedConn struct {
	net.Conn
	readErrors, writeErrors []error
}

func next(scripted *[]error) error {
	err := (*scripted)[0]
	*scripted = (*scripted)[1:]
	return err
}

// Read implements net.Conn.
func (c *scriptedConn) Read([]byte) (int, error) { return 0, next(&c.readErrors) }

// Write implements net.Conn.
func (c *scriptedConn) Write([]byte) (int, error) { return 0, next(&c.writeErrors) }

// Guards against the end of a stream that counts as orderly although the connection had failed, and against one that does not
// although the peer had ended its stream before it reset the connection.
func TestFirstFailureDecidesWhetherTheEndIsOrderly(t *testing.T) {
	failure := func(errno syscall.Errno) error { return &net.OpError{Op: "x", Err: os.NewSyscallError("x", errno)} }
	for name, c := range map[string]struct {
		writes, reads []error
		orderly       bool
	}{
		"no failure":                  {nil, []error{io.EOF}, true},
		"reset while writing":         {[]error{failure(syscall.ECONNRESET)}, []error{io.EOF}, false},
		"reset, then a broken pipe":   {[]error{failure(syscall.ECONNRESET), failure(syscall.EPIPE)}, []error{io.EOF}, false},
		"ended, then reset":           {[]error{failure(syscall.EPIPE)}, []error{io.EOF}, true},
		"no acknowledgement":          {[]error{failure(syscall.ETIMEDOUT)}, []error{io.EOF}, false},
		"deadline while writing":      {[]error{os.ErrDeadlineExceeded}, []error{io.EOF}, false},
		"reset while reading":         {nil, []error{failure(syscall.ECONNRESET), io.EOF}, false},
		"reset while reading, repeat": {nil, []error{failure(syscall.ECONNRESET), io.EOF, io.EOF}, false},
	} {
		conn := &countingConn{Conn: &scriptedConn{readErrors: c.reads, writeErrors: c.writes}}
		for range c.writes {
			_, _ = conn.Write([]byte("x"))
		}
		var err error
		for range c.reads {
			_, err = conn.Read(make([]byte, 1))
		}
		if orderly := errors.Is(err, io.EOF); orderly != c.orderly {
			t.Errorf("%s: the end is orderly: %t, error %v", name, orderly, err)
		}
	}
}
