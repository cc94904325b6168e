package forward

import (
	"context"
	"time"
)

const (
	// hedgeFirst is the time, as a multiple of the expected duration, after which a request is hedged. An endpoint runs a request at
	// the speed that it had when the request began, so a new probe of it would not help to decide: either the request takes unusually
	// long, as 1 in 100 does in the deployments, or it began while the endpoint was slow.
	hedgeFirst = 2
	// hedgeAgain is the interval, as a multiple of the usual duration, at which a hedge is tried again that the repeat budget did not
	// allow.
	hedgeAgain = 0.5
	// minCheck is the shortest time before the first and between further tries to hedge a request.
	minCheck = 10 * time.Millisecond
)

// firstCheck returns the time after which the newest send counts as slow and the request is hedged.
func (r *run) firstCheck() time.Duration {
	expected := r.work
	if n := len(r.result.Attempts); n > 0 {
		expected = max(expected, r.result.Attempts[n-1].Expected)
	}
	return max(minCheck, time.Duration(float64(expected)*hedgeFirst))
}

// hedge sends an idempotent request to a second endpoint while the first one is still running it (Dean and Barroso, The Tail at Scale,
// 2013). It returns the time after which to call it again, or 0 if the request is not to be hedged any more.
func (r *run) hedge(ctx context.Context) time.Duration {
	if !r.c.Route.Idempotent || r.running != 1 || !r.canRepeat() {
		return 0
	}
	again := max(minCheck, time.Duration(float64(r.work)*hedgeAgain))
	if !r.f.cfg.Repeats.Take(r.c.Service.Name, time.Now()) {
		return again
	}
	if !r.next(ctx, true) {
		r.f.cfg.Repeats.Refund(r.c.Service.Name, time.Now())
	}
	return 0
}
