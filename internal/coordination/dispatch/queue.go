package dispatch

import (
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

const (
	// DefaultPrefetch is the number of grants per endpoint beyond its slots. It keeps a slot in use during the round trip from a
	// release to the next grant.
	DefaultPrefetch = 1
	// grantExpiryDelay is the time after a request's deadline at which a grant that was not released expires.
	grantExpiryDelay = time.Second
	// waitingTickInterval is how often waiting requests are checked for new rate tokens, due trials and passed deadlines. Any other
	// change dispatches waiting requests in the call that makes it.
	waitingTickInterval = 5 * time.Millisecond
	// sweepInterval is how often open grants are checked for expiry.
	sweepInterval = 100 * time.Millisecond
	// idleCheckInterval is how often an unused queue is checked until its state can be discarded, for example until its rate
	// buckets are full again.
	idleCheckInterval = 10 * time.Second
)

// Key identifies a request, or its grant, at an owner. Host is the executor, which chooses Ref and never uses it twice in one
// incarnation.
type Key struct {
	Host string
	Ref  uint64
}

// Decision is the result for one request: a grant, or a denial if Denied is set.
type Decision struct {
	Endpoint endpoints.Endpoint
	Trial    bool
	Denied   *DeniedError
}

// Waiter receives the decision about one request, exactly once. Decided is called with the queue's lock held: it must neither block
// nor call the queue.
type Waiter interface {
	Decided(k Key, d Decision)
}

// OpenGrant is a grant in use, as an executor reports it to a new owner.
type OpenGrant struct {
	Ref      uint64
	Customer string
	Class    contract.Class
	Endpoint endpoints.ID
	Deadline time.Time
}

// Part is the fraction of a service's slots and limits that a queue may use: part Index of Count equal parts. The zero value is the
// whole service.
type Part struct{ Index, Count int }

func (p Part) count() int { return max(1, p.Count) }

// Queue holds the waiting requests and open grants of one service at one owner. Its methods receive the current time as an argument;
// it starts no timers or goroutines. It is safe for concurrent use.
type Queue struct {
	mu               sync.Mutex
	service          string
	prefetch         int
	part             Part
	bucketsEmptiedAt time.Time // when the rate buckets were last emptied
	limits           limits.Set
	endpointList     []endpoints.Endpoint // argument of the last SetEndpoints
	customers        map[string]*customer // nil while the queue is inactive, see Deactivate
	classes          [contract.Classes]class
	entries          map[Key]*entry // waiting and granted
	waiting          int
	endpoints        map[endpoints.ID]*endpoint
	usableEndpoints  []*endpoint // usable endpoints, in the order of the last SetEndpoints
	ejectedCount     int         // number of ejected endpoints in usableEndpoints
	meanServiceTime  float64     // moving average of all service times in seconds; 0 before the first
	lastSeq          uint64
	nextSweep        time.Time
	searchID         uint64   // number of the current search for a request to dispatch
	freeEntries      []*entry // for reuse
}

// entry is one request from Acquire to the end of its grant.
type entry struct {
	Key
	session     uint64
	request     Request
	waiter      Waiter
	customer    *customer
	seq         uint64
	index       int       // position in its heap while waiting
	awaitsToken bool      // waits for a rate token
	endpoint    *endpoint // set once granted
	trial       bool
	since       time.Time // start of the wait, or of the grant once granted
	started     time.Time // when the endpoint had a slot for the grant; zero while the grant is beyond the slots
}

// NewQueue returns a queue without requests. Its rate buckets are empty at now.
func NewQueue(now time.Time, service string, prefetch int, set limits.Set) *Queue {
	q := newInactiveQueue(now, service, prefetch, set)
	q.activate(now)
	return q
}

// newInactiveQueue returns an inactive queue; see Deactivate.
func newInactiveQueue(now time.Time, service string, prefetch int, set limits.Set) *Queue {
	return &Queue{service: service, prefetch: prefetch, bucketsEmptiedAt: now, limits: set}
}

// activate creates the state that an inactive queue does not have. The rate buckets are filled for the time since they were last
// emptied, as if they had existed all the time. q.mu is held.
func (q *Queue) activate(now time.Time) {
	if q.customers != nil {
		return
	}
	q.customers, q.entries, q.endpoints = map[string]*customer{}, map[Key]*entry{}, map[endpoints.ID]*endpoint{}
	for key, l := range q.limits {
		if key.Service == q.service {
			q.ensureCustomer(key.Customer).setLimits(q.bucketsEmptiedAt, l, q.part.count())
		}
	}
	q.setEndpoints(now, q.endpointList)
}

// Deactivate makes an unused queue inactive: it discards the state of customers and endpoints, which is created again on the next use.
// It reports whether the queue is inactive. This saves memory, because a host has a queue for each service of all contracts, and most
// of them are never used. Nothing is discarded while a request waits, a grant is open, a rate bucket is not full, an endpoint is
// ejected or a leaving endpoint is still listed. The average service times of the endpoints are discarded too and measured again.
func (q *Queue) Deactivate(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.entries) > 0 || q.ejectedCount > 0 {
		return false
	}
	for _, e := range q.endpoints {
		if e.listed && e.leaving {
			return false
		}
	}
	for _, c := range q.customers {
		if c.limits != nil && !c.bucket.Full(now) {
			return false
		}
	}
	q.discardState()
	return true
}

func (q *Queue) discardState() {
	q.customers, q.entries, q.endpoints, q.usableEndpoints, q.freeEntries = nil, nil, nil, nil, nil
	q.classes = [contract.Classes]class{}
}

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
	next := 0
	for _, e := range q.usableEndpoints {
		e.slots = 0
		for range max(1, e.Slots) {
			if next%q.part.count() == q.part.Index {
				e.slots++
			}
			next++
		}
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

// Acquire requests a grant. The waiter receives the decision, possibly before Acquire returns; waiting reports that the decision is
// pending. session identifies the connection over which the request arrived; see EndSession.
func (q *Queue) Acquire(now time.Time, session uint64, k Key, r Request, w Waiter) (waiting bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.activate(now)
	if q.entries[k] != nil {
		w.Decided(k, Decision{Denied: &DeniedError{Reason: refusals.RequestMalformed, Detail: "the reference is in use"}})
		return false
	}
	var awaitsToken bool
	var free *endpoint
	var denied *DeniedError
	if r.NoWait {
		free, denied = q.admitNoWait(now, &r)
	} else {
		awaitsToken, denied = q.admit(now, &r)
	}
	if denied != nil {
		w.Decided(k, Decision{Denied: denied})
		return false
	}
	e := q.newEntry()
	q.lastSeq++
	*e = entry{Key: k, session: session, request: r, waiter: w, customer: q.customers[r.Customer], seq: q.lastSeq,
		awaitsToken: awaitsToken, since: now}
	q.entries[k] = e
	q.enqueue(e)
	if free != nil {
		q.grant(now, e, free, false)
		return false
	}
	q.dispatch(now)
	return q.entries[k] == e && e.endpoint == nil
}

// Cancel ends the wait of a request. If the request was granted already, its grant is released with ResultCancelled.
func (q *Queue) Cancel(now time.Time, k Key) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.entries[k]
	switch {
	case e == nil:
		return
	case e.endpoint == nil:
		q.dequeue(e)
		q.freeEntry(e)
	default:
		q.release(now, e, Outcome{Result: ResultCancelled})
	}
	q.dispatch(now)
}

// Release ends a grant. It ignores a grant that is not known, for example because it expired.
func (q *Queue) Release(now time.Time, k Key, o Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e := q.entries[k]; e != nil && e.endpoint != nil {
		q.release(now, e, o)
		q.dispatch(now)
	}
}

// AddOpenGrants adds open grants that an executor received from another owner or over an earlier connection. They count against slots
// and concurrency and may exceed both until they end.
func (q *Queue) AddOpenGrants(now time.Time, session uint64, host string, open []OpenGrant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(open) == 0 {
		return
	}
	q.activate(now)
	for _, g := range open {
		k := Key{host, g.Ref}
		if e := q.entries[k]; e != nil {
			e.session = session
			continue
		}
		e := q.newEntry()
		q.lastSeq++
		*e = entry{Key: k, session: session, customer: q.ensureCustomer(g.Customer), seq: q.lastSeq,
			endpoint: q.ensureEndpoint(g.Endpoint), since: now,
			request: Request{Customer: g.Customer, Class: g.Class, Deadline: g.Deadline}}
		q.entries[k] = e
		e.customer.open++
		e.endpoint.addGrant(now, e)
	}
}

// EndSession ends all requests and grants of a connection that was closed. Grants that the executor has reported again over a newer
// connection remain.
func (q *Queue) EndSession(now time.Time, session uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range q.entries {
		switch {
		case e.session != session:
		case e.endpoint == nil:
			q.dequeue(e)
			q.freeEntry(e)
		default:
			q.release(now, e, Outcome{Result: ResultCancelled})
		}
	}
	q.dispatch(now)
}

// DenySession denies all waiting requests of a session with d. It is used when this host no longer owns the queue.
func (q *Queue) DenySession(session uint64, d *DeniedError) {
	q.denyWaiting(d, func(e *entry) bool { return e.session == session })
}

// DenyAll denies all waiting requests with d.
func (q *Queue) DenyAll(d *DeniedError) { q.denyWaiting(d, func(*entry) bool { return true }) }

func (q *Queue) denyWaiting(d *DeniedError, match func(*entry) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range q.entries {
		if e.endpoint == nil && match(e) {
			q.deny(e, d)
		}
	}
}

func (q *Queue) anyWaiting() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting > 0
}

// endpointOf returns the endpoint of an open grant.
func (q *Queue) endpointOf(k Key) (id endpoints.ID, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e := q.entries[k]; e != nil && e.endpoint != nil {
		return e.endpoint.ID, true
	}
	return id, false
}

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
