package etcdgateway

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a transport that still writes a request after its caller was told that nothing was sent, and against
// "not sent" for a request whose write failed.
func TestSeal(t *testing.T) {
	g := NewWithT(t)
	client, server := net.Pipe()
	g.Expect(server.Close()).To(Succeed())
	unused := &trackedConn{Conn: client}
	g.Expect(unused.sealIfUnwritten(unused.count())).To(BeTrue())
	_, err := unused.Write([]byte("x"))
	g.Expect(err).To(MatchError(errSealed))
	used := &trackedConn{Conn: client}
	before := used.count()
	_, err = used.Write([]byte("x"))
	g.Expect(err).To(HaveOccurred())
	g.Expect(used.sealIfUnwritten(before)).To(BeFalse())
}
