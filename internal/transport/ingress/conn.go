package ingress

import (
	"bufio"
	"context"
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
	readUntil       time.Time     // the reader's deadline; zero for none
	renewed         bool          // readUntil was moved, because bytes had arrived before it that were read after it
	idleLimit       time.Duration // idle timeout of the present wait for a request
	statedIdle      time.Duration // idle timeout by which the latest response has stated one
	answeredAt      time.Time     // when the latest response was written
	evicting        Eviction      // the reader is asked to end the connection; it does if nothing has arrived
	settled         chan struct{} // closed when the reader does not do it; nil unless evicting is EvictedBody
	evictingWriter  bool          // the writer is asked to end the connection; it does if the caller still does not read
	evicted         Eviction      // why the connection, or the request being read, has made room for others

	// Used by the reader alone:
	readsHead bool      // it reads the head of a request
	arrivedAt time.Time // when the bytes of the last read had arrived at the latest
	awaitedAt time.Time // since when the request that is read, or the next one, is awaited; zero for the first one, which is from the start

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
		c.wakeReader()
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
	br := bufio.NewReader(connReader{c})
	for c.awaitRequest(br) && c.readRequest(br) {
		c.pacePipeline(br)
	}
	c.linger(br)
}

// readRequest reads a request and starts its handler. It returns false if no further request is read.
func (c *conn) readRequest(br *bufio.Reader) bool {
	limits := c.server.cfg.Limits()
	c.progress()
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	p := &parser{br: br, limits: limits, server: c.server, conn: c, sendContinue: c.sendContinue}
	if c.overloaded {
		p.refuse(http.StatusServiceUnavailable, tooManyConnections)
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
	c.answeredAt = time.Now()
	c.server.unanswered.Add(-1)
	if c.pending <= 1 && c.earlierAnswered != nil {
		close(c.earlierAnswered)
		c.earlierAnswered = nil
	}
	if c.pending == 0 && c.waiting && !c.stopping && !c.lastRead {
		c.idleLimit = max(idleTimeout, c.statedIdle)
		c.setReadDeadlineLocked(c.answeredAt.Add(c.idleLimit))
	}
	sendContinue := c.continueDue && c.pending == 0 && !c.lastRead
	if sendContinue {
		c.continueDue = false
	}
	c.mu.Unlock()
	if sendContinue {
		c.setReadDeadline(time.Now().Add(bodyTimeout))
		c.writeContinue()
	}
	c.closeIfFinished()
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
