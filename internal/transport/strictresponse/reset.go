package strictresponse

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
)

// Errors of ConfirmEnd.
var (
	errRequestCut    = fmt.Errorf("the connection has failed before the peer has taken the whole request: %w", syscall.ECONNRESET)
	errUnknownLength = errors.New("the response ends with its connection, and the request states no length")
)

// Intervals at which ConfirmEnd asks for the state of the connection.
const (
	minConfirmInterval = time.Millisecond
	maxConfirmInterval = 20 * time.Millisecond
)

// ResetConn is a connection that distinguishes a response that its peer has ended in order from one that a reset has cut. The kernel reports a reset once:
// if a Write meets it, a Read after that returns io.EOF. A reset that follows the peer's end of file is not reported to a Read at all. A response that ends
// with its connection looks complete in both cases.
type ResetConn struct {
	net.Conn
	writing   sync.Mutex // held while Write calls the connection
	mu        sync.Mutex // guards writeErr and request
	writeErr  error      // of the first Write that failed
	request   requestProgress
	closed    chan struct{}
	closeOnce sync.Once
}

// NewResetConn returns c as a ResetConn. Nothing else may read the errors of c, for example with sockbuf.Received, while a response is read.
func NewResetConn(c net.Conn) *ResetConn { return &ResetConn{Conn: c, closed: make(chan struct{})} }

// BeginRequest must be called before each request is written whose response may end with the connection. bodyLength is the length of the request's body in
// bytes, or -1 if it is not known.
func (c *ResetConn) BeginRequest(bodyLength int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = requestProgress{bodyLength: bodyLength}
}

// Write implements net.Conn.
func (c *ResetConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.add(b[:n])
	c.writeErr = cmp.Or(c.writeErr, err)
	return n, err
}

// Read implements net.Conn. An io.EOF ends a response that has neither a length nor chunks only if ConfirmEnd says so.
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
	if c.isClosed() { // a closed connection does not tell whether it was dead
		return net.ErrClosed
	}
	if !dead {
		return io.EOF
	}
	c.writing.Lock() // a Write in progress fails at once, perhaps with the error that is missing here
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return cmp.Or(c.writeErr, io.EOF)
}

// ConfirmEnd returns io.EOF if the end of file that Read has returned is the end of a response that has neither a length nor chunks. The peer may end its
// side of the connection before it has read the request's body, and reset the connection later: such a response was cut. ConfirmEnd therefore waits until the
// peer's system has acknowledged the body, and returns an error if the connection fails or is closed before. It does not wait if there is no body.
//
// What the peer's system has acknowledged may lie in its receive buffer. A peer that resets the connection without having read it is not noticed, unless the
// reset has arrived when ConfirmEnd is called.
func (c *ResetConn) ConfirmEnd() error {
	for interval := minConfirmInterval; ; interval = min(2*interval, maxConfirmInterval) {
		if taken, err := c.requestTaken(); err != nil {
			return err
		} else if taken {
			return io.EOF
		}
		select {
		case <-c.closed:
		case <-time.After(interval):
		}
	}
}

// requestTaken reports whether the request is written and the peer's system has acknowledged its body. The error says that this will not happen.
func (c *ResetConn) requestTaken() (bool, error) {
	c.mu.Lock()
	request := c.request
	c.mu.Unlock()
	unacknowledged, dead := sockbuf.Unacknowledged(c.Conn), sockbuf.Dead(c.Conn)
	closed := c.isClosed() // a closed connection tells neither
	c.mu.Lock()
	writeErr := c.writeErr // after closed: net/http closes the connection because of it
	c.mu.Unlock()
	switch {
	case writeErr != nil:
		return false, writeErr
	case closed:
		return false, net.ErrClosed
	case request.bodyLength < 0:
		return false, errUnknownLength
	case request.bodyLength == 0 && request.written():
		return true, nil
	case dead:
		return false, errRequestCut
	}
	return request.written() && !unacknowledged, nil
}

// Close implements net.Conn.
func (c *ResetConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *ResetConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// NetConn returns the connection that c reads and writes.
func (c *ResetConn) NetConn() net.Conn { return c.Conn }

// requestProgress is how much of a request has been written.
type requestProgress struct {
	bodyLength  int64 // -1 if it is not known
	bodyWritten int64
	matched     int // how many bytes of headEnd the head ends with so far
}

// headEnd ends the head of a request. net/http writes no line end but CR LF.
const headEnd = "\r\n\r\n"

// add records that b was written.
func (p *requestProgress) add(b []byte) {
	for ; len(b) > 0 && p.matched < len(headEnd); b = b[1:] {
		switch b[0] {
		case headEnd[p.matched]:
			p.matched++
		case headEnd[0]:
			p.matched = 1
		default:
			p.matched = 0
		}
	}
	p.bodyWritten += int64(len(b))
}

// written reports whether the request is written to its end.
func (p *requestProgress) written() bool {
	return p.matched == len(headEnd) && p.bodyLength >= 0 && p.bodyWritten >= p.bodyLength
}
