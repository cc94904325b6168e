// Package sockbuf tells what lies in the kernel's buffers of a connection. A process that gets a processor late must not take what it has not read yet
// for something that has not arrived.
package sockbuf

import (
	"errors"
	"net"
	"syscall"
)

// Unread is what lies unread in the kernel's receive buffer of a connection.
type Unread uint8

// States of a receive buffer.
const (
	Unknown Unread = iota // the connection does not tell: it is closed, broken or none of the operating system's
	Empty                 // nothing has arrived
	Bytes                 // bytes have arrived
	EOF                   // the peer has closed its side, and all bytes before that are read
)

// Connected reports whether a connection has been established, also if the process that opens it has not noticed yet.
func Connected(c syscall.RawConn) bool {
	connected := false
	err := c.Control(func(fd uintptr) {
		_, err := syscall.Getpeername(int(fd))
		connected = err == nil
	})
	return err == nil && connected
}

// Received returns what lies unread in the receive buffer. It does not block, and takes no notice of deadlines.
func Received(c net.Conn) Unread {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Unknown
	}
	state := Unknown
	var first [1]byte
	err = raw.Control(func(fd uintptr) {
		for {
			n, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			switch {
			case errors.Is(err, syscall.EINTR):
				continue
			case errors.Is(err, syscall.EAGAIN):
				state = Empty
			case err == nil && n > 0:
				state = Bytes
			case err == nil:
				state = EOF
			}
			return
		}
	})
	if err != nil {
		return Unknown
	}
	return state
}
