package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/lateness"
	"github.com/arbutusspan/arbutusspan/internal/coordination/overload"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// findEndpoint finds an endpoint for the request, and waits in the queue of the service while Admit returns Wait or requests wait that come
// before it. A hedge, and a repeat after an endpoint has rejected the request, do not wait: they get the best endpoint if that has a free slot and
// is expected to answer before the deadline. ok is false if no endpoint was found. If it is true, the send is recorded at the endpoint: the
// next request in the queue must not see the same slot free.
func (r *activeRequest) findEndpoint(ctx context.Context, hedge bool) (view placement.EndpointView, expected time.Duration, ok bool) {
	queue := r.forwarder.queue(r.call.Service.Name)
	waits := !hedge && !r.wasRejected()
	var waiter *overload.Waiter
	defer func() {
		if waiter != nil {
			queue.Remove(waiter, ok, time.Now())
			if !ok && (r.woken || len(waiter.Wake) > 0) {
				queue.WakeNext() // passes on a wake-up that this request has received and does not use
			}
		}
	}()
	now := time.Now()
	if request := r.overloadRequest(); waits && queue.MustWait(&request, now) && len(r.usableEndpoints(now)) > 0 {
		waiter = queue.Add(request, true, now)
		if !queue.IsFirst(waiter, now) {
			queue.WakeFirst(now)
			if !r.waitForTurn(ctx, queue, waiter, true) {
				return placement.EndpointView{}, 0, false
			}
		}
	}
	for {
		if r.lostWay() {
			r.refuseNoEndpoint()
			return placement.EndpointView{}, 0, false
		}
		best, expected := r.chooseEndpoint(ctx, waiter != nil, queue.Ahead(waiter))
		if best != nil && r.forwarder.cfg.Withdrawn(best.ID) {
			continue // it was withdrawn while load was probed, and the next search avoids it
		}
		now := time.Now()
		timing := placement.RequestTiming{ServiceTime: r.serviceTime, UntilLate: r.lateAt.Sub(now), UntilDeadline: r.call.Due.Sub(now),
			Waited: now.Sub(r.call.Arrived)}
		if !waits {
			if best == nil || !best.HasFreeSlot() || expected > timing.UntilDeadline {
				return placement.EndpointView{}, 0, false
			}
			if !r.forwarder.cfg.EndpointStats.ReserveSend(best.ID, now) {
				return placement.EndpointView{}, 0, false
			}
			return *best, expected, true
		}
		decision := r.forwarder.cfg.EndpointStats.Config().Admit(best, expected, timing)
		if r.result.Candidates == 0 || !r.allRejectingUntil.IsZero() || r.limits.exhausted(queue.Ahead(waiter)) {
			decision = placement.Refuse // the service has no endpoint to wait for
		}
		if decision == placement.Send {
			if r.forwarder.cfg.EndpointStats.ReserveSlot(best, now) {
				return *best, expected, true
			}
			continue
		}
		if decision == placement.Refuse && !r.mayWaitLate(best) || ctx.Err() != nil {
			if len(r.result.Attempts) == 0 {
				r.setRefusal(best, expected, ctx.Err() != nil)
			}
			return placement.EndpointView{}, 0, false
		}
		starved := (best == nil || !best.HasFreeSlot()) && !r.limits.all // permits are divided by Queue.Ahead
		if waiter == nil {
			waiter = queue.Add(r.overloadRequest(), starved, now)
		} else {
			queue.SetStarved(waiter, starved)
		}
		if !r.waitForTurn(ctx, queue, waiter, starved) {
			if r.overload.Reason == overload.Unknown {
				r.setRefusal(best, expected, false)
			}
			return placement.EndpointView{}, 0, false
		}
	}
}

// wasRejected reports whether the last endpoint rejected the request without running it.
func (r *activeRequest) wasRejected() bool {
	return r.lastFailure != nil && r.lastFailure.resp != nil && r.lastFailure.resp.NotRun
}

// setRefusal sets the outcome of a request for which no endpoint was found. ended says whether its context has ended.
func (r *activeRequest) setRefusal(best *placement.EndpointView, expected time.Duration, ended bool) {
	switch {
	case ended:
		r.result.Outcome, r.result.RetryAfter = RefusedUnsent, defaultRetryAfter
	case !r.allRejectingUntil.IsZero():
		r.setAllRejecting()
	case r.limits.all:
		r.refuseUntil(RefusedAllLimited, r.limits.firstPermit)
	case best == nil:
		r.refuseNoEndpoint()
	default:
		r.result.Outcome, r.result.RetryAfter = RefusedTooLate, placement.RetryAfter(expected, r.serviceTime)
	}
}

// setAllRejecting refuses the request because no endpoint of the service wants requests before r.allRejectingUntil.
func (r *activeRequest) setAllRejecting() { r.refuseUntil(RefusedAllRejecting, r.allRejectingUntil) }

// refuseUntil refuses the request because no endpoint of the service takes it before the given time. The caller's delay has a random part, so
// that the callers of many refused requests do not return together.
func (r *activeRequest) refuseUntil(outcome Outcome, until time.Time) {
	delay := max(minRejectionRetryAfter, time.Until(until))
	spread := max(minRetrySpread, time.Duration(float64(delay)*retrySpreadFraction))
	delay += time.Duration(r.forwarder.cfg.Random(int(spread/time.Millisecond))) * time.Millisecond
	r.result.Outcome, r.result.RetryAfter = outcome, delay
}

// usableEndpoints returns the endpoints of the service that accept requests, and sets r.allRejectingUntil.
func (r *activeRequest) usableEndpoints(now time.Time) []*registry.Endpoint {
	list := r.forwarder.cfg.Endpoints().Services[r.call.Service.Name]
	r.result.Candidates, r.allRejectingUntil = len(list), time.Time{}
	usable, firstBack := r.forwarder.cfg.EndpointStats.WithoutRejecting(r.call.Service.Name, list, now)
	if len(usable) == 0 {
		r.allRejectingUntil = firstBack
	}
	return usable
}

// chooseEndpoint returns the best endpoint and the expected duration there, or nil if it found none. waiting says that the request waits in the queue,
// ahead how many requests wait before it.
func (r *activeRequest) chooseEndpoint(ctx context.Context, waiting bool, ahead int) (*placement.EndpointView, time.Duration) {
	now := time.Now()
	list := r.usableEndpoints(now)
	views := r.forwarder.cfg.EndpointStats.Sample(r.call.Service.Name, list, r.forwarder.cfg.Random, now)
	avoid := func(id endpoints.ID) bool { return slices.Contains(r.tried, id) || r.forwarder.cfg.Withdrawn(id) }
	r.findLimited(views, now)
	if len(r.limits.indices) > 0 && len(r.result.Attempts) == 0 {
		if v, expected := r.chooseLocalCold(ctx, views, avoid, coldMargin); v != nil {
			return v, expected
		}
	}
	best, expected := r.chooseWithoutPermit(ctx, views, avoid, waiting, now)
	return r.chooseLimited(ctx, views, avoid, ahead, best, expected)
}

// chooseWithoutPermit is chooseEndpoint without the endpoints for which this host needs a permit and has none. It uses the load reports that are
// fresh, and probes further endpoints in rounds until one is good enough or the probe budget is used up. A request that waits in the
// queue probes one round each time, see restrictToRoom. If the endpoints report no load, or the probe budget is used up before any load
// is known and endpoints probably have room, it chooses without probes.
func (r *activeRequest) chooseWithoutPermit(ctx context.Context, views []placement.EndpointView, avoid func(endpoints.ID) bool, waiting bool,
	now time.Time) (*placement.EndpointView, time.Duration) {
	stats := r.forwarder.cfg.EndpointStats
	cfg := stats.Config()
	if r.call.Service.HealthPath == "" || stats.ReportsNoLoad(r.call.Service.Name, now) {
		return r.chooseWithContact(ctx, cfg, views, avoid)
	}
	var candidates []int
	var known []endpoints.ID // endpoints of which a probe would show nothing new to a request that waits and searches again
	for i := range views {
		switch v := &views[i]; {
		case avoid(v.ID):
		case v.HasFreshLoad(cfg.MaxLoadAge):
			candidates = append(candidates, i)
		case waiting && v.KnowsLoad(cfg.MaxLoadAge, r.serviceTime):
			candidates, known = append(candidates, i), append(known, v.ID)
		}
	}
	isKnown := func(id endpoints.ID) bool { return avoid(id) || slices.Contains(known, id) }
	rounds := cfg.ProbeRounds(views, isKnown, r.forwarder.cfg.Random)
	if waiting {
		candidates, rounds = r.restrictToRoom(views, candidates, rounds, avoid, now)
	}
	best, expected := cfg.Best(views, candidates, r.serviceTime, r.call.Route.Idempotent)
	for _, round := range rounds {
		if (best >= 0 && cfg.GoodEnough(&views[best], expected, r.serviceTime)) || ctx.Err() != nil {
			break
		}
		take := r.forwarder.cfg.ProbeBudget.Take
		if waiting && r.overload.Late {
			take = r.forwarder.cfg.ProbeBudget.TakeSpare // the other probes are for requests that can be in time
		}
		fastEnough := best >= 0 && cfg.FastEnough(&views[best], expected, r.serviceTime)
		if fastEnough {
			round = slices.DeleteFunc(round, func(i int) bool { return !views[i].Local })
			take = r.forwarder.cfg.ProbeBudget.TakeSpare
		}
		if len(round) == 0 {
			continue
		}
		allowed := take(len(round), time.Now())
		if allowed == 0 {
			if !fastEnough {
				r.result.ProbeRoundsSkipped++
			}
			break
		}
		candidates = append(candidates, r.probeRound(ctx, views, round[:allowed])...)
		best, expected = cfg.Best(views, candidates, r.serviceTime, r.call.Route.Idempotent)
	}
	if best < 0 && r.result.ProbeRoundsSkipped > 0 && !r.call.Route.Idempotent && stats.DropsRequests(r.call.Service.Name, now) {
		return nil, 0 // an endpoint of unknown load may drop the request, which must not be sent again then
	}
	if best < 0 && r.result.ProbeRoundsSkipped > 0 {
		v, expected := r.chooseWithoutProbes(cfg, views, r.withContact(views, avoid))
		if v == nil || !stats.LikelyRoom(v.Service, v.Local, now) {
			return nil, 0
		}
		return v, expected
	}
	if best < 0 {
		return nil, 0
	}
	return &views[best], expected
}

// exploreInterval is the mean number of requests without probes of which one goes to another zone, so that it is known how fast that is.
const exploreInterval = 40

// chooseWithoutProbes returns the better of two random endpoints of this host's zone according to the endpoint statistics (Mitzenmacher, The
// Power of Two Choices in Randomized Load Balancing, 2001), or the better of two of other zones if that is expected to be faster by
// LeaveZoneFactor.
func (r *activeRequest) chooseWithoutProbes(cfg *placement.Config, views []placement.EndpointView,
	avoid func(endpoints.ID) bool) (*placement.EndpointView, time.Duration) {
	local, remote := byZone(views, cfg.ProbeRounds(views, avoid, r.forwarder.cfg.Random))
	best, expected := cfg.Best(views, local[:min(2, len(local))], r.serviceTime, r.call.Route.Idempotent)
	other, otherExpected := cfg.Best(views, remote[:min(2, len(remote))], r.serviceTime, r.call.Route.Idempotent)
	explore := r.forwarder.cfg.Random(exploreInterval) == exploreInterval-1
	if best < 0 || (other >= 0 && (explore || float64(expected) > cfg.LeaveZoneFactor*float64(otherExpected))) {
		best, expected = other, otherExpected
	}
	if best < 0 {
		return nil, 0
	}
	return &views[best], expected
}

// byZone returns the endpoints of the rounds that are in this host's zone and the others.
func byZone(views []placement.EndpointView, rounds [][]int) (local, remote []int) {
	for _, i := range slices.Concat(rounds...) {
		if views[i].Local {
			local = append(local, i)
		} else {
			remote = append(remote, i)
		}
	}
	return local, remote
}

// probeResult is the result of one probe.
type probeResult struct {
	index int // of the endpoint's view
	load  placement.Load
	err   error // errPanicked if the probe panicked
}

// probeRound probes the endpoints of one round at the same time, updates the views of those that answered in time and returns their
// indices. After the first answer, and after each answer of an endpoint that is good enough, it waits otherProbesWait longer for the
// rest. Later answers are still recorded in the endpoint statistics, for later requests.
func (r *activeRequest) probeRound(ctx context.Context, views []placement.EndpointView, round []int) []int {
	results := make(chan probeResult, len(round))
	probed := 0
	for _, i := range round {
		if !r.forwarder.cfg.EndpointStats.StartProbe(views[i].ID, time.Now()) {
			continue
		}
		probed++
		go func(e registry.Endpoint) {
			got := probeResult{index: i, err: errPanicked}
			defer func() {
				if errors.Is(got.err, errPanicked) {
					r.forwarder.cfg.EndpointStats.EndProbe(e.ID, time.Now())
				}
				results <- got
			}()
			defer r.forwarder.recoverPanic(r.call.RequestID)
			got.load, got.err = r.forwarder.probe(e, r.call.Service.HealthPath)
		}(views[i].Endpoint)
	}
	r.result.ProbesSent += probed
	cfg := r.forwarder.cfg.EndpointStats.Config()
	var answered []int
	timer := lateness.NewTimer(r.forwarder.cfg.Lateness, firstProbeWait)
	defer timer.Stop()
	for n := 0; n < probed; {
		select {
		case got := <-results:
			n++
			if got.err != nil {
				r.result.ProbesUnanswered++
				continue
			}
			v := &views[got.index]
			v.Load, v.LoadAge, v.SentSinceLoad = got.load, 0, 0
			if len(answered) == 0 || cfg.GoodEnough(v, cfg.ExpectedDuration(v, r.serviceTime), r.serviceTime) {
				timer.Reset(otherProbesWait)
			}
			answered = append(answered, got.index)
		case <-timer.C:
			if timer.Expired() {
				r.result.ProbesUnanswered += probed - n
				return answered
			}
		case <-ctx.Done():
			return answered
		}
	}
	return answered
}

// probe probes one endpoint and records the result. The probe does not end with the request, because canceling it would close its
// connection.
func (f *Forwarder) probe(e registry.Endpoint, path string) (placement.Load, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	load, err := f.cfg.Prober.ProbeLoad(ctx, e.Endpoint, path)
	now := time.Now()
	f.cfg.EndpointStats.EndProbe(e.ID, now)
	if err != nil && !errors.Is(err, executor.ErrWithdrawn) && !isOwnDelay(err) && !f.cfg.Withdrawn(e.ID) && !f.cfg.EndpointStats.Rejecting(e.ID, now) {
		f.cfg.EndpointStats.RecordUnreachable(e.ID, now)
		f.recordUnanswered(e.Endpoint, err, now)
	}
	if err != nil {
		return load, err
	}
	f.cfg.EndpointStats.RecordProbe(e.Endpoint, load, now)
	return load, nil
}
