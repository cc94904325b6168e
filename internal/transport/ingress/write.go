package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"time"
)

// write sends the responses in the order of the requests. It returns when the reader has ended and all requests are answered.
func (c *conn) write() {
	bw := bufio.NewWriterSize(deadlineWriter{c.netConn, c.wrote}, 4<<10)
	for x := range c.queue {
		resp := <-x.response
		if cause := context.Cause(c.ctx); cause != nil && !errors.Is(cause, ErrStopped) {
			if resp.Stream != nil {
				resp.Stream.Close()
			}
			c.reportUndelivered(x, resp, cause)
		} else if err := c.writeResponse(bw, x.request, resp, c.decideLast(resp)); err != nil {
			c.reportUndelivered(x, resp, err)
			c.abort(err)
		}
		c.endWrite()
		x.release()
		x.unreserve()
		c.answered()
	}
}

// reportUndelivered calls OnUndelivered.
func (c *conn) reportUndelivered(x *exchange, resp *Response, cause error) {
	if c.server.cfg.OnUndelivered != nil && x.request != nil {
		c.server.cfg.OnUndelivered(x.request, resp, cause)
	}
}

// maxWriteBytes is the number of bytes that a caller has to read within writeTimeout.
const maxWriteBytes = 64 << 10

// deadlineWriter writes to a connection. It fails if the caller does not read for writeTimeout, but not because a long response takes longer.
type deadlineWriter struct {
	conn  net.Conn
	wrote func() // is called after each write
}

// Write implements io.Writer.
func (w deadlineWriter) Write(b []byte) (written int, err error) {
	for written < len(b) && err == nil {
		w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		var n int
		n, err = w.conn.Write(b[written:min(len(b), written+maxWriteBytes)])
		written += n
		w.wrote()
	}
	return written, err
}

// decideLast reports whether the connection closes after this response. During a planned stop it does so if no other request that has
// arrived is unanswered.
func (c *conn) decideLast(r *Response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.CloseConnection || c.server.draining.Load() && c.pending == 1 && !c.arrived {
		c.lastRead = true
		c.setCloseReason(CloseResponse)
	}
	return c.lastRead && c.pending == 1
}

func (c *conn) writeContinue() {
	c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	// If the write fails, so does the next read.
	_, _ = io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n")
}
