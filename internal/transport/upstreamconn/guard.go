package upstreamconn

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
	"github.com/arbutusspan/arbutusspan/internal/transport/strictresponse"
)

// connState is the state of a guardedConn.
type connState uint8

const (
	readyForRequest  connState = iota // a request may be written; nothing may be read
	awaitingResponse                  // a byte of a request was written; its response is not complete
	responseRead                      // the response is complete; net/http has not called Read again yet
	idle                              // net/http is blocked in Read with an empty buffer
	unsolicited                       // bytes arrived that belong to no request
)

// maxHeaderLines is the maximum number of lines in a response's status line and header, including those of interim (1xx) responses. Many short lines take
// many times their size in memory when they are parsed.
const maxHeaderLines = 256

// errHeaderLines is returned by Read of a connection on which a response has a longer header.
var errHeaderLines = errors.New("the header of the response has too many lines")

// smallHeadBytes is the size in bytes up to which a response's head does not count for Config.MaxUnfinishedHeads.
const smallHeadBytes = 8 << 10

// errUnfinishedHeads is returned by Read of a connection on which more of a head arrives while Config.MaxUnfinishedHeads is reached.
var errUnfinishedHeads = errors.New("the heads of too many responses are large and not complete")

// errUnsolicited is returned by Read and Write of a connection on which bytes arrived that belong to no request, errEnded by Write of one that the
// upstream has closed before the request.
var (
	errUnsolicited = errors.New("bytes arrived that belong to no request")
	errEnded       = errors.New("the upstream has closed the connection")
)

// guardedConn prevents bytes that arrive between two requests from being read as the response of the later request. net/http
// detects such bytes only if it looks at them before the next request has been started. guardedConn closes this gap: the
// connection becomes idle, and thus reusable, only when net/http calls Read again, which it does when its buffer is empty.
// If bytes arrive before the first byte of the next request is written, or the upstream closes the connection, the connection fails, also if the process
// has not read that yet.
type guardedConn struct {
	net.Conn
	reset        *strictresponse.ResetConn // the same connection as Conn
	writeTimeout time.Duration
	// onClose is called exactly once: when the connection is closed or could not be established.
	onClose   func()
	closeOnce sync.Once

	unfinishedHeads *atomic.Int64 // of the pool
	maxUnfinished   int64         // limit of unfinishedHeads; 0 for none

	mu      sync.Mutex
	state   connState
	head    strictresponse.Scanner // of the current response
	size    int64                  // of what has arrived of the head
	counted int64                  // the part of size that unfinishedHeads has
	closed  bool
	reading bool   // a Read is in progress
	written bool   // a byte of the current request may have been passed to the kernel
	onIdle  func() // called once when the connection becomes idle
	// writtenAt is when the last byte of the current request was passed to the kernel; zero before the first one.
	writtenAt time.Time
	unread    bool // bytes of a response lay in the kernel's buffer when the connection was closed
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.notifyClosed()
	c.mu.Lock()
	if c.state == awaitingResponse {
		c.unread = c.unread || sockbuf.Received(c.Conn) == sockbuf.Bytes
	}
	c.closed = true
	c.uncountLocked()
	c.mu.Unlock()
	return c.Conn.Close()
}

func (c *guardedConn) notifyClosed() { c.closeOnce.Do(c.onClose) }

// Write implements net.Conn. It marks the request as written before it writes, because a write that fails or blocks may have sent a part.
func (c *guardedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.state == readyForRequest {
		switch sockbuf.Received(c.Conn) {
		case sockbuf.Bytes:
			c.state = unsolicited
		case sockbuf.EOF:
			c.mu.Unlock()
			return 0, errEnded
		default:
			c.state = awaitingResponse
		}
	}
	ok := c.state == awaitingResponse
	c.written = c.written || ok
	now := time.Now()
	if ok {
		c.writtenAt = now
	}
	c.mu.Unlock()
	if !ok {
		return 0, errUnsolicited
	}
	if err := c.Conn.SetWriteDeadline(now.Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *guardedConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	onIdle := c.becomeIdleLocked()
	c.mu.Unlock()
	if onIdle != nil {
		onIdle()
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	c.reading = false
	closed, refusal := c.closed, c.checkLocked(b[:n])
	endsWithConnection := c.state == awaitingResponse && c.head.EndsWithConnection()
	c.mu.Unlock()
	switch {
	case refusal != nil:
		return 0, refusal
	case err == io.EOF && closed: // Close may have taken the error that ended the connection
		return n, net.ErrClosed
	case err == io.EOF && endsWithConnection:
		return n, c.reset.ConfirmEnd()
	}
	return n, err
}

// checkLocked checks the next bytes that have arrived.
func (c *guardedConn) checkLocked(b []byte) error {
	if len(b) > 0 && c.state != awaitingResponse {
		c.state = unsolicited
	}
	if c.state == unsolicited {
		return errUnsolicited
	}
	if err := c.head.Scan(b); err != nil {
		return err
	}
	if c.head.Lines() > maxHeaderLines {
		return errHeaderLines
	}
	if !c.countLocked(len(b)) {
		return errUnfinishedHeads
	}
	return nil
}

// countLocked counts n more bytes of an unfinished head. It returns false if there are too many on all connections.
func (c *guardedConn) countLocked(n int) bool {
	if c.head.Ended() || c.closed {
		c.uncountLocked()
		return true
	}
	c.size += int64(n)
	more := max(0, c.size-smallHeadBytes) - c.counted
	if more == 0 {
		return true
	}
	c.counted += more
	return c.unfinishedHeads.Add(more) <= c.maxUnfinished || c.maxUnfinished == 0
}

// uncountLocked ends the count of the head, which is complete or given up.
func (c *guardedConn) uncountLocked() {
	if c.counted > 0 {
		c.unfinishedHeads.Add(-c.counted)
	}
	c.size, c.counted = 0, 0
}

// finishResponse records that the current response was read to its end. It has onIdle called when the connection may be reused. That
// never happens if net/http still holds unread bytes or the connection ends.
func (c *guardedConn) finishResponse(onIdle func()) {
	c.mu.Lock()
	if c.state == awaitingResponse {
		c.state, c.onIdle = responseRead, onIdle
	}
	var call func()
	if c.reading {
		call = c.becomeIdleLocked()
	}
	c.mu.Unlock()
	if call != nil {
		call()
	}
}

// becomeIdleLocked makes the connection idle if its response is complete. It returns the onIdle function, which must be called without
// the lock, or nil.
func (c *guardedConn) becomeIdleLocked() func() {
	if c.state != responseRead {
		return nil
	}
	call := c.onIdle
	c.state, c.onIdle = idle, nil
	return call
}

// ended reports whether the upstream has closed the connection, or bytes have arrived that the process has not read. It may be called while no response
// is due.
func (c *guardedConn) ended() bool {
	received := sockbuf.Received(c.Conn)
	return received == sockbuf.Bytes || received == sockbuf.EOF
}

// beginRequest makes an idle connection ready for a request. It returns false if the connection is not idle, for example because bytes
// arrived that belong to no request.
func (c *guardedConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != idle || c.ended() {
		return false
	}
	c.state, c.written, c.writtenAt, c.head = readyForRequest, false, time.Time{}, strictresponse.Scanner{}
	c.uncountLocked()
	return true
}

// requestWritten reports whether a byte of the current request may have been passed to the kernel.
func (c *guardedConn) requestWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// answerUnseen returns when the last byte of the current request was written, and whether bytes of its response had arrived that net/http has not passed
// on: they lay in the kernel's buffer, or the response's header was read whole.
func (c *guardedConn) answerUnseen() (writtenAt time.Time, unseen bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writtenAt, c.unread || c.head.Ended()
}

// headerBegun reports whether a part of a response's status line or header has arrived, but not its end.
func (c *guardedConn) headerBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Begun()
}
