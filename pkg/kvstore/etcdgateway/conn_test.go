package etcdgateway

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a transport that still writes a request after it was reported as not sent, and against reporting a
// request as not sent although a write of it failed.
func TestBlockIfUnwritten(t *testing.T) {
	g := NewWithT(t)
	client, server := net.Pipe()
	g.Expect(server.Close()).To(Succeed())
	unused := &trackedConn{Conn: client}
	g.Expect(unused.blockIfUnwritten(unused.bytesWritten())).To(BeTrue())
	_, err := unused.Write([]byte("x"))
	g.Expect(err).To(MatchError(errWritesBlocked))
	used := &trackedConn{Conn: client}
	bytesBefore := used.bytesWritten()
	_, err = used.Write([]byte("x"))
	g.Expect(err).To(HaveOccurred())
	g.Expect(used.blockIfUnwritten(bytesBefore)).To(BeFalse())
}
