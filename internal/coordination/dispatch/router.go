package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/probing"
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
