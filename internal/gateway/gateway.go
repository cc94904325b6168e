package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/arbutusspan/arbutusspan/internal/coordination/detour"
	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/forward"
	"github.com/arbutusspan/arbutusspan/internal/coordination/lateness"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/coordination/quarantine"
	"github.com/arbutusspan/arbutusspan/internal/coordination/quota"
	"github.com/arbutusspan/arbutusspan/internal/coordination/ratelimit"
	"github.com/arbutusspan/arbutusspan/internal/eventlog"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/membudget"
	"github.com/arbutusspan/arbutusspan/internal/state/metrics"
	"github.com/arbutusspan/arbutusspan/internal/state/ratelimits"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/internal/transport/ingress"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerlink"
	"github.com/arbutusspan/arbutusspan/internal/transport/upstreamconn"
)

// Adapter translates between the gateway and the store, upstreams and callers of one deployment.
type Adapter struct {
	// Store is the client of the store.
	Store follow.Store
	// Dialect describes the header fields that upstreams and callers use.
	Dialect upstreamconn.Dialect
	// ContractTopic, EndpointTopic and HostTopic are the keyed topics of the store that hold the configurations, the entries of endpoints,
	// and a list of entry hosts for each availability zone.
	ContractTopic, EndpointTopic, HostTopic string
	// DecodeContract decodes a record of ContractTopic. It returns nil for records that are not a configuration.
	DecodeContract func(key string, value []byte) (*routing.Config, error)
	// DecodeEvacuation returns the zone to whose endpoints nothing is to be sent while ContractTopic has a record with the key. ok is false for
	// keys of other records. Nil means that there are no such records.
	DecodeEvacuation func(key string) (zone string, ok bool)
	// DecodeEndpoint decodes a record of EndpointTopic.
	DecodeEndpoint func(key string, value []byte) (registry.Entry, error)
	// ReduceEndpoint returns what hosts keep of a large record of EndpointTopic: DecodeEndpoint gives the same for it, and it has no more than some hundred
	// bytes. The error is that of DecodeEndpoint. Small records are returned as they are, whether they can be decoded or not. It is called from several
	// goroutines. Nil means that all records are kept as they are.
	ReduceEndpoint func(key string, value []byte) ([]byte, error)
	// Directory returns the handler that serves callers the addresses of the hosts to connect to. lookup returns the hosts' addresses and
	// how long callers may keep them.
	Directory func(lookup func() ([]string, time.Duration)) http.Handler
	// Ready returns the handler of the readiness check. ready reports whether this host accepts requests.
	Ready func(ready func() bool) http.Handler
	// RetryAfter formats the value of the Retry-After header field.
	RetryAfter func(time.Duration) string
}

// Gateway is one running entry host.
type Gateway struct {
	settings *Settings
	adapter  Adapter
	store    follow.Store // the adapter's store, with metrics of its calls
	log      *eventlog.Log
	metrics  *metrics.Registry
	refusals *refusals.Store
	recent   *recentRequests

	routes           atomic.Pointer[routing.Table] // nil until a configuration is in force; changed by setRoutes
	routesChanged    atomic.Pointer[chan struct{}] // is closed at the next change of routes
	earlierIdle      atomic.Pointer[earlierIdle]   // nil before an idle timeout was lowered
	endpoints        *registry.Table
	endpointStats    *placement.EndpointStats // load and failure statistics of endpoints
	rateLimits       *ratelimits.Table        // limits that endpoints have named
	rateLimiter      *ratelimit.Limiter       // permits for these endpoints
	crashGuard       *quarantine.Guard        // requests that end the endpoints which run them
	pool             *upstreamconn.Pool
	ways             *detour.Tracker    // this host's ways to the services' endpoints
	lateness         lateness.Meter     // when this host had no processor for its timers
	hopPool          *upstreamconn.Pool // connections to other hosts, for requests that take a detour
	hops             *ingress.Server    // serves requests that other hosts got from their callers
	checkWaysNow     chan struct{}      // has the ways checked that need it
	forwarder        *forward.Forwarder
	callers          *ingress.Server   // serves callers' requests
	memory           *membudget.Budget // what callers may take of the memory
	follower         *follow.Follower  // keeps this host's copy of the store current
	peers            *peers.Table
	link             *peerlink.Link // exchanges messages with peers; set by Run
	draining         atomic.Bool
	drainPlan        atomic.Pointer[drainPlan] // nil before a drain
	received         atomic.Int64              // requests received since the start
	hasStoreCopy     atomic.Bool               // this host has a copy of the store's topics, from a peer or by reading the store
	storeLost        atomic.Bool               // this host's reads of the store fail, at the last heartbeat
	updateSources    updateSources
	newerElsewhere   newerConfiguration
	storeHealth      storeHealth
	encodedStates    encodedStateCache
	decoded          atomic.Pointer[decodedContract] // the newest record that was decoded before it is applied
	invalidEntries   *invalidEntries
	decodedEntries   map[string]decodedEntry // by key; used by the handler of the endpoint topic alone
	evacuations      evacuations
	storedHosts      storedHostList
	storedQuarantine storedQuarantine
	heartbeatNow     chan struct{} // has the next heartbeat sent at once
	meter            rateMeter     // of received
	started          time.Time

	quota            *quota.Limiter // permits for customers' requests; nil if limits are not enforced
	customerRefusals customerRefusals

	splitMu        sync.Mutex
	splitPositions map[string]float64 // by route name, the last number of the sequence that divides its requests among services
}

const (
	// expiredEntryGrace is how long an endpoint stays usable after an outage of the store has ended, if its entry expired during or
	// shortly after the outage. Such an endpoint may only have been unable to renew its entry.
	expiredEntryGrace = 2 * time.Second
	// upstreamIdleTimeout is the idle timeout of connections to endpoints. It is shorter than the time after which upstreams close them.
	upstreamIdleTimeout = 8 * time.Second
	// upstreamConnectTimeout limits connection set-up, so that requests do not wait for an endpoint that does not accept connections
	// at once.
	upstreamConnectTimeout = 150 * time.Millisecond
	// callerDescriptorFraction is the fraction of the file descriptors that callers' connections may use. The rest is for upstreams, the
	// store and peers.
	callerDescriptorFraction = 0.6
	// keptRefusals is the number of refusals that are kept for operators.
	keptRefusals = 2048
	// sweepInterval is the interval at which unused state is removed and the list of the zone's hosts is checked.
	sweepInterval = time.Second
	// unusedStatsLifetime is how long the load and failure statistics of an endpoint are kept after their last use.
	unusedStatsLifetime = time.Minute
	// hostRefreshesPerRead is the number of refreshes between two reads of the host topic.
	hostRefreshesPerRead = 8
	mebibyte             = 1 << 20
	// auxServerTimeout is the read timeout of the servers other than the one for callers' requests, and the write timeout of those with short
	// responses.
	auxServerTimeout = 2 * time.Second
	// maxDirectoryAddresses limits the number of host addresses that the directory returns.
	maxDirectoryAddresses = 64
	// gcPercent is the growth of the heap at which the runtime collects garbage. It also scales the least heap size at which it does so,
	// 4 MiB at 100%, and most hosts need less than that.
	gcPercent = 50
)

// New returns a gateway. It starts nothing; Run does.
func New(s *Settings, a Adapter, logger *eventlog.Log) *Gateway {
	g := &Gateway{settings: s, adapter: a, log: logger, metrics: metrics.New(), refusals: refusals.NewStore(keptRefusals), recent: newRecentRequests(keptRequests),
		endpoints: registry.NewTable(expiredEntryGrace), started: time.Now(), splitPositions: map[string]float64{},
		rateLimits: ratelimits.NewTable(), invalidEntries: newInvalidEntries(), decodedEntries: map[string]decodedEntry{}, heartbeatNow: make(chan struct{}, 1), checkWaysNow: make(chan struct{}, 1),
		newerElsewhere: newerConfiguration{known: make(chan struct{}, 1)}}
	g.routesChanged.Store(new(make(chan struct{})))
	g.memory = newMemoryBudget(s.MemoryMB)
	g.store = countingStore{a.Store, g.metrics, &g.storeHealth}
	g.peers = peers.NewTable(peers.DefaultConfig(peers.Host{Name: s.Host, Zone: s.Zone, Started: g.started.UnixMilli(),
		CallerAddress: s.CallerAddress, PeerAddress: s.advertised(s.PeerAddress), StateAddress: s.advertised(s.StateAddress), Cores: s.Cores, LinkMbps: s.LinkMbps, DetourAddress: s.advertisedDetour()}))
	g.ways, g.hopPool, g.hops = g.newTracker(), g.newHopPool(), g.newHopServer()
	g.rateLimiter = ratelimit.New(ratelimit.Config{Limits: g.rateLimits, Coordinator: g.limitCoordinator, Quorum: g.peers.Quorum, Hosts: g.peers.HostCount,
		OnChange: g.logRateLimit, OnCold: g.logCold,
		ColdTolerance: ratelimit.ColdTolerance{Over: s.ColdOver, Slack: s.ColdSlack}, OnUrgent: g.requestHeartbeat, SendRequest: g.sendPermitRequest, SendGrant: g.sendGrant})
	g.quota = g.newQuota()
	cfg := placement.DefaultConfig()
	cfg.Zone, cfg.RateLimiter = s.Zone, g.rateLimiter
	g.endpointStats = placement.NewEndpointStats(cfg)
	poolConfig := upstreamconn.DefaultConfig()
	poolConfig.Dialect, poolConfig.IdleTimeout, poolConfig.ConnectTimeout = a.Dialect, upstreamIdleTimeout, upstreamConnectTimeout
	poolConfig.MaxPerEndpoint, poolConfig.SourceIP = g.maxConnections, s.upstreamSourceIP
	poolConfig.MaxUnfinishedHeads = maxUnfinishedHeads(s.MemoryMB)
	poolConfig.OnResponse, poolConfig.Leaving = g.recordResponse, g.endpoints.Withdrawn
	poolConfig.Unchecked, poolConfig.OnContactLost, poolConfig.OnOwnDelay = g.unchecked, g.recordContactLost, g.countOwnDelay
	poolConfig.Rejecting = func(id endpoints.ID) bool {
		return g.endpointStats.AnyRejecting() && g.endpointStats.Rejecting(id, time.Now())
	}
	g.pool = upstreamconn.NewPool(poolConfig)
	repeatLimiter := placement.NewRepeatLimiter(placement.RepeatBudget{Ratio: s.RepeatRatio, Burst: s.RepeatBurst,
		Window: time.Duration(s.RepeatWindowS * float64(time.Second))}, g.repeatBudgetParts)
	g.crashGuard = quarantine.New(quarantine.Config{RefusesConnections: g.pool.RefusesConnections, ClosesUnanswered: g.closesUnanswered, OthersAnswer: g.othersAnswer, OnUndecided: g.logUndecided,
		OnHeld: g.logHeldEnd, MayTry: g.mayTryQuarantined, OnCrash: g.logCrash, OnVerdict: g.logVerdict, OnUrgent: g.requestHeartbeat})
	g.forwarder = forward.New(forward.Config{Sender: g.pool, Prober: g.pool, EndpointStats: g.endpointStats, RepeatLimiter: repeatLimiter,
		ProbeBudget: placement.NewProbeBudget(g.probeRate), RateLimiter: g.rateLimiter, CrashGuard: g.crashGuard, Detour: detourSender{g.ways, g}, Endpoints: g.endpoints.Snapshot, OnPanic: g.reportPanic,
		Withdrawn: g.endpoints.Withdrawn, OrderByValue: g.ordersByValue, Stopped: g.drainEnded, MayBeCut: g.mayBeCut, ReserveMemory: g.reserveResponse, ReleaseMemory: g.releaseResponse,
		OnCut: g.reportCut, OnSilence: g.reportSilence, Lateness: &g.lateness})
	g.callers = ingress.New(ingress.Config{Handler: g, Limits: g.callerLimits, MaxConnections: int(float64(s.MaxDescriptors) * callerDescriptorFraction),
		Memory: g.memory, MaxPipelined: max(minPipelined, int(s.Cores*pipelinedPerCore)), PipelinedPerS: s.Cores * pipelinedPerCoreS,
		OnEvicted: g.reportEvicted, OnRefused: g.reportUnreadRequest, OnPanic: g.reportRequestPanic,
		OnUndelivered: g.reportUndelivered, OnClosed: g.reportClosed})
	g.follower = follow.New(follow.Config{Store: g.store, Feeds: g.feeds(),
		MaxAge:    func() time.Duration { return g.peers.MaxAge(time.Now()) },
		ReadDelay: func() time.Duration { return g.peers.ReadDelay(time.Now()) },
		Watches:   func() bool { return g.peers.WatchesStore(time.Now()) }, SendUpdate: g.sendUpdate,
		OnRefresh: func(r follow.RefreshInfo) {
			if !g.hasStoreCopy.Swap(true) {
				g.updateStatus()
				g.sendHeartbeat() // starting hosts of this zone may wait for a host that has a copy of the store's topics
			}
			g.log.Info("store_read", "reason", r.Reason, "age_ms", ms(r.Age), "took_ms", ms(r.Took), "topics", r.Topics, "records", r.Records)
		},
		OnStoreLost: func(err error) {
			g.log.Warn("store_lost", "error", err)
			g.announceStoreStatus()
		},
		OnStoreRecovered: func(outage time.Duration) {
			g.log.Info("store_regained", "away_ms", outage.Milliseconds())
			g.announceStoreStatus()
		},
		OnRefreshFailed: g.endpoints.RestartGracePeriods,
		FetchChanges:    g.fetchChanges,
		OnEpochChange:   g.beginStoreEpoch,
		OnSkip:          g.logSkip,
		MaxUnusedBytes:  maxUnusedBytes(s.MemoryMB),
		OnCatchUpFailed: func(err error) { g.log.Warn("changes_not_fetched", "error", err) }})
	return g
}

// usedProbeFraction is the fraction of the allowed load probes that the hosts advertised by the directory use. The rest is left for other
// hosts, which callers may still use with older addresses.
const usedProbeFraction = 0.85

// probeRate returns how many load probes per second this host may send to all endpoints together.
func (g *Gateway) probeRate() float64 {
	return usedProbeFraction * g.settings.ProbesPerS * float64(g.endpoints.Snapshot().Total) / float64(g.peers.AdvertisedHostCount(time.Now()))
}

// reportRequestPanic reports a panic in the handling of a request.
func (g *Gateway) reportRequestPanic(r *ingress.Request, value any, stack []byte) {
	g.reportPanic(r.Header.Get(g.adapter.Dialect.RequestID), value, stack)
}

// maxLoggedReason is the maximum number of bytes that are logged of the reason why a request was not read. It may quote the request.
const maxLoggedReason = 120

// reportUnreadRequest counts and logs a request that was refused before it reached Serve.
func (g *Gateway) reportUnreadRequest(caller net.Addr, header http.Header, status int, reason string) {
	reason = g.withoutKey(reason)
	g.metrics.Add("requests_unread_"+strconv.Itoa(status)+"_total", 1)
	g.log.InfoOf(strconv.Itoa(status), "refused_unread", "id", header.Get(g.adapter.Dialect.RequestID), "caller", caller.String(), "status", status,
		"reason", reason[:min(maxLoggedReason, len(reason))], "connections", g.callers.Connections())
}

// reportUndelivered counts a response that did not reach its caller. It logs it unless the caller disconnected, which the line of the request
// tells.
func (g *Gateway) reportUndelivered(r *ingress.Request, resp *ingress.Response, cause error) {
	if errors.Is(cause, ingress.ErrCallerLeft) {
		g.metrics.Add("responses_undelivered_caller_left_total", 1)
		return
	}
	g.metrics.Add("responses_undelivered_total", 1)
	g.log.Warn("response_undelivered", "id", r.Header.Get(g.adapter.Dialect.RequestID), "status", resp.Status, "cause", cause,
		"read_ms_ago", ms(time.Since(r.HeaderReadAt)), "unread_ms", ms(r.Unread), "draining", g.draining.Load())
}

// reportPanic counts and logs a panic that ended a request, a send to an endpoint or a load probe.
func (g *Gateway) reportPanic(requestID string, value any, stack []byte) {
	g.metrics.Add("panics_total", 1)
	g.log.Warn("panic", "id", requestID, "value", value, "stack", string(stack))
}

// minConnectionsPerEndpoint is the least number of connections that a host may open to an endpoint, however many hosts share its limit.
// With two, a host can send a load probe while a request is running.
const minConnectionsPerEndpoint = 2

// maxConnections returns the number of connections that this host may open to an endpoint: its part of the service's limit for all
// hosts together. 0 means no limit.
func (g *Gateway) maxConnections(e endpoints.Endpoint) int {
	t := g.routes.Load()
	if t == nil {
		return 0
	}
	s := t.Service(e.Service)
	if s == nil || s.MaxConnections == 0 {
		return 0
	}
	return max(minConnectionsPerEndpoint, s.MaxConnections/g.peers.HostCount())
}

// Run serves until the context ends, then drains and stops. It returns early with an error if it cannot listen on one of its addresses.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(g.settings.MemoryMB * heapFraction * mebibyte))
	debug.SetGCPercent(gcPercent)
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
	if g.settings.DetourAddress != "" {
		l, err := listen(g.settings.DetourAddress)
		if err != nil {
			return err
		}
		group.Go(func() error { return g.hops.Serve(l) })
	}
	for _, aux := range g.auxServers() {
		l, err := listen(aux.address)
		if err != nil {
			return err
		}
		server, l := g.newAuxServer(aux, l)
		servers = append(servers, server)
		group.Go(func() error { return ignoreClosed(server.Serve(l)) })
	}
	g.registerGauges()
	runCtx, stop := context.WithCancel(context.Background())
	group.Go(func() error { return g.link.Receive(g.receiveMessage, g.handleMalformed) })
	group.Go(func() error { return g.callers.Serve(callers) })
	group.Go(func() error { g.sendHeartbeats(runCtx); return nil })
	group.Go(func() error { g.followStore(runCtx); return nil })
	group.Go(func() error { g.discoverHosts(runCtx); return nil })
	group.Go(func() error { g.fetchNewerConfigurations(runCtx); return nil })
	group.Go(func() error { g.sweep(runCtx); return nil })
	group.Go(func() error { g.checkWays(runCtx); return nil })
	group.Go(func() error { g.maintainHostList(runCtx); return nil })
	group.Go(func() error { g.maintainQuota(runCtx); return nil })
	g.log.Info("started", "zone", g.settings.Zone, "callers", g.settings.CallerAddress, "store", g.settings.StoreAddress)
	<-ctx.Done()
	auxCtx, cancel := context.WithTimeout(context.Background(), time.Duration(float64(g.settings.grace())*auxStopFraction))
	defer cancel()
	g.drain()
	stop()
	stopAuxServers(auxCtx, servers)
	g.link.Close()
	err = group.Wait()
	g.log.Info("stopped", "error", err)
	return trace.Wrap(err)
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, trace.Wrap(err, "listen on %s; stop the process that uses it or change the settings", address)
}

// ignoreClosed returns nil for the error with which a server returns after it was closed.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// ready reports whether this host accepts requests: it has routes and a copy of the store's topics, and is not draining.
func (g *Gateway) ready() bool {
	_, hasCopy := g.follower.Age(time.Now())
	return hasCopy && g.routes.Load() != nil && !g.draining.Load()
}

// sleep sleeps for the given time or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// sweep removes expired endpoints four times per sweepInterval, and once per sweepInterval idle connections, the statistics of unused
// endpoints, old encoded states and hosts that have been silent for too long.
func (g *Gateway) sweep(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		g.lateness.Sleep(ctx, sweepInterval/4)
		now := time.Now()
		for _, c := range g.endpoints.Expire(now) {
			g.logEndpointChange(c, sourceStore)
		}
		g.coordinateLimits(now)
		if n%4 == 0 {
			g.reportLateness(now)
			g.pool.CloseIdle(now)
			g.hopPool.CloseIdle(now)
			g.ways.Evict(now)
			g.endpointStats.EvictUnused(unusedStatsLifetime, now)
			g.rateLimits.Evict(g.endpoints.Withdrawn, now)
			g.rateLimiter.EvictUnused(now)
			g.maintainQuarantine(ctx, now)
			g.encodedStates.evictOld(now)
			for _, name := range g.peers.RemoveSilent(now) {
				g.log.Info("host", "name", name, "state", "forgotten")
			}
		}
	}
}
