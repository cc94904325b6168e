package forward

import (
	"context"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/overload"
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

// overloadRequest returns what the queue of the service has to know of the request.
func (r *activeRequest) overloadRequest() overload.Request {
	c := r.call
	return overload.Request{CustomerPriority: c.CustomerPriority, RoutePriority: c.Route.Priority, Route: c.Route.Name, Guest: c.Handover != nil, Customer: c.Customer,
		Work: r.serviceTime, FirstSent: c.Arrived.Add(-r.waitedFor), LateAt: r.targetAt, Due: c.Due}
}

// recheckInterval is the interval at which the first waiting request looks for an endpoint without a wake-up. A slot that a request of
// another host frees causes no wake-up on this host.
const recheckInterval = 15 * time.Millisecond

// waitForTurn returns when the request should look for an endpoint again: after a wake-up, after recheckInterval if it is the first of the queue,
// and when it can no longer be answered before lateAt or its deadline. It also returns when ctx ends.
func (r *activeRequest) waitForTurn(ctx context.Context, queue *overload.Queue, w *overload.Waiter) {
	r.result.QueueWaits++
	timer := time.NewTimer(r.nextCheck(queue, w, time.Now()))
	defer timer.Stop()
	select {
	case <-w.Wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// nextCheck returns how long a waiting request waits for a wake-up. One that becomes the first of the queue is woken.
func (r *activeRequest) nextCheck(queue *overload.Queue, w *overload.Waiter, now time.Time) time.Duration {
	if queue.IsFirst(w, now) {
		return recheckInterval
	}
	for _, at := range []time.Time{r.lateAt, r.call.Due} {
		if left := at.Sub(now) - r.serviceTime; left > 0 {
			return left
		}
	}
	return recheckInterval
}
