package dispatch

import (
	"context"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
)

const (
	// probeAfter is how long an ejected endpoint that is due for a trial waits for an idempotent request before it is probed.
	probeAfter = 2 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// budgetTolerance is the factor that allows for rounding when the measuring budget is compared with the number of hosts.
	budgetTolerance = 1.001
	// idleBudgetLifetime is how long the token bucket of an upstream is kept after its last probe.
	idleBudgetLifetime = 10 * time.Minute
)

// StartDueProbes returns the ejected endpoints that have to be probed now, because no request was available as a trial. allow charges
// the measuring budget of an endpoint and reports whether the budget permits the probe; it is called with the queue's lock held. Each
// probe must be ended by EndProbe. Until then it prevents trials of the endpoint.
func (q *Queue) StartDueProbes(now time.Time, allow func(endpoints.ID) bool) (due []endpoints.Endpoint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range q.usableEndpoints {
		if e.ejected && e.mayStartTrial(now) && now.Sub(e.nextTrialAt) >= probeAfter && now.Sub(e.lastTrialEnd) >= probeAfter && allow(e.ID) {
			e.trialInProgress = true
			due = append(due, e.Endpoint)
		}
	}
	return due
}

// EndProbe ends a probe. Its result counts like that of a trial request.
func (q *Queue) EndProbe(now time.Time, id endpoints.ID, failed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.endpoints[id]
	if e == nil || !e.trialInProgress {
		return
	}
	e.trialInProgress = false
	if e.usable() {
		q.recordTrial(now, e, failed)
	}
	q.dispatch(now)
}

// probeBudgetOf returns the measuring budget of a service, which is equal in the limits of all customers of the service.
func probeBudgetOf(set limits.Set, service string) limits.ProbeBudget {
	for key, l := range set {
		if key.Service == service {
			return l.Probes
		}
	}
	return limits.ProbeBudget{}
}

// startProbes starts the probes that are due for a service that this host owns. It also calls OnTooManyHosts if more
// hosts are known than the number by which the measuring budget is divided.
func (rt *Router) startProbes(svc *serviceState) {
	if rt.cfg.Probe == nil || svc.currentOwnership().owner != rt.self {
		return
	}
	now := time.Now()
	svc.mu.Lock()
	budget := svc.budget
	svc.mu.Unlock()
	known := rt.view.Load().known
	tooMany := float64(known)*budget.PerHost > budget.Total*budgetTolerance
	if tooMany && rt.cfg.OnTooManyHosts != nil && svc.tooManyHostsReported.CompareAndSwap(false, true) {
		rt.cfg.OnTooManyHosts(svc.name, known)
	}
	rt.probeBudget.RemoveIdle(now.Add(-idleBudgetLifetime))
	due := svc.ownerQueue.StartDueProbes(now, func(id endpoints.ID) bool { return rt.probeBudget.TryStart(now, id.Address, budget, known) })
	for _, e := range due {
		go func() {
			ctx, cancel := context.WithTimeout(rt.ctx, probeTimeout)
			defer cancel()
			defer rt.probeBudget.ProbeDone(e.Address)
			err := rt.cfg.Probe(ctx, e)
			svc.ownerQueue.EndProbe(time.Now(), e.ID, err != nil)
		}()
	}
}
