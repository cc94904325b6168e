package dispatch

import (
	"context"
	"errors"
	"time"
)

// Time limits of an acting owner.
const (
	// actingTotal is the total time for which a host may be the acting owner of a service in one membership view. Within this time
	// the membership protocol removes an owner that has failed.
	actingTotal = 2 * time.Second
	// actingIdle is how long a period as acting owner lasts after the last request that was sent to the acting owner, unless
	// requests are waiting. A pause of the owner that is too short for the membership protocol to detect thus uses only a part of
	// actingTotal.
	actingIdle = 100 * time.Millisecond
	// declinedFor is the delay before a host that declined to serve as acting owner is asked again.
	declinedFor = 200 * time.Millisecond
)

// errDeclined is returned if the host that was asked is neither the owner nor permitted to be the acting owner. That host holds no
// state for the request.
var errDeclined = errors.New("the host declined to serve as acting owner")

// actingTime tracks the time for which this host is the acting owner of one service.
type actingTime struct {
	since, until time.Time     // of the latest period
	used         time.Duration // by earlier periods in this membership view
	ended        bool          // the end of the latest period was handled
}

func (a *actingTime) active(now time.Time) bool { return now.Before(a.until) }

// extend starts a period, which begun reports, or extends the current one. ok is false if the total of this view is used up.
func (a *actingTime) extend(now time.Time) (ok, begun bool) {
	if a.active(now) {
		return a.prolong(now), false
	}
	a.used += a.until.Sub(a.since)
	a.since, a.until = now, now
	if ok = a.prolong(now); ok {
		a.ended = false
	}
	return ok, ok
}

// prolong moves the end of the period to actingIdle from now, or as far as the total allows. It reports false if the total is used up.
func (a *actingTime) prolong(now time.Time) bool {
	end := a.since.Add(actingTotal - a.used)
	if !now.Before(end) {
		return false
	}
	if a.until = now.Add(actingIdle); a.until.After(end) {
		a.until = end
	}
	return true
}

// renew makes the whole total available again. It is called for each new view.
func (a *actingTime) renew(now time.Time) {
	a.used = 0
	if a.active(now) {
		a.since = now
	} else {
		a.since = a.until
	}
}

// ownership holds the first two hosts in the rendezvous ranking of a service: the owner, and the host that may serve as acting owner.
type ownership struct{ owner, next string }

func (sh *shard) currentPlace() ownership {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.place
}

// act reports whether this host may serve the queue as owner or acting owner, and starts a period as acting owner if needed. At the
// start of a period the rate buckets are emptied, because the owner may have spent the tokens in them.
func (rt *Router) act(sh *shard, now time.Time) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.place.owner == rt.self {
		return true
	}
	ok, begun := sh.acting.extend(now)
	if begun {
		sh.owned.EmptyBuckets(now)
		sh.adoptOwn(rt.self, now)
	}
	return ok
}

// endActing handles the end of a period as acting owner: requests that still wait have to be sent to another owner. It returns the
// remaining time if a period is in progress, else 0.
func (rt *Router) endActing(sh *shard, now time.Time) time.Duration {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	a := &sh.acting
	if !a.active(now) {
		if a.ended || a.until.IsZero() || sh.place.owner == rt.self {
			return 0
		}
		// A new period would start with empty buckets again, so this one is extended while requests wait, for example for a token.
		if !sh.owned.anyWaiting() || !a.prolong(now) {
			a.ended = true
			sh.owned.DenyAll(errMoved)
			return 0
		}
	}
	return a.until.Sub(now)
}

// askNext requests a grant from the host that may serve as acting owner. The error is errNoAnswer, errLate or the context's.
func (rt *Router) askNext(ctx context.Context, sh *shard, next string, ref uint64, r Request) (d Decision, h holder, err error) {
	sh.mu.Lock()
	declined := time.Now().Before(sh.declinedUntil)
	sh.mu.Unlock()
	switch {
	case next == "" || declined:
		return d, h, errNoAnswer
	case next != rt.self:
		d, h, err = rt.link(next).acquire(ctx, sh, ref, r, true)
		if err != errDeclined {
			return d, h, err
		}
		sh.mu.Lock()
		sh.declinedUntil = time.Now().Add(declinedFor)
		sh.mu.Unlock()
		return Decision{Denied: errMoved}, h, nil
	}
	if !rt.act(sh, time.Now()) {
		return d, h, errNoAnswer
	}
	sh.mu.Lock()
	if h = (holder{queue: sh.owned}); sh.synced != h {
		sh.adoptOwn(rt.self, time.Now())
	}
	sh.mu.Unlock()
	return rt.askQueue(ctx, sh, sh.owned, ref, r)
}
