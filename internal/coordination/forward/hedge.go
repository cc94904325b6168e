package forward

import (
	"context"
	"time"
)

const (
	// hedgeFirst is the time, in parts of the expected duration, after which a request is sent a second time. An endpoint works on a
	// request at the speed that it had when it began, so that asking it again would tell nothing: either the work is unusually long, as
	// for 1 in 100 on the users' sites, or it began while the endpoint was slow.
	hedgeFirst = 2
	// hedgeAgain is the time, in parts of the usual duration, after which a request is looked at again that the repeat budget did not
	// allow.
	hedgeAgain = 0.5
	// minCheck bounds how often a request is looked at.
	minCheck = 10 * time.Millisecond
)

// firstCheck returns when the newest send counts as slow.
func (r *run) firstCheck() time.Duration {
	expected := r.work
	if n := len(r.result.Attempts); n > 0 {
		expected = max(expected, r.result.Attempts[n-1].Expected)
	}
	return max(minCheck, time.Duration(float64(expected)*hedgeFirst))
}

// hedge sends an idempotent request to a second endpoint if the first one takes long (Dean and Barroso, The Tail at Scale,
// 2013). It returns when to look again, or 0 for not any more.
func (r *run) hedge(ctx context.Context) time.Duration {
	if !r.c.Route.Idempotent || r.running != 1 || !r.canRepeat() {
		return 0
	}
	again := max(minCheck, time.Duration(float64(r.work)*hedgeAgain))
	if !r.f.cfg.Repeats.Take(r.c.Service.Name, time.Now()) {
		return again
	}
	if !r.next(ctx, true) {
		r.f.cfg.Repeats.GiveBack(r.c.Service.Name, time.Now())
	}
	return 0
}
