package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/probing"
	"github.com/arbutusspan/arbutusspan/internal/coordination/rendezvous"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// Member is an entry host in the membership view.
type Member struct{ Host, Incarnation, Zone string }

// Membership is this host's view of the entry hosts.
type Membership interface {
	Self() Member
	// Serving returns the hosts that can own services.
	Serving() []Member
	// KnownHosts returns the number of entry hosts that might serve requests, regardless of their state.
	KnownHosts() int
	// Changed returns a channel that is closed, or receives a value, at the next change.
	Changed() <-chan struct{}
}

// EndpointSource returns the usable endpoints of a service.
type EndpointSource interface {
	Snapshot(service string) *endpoints.Snapshot
}

// RouterConfig holds what a Router needs.
type RouterConfig struct {
	Membership Membership
	Endpoints  EndpointSource
	// MarkLeaving marks an endpoint as leaving, so that it receives no new requests. It is called before the queue processes the
	// outcome that reported it.
	MarkLeaving func(endpoints.ID) bool
	Dialer      StreamDialer
	// Probe checks the health of an ejected endpoint; its error means that the endpoint fails. If Probe is nil, nothing is probed.
	Probe func(ctx context.Context, e endpoints.Endpoint) error
	// OnTooManyHosts is called, once per service, if more entry hosts are known than the number by which its contracts divide the
	// measuring budget. It may be nil.
	OnTooManyHosts func(service string, known int)
	// OnUnresponsive is called with the name of an owner that does not respond. It may be nil.
	OnUnresponsive func(host string)
	// Prefetch is the number of grants per endpoint beyond its slots.
	Prefetch int
}

// Router implements Granter. It acquires grants from the owner of a service, which may be this host. If the owner does not respond, the
// request is sent to the standby, the host that is second in the rendezvous ranking of the service, which serves as acting owner for a
// limited time. If that host does not respond either, a fallback queue at this host grants this host's part of the service. A router
// also serves other hosts as owner and acting owner. It is safe for concurrent use.
type Router struct {
	cfg         RouterConfig
	self        string
	ctx         context.Context
	stop        context.CancelFunc
	lastRef     atomic.Uint64
	lastSession atomic.Uint64
	view        atomic.Pointer[membershipView]
	mu          sync.RWMutex
	services    map[string]*serviceState
	links       map[string]*link
	probeBudget *probing.Budget
	applyMu     sync.Mutex // held while a membership view or limits are applied
}

// membershipView is a copy of what Membership returned at one time.
type membershipView struct {
	hosts []string // serving
	known int      // Membership.KnownHosts
}

// serviceState is the state of one service. Each has its own lock.
type serviceState struct {
	name          string
	ownerQueue    *Queue // used while this host is the owner or acting owner
	fallbackQueue *Queue // grants this host's part if neither the owner nor the standby responds
	mu            sync.Mutex
	ownership     ownership
	acting        actingPeriod
	snapshot      *endpoints.Snapshot
	openGrants    map[uint64]*openGrant // open grants of this host as the executor
	syncedOwner   grantOwner            // the owner or acting owner that counts all of openGrants
	// notOwnerUntil is the earliest time at which requests may be sent again to a standby that replied NotOwner.
	notOwnerUntil        time.Time
	timer                *time.Timer
	tickAt               time.Time          // zero if no tick is scheduled
	budget               limits.ProbeBudget // measuring budget
	tooManyHostsReported atomic.Bool        // OnTooManyHosts was called
}

// openGrant is an open grant of this host as the executor.
type openGrant struct {
	OpenGrant
	owners []grantOwner // all that count it; the first one issued it
}

// grantOwner identifies an owner that counts a grant: a queue at this host, or one connection to another host.
type grantOwner struct {
	queue      *Queue
	link       *link
	generation uint64
}

// localSession is the session of this host's own requests.
const localSession = 0

// errOwnerChanged ends the wait of a request that has to be sent to another owner. It never leaves this package.
var errOwnerChanged = &DeniedError{Reason: refusals.NoUpstream, Detail: "the queue moved to another host", RetryAfter: minRetryAfter}

// NewRouter returns a router and starts to follow the membership. Close stops it.
func NewRouter(cfg RouterConfig) *Router {
	rt := &Router{cfg: cfg, self: cfg.Membership.Self().Host, services: map[string]*serviceState{}, links: map[string]*link{},
		probeBudget: probing.NewBudget()}
	rt.ctx, rt.stop = context.WithCancel(context.Background())
	// References must differ from those of an earlier incarnation, because an owner may still count its grants.
	rt.lastRef.Store(uint64(time.Now().UnixNano()))
	changed := cfg.Membership.Changed()
	rt.applyView()
	go rt.followMembership(changed)
	return rt
}

// Close closes the connections to owners. Waiting requests are then granted from this host's part.
func (rt *Router) Close() {
	rt.stop()
	rt.mu.RLock()
	defer rt.mu.RUnlock()
	for _, l := range rt.links {
		l.mu.Lock()
		if l.out != nil {
			l.out.close()
		}
		l.mu.Unlock()
	}
}

func (rt *Router) followMembership(changed <-chan struct{}) {
	for {
		select {
		case <-rt.ctx.Done():
			return
		case <-changed:
		}
		changed = rt.cfg.Membership.Changed() // before the view is read, so that no later change is missed
		rt.applyView()
	}
}

// SetLimits applies the limits of a new configuration.
func (rt *Router) SetLimits(set limits.Set) {
	rt.applyMu.Lock()
	defer rt.applyMu.Unlock()
	// Each queue receives only the limits of its own service, because it iterates over all limits that it receives.
	limitsByService := map[string]limits.Set{}
	for key, l := range set {
		if limitsByService[key.Service] == nil {
			limitsByService[key.Service] = limits.Set{}
		}
		limitsByService[key.Service][key] = l
	}
	rt.mu.Lock()
	var added []*serviceState
	for service, serviceLimits := range limitsByService {
		if rt.services[service] == nil {
			svc := newServiceState(service, rt.cfg.Prefetch, serviceLimits)
			rt.services[service] = svc
			added = append(added, svc)
		}
	}
	all := slices.Collect(maps.Values(rt.services))
	rt.mu.Unlock()
	now := time.Now()
	for _, svc := range added {
		rt.applyViewTo(svc)
	}
	for _, svc := range all {
		serviceLimits := limitsByService[svc.name]
		svc.mu.Lock()
		svc.budget = probeBudgetOf(serviceLimits, svc.name)
		svc.mu.Unlock()
		svc.ownerQueue.SetLimits(now, serviceLimits)
		svc.fallbackQueue.SetLimits(now, serviceLimits)
	}
}

func newServiceState(name string, prefetch int, set limits.Set) *serviceState {
	now := time.Now()
	return &serviceState{name: name, ownerQueue: newInactiveQueue(now, name, prefetch, set),
		fallbackQueue: newInactiveQueue(now, name, 0, set), openGrants: map[uint64]*openGrant{}}
}

func (rt *Router) service(name string) *serviceState {
	rt.mu.RLock()
	defer rt.mu.RUnlock()
	return rt.services[name]
}

func (rt *Router) link(host string) *link {
	rt.mu.RLock()
	l := rt.links[host]
	rt.mu.RUnlock()
	if l != nil {
		return l
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if l = rt.links[host]; l == nil {
		l = &link{rt: rt, host: host, pending: map[uint64]*pending{}}
		rt.links[host] = l
	}
	return l
}

// applyView reads the membership view and applies it to all services and connections.
func (rt *Router) applyView() {
	rt.applyMu.Lock()
	defer rt.applyMu.Unlock()
	v := &membershipView{known: max(1, rt.cfg.Membership.KnownHosts())}
	for _, m := range rt.cfg.Membership.Serving() {
		v.hosts = append(v.hosts, m.Host)
	}
	// Most new views differ only in a configuration position, which is not used here. Ranking the hosts again for each service
	// would take 13 ms with 271 services and 188 hosts.
	if previous := rt.view.Load(); previous != nil && previous.known == v.known && slices.Equal(previous.hosts, v.hosts) {
		return
	}
	rt.view.Store(v)
	rt.mu.RLock()
	services := slices.Collect(maps.Values(rt.services))
	links := slices.Collect(maps.Values(rt.links))
	rt.mu.RUnlock()
	for _, svc := range services {
		rt.applyViewTo(svc)
	}
	for _, l := range links {
		l.mu.Lock()
		l.failPending(func(p *pending) bool {
			current := p.service.currentOwnership()
			return current.owner != l.host && !(p.acting && current.standby == l.host)
		})
		l.mu.Unlock()
		rt.closeIfUnused(l)
	}
}

// closeIfUnused closes the connection to a host that owns no service any more, counts no open grant and has no pending request.
func (rt *Router) closeIfUnused(l *link) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for _, svc := range rt.services {
		svc.mu.Lock()
		used := svc.ownership.owner == l.host
		for _, g := range svc.openGrants {
			used = used || slices.ContainsFunc(g.owners, func(owner grantOwner) bool { return owner.link == l })
		}
		svc.mu.Unlock()
		if used {
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out != nil && len(l.pending) == 0 {
		l.out.close()
		l.out = nil // not a failure: there is no delay before the next connection, and the host is not reported as unresponsive
	}
}

// applyViewTo applies the current membership view to one service.
func (rt *Router) applyViewTo(svc *serviceState) {
	v := rt.view.Load()
	now := time.Now()
	ranked := rendezvous.Rank(svc.name, v.hosts)
	part := Part{Index: slices.Index(ranked, rt.self), Count: max(v.known, len(ranked))}
	if part.Index < 0 {
		part.Index = len(ranked) // a host that is not in the list uses the next part, which no listed host uses
	}
	svc.fallbackQueue.SetPart(now, part)
	var current ownership
	if len(ranked) > 0 {
		current.owner = ranked[0]
	}
	if len(ranked) > 1 {
		current.standby = ranked[1]
	}
	svc.mu.Lock()
	previous := svc.ownership
	svc.ownership = current
	if current.owner != previous.owner {
		svc.syncedOwner = grantOwner{}
	}
	svc.notOwnerUntil = time.Time{}
	svc.acting.resetTotal(now)
	switch {
	case current.owner == rt.self && previous.owner != rt.self:
		if !svc.acting.active(now) { // else they were emptied when this host became acting owner
			svc.ownerQueue.EmptyBuckets(now)
		}
		svc.acting = actingPeriod{}
		svc.addOwnGrants(rt.self, now)
	case previous.owner == rt.self && current.owner != rt.self:
		svc.ownerQueue.DenySession(localSession, errOwnerChanged)
	}
	svc.mu.Unlock()
	if previous.owner == rt.self && current.owner != rt.self {
		rt.scheduleTick(svc, sweepInterval) // the queue may become inactive
	}
	if current.owner != "" && current.owner != rt.self && svc.hasOpen() {
		go rt.connectAndReportOpenGrants(svc, current.owner)
	}
}

// addOwnGrants adds this host's own open grants to its queue. svc.mu is held, so that no grant is released before it is added.
func (svc *serviceState) addOwnGrants(self string, now time.Time) {
	svc.syncedOwner = grantOwner{queue: svc.ownerQueue}
	svc.ownerQueue.AddOpenGrants(now, localSession, self, svc.openGrantsFor(svc.syncedOwner))
}

func (svc *serviceState) hasOpen() bool {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return len(svc.openGrants) > 0
}

// openGrantsFor returns the open grants and records that owner counts them from now on. svc.mu is held.
func (svc *serviceState) openGrantsFor(owner grantOwner) []OpenGrant {
	open := make([]OpenGrant, 0, len(svc.openGrants))
	for _, g := range svc.openGrants {
		if !slices.Contains(g.owners, owner) {
			g.owners = append(g.owners, owner)
		}
		open = append(open, g.OpenGrant)
	}
	return open
}

// connectAndReportOpenGrants connects to an owner and reports the open grants of a service to it.
func (rt *Router) connectAndReportOpenGrants(svc *serviceState, owner string) {
	l := rt.link(owner)
	timer := time.NewTimer(reportOpenGrantsTimeout)
	defer timer.Stop()
	if out, generation, ok := l.connected(rt.ctx, timer.C); ok {
		rt.reportOpenGrants(svc, l, out, generation)
	}
}

// reportAllOpenGrants reports the open grants of all services of an owner. The owner released them when the previous connection broke.
func (rt *Router) reportAllOpenGrants(owner string) {
	rt.mu.RLock()
	services := slices.Collect(maps.Values(rt.services))
	rt.mu.RUnlock()
	for _, svc := range services {
		if rt.ctx.Err() == nil && svc.currentOwnership().owner == owner && svc.hasOpen() {
			rt.connectAndReportOpenGrants(svc, owner)
		}
	}
}

// reportOpenGrants reports the open grants to an owner that does not know them. It is called before the first request for the service is
// sent on a connection.
func (rt *Router) reportOpenGrants(svc *serviceState, l *link, out *outbox, generation uint64) {
	owner := grantOwner{link: l, generation: generation}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if svc.syncedOwner == owner {
		return
	}
	svc.syncedOwner = owner
	if open := svc.openGrantsFor(owner); len(open) > 0 {
		out.put(&GrantMessage{Kind: KindReportOpenGrants, Service: svc.name, OpenGrants: open})
	}
}

// decisionChan is the Waiter for requests of this host in its own queues.
type decisionChan chan Decision

func (w decisionChan) Decided(_ Key, d Decision) { w <- d }

// Acquire implements Granter.
func (rt *Router) Acquire(ctx context.Context, r Request) (Grant, error) {
	svc := rt.service(r.Service)
	if svc == nil {
		return Grant{}, notInContractDenial(r.Service)
	}
	for {
		ref, d, issuer, err := rt.acquireOnce(ctx, svc, r)
		switch {
		case err != nil:
			return Grant{}, err
		case d.Denied == errOwnerChanged:
			continue
		case d.Denied != nil:
			return Grant{}, d.Denied
		}
		g := &openGrant{OpenGrant: OpenGrant{Ref: ref, Customer: r.Customer, Class: r.Class, Endpoint: d.Endpoint.ID, Deadline: r.Deadline},
			owners: []grantOwner{issuer}}
		owner := rt.self
		if issuer.link != nil {
			owner = issuer.link.host
		}
		svc.mu.Lock()
		svc.openGrants[ref] = g
		if issuer.queue == svc.fallbackQueue {
			svc.syncedOwner = grantOwner{} // the grant is reported to the owner with the next request
		}
		svc.mu.Unlock()
		return Grant{ID: ref, Endpoint: d.Endpoint, Owner: owner, Trial: d.Trial}, nil
	}
}

// acquireOnce requests a grant from the owner, from the standby if the owner does not respond, and from this host's fallback queue if
// neither responds. If a host is reachable but does not acknowledge the request in time, the fallback queue is used at once, because a
// second owner would serve at the same time as the first one. acquireOnce returns errOwnerChanged as the denial if the request has to be
// repeated. The error is the context's.
func (rt *Router) acquireOnce(ctx context.Context, svc *serviceState, r Request) (ref uint64, d Decision, issuer grantOwner, err error) {
	ref = rt.lastRef.Add(1)
	if ctx.Err() != nil {
		return ref, d, issuer, ctx.Err()
	}
	current := svc.currentOwnership()
	if current.owner == rt.self {
		d, issuer, err = rt.acquireFromQueue(ctx, svc, svc.ownerQueue, ref, r)
		return ref, d, issuer, err
	}
	if current.owner != "" && rt.cfg.Dialer != nil {
		d, issuer, err = rt.link(current.owner).acquire(ctx, svc, ref, r, false)
		if err == errNoResponse && svc.currentOwnership() == current {
			ref = rt.lastRef.Add(1) // the owner may still process the previous one
			d, issuer, err = rt.acquireFromStandby(ctx, svc, current.standby, ref, r)
		}
		switch {
		case err == errNotOwner:
			return ref, Decision{Denied: errOwnerChanged}, issuer, nil
		case err != errNoResponse && err != errNotAcknowledged:
			return ref, d, issuer, err
		case svc.currentOwnership() != current:
			return ref, Decision{Denied: errOwnerChanged}, issuer, nil
		}
		ref = rt.lastRef.Add(1) // the other hosts may still process the previous ones
	}
	d, issuer, err = rt.acquireFromQueue(ctx, svc, svc.fallbackQueue, ref, r)
	return ref, d, issuer, err
}

// acquireFromQueue requests a grant from a queue at this host.
func (rt *Router) acquireFromQueue(ctx context.Context, svc *serviceState, q *Queue, ref uint64, r Request) (Decision, grantOwner, error) {
	k := Key{rt.self, ref}
	w := make(decisionChan, 1)
	rt.refreshEndpoints(svc)
	if q.Acquire(time.Now(), localSession, k, r, w) {
		rt.scheduleTick(svc, waitingTickInterval)
	} else {
		rt.scheduleTick(svc, sweepInterval)
	}
	select {
	case d := <-w:
		return d, grantOwner{queue: q}, nil
	case <-ctx.Done():
		q.Cancel(time.Now(), k)
		return Decision{}, grantOwner{}, ctx.Err()
	}
}

// Release implements Granter.
func (rt *Router) Release(g Grant, o Outcome) {
	if o.Leaving && rt.cfg.MarkLeaving != nil {
		rt.cfg.MarkLeaving(g.Endpoint.ID)
	}
	svc := rt.service(g.Endpoint.Service)
	if svc == nil {
		return
	}
	svc.mu.Lock()
	open := svc.openGrants[g.ID]
	delete(svc.openGrants, g.ID)
	svc.mu.Unlock()
	if open == nil {
		return
	}
	rt.refreshEndpoints(svc)
	for i, owner := range open.owners {
		if i > 0 {
			// Only the owner that issued the grant evaluates the outcome; the others only stop counting the grant.
			o = Outcome{Result: ResultCancelled, Leaving: o.Leaving}
		}
		if owner.queue != nil {
			owner.queue.Release(time.Now(), Key{rt.self, g.ID}, o)
		} else {
			owner.link.release(owner.generation, &GrantMessage{Kind: KindRelease, Ref: g.ID, Service: svc.name, Outcome: o})
		}
	}
}

// release sends a release to the owner if the connection is still the one of the given generation. Otherwise the end of that
// connection has released the grant already.
func (l *link) release(generation uint64, m *GrantMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out != nil && l.generation == generation {
		l.out.put(m)
	}
}

// refreshEndpoints passes changed endpoints to the queues.
func (rt *Router) refreshEndpoints(svc *serviceState) {
	snap := rt.cfg.Endpoints.Snapshot(svc.name)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if snap == svc.snapshot || svc.snapshot != nil && len(snap.Endpoints)+len(svc.snapshot.Endpoints) == 0 {
		return
	}
	svc.snapshot = snap
	now := time.Now()
	svc.ownerQueue.SetEndpoints(now, snap.Endpoints)
	svc.fallbackQueue.SetEndpoints(now, snap.Endpoints)
}

// scheduleTick schedules a tick after d, unless an earlier one is scheduled.
func (rt *Router) scheduleTick(svc *serviceState, d time.Duration) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	at := time.Now().Add(d)
	if !svc.tickAt.IsZero() && !at.Before(svc.tickAt) {
		return
	}
	svc.tickAt = at
	if svc.timer == nil {
		svc.timer = time.AfterFunc(d, func() { rt.tick(svc) })
	} else {
		svc.timer.Reset(d)
	}
}

// tick runs the periodic work of one service and schedules the next tick if one is needed.
func (rt *Router) tick(svc *serviceState) {
	rt.refreshEndpoints(svc)
	rt.startProbes(svc)
	svc.mu.Lock()
	svc.tickAt = time.Time{} // a tick that is scheduled from now on must not be skipped
	svc.mu.Unlock()
	now := time.Now()
	nextTick := rt.expireActing(svc, now)
	owned, fallback := svc.ownerQueue.Tick(now), svc.fallbackQueue.Tick(now)
	// The owner's queue stays active, so that it keeps the service times of its endpoints.
	if owned == 0 && svc.currentOwnership().owner != rt.self && !svc.ownerQueue.Deactivate(now) {
		owned = idleCheckInterval
	}
	if fallback == 0 && !svc.fallbackQueue.Deactivate(now) {
		fallback = idleCheckInterval
	}
	for _, d := range []time.Duration{owned, fallback} {
		if nextTick == 0 || d > 0 && d < nextTick {
			nextTick = d
		}
	}
	if nextTick > 0 && rt.ctx.Err() == nil {
		rt.scheduleTick(svc, nextTick)
	}
}
