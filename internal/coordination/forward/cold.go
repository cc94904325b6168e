package forward

import (
	"context"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

const (
	// coldMargin is how many times the expected duration at a cold endpoint has to fit into the time left, if others have room. Other workloads slow an
	// endpoint for a part of such a request's time more often than for a part of a shorter one's.
	coldMargin = 1.5
	// coldTries is the number of cold endpoints for which one search asks for permits. Each takes a message each way.
	coldTries = 2
)

// needsContact reports whether endpoints of the request's service take few requests after a start, so that a request is sent only to an
// endpoint that has answered recently: it may have started again under its id before its entry says so.
func (c *Call) needsContact() bool { return c.Service.ColdPerSecond > 0 && c.Service.HealthPath != "" }

// chooseLocalCold returns a cold endpoint of this host's zone for which this host has a permit, and at which the request is expected to be
// answered in time: the expected duration there, times the margin, is left. It probes the endpoint, which needs no permit. A zone whose endpoints are all
// cold is thus used as much as its rate allows, and fewer requests go to other zones. It returns nil if other endpoints of this zone are to be used.
func (r *activeRequest) chooseLocalCold(ctx context.Context, views []placement.EndpointView, avoid func(endpoints.ID) bool,
	margin float64) (*placement.EndpointView, time.Duration) {
	left := time.Duration(float64(time.Until(r.lateAt)) / margin)
	if placement.ColdDuration(r.serviceTime) > left || !isZoneCold(views, avoid) {
		return nil, 0
	}
	ctx, cancel := context.WithTimeout(ctx, permitWait)
	defer cancel()
	tries := 0
	for _, i := range r.orderLimited(views, avoid) {
		v := &views[i]
		if !v.Cold || !v.Local || !v.HasFreeSlot() || v.Permits == 0 && r.isRefused(v.ID) {
			continue
		}
		if tries++; tries > coldTries || ctx.Err() != nil {
			return nil, 0
		}
		if !r.forwarder.cfg.RateLimiter.Acquire(ctx, v.Endpoint.Endpoint, 0) || !r.probeOne(ctx, views, i) {
			continue
		}
		if expected := r.forwarder.cfg.EndpointStats.Config().ExpectedDuration(v, r.serviceTime); v.HasFreeSlot() && expected <= left {
			return v, expected
		}
	}
	return nil, 0
}

// isZoneCold reports whether some endpoints of this host's zone are cold and no other one of it can be used.
func isZoneCold(views []placement.EndpointView, avoid func(endpoints.ID) bool) bool {
	cold := false
	for i := range views {
		switch v := &views[i]; {
		case !v.Local || v.Suspect || v.Rejecting || avoid(v.ID):
		case !v.Cold:
			return false
		default:
			cold = true
		}
	}
	return cold
}

// isRefused reports whether the coordinator of an endpoint has told this host that it grants no permit yet.
func (r *activeRequest) isRefused(id endpoints.ID) bool {
	now := time.Now()
	_, first := r.forwarder.cfg.RateLimiter.Reserved(id, now)
	return first.After(now)
}

// probeOne probes an endpoint unless its load is fresh, and reports whether its load is known now.
func (r *activeRequest) probeOne(ctx context.Context, views []placement.EndpointView, i int) bool {
	v := &views[i]
	if v.LoadAge >= 0 && v.LoadAge <= r.forwarder.cfg.EndpointStats.Config().MaxLoadAge {
		return true
	}
	if r.forwarder.cfg.ProbeBudget.Take(1, time.Now()) == 0 {
		r.result.ProbeRoundsSkipped++
		return false
	}
	return len(r.probeRound(ctx, views, []int{i})) == 1
}

// withContact adds to avoid the endpoints that need a health check before a request.
func (r *activeRequest) withContact(views []placement.EndpointView, avoid func(endpoints.ID) bool) func(endpoints.ID) bool {
	if !r.call.needsContact() {
		return avoid
	}
	unchecked := map[endpoints.ID]bool{}
	for i := range views {
		if views[i].Unchecked {
			unchecked[views[i].ID] = true
		}
	}
	return func(id endpoints.ID) bool { return unchecked[id] || avoid(id) }
}

// chooseWithContact is chooseWithoutProbes for endpoints that need no health check before a request. If there is none, it checks some.
func (r *activeRequest) chooseWithContact(ctx context.Context, cfg *placement.Config, views []placement.EndpointView,
	avoid func(endpoints.ID) bool) (*placement.EndpointView, time.Duration) {
	v, expected := r.chooseWithoutProbes(cfg, views, r.withContact(views, avoid))
	if v != nil || !r.call.needsContact() {
		return v, expected
	}
	rounds := cfg.ProbeRounds(views, avoid, r.forwarder.cfg.Random)
	if len(rounds) == 0 {
		return nil, 0
	}
	round := rounds[0]
	round = round[:r.forwarder.cfg.ProbeBudget.Take(len(round), time.Now())]
	best, expected := cfg.Best(views, r.probeRound(ctx, views, round), r.serviceTime, r.call.Route.Idempotent)
	if best < 0 {
		return nil, 0
	}
	return &views[best], expected
}

// checkLimited sends a health check to a limited endpoint whose last contact failed, before a request. It uses up a permit if the endpoint's limit
// counts health checks. It reports whether the endpoint may get the request: it has answered, or needs no check.
func (r *activeRequest) checkLimited(ctx context.Context, views []placement.EndpointView, i int) bool {
	v := &views[i]
	if !r.call.needsContact() || v.Cold || !v.ContactLost {
		return true
	}
	return len(r.probeRound(ctx, views, []int{i})) == 1 && r.forwarder.cfg.RateLimiter.Acquire(ctx, v.Endpoint.Endpoint, 0)
}
