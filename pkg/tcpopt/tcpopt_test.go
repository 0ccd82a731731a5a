package tcpopt

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Guards against megabytes in the kernel for each client that does not read.
func TestKernelKeepsLittleForAPeerThatDoesNotRead(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	_ = server.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	if _, err := server.Write(make([]byte, 16<<20)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the peer does not read, and the write ends with %v", err)
	}
	raw, err := server.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	queued := 0
	if controlErr := raw.Control(func(fd uintptr) { queued, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	// The kernel counts in segments, the last of which may exceed the bound.
	if queued > 2*maxUnsentBytes {
		t.Fatalf("the kernel keeps %d bytes", queued)
	}
}
