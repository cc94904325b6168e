package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/rendezvous"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
)

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
