package faketime

import (
	"context"
	"net"
	"sync"
	"time"
)

// Link is a network link in memory with limited bandwidth, for tests on the fake clock. Connections of the operating system block outside of
// the bubble, so that the fake clock would stand still. Link is a net.Listener; its connections are made by DialContext.
type Link struct {
	bytesPerSecond float64 // of each connection in each direction
	conns          chan net.Conn
	closed         chan struct{}
	closeOnce      sync.Once
}

// NewLink returns a link whose connections carry the given number of bytes per second in each direction.
func NewLink(bytesPerSecond float64) *Link {
	return &Link{bytesPerSecond: bytesPerSecond, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// DialContext returns a connection to the listener, whatever the network and address.
func (l *Link) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- &pacedConn{far, l.bytesPerSecond}:
		return &pacedConn{near, l.bytesPerSecond}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *Link) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Open connections stay open.
func (l *Link) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Link) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// pacedConn delays writes to its bandwidth.
type pacedConn struct {
	net.Conn
	bytesPerSecond float64
}

// segmentBytes is the largest number of bytes that are written at once.
const segmentBytes = 16 << 10

// Write implements net.Conn.
func (c *pacedConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		segment := p[written:min(len(p), written+segmentBytes)]
		time.Sleep(time.Duration(float64(len(segment)) / c.bytesPerSecond * float64(time.Second)))
		n, err := c.Conn.Write(segment)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
