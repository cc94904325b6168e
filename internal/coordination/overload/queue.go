package overload

import (
	"container/heap"
	"slices"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/decay"
)

// Queue holds the requests of one service that wait on this host. Requests that can still be in time come first, ordered by rank, then by the work
// that their customers got done, then by urgency; then those that can only be late, in the same order. An exception are the late ones of a band that is
// underserved. It is safe for concurrent use, and its zero value is empty.
type Queue struct {
	mu    sync.Mutex
	bands []*band // by rank
	first *Waiter // as of the last change
	count int
	works map[string]*orderWork // by route, of those with waiting requests

	customers  customers
	searchedAt time.Time // when an arrival last woke the first request

	running     int         // requests of this host at endpoints
	completed   decay.Meter // work of the requests that endpoints answered
	completions decay.Meter // these requests
	stretch     float64     // duration of requests at endpoints, as a multiple of their work; 0 if none was answered yet
}

// orderWork is the work by which the waiting requests of one route are ordered. It stays the same while any of them waits, so that they keep the
// order of their arrival while the estimate of their work changes.
type orderWork struct {
	work    time.Duration
	waiting int
}

// band holds the waiting requests of one rank.
type band struct {
	rank         rank
	inTime, late lane
	shares       map[string]*share // by customer
	virtual      float64           // virtual start of the last request that was served
	arrivals     decay.Meter       // work of requests that can be in time
	promised     time.Time         // until when capacity is promised to refused callers; see RetryAfter

	served, refused decay.Meter // requests
}

// share returns the share of a customer and adds it if there is none.
func (b *band) share(q *Queue, name string, now time.Time) *share {
	s := b.shares[name]
	if s == nil {
		if b.shares == nil {
			b.shares = map[string]*share{}
		}
		s = newShare()
		b.shares[name] = s
	}
	if s.customer == nil {
		s.customer = q.customers.get(name, now)
	}
	return s
}

// Waiter is a waiting request. Wake receives a value when an endpoint may have a free slot, and when the request has become the first.
type Waiter struct {
	Wake    chan struct{}
	request Request
	urgency time.Time
	band    *band
	share   *share
	isLate  bool // it is in the lane of the requests that can only be late
	starved bool // it has found no free slot, or waits for its turn; see MustWait
}

// lane returns the lane that holds the waiter.
func (w *Waiter) lane() *lane {
	if w.isLate {
		return &w.band.late
	}
	return &w.band.inTime
}

// flow returns the flow that holds the waiter.
func (w *Waiter) flow() *flow {
	if w.isLate {
		return &w.share.flows[1]
	}
	return &w.share.flows[0]
}

// band returns the band of a rank and adds it if there is none. q.mu must be held.
func (q *Queue) band(r rank) *band {
	i, ok := slices.BinarySearchFunc(q.bands, r, func(b *band, r rank) int { return b.rank.compare(r) })
	if !ok {
		q.bands = slices.Insert(q.bands, i, &band{rank: r})
	}
	return q.bands[i]
}

// Add adds a request. starved says that it waits for its turn or has found no free slot; otherwise it waits for a faster endpoint or a permit.
func (q *Queue) Add(r Request, starved bool, now time.Time) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.band(r.rank())
	w := &Waiter{Wake: make(chan struct{}, 1), request: r, urgency: r.urgency(q.holdWork(&r)), band: b, share: b.share(q, r.Customer, now), starved: starved,
		isLate: !now.Before(r.lateFrom())}
	if w.share.idle() {
		w.share.tag = max(w.share.tag, b.virtual)
	}
	w.lane().add(w)
	q.count++
	q.settle(w, now)
	return w
}

// holdWork returns the work by which a request that begins to wait is ordered. q.mu must be held.
func (q *Queue) holdWork(r *Request) time.Duration {
	o := q.works[r.Route]
	if o == nil {
		if q.works == nil {
			q.works = map[string]*orderWork{}
		}
		o = &orderWork{work: r.Work}
		q.works[r.Route] = o
	}
	o.waiting++
	return o.work
}

// releaseWork records that a request no longer waits. q.mu must be held.
func (q *Queue) releaseWork(r *Request) {
	if o := q.works[r.Route]; o.waiting > 1 {
		o.waiting--
		return
	}
	delete(q.works, r.Route)
}

// Remove removes a request. served says that it was sent to an endpoint, so that its work counts in its customer's share. If it was the first, the
// next one is woken to look for an endpoint in its place.
func (q *Queue) Remove(w *Waiter, served bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !w.lane().remove(w) {
		return
	}
	q.count--
	q.releaseWork(&w.request)
	if served {
		w.band.virtual = max(w.band.virtual, w.share.tag)
		w.share.tag += w.request.Work.Seconds() / w.share.weight()
		for i, l := range []*lane{&w.band.inTime, &w.band.late} {
			if index := w.share.flows[i].index; index >= 0 {
				heap.Fix(&l.flows, index)
			}
		}
	}
	q.settle(nil, now)
}

// SetStarved records whether the last search of a waiting request has found no free slot.
func (q *Queue) SetStarved(w *Waiter, starved bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.starved == starved {
		return
	}
	w.starved = starved
	if starved {
		w.lane().starved++
	} else {
		w.lane().starved--
	}
}

// settle moves the first requests that can only be late by now to their lane, and wakes the first request if it was not the first before. It
// does not wake the caller's own request. q.mu must be held.
func (q *Queue) settle(own *Waiter, now time.Time) {
	var first *Waiter
	for _, b := range q.bands {
		for w := b.inTime.first(); w != nil && !now.Before(w.request.lateFrom()); w = b.inTime.first() {
			b.inTime.remove(w)
			w.isLate = true
			b.late.add(w)
		}
		if first == nil {
			first = q.firstOf(b, now)
		}
	}
	for _, b := range q.bands {
		if first == nil {
			first = b.late.first()
		}
	}
	if first != nil && first != q.first && first != own {
		first.wake()
	}
	q.first = first
}

// firstOf returns the first request of a band that comes before the requests of less urgent bands, or nil. q.mu must be held.
func (q *Queue) firstOf(b *band, now time.Time) *Waiter {
	if w := b.inTime.first(); w != nil {
		return w
	}
	if w := b.late.first(); w != nil && q.underserved(b, now) {
		return w
	}
	return nil
}

// wake wakes the request and reports whether it had no wake-up pending.
func (w *Waiter) wake() bool {
	select {
	case w.Wake <- struct{}{}:
		return true
	default:
		return false
	}
}

// IsFirst reports whether the request is the first of the queue. Only the first one looks for an endpoint without being woken. If all
// did, they would use up the probe budget, and the next slot would not go by the order of the queue.
func (q *Queue) IsFirst(w *Waiter, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.settle(w, now)
	return q.first == w
}

// MustWait reports whether a request has to join the queue before it looks for an endpoint: a more urgent one waits, or one of the same rank that
// has found no free slot.
func (q *Queue) MustWait(r *Request, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.count == 0 {
		return false
	}
	isLate := !now.Before(r.lateFrom())
	for _, b := range q.bands {
		order := b.rank.compare(r.rank())
		if r.Plain {
			if order < 0 && b.inTime.count > 0 {
				return true
			}
			continue
		}
		if b.inTime.blocks(order) || isLate && (b.inTime.starved > 0 || b.late.blocks(order)) {
			return true
		}
	}
	return false
}

// blocks reports whether the lane has a request that comes before one whose rank compares to that of the lane as given.
func (l *lane) blocks(order int) bool {
	return order < 0 && l.count > 0 || order == 0 && l.starved > 0
}

// Ahead returns the number of requests that wait before a waiting request, or of all that wait if w is nil.
func (q *Queue) Ahead(w *Waiter) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w == nil || q.count == 0 {
		return q.count
	}
	n, _, _ := q.ahead(w, w.isLate, false)
	return n
}

// lanes calls f with the lanes in their order, until it returns false. q.mu must be held.
func (q *Queue) lanes(f func(*lane) bool) {
	for _, b := range q.bands {
		if !f(&b.inTime) {
			return
		}
	}
	for _, b := range q.bands {
		if !f(&b.late) {
			return
		}
	}
}

// WakeNext wakes the first request that has no wake-up pending, because an endpoint may have a free slot.
func (q *Queue) WakeNext() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lanes(func(l *lane) bool { return !l.wakeNext() })
}

// searchInterval is the least interval at which arrivals wake the first request. A search takes about as long.
const searchInterval = 2 * time.Millisecond

// WakeFirst wakes the first request, because one that arrives leaves the search for an endpoint to it.
func (q *Queue) WakeFirst(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.first != nil && now.Sub(q.searchedAt) >= searchInterval && q.first.wake() {
		q.searchedAt = now
	}
}

// WakeAll wakes all requests.
func (q *Queue) WakeAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lanes(func(l *lane) bool {
		for _, f := range l.flows {
			for _, w := range f.waiters {
				w.wake()
			}
		}
		return true
	})
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.count
}
