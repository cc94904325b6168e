// Package upstreamconn sends requests to upstreams over HTTP/1.1 connections that it pools itself. Each request is written
// to one connection, once: http.Transport.RoundTrip is not used, because it resends requests that it considers replayable.
package upstreamconn

import (
	"context"
	"errors"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Config of a Pool.
type Config struct {
	// Host begins the request IDs of probes, so that an upstream can tell who measures it. Empty means no name.
	Host string
	// Dialect names the headers that the upstreams understand.
	Dialect Dialect
	// IdleTimeout closes a connection that was not used for this long. Longer saves connection set-up, shorter finds
	// connections that a middlebox has forgotten.
	IdleTimeout time.Duration
	// ConnectTimeout bounds connection set-up.
	ConnectTimeout time.Duration
	// WriteStall bounds one write. An upstream that takes no more bytes for this long is given up before the deadline.
	WriteStall time.Duration
	// MaxPerEndpoint returns how many connections this host may hold to an endpoint, idle ones included; 0 means any number. Nil means
	// no bound.
	MaxPerEndpoint func(e endpoints.Endpoint) int
	// MaxIdlePerEndpoint bounds idle connections per endpoint.
	MaxIdlePerEndpoint int
	// MaxHeaderBytes bounds the status line and headers of an answer, interim answers included.
	MaxHeaderBytes int64
	// MaxBodyBytes bounds the body of an answer.
	MaxBodyBytes int64
}

// DefaultConfig returns the figures used in production.
func DefaultConfig() Config {
	return Config{Dialect: ownDialect, IdleTimeout: 10 * time.Second, ConnectTimeout: 500 * time.Millisecond, WriteStall: 2 * time.Second,
		MaxIdlePerEndpoint: 16, MaxHeaderBytes: 64 << 10, MaxBodyBytes: 1 << 30}
}

const shardCount = 16

var shardSeed = maphash.MakeSeed()

// Pool keeps idle connections per endpoint incarnation, in shards under their own locks.
type Pool struct {
	cfg       Config
	transport *http.Transport
	shards    [shardCount]poolShard
}

type poolShard struct {
	mu   sync.Mutex
	idle map[endpoints.ID][]*conn
	open map[endpoints.ID]int // connections, idle ones included
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	p := &Pool{cfg: cfg}
	dialer := &net.Dialer{Timeout: cfg.ConnectTimeout}
	p.transport = &http.Transport{
		DisableCompression:     true, // the caller's Accept-Encoding goes through unchanged
		MaxResponseHeaderBytes: cfg.MaxHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			raw := ctx.Value(connSlotKey{}).(*guardedConn) // only dial opens connections
			raw.Conn = nc
			return raw, nil
		},
	}
	for i := range p.shards {
		p.shards[i].idle, p.shards[i].open = map[endpoints.ID][]*conn{}, map[endpoints.ID]int{}
	}
	return p
}

// connSlotKey passes the guarded connection to the transport's dialer.
type connSlotKey struct{}

// conn is one connection that carries at most one request at a time.
type conn struct {
	http   *http.ClientConn
	raw    *guardedConn
	idleAt time.Time
}

func (c *conn) close() { c.http.Close() }

// get returns an idle connection to the endpoint, or nil. The newest is preferred, because it is most likely alive; oldest takes the one
// that has been idle for longest.
func (p *Pool) get(id endpoints.ID, now time.Time, oldest bool) *conn {
	var useless []*conn
	defer func() { closeAll(useless) }()
	sh := p.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	list := sh.idle[id]
	for len(list) > 0 {
		at := len(list) - 1
		if oldest {
			at = 0
		}
		c := list[at]
		list = slices.Delete(list, at, at+1)
		sh.idle[id] = list
		if now.Sub(c.idleAt) < p.cfg.IdleTimeout && c.http.Err() == nil && c.raw.take() {
			return c
		}
		useless = append(useless, c)
	}
	return nil
}

// closeAll closes connections. It must not be called under a shard's lock: a closed connection gives its place back under that lock.
func closeAll(list []*conn) {
	for _, c := range list {
		c.close()
	}
}

// put keeps a connection whose reader waits for the next answer with nothing left over.
func (p *Pool) put(id endpoints.ID, c *conn, now time.Time) {
	c.idleAt = now
	sh := p.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if len(sh.idle[id]) >= p.cfg.MaxIdlePerEndpoint {
		go c.close() // not under the lock, and not in the connection's own reader
		return
	}
	sh.idle[id] = append(sh.idle[id], c)
}

func (p *Pool) dial(ctx context.Context, e endpoints.Endpoint) (*conn, error) {
	if !p.reserve(e) {
		return nil, errAllInUse
	}
	raw := &guardedConn{stall: p.cfg.WriteStall, released: func() { p.release(e.ID) }}
	hc, err := p.transport.NewClientConn(context.WithValue(ctx, connSlotKey{}, raw), "http", e.Address)
	if err != nil {
		raw.release()
		return nil, err
	}
	return &conn{http: hc, raw: raw}, nil
}

// errAllInUse says that this host holds as many connections to the endpoint as it may.
var errAllInUse = errors.New("all connections that this host may hold to the endpoint are in use")

// reserve counts a connection, if the endpoint's bound allows one more.
func (p *Pool) reserve(e endpoints.Endpoint) bool {
	most := 0
	if p.cfg.MaxPerEndpoint != nil {
		most = p.cfg.MaxPerEndpoint(e)
	}
	sh := p.shard(e.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if most > 0 && sh.open[e.ID] >= most {
		return false
	}
	sh.open[e.ID]++
	return true
}

func (p *Pool) release(id endpoints.ID) {
	sh := p.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.open[id]--; sh.open[id] <= 0 {
		delete(sh.open, id)
	}
}

// CloseIdle closes connections that have been idle for longer than the timeout. Connections to endpoints that are gone
// are among them before long.
func (p *Pool) CloseIdle(now time.Time) {
	var useless []*conn
	defer func() { closeAll(useless) }()
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		for id, list := range sh.idle {
			kept := list[:0]
			for _, c := range list {
				if now.Sub(c.idleAt) >= p.cfg.IdleTimeout {
					useless = append(useless, c)
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
