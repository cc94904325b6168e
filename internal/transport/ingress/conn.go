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

// conn serves one connection with two goroutines: the reader parses requests and starts them, the writer answers them in order.
type conn struct {
	server     *Server
	net        net.Conn
	overloaded bool // answer 503 and close

	ctx    context.Context // ends when the caller has left
	cancel context.CancelFunc
	queue  chan *exchange // unanswered requests in the order in which they came

	mu      sync.Mutex
	pending int           // requests that were read and not answered
	settled chan struct{} // closed when pending becomes 0; nil if nobody waits
	closing bool          // the last answer has been decided
}

// exchange is a request whose answer is due.
type exchange struct {
	request  *Request
	keep     bool // the caller allows further requests on the connection
	response chan *Response
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, net: nc, queue: make(chan *exchange, maxPipelined)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0
}

func (c *conn) abort() {
	c.cancel()
	c.net.Close()
}

// run returns when the connection is closed and no handler works for it any more.
func (c *conn) run() {
	var writer sync.WaitGroup
	writer.Go(c.write)
	c.read()
	close(c.queue)
	writer.Wait()
	c.abort()
}

func (c *conn) read() {
	br := bufio.NewReader(c.net)
	for {
		limits := c.server.cfg.Limits()
		c.net.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		if _, err := br.Peek(1); err != nil {
			break
		}
		c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
		p := parser{br: br, limits: limits, server: c.server, continueWanted: c.sendContinue}
		if c.overloaded {
			p.refuse(http.StatusServiceUnavailable, "this host has too many connections")
		} else {
			p.parse(func() { c.net.SetReadDeadline(time.Now().Add(bodyTimeout)) })
		}
		if p.gone {
			break
		}
		x := &exchange{request: p.request, keep: p.keep && p.refusal == nil, response: make(chan *Response, 1)}
		if !c.begin() {
			c.linger(br)
			return
		}
		if p.refusal != nil {
			x.response <- p.refusal
			c.queue <- x
			c.linger(br)
			return
		}
		overlaps := c.server.cfg.Handler.Overlaps(x.request)
		if !overlaps && !c.waitForEarlier() {
			c.end(p.bodyBytes)
			c.linger(br)
			return
		}
		c.queue <- x
		go func() {
			defer c.server.bodies.Add(-p.bodyBytes)
			x.response <- c.server.handle(c.ctx, x.request)
		}()
		if !x.keep {
			c.linger(br)
			return
		}
	}
	c.cancel()
}

// linger reads what the caller still sends, so that it can read the last answer, and notices when it leaves.
func (c *conn) linger(br *bufio.Reader) {
	c.net.SetReadDeadline(time.Time{})
	// An error only means that nothing more comes.
	_, _ = io.Copy(io.Discard, br)
	c.cancel()
}

// begin counts a request that was read. It fails if the connection's last answer is already decided.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.pending++
	c.server.active.Add(1)
	return true
}

func (c *conn) end(bodyBytes int64) {
	c.server.bodies.Add(-bodyBytes)
	c.answered()
}

// answered counts an answer that was written.
func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.server.active.Add(-1)
	if c.pending <= 1 && c.settled != nil {
		close(c.settled)
		c.settled = nil
	}
}

// waitForEarlier waits until all requests before the newest one are answered. It reports whether the connection goes on.
func (c *conn) waitForEarlier() bool {
	c.mu.Lock()
	var settled chan struct{}
	if c.pending > 1 {
		c.settled = make(chan struct{})
		settled = c.settled
	}
	c.mu.Unlock()
	if settled != nil {
		select {
		case <-settled:
		case <-c.ctx.Done():
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing
}

// sendContinue asks for a body that the caller holds back. Callers hold back only bodies of requests without unanswered ones before.
func (c *conn) sendContinue() {
	if c.idle() {
		c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
		// A failed write shows at the next read.
		_, _ = io.WriteString(c.net, "HTTP/1.1 100 Continue\r\n\r\n")
	}
}

// write answers requests in order until the reader has ended and all are answered.
func (c *conn) write() {
	bw := bufio.NewWriterSize(c.net, 4<<10)
	broken := false
	for x := range c.queue {
		resp := <-x.response
		if broken || c.ctx.Err() != nil {
			if resp.Stream != nil {
				resp.Stream.Close()
			}
			broken = true
			c.answered()
			continue
		}
		last := c.decideLast(x, resp)
		c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
		err := writeResponse(bw, x.request, resp, last)
		c.answered()
		if err != nil {
			broken = true
			c.abort()
			continue
		}
		if last {
			broken = true
			c.finish()
		}
	}
}

// decideLast decides whether the connection ends after this answer. During a stop, requests that were read behind it are answered
// first.
func (c *conn) decideLast(x *exchange, r *Response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	draining := c.server.draining.Load() && c.pending == 1
	if x.keep && !r.Close && !draining {
		return false
	}
	c.closing = true
	return true
}

// finish closes the write side and leaves the rest to the reader, which ends when the caller closes.
func (c *conn) finish() {
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		// A failure means that the connection is closed already.
		_ = half.CloseWrite()
	}
	c.cancel() // requests behind the last answer count as not read
	c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
	time.AfterFunc(lingerTimeout, c.abort)
}
