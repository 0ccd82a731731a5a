package httpconn

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

type socketState int

const (
	// stateIdle means that the connection is open and has no unread bytes.
	stateIdle socketState = iota
	// stateUnread means that the connection has unread bytes.
	stateUnread
	// stateClosed means that the peer closed its side or the connection failed.
	stateClosed
)

// PeerClosed reports whether the peer has closed its side of the connection or the connection failed. It consumes no
// bytes.
func PeerClosed(conn net.Conn) bool {
	return peekSocket(conn) == stateClosed
}

// peekSocket checks the receive buffer of the socket without blocking. A connection that is not a socket counts as
// idle.
func peekSocket(conn net.Conn) socketState {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return stateIdle
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return stateClosed
	}
	state := stateClosed
	err = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return stateClosed
	}
	return state
}

func peek(fd int) socketState {
	var buffer [1]byte
	n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return stateIdle
	case err != nil || n == 0:
		return stateClosed
	default:
		return stateUnread
	}
}
