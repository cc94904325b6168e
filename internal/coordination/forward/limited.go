package forward

import (
	"context"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// RateLimiter gets permits for requests to endpoints with a rate limit.
type RateLimiter interface {
	// Acquire asks for a permit if this host may use none for the endpoint now, waits for the response until ctx ends, and reports whether it may
	// use one now. If there is none now, one that is valid within maxWait is reserved.
	Acquire(ctx context.Context, e endpoints.Endpoint, maxWait time.Duration) bool
	// Stock asks for permits without waiting if the endpoint's limit allows this host several at a time.
	Stock(e endpoints.Endpoint, now time.Time)
	// Permits returns the number of permits that this host may use now, and Reserved the number of those that it may use later, and when the first of
	// them, or of those that are not granted yet, is valid.
	Permits(id endpoints.ID, now time.Time) (limited bool, permits int)
	Reserved(id endpoints.ID, now time.Time) (permits int, first time.Time)
}

// permitWait is how long a request waits for responses to requests for permits. A response takes 1 to 5 ms.
const permitWait = 20 * time.Millisecond

// limitedEndpoints says what a search found of the endpoints with a rate limit.
type limitedEndpoints struct {
	indices []int // of the views that have a limit
	// all is set if every endpoint has a limit and none was found for the request. The other fields are valid then.
	all             bool
	valid, reserved int       // permits that this host may use now, and later
	firstPermit     time.Time // when the first permit may be valid
}

// enough reports whether there are permits for a request and for the given number of requests that wait ahead of it.
func (l *limitedEndpoints) enough(ahead int) bool { return l.valid+l.reserved > ahead }

// exhausted reports whether there is no permit in time for a request with the given number of requests waiting ahead of it.
func (l *limitedEndpoints) exhausted(ahead int) bool { return l.all && !l.enough(ahead) }

// findLimited notes which views have a rate limit, and stocks permits of those with a high one.
func (r *activeRequest) findLimited(views []placement.EndpointView, now time.Time) {
	r.limits = limitedEndpoints{}
	for i := range views {
		if views[i].Limited {
			r.limits.indices = append(r.limits.indices, i)
			r.forwarder.cfg.RateLimiter.Stock(views[i].Endpoint.Endpoint, now)
		}
	}
}

// chooseLimited returns the better of the endpoint that was found so far and one with a rate limit. The others come first: a limited endpoint is
// asked for only if the request would wait, be late or be refused without it, because its load is not probed. Its load counts as unknown unless it
// has answered a moment ago. ahead is the number of requests that wait before this one.
func (r *activeRequest) chooseLimited(ctx context.Context, views []placement.EndpointView, avoid func(endpoints.ID) bool, ahead int,
	best *placement.EndpointView, expected time.Duration) (*placement.EndpointView, time.Duration) {
	if len(r.limits.indices) == 0 {
		return best, expected
	}
	if best == nil || !best.Local && !best.LeavesRoom() {
		if v, expected := r.chooseLocalCold(ctx, views, avoid, 1); v != nil {
			return v, expected
		}
	}
	if best != nil && best.HasFreeSlot() && expected <= time.Until(r.lateAt) {
		return best, expected
	}
	ctx, cancel := context.WithTimeout(ctx, permitWait)
	defer cancel()
	if best == nil && len(r.limits.indices) == len(views) {
		return r.chooseAmongLimited(ctx, views, avoid, ahead)
	}
	for _, i := range r.orderLimited(views, avoid) {
		v := &views[i]
		limitedExpected := r.forwarder.cfg.EndpointStats.Config().ExpectedDuration(v, r.serviceTime)
		if !v.HasFreeSlot() || best != nil && best.HasFreeSlot() && expected <= limitedExpected {
			continue
		}
		if r.forwarder.cfg.RateLimiter.Acquire(ctx, v.Endpoint.Endpoint, 0) && r.checkLimited(ctx, views, i) {
			return v, limitedExpected
		}
	}
	return best, expected
}

// chooseAmongLimited returns an endpoint for which this host holds a permit, if all endpoints have a rate limit. It reserves permits for this
// request and those that wait before it, which get the first ones.
func (r *activeRequest) chooseAmongLimited(ctx context.Context, views []placement.EndpointView, avoid func(endpoints.ID) bool,
	ahead int) (*placement.EndpointView, time.Duration) {
	order := r.orderLimited(views, avoid)
	r.countPermits(views)
	for _, i := range order {
		if r.limits.enough(ahead) || ctx.Err() != nil {
			break
		}
		r.forwarder.cfg.RateLimiter.Acquire(ctx, views[i].Endpoint.Endpoint, max(0, time.Until(r.lateAt)-r.serviceTime))
		r.countPermits(views)
	}
	if r.limits.valid <= ahead {
		return nil, 0
	}
	for _, i := range order {
		v := &views[i]
		if _, permits := r.forwarder.cfg.RateLimiter.Permits(v.ID, time.Now()); permits > 0 && v.HasFreeSlot() && r.checkLimited(ctx, views, i) {
			r.limits.all = false
			return v, r.forwarder.cfg.EndpointStats.Config().ExpectedDuration(v, r.serviceTime)
		}
	}
	return nil, 0
}

// countPermits notes which permits this host may use now and later, if all endpoints are limited.
func (r *activeRequest) countPermits(views []placement.EndpointView) {
	now := time.Now()
	l := &r.limits
	l.all, l.valid, l.reserved, l.firstPermit = true, 0, 0, time.Time{}
	for _, i := range l.indices {
		_, valid := r.forwarder.cfg.RateLimiter.Permits(views[i].ID, now)
		reserved, first := r.forwarder.cfg.RateLimiter.Reserved(views[i].ID, now)
		l.valid, l.reserved = l.valid+valid, l.reserved+reserved
		if first.After(now) && (l.firstPermit.IsZero() || first.Before(l.firstPermit)) {
			l.firstPermit = first
		}
	}
}

// orderLimited returns the indices of the limited endpoints that the request may go to: those for which this host holds permits first, then
// those of its zone, otherwise in random order.
func (r *activeRequest) orderLimited(views []placement.EndpointView, avoid func(endpoints.ID) bool) []int {
	var held, local, remote []int
	start := r.forwarder.cfg.Random(len(r.limits.indices))
	for n := range r.limits.indices {
		i := r.limits.indices[(start+n)%len(r.limits.indices)]
		switch v := &views[i]; {
		case avoid(v.ID) || v.Suspect || v.Rejecting:
		case v.Permits > 0:
			held = append(held, i)
		case v.Local:
			local = append(local, i)
		default:
			remote = append(remote, i)
		}
	}
	return append(append(held, local...), remote...)
}

// CheckEndpoint probes an endpoint without waiting for the answer, so that this host learns what it states about itself.
func (f *Forwarder) CheckEndpoint(e registry.Endpoint, path string) {
	if f.cfg.EndpointStats.StartProbe(e.ID, time.Now()) {
		go f.probeStarted(e, path, "")
	}
}
