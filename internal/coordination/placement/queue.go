package placement

import (
	"slices"
	"sync"
	"time"
)

// Queue orders the requests of one service that wait on this host: by priority, then by the time at which they become late.
type Queue struct {
	mu      sync.Mutex
	waiters []*Waiter
}

// Waiter is a waiting request. Wake receives when an endpoint may have room.
type Waiter struct {
	Wake     chan struct{}
	priority int
	late     time.Time
}

// Join adds a request.
func (q *Queue) Join(priority int, late time.Time) *Waiter {
	w := &Waiter{Wake: make(chan struct{}, 1), priority: priority, late: late}
	q.mu.Lock()
	defer q.mu.Unlock()
	i, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b *Waiter) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.late.Compare(b.late)
	})
	q.waiters = slices.Insert(q.waiters, i, w)
	return w
}

// Leave removes a request. If it was the first, the next one is woken to look in its place.
func (q *Queue) Leave(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	if i == 0 && len(q.waiters) > 0 {
		q.waiters[0].wake()
	}
}

func (w *Waiter) wake() bool {
	select {
	case w.Wake <- struct{}{}:
		return true
	default:
		return false
	}
}

// First reports whether the request is the first of the queue. Only the first one looks for an endpoint without being woken: if all did,
// they would use up the questions that endpoints may be asked, and the order would not decide who gets the next slot.
func (q *Queue) First(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters) > 0 && q.waiters[0] == w
}

// Released wakes the first request that is not awake yet, because an endpoint may have room.
func (q *Queue) Released() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.waiters {
		if w.wake() {
			return
		}
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}
