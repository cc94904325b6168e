package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// conn serves one connection with two goroutines: the reader parses requests and starts their handlers, the writer sends the responses in
// the order of the requests. One lock guards the count of requests and the decision that no further one is read (lastRead), so that no request
// reaches the handler between this decision and the close.
type conn struct {
	server     *Server
	netConn    net.Conn
	caller     netip.Addr
	overloaded bool // the server has too many connections: respond with 503 and close
	activity   activity
	openedAt   time.Time

	ctx    context.Context // canceled when the caller has disconnected or the connection is aborted
	cancel context.CancelCauseFunc
	queue  chan *exchange // requests without a response, in the order in which they were read

	mu              sync.Mutex
	pending         int           // requests that were read and whose response is not yet written
	earlierAnswered chan struct{} // closed when pending becomes 1 or 0; nil if waitForEarlier is not waiting
	waiting         bool          // the reader waits for the first byte of a request
	arrived         bool          // bytes of a further request were received, which is not yet counted; a draining connection stays open for it
	stopping        bool          // the server stops: one more request is read if it has arrived
	lastRead        bool          // no further request is read; the connection closes after the responses to those that were
	lingerUntil     time.Time     // when the connection is closed although the caller has not closed it; zero until the write side is closed
	continueDue     bool          // the caller of the request being read waits for 100 Continue, which follows the earlier responses
	closeReason     CloseReason   // why no further request is read; empty until that is decided
	idleFor         time.Duration // time without progress at this decision

	// Used by the reader alone, for the report:
	unread     int64    // bytes that were read and discarded after the last request
	unreadHead []byte   // the first of them
	dropped    *Request // was read after the decision that no further request is
}

// exchange is a request and the response that its handler will send.
type exchange struct {
	request  *Request
	response chan *Response
	release  func() // releases the memory of the head
	reserved int64  // memory reserved for the response
	conn     *conn
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, netConn: nc, queue: make(chan *exchange, maxPipelined), openedAt: time.Now()}
	c.progress()
	if address, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		c.caller = address.AddrPort().Addr().Unmap()
	}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

func (c *conn) abort(cause error) {
	c.cancel(cause)
	c.netConn.Close()
}

// stop has the connection close after the responses to the requests that have arrived.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	c.setCloseReason(CloseStopped)
	if c.waiting && !c.lastRead {
		c.netConn.SetReadDeadline(time.Now()) // wakes the reader
	}
}

// run serves the connection. It returns when the connection is closed and all its handlers have returned.
func (c *conn) run() {
	var writer sync.WaitGroup
	writer.Go(c.write)
	c.read()
	close(c.queue)
	writer.Wait()
	c.reportClosed()
	c.abort(ErrCallerLeft)
}

func (c *conn) read() {
	br := bufio.NewReader(c.netConn)
	for c.awaitRequest(br) && c.readRequest(br) {
		c.pacePipeline(br)
	}
	c.linger(br)
}

// awaitRequest waits for the first byte of a request. It returns false if no further request is read: the caller has disconnected, the
// connection was idle for too long, or the server stops.
func (c *conn) awaitRequest(br *bufio.Reader) bool {
	for onlyArrived := false; ; {
		var ok bool
		if onlyArrived, ok = c.beginWait(onlyArrived); !ok {
			return false
		}
		_, err := br.Peek(1)
		c.mu.Lock()
		c.waiting, c.arrived = false, err == nil
		switch {
		case onlyArrived && isTimeout(err):
			c.lastRead = true
			c.setCloseReason(CloseIdle)
		case err != nil && !isTimeout(err):
			c.setCloseReason(CloseCallerLeft)
		}
		c.mu.Unlock()
		if err == nil {
			return true
		}
		if onlyArrived || !isTimeout(err) {
			return false
		}
		onlyArrived = true // a read whose deadline has passed fails even if bytes have arrived
	}
}

// beginWait sets the deadline for the first byte of a request. It returns false if no further request is read. onlyArrived limits the wait
// to bytes that have arrived; during a stop, and thus in the result, it always does.
func (c *conn) beginWait(onlyArrived bool) (_, ok bool) {
	idleTimeout := c.server.cfg.Limits().IdleTimeout
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastRead {
		return false, false
	}
	c.waiting = true
	onlyArrived = onlyArrived || c.stopping
	switch {
	case onlyArrived:
		c.netConn.SetReadDeadline(time.Now().Add(arrivedTimeout))
	case c.pending > 0:
		c.netConn.SetReadDeadline(time.Time{}) // answered sets the deadline
	default:
		c.netConn.SetReadDeadline(time.Now().Add(idleTimeout))
	}
	return onlyArrived, true
}

// readRequest reads a request and starts its handler. It returns false if no further request is read.
func (c *conn) readRequest(br *bufio.Reader) bool {
	limits := c.server.cfg.Limits()
	c.netConn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.progress()
	p := &parser{br: br, limits: limits, server: c.server, conn: c, sendContinue: c.sendContinue}
	if c.overloaded {
		p.refuse(http.StatusServiceUnavailable, "this host has too many connections")
	} else {
		p.parse(func() {
			c.progress()
			p.arriving.beginPiece(c)
		})
	}
	if p.disconnected {
		c.closeFor(CloseCallerLeft)
		p.release()
		return false
	}
	keepAlive := p.keepAlive && p.refusal == nil
	if !c.countRequest(keepAlive, br.Buffered() > 0) {
		c.dropped = p.request
		p.release()
		return false
	}
	if p.request != nil {
		p.request.Caller = c.caller
	}
	x := &exchange{request: p.request, response: make(chan *Response, 1), release: p.releaseHead}
	if p.refusal != nil {
		c.reportRefusal(p)
		x.response <- p.refusal
		c.queue <- x
		return false
	}
	concurrent, failure := c.server.mayRunConcurrently(x.request)
	if failure != nil {
		p.releaseBody()
		x.response <- failure
		c.queue <- x
		return false
	}
	if !(concurrent && c.mayPipeline(x)) && !c.waitForEarlier(br) {
		p.release()
		x.unreserve()
		c.answered()
		return false
	}
	c.queue <- x
	go func() {
		response := c.server.handle(c.ctx, x.request)
		p.releaseBody() // before the caller can send the next one
		x.response <- response
	}()
	return keepAlive
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
	c.closeIfFinished()
	c.mu.Lock()
	c.netConn.SetReadDeadline(c.lingerUntil)
	c.mu.Unlock()
	if c.discard(br, maxLingerBytes) == maxLingerBytes {
		<-c.ctx.Done() // the end of the time to read the response, or of the connection
	}
	c.cancel(ErrCallerLeft)
}

// countRequest counts a request that was read. It returns false if the request is not answered, because the connection closes after an
// earlier response. Without keepAlive, it is the last request. arrived says that bytes of another one were received.
func (c *conn) countRequest(keepAlive, arrived bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.continueDue = false // the body has arrived
	c.arrived = arrived
	if c.lastRead {
		return false
	}
	if c.lastRead = !keepAlive || c.stopping; c.lastRead {
		c.setCloseReason(CloseRequest)
	}
	c.pending++
	c.activity.requests.Add(1)
	c.progress()
	c.server.unanswered.Add(1)
	return true
}

// answered counts a request as finished: its response was written, or is not going to be.
func (c *conn) answered() {
	idleTimeout := c.server.cfg.Limits().IdleTimeout
	c.mu.Lock()
	c.pending--
	c.server.unanswered.Add(-1)
	if c.pending <= 1 && c.earlierAnswered != nil {
		close(c.earlierAnswered)
		c.earlierAnswered = nil
	}
	if c.pending == 0 && c.waiting && !c.stopping && !c.lastRead {
		c.netConn.SetReadDeadline(time.Now().Add(idleTimeout))
	}
	sendContinue := c.continueDue && c.pending == 0 && !c.lastRead
	if sendContinue {
		c.continueDue = false
	}
	c.mu.Unlock()
	if sendContinue {
		c.netConn.SetReadDeadline(time.Now().Add(bodyTimeout))
		c.writeContinue()
	}
	c.closeIfFinished()
}

// waitForEarlier waits until all requests before the newest one are answered, or the stopping server cancels them all. It returns false if the
// caller has disconnected.
func (c *conn) waitForEarlier(br *bufio.Reader) bool {
	c.mu.Lock()
	var earlierAnswered chan struct{}
	if c.pending > 1 {
		c.earlierAnswered = make(chan struct{})
		earlierAnswered = c.earlierAnswered
	}
	c.mu.Unlock()
	if earlierAnswered == nil {
		return true
	}
	c.netConn.SetReadDeadline(time.Time{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		c.watch(br)
	}()
	select {
	case <-earlierAnswered:
	case <-c.ctx.Done():
	}
	c.netConn.SetReadDeadline(time.Now()) // ends watch
	<-watched
	c.mu.Lock()
	c.arrived = br.Buffered() > 0
	c.mu.Unlock()
	cause := context.Cause(c.ctx)
	return cause == nil || errors.Is(cause, ErrStopped)
}

// watch cancels the handlers if the caller disconnects before further bytes of it arrive or the read deadline passes.
func (c *conn) watch(br *bufio.Reader) {
	_, err := br.Peek(br.Buffered() + 1)
	if err != nil && !isTimeout(err) && !errors.Is(err, bufio.ErrBufferFull) {
		c.cancel(ErrCallerLeft)
	}
}

// sendContinue sends 100 Continue to a caller that waits for it before it sends the body. While earlier requests are unanswered, the
// writer sends it after their responses.
func (c *conn) sendContinue() {
	c.mu.Lock()
	c.continueDue = c.pending > 0
	now := c.pending == 0 && !c.lastRead
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

// closeIfFinished closes the write side of the connection if no further request is read and all are answered. The reader goes on until the
// caller closes its side, at most for lingerTimeout.
func (c *conn) closeIfFinished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lingerUntil.IsZero() || !c.lastRead || c.pending > 0 {
		return
	}
	c.lingerUntil = time.Now().Add(lingerTimeout)
	c.netConn.SetReadDeadline(c.lingerUntil)
	time.AfterFunc(lingerTimeout, func() { c.abort(ErrCallerLeft) })
	if closer, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		// An error means that the connection is already closed.
		_ = closer.CloseWrite()
	}
}
