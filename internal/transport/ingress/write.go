package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
)

// write sends the responses in the order of the requests. It returns when the reader has ended and all requests are answered.
func (c *conn) write() {
	bw := bufio.NewWriterSize(connWriter{c}, 4<<10)
	for x := range c.queue {
		resp := <-x.response
		if cause := context.Cause(c.ctx); cause != nil && !errors.Is(cause, ErrStopped) {
			c.dropResponse(x, resp, cause)
		} else {
			c.respond(bw, x, resp)
		}
		c.progress()
		x.release()
		x.unreserve()
		c.answered()
	}
}

// respond writes a response, or one with status 500 in its place if it has no final status.
func (c *conn) respond(bw *bufio.Writer, x *exchange, resp *Response) {
	if !callerapi.IsFinalStatus(resp.Status) {
		c.dropResponse(x, resp, ErrStatus)
		resp = &Response{Status: http.StatusInternalServerError, CloseConnection: true}
	}
	if err := writeResponse(bw, x.request, resp, c.connectionField(resp)); err != nil {
		c.reportUndelivered(x, resp, err)
		c.abort(err)
	}
}

// dropResponse reports and closes a response that is not written.
func (c *conn) dropResponse(x *exchange, resp *Response, cause error) {
	if resp.Stream != nil {
		resp.Stream.Close()
	}
	c.reportUndelivered(x, resp, cause)
}

// reportUndelivered calls OnUndelivered.
func (c *conn) reportUndelivered(x *exchange, resp *Response, cause error) {
	if c.server.cfg.OnUndelivered != nil && x.request != nil {
		c.server.cfg.OnUndelivered(x.request, resp, cause)
	}
}

// maxWriteBytes is the number of bytes that a caller has to read within writeTimeout.
const maxWriteBytes = 64 << 10

// connWriter writes to a connection. It fails if the caller does not read for writeTimeout, but not because a long response takes longer.
type connWriter struct{ *conn }

// Write implements io.Writer.
func (c connWriter) Write(b []byte) (written int, err error) {
	for written < len(b) && err == nil {
		var n int
		n, err = c.writePart(b[written:min(len(b), written+maxWriteBytes)])
		written += n
	}
	return written, err
}

// writePart writes at most maxWriteBytes. If the deadline has passed, or the connection is asked to make room, and the caller has read meanwhile, then the
// process got no processor for writing more.
func (c *conn) writePart(b []byte) (written int, err error) {
	defer c.activity.writingAt.Store(0)
	for renewed := false; ; {
		c.activity.writingAt.Store(c.clock(time.Now()))
		c.mu.Lock()
		c.evictingWriter = false
		c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
		c.mu.Unlock()
		n, err := c.netConn.Write(b[written:])
		if written += n; !isTimeout(err) {
			return written, err
		}
		reads := sockbuf.Writable(c.netConn)
		c.mu.Lock()
		asked := c.evictingWriter
		if asked && !reads {
			c.evicted = EvictedUnread
			c.setCloseReason(CloseEvicted)
		}
		c.mu.Unlock()
		switch {
		case asked && !reads:
			c.server.reportEvicted(c, EvictedUnread)
			return written, ErrEvicted
		case asked:
		case reads && !renewed:
			renewed = true
		default:
			return written, err
		}
	}
}

// decideLast reports whether the connection closes after this response. During a planned stop it does so if no other request that has
// arrived is unanswered. Then a request that is read later is not answered, as the response has announced.
func (c *conn) decideLast(r *Response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.CloseConnection || c.server.draining.Load() && c.pending == 1 && !c.arrived && sockbuf.Received(c.netConn) != sockbuf.Bytes {
		c.lastRead = true
		c.setCloseReason(CloseResponse)
	}
	return c.lastRead && c.pending == 1
}

// connectionField returns the header field that says how long the connection stays open after this response.
func (c *conn) connectionField(r *Response) string {
	if c.decideLast(r) {
		return connectionClose
	}
	idleTimeout := c.server.cfg.Limits().IdleTimeout
	c.mu.Lock()
	c.statedIdle = idleTimeout
	c.mu.Unlock()
	return keepAlive(idleTimeout)
}

func (c *conn) writeContinue() {
	c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	// If the write fails, so does the next read.
	_, _ = io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n")
}
