package ingress

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/membudget"
	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
)

const (
	// ConnectionBytes is the memory of an open connection in bytes: its buffers, the stacks of its two goroutines, and a small head.
	ConnectionBytes = 20 << 10
	// sendBufferBytes is the size of a connection's send buffer in the kernel. The default grows to megabytes, in which hundreds of responses wait for a
	// caller that does not read them. This one allows 1 MB/s over a round trip of 0.1 s.
	sendBufferBytes = 128 << 10
	// pipelinedBytes is the memory that is reserved for the response of a request that runs while an earlier one of its connection is unanswered.
	pipelinedBytes = 16 << 10
	// spareFraction of the maximum number of connections may be open beyond it, at least minSpare, so that callers are told that there are too many.
	spareFraction = 0.125
	minSpare      = 8
	// victimSample is the number of random connections among which the one is sought that makes room for a new one.
	victimSample = 16
	// A connection may be closed in favour of a new one if for such a time no request was completed on a new connection, no byte of a response
	// could be written, no piece of a request arrived, or it was idle.
	newConnTime  = 500 * time.Millisecond
	unreadTime   = 2 * time.Second
	stuckTime    = 3 * time.Second
	idleConnTime = time.Second
	// blockedTime is the time after which a caller counts as one that does not read its responses. Its pipelined requests then run one at a time.
	blockedTime = 100 * time.Millisecond
)

// Eviction says why a connection or request made room for others.
type Eviction string

// Evictions, in the order of preference. No request is lost by one: it was not complete, its response could not be written, or there was none. The goroutine
// that reads the connection, or writes to it, decides so after it has looked at the kernel's buffers.
const (
	EvictedNew    Eviction = "new"    // a new connection without a complete request
	EvictedUnread Eviction = "unread" // the caller does not read its response
	EvictedStuck  Eviction = "stuck"  // a request does not go on arriving
	EvictedIdle   Eviction = "idle"   // no request for a while; closed as after the idle timeout
	EvictedBody   Eviction = "body"   // a body arrives slowly; its request is refused
	Rejected      Eviction = "rejected"
	notEvicted    Eviction = ""
)

// ErrEvicted is the cause for which a connection is closed in favour of others.
var ErrEvicted = errors.New("the connection made room for others")

// rank is the order in which connections are closed; a higher one goes first.
var rank = map[Eviction]int{EvictedNew: 4, EvictedUnread: 3, EvictedStuck: 2, EvictedIdle: 1, notEvicted: 0}

// activity records when a connection last made progress.
type activity struct {
	// Times are nanoseconds since the connection was opened, so that they do not change when the time of day is set.
	progressAt atomic.Int64 // when a request, or a piece of one, arrived, or the latest response was written
	writingAt  atomic.Int64 // when the write of a part of a response was begun; 0 if none is being written
	requests   atomic.Int64 // complete requests
}

func (c *conn) progress() { c.activity.progressAt.Store(c.clock(time.Now())) }

// clock returns a time as the fields of activity hold it.
func (c *conn) clock(t time.Time) int64 { return max(1, int64(t.Sub(c.openedAt))) }

// lastProgress returns when the connection last made progress.
func (c *conn) lastProgress() time.Time {
	return c.openedAt.Add(time.Duration(c.activity.progressAt.Load()))
}

// unwrittenFor returns for how long the response that is being written has made no progress.
func (c *conn) unwrittenFor(now time.Time) time.Duration {
	if at := c.activity.writingAt.Load(); at > 0 {
		return now.Sub(c.openedAt.Add(time.Duration(at)))
	}
	return 0
}

// mayPipeline reports whether a request may run although earlier ones of its connection are unanswered. It must wait for them if the caller does not read
// its responses, or if there are too many such requests or no memory for more of them.
func (c *conn) mayPipeline(x *exchange) bool {
	c.mu.Lock()
	pending := c.pending
	c.mu.Unlock()
	if pending <= 1 {
		return true
	}
	if c.unwrittenFor(time.Now()) > blockedTime {
		return false
	}
	x.conn = c
	if most := int64(c.server.cfg.MaxPipelined); c.server.pipelined.Add(1) > most && most > 0 {
		c.server.pipelined.Add(-1)
		return false
	}
	if !c.server.memory.Reserve(membudget.Responses, c.caller, int64(pending)*pipelinedBytes, pipelinedBytes) {
		c.server.pipelined.Add(-1)
		return false
	}
	x.reserved = pipelinedBytes
	return true
}

// pacePipeline delays the next request of a caller that has sent it without waiting for the response to the last one, if such requests come faster than
// Config.PipelinedPerS. A stopping server reads what has arrived at once.
func (c *conn) pacePipeline(br *bufio.Reader) {
	limiter := c.server.pipelinePace
	if limiter == nil || br.Buffered() == 0 || c.server.draining.Load() {
		return
	}
	// An error means that the connection has ended.
	_ = limiter.Wait(c.ctx)
}

// unreserve gives back the memory that is reserved for the response.
func (x *exchange) unreserve() {
	if x.reserved > 0 {
		x.conn.server.pipelined.Add(-1)
		x.conn.server.memory.Release(membudget.Responses, x.conn.caller, x.reserved)
		x.reserved = 0
	}
}

// eviction says whether the connection may be closed in favour of a new one, and for how long it has made no progress. c.mu must be held.
func (c *conn) eviction(now time.Time) (Eviction, time.Duration) {
	if unwritten := c.unwrittenFor(now); unwritten > unreadTime && !c.evictingWriter {
		if !sockbuf.Writable(c.netConn) {
			return EvictedUnread, unwritten
		}
		c.activity.writingAt.Store(c.clock(now))
	}
	since := now.Sub(c.lastProgress())
	why := notEvicted
	switch {
	case c.stopping || c.lastRead || c.pending > 0 || c.evicting != notEvicted:
	case c.activity.requests.Load() == 0 && c.openFor(now) > newConnTime && (c.waiting || since > newConnTime):
		why = EvictedNew
	case !c.waiting && since > stuckTime:
		why = EvictedStuck
	case c.waiting && since > idleConnTime:
		why = EvictedIdle
	}
	if why != notEvicted && sockbuf.Received(c.netConn) == sockbuf.Bytes {
		c.progress() // the reader has not got a processor yet
		return notEvicted, 0
	}
	return why, since
}

func (c *conn) openFor(now time.Time) time.Duration { return now.Sub(c.openedAt) }

// admit adds a connection. If there are too many, another one is asked to make room for it, or its request is refused. It returns false if the connection
// must be rejected, since there are too many to wait for their requests.
func (s *Server) admit(c *conn) bool {
	now := time.Now()
	s.mu.Lock()
	var victim *conn
	if n := len(s.conns); n >= s.maxConns {
		spare := max(minSpare, int(float64(s.maxConns)*spareFraction))
		if n < s.maxConns+2*spare { // with those that were asked and have not closed yet
			victim, _ = s.victimLocked(now)
		}
		if victim == nil && n >= s.maxConns+spare {
			s.mu.Unlock()
			return false
		}
		c.overloaded = victim == nil
	}
	s.conns[c] = struct{}{}
	s.openConns.Add(1)
	s.mu.Unlock()
	s.memory.Add(membudget.Connections, c.caller, ConnectionBytes)
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		// An error means that the connection has ended.
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
	if victim != nil {
		victim.evict(now)
	}
	return true
}

const tooManyConnections = "this host has too many connections"

// reject closes a connection that was not admitted. Its request is refused if it has arrived: the response fits in the empty send buffer, and without unread
// bytes the kernel does not reset the connection.
func (s *Server) reject(c *conn) {
	defer c.abort(ErrEvicted)
	var b [4 << 10]byte
	arrived := 0
	for n := sockbuf.Take(c.netConn, b[:]); n > 0 && arrived < maxReadBytes; n = sockbuf.Take(c.netConn, b[:]) {
		arrived += n
	}
	if arrived == 0 {
		s.reportEvicted(c, Rejected)
		return
	}
	p := &parser{}
	p.refuse(http.StatusServiceUnavailable, tooManyConnections)
	c.reportRefusal(p)
	// If the write fails, the caller has left.
	_ = writeResponse(bufio.NewWriterSize(c.netConn, 512), nil, p.refusal, connectionClose)
}

// victimLocked returns the connection of a random sample that makes room for a new one, or nil.
func (s *Server) victimLocked(now time.Time) (best *conn, why Eviction) {
	var longest time.Duration
	sampled := 0
	for c := range s.conns { // in random order
		c.mu.Lock()
		e, since := c.eviction(now)
		c.mu.Unlock()
		if rank[e] > rank[why] || e == why && e != notEvicted && since > longest {
			best, why, longest = c, e, since
		}
		if sampled++; sampled == victimSample {
			break
		}
	}
	return best, why
}

// evict asks the reader or the writer of a connection to end it.
func (c *conn) evict(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch why, _ := c.eviction(now); why {
	case notEvicted: // it has made progress meanwhile
	case EvictedUnread:
		c.evictingWriter = true
		c.netConn.SetWriteDeadline(now)
	default:
		c.evicting = why
		c.wakeReader()
	}
}

// evictBody asks the reader to refuse the request whose body it reads. settled is closed if it does not.
func (c *conn) evictBody() (settled <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicting == notEvicted {
		c.evicting, c.settled = EvictedBody, make(chan struct{})
		c.wakeReader()
	}
	return c.settled
}

func (c *conn) isEvicting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicting != notEvicted
}

// endEvicted records that the reader does what it was asked for, if it was: nothing more has arrived.
func (c *conn) endEvicted() Eviction {
	c.mu.Lock()
	why := c.evicting
	c.evicting = notEvicted
	if why != notEvicted {
		c.evicted = why
		if why != EvictedBody {
			c.setCloseReason(CloseEvicted)
		}
	}
	c.mu.Unlock()
	if why != notEvicted {
		c.server.reportEvicted(c, why)
	}
	return why
}

// remove removes a connection that is closed.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.memory.Release(membudget.Connections, c.caller, ConnectionBytes)
}

// reportEvicted calls OnEvicted.
func (s *Server) reportEvicted(c *conn, e Eviction) {
	if s.cfg.OnEvicted != nil {
		s.cfg.OnEvicted(c.netConn.RemoteAddr(), e)
	}
}
