package peerrpc

import (
	"context"
	"crypto/rand"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcconn"

	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
)

// maxCallsPerPeer is the maximum number of concurrent calls, and thus of connections for calls, to one peer. Further calls wait.
const maxCallsPerPeer = 16

// Peers is the client side: it sends calls and opens grant streams to other entry hosts. It opens connections on demand and reuses
// those of calls. It is safe for concurrent use.
type Peers struct {
	self    string
	secret  []byte
	address func(host string) string
	mu      sync.Mutex
	byHost  map[string]*peer
	closed  bool
	traffic Traffic
}

// Traffic returns the byte counters of the connections that this host opened.
func (p *Peers) Traffic() *Traffic { return &p.traffic }

// peer holds the connections to one host at one address.
type peer struct {
	host    string
	address string
	calls   chan struct{} // one element for each call in progress
	idle    []*clientConn // guarded by Peers.mu; the most recently used one is last
	sweep   *time.Timer   // guarded by Peers.mu; nil if no sweep is scheduled
}

// clientConn is one authenticated connection.
type clientConn struct {
	*drpcconn.Conn
	counted   *countedConn
	idleSince time.Time
}

// NewPeers returns the Peers of the host with the name self. address returns the IP:port of another host's peer port, or an empty
// string if it is not known.
func NewPeers(self string, secret []byte, address func(host string) string) *Peers {
	return &Peers{self: self, secret: secret, address: address, byHost: map[string]*peer{}}
}

// Call calls a method of a host and decodes the result into out, which may be nil. The error is a *CallError. Call never retries.
func (p *Peers) Call(ctx context.Context, host, method string, in, out any) error {
	reached, err := p.call(ctx, host, method, in, out)
	if err != nil {
		return &CallError{Host: host, Method: method, Reached: reached, Err: err}
	}
	return nil
}

func (p *Peers) call(ctx context.Context, host, method string, in, out any) (reached bool, err error) {
	body, err := wire.Marshal(in)
	if err != nil {
		return false, err
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	deadline, _ := ctx.Deadline()
	to, err := p.peer(host)
	if err != nil {
		return false, err
	}
	select {
	case to.calls <- struct{}{}:
		defer func() { <-to.calls }()
	case <-ctx.Done():
		return false, trace.Wrap(ctx.Err(), "%d calls to %s are open", maxCallsPerPeer, host)
	}
	c := p.takeIdle(to)
	if c == nil {
		if c, err = p.dial(ctx, host, to.address, idleTimeout); err != nil {
			return false, err
		}
	}
	before := c.counted.written.Load()
	request := &callRequest{Method: method, TimeoutMS: max(1, time.Until(deadline).Milliseconds()), Body: body}
	var reply callReply
	err = c.Invoke(ctx, rpcCall, encoding{}, request, &reply)
	switch {
	case err == nil:
		p.putIdle(to, c)
	case reply.received():
		c.Close() // Invoke also fails if the peer closes the connection after its reply
	default:
		c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return c.counted.written.Load() > before, trace.Wrap(err)
	}
	if reply.Err != nil {
		return true, reply.Err
	}
	if out == nil {
		return true, nil
	}
	return true, wire.Unmarshal(reply.Body, out)
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultTimeout)
}

// Open opens a grant stream to a host. The stream ends when the context ends, Close is called, the connection fails, or nothing was
// received from the peer for keepAliveTimeout.
func (p *Peers) Open(ctx context.Context, host string) (*Stream, error) {
	to, err := p.peer(host)
	if err != nil {
		return nil, err
	}
	c, err := p.dial(ctx, host, to.address, 0)
	if err != nil {
		return nil, err
	}
	stream, err := c.NewStream(ctx, rpcGrants, encoding{})
	if err != nil {
		c.Close()
		return nil, trace.ConnectionProblem(err, "open a grant stream to %s", host)
	}
	return newStream(stream, host, func() { c.Close() }), nil
}

// peer returns the peer for a host. If the host's address has changed, peer closes the idle connections to the old address.
func (p *Peers) peer(host string) (*peer, error) {
	address := p.address(host)
	if address == "" {
		return nil, trace.NotFound("no peer address of %s is known", host)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, trace.ConnectionProblem(nil, "this host is stopping")
	}
	to := p.byHost[host]
	if to != nil && to.address != address {
		to.closeIdle(time.Now())
		to = nil
	}
	if to == nil {
		to = &peer{host: host, address: address, calls: make(chan struct{}, maxCallsPerPeer)}
		p.byHost[host] = to
	}
	return to, nil
}

// takeIdle returns an idle connection, or nil. It prefers the most recently used one, so that connections that are not needed reach
// idleTimeout and are closed.
func (p *Peers) takeIdle(to *peer) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(to.idle) > 0 {
		c := to.idle[len(to.idle)-1]
		to.idle = to.idle[:len(to.idle)-1]
		select {
		case <-c.Closed():
		default:
			return c
		}
	}
	return nil
}

// putIdle makes a connection available to later calls.
func (p *Peers) putIdle(to *peer, c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return
	}
	c.idleSince = time.Now()
	to.idle = append(to.idle, c)
	if to.sweep == nil {
		to.sweep = time.AfterFunc(idleTimeout, func() { p.sweep(to) })
	}
}

// sweep closes the connections that have been idle for idleTimeout and removes the peer if it has no calls and no connections.
func (p *Peers) sweep(to *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to.closeIdle(time.Now().Add(-idleTimeout))
	if len(to.idle) > 0 && !p.closed {
		to.sweep.Reset(idleTimeout)
		return
	}
	to.sweep = nil
	if len(to.calls) == 0 && p.byHost[to.host] == to {
		delete(p.byHost, to.host)
	}
}

// closeIdle closes the connections that became idle at or before the given time.
func (to *peer) closeIdle(before time.Time) {
	kept := to.idle[:0]
	for _, c := range to.idle {
		if c.idleSince.After(before) {
			kept = append(kept, c)
		} else {
			c.Close()
		}
	}
	clear(to.idle[len(kept):])
	to.idle = kept
}

// dial connects to a host and authenticates. A connection that is inactive for the time inactivity is closed; 0 means no limit.
func (p *Peers) dial(ctx context.Context, host, address string, inactivity time.Duration) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "connect to %s at %s", host, address)
	}
	deadline, _ := ctx.Deadline()
	// Ends the handshake at once when the caller's context is cancelled, even if the peer accepted the connection and sends nothing.
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	self := wire.Hello{Host: p.self}
	rand.Read(self.Nonce[:])
	err = raw.SetDeadline(deadline)
	if err == nil {
		err = wire.ClientHandshake(raw, p.secret, self, host)
	}
	if err == nil {
		err = raw.SetDeadline(time.Time{})
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		raw.Close()
		return nil, trace.Wrap(err)
	}
	counted := &countedConn{Conn: raw, traffic: &p.traffic}
	return &clientConn{Conn: drpcconn.NewWithOptions(counted, drpcconn.Options{Manager: managerOptions(inactivity)}), counted: counted}, nil
}

// Close closes idle connections and makes new calls fail. Calls in progress continue until they complete or their contexts end.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, to := range p.byHost {
		to.closeIdle(time.Now())
		if to.sweep != nil {
			to.sweep.Stop()
		}
	}
}
