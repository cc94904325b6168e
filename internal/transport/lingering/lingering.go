// Package lingering closes connections of a server without losing the last response. When a connection is closed while bytes of the peer are
// unread, for example a pipelined request, the kernel resets it and drops what it has not delivered yet.
package lingering

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// timeout limits how long a connection is read after the server has closed it. Peers that close their side end it earlier.
const timeout = time.Second

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Group tracks the connections of a server that were closed and are still read. The zero value is ready for use.
type Group struct {
	mu    sync.Mutex
	conns int
	empty chan struct{} // closed when conns is 0; nil if nobody waits
}

// Listener wraps l. When one of its connections is closed, the write side ends at once, and bytes that still arrive are discarded until the
// peer closes its side, for at most a second.
func (g *Group) Listener(l net.Listener) net.Listener { return listener{l, g} }

// Wait waits until the connections that have been closed so far are no longer read, or ctx ends.
func (g *Group) Wait(ctx context.Context) {
	g.mu.Lock()
	if g.conns == 0 {
		g.mu.Unlock()
		return
	}
	if g.empty == nil {
		g.empty = make(chan struct{})
	}
	empty := g.empty
	g.mu.Unlock()
	select {
	case <-empty:
	case <-ctx.Done():
	}
}

func (g *Group) add() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns++
}

func (g *Group) remove() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns--; g.conns == 0 && g.empty != nil {
		close(g.empty)
		g.empty = nil
	}
}

type listener struct {
	net.Listener
	group *Group
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, group: l.group}, nil
}

// closeWriter is a connection whose write side can be closed alone.
type closeWriter interface{ CloseWrite() error }

type conn struct {
	net.Conn
	group  *Group
	readMu sync.Mutex // held while bytes are read

	mu     sync.Mutex
	closed bool
	ended  bool // a read has failed: the peer has closed its side, or the connection is broken
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.ended = c.ended || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite closes the write side.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(closeWriter); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. It does not block.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	w, ok := c.Conn.(closeWriter)
	if c.ended || !ok || w.CloseWrite() != nil {
		return c.Conn.Close()
	}
	// Both end a call in progress. An error means that the connection is broken, so that the calls end anyway.
	_ = c.Conn.SetWriteDeadline(past)
	_ = c.Conn.SetReadDeadline(past)
	c.group.add()
	go c.discard()
	return nil
}

// discard reads until the peer closes its side or the timeout has passed, and closes the connection.
func (c *conn) discard() {
	defer c.group.remove()
	defer c.Conn.Close()
	c.readMu.Lock() // a read in progress has ended
	defer c.readMu.Unlock()
	if c.Conn.SetReadDeadline(time.Now().Add(timeout)) == nil {
		// An error means only that there is nothing more to read.
		_, _ = io.Copy(io.Discard, c.Conn)
	}
}
