package upstreamconn

import (
	"errors"
	"net"
	"sync"
	"time"
)

// phase of a guarded connection.
type phase uint8

const (
	ready    phase = iota // a request may be written; nothing may be read
	awaiting              // a byte of a request was written, its answer is not complete
	parking               // the answer is complete; the reader has not asked for more yet
	idle                  // the reader waits for the next answer and holds no byte
	poisoned              // bytes came that belong to no request
)

// errStray ends a connection on which bytes arrive that belong to no request.
var errStray = errors.New("bytes arrived that belong to no request")

// guardedConn watches the bytes of one connection, so that no answer can be taken for that of a later request. net/http
// detects left-over bytes only if no request has been started by the time it looks at them; this closes that gap: a
// connection becomes idle only once net/http's reader asks for more bytes, which it does when its buffer is empty, and
// bytes that arrive before the next request's first byte is written end the connection.
type guardedConn struct {
	net.Conn
	stall time.Duration
	// released is called once, when the connection is closed.
	released func()
	closing  sync.Once

	mu      sync.Mutex
	phase   phase
	reading bool   // a Read is in progress
	written bool   // a byte of the current request was handed to the kernel
	onIdle  func() // called once when the connection becomes idle
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

func (c *guardedConn) release() { c.closing.Do(c.released) }

// Write counts before the call, because a write that fails or blocks may have sent a part.
func (c *guardedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.phase == ready {
		c.phase = awaiting
	}
	ok := c.phase == awaiting
	c.written = c.written || ok
	c.mu.Unlock()
	if !ok {
		return 0, errStray
	}
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.stall)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *guardedConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	onIdle := c.parkLocked()
	c.mu.Unlock()
	if onIdle != nil {
		onIdle()
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n > 0 && c.phase != awaiting {
		c.phase = poisoned
	}
	if c.phase == poisoned {
		return 0, errStray
	}
	return n, err
}

// complete tells that the current answer was read to its end. onIdle is called when the connection may be used again;
// that never happens if bytes are left over or the connection ends.
func (c *guardedConn) complete(onIdle func()) {
	c.mu.Lock()
	if c.phase == awaiting {
		c.phase, c.onIdle = parking, onIdle
	}
	var call func()
	if c.reading {
		call = c.parkLocked()
	}
	c.mu.Unlock()
	if call != nil {
		call()
	}
}

func (c *guardedConn) parkLocked() func() {
	if c.phase != parking {
		return nil
	}
	call := c.onIdle
	c.phase, c.onIdle = idle, nil
	return call
}

// take makes an idle connection ready for a request. It fails if stray bytes have arrived.
func (c *guardedConn) take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != idle {
		return false
	}
	c.phase, c.written = ready, false
	return true
}

// wrote reports whether a byte of the current request was handed to the kernel.
func (c *guardedConn) wrote() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}
