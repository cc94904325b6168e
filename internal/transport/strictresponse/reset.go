package strictresponse

import (
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
)

// ResetConn is a connection whose Read returns io.EOF only if the peer has closed its side. The kernel reports a reset once: if a Write meets it, a Read
// after that returns io.EOF, and a response that ends with its connection looks complete.
type ResetConn struct {
	net.Conn
	writing  sync.Mutex // held while Write calls the connection
	writeErr error      // of the first Write that met a failure of the connection; guarded by writing
	closed   atomic.Bool
}

// NewResetConn returns c as a ResetConn. Nothing else may read the errors of c, for example with sockbuf.Received, while a response is read.
func NewResetConn(c net.Conn) *ResetConn { return &ResetConn{Conn: c} }

// Write implements net.Conn.
func (c *ResetConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	// After a reset that follows the peer's end of file, writes fail with EPIPE. All that the peer had sent has arrived then.
	if err != nil && c.writeErr == nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *ResetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

// endError returns what a Read that got an end of file returns.
func (c *ResetConn) endError() error {
	dead := sockbuf.Dead(c.Conn)
	if c.closed.Load() { // a closed connection does not tell whether it was dead
		return net.ErrClosed
	}
	if !dead {
		return io.EOF
	}
	c.writing.Lock() // a Write in progress fails at once, perhaps with the error that is missing here
	defer c.writing.Unlock()
	return cmp.Or(c.writeErr, io.EOF)
}

// Close implements net.Conn.
func (c *ResetConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// NetConn returns the connection that c reads and writes.
func (c *ResetConn) NetConn() net.Conn { return c.Conn }
