package dispatch

import (
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
)

// bucketsDiffer reports whether the new set adds a customer or changes the rate or burst of one.
func (q *Queue) bucketsDiffer(set limits.Set) bool {
	for key, l := range set {
		if o := q.limits[key]; key.Service == q.service && (o == nil || o.Rate != l.Rate || o.Burst != l.Burst) {
			return true
		}
	}
	return false
}

// SetLimits applies the limits derived from a new configuration. Waiting requests are denied if the customer's contract no longer
// contains the service or if they exceed a shorter queue length. Open grants remain valid.
func (q *Queue) SetLimits(now time.Time, set limits.Set) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.customers == nil {
		if q.bucketsDiffer(set) {
			q.bucketsEmptiedAt = now // the number of tokens under the old rate and burst is not known
		}
		q.limits = set
		return
	}
	q.limits = set
	for key, l := range set {
		if key.Service == q.service {
			c := q.ensureCustomer(key.Customer)
			c.setLimits(now, l, q.part.count())
			for c.waiting > l.QueueLength {
				q.deny(c.leastUrgent(contract.Urgent), q.queueFullDenial(c))
			}
		}
	}
	for name, c := range q.customers {
		if _, ok := set[limits.Key{Customer: name, Service: q.service}]; ok {
			continue
		}
		c.limits = nil
		for c.waiting > 0 {
			q.deny(c.leastUrgent(contract.Urgent), notInContractDenial(q.service))
		}
		if c.open == 0 {
			delete(q.customers, name)
		}
	}
	q.dispatch(now)
}

// SetPart changes the part of the service that this queue may use. Open grants remain valid.
func (q *Queue) SetPart(now time.Time, p Part) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p == q.part {
		return
	}
	q.part = p
	if q.customers == nil {
		return
	}
	for _, c := range q.customers {
		if c.limits != nil {
			c.setLimits(now, c.limits, p.count())
		}
	}
	q.assignSlots()
	q.dispatch(now)
}

// EmptyBuckets empties the rate buckets, because the previous owner may have spent the tokens in them.
func (q *Queue) EmptyBuckets(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.bucketsEmptiedAt = now
	for _, c := range q.customers {
		c.bucket = limits.Bucket{}
		if c.limits != nil {
			c.setLimits(now, c.limits, q.part.count())
		}
	}
}

// SetEndpoints replaces the usable endpoints. Endpoints that are not in the list receive no further grants.
func (q *Queue) SetEndpoints(now time.Time, list []endpoints.Endpoint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.endpointList = list
	if q.customers != nil {
		q.setEndpoints(now, list)
	}
}

func (q *Queue) setEndpoints(now time.Time, list []endpoints.Endpoint) {
	for _, e := range q.endpoints {
		e.listed = false
	}
	for _, l := range list {
		e := q.ensureEndpoint(l.ID)
		e.Endpoint, e.listed = l, true
	}
	q.rebuildUsable(list)
	q.dispatch(now)
}

// rebuildUsable rebuilds the usable endpoints in the order of list, or in the previous order if list is nil.
func (q *Queue) rebuildUsable(list []endpoints.Endpoint) {
	old := q.usableEndpoints
	q.usableEndpoints = make([]*endpoint, 0, max(len(old), len(list)))
	if list == nil {
		for _, e := range old {
			list = append(list, e.Endpoint)
		}
	}
	for _, l := range list {
		if e := q.endpoints[l.ID]; e != nil && e.usable() {
			q.usableEndpoints = append(q.usableEndpoints, e)
		}
	}
	for _, e := range q.endpoints {
		q.removeUnusedEndpoint(e)
	}
	q.assignSlots()
	q.limitEjections()
	q.denyWithoutEndpoint()
}

// assignSlots computes the slots of this queue's part. Slots are assigned to the parts in turn, so the parts of all hosts add up to
// all slots if the hosts have the same membership view and the same endpoints.
func (q *Queue) assignSlots() {
	next, count := 0, q.part.count() // next is the part that the next slot goes to
	for _, e := range q.usableEndpoints {
		n, own := max(1, e.Slots), (q.part.Index-next+count)%count // own is the first slot of this part
		e.slots = 0
		if n > own {
			e.slots = (n-own-1)/count + 1
		}
		next = (next + n%count) % count
	}
}

// denyWithoutEndpoint denies waiting requests for which no endpoint is left.
func (q *Queue) denyWithoutEndpoint() {
	for _, e := range q.entries {
		if e.endpoint == nil && !q.reachable(e.request.ExcludedEndpoints) {
			q.deny(e, q.noUpstreamDenial())
		}
	}
}
