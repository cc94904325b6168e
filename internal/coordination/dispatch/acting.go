package dispatch

import (
	"context"
	"errors"
	"time"
)

// Time limits of an acting owner.
const (
	// maxActingTime is the total time for which a host may be the acting owner of a service in one membership view. Within this
	// time the membership protocol removes an owner that has failed.
	maxActingTime = 2 * time.Second
	// actingIdleTimeout is how long a period as acting owner lasts after the last request that was sent to the acting owner, unless
	// requests are waiting. A pause of the owner that is too short for the membership protocol to detect thus uses only a part of
	// maxActingTime.
	actingIdleTimeout = 100 * time.Millisecond
	// notOwnerRetryDelay is the delay before requests are sent again to a standby that replied NotOwner.
	notOwnerRetryDelay = 200 * time.Millisecond
)

// errNotOwner is returned if the host that received the request is neither the owner nor permitted to be the acting owner. That host
// holds no state for the request.
var errNotOwner = errors.New("the host is not the owner and may not be the acting owner")

// actingPeriod tracks the time for which this host is the acting owner of one service.
type actingPeriod struct {
	since, until time.Time     // of the latest period
	usedBefore   time.Duration // by earlier periods in this membership view
	endHandled   bool          // the end of the latest period was handled
}

func (a *actingPeriod) active(now time.Time) bool { return now.Before(a.until) }

// extend starts a period, which started reports, or extends the current one. ok is false if maxActingTime is used up.
func (a *actingPeriod) extend(now time.Time) (ok, started bool) {
	if a.active(now) {
		return a.extendEnd(now), false
	}
	a.usedBefore += a.until.Sub(a.since)
	a.since, a.until = now, now
	if ok = a.extendEnd(now); ok {
		a.endHandled = false
	}
	return ok, ok
}

// extendEnd moves the end of the period to actingIdleTimeout from now, or as far as maxActingTime allows. It reports false if
// maxActingTime is used up.
func (a *actingPeriod) extendEnd(now time.Time) bool {
	end := a.since.Add(maxActingTime - a.usedBefore)
	if !now.Before(end) {
		return false
	}
	if a.until = now.Add(actingIdleTimeout); a.until.After(end) {
		a.until = end
	}
	return true
}

// resetTotal makes the whole of maxActingTime available again. It is called for each new membership view.
func (a *actingPeriod) resetTotal(now time.Time) {
	a.usedBefore = 0
	if a.active(now) {
		a.since = now
	} else {
		a.since = a.until
	}
}

// ownership holds the first two hosts in the rendezvous ranking of a service: the owner, and the standby, which may serve as acting
// owner.
type ownership struct{ owner, standby string }

func (svc *serviceState) currentOwnership() ownership {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.ownership
}

// startServing reports whether this host may serve the queue as owner or acting owner. If it is not the owner, it starts or extends a
// period as acting owner. At the start of a period the rate buckets are emptied, because the owner may have spent the tokens in them.
func (rt *Router) startServing(svc *serviceState, now time.Time) bool {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if svc.ownership.owner == rt.self {
		return true
	}
	ok, started := svc.acting.extend(now)
	if started {
		svc.ownerQueue.EmptyBuckets(now)
		svc.addOwnGrants(rt.self, now)
	}
	return ok
}

// expireActing handles the end of a period as acting owner: requests that still wait have to be sent to another owner. It returns the
// remaining time if a period is in progress, else 0.
func (rt *Router) expireActing(svc *serviceState, now time.Time) time.Duration {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	a := &svc.acting
	if !a.active(now) {
		if a.endHandled || a.until.IsZero() || svc.ownership.owner == rt.self {
			return 0
		}
		// A new period would start with empty buckets again, so this one is extended while requests wait, for example for a token.
		if !svc.ownerQueue.anyWaiting() || !a.extendEnd(now) {
			a.endHandled = true
			svc.ownerQueue.DenyAll(errOwnerChanged)
			return 0
		}
	}
	return a.until.Sub(now)
}

// acquireFromStandby requests a grant from the standby, which serves as acting owner. It returns errOwnerChanged as the denial if the
// standby replies NotOwner. The error is errNoResponse, errNotAcknowledged or the context's.
func (rt *Router) acquireFromStandby(ctx context.Context, svc *serviceState, standby string, ref uint64, r Request) (
	d Decision, issuer grantOwner, err error) {
	svc.mu.Lock()
	notOwner := time.Now().Before(svc.notOwnerUntil)
	svc.mu.Unlock()
	switch {
	case standby == "" || notOwner:
		return d, issuer, errNoResponse
	case standby != rt.self:
		d, issuer, err = rt.link(standby).acquire(ctx, svc, ref, r, true)
		if err != errNotOwner {
			return d, issuer, err
		}
		svc.mu.Lock()
		svc.notOwnerUntil = time.Now().Add(notOwnerRetryDelay)
		svc.mu.Unlock()
		return Decision{Denied: errOwnerChanged}, issuer, nil
	}
	if !rt.startServing(svc, time.Now()) {
		return d, issuer, errNoResponse
	}
	svc.mu.Lock()
	if issuer = (grantOwner{queue: svc.ownerQueue}); svc.syncedOwner != issuer {
		svc.addOwnGrants(rt.self, time.Now())
	}
	svc.mu.Unlock()
	return rt.acquireFromQueue(ctx, svc, svc.ownerQueue, ref, r)
}
