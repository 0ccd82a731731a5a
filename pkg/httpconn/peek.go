package httpconn

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

type peekState int

const (
	// stateQuiet means that the connection is open and no byte waits.
	stateQuiet peekState = iota
	// stateData means that unread bytes wait.
	stateData
	// stateClosed means that the peer closed its side or the connection failed.
	stateClosed
)

// PeerClosed tells whether the peer has closed its side of the connection, without consuming bytes.
func PeerClosed(conn net.Conn) bool {
	return idleState(conn) == stateClosed
}

// idleState looks at the socket's receive buffer without waiting. A connection that is not a socket counts as quiet.
func idleState(conn net.Conn) peekState {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return stateQuiet
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

func peek(fd int) peekState {
	var buffer [1]byte
	n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return stateQuiet
	case err != nil || n == 0:
		return stateClosed
	default:
		return stateData
	}
}
