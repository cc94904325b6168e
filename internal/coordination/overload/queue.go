package overload

import (
	"slices"
	"sync"
	"time"
)

// Queue holds the requests of one service that wait on this host. Requests that can still be in time come first, ordered by rank, then by
// urgency; then those that can only be late, in the same order. An exception are the late ones of a band that is underserved. It is safe for concurrent use, and its zero value is empty.
type Queue struct {
	mu    sync.Mutex
	bands []*band // by rank
	first *Waiter // as of the last change
	count int
	works map[string]*orderWork // by route, of those with waiting requests

	running   int     // requests of this host at endpoints
	completed meter   // work of the requests that endpoints answered
	stretch   float64 // duration of requests at endpoints, as a multiple of their work; 0 if none was answered yet
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
	arrivals     meter     // of requests that can be in time
	promised     time.Time // until when capacity is promised to refused callers; see RetryAfter

	served, refused meter // requests
}

// lane holds the waiting requests of one rank that can be in time, or of those that can only be late, in their order.
type lane struct {
	waiters []*Waiter
	starved int           // those that have found no free slot
	work    time.Duration // of all
}

// Waiter is a waiting request. Wake receives a value when an endpoint may have a free slot, and when the request has become the first.
type Waiter struct {
	Wake    chan struct{}
	request Request
	urgency time.Time
	band    *band
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

// compareWaiters orders the waiters of one lane.
func compareWaiters(a, b *Waiter) int {
	if c := a.urgency.Compare(b.urgency); c != 0 {
		return c
	}
	return a.request.LateAt.Compare(b.request.LateAt)
}

// add adds a waiter.
func (l *lane) add(w *Waiter) {
	i, _ := slices.BinarySearchFunc(l.waiters, w, compareWaiters)
	l.waiters = slices.Insert(l.waiters, i, w)
	l.work += w.request.Work
	if w.starved {
		l.starved++
	}
}

// index returns the position of a waiter, or -1.
func (l *lane) index(w *Waiter) int {
	i, _ := slices.BinarySearchFunc(l.waiters, w, compareWaiters)
	for ; i < len(l.waiters) && compareWaiters(l.waiters[i], w) == 0; i++ {
		if l.waiters[i] == w {
			return i
		}
	}
	return -1
}

// remove removes a waiter and reports whether the lane held it.
func (l *lane) remove(w *Waiter) bool {
	i := l.index(w)
	if i < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, i, i+1)
	l.work -= w.request.Work
	if w.starved {
		l.starved--
	}
	return true
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
	w := &Waiter{Wake: make(chan struct{}, 1), request: r, urgency: r.urgency(q.holdWork(&r)), band: q.band(r.rank()), starved: starved, isLate: !now.Before(r.lateFrom())}
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

// Remove removes a request. If it was the first, the next one is woken to look for an endpoint in its place.
func (q *Queue) Remove(w *Waiter, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.lane().remove(w) {
		q.count--
		q.releaseWork(&w.request)
		q.settle(nil, now)
	}
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
		for len(b.inTime.waiters) > 0 && !now.Before(b.inTime.waiters[0].request.lateFrom()) {
			w := b.inTime.waiters[0]
			b.inTime.remove(w)
			w.isLate = true
			b.late.add(w)
		}
		if first == nil {
			first = q.firstOf(b, now)
		}
	}
	for _, b := range q.bands {
		if first == nil && len(b.late.waiters) > 0 {
			first = b.late.waiters[0]
		}
	}
	if first != nil && first != q.first && first != own {
		first.wake()
	}
	q.first = first
}

// firstOf returns the first request of a band that comes before the requests of less urgent bands, or nil. q.mu must be held.
func (q *Queue) firstOf(b *band, now time.Time) *Waiter {
	if len(b.inTime.waiters) > 0 {
		return b.inTime.waiters[0]
	}
	if len(b.late.waiters) > 0 && q.underserved(b, now) {
		return b.late.waiters[0]
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
		if b.inTime.blocks(order) || isLate && (b.inTime.starved > 0 || b.late.blocks(order)) {
			return true
		}
	}
	return false
}

// blocks reports whether the lane has a request that comes before one whose rank compares to that of the lane as given.
func (l *lane) blocks(order int) bool {
	return order < 0 && len(l.waiters) > 0 || order == 0 && l.starved > 0
}

// Ahead returns the number of requests that wait before a waiting request, or of all that wait if w is nil.
func (q *Queue) Ahead(w *Waiter) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w == nil || q.count == 0 {
		return q.count
	}
	n, _ := q.ahead(w, w.isLate, false)
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
	q.lanes(func(l *lane) bool {
		return !slices.ContainsFunc(l.waiters, (*Waiter).wake)
	})
}

// WakeAll wakes all requests.
func (q *Queue) WakeAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lanes(func(l *lane) bool {
		for _, w := range l.waiters {
			w.wake()
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
