// Package upstreamconn sends requests to upstreams over HTTP/1.1 and has its own connection pool. Each request is sent
// at most once. http.Transport.RoundTrip is not used, because it resends requests that it considers replayable.
package upstreamconn

import (
	"context"
	"hash/maphash"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/transport/strictresponse"
)

// Config configures a Pool.
type Config struct {
	// Host is the name of this entry host. It prefixes the request ids of probes, so that an upstream can tell which host probes it.
	// If it is empty, the ids have no prefix.
	Host string
	// Dialect describes the headers that the upstreams understand.
	Dialect Dialect
	// IdleTimeout is the time after which an unused connection is closed, if its upstream states no shorter one. A longer timeout saves connection set-up; a shorter one
	// avoids connections whose state a middlebox has dropped.
	IdleTimeout time.Duration
	// ConnectTimeout bounds connection set-up.
	ConnectTimeout time.Duration
	// SourceIP is the local IP of the connections to upstreams. The zero value leaves the choice to the operating system.
	SourceIP netip.Addr
	// WriteTimeout is the timeout of one write. If an upstream accepts no more bytes for this long, the request fails even before its
	// deadline.
	WriteTimeout time.Duration
	// MaxPerEndpoint returns the maximum number of connections from this host to an endpoint, idle ones included. The number is
	// unlimited if MaxPerEndpoint is nil or returns 0.
	MaxPerEndpoint func(e endpoints.Endpoint) int
	// MaxIdlePerEndpoint is the maximum number of idle connections per endpoint.
	MaxIdlePerEndpoint int
	// MaxHeaderBytes is the maximum size of a response's status line and headers, including those of interim (1xx) responses.
	MaxHeaderBytes int64
	// MaxUnfinishedHeads bounds, in bytes, what has arrived of all response heads that are not complete, without the first smallHeadBytes of each. A
	// request whose response exceeds it fails. 0 means no limit.
	MaxUnfinishedHeads int64
	// OnResponse is called with the status and headers of each response, before Send returns. It must not use Response.Body. Nil means no
	// call.
	OnResponse func(e endpoints.Endpoint, r *executor.Response)
	// Leaving reports whether an endpoint must not get new requests any more, and Rejecting whether it must not get any for a while. Send
	// calls both right before it writes. Connections to leaving endpoints are not kept. Nil means that no endpoint is.
	Leaving, Rejecting func(id endpoints.ID) bool
	// Unchecked reports whether an endpoint may have started again since its last response, and OnContactLost is called when all idle connections to
	// one turned out to be closed. Both are called only for requests with RecentContact. Nil means no call.
	Unchecked     func(id endpoints.ID) bool
	OnContactLost func(id endpoints.ID)
	// OnOwnDelay is called for each SendError with OwnDelay. Nil means no call.
	OnOwnDelay func()
	// MaxBodyBytes is the maximum size of a response body.
	MaxBodyBytes int64
}

// DefaultConfig returns the configuration used in production.
func DefaultConfig() Config {
	return Config{Dialect: defaultDialect, IdleTimeout: 10 * time.Second, ConnectTimeout: 500 * time.Millisecond,
		WriteTimeout: 2 * time.Second, MaxIdlePerEndpoint: 16, MaxHeaderBytes: 64 << 10, MaxUnfinishedHeads: 8 << 20,
		MaxBodyBytes: 1 << 30}
}

const shardCount = 16

var shardSeed = maphash.MakeSeed()

// Pool keeps idle connections per endpoint incarnation. It is split into shards, each with its own lock.
type Pool struct {
	cfg       Config
	dialer    *net.Dialer
	transport *http.Transport
	shards    [shardCount]poolShard

	unfinishedHeads atomic.Int64 // bytes that MaxUnfinishedHeads bounds
}

type poolShard struct {
	mu   sync.Mutex
	idle map[endpoints.ID][]*conn
	open map[endpoints.ID]int // number of connections, idle ones and those being established included
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	p := &Pool{cfg: cfg, dialer: &net.Dialer{Timeout: cfg.ConnectTimeout}}
	if cfg.SourceIP.IsValid() {
		p.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(cfg.SourceIP, 0))
	}
	p.transport = &http.Transport{
		DisableCompression:     true, // the caller's Accept-Encoding is forwarded unchanged
		MaxResponseHeaderBytes: cfg.MaxHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := p.connect(ctx, network, address)
			if err != nil {
				return nil, err
			}
			guarded := ctx.Value(guardedConnKey{}).(*guardedConn) // always set, because only dial opens connections
			guarded.reset = strictresponse.NewResetConn(nc)
			guarded.Conn = guarded.reset
			return guarded, nil
		},
	}
	for i := range p.shards {
		p.shards[i].idle, p.shards[i].open = map[endpoints.ID][]*conn{}, map[endpoints.ID]int{}
	}
	return p
}

// guardedConnKey is the context key under which dial passes the guardedConn to the transport's dial function.
type guardedConnKey struct{}

// conn is a connection that carries at most one request at a time.
type conn struct {
	http        *http.ClientConn
	guarded     *guardedConn
	openedAt    time.Time // when it was begun to be opened
	connectedAt time.Time // when it had been opened
	idleSince   time.Time
	idleTimeout time.Duration // by the last response
	// unnamed holds when the last maxLateCopies exchanges were sent whose responses carried no request id, oldest first.
	unnamed []time.Time
	named   bool     // a response has carried its request's id
	sent    []uint32 // hashes of the ids of the requests that it has carried, at most maxRequests
}

func (c *conn) close() { c.http.Close() }

// ended reports whether the upstream has ended the idle connection, also if the process has not noticed yet.
func (c *conn) ended() bool { return c.http.Err() != nil || c.guarded.ended() }

// get returns an idle connection to the endpoint that suits the request, or nil. It prefers the one that was used last, because that one is most likely
// still open, or the one that has been idle for longest if the request asks for it. closed says that the endpoint had closed an idle connection.
func (p *Pool) get(id endpoints.ID, now time.Time, c *executor.Call) (idle *conn, closed bool) {
	var unusable []*conn
	defer func() { closeAll(unusable) }()
	sh := p.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	list := sh.idle[id]
	for {
		at := p.chooseIdle(list, c)
		if at < 0 {
			return nil, closed || len(list) > 0 && !slices.ContainsFunc(list, func(cn *conn) bool { return !cn.ended() })
		}
		cn := list[at]
		list = slices.Delete(list, at, at+1)
		sh.idle[id] = list
		expired := cn.idleTooLong(now)
		if !expired && cn.http.Err() == nil && cn.guarded.beginRequest() {
			return cn, closed
		}
		closed = closed || !expired || cn.ended()
		unusable = append(unusable, cn)
	}
}

// closeUnsuited closes the connection that has been idle for longest of those that do not suit the request. It returns false if there is none.
func (p *Pool) closeUnsuited(id endpoints.ID, c *executor.Call) bool {
	sh := p.shard(id)
	sh.mu.Lock()
	list := sh.idle[id]
	at := slices.IndexFunc(list, func(cn *conn) bool { return !p.suits(cn, c) })
	var cn *conn
	if at >= 0 {
		cn = list[at]
		sh.idle[id] = slices.Delete(list, at, at+1)
	}
	sh.mu.Unlock()
	if cn == nil {
		return false
	}
	cn.close()
	return true
}

// closeAll closes connections. It must not be called under a shard's lock, because closing a connection calls release, which takes that
// lock.
func closeAll(list []*conn) {
	for _, c := range list {
		c.close()
	}
}

// put adds a reusable connection to the idle ones, or closes it if there are MaxIdlePerEndpoint already or the endpoint is leaving.
func (p *Pool) put(id endpoints.ID, c *conn, now time.Time) {
	c.idleSince = now
	sh := p.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if len(sh.idle[id]) >= p.cfg.MaxIdlePerEndpoint || p.leaving(id) {
		go c.close() // must run neither under the lock nor in the connection's own read goroutine
		return
	}
	sh.idle[id] = append(sh.idle[id], c)
}

func (p *Pool) leaving(id endpoints.ID) bool { return p.cfg.Leaving != nil && p.cfg.Leaving(id) }

// withdrawn reports whether no request may be written to the endpoint now.
func (p *Pool) withdrawn(id endpoints.ID) bool {
	return p.leaving(id) || p.cfg.Rejecting != nil && p.cfg.Rejecting(id)
}

// CloseEndpoint closes the idle connections to an endpoint. Config.Leaving must already report the endpoint, so that no connection becomes
// idle afterwards.
func (p *Pool) CloseEndpoint(id endpoints.ID) {
	sh := p.shard(id)
	sh.mu.Lock()
	list := sh.idle[id]
	delete(sh.idle, id)
	sh.mu.Unlock()
	closeAll(list)
}

// dial opens a connection to the endpoint for the request. If the endpoint has as many as it may, it closes one that does not suit the request first.
func (p *Pool) dial(ctx context.Context, e endpoints.Endpoint, c *executor.Call) (*conn, error) {
	for !p.reserve(e) {
		if !p.closeUnsuited(e.ID, c) {
			return nil, executor.ErrConnectionLimit
		}
	}
	openedAt := time.Now()
	guarded := &guardedConn{writeTimeout: p.cfg.WriteTimeout, onClose: func() { p.release(e.ID) }, unfinishedHeads: &p.unfinishedHeads,
		maxUnfinished: p.cfg.MaxUnfinishedHeads}
	hc, err := p.transport.NewClientConn(context.WithValue(ctx, guardedConnKey{}, guarded), "http", e.Address)
	if err != nil {
		guarded.notifyClosed()
		return nil, err
	}
	return &conn{http: hc, guarded: guarded, openedAt: openedAt, connectedAt: time.Now()}, nil
}

// reserve adds a connection to the endpoint's count. It returns false if the count has reached the maximum.
func (p *Pool) reserve(e endpoints.Endpoint) bool {
	limit := 0
	if p.cfg.MaxPerEndpoint != nil {
		limit = p.cfg.MaxPerEndpoint(e)
	}
	sh := p.shard(e.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if limit > 0 && sh.open[e.ID] >= limit {
		return false
	}
	sh.open[e.ID]++
	return true
}

// release removes a connection from the endpoint's count.
func (p *Pool) release(id endpoints.ID) {
	sh := p.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.open[id]--; sh.open[id] <= 0 {
		delete(sh.open, id)
	}
}

// CloseIdle closes connections that have been idle for their timeout. It also closes those to removed endpoints, which
// become idle and are not used again.
func (p *Pool) CloseIdle(now time.Time) {
	var expired []*conn
	defer func() { closeAll(expired) }()
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		for id, list := range sh.idle {
			kept := list[:0]
			for _, c := range list {
				if c.idleTooLong(now) {
					expired = append(expired, c)
					continue
				}
				kept = append(kept, c)
			}
			clear(list[len(kept):])
			if len(kept) == 0 {
				delete(sh.idle, id)
				continue
			}
			sh.idle[id] = kept
		}
		sh.mu.Unlock()
	}
}

func (p *Pool) shard(id endpoints.ID) *poolShard {
	return &p.shards[maphash.String(shardSeed, id.Address)%shardCount]
}
