package forward

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/overload"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
)

// queue returns the queue of a service.
func (f *Forwarder) queue(service string) *overload.Queue {
	if q, ok := f.queues.Load(service); ok {
		return q.(*overload.Queue)
	}
	q, _ := f.queues.LoadOrStore(service, &overload.Queue{})
	return q.(*overload.Queue)
}

// WakeAll has all waiting requests of a service look for an endpoint anew, because this host's way to them has changed.
func (f *Forwarder) WakeAll(service string) { f.queue(service).WakeAll() }

// QueueStates returns what this host knows of the queues of its services, ordered by their names.
func (f *Forwarder) QueueStates(now time.Time) (states []overload.State) {
	f.queues.Range(func(service, q any) bool {
		states = append(states, q.(*overload.Queue).State(service.(string), now))
		return true
	})
	slices.SortFunc(states, func(a, b overload.State) int { return strings.Compare(a.Service, b.Service) })
	return states
}

// overloadRequest returns what the queue of the service has to know of the request.
func (r *activeRequest) overloadRequest() overload.Request {
	c := r.call
	customer := c.Customer
	if r.plain {
		customer = "" // customers have no shares then
	}
	due, lateAt := c.Due.Add(-c.AnswerDelay), r.targetAt
	if lateAt.After(due) {
		lateAt = due
	}
	return overload.Request{CustomerPriority: c.CustomerPriority, RoutePriority: c.Route.Priority, Route: c.Route.Name, Guest: c.Handover != nil, Customer: customer,
		Work: r.serviceTime, FirstSent: c.Arrived.Add(-r.waitedFor), LateAt: lateAt, Due: due, CallerDue: c.callerDue(), Plain: r.plain}
}

// waitedBefore returns how long the caller had waited before this attempt, by the times that it states. The estimate is made once for a call.
func (f *Forwarder) waitedBefore(c *Call, now time.Time) time.Duration {
	if c.waitedBefore == nil {
		waited := time.Duration(0)
		if c.Handover != nil {
			waited = c.Handover.WaitedBefore
		} else {
			waited = f.waits.Estimate(c.Route.Name, c.callerDue().Sub(c.Arrived), now)
		}
		c.waitedBefore = &waited
	}
	return *c.waitedBefore
}

// targetAt returns when the target latency is exceeded, counted from the caller's first attempt, which was made waited before this one; at most the
// deadline.
func (c *Call) targetAt(waited time.Duration) time.Time {
	at := c.Arrived.Add(c.Route.TargetLatency - callerRoundTrip - waited)
	if c.Route.TargetLatency > 0 && at.Before(c.Due) {
		return at
	}
	return c.Due
}

// CanOnlyBeLate reports whether a request that has not been forwarded yet can no longer be answered within its target latency, because its caller has
// waited before this attempt. It returns false where requests are not ordered by what their callers lose.
func (f *Forwarder) CanOnlyBeLate(c *Call, now time.Time) bool {
	return f.cfg.OrderByValue() && now.Add(f.serviceTimes.estimate(c.Route)).After(c.targetAt(f.waitedBefore(c, now)))
}

const (
	// recheckInterval is the interval at which the first waiting request looks for an endpoint without a wake-up. A slot that a request of
	// another host frees causes no wake-up on this host.
	recheckInterval = 15 * time.Millisecond
	// lateRecheckInterval is the same for a request that can only be late.
	lateRecheckInterval = 60 * time.Millisecond
)

// mayBeLate reports whether the request waits although it can only be late, whatever the load: an earlier attempt has failed.
func (r *activeRequest) mayBeLate() bool {
	return r.lateAt.Equal(r.call.Due) && !r.targetAt.Equal(r.call.Due)
}

// mayWaitLate reports whether a request that Admit refuses may wait for capacity that no request which can be in time needs: the endpoint that was
// found, if any, has no free slot, and nothing but load keeps the request from the service.
func (r *activeRequest) mayWaitLate(best *placement.EndpointView) bool {
	return !r.plain && (best == nil || !best.HasFreeSlot()) && r.result.Candidates > 0 && r.allRejectingUntil.IsZero() && !r.limits.all && !r.mayBeLate() &&
		time.Until(r.call.Due) > r.serviceTime+r.call.AnswerDelay
}

// waitForTurn returns true when the request should look for an endpoint again: after a wake-up, after an interval if it is the first of the queue,
// when it can no longer be answered before lateAt or its deadline, and when ctx ends. It returns false if the request is refused because too many
// requests are served before it, which is decided at once and while it waits. starved says that it has found no free slot.
func (r *activeRequest) waitForTurn(ctx context.Context, queue *overload.Queue, w *overload.Waiter, starved bool) bool {
	if r.plain {
		r.waitPlainly(ctx, queue, w)
		return true
	}
	r.woken = false
	for first := true; ; first = false {
		now := time.Now()
		if starved && !r.mayBeLate() {
			r.overload = queue.Decide(w, now)
			r.result.Overload = &r.overload
			if r.overload.Reason != overload.NoReason {
				r.refuseOverload(queue, now)
				return false
			}
		}
		if first {
			r.result.QueueWaits++
		}
		wait, search := r.nextCheck(queue, w, now)
		if decision := queue.NextDecision(w, now); starved && !search && decision < wait {
			wait = decision
		} else {
			search = true
		}
		timer := time.NewTimer(wait)
		select {
		case <-w.Wake:
			timer.Stop()
			r.woken = true
			return true
		case <-timer.C:
			if search || queue.IsFirst(w, time.Now()) {
				return true
			}
		case <-ctx.Done():
			timer.Stop()
			return true
		}
	}
}

// waitPlainly returns when the request should look for an endpoint again: after a wake-up, or at a multiple of recheckInterval at which it is the first
// of the queue or no more than its usual duration is left until lateAt. It also returns when ctx ends.
func (r *activeRequest) waitPlainly(ctx context.Context, queue *overload.Queue, w *overload.Waiter) {
	r.result.QueueWaits++
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.Wake:
			return
		case now := <-ticker.C:
			if queue.IsFirst(w, now) || r.lateAt.Sub(now) <= r.serviceTime {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// nextCheck returns how long a waiting request waits for a wake-up, and whether it is the first of the queue, which looks for an endpoint then. One
// that becomes the first is woken.
func (r *activeRequest) nextCheck(queue *overload.Queue, w *overload.Waiter, now time.Time) (wait time.Duration, first bool) {
	interval := recheckInterval
	if r.overload.Late {
		interval = lateRecheckInterval
	}
	if queue.IsFirst(w, now) {
		return interval, true
	}
	for _, at := range []time.Time{r.lateAt, r.call.Due} {
		if left := at.Sub(now) - r.serviceTime; left > 0 {
			return left, false
		}
	}
	return interval, false
}

// refuseOverload refuses the request because of the load of the service.
func (r *activeRequest) refuseOverload(queue *overload.Queue, now time.Time) {
	if len(r.result.Attempts) > 0 {
		return
	}
	const steps = 1000
	request := r.overloadRequest()
	r.result.Outcome = RefusedTooLate
	r.result.RetryAfter = queue.RetryAfter(&request, now, func() float64 { return float64(r.forwarder.cfg.Random(steps)) / steps })
}
