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
