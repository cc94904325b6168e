package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const work = 100 * time.Millisecond

// measured returns a queue that has completed 10 s of work per second for a few seconds, and the time after that. arrivals requests that can be in
// time arrived per second.
func measured(priority, arrivals int) (q *Queue, now time.Time) {
	q, now = &Queue{}, start
	for n := range 500 {
		now = start.Add(time.Duration(n) * 10 * time.Millisecond)
		r := requestAt(now, priority, time.Second)
		if n*arrivals%100 < arrivals {
			q.Arrived(&r, now)
		}
		q.Started(&r, true, now)
		q.Ended(work, work, true, now)
	}
	return q, now
}

// requestAt returns a request that arrives now and can be in time for the given time.
func requestAt(now time.Time, priority int, left time.Duration) Request {
	return Request{RoutePriority: priority, Work: work, FirstSent: now, LateAt: now.Add(left), Due: now.Add(6 * time.Second)}
}

// TestRefusedAtOnce guards against requests that wait although those before them leave no capacity in time, and against refusals without that: at 10 s
// of work per second, of 100 requests of 100 ms that have 600 ms, about the first 50 expect to be in time. The others wait for capacity that is left
// over, or are refused at once if there is none. Arrivals of more urgent requests leave less. One of these waits before all others.
func TestRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	for arrivals, want := range map[int]int{0: 50, 50: 25, 100: 10} {
		q, now := measured(0, arrivals)
		waiting, refused := 0, 0
		for n := range 100 {
			r := requestAt(now, 1, 600*time.Millisecond)
			r.FirstSent = r.FirstSent.Add(time.Duration(n) * time.Microsecond)
			w := q.Add(r, true, now)
			e := q.Decide(w, now)
			if e.Reason == NoReason && !e.Late {
				waiting++
				continue
			}
			refused++
			is.Equal(e.Reason == NoReason, arrivals < 100)
			q.Remove(w, false, now)
		}
		t.Logf("%d more urgent arrivals per second: %d wait, %d do not", arrivals, waiting, refused)
		is.True(waiting > want*8/10 && waiting < want*12/10+2)
		urgent := q.Decide(q.Add(requestAt(now, 0, 300*time.Millisecond), true, now), now)
		is.Equal(urgent.Reason, NoReason)
		is.Equal(urgent.Position, 0)
	}
}

// TestUnknownCapacityRefusesNone guards against refusals by an estimate that nothing supports: a host whose requests completed little lately lets
// all requests wait that can be in time.
func TestUnknownCapacityRefusesNone(t *testing.T) {
	is := is.New(t)
	q, now := measured(0, 0)
	now = now.Add(4 * completionTime)
	for range 2 {
		r := requestAt(now, 1, time.Second)
		q.Started(&r, true, now)
		q.Ended(work, work, true, now)
	}
	for range 200 {
		is.Equal(q.Decide(q.Add(requestAt(now, 1, 300*time.Millisecond), true, now), now).Reason, NoReason)
	}
	late := q.Decide(q.Add(requestAt(now, 1, 0), true, now), now)
	is.Equal(late.Reason, Unknown)
}

// TestReturnsAreSpread guards against refused callers that return together or in vain: with half of the capacity left over, the delays of 100 refused
// requests follow each other at the rate at which it works them off, more urgent ones first, and each caller that returns as told is served.
func TestReturnsAreSpread(t *testing.T) {
	is := is.New(t)
	q, now := measured(0, 50) // 5 s of work per second are left over
	never := func() float64 { t.Fatal("the delay is random"); return 0 }
	var last time.Duration
	for n := range 60 {
		r := requestAt(now, 1, 0)
		delay := q.RetryAfter(&r, now, never)
		is.True(delay >= last)
		last = delay
		if n == 0 {
			is.Equal(delay, minRetryAfter)
		}
	}
	is.True(last > 900*time.Millisecond && last < 1400*time.Millisecond) // 6 s of work
	urgent, lessUrgent := requestAt(now, 0, 0), requestAt(now, 2, 0)
	is.True(q.RetryAfter(&urgent, now, never) < 100*time.Millisecond)
	is.True(q.RetryAfter(&lessUrgent, now, never) >= last)
	w := q.Add(requestAt(now, 1, 0), true, now) // a caller that returns
	e := q.Decide(w, now)
	is.Equal(e.Reason, NoReason)
	is.True(e.Late)
}

// TestNoCapacityLeftOver guards against late requests that wait, and callers that return at once, while requests that can be in time need all capacity.
func TestNoCapacityLeftOver(t *testing.T) {
	is := is.New(t)
	q, now := measured(0, 100)
	w := q.Add(requestAt(now, 1, 0), true, now)
	is.Equal(q.Decide(w, now).Reason, LateOnly)
	q.Remove(w, false, now)
	r := requestAt(now, 1, 0)
	for random, want := range map[float64]time.Duration{0: time.Second, 1: 2 * time.Second} { // the caller has 6 s
		is.Equal(q.RetryAfter(&r, now, func() float64 { return random }), want)
	}
}

// TestUrgentLateRequestsAreServed guards against an urgent kind that is served less often than a less urgent one because its target is so short that
// its requests can only be late.
func TestUrgentLateRequestsAreServed(t *testing.T) {
	is := is.New(t)
	q, now := measured(2, 100)
	urgent := q.Add(requestAt(now, 0, 0), true, now)
	other := q.Add(requestAt(now, 2, time.Second), true, now)
	is.True(q.IsFirst(other, now))
	is.Equal(q.Decide(urgent, now).Reason, LateOnly)
	for range 5 {
		r := requestAt(now, 0, 0)
		q.RetryAfter(&r, now, func() float64 { return 0 })
	}
	is.True(q.IsFirst(urgent, now))
	is.Equal(q.Decide(urgent, now).Reason, NoReason)
}
