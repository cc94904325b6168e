package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// place finds an endpoint for the request, and waits in the queue of the service while no endpoint has a free slot. A repeat does not
// wait: it gets the best endpoint if that is expected to answer before the deadline. place reports false if it found no endpoint.
func (r *run) place(ctx context.Context, repeat bool) (view placement.View, expected time.Duration, ok bool) {
	queue := r.f.queue(r.c.Service.Name)
	var waiter *placement.Waiter
	defer func() {
		if waiter != nil {
			queue.Remove(waiter)
			if !ok {
				queue.WakeNext() // passes on a wake-up that this request may have received and does not use
			}
		}
	}()
	for {
		best, expected := r.choose(ctx, waiter != nil)
		now := time.Now()
		d := placement.RequestTiming{ServiceTime: r.work, UntilLate: r.late.Sub(now), UntilDeadline: r.c.Due.Sub(now), Waited: now.Sub(r.c.Arrived)}
		if repeat {
			if best == nil || expected > d.UntilDeadline {
				return placement.View{}, 0, false
			}
			return *best, expected, true
		}
		verdict := r.f.cfg.Board.Config().Admit(best, expected, d)
		if r.result.Candidates == 0 {
			verdict = placement.Refuse // the service has no endpoint to wait for
		}
		if verdict == placement.Send {
			return *best, expected, true
		}
		if verdict == placement.Refuse || ctx.Err() != nil {
			r.refuse(best, expected, ctx.Err() != nil)
			return placement.View{}, 0, false
		}
		if waiter == nil {
			waiter = queue.Add(r.c.Route.Priority, r.late)
		}
		r.wait(ctx, queue, waiter)
	}
}

// wait returns when the request should look for an endpoint again: after a wake-up, after waitAgain if it is the first of the queue, and
// when no more than its usual duration is left until it exceeds its target latency. It also returns when ctx ends.
func (r *run) wait(ctx context.Context, queue *placement.Queue, w *placement.Waiter) {
	r.result.Waits++
	timer := time.NewTicker(waitAgain)
	defer timer.Stop()
	for {
		select {
		case <-w.Wake:
			return
		case now := <-timer.C:
			if queue.IsFirst(w) || r.late.Sub(now) <= r.work {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// waitAgain is the interval at which the first waiting request looks for an endpoint without a wake-up. Slots that requests of other hosts
// free cause no wake-up on this host.
const waitAgain = 15 * time.Millisecond

// refuse sets the outcome of a request for which no endpoint was found. gone says that its context has ended.
func (r *run) refuse(best *placement.View, expected time.Duration, gone bool) {
	switch {
	case gone:
		r.result.Outcome, r.result.RetryAfter = RefusedUnsent, idleRetryAfter
	case best == nil:
		r.result.Outcome, r.result.RetryAfter = RefusedNoEndpoint, idleRetryAfter
	default:
		r.result.Outcome, r.result.RetryAfter = RefusedTooLate, placement.RetryAfter(expected, r.work)
	}
}

// choose returns the best endpoint and the expected duration there, or nil if it found none. It uses the load reports that are fresh, and
// probes further endpoints in rounds until one is good enough or the probe budget is used up. A request that waits in the queue probes one
// round each time.
func (r *run) choose(ctx context.Context, waiting bool) (*placement.View, time.Duration) {
	now := time.Now()
	list := r.f.cfg.Endpoints().Services[r.c.Service.Name]
	r.result.Candidates = len(list)
	board := r.f.cfg.Board
	cfg := board.Config()
	views := board.Views(list, now)
	avoid := func(id endpoints.ID) bool { return slices.Contains(r.tried, id) }
	if r.c.Service.HealthPath == "" || board.ReportsNoLoad(r.c.Service.Name, now) {
		return r.withoutAsking(cfg, views, avoid)
	}
	var candidates []int
	for i := range views {
		if !avoid(views[i].ID) && views[i].HasFreshLoad(cfg.MaxLoadAge) {
			candidates = append(candidates, i)
		}
	}
	best, expected := cfg.Best(views, candidates, r.work, r.c.Route.Idempotent)
	for n, round := range cfg.ProbeRounds(views, avoid, r.f.cfg.Random) {
		if (waiting && n > 0) || (best >= 0 && cfg.GoodEnough(&views[best], expected, r.work)) || ctx.Err() != nil {
			break
		}
		allowed := r.f.cfg.Asks.Take(len(round), time.Now())
		if allowed == 0 {
			r.result.Unasked++
			break
		}
		candidates = append(candidates, r.ask(ctx, views, round[:allowed])...)
		best, expected = cfg.Best(views, candidates, r.work, r.c.Route.Idempotent)
	}
	if best < 0 && r.result.Unasked > 0 {
		return r.withoutAsking(cfg, views, avoid)
	}
	if best < 0 {
		return nil, 0
	}
	return &views[best], expected
}

// withoutAsking chooses the better of two random endpoints, of this host's zone if possible, by what this host knows of them, without a
// probe (Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001).
func (r *run) withoutAsking(cfg *placement.Config, views []placement.View, avoid func(endpoints.ID) bool) (*placement.View, time.Duration) {
	rounds := cfg.ProbeRounds(views, avoid, r.f.cfg.Random)
	if len(rounds) == 0 {
		return nil, 0
	}
	candidates := slices.Concat(rounds...)
	best, expected := cfg.Best(views, candidates[:min(2, len(candidates))], r.work, r.c.Route.Idempotent)
	return &views[best], expected
}

// askResult is the result of one probe.
type askResult struct {
	index int // of the endpoint's view
	load  placement.Load
	err   error
}

// ask probes the endpoints of one round at the same time, updates the views of those that answered in time and returns their indices.
// After the first answer, and after each answer of an endpoint that is good enough, it waits othersPatience longer for the rest. Later
// answers are still recorded on the board, for later requests.
func (r *run) ask(ctx context.Context, views []placement.View, round []int) []int {
	results := make(chan askResult, len(round))
	asked := 0
	for _, i := range round {
		if !r.f.cfg.Board.StartProbe(views[i].ID, time.Now()) {
			continue
		}
		asked++
		go func(e registry.Endpoint) {
			got := askResult{index: i, err: errPanicked}
			defer func() {
				if errors.Is(got.err, errPanicked) {
					r.f.cfg.Board.EndProbe(e.ID, time.Now())
				}
				results <- got
			}()
			defer r.f.recoverPanic(r.c.RequestID)
			got.load, got.err = r.f.askOne(e, r.c.Service.HealthPath)
		}(views[i].Endpoint)
	}
	r.result.Asked += asked
	cfg := r.f.cfg.Board.Config()
	var answered []int
	patience := time.NewTimer(askPatience)
	defer patience.Stop()
	for n := range asked {
		select {
		case got := <-results:
			if got.err != nil {
				r.result.Unanswered++
				continue
			}
			v := &views[got.index]
			v.Load, v.LoadAge, v.SentSinceLoad = got.load, 0, 0
			if len(answered) == 0 || cfg.GoodEnough(v, cfg.ExpectedDuration(v, r.work), r.work) {
				patience.Reset(othersPatience)
			}
			answered = append(answered, got.index)
		case <-patience.C:
			r.result.Unanswered += asked - n
			return answered
		case <-ctx.Done():
			return answered
		}
	}
	return answered
}

// askOne probes one endpoint and records the result. The probe does not end with the request, because canceling it would close its
// connection.
func (f *Forwarder) askOne(e registry.Endpoint, path string) (placement.Load, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	load, err := f.cfg.Asker.Ask(ctx, e.Endpoint, path)
	now := time.Now()
	f.cfg.Board.EndProbe(e.ID, now)
	if err != nil {
		f.cfg.Board.RecordUnreachable(e.ID, now)
		return load, err
	}
	f.cfg.Board.RecordLoad(e.Endpoint, load, now)
	return load, nil
}
