package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
)

// CloseReason says why the server read no further request from a connection.
type CloseReason string

// Reasons.
const (
	CloseCallerLeft CloseReason = "caller_left" // the caller closed it, or it broke
	CloseIdle       CloseReason = "idle"        // no request arrived within the idle timeout
	CloseStopped    CloseReason = "stopped"     // the server stops
	CloseResponse   CloseReason = "response"    // a response said that the connection closes after it
	CloseRequest    CloseReason = "request"     // a request could not be read, or was the last one by its header
	CloseEvicted    CloseReason = "evicted"     // it made room for others
)

// maxKeptUnread is the number of unread bytes that are kept of a connection, for ClosedConn.
const maxKeptUnread = 2 << 10

// ClosedConn describes a connection that was closed although its caller had sent something that was not answered.
type ClosedConn struct {
	Caller   net.Addr
	Reason   CloseReason
	Requests int64         // requests that were read
	Unread   int64         // bytes that arrived and were discarded, not counting Dropped
	Dropped  bool          // a whole request was read and dropped, because the decision to close had been taken meanwhile
	Header   http.Header   // of the first request without an answer; nil if no whole header of one has arrived
	OpenFor  time.Duration // since the connection was accepted
	IdleFor  time.Duration // since the last progress of a request or response, at the time of the decision to close
}

// setCloseReason records why no further request is read. The first reason counts. c.mu must be held.
func (c *conn) setCloseReason(r CloseReason) {
	if c.closeReason == "" {
		c.closeReason, c.idleFor = r, time.Since(c.lastProgress())
	}
}

// closeFor records why no further request is read.
func (c *conn) closeFor(r CloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setCloseReason(r)
}

// linger closes the connection once all requests that were read are answered. It cancels the handlers when the caller disconnects. Until the caller closes
// its side, at most for lingerTimeout, it reads what still arrives: unread bytes would make the kernel reset the connection, and the caller could lose the
// last response.
func (c *conn) linger(br *bufio.Reader) {
	c.closeIfFinished()
	c.mu.Lock()
	c.setReadDeadlineLocked(c.lingerUntil)
	c.mu.Unlock()
	if c.discard(br, maxLingerBytes) == maxLingerBytes {
		<-c.ctx.Done() // the end of the time to read the response, or of the connection
	}
	c.cancel(ErrCallerLeft)
}

// closeIfFinished closes the connection, or at first its write side, if no further request is read and all are answered.
func (c *conn) closeIfFinished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lingerUntil.IsZero() || !c.lastRead || c.pending > 0 {
		return
	}
	c.lingerUntil = time.Now().Add(lingerTimeout)
	if c.closesAtOnce() {
		cause := ErrIdle
		if c.evicted != notEvicted {
			cause = ErrEvicted
		}
		c.abort(cause)
		return
	}
	c.setReadDeadlineLocked(c.lingerUntil)
	time.AfterFunc(lingerTimeout, func() { c.abort(ErrCallerLeft) })
	if closer, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		// An error means that the connection is already closed.
		_ = closer.CloseWrite()
	}
}

// closesAtOnce reports whether no response has to be protected from a reset. A request that crosses the close is not read then: the kernel resets the
// connection, so that its caller learns at once that the request has not run.
func (c *conn) closesAtOnce() bool {
	switch c.evicted {
	case notEvicted:
		idle := c.closeReason == CloseIdle || c.closeReason == CloseStopped
		return idle && time.Since(c.answeredAt) >= lingerTimeout && !sockbuf.Unacknowledged(c.netConn)
	case EvictedBody:
		return false
	case EvictedIdle:
		return !sockbuf.Unacknowledged(c.netConn)
	}
	return true // the refusal of a request that did not arrive whole is sent, but not waited for
}

// discard reads and discards up to limit bytes. It keeps the first ones for the report.
func (c *conn) discard(br *bufio.Reader, limit int64) (n int64) {
	var kept bytes.Buffer
	n, _ = io.CopyN(&kept, br, min(limit, maxKeptUnread)) // an error means only that there is nothing more to read
	if n == maxKeptUnread {
		more, _ := io.CopyN(io.Discard, br, limit-n)
		n += more
	}
	c.unread, c.unreadHead = c.unread+n, kept.Bytes()
	return n
}

// reportClosed calls OnClosed if something that the caller has sent was not answered.
func (c *conn) reportClosed() {
	c.mu.Lock()
	reason, idleFor := c.closeReason, c.idleFor
	c.mu.Unlock()
	if errors.Is(context.Cause(c.ctx), ErrEvicted) {
		reason = CloseEvicted
	}
	if c.server.cfg.OnClosed == nil || c.unread == 0 && c.dropped == nil {
		return
	}
	closed := ClosedConn{Caller: c.netConn.RemoteAddr(), Reason: reason, Requests: c.activity.requests.Load(), Unread: c.unread, Dropped: c.dropped != nil,
		OpenFor: c.openFor(time.Now()), IdleFor: idleFor}
	if closed.Dropped {
		closed.Header = c.dropped.Header
	} else {
		closed.Header = headerOf(c.unreadHead)
	}
	c.server.cfg.OnClosed(closed)
}

// headerOf returns the header of a request of which the first bytes are given, or nil if its end is not among them.
func headerOf(b []byte) http.Header {
	_, fields, _ := bytes.Cut(b, []byte("\r\n"))
	if !bytes.Contains(fields, []byte("\r\n\r\n")) {
		return nil
	}
	header, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	if err != nil {
		return nil
	}
	return http.Header(header)
}
