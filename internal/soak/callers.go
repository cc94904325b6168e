package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

const (
	connectTimeout = time.Second
	lookupTimeout  = time.Second
	// extraResponseWait is how long a caller waits for a response after its deadline, to observe how the host handles late requests.
	extraResponseWait = time.Second
	thinkTime         = 60 * time.Millisecond // mean time between two requests of a caller
	cancelShare       = 0.03                  // part of the batches whose caller closes the connection early
	pipelineShare     = 0.1                   // part of the idempotent requests that may be pipelined with further ones
	maxPipelined      = 3                     // requests of a batch
	maxBodyBytes      = 60_000                // bytes
	avoidTime         = 2 * time.Second       // how long a caller does not use an address that accepted no connection
)

// callerKind selects how a caller uses its connections.
type callerKind string

const (
	batches   callerKind = "batches"   // sends some requests, mostly one, and waits for all responses
	pipelines callerKind = "pipelines" // sends further requests before earlier ones are answered
	returning callerKind = "returning" // like batches, but pauses for up to maxReturnTime before each batch
	crowd     callerKind = "crowd"     // like batches, but only while a host stops
)

// callerKinds are the kinds of callersPerHost callers.
var callerKinds = [callersPerHost]callerKind{batches, batches, pipelines, crowd, batches, returning, batches, crowd, pipelines, crowd, pipelines, returning}

const (
	callersPerHost = 12
	maxReturnTime  = 3 * time.Second
	stopLoadFactor = 3 // factor by which callers raise their load while a host stops
)

// caller looks up the addresses of hosts, caches them, and sends requests on persistent connections.
type caller struct {
	soak            *soak
	index           int
	kind            callerKind
	keepsAddresses  bool // for 3 times as long as it may
	keepsConnection bool // until the host closes it, instead of for 1 to 20 batches
	rng             *rand.Rand
	addresses       []string
	expires         time.Time            // when the cached addresses expire
	avoidedUntil    map[string]time.Time // address -> time until which it is not used
	serial          int
}

func newCaller(s *soak, index int) *caller {
	c := &caller{soak: s, index: index, kind: callerKinds[index%callersPerHost], rng: rand.New(rand.NewPCG(s.Seed, uint64(1000+index))), avoidedUntil: map[string]time.Time{}}
	c.keepsAddresses = c.rng.Float64() < 0.5
	c.keepsConnection = c.kind != batches || c.rng.Float64() < 0.5
	return c
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.kind == crowd && !c.soak.stopping() {
			pause(ctx, thinkTime)
			continue
		}
		conn := c.connect(ctx)
		if conn == nil {
			pause(ctx, thinkTime)
			continue
		}
		if c.kind == pipelines {
			c.sendPipeline(ctx, conn)
		} else {
			c.sendBatches(ctx, conn)
		}
		conn.Close()
	}
}

// think waits for a random time before the next request.
func (c *caller) think(ctx context.Context) {
	if c.kind == returning {
		pause(ctx, time.Duration(c.rng.Float64()*float64(maxReturnTime)))
		return
	}
	pause(ctx, c.thinkTime())
}

// thinkTime draws a time between two requests.
func (c *caller) thinkTime() time.Duration {
	factor := c.soak.loadFactor.get()
	if c.soak.stopping() {
		factor *= stopLoadFactor
	}
	return time.Duration(c.rng.ExpFloat64() * float64(thinkTime) / float64(factor))
}

// connect opens a connection to a random usable address. It returns nil if there is none or the connection fails.
func (c *caller) connect(ctx context.Context) *connection {
	now := time.Now()
	if now.After(c.expires) {
		c.lookup(ctx)
	}
	var usable []string
	for _, a := range c.addresses {
		if now.After(c.avoidedUntil[a]) {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		c.expires = time.Time{}
		return nil
	}
	address := usable[c.rng.IntN(len(usable))]
	h, reached := c.soak.hostAt(address)
	c.soak.ledger.Check(ownResponses, h != nil, "a host returned the address %s, which does not belong to a host", address)
	if h == nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", reached, connectTimeout)
	if err != nil {
		c.avoidedUntil[address] = now.Add(avoidTime)
		return nil
	}
	return &connection{Conn: conn, caller: c, host: h, number: c.soak.connections.next(), br: bufio.NewReaderSize(conn, 64<<10)}
}

// lookup gets addresses from the first host that returns any. It tries a host of the caller's own zone first.
func (c *caller) lookup(ctx context.Context) {
	client := http.Client{Timeout: lookupTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range zoneCount {
		h := c.soak.hosts[(c.index+i)%len(c.soak.hosts)]
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.lookupURL+"?name="+virtualHost+"&zone="+zoneName(h.index), nil)
		if err != nil {
			continue
		}
		resp, err := client.Do(req)
		if err != nil {
			continue // the host is down or paused
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTLS      float64  `json:"ttlS"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		resp.Body.Close()
		if err != nil || len(answer.Addresses) == 0 {
			continue // the host knows no addresses yet
		}
		kept := time.Duration(answer.TTLS * float64(time.Second))
		if c.keepsAddresses {
			kept *= 3
		}
		c.addresses, c.expires = answer.Addresses, time.Now().Add(kept)
		return
	}
}

// sendBatches sends requests on a connection until the host closes it or, unless the caller keeps it, 1 to 20 batches were sent.
func (c *caller) sendBatches(ctx context.Context, conn *connection) {
	most := 1 + c.rng.IntN(20)
	for n := 0; n < most || c.keepsConnection; n++ {
		c.think(ctx)
		if ctx.Err() != nil || c.kind == crowd && !c.soak.stopping() {
			return
		}
		routes := c.soak.configs.newestRoutes()
		batch := []*request{c.request(conn, routes[c.rng.IntN(len(routes))])}
		if c.kind == returning && c.soak.stopping() {
			batch[0] = c.longRequest(conn, routes)
		}
		if batch[0].idempotent && c.rng.Float64() < pipelineShare {
			for range c.rng.IntN(maxPipelined) {
				if r := c.request(conn, routes[c.rng.IntN(len(routes))]); r.idempotent {
					batch = append(batch, r)
				}
			}
		}
		if !conn.exchange(batch) {
			return
		}
	}
}

// longRequest returns a request on longRoute that runs for most of the time that it has.
func (c *caller) longRequest(conn *connection, routes []routing.Route) *request {
	i := slices.IndexFunc(routes, func(r routing.Route) bool { return r.Name == longRoute })
	r := c.request(conn, routes[i])
	work := min(maxExtraWork, r.deadline*2/3)
	r.target += fmt.Sprintf("&%s=%d", extraWorkParameter, time.Duration(c.rng.Float64()*float64(work)).Milliseconds())
	return r
}

func (c *caller) request(conn *connection, r routing.Route) *request {
	c.serial++
	return &request{id: fmt.Sprintf("%04x%08x", c.index, c.serial), method: http.MethodGet, target: fmt.Sprintf("/%s/%d?n=%d", r.Name, c.index, c.serial),
		route: r.Name, idempotent: r.Idempotent, deadline: r.Timeout, host: conn.host, kind: c.kind, connection: conn.number,
		faultFree: c.soak.timeline.contains(scopeFaultFree, time.Now())}
}

// pause waits for a duration or until the context is cancelled.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
