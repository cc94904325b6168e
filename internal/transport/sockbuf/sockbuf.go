// Package sockbuf tells what lies in the kernel's buffers of a connection or listener. A process that gets a processor late must not take what
// it has not read yet for something that has not arrived. Of connections that wrap another one, the functions ask the innermost.
package sockbuf

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unread is what lies unread in the kernel's receive buffer of a connection.
type Unread uint8

// States of a receive buffer.
const (
	Unknown Unread = iota // the connection does not tell: it is closed, broken or none of the operating system's
	Empty                 // nothing has arrived
	Bytes                 // bytes have arrived
	EOF                   // the peer has closed its side or reset the connection, and all bytes before that are read
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

// Buffered may be implemented by connections that are none of the operating system's and have a receive buffer.
type Buffered interface {
	Received() Unread
	Take(b []byte) (n int)
}

// Received returns what lies unread in the receive buffer. It does not block, and takes no notice of deadlines.
func Received(c net.Conn) Unread {
	if b, ok := c.(Buffered); ok {
		return b.Received()
	}
	var first [1]byte
	state, _ := receive(c, first[:], syscall.MSG_PEEK)
	return state
}

// Take reads bytes that lie in the receive buffer. It does not block, and takes no notice of deadlines. n is 0 if there are none.
func Take(c net.Conn, b []byte) (n int) {
	if buffered, ok := c.(Buffered); ok {
		return buffered.Take(b)
	}
	_, n = receive(c, b, 0)
	return n
}

func receive(c net.Conn, b []byte, flags int) (state Unread, n int) {
	control(c, func(fd int) {
		for {
			got, _, err := syscall.Recvfrom(fd, b, flags|syscall.MSG_DONTWAIT)
			switch {
			case errors.Is(err, syscall.EINTR):
				continue
			case errors.Is(err, syscall.EAGAIN):
				state = Empty
			case err == nil && got > 0:
				state, n = Bytes, got
			case err == nil, errors.Is(err, syscall.ECONNRESET):
				state = EOF
			}
			return
		}
	})
	return state, n
}

// Dead reports whether a connection was reset, or has failed otherwise: nothing can be sent or received any more, apart from what lies in the receive buffer. It
// is false for a connection that the peer alone has closed, and if the connection does not tell. It leaves the connection's error to the next read or write.
func Dead(c net.Conn) (is bool) {
	control(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		is = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return is
}

// Writable reports whether the send buffer has room for a write that waits for it. It takes no notice of deadlines.
func Writable(c net.Conn) bool { return ready(c, unix.POLLOUT) }

// Waiting reports whether a connection lies in the listener's accept queue.
func Waiting(l net.Listener) bool {
	if q, ok := l.(interface{ Waiting() bool }); ok {
		return q.Waiting()
	}
	return ready(l, unix.POLLIN)
}

// Unacknowledged reports whether the peer's system has not acknowledged all that was written.
func Unacknowledged(c net.Conn) (left bool) {
	control(c, func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		left = err == nil && n > 0
	})
	return left
}

func ready(c any, events int16) (is bool) {
	control(c, func(fd int) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: events}}
		n, err := unix.Poll(polled, 0)
		for errors.Is(err, syscall.EINTR) {
			n, err = unix.Poll(polled, 0)
		}
		is = err == nil && n == 1 && polled[0].Revents&events != 0
	})
	return is
}

// wrapper is implemented by connections that pass reads and writes on to another one, like those of crypto/tls.
type wrapper interface{ NetConn() net.Conn }

// control calls f with the descriptor of a connection or listener. It does not if there is none, or if it is closed.
func control(c any, f func(fd int)) {
	for w, ok := c.(wrapper); ok; w, ok = c.(wrapper) {
		c = w.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := s.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // an error means that it is closed
	}
}
