package faketime

import (
	"container/heap"
	"time"
)

// Scheduler runs functions in simulated time, one after the other. Functions due at the same time run in the order in which they were added, so that a
// simulation with a fixed seed repeats its course.
type Scheduler struct {
	Now    time.Time
	events eventQueue
	added  int
}

// After runs f after a time.
func (s *Scheduler) After(d time.Duration, f func()) { s.At(s.Now.Add(d), f) }

// At runs f at a time.
func (s *Scheduler) At(t time.Time, f func()) {
	s.added++
	heap.Push(&s.events, event{t, s.added, f})
}

// RunFor runs what is due within a time.
func (s *Scheduler) RunFor(d time.Duration) {
	end := s.Now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		s.next()
	}
	s.Now = end
}

// Run runs until nothing is left to run.
func (s *Scheduler) Run() {
	for len(s.events) > 0 {
		s.next()
	}
}

func (s *Scheduler) next() {
	e := heap.Pop(&s.events).(event)
	s.Now = e.at
	e.run()
}

type event struct {
	at    time.Time
	added int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].added < q[j].added
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
