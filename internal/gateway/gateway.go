package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/forward"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/eventlog"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/metrics"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/internal/transport/ingress"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerlink"
	"github.com/arbutusspan/arbutusspan/internal/transport/upstreamconn"
)

// Adapter speaks the language of one deployment's store, upstreams and callers.
type Adapter struct {
	Store   follow.Store
	Dialect upstreamconn.Dialect
	// ContractTopic, EndpointTopic and HostTopic are keyed topics of the store.
	ContractTopic, EndpointTopic, HostTopic string
	// DecodeContract decodes a record of ContractTopic; nil for records that are no configuration.
	DecodeContract func(key string, value []byte) (*routing.Config, error)
	// DecodeEndpoint decodes a record of EndpointTopic.
	DecodeEndpoint func(key string, value []byte) (registry.Entry, error)
	// Directory answers callers who ask where to connect.
	Directory func(lookup func() ([]string, time.Duration)) http.Handler
	// Ready answers whether this host takes callers.
	Ready func(ready func() bool) http.Handler
	// RetryAfter formats the delay of a refusal for callers.
	RetryAfter func(time.Duration) string
}

// Gateway is one running entry host.
type Gateway struct {
	settings *Settings
	adapter  Adapter
	store    follow.Store // the adapter's, with counts
	log      *eventlog.Log
	metrics  *metrics.Set
	refusals *refusals.Store

	routes    atomic.Pointer[routing.Table] // nil until a configuration is known
	endpoints *registry.Table
	board     *placement.Board
	pool      *upstreamconn.Pool
	forwarder *forward.Forwarder
	callers   *ingress.Server
	follower  *follow.Follower
	peers     *peers.Table
	link      *peerlink.Link
	draining  atomic.Bool
	arrivals  atomic.Int64 // requests since the start
	informed  atomic.Bool  // the state of the store is known
	roster    roster
	meter     rateMeter
	started   time.Time

	splitMu sync.Mutex
	split   map[string]float64 // by route, the position in its sequence of shares
}

const (
	// lapseGrace is how long an entry that lapsed during a disturbance of the store is trusted after its return.
	lapseGrace = 2 * time.Second
	// upstreamIdle is shorter than the time after which upstreams close idle connections.
	upstreamIdle = 8 * time.Second
	// upstreamConnect bounds connection set-up: an endpoint that does not accept at once is not waited for.
	upstreamConnect = 150 * time.Millisecond
	// maxBodiesShare of the memory holds request bodies, and heapShare the Go heap.
	maxBodiesShare = 0.25
	heapShare      = 0.6
	// callersShare of the descriptors serves callers; the rest goes to upstreams, the store and peers.
	callersShare   = 0.6
	keptRefusals   = 2048
	sweepInterval  = time.Second
	forgetUnused   = time.Minute
	hostFeedEvery  = 8
	mebibyte       = 1 << 20
	serverTimeout  = 2 * time.Second
	maxResolved    = 64
	gcPercentSmall = 200 // the heap is a few megabytes, so collecting less often costs little memory
)

// New assembles a gateway. Nothing runs before Run.
func New(s *Settings, a Adapter, logger *eventlog.Log) *Gateway {
	g := &Gateway{settings: s, adapter: a, log: logger, metrics: metrics.New(), refusals: refusals.NewStore(keptRefusals),
		endpoints: registry.NewTable(lapseGrace), started: time.Now(), split: map[string]float64{}}
	g.store = countingStore{a.Store, g.metrics}
	cfg := placement.DefaultConfig()
	cfg.Zone = s.Zone
	g.board = placement.NewBoard(cfg)
	upstreams := upstreamconn.DefaultConfig()
	upstreams.Dialect, upstreams.IdleTimeout, upstreams.ConnectTimeout = a.Dialect, upstreamIdle, upstreamConnect
	upstreams.MaxPerEndpoint = g.maxConnections
	g.pool = upstreamconn.NewPool(upstreams)
	g.peers = peers.NewTable(peers.DefaultConfig(peers.Host{Name: s.Host, Zone: s.Zone, Started: g.started.UnixMilli(),
		Callers: s.CallerAddress, Peers: s.advertised(s.PeerAddress), State: s.advertised(s.StateAddress), Cores: s.Cores}))
	repeats := placement.NewRepeats(placement.RepeatBudget{Ratio: s.RepeatRatio, Burst: s.RepeatBurst,
		Window: time.Duration(s.RepeatWindowS * float64(time.Second))}, g.repeatSharers)
	g.forwarder = forward.New(forward.Config{Sender: g.pool, Asker: g.pool, Board: g.board, Repeats: repeats,
		Asks: placement.NewAskBudget(g.askRate), Endpoints: g.endpoints.Snapshot, Panicked: g.reportPanic})
	g.callers = ingress.New(ingress.Config{Handler: g, Limits: g.limits, MaxConnections: int(float64(s.MaxDescriptors) * callersShare),
		MaxBodiesBytes: int64(s.MemoryMB * maxBodiesShare * mebibyte), Panicked: g.panicked})
	g.follower = follow.New(follow.Config{Store: g.store, Feeds: g.feeds(),
		MaxAge: func() time.Duration { return g.peers.MaxAge(time.Now()) }, Tell: g.tell,
		Read: func(r follow.ReadInfo) {
			if !g.informed.Swap(true) {
				g.updateStatus()
				g.greetOnce() // starting neighbours may wait for a host that knows the store
			}
			g.log.Info("store_read", "reason", r.Reason, "age_ms", ms(r.Age), "took_ms", ms(r.Took), "topics", r.Feeds, "records", r.Records)
		},
		Lost:     func(err error) { g.log.Warn("store_lost", "error", err) },
		Regained: func(away time.Duration) { g.log.Info("store_regained", "away_ms", away.Milliseconds()) },
		Failed:   g.endpoints.Hold})
	return g
}

// repeatSharers returns the number of hosts that share the burst of repeats. Most requests come to the hosts that callers are told of;
// the others serve those who hold older addresses, and hold half a share.
func (g *Gateway) repeatSharers() int {
	return (g.peers.Serving(time.Now()) + g.peers.Known() + 1) / 2
}

// asksUsed is the part of the allowed questions that is used. What is left covers hosts that callers use though they are not offered.
const asksUsed = 0.85

// askRate returns this host's part of the questions that the endpoints may be asked, in questions a second.
func (g *Gateway) askRate() float64 {
	return asksUsed * g.settings.AsksPerS * float64(g.endpoints.Snapshot().Total) / float64(g.peers.Serving(time.Now()))
}

// panicked reports a fault of ours that ended a request.
func (g *Gateway) panicked(r *ingress.Request, value any, stack []byte) {
	g.reportPanic(r.Header.Get(g.adapter.Dialect.RequestID), value, stack)
}

func (g *Gateway) reportPanic(requestID string, value any, stack []byte) {
	g.metrics.Add("panics_total", 1)
	g.log.Warn("panic", "id", requestID, "value", value, "stack", string(stack))
}

// minConnections to one endpoint let a host ask while a request runs, however many hosts share the endpoint.
const minConnections = 2

// maxConnections returns this host's part of the connections that an endpoint takes from all hosts together.
func (g *Gateway) maxConnections(e endpoints.Endpoint) int {
	t := g.routes.Load()
	if t == nil {
		return 0
	}
	s := t.Service(e.Service)
	if s == nil || s.MaxConnections == 0 {
		return 0
	}
	return max(minConnections, s.MaxConnections/g.peers.Known())
}

func (g *Gateway) limits() routing.Limits {
	if t := g.routes.Load(); t != nil {
		return t.Limits
	}
	return routing.DefaultLimits
}

// Run serves until the context ends, then drains and stops.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(g.settings.MemoryMB * heapShare * mebibyte))
	debug.SetGCPercent(gcPercentSmall)
	link, err := peerlink.Listen(g.settings.PeerAddress)
	if err != nil {
		return err
	}
	g.link = link
	callers, err := listen(g.settings.CallerAddress)
	if err != nil {
		return err
	}
	var servers []*http.Server
	var group errgroup.Group
	for _, side := range g.sideServers() {
		l, err := listen(side.address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: side.handler, ReadTimeout: serverTimeout, WriteTimeout: serverTimeout, IdleTimeout: side.idle}
		servers = append(servers, server)
		group.Go(func() error { return ignoreClosed(server.Serve(l)) })
	}
	g.publishGauges()
	running, stop := context.WithCancel(context.Background())
	group.Go(func() error { return g.link.Receive(g.receive, g.malformed) })
	group.Go(func() error { return g.callers.Serve(callers) })
	group.Go(func() error { g.greet(running); return nil })
	group.Go(func() error { g.start(running); return nil })
	group.Go(func() error { g.sweep(running); return nil })
	group.Go(func() error { g.keepRoster(running); return nil })
	g.log.Info("started", "zone", g.settings.Zone, "callers", g.settings.CallerAddress, "store", g.settings.StoreAddress)
	<-ctx.Done()
	g.drain(callers)
	stop()
	for _, s := range servers {
		s.Close()
	}
	g.link.Close()
	err = group.Wait()
	g.log.Info("stopped", "error", err)
	return trace.Wrap(err)
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, trace.Wrap(err, "listen on %s; stop the process that uses it or change the settings", address)
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// ready reports whether this host takes callers: it knows routes and endpoints, and is not stopping.
func (g *Gateway) ready() bool {
	_, known := g.follower.Age(time.Now())
	return known && g.routes.Load() != nil && !g.draining.Load()
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// sweep drops what is no longer needed.
func (g *Gateway) sweep(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		pause(ctx, sweepInterval/4)
		now := time.Now()
		for _, c := range g.endpoints.Expire(now) {
			g.logEndpoint(c)
		}
		if n%4 == 0 {
			g.pool.CloseIdle(now)
			g.board.Forget(forgetUnused, now)
			for _, name := range g.peers.Forget(now) {
				g.log.Info("host", "name", name, "state", "forgotten")
			}
		}
	}
}

// drain stops taking callers and answers what was read. Callers keep connecting for a while, because they keep addresses: they are
// served too, each answer as the last of its connection.
func (g *Gateway) drain(l net.Listener) {
	start := time.Now()
	g.draining.Store(true)
	g.updateStatus()
	g.greetOnce()
	g.callers.Drain()
	g.log.Info("draining", "active", g.callers.Active(), "connections", g.callers.Connections(), "grace_ms", g.settings.grace().Milliseconds())
	pause(context.Background(), time.Duration(float64(g.settings.grace())*drainAcceptShare))
	l.Close()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(time.Duration(float64(g.settings.grace())*drainShare)))
	defer cancel()
	g.callers.Close(ctx)
	g.log.Info("drained", "took_ms", time.Since(start).Milliseconds(), "cut", g.callers.Active())
}

const (
	// drainAcceptShare of the grace time new connections are taken, since callers keep addresses for seconds.
	drainAcceptShare = 0.5
	// drainShare of the grace time is used. The rest is for the end of the process, which is killed when the grace time is over.
	drainShare = 0.86
)
