// Package tcpopt sets options of TCP sockets.
package tcpopt

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxUnsentBytes bounds what the kernel keeps of a connection's written bytes that the peer has no room for. Without it, the
// kernel keeps some megabytes for each peer that does not read. It may exceed the bound by a segment of up to 64 KB. Bytes on
// their way are not counted, so that long links stay as fast.
const maxUnsentBytes = 32 << 10

// BoundUnsentBytes sets the bound on a socket. A kernel that does not know the option bounds the bytes by its own rules.
func BoundUnsentBytes(fd uintptr) {
	_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
}

// Listen listens for connections whose unsent bytes are bounded.
func Listen(address string) (net.Listener, error) {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: tcp}, nil
}

type listener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	// Accepted connections do not inherit the option.
	if socket, ok := conn.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			_ = raw.Control(BoundUnsentBytes)
		}
	}
	return conn, nil
}
