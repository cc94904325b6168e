package forward

import (
	"context"
	"time"
)

const (
	// hedgeFirst is when a request is looked at again, in parts of its usual duration. Most requests have ended by then.
	hedgeFirst = 1.6
	// hedgeAgain is the time between further looks.
	hedgeAgain = 0.5
	// hedgeSlow is the slowness at which an endpoint is no longer waited for.
	hedgeSlow = 2
	// hedgeLate is the time, in parts of the usual duration, after which a request is repeated wherever it runs.
	hedgeLate = 3
	// minCheck bounds how often a request is looked at.
	minCheck = 10 * time.Millisecond
)

func (r *run) firstCheck() time.Duration {
	return max(minCheck, time.Duration(float64(r.work)*hedgeFirst))
}

// hedge sends an idempotent request to a second endpoint if the first one has become slow (Dean and Barroso, The Tail at Scale,
// 2013). It returns when to look again, or 0 for not any more.
func (r *run) hedge(ctx context.Context) time.Duration {
	if !r.c.Route.Idempotent || r.running != 1 || !r.canRepeat() {
		return 0
	}
	current := &r.result.Attempts[len(r.result.Attempts)-1]
	elapsed := time.Since(r.start) - current.After
	again := max(minCheck, time.Duration(float64(r.work)*hedgeAgain))
	if elapsed < time.Duration(float64(r.work)*hedgeLate) && !r.slowNow() {
		return again
	}
	if !r.f.cfg.Repeats.Take(r.c.Service.Name, time.Now()) {
		return again
	}
	if !r.next(ctx, true) {
		r.f.cfg.Repeats.GiveBack(r.c.Service.Name, time.Now())
	}
	return 0
}

// slowNow asks the endpoint that works on the request how slow it is. An endpoint that does not answer counts as slow.
func (r *run) slowNow() bool {
	now := time.Now()
	if r.c.Service.HealthPath == "" || r.f.cfg.Board.Silent(r.c.Service.Name, now) {
		return false
	}
	id := r.tried[len(r.tried)-1]
	for _, e := range r.f.cfg.Endpoints().Services[r.c.Service.Name] {
		if e.ID != id {
			continue
		}
		if !r.f.cfg.Board.Asking(e.ID, now) {
			return false
		}
		r.result.Asked++
		load, err := r.f.askOne(e, r.c.Service.HealthPath)
		if err != nil {
			r.result.Unanswered++
			return true
		}
		return load.Slowness >= hedgeSlow
	}
	return true // no longer listed
}
