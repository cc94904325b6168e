package ingress

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/membudget"
	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
)

const (
	noBodyMemory = "the bodies of other requests fill the memory of this host"
	// stalledBodyTime is the time after which a body counts as stalled of which no further maxReadBytes, nor its end, have arrived: below 32 KB/s. A
	// stalled body keeps its memory until others need it.
	stalledBodyTime = 2 * time.Second
	// evictionTimeout bounds the wait for the memory of a body that is evicted. It takes as long as its reader needs to get a processor.
	evictionTimeout = 250 * time.Millisecond
	// maxEvictions is the number of bodies that are evicted for one reservation.
	maxEvictions = 4
)

// arrivingBody is a body that is being read.
type arrivingBody struct {
	conn    *conn
	address netip.Addr

	mu      sync.Mutex
	kind    membudget.Kind
	pieceAt time.Time // when its latest piece was begun
	done    bool
	freed   chan struct{} // closed when it is no longer being read
}

// arrivingBodies are the bodies that are being read.
type arrivingBodies struct {
	mu  sync.Mutex
	set map[*arrivingBody]struct{}
}

// beginBody registers the body if its end has not arrived yet, so that it can be evicted.
func (p *parser) beginBody(length int64) {
	if p.conn == nil || length >= 0 && int64(p.br.Buffered()) >= length {
		return
	}
	p.arriving = &arrivingBody{conn: p.conn, address: p.conn.caller, kind: membudget.SmallBodies, pieceAt: time.Now(), freed: make(chan struct{})}
	if length > smallBodyBytes {
		p.arriving.kind = membudget.LargeBodies
	}
	a := &p.server.arriving
	a.mu.Lock()
	defer a.mu.Unlock()
	a.set[p.arriving] = struct{}{}
}

// endBody ends what beginBody began.
func (p *parser) endBody() {
	if p.arriving == nil {
		return
	}
	a := &p.server.arriving
	a.mu.Lock()
	delete(a.set, p.arriving)
	a.mu.Unlock()
	p.arriving.mu.Lock()
	p.arriving.done = true
	p.arriving.mu.Unlock()
}

// endWait ends the waits for the memory of the body.
func (p *parser) endWait() {
	if p.arriving != nil {
		close(p.arriving.freed)
	}
}

// beginPiece sets the time within which the next piece has to arrive.
func (b *arrivingBody) beginPiece(c *conn) {
	now := time.Now()
	if b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.pieceAt = now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := now.Add(bodyTimeout)
	if c.continueDue {
		deadline = time.Time{} // the caller waits for the server; answered sets the deadline
	}
	c.setReadDeadlineLocked(deadline)
}

// stalls reports whether no piece of the body has arrived lately. One that lies in the kernel's buffer has arrived.
func (b *arrivingBody) stalls(k membudget.Kind, now time.Time) (stalls bool, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.kind != k || now.Sub(b.pieceAt) < stalledBodyTime || b.conn.isEvicting() {
		return false, time.Time{}
	}
	if sockbuf.Received(b.conn.netConn) == sockbuf.Bytes {
		b.pieceAt = now
		return false, time.Time{}
	}
	return true, b.pieceAt
}

// evict asks the reader of the body to give up. settled is closed if it does not, since more of the body has arrived.
func (b *arrivingBody) evict() (settled <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done {
		return nil
	}
	return b.conn.evictBody()
}

// stalled returns the body of the kind that is evicted first, or nil: of those that are stalled, one of the address that holds most, and of these the one
// that has been stalled for longest.
func (a *arrivingBodies) stalled(k membudget.Kind, memory *membudget.Budget, now time.Time) *arrivingBody {
	a.mu.Lock()
	defer a.mu.Unlock()
	var best *arrivingBody
	var bestHeld int64
	var bestAt time.Time
	for b := range a.set {
		stalls, at := b.stalls(k, now)
		if !stalls {
			continue
		}
		held := memory.UsedBy(k, b.address)
		if best == nil || held > bestHeld || held == bestHeld && at.Before(bestAt) {
			best, bestHeld, bestAt = b, held, at
		}
	}
	return best
}

// reserve reserves memory for n more bytes of the body. If there is none left, bodies that are stalled make room; otherwise the request is refused.
func (p *parser) reserve(k membudget.Kind, n int64) bool {
	memory := p.server.memory
	if p.arriving != nil {
		p.arriving.mu.Lock()
		p.arriving.kind = k
		p.arriving.mu.Unlock()
	}
	for evictions := 0; ; evictions++ {
		if memory.Reserve(k, p.address(), p.bodyBytes, n) {
			p.bodyKind = k
			p.bodyBytes += n
			return true
		}
		victim := p.server.arriving.stalled(k, memory, time.Now())
		if victim == nil || victim == p.arriving || evictions == maxEvictions {
			p.refuse(http.StatusServiceUnavailable, noBodyMemory)
			return false
		}
		victim.awaitEviction()
	}
}

// awaitEviction evicts a body and waits until its memory is free, or more of it has arrived.
func (b *arrivingBody) awaitEviction() {
	settled := b.evict()
	timer := time.NewTimer(evictionTimeout)
	defer timer.Stop()
	select {
	case <-b.freed:
	case <-settled:
	case <-timer.C:
	}
}

// releaseBodyMemory gives back the memory that is reserved for the body.
func (p *parser) releaseBodyMemory() {
	p.server.memory.Release(p.bodyKind, p.address(), p.bodyBytes)
	p.bodyBytes = 0
}

// releaseBody releases the body, whose memory is freed once no connection to an endpoint reads it.
func (p *parser) releaseBody() {
	if p.body == nil {
		p.releaseBodyMemory()
		return
	}
	p.body.release()
	p.body = nil
}

// release releases the memory of the request.
func (p *parser) release() {
	p.releaseBody()
	p.releaseHead()
}

// address returns the caller's address.
func (p *parser) address() netip.Addr {
	if p.conn == nil {
		return netip.Addr{}
	}
	return p.conn.caller
}
