package ingress

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
)

// memNetwork is a listener whose connections are in memory and behave like TCP on the fake clock: bytes arrive after a latency, a side can be
// half-closed, and bytes that arrive at a closed connection, or are unread when it is closed, reset it. A reset discards what its receiver has
// not read, which is stricter than Linux and like a network with proxies.
type memNetwork struct {
	latency time.Duration // one-way

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	backlog  []*memConn    // not accepted yet
	deadline time.Time
	closed   bool
}

// memWindow is the number of bytes that one side may send before the other has read them.
const memWindow = 64 << 10

func newMemNetwork(latency time.Duration) *memNetwork {
	return &memNetwork{latency: latency, changed: make(chan struct{})}
}

// memConn is one side of a connection. The lock of its network guards all fields.
type memConn struct {
	network       *memNetwork
	peer          *memConn
	segments      []memSegment // sent by the peer and not read
	unread        int          // bytes in segments
	shut          bool         // this side sends no more
	closed        bool
	resetAt       time.Time // when a reset by the peer arrives; zero if there is none
	readDeadline  time.Time
	writeDeadline time.Time
}

type memSegment struct {
	due  time.Time
	data []byte // nil for the end of the stream
}

func (n *memNetwork) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// wait waits for the next change or the earliest of the times that are not zero, and locks n.mu again.
func (n *memNetwork) wait(times ...time.Time) {
	var next time.Time
	for _, t := range times {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	changed := n.changed
	n.mu.Unlock()
	defer n.mu.Lock()
	if next.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

func reached(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

// dial opens a connection. It returns nil if the listener is closed.
func (n *memNetwork) dial() *memConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil
	}
	near, far := &memConn{network: n}, &memConn{network: n}
	near.peer, far.peer = far, near
	n.backlog = append(n.backlog, far)
	n.notify()
	return near
}

// Accept implements net.Listener.
func (n *memNetwork) Accept() (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		switch {
		case n.closed:
			return nil, net.ErrClosed
		case reached(n.deadline):
			return nil, os.ErrDeadlineExceeded
		case len(n.backlog) > 0:
			c := n.backlog[0]
			n.backlog = n.backlog[1:]
			return c, nil
		}
		n.wait(n.deadline)
	}
}

// Waiting is asked by package sockbuf.
func (n *memNetwork) Waiting() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.backlog) > 0
}

// SetDeadline sets the deadline of Accept.
func (n *memNetwork) SetDeadline(t time.Time) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deadline = t
	n.notify()
	return nil
}

// Close implements net.Listener. Connections that were not accepted are reset.
func (n *memNetwork) Close() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, c := range n.backlog {
		c.closed, c.peer.resetAt = true, time.Now().Add(n.latency)
	}
	n.backlog = nil
	n.notify()
	return nil
}

// Addr implements net.Listener.
func (n *memNetwork) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Read implements net.Conn.
func (c *memConn) Read(b []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for {
		var due time.Time
		if len(c.segments) > 0 {
			due = c.segments[0].due
		}
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case reached(c.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case reached(c.resetAt):
			return 0, syscall.ECONNRESET
		case reached(due) && c.segments[0].data == nil:
			return 0, io.EOF
		case reached(due):
			return c.take(b), nil
		}
		c.network.wait(due, c.readDeadline, c.resetAt)
	}
}

func (c *memConn) take(b []byte) (n int) {
	n = copy(b, c.segments[0].data)
	c.segments[0].data = c.segments[0].data[n:]
	if len(c.segments[0].data) == 0 {
		c.segments = c.segments[1:]
	}
	c.unread -= n
	c.network.notify()
	return n
}

// Received implements sockbuf.Buffered.
func (c *memConn) Received() sockbuf.Unread {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	switch {
	case c.closed || reached(c.resetAt):
		return sockbuf.Unknown
	case len(c.segments) == 0 || !reached(c.segments[0].due):
		return sockbuf.Empty
	case c.segments[0].data == nil:
		return sockbuf.EOF
	}
	return sockbuf.Bytes
}

// Take implements sockbuf.Buffered.
func (c *memConn) Take(b []byte) int {
	if c.Received() != sockbuf.Bytes {
		return 0
	}
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return c.take(b)
}

// Write implements net.Conn.
func (c *memConn) Write(b []byte) (written int, err error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for len(b) > 0 {
		switch room := memWindow - c.peer.unread; {
		case c.closed:
			return written, net.ErrClosed
		case c.shut, reached(c.resetAt):
			return written, syscall.EPIPE
		case reached(c.writeDeadline):
			return written, os.ErrDeadlineExceeded
		case room <= 0:
			c.network.wait(c.writeDeadline, c.resetAt)
		default:
			n := min(room, len(b))
			due := time.Now().Add(c.network.latency)
			if c.peer.closed {
				c.resetBy(due)
			} else {
				c.peer.segments = append(c.peer.segments, memSegment{due, append([]byte{}, b[:n]...)})
				c.peer.unread += n
			}
			b, written = b[n:], written+n
			c.network.notify()
		}
	}
	return written, nil
}

// resetBy has a reset leave the peer at the given time.
func (c *memConn) resetBy(t time.Time) {
	if arrives := t.Add(c.network.latency); c.resetAt.IsZero() || arrives.Before(c.resetAt) {
		c.resetAt = arrives
	}
}

func (c *memConn) closeWrite() {
	if !c.shut {
		c.shut = true
		c.peer.segments = append(c.peer.segments, memSegment{due: time.Now().Add(c.network.latency)})
	}
}

// CloseWrite ends the stream that this side sends.
func (c *memConn) CloseWrite() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closeWrite()
	c.network.notify()
	return nil
}

// Close implements net.Conn.
func (c *memConn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closeWrite()
	c.closed = true
	for _, s := range c.segments {
		if s.data != nil {
			c.peer.resetBy(laterOf(time.Now(), s.due))
		}
	}
	c.segments, c.unread = nil, 0
	c.network.notify()
	return nil
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// SetDeadline implements net.Conn.
func (c *memConn) SetDeadline(t time.Time) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.readDeadline, c.writeDeadline = t, t
	c.network.notify()
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *memConn) SetReadDeadline(t time.Time) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.readDeadline = t
	c.network.notify()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *memConn) SetWriteDeadline(t time.Time) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.writeDeadline = t
	c.network.notify()
	return nil
}

// LocalAddr implements net.Conn.
func (c *memConn) LocalAddr() net.Addr { return c.network.Addr() }

// RemoteAddr implements net.Conn.
func (c *memConn) RemoteAddr() net.Addr { return c.network.Addr() }
