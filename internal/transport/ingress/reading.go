package ingress

import (
	"bufio"
	"context"
	"errors"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
)

// lateTimeout is the time in which the rest of a head, or of a piece of a body, must arrive whose beginning the server has read only after its deadline. The
// caller may have waited until there was room in the receive buffer.
const lateTimeout = time.Second

// connReader reads from a connection. What has arrived is read also after the deadline: until then the process may have got no processor.
type connReader struct{ *conn }

// Read implements io.Reader. It fails because of the deadline only if nothing has arrived.
func (c connReader) Read(b []byte) (int, error) {
	n, err := c.netConn.Read(b)
	if n == 0 && isTimeout(err) {
		if n = sockbuf.Take(c.netConn, b); n == 0 {
			return 0, err
		}
		c.readLate()
		err = nil
	}
	if n > 0 {
		c.dateArrival()
	}
	return n, err
}

// dateArrival records when the bytes that were just read had arrived at the latest. Only for the head of a request is the kernel asked.
func (c *conn) dateArrival() {
	c.arrivedAt = time.Now()
	if c.readsHead {
		c.arrivedAt = c.arrivedAt.Add(-sockbuf.SinceArrival(c.netConn))
	}
}

// headRead returns for how long a head that is read now had lain unread, and for how much of that time the reader had waited for it.
func (c *conn) headRead(now time.Time) (unread, late time.Duration) {
	c.readsHead = false
	unread = max(0, now.Sub(c.arrivedAt))
	return unread, min(unread, now.Sub(c.awaitedAt))
}

// readLate takes back the request to end the connection, and moves the deadline once, because bytes were read after the deadline had passed.
func (c *conn) readLate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicting != notEvicted {
		c.progress()
		c.keep()
		c.netConn.SetReadDeadline(c.readUntil)
	}
	if now := time.Now(); !c.renewed && !c.readUntil.IsZero() && now.After(c.readUntil) {
		c.renewed, c.readUntil = true, now.Add(lateTimeout)
		c.netConn.SetReadDeadline(c.readUntil)
	}
}

// setReadDeadline sets the deadline for what the reader reads next. The connection has made progress and is not evicted.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReadDeadlineLocked(t)
}

func (c *conn) setReadDeadlineLocked(t time.Time) {
	c.keep()
	c.readUntil, c.renewed = t, false
	c.netConn.SetReadDeadline(t)
}

// keep takes back the request to the reader to end the connection. c.mu must be held.
func (c *conn) keep() {
	c.evicting = notEvicted
	if c.settled != nil {
		close(c.settled)
		c.settled = nil
	}
}

// wakeReader has the reader look at what has arrived, and at what it is asked for. c.mu must be held.
func (c *conn) wakeReader() { c.netConn.SetReadDeadline(time.Now()) }

// awaitRequest waits for the first byte of a request. It returns false if no further request is read: the caller has disconnected, or nothing has
// arrived and the connection was idle for too long, makes room for another, or the server stops.
func (c *conn) awaitRequest(br *bufio.Reader) bool {
	c.readsHead = true
	if c.activity.requests.Load() > 0 {
		c.awaitedAt = time.Now()
	}
	for first := true; c.beginWait(first); first = false {
		_, err := br.Peek(1)
		if isTimeout(err) {
			continue
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.waiting, c.arrived = false, err == nil
		if err != nil {
			c.setCloseReason(CloseCallerLeft)
		}
		return err == nil
	}
	c.endEvicted()
	return false
}

// beginWait sets the deadline for the first byte of a request. It returns false if no further request is read. first is false if a wait has ended before
// anything arrived.
func (c *conn) beginWait(first bool) bool {
	idleTimeout := c.server.cfg.Limits().IdleTimeout
	c.mu.Lock()
	defer c.mu.Unlock()
	if first {
		c.idleLimit = 0
	}
	c.idleLimit = max(c.idleLimit, idleTimeout, c.statedIdle) // callers may go by the limit of an older configuration, or by that of a newer one
	until := c.waitUntil()
	c.waiting = !c.lastRead && (first || !c.endWait(until))
	if c.waiting {
		c.setReadDeadlineLocked(until)
	}
	return c.waiting
}

// waitUntil returns the time until which a request must arrive; zero if there is none. c.mu must be held.
func (c *conn) waitUntil() time.Time {
	switch {
	case c.stopping && c.activity.requests.Load() == 0:
		return c.openedAt.Add(newConnTime) // the first request follows a new connection at once
	case c.stopping:
		return time.Now()
	case c.pending > 0:
		return time.Time{} // answered sets the deadline
	}
	return c.lastProgress().Add(c.idleLimit)
}

// endWait decides whether the wait for a request ends. c.mu must be held.
func (c *conn) endWait(until time.Time) bool {
	var why CloseReason
	switch {
	case c.evicting != notEvicted:
		why = CloseEvicted
	case until.IsZero() || time.Now().Before(until):
		return false
	case c.stopping:
		why = CloseStopped
	default:
		why = CloseIdle
	}
	if sockbuf.Received(c.netConn) == sockbuf.Bytes {
		return false
	}
	c.lastRead = true
	c.setCloseReason(why)
	return true
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
	c.setReadDeadline(time.Time{})
	c.readsHead = true // of the next request
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
