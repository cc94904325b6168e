package dispatch

import (
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/contract"
)

// Tick ends requests and grants that have expired and dispatches waiting requests. It returns the delay after which it has to be
// called again, or 0 if that is not necessary before the next call of another method.
func (q *Queue) Tick(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	q.dispatch(now)
	return q.tickAfter()
}

func (q *Queue) tickAfter() time.Duration {
	switch {
	case q.waiting > 0:
		return waitingTickInterval
	case len(q.entries) > 0 || q.ejectedCount > 0:
		return sweepInterval
	}
	return 0
}

func (q *Queue) expire(now time.Time) {
	for i := range q.classes {
		for j := len(q.classes[i].activeCustomers) - 1; j >= 0; j-- {
			c := q.classes[i].activeCustomers[j]
			for h := &c.classes[i].heap; len(*h) > 0 && !now.Before((*h)[0].request.Deadline); {
				q.deny((*h)[0], expiredInQueueDenial((*h)[0], now))
			}
		}
	}
	if now.Before(q.nextSweep) {
		return
	}
	q.nextSweep = now.Add(sweepInterval)
	for _, e := range q.entries {
		if e.endpoint != nil && !now.Before(e.request.Deadline.Add(grantExpiryDelay)) {
			q.release(now, e, Outcome{Result: ResultCancelled})
		}
	}
}

// dispatch grants as long as there is a request and an endpoint for it.
func (q *Queue) dispatch(now time.Time) {
	for q.waiting > 0 {
		free := q.capacity(now)
		if !free.any() || !q.dispatchOne(now, free) {
			return
		}
	}
}

// dispatchOne grants one waiting request, or denies one that is too late. It reports whether the queue changed.
func (q *Queue) dispatchOne(now time.Time, free capacity) bool {
	q.searchID++
	for i := range q.classes {
		cl := &q.classes[i]
		for {
			c := cl.nextCustomer(q, now, contract.Class(i))
			if c == nil {
				break
			}
			c.classes[i].lastSearch = q.searchID
			if q.grantFrom(now, c, contract.Class(i), free) {
				return true
			}
		}
	}
	return false
}

// grantFrom grants the first request, in the order of deadlines, of a customer and class that an endpoint accepts. If the head of the
// queue can no longer complete in time, it is denied instead. grantFrom reports whether the queue changed.
func (q *Queue) grantFrom(now time.Time, c *customer, class contract.Class, free capacity) bool {
	cq := &c.classes[class]
	head := cq.heap[0]
	if d := q.tooLate(now, head, free); d != nil {
		q.deny(head, d)
		return true
	}
	e := head
	ep, trial := q.endpointFor(now, head, free)
	if ep == nil {
		// Another request may be dispatchable although the head is not, because requests differ in the endpoints that they exclude,
		// in whether they may be trials and in whether they wait for a rate token. The earliest deadline goes first.
		for _, other := range cq.heap[1:] {
			if e != head && !other.before(e) {
				continue
			}
			if p, t := q.endpointFor(now, other, free); p != nil {
				e, ep, trial = other, p, t
			}
		}
	}
	if ep == nil {
		return false
	}
	if e.awaitsToken {
		c.bucket.Take(now, 1)
	}
	q.grant(now, e, ep, trial)
	return true
}

// endpointFor returns the endpoint for a request, or nil if no endpoint accepts it or its rate token is not available.
func (q *Queue) endpointFor(now time.Time, e *entry, free capacity) (ep *endpoint, trial bool) {
	if e.awaitsToken && e.customer.bucket.Tokens(now) < 1 {
		return nil, false
	}
	return q.chooseEndpoint(now, e, free)
}

func (q *Queue) grant(now time.Time, e *entry, ep *endpoint, trial bool) {
	q.dequeue(e)
	q.classes[e.request.Class].charge(e.customer, e.request.Class)
	e.customer.open++
	e.endpoint, e.trial, e.since = ep, trial, now
	ep.addGrant(now, e)
	ep.trialInProgress = ep.trialInProgress || trial
	w := e.waiter
	e.waiter = nil
	w.Decided(e.Key, Decision{Endpoint: ep.Endpoint, Trial: trial})
}

func (q *Queue) release(now time.Time, e *entry, o Outcome) {
	ep := e.endpoint
	ep.removeGrant(now, e)
	if !e.started.IsZero() {
		o.ServiceTime = max(0, o.ServiceTime-e.started.Sub(e.since))
	}
	e.customer.open--
	if e.customer.open == 0 && e.customer.limits == nil {
		delete(q.customers, e.customer.name)
	}
	q.applyOutcome(now, ep, e.trial, o)
	q.removeUnusedEndpoint(ep)
	q.freeEntry(e)
}

func (q *Queue) deny(e *entry, d *DeniedError) {
	q.dequeue(e)
	e.waiter.Decided(e.Key, Decision{Denied: d})
	q.freeEntry(e)
}

func (q *Queue) newEntry() *entry {
	if n := len(q.freeEntries); n > 0 {
		e := q.freeEntries[n-1]
		q.freeEntries = q.freeEntries[:n-1]
		return e
	}
	return &entry{}
}

// maxFreeEntries is the maximum number of entries kept for reuse.
const maxFreeEntries = 256

func (q *Queue) freeEntry(e *entry) {
	delete(q.entries, e.Key)
	*e = entry{}
	if len(q.freeEntries) < maxFreeEntries {
		q.freeEntries = append(q.freeEntries, e)
	}
}
