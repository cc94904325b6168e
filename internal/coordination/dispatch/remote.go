package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// GrantMessageKind is the type of a message in a grant stream.
type GrantMessageKind uint8

// Kinds. Executors send Acquire, Release, Cancel, ReportOpenGrants and Keepalive; owners and acting owners send the others.
const (
	KindAcquire GrantMessageKind = iota + 1
	KindQueued                   // the request waits; the decision follows
	KindGranted
	KindRefused
	KindRelease
	KindCancel
	KindReportOpenGrants // all open grants of the executor for one service
	KindNotOwner         // the host is not the owner and may not be acting owner, or no longer is; it holds no state for the request
	KindKeepalive        // checks that the owner is alive; the reply is Queued
)

// GrantMessage is one message of a grant stream. The comments name the kinds that use a field.
type GrantMessage struct {
	Kind       GrantMessageKind
	Ref        uint64
	Service    string
	Request    Request            // Acquire
	Acting     bool               // Acquire: the receiver has to serve as acting owner, because the owner does not respond
	Endpoint   endpoints.Endpoint // Granted
	Trial      bool               // Granted
	Denied     *DeniedError       // Refused
	Outcome    Outcome            // Release
	OpenGrants []OpenGrant        // ReportOpenGrants
}

// GrantStream is one grant stream. One goroutine may call Send while another one calls Recv.
type GrantStream interface {
	Send(m *GrantMessage) error
	Recv(m *GrantMessage) error
	Close()
}

// StreamDialer opens grant streams to other entry hosts. The context limits the lifetime of the stream. Open has its own connect timeout.
type StreamDialer interface {
	Open(ctx context.Context, host string) (GrantStream, error)
}

// Timeouts and intervals of the connection to an owner.
const (
	// ackTimeout is how long an executor waits for the owner's first reply to a request, including the time to connect, before
	// it sends the request to the standby or uses its own part.
	ackTimeout = 30 * time.Millisecond
	// silenceTimeout is how long an owner may send nothing while requests wait at it before a Keepalive is sent. A Keepalive and its reply
	// take about 60 bytes; if they were sent every ackTimeout, they alone could exceed the limit of 2 KB per second for control
	// traffic.
	silenceTimeout = 100 * time.Millisecond
	// unresponsiveRetryDelay is the delay before requests are sent again to an owner that did not respond to any request.
	unresponsiveRetryDelay = 200 * time.Millisecond
	// reconnectDelay is the delay before the next connection attempt after a failed or broken connection.
	reconnectDelay = 100 * time.Millisecond
	// reportOpenGrantsTimeout is the connect timeout for reporting open grants to a new owner.
	reportOpenGrantsTimeout = 2 * time.Second
)

// event is a change in the state of a pending request.
type event struct {
	queued   bool
	failed   bool // the owner is unreachable or no longer the owner
	notOwner bool
	decision Decision
}

// pending is a request that was sent to an owner and has no decision yet.
type pending struct {
	service *serviceState
	queued  bool
	acting  bool       // it was sent to the host as acting owner
	events  chan event // has capacity for "queued" and the final event
}

// link is the executor's end of the grant stream to one owner. It connects again after a failure.
type link struct {
	rt                    *Router
	host                  string
	mu                    sync.Mutex
	generation            uint64 // counts connections
	out                   *outbox
	connecting            chan struct{} // closed when the connection attempt ends; nil if there is none
	reconnectAt           time.Time
	unresponsiveUntil     time.Time
	lastReceived          time.Time // when the last message was received
	silenceCheckScheduled bool      // a call of checkSilence is scheduled
	lastKeepalive         time.Time // when the last Keepalive was sent
	pending               map[uint64]*pending
}

// connected returns the outbox and the generation of the connection, and connects first if needed. ok is false if the owner failed
// recently, or if the connection attempt fails or does not end before the timer fires or ctx ends.
func (l *link) connected(ctx context.Context, timeout <-chan time.Time) (out *outbox, generation uint64, ok bool) {
	l.mu.Lock()
	now := time.Now()
	if now.Before(l.unresponsiveUntil) || l.out == nil && now.Before(l.reconnectAt) {
		l.mu.Unlock()
		return nil, 0, false
	}
	if l.out == nil && l.connecting == nil {
		l.connecting = make(chan struct{})
		go l.connect(l.connecting)
	}
	out, generation = l.out, l.generation
	attempt := l.connecting
	l.mu.Unlock()
	if out != nil {
		return out, generation, true
	}
	select {
	case <-attempt:
	case <-timeout:
		l.mu.Lock()
		l.unresponsiveUntil = time.Now().Add(unresponsiveRetryDelay)
		l.reportUnresponsive()
		l.mu.Unlock()
		return nil, 0, false
	case <-ctx.Done():
		return nil, 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out, l.generation, l.out != nil
}

func (l *link) connect(attempt chan struct{}) {
	stream, err := l.rt.cfg.Dialer.Open(l.rt.ctx, l.host)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connecting = nil
	defer close(attempt)
	if err != nil {
		l.reconnectAt = time.Now().Add(reconnectDelay)
		l.reportUnresponsive()
		return
	}
	l.generation++
	l.out = newOutbox(stream)
	l.lastReceived = time.Now()
	go l.read(l.out, stream)
}

func (l *link) read(out *outbox, s GrantStream) {
	for {
		var m GrantMessage
		if s.Recv(&m) != nil {
			break
		}
		l.receive(out, &m)
	}
	out.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out == out {
		l.out = nil
		l.reconnectAt = time.Now().Add(reconnectDelay)
		time.AfterFunc(reconnectDelay, func() { l.rt.reportAllOpenGrants(l.host) })
		l.reportUnresponsive()
		l.failPending(func(*pending) bool { return true })
	}
}

// failPending ends the wait of all pending requests that match and cancels them at the owner. l.mu is held.
func (l *link) failPending(match func(*pending) bool) {
	for ref, p := range l.pending {
		if match(p) {
			delete(l.pending, ref)
			p.events <- event{failed: true}
			if l.out != nil {
				l.out.put(&GrantMessage{Kind: KindCancel, Ref: ref, Service: p.service.name})
			}
		}
	}
}

func (l *link) receive(out *outbox, m *GrantMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReceived = time.Now()
	l.unresponsiveUntil = time.Time{}
	p := l.pending[m.Ref]
	switch m.Kind {
	case KindQueued:
		if p != nil && !p.queued {
			p.queued = true
			p.events <- event{queued: true}
			l.scheduleSilenceCheck(silenceTimeout)
		}
		return
	case KindGranted:
		if p == nil {
			// The request is no longer pending, so the grant is released unused.
			out.put(&GrantMessage{Kind: KindRelease, Ref: m.Ref, Service: m.Endpoint.Service, Outcome: Outcome{Result: ResultCancelled}})
			return
		}
		p.events <- event{decision: Decision{Endpoint: m.Endpoint, Trial: m.Trial}}
	case KindRefused:
		if p == nil || m.Denied == nil {
			return
		}
		p.events <- event{decision: Decision{Denied: m.Denied}}
	case KindNotOwner:
		if p == nil {
			return
		}
		p.events <- event{notOwner: true}
	default:
		return
	}
	delete(l.pending, m.Ref)
}

// cancelPending ends the wait of one request. If it was granted in the meantime, the grant is released.
func (l *link) cancelPending(out *outbox, ref uint64, p *pending) {
	l.mu.Lock()
	delete(l.pending, ref)
	l.mu.Unlock()
	// Cancel ends the request at the owner, whether it waits or was granted.
	out.put(&GrantMessage{Kind: KindCancel, Ref: ref, Service: p.service.name})
}

// handleAckTimeout is called when the owner did not acknowledge a request in time. If the owner sent no other message within ackTimeout
// either, handleAckTimeout treats the owner as unresponsive and returns true.
func (l *link) handleAckTimeout() (silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.lastReceived) < ackTimeout {
		return false
	}
	l.markUnresponsive(now)
	return true
}

// markUnresponsive ends the wait of all pending requests, reports the owner as unresponsive, and has new requests sent elsewhere for
// unresponsiveRetryDelay. l.mu is held.
func (l *link) markUnresponsive(now time.Time) {
	l.unresponsiveUntil = now.Add(unresponsiveRetryDelay)
	l.failPending(func(*pending) bool { return true })
	l.reportUnresponsive()
}

// scheduleSilenceCheck calls checkSilence after d, unless a call is scheduled already. l.mu is held.
func (l *link) scheduleSilenceCheck(d time.Duration) {
	if !l.silenceCheckScheduled {
		l.silenceCheckScheduled = true
		time.AfterFunc(d, l.checkSilence)
	}
}

// checkSilence detects an owner that has stopped responding while requests wait at it. It sends a Keepalive after silenceTimeout without a
// message; if nothing arrives within ackTimeout after that, the requests are sent to another host. Without this check, the failure
// would be detected only by the next new request.
func (l *link) checkSilence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silenceCheckScheduled = false
	if l.out == nil || len(l.pending) == 0 {
		return
	}
	now := time.Now()
	switch {
	case now.Sub(l.lastReceived) < silenceTimeout:
		l.scheduleSilenceCheck(silenceTimeout - now.Sub(l.lastReceived))
	case l.lastKeepalive.After(l.lastReceived):
		l.markUnresponsive(now)
	default:
		for ref, p := range l.pending {
			l.out.put(&GrantMessage{Kind: KindKeepalive, Ref: ref, Service: p.service.name})
			break
		}
		l.lastKeepalive = now
		l.scheduleSilenceCheck(ackTimeout)
	}
}

// reportUnresponsive reports the owner as unresponsive, so that the membership protocol checks it immediately instead of in its next
// regular probe.
func (l *link) reportUnresponsive() {
	if l.rt.cfg.OnUnresponsive != nil {
		go l.rt.cfg.OnUnresponsive(l.host)
	}
}

// Errors for a request that the owner did not decide. The owner holds no state for it, or this host sends it a cancellation.
var (
	errNoResponse      = errors.New("the owner does not respond")
	errNotAcknowledged = errors.New("the owner did not acknowledge this request in time, although it sent other messages")
)

// acquire requests a grant from the owner, or from the standby as acting owner if acting is set. The error is errNoResponse,
// errNotAcknowledged, errNotOwner or the context's.
func (l *link) acquire(ctx context.Context, svc *serviceState, ref uint64, r Request, acting bool) (
	d Decision, issuer grantOwner, err error) {
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	out, generation, ok := l.connected(ctx, timer.C)
	if !ok {
		return d, issuer, errNoResponse
	}
	l.rt.reportOpenGrants(svc, l, out, generation)
	p := &pending{service: svc, acting: acting, events: make(chan event, 2)}
	l.mu.Lock()
	l.pending[ref] = p
	l.mu.Unlock()
	if !out.put(&GrantMessage{Kind: KindAcquire, Ref: ref, Service: svc.name, Request: r, Acting: acting}) {
		l.cancelPending(out, ref, p)
		return d, issuer, errNoResponse
	}
	timeout := timer.C
	for {
		select {
		case e := <-p.events:
			switch {
			case e.queued:
				timeout = nil
			case e.failed:
				return d, issuer, errNoResponse
			case e.notOwner:
				return d, issuer, errNotOwner
			default:
				return e.decision, grantOwner{link: l, generation: generation}, nil
			}
		case <-timeout:
			l.cancelPending(out, ref, p)
			if !l.handleAckTimeout() {
				return d, issuer, errNotAcknowledged
			}
			return d, issuer, errNoResponse
		case <-ctx.Done():
			l.cancelPending(out, ref, p)
			return d, issuer, ctx.Err()
		}
	}
}
