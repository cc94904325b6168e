package dispatch

import (
	"context"
	"time"
)

// decisionChan is the Waiter for requests of this host in its own queues.
type decisionChan chan Decision

func (w decisionChan) Decided(_ Key, d Decision) { w <- d }

// Acquire implements Granter.
func (rt *Router) Acquire(ctx context.Context, r Request) (Grant, error) {
	svc := rt.service(r.Service)
	if svc == nil {
		return Grant{}, notInContractDenial(r.Service)
	}
	for {
		ref, d, issuer, err := rt.acquireOnce(ctx, svc, r)
		switch {
		case err != nil:
			return Grant{}, err
		case d.Denied == errOwnerChanged:
			continue
		case d.Denied != nil:
			return Grant{}, d.Denied
		}
		g := &openGrant{OpenGrant: OpenGrant{Ref: ref, Customer: r.Customer, Class: r.Class, Endpoint: d.Endpoint.ID, Deadline: r.Deadline},
			owners: []grantOwner{issuer}}
		owner := rt.self
		if issuer.link != nil {
			owner = issuer.link.host
		}
		svc.mu.Lock()
		svc.openGrants[ref] = g
		if issuer.queue == svc.fallbackQueue {
			svc.syncedOwner = grantOwner{} // the grant is reported to the owner with the next request
		}
		svc.mu.Unlock()
		return Grant{ID: ref, Endpoint: d.Endpoint, Owner: owner, Trial: d.Trial}, nil
	}
}

// acquireOnce requests a grant from the owner, from the standby if the owner does not respond, and from this host's fallback queue if
// neither responds. If a host is reachable but does not acknowledge the request in time, the fallback queue is used at once, because a
// second owner would serve at the same time as the first one. acquireOnce returns errOwnerChanged as the denial if the request has to be
// repeated. The error is the context's.
func (rt *Router) acquireOnce(ctx context.Context, svc *serviceState, r Request) (ref uint64, d Decision, issuer grantOwner, err error) {
	ref = rt.lastRef.Add(1)
	if ctx.Err() != nil {
		return ref, d, issuer, ctx.Err()
	}
	current := svc.currentOwnership()
	if current.owner == rt.self {
		d, issuer, err = rt.acquireFromQueue(ctx, svc, svc.ownerQueue, ref, r)
		return ref, d, issuer, err
	}
	if current.owner != "" && rt.cfg.Dialer != nil {
		d, issuer, err = rt.link(current.owner).acquire(ctx, svc, ref, r, false)
		if err == errNoResponse && svc.currentOwnership() == current {
			ref = rt.lastRef.Add(1) // the owner may still process the previous one
			d, issuer, err = rt.acquireFromStandby(ctx, svc, current.standby, ref, r)
		}
		switch {
		case err == errNotOwner:
			return ref, Decision{Denied: errOwnerChanged}, issuer, nil
		case err != errNoResponse && err != errNotAcknowledged:
			return ref, d, issuer, err
		case svc.currentOwnership() != current:
			return ref, Decision{Denied: errOwnerChanged}, issuer, nil
		}
		ref = rt.lastRef.Add(1) // the other hosts may still process the previous ones
	}
	d, issuer, err = rt.acquireFromQueue(ctx, svc, svc.fallbackQueue, ref, r)
	return ref, d, issuer, err
}

// acquireFromQueue requests a grant from a queue at this host.
func (rt *Router) acquireFromQueue(ctx context.Context, svc *serviceState, q *Queue, ref uint64, r Request) (Decision, grantOwner, error) {
	k := Key{rt.self, ref}
	w := make(decisionChan, 1)
	rt.refreshEndpoints(svc)
	if q.Acquire(time.Now(), localSession, k, r, w) {
		rt.scheduleTick(svc, waitingTickInterval)
	} else {
		rt.scheduleTick(svc, sweepInterval)
	}
	select {
	case d := <-w:
		return d, grantOwner{queue: q}, nil
	case <-ctx.Done():
		q.Cancel(time.Now(), k)
		return Decision{}, grantOwner{}, ctx.Err()
	}
}

// Release implements Granter.
func (rt *Router) Release(g Grant, o Outcome) {
	if o.Leaving && rt.cfg.MarkLeaving != nil {
		rt.cfg.MarkLeaving(g.Endpoint.ID)
	}
	svc := rt.service(g.Endpoint.Service)
	if svc == nil {
		return
	}
	svc.mu.Lock()
	open := svc.openGrants[g.ID]
	delete(svc.openGrants, g.ID)
	svc.mu.Unlock()
	if open == nil {
		return
	}
	rt.refreshEndpoints(svc)
	for i, owner := range open.owners {
		if i > 0 {
			// Only the owner that issued the grant evaluates the outcome; the others only stop counting the grant.
			o = Outcome{Result: ResultCancelled, Leaving: o.Leaving}
		}
		if owner.queue != nil {
			owner.queue.Release(time.Now(), Key{rt.self, g.ID}, o)
		} else {
			owner.link.release(owner.generation, &GrantMessage{Kind: KindRelease, Ref: g.ID, Service: svc.name, Outcome: o})
		}
	}
}

// release sends a release to the owner if the connection is still the one of the given generation. Otherwise the end of that
// connection has released the grant already.
func (l *link) release(generation uint64, m *GrantMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out != nil && l.generation == generation {
		l.out.put(m)
	}
}
