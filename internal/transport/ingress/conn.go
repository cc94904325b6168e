package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// conn serves one connection with two goroutines: the reader parses requests and starts their handlers, the writer sends the responses in
// the order of the requests.
type conn struct {
	server     *Server
	netConn    net.Conn
	overloaded bool // the server has too many connections: respond with 503 and close

	ctx    context.Context // canceled when the caller has disconnected, or after the last response
	cancel context.CancelCauseFunc
	queue  chan *exchange // requests without a response, in the order in which they were read

	mu              sync.Mutex
	pending         int           // requests that were read and whose response is not yet written
	earlierAnswered chan struct{} // closed when pending becomes 1 or 0; nil if waitForEarlier is not waiting
	closing         bool          // the connection is closed after the response that is being written
	continueDue     bool          // the caller of the request being read waits for 100 Continue, which follows the earlier responses
}

// exchange is a request and the response that its handler will send.
type exchange struct {
	request   *Request
	keepAlive bool // the connection may carry further requests after this one
	response  chan *Response
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, netConn: nc, queue: make(chan *exchange, maxPipelined)}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0
}

func (c *conn) abort(cause error) {
	c.cancel(cause)
	c.netConn.Close()
}

// run serves the connection. It returns when the connection is closed and all its handlers have returned.
func (c *conn) run() {
	var writer sync.WaitGroup
	writer.Go(c.write)
	c.read()
	close(c.queue)
	writer.Wait()
	c.abort(ErrResponded)
}

func (c *conn) read() {
	br := bufio.NewReader(c.netConn)
	for {
		limits := c.server.cfg.Limits()
		c.netConn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		if _, err := br.Peek(1); err != nil {
			if isTimeout(err) {
				c.cancel(ErrIdleTimeout)
			}
			break
		}
		c.netConn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
		p := parser{br: br, limits: limits, server: c.server, sendContinue: c.sendContinue}
		if c.overloaded {
			p.refuse(http.StatusServiceUnavailable, "this host has too many connections")
		} else {
			p.parse(func() { c.netConn.SetReadDeadline(time.Now().Add(bodyTimeout)) })
		}
		if p.disconnected {
			break
		}
		x := &exchange{request: p.request, keepAlive: p.keepAlive && p.refusal == nil, response: make(chan *Response, 1)}
		if !c.countRequest() {
			c.linger(br)
			return
		}
		if p.refusal != nil {
			c.reportRefusal(&p)
			x.response <- p.refusal
			c.queue <- x
			c.linger(br)
			return
		}
		concurrent := c.server.cfg.Handler.MayRunConcurrently(x.request)
		if !concurrent && !c.waitForEarlier() {
			c.discardRequest(p.bodyBytes)
			c.linger(br)
			return
		}
		c.queue <- x
		go func() {
			defer c.server.totalBodyBytes.Add(-p.bodyBytes)
			x.response <- c.server.handle(c.ctx, x.request)
		}()
		if !x.keepAlive {
			c.linger(br)
			return
		}
	}
	c.cancel(ErrCallerLeft)
}

// reportRefusal calls OnRefused.
func (c *conn) reportRefusal(p *parser) {
	if c.server.cfg.OnRefused == nil {
		return
	}
	var header http.Header
	if p.request != nil {
		header = p.request.Header
	}
	c.server.cfg.OnRefused(c.netConn.RemoteAddr(), header, p.refusal.Status, p.refusedFor)
}

// linger reads and discards what the caller still sends: unread bytes would make the kernel reset the connection, and the caller could
// lose the last response. It cancels the handlers when the caller disconnects.
func (c *conn) linger(br *bufio.Reader) {
	c.netConn.SetReadDeadline(time.Time{})
	// An error means only that there is nothing more to read.
	_, _ = io.Copy(io.Discard, br)
	c.cancel(ErrCallerLeft)
}

// countRequest counts a request that was read. It returns false if the connection closes after an earlier response.
func (c *conn) countRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.continueDue = false // the body has arrived
	if c.closing {
		return false
	}
	c.pending++
	c.server.unanswered.Add(1)
	return true
}

// discardRequest gives up a request that countRequest has counted and whose handler was not started.
func (c *conn) discardRequest(bodyBytes int64) {
	c.server.totalBodyBytes.Add(-bodyBytes)
	c.answered()
}

// answered counts a request as finished: its response was written, or is not going to be.
func (c *conn) answered() {
	c.mu.Lock()
	c.pending--
	c.server.unanswered.Add(-1)
	if c.pending <= 1 && c.earlierAnswered != nil {
		close(c.earlierAnswered)
		c.earlierAnswered = nil
	}
	sendContinue := c.continueDue && c.pending == 0 && !c.closing
	if sendContinue {
		c.continueDue = false
	}
	c.mu.Unlock()
	if sendContinue {
		c.netConn.SetReadDeadline(time.Now().Add(bodyTimeout))
		c.writeContinue()
	}
}

// waitForEarlier waits until all requests before the newest one are answered. It returns false if the newest one must not run, because
// the caller has disconnected or the connection closes after an earlier response.
func (c *conn) waitForEarlier() bool {
	c.mu.Lock()
	var earlierAnswered chan struct{}
	if c.pending > 1 {
		c.earlierAnswered = make(chan struct{})
		earlierAnswered = c.earlierAnswered
	}
	c.mu.Unlock()
	if earlierAnswered != nil {
		select {
		case <-earlierAnswered:
		case <-c.ctx.Done():
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing
}

// sendContinue sends 100 Continue to a caller that waits for it before it sends the body. While earlier requests are unanswered, the
// writer sends it after their responses.
func (c *conn) sendContinue() {
	c.mu.Lock()
	c.continueDue = c.pending > 0
	now := !c.continueDue
	c.mu.Unlock()
	if now {
		c.writeContinue()
	}
}

func (c *conn) writeContinue() {
	c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	// If the write fails, so does the next read.
	_, _ = io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n")
}

// write sends the responses in the order of the requests. It returns when the reader has ended and all requests are answered.
func (c *conn) write() {
	bw := bufio.NewWriterSize(deadlineWriter{c.netConn}, 4<<10)
	writeEnded := false
	for x := range c.queue {
		resp := <-x.response
		if writeEnded || c.ctx.Err() != nil {
			if resp.Stream != nil {
				resp.Stream.Close()
			}
			writeEnded = true
			c.reportUndelivered(x, resp, context.Cause(c.ctx))
			c.answered()
			continue
		}
		last := c.decideLast(x, resp)
		err := writeResponse(bw, x.request, resp, last)
		c.answered()
		if err != nil {
			writeEnded = true
			c.reportUndelivered(x, resp, err)
			c.abort(err)
			continue
		}
		if last {
			writeEnded = true
			c.halfClose()
		}
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
type deadlineWriter struct{ conn net.Conn }

// Write implements io.Writer.
func (w deadlineWriter) Write(b []byte) (written int, err error) {
	for written < len(b) && err == nil {
		w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		var n int
		n, err = w.conn.Write(b[written:min(len(b), written+maxWriteBytes)])
		written += n
	}
	return written, err
}

// decideLast reports whether the connection closes after this response, and records it. During a planned stop the connection closes only
// after the response to the last request that was read.
func (c *conn) decideLast(x *exchange, r *Response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	draining := c.server.draining.Load() && c.pending == 1
	if x.keepAlive && !r.CloseConnection && !draining {
		return false
	}
	c.closing = true
	return true
}

// halfClose closes the write side of the connection. The reader goes on until the caller closes its side, at most for lingerTimeout.
func (c *conn) halfClose() {
	if closer, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		// An error means that the connection is already closed.
		_ = closer.CloseWrite()
	}
	c.cancel(ErrResponded) // requests after the one of the last response are treated as not read
	c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	time.AfterFunc(lingerTimeout, func() { c.abort(ErrResponded) })
}
