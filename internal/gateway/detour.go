package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/detour"
	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/forward"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/protocol/hop"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/internal/transport/ingress"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerlink"
	"github.com/arbutusspan/arbutusspan/internal/transport/upstreamconn"
)

const (
	// hopsPerCore is the number of requests per processor core that a host handles for other hosts at a time, minHops the least number.
	hopsPerCore = 200
	minHops     = 16
	// maxHopConnections bounds the connections to one other host.
	maxHopConnections = 64
	// hopVersionWait bounds how long a request of another host waits for the configuration that the other host has, hopVersionShare the part of the time
	// left that this may take. Hosts learn of a change within milliseconds of each other, unless it is too large for one datagram.
	hopVersionWait  = 300 * time.Millisecond
	hopVersionShare = 0.25
	// askedHostsPerZone is the number of hosts of each other zone that a host asks whether they reach a service.
	askedHostsPerZone = 3
)

// hopDialect describes the headers of requests between hosts.
var hopDialect = upstreamconn.Dialect{RequestID: hop.HeaderRequestID, DeadlineMS: hop.HeaderDeadlineMS, EchoesID: true, SingleResponses: true,
	Interpret: func(endpoints.Endpoint, *executor.Response) {}}

// newTracker returns the tracker of this host's ways to the endpoints.
func (g *Gateway) newTracker() *detour.Tracker {
	return detour.NewTracker(detour.Config{Host: g.settings.Host, Zone: g.settings.Zone, OnChange: g.reportWay, OnUrgent: g.requestHeartbeat, Lateness: &g.lateness,
		Endpoints: func(service string) int { return len(g.endpoints.Snapshot().Services[service]) }, Random: rand.Float64, RandomIndex: rand.IntN})
}

// newHopPool returns the pool of connections to other hosts.
func (g *Gateway) newHopPool() *upstreamconn.Pool {
	cfg := upstreamconn.DefaultConfig()
	cfg.Dialect, cfg.IdleTimeout, cfg.ConnectTimeout = hopDialect, upstreamIdleTimeout, upstreamConnectTimeout
	cfg.MaxPerEndpoint, cfg.OnOwnDelay = func(endpoints.Endpoint) int { return maxHopConnections }, g.countOwnDelay
	cfg.MaxHeaderBytes += hop.MaxHeaderBytes
	cfg.MaxUnfinishedHeads = maxUnfinishedHeads(g.settings.MemoryMB)
	return upstreamconn.NewPool(cfg)
}

// newHopServer returns the server for the requests of other hosts' callers.
func (g *Gateway) newHopServer() *ingress.Server {
	return ingress.New(ingress.Config{Handler: hopHandler{g}, MaxConnections: max(minHops, int(g.settings.Cores*hopsPerCore)),
		Memory: newHopBudget(g.settings.MemoryMB), OnEvicted: g.reportEvicted, OnRefused: g.reportUnreadRequest, OnPanic: g.reportRequestPanic,
		OnUndelivered: g.reportUndelivered, OnClosed: g.reportClosed, Limits: func() routing.Limits {
			l := g.limits()
			l.MaxHeaderBytes += hop.MaxHeaderBytes
			l.IdleTimeout = max(l.IdleTimeout, 2*upstreamIdleTimeout) // the other host closes idle connections first
			return l
		}})
}

// detourSender implements forward.Detour.
type detourSender struct {
	*detour.Tracker
	g *Gateway
}

// Send implements forward.Detour.
func (s detourSender) Send(ctx context.Context, h peers.Host, c *executor.Call, r *detour.HopRequest) (*executor.Response, *detour.HopResult, error) {
	g := s.g
	call := *c
	call.Header = c.Header.Clone()
	r.From = g.settings.Host
	hop.SetKey(call.Header, c.Credential)
	if err := hop.SetRequest(call.Header, r); err != nil {
		return nil, nil, &executor.SendError{Err: err}
	}
	g.metrics.Add("hops_sent_total", 1)
	target := endpoints.Endpoint{ID: endpoints.ID{Address: h.DetourAddress, Incarnation: strconv.FormatInt(h.Started, 10)}, Zone: h.Zone}
	resp, err := g.hopPool.Send(ctx, target, &call)
	if err != nil {
		g.metrics.Add("hops_failed_total", 1)
		return nil, nil, err
	}
	result, err := hop.GetResult(resp.Header)
	if err != nil && !trace.IsNotFound(err) {
		resp.Body.Close()
		return nil, nil, &executor.SendError{Written: true, Err: err}
	}
	resp.Header = callerapi.EndToEndHeaders(resp.Header, hop.IsHeader)
	if result != nil {
		g.recordVersion(h, result.Version)
	}
	if result != nil && forward.Outcome(result.Outcome) == forward.Answered {
		g.recordPassedOn(result.ID, resp)
	}
	return resp, result, nil
}

// recordPassedOn records what an endpoint says of itself in a response that arrived through another host. Its rejections are meant for that host.
func (g *Gateway) recordPassedOn(id endpoints.ID, r *executor.Response) {
	e, ok := g.endpoints.Endpoint(id)
	if !ok {
		return
	}
	g.adapter.Dialect.Interpret(e.Endpoint, r)
	r.NotRun, r.RejectedFor, r.MalformedDelay = false, 0, ""
	if r.Replaced {
		return
	}
	g.recordRateLimit(e.Endpoint, r)
	if r.Leaving && g.logEndpointChange(g.endpoints.MarkLeaving(e.ID, true, time.Now()), sourceResponse) {
		g.requestHeartbeat()
	}
}

// hopHandler implements ingress.Handler for requests that other hosts got from their callers.
type hopHandler struct{ g *Gateway }

// MayRunConcurrently implements ingress.Handler. Hosts send no request before the last one of the connection is answered.
func (h hopHandler) MayRunConcurrently(*ingress.Request) bool { return true }

// Serve implements ingress.Handler.
func (h hopHandler) Serve(ctx context.Context, r *ingress.Request) *ingress.Response {
	g := h.g
	g.received.Add(1)
	g.recordRead(r)
	g.metrics.Add("hops_received_total", 1)
	id := r.Header.Get(g.adapter.Dialect.RequestID)
	sequence, status := g.recent.begin(id, r.ArrivedAt()), requestPanicked
	defer func() { g.recent.end(sequence, status, time.Now()) }()
	response := h.serve(ctx, r, id)
	status = response.Status
	return response
}

// serve forwards a request to an endpoint, or refuses it.
func (h hopHandler) serve(ctx context.Context, r *ingress.Request, id string) *ingress.Response {
	g := h.g
	request, err := hop.GetRequest(r.Header)
	if err != nil {
		g.log.Warn("hop_unreadable", "id", id, "error", err)
		return h.respond(r, &forward.Result{Outcome: forward.RefusedUnsent, Detail: "the request of the other host cannot be read"})
	}
	if from, ok := g.peers.Host(request.From); ok {
		g.recordVersion(from, request.Version)
	}
	table := h.awaitRoutes(ctx, r, request.Version)
	if table == nil || table.Version < request.Version {
		return h.refuse(r, id, request, forward.RefusedNoEndpoint, "this host has an older configuration")
	}
	route := table.Match(r.Host, r.Path)
	if route == nil {
		return h.refuse(r, id, request, forward.RefusedNoEndpoint, "a newer configuration has no route for the request")
	}
	timeout, _ := g.requestTimeout(r.Header.Get(hop.HeaderDeadlineMS), route)
	deadline := r.ArrivedAt().Add(timeout)
	if timeout <= 0 || !time.Now().Before(deadline) {
		return h.refuse(r, id, request, forward.RefusedUnsent, "no time is left for the request")
	}
	if g.mayBeCut(deadline) {
		return h.refuse(r, id, request, forward.RefusedNoEndpoint, "this host stops before the deadline of the request")
	}
	who := g.identifyHop(table, route, r.Header)
	if who.refusal != nil {
		return h.refuse(r, id, request, forward.RefusedRevoked, who.refusal.Detail)
	}
	service := request.Service
	switch {
	case request.Version < table.Version:
		// The other host goes on with its older configuration. By the newer one, its callers would see that and then the older one again.
		if table.Service(service) == nil {
			return h.refuse(r, id, request, forward.RefusedNoEndpoint, "a newer configuration does not have the service")
		}
	case !route.GoesTo(service):
		service = route.ServiceAt(g.nextSplitPosition(route.Name))
	}
	call := &forward.Call{Route: route, Service: table.Service(service), Due: deadline, Arrived: r.ArrivedAt().Add(-request.WaitedFor()), AnswerDelay: answerDelay(r), Caller: request.Caller, Version: table.Version,
		Handover: &forward.Handover{Host: request.From, Attempts: request.Attempts, Tried: request.Tried, Counted: request.Counted, Late: request.Late,
			WaitedBefore: request.WaitedBeforeFor()},
		Call: &executor.Call{RequestID: id, Method: r.Method, Path: r.Target, Header: g.endpointHeader(table, r.Header, who, hop.IsHeader), Body: r.Body,
			RetainBody: r.RetainBody, Deadline: deadline, Host: r.Host}}
	who.addTo(call)
	res := g.forwarder.Run(ctx, call)
	checkRevoked(call, res)
	g.logRequest(ctx, r, id, table, call, res)
	return h.respond(r, res)
}

// awaitRoutes waits for a configuration that the other host has already.
func (h hopHandler) awaitRoutes(ctx context.Context, r *ingress.Request, version uint64) *routing.Table {
	wait := hopVersionWait
	if left := statedTime(r.Header.Get(hop.HeaderDeadlineMS)); left > 0 {
		wait = min(wait, time.Duration(hopVersionShare*float64(left)))
	}
	ctx, cancel := context.WithDeadline(ctx, r.ArrivedAt().Add(wait))
	defer cancel()
	return h.g.awaitRoutes(ctx, version)
}

// refuse refuses a request that was not forwarded, so that the other host may send it elsewhere.
func (h hopHandler) refuse(r *ingress.Request, id string, request *detour.HopRequest, outcome forward.Outcome, detail string) *ingress.Response {
	h.g.metrics.Add("hops_refused_total", 1)
	h.g.log.Info("hop_refused", "id", id, "for", request.From, "outcome", outcome, "version", request.Version, "detail", detail)
	return h.respond(r, &forward.Result{Outcome: outcome, Detail: detail})
}

// respond returns the response to the other host: the endpoint's response, or one without content.
func (h hopHandler) respond(r *ingress.Request, res *forward.Result) *ingress.Response {
	out := &ingress.Response{Status: http.StatusServiceUnavailable, Header: http.Header{}}
	if res.Outcome == forward.Answered {
		out = responseOf(res)
	}
	result := &detour.HopResult{Outcome: string(res.Outcome), Retry: ms(res.RetryAfter), Sends: res.Sends(), ID: res.ID, Detail: res.Detail, Version: h.g.version()}
	if err := hop.SetResult(out.Header, result); err != nil {
		panic(err) // strings and numbers only
	}
	if id := r.Header.Get(hop.HeaderRequestID); id != "" {
		out.Header[hop.HeaderRequestID] = []string{id}
	}
	return out
}

// reportWay logs a change of this host's belief about its way to the endpoints of a service, and has requests and other hosts act on it.
func (g *Gateway) reportWay(c detour.Change) {
	g.metrics.Add("ways_"+c.State+"_total", 1)
	g.log.Info("way", "service", c.Service, "state", c.State, "was", c.Was, "held_ms", ms(c.Held), "answered_ago_ms", ms(c.SinceAnswer), "failures", c.Failures,
		"endpoints", c.FailedEndpoints, "witness", c.Witness, "witness_age_ms", ms(c.WitnessAge), "own_delay_ms", ms(c.OwnDelay))
	if c.State == detour.Cut {
		g.forwarder.WakeAll(c.Service)
	}
	g.updateStatus()
	select {
	case g.checkWaysNow <- struct{}{}:
	default: // a check is due already
	}
}

// checkWays checks endpoints of the services to which this host has lost its way, and of those about which other hosts ask, until the context ends.
func (g *Gateway) checkWays(ctx context.Context) {
	for ctx.Err() == nil {
		due := g.ways.DueChecks(time.Now())
		for _, service := range due {
			g.checkEndpoints(service)
		}
		if g.ways.NeedsChecks() {
			g.lateness.Sleep(ctx, detour.CheckInterval/2)
			continue
		}
		select {
		case <-g.checkWaysNow:
		case <-ctx.Done():
		}
	}
}

// checkedEndpoints is the number of endpoints that one check of the way to a service probes.
const checkedEndpoints = 2

// checkEndpoints probes random endpoints of a service.
func (g *Gateway) checkEndpoints(service string) {
	path, list := g.healthPath(service), g.endpoints.Snapshot().Services[service]
	if path == "" || len(list) == 0 {
		return
	}
	start := rand.IntN(len(list))
	for n := range min(checkedEndpoints, len(list)) {
		g.metrics.Add("way_checks_total", 1)
		g.forwarder.CheckEndpoint(*list[(start+n)%len(list)], path)
	}
}

// handleWayReport handles what a message of another host says about its ways to the services.
func (g *Gateway) handleWayReport(m *peerlink.Message, now time.Time) {
	if g.ways.HandleReport(m.From, m.Status.Ready && !m.Status.Leaving, m.Ways, now) {
		g.send(peerlink.Message{Ways: g.ways.Report(now)}, []string{m.From.PeerAddress})
	}
	if m.Ways != nil && m.Ways.Asks {
		select {
		case g.checkWaysNow <- struct{}{}:
		default:
		}
	}
}

// askOtherZones returns the addresses of random hosts of other zones, if this host needs one that reaches a service.
func (g *Gateway) askOtherZones(r *detour.Report) []string {
	if r == nil || !r.Asks {
		return nil
	}
	return peerAddresses(g.peers.SampleOtherZones(askedHostsPerZone, rand.IntN))
}
