package overload

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// inTime returns a request with 100 ms of work that can be in time for the given time.
func inTime(priority int, left time.Duration) Request {
	return Request{RoutePriority: priority, Work: 100 * time.Millisecond, FirstSent: start, LateAt: start.Add(left), Due: start.Add(10 * time.Second)}
}

// TestQueueOrder guards the order of the queue: a free slot wakes the request of the most urgent priority, and within a priority the shorter one,
// then the one that exceeds its target latency first.
func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	var q Queue
	lessUrgent := q.Add(inTime(2, time.Second), true, start)
	long := inTime(1, time.Second)
	long.Work, long.Route = 2*long.Work, "long"
	longer := q.Add(long, true, start)
	later := q.Add(inTime(1, 2*time.Second), true, start)
	sooner := q.Add(inTime(1, time.Second), true, start)
	customer := inTime(0, time.Second)
	customer.CustomerPriority = 1
	otherCustomer := q.Add(customer, true, start)
	for _, want := range []*Waiter{sooner, later, longer, lessUrgent, otherCustomer} {
		is.True(q.IsFirst(want, start))
		q.Remove(want, false, start)
	}
	is.Equal(q.Len(), 0)
	q.WakeNext() // the queue is empty
}

// TestQueueWakesNext guards against a wake-up that is lost because the first request has one pending already, and against a queue whose next
// request is not woken when the first leaves it or can only be late.
func TestQueueWakesNext(t *testing.T) {
	is := is.New(t)
	var q Queue
	first, second := q.Add(inTime(1, 200*time.Millisecond), true, start), q.Add(inTime(1, time.Second), true, start)
	third := q.Add(inTime(1, 2*time.Second), true, start)
	q.WakeNext()
	is.Equal(len(first.Wake), 1)
	is.Equal(len(second.Wake), 0)
	q.WakeNext()
	is.Equal(len(second.Wake), 1)
	<-second.Wake
	is.True(!q.IsFirst(first, start.Add(121*time.Millisecond)))
	is.Equal(len(second.Wake), 1)
	q.Remove(second, false, start)
	is.Equal(len(third.Wake), 1)
	for n, want := range []int{1, 0, 1} { // arrivals wake the first request, at an interval
		<-third.Wake
		q.WakeFirst(start.Add(time.Duration(n) * searchInterval / 2))
		is.Equal(len(third.Wake), want)
		if want == 0 {
			q.WakeNext()
		}
	}
}

// TestLearningKeepsOrder guards against requests that overtake earlier ones of their route because the estimate of their work has fallen.
func TestLearningKeepsOrder(t *testing.T) {
	is := is.New(t)
	var q Queue
	earlier, later := inTime(1, time.Second), inTime(1, time.Second+10*time.Millisecond)
	later.FirstSent, later.Work = start.Add(10*time.Millisecond), 95*time.Millisecond
	first := q.Add(earlier, true, start)
	q.Add(later, true, later.FirstSent)
	is.True(q.IsFirst(first, later.FirstSent))
}

// TestGuestsWaitBehindOwnRequests guards against requests of other hosts that take slots before this host's own of the same priority, and against own
// ones that are served before more urgent requests of other hosts.
func TestGuestsWaitBehindOwnRequests(t *testing.T) {
	is := is.New(t)
	var q Queue
	guestOf := func(r Request) Request { r.Guest = true; return r }
	guest := q.Add(guestOf(inTime(1, time.Second)), true, start)
	own := q.Add(inTime(1, 2*time.Second), true, start)
	urgentGuest := q.Add(guestOf(inTime(0, 3*time.Second)), true, start)
	for _, want := range []*Waiter{urgentGuest, own, guest} {
		is.True(q.IsFirst(want, start))
		q.Remove(want, false, start)
	}
}

// TestLateRequestsDelayNone guards against requests that can only be late and take slots from ones that can be in time, also of a less urgent
// priority, and against arrivals that pass by requests that wait for a slot.
func TestLateRequestsDelayNone(t *testing.T) {
	is := is.New(t)
	var q Queue
	late, inTimeYet := inTime(0, 79*time.Millisecond), inTime(2, time.Second)
	is.True(!q.MustWait(&late, start))
	w := q.Add(late, true, start)
	is.True(!q.MustWait(&inTimeYet, start))
	other := q.Add(inTimeYet, true, start)
	is.True(q.IsFirst(other, start))
	is.Equal(q.Ahead(w), 1)
	is.Equal(q.Ahead(nil), 2)
	q.Remove(w, false, start)
	is.True(q.MustWait(&late, start))
	is.True(q.MustWait(&inTimeYet, start))
	q.SetStarved(other, false) // it waits for a faster endpoint
	is.True(!q.MustWait(&inTimeYet, start))
}

// TestQueueProperties guards against requests that are lost or served out of order, with any sequence of arrivals and ends: the first request can
// be in time if one of those that wait can, no more urgent one that can be in time waits, and the counts are right.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		now := start
		var waiting []*Waiter
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if len(waiting) == 0 || rapid.Bool().Draw(t, "add") {
				r := Request{RoutePriority: rapid.IntRange(0, 2).Draw(t, "priority"), Work: time.Duration(rapid.IntRange(1, 200).Draw(t, "work")) * time.Millisecond,
					FirstSent: now, Due: now.Add(time.Second), Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")}
				r.LateAt = now.Add(time.Duration(rapid.IntRange(-100, 400).Draw(t, "late")) * time.Millisecond)
				waiting = append(waiting, q.Add(r, true, now))
			} else {
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "remove")
				q.Remove(waiting[i], false, now)
				waiting = append(waiting[:i], waiting[i+1:]...)
			}
			if q.Len() != len(waiting) {
				t.Fatalf("%d wait of %d", q.Len(), len(waiting))
			}
			var first *Waiter
			for _, w := range waiting {
				if q.IsFirst(w, now) {
					if first != nil {
						t.Fatal("two are the first")
					}
					first = w
				}
			}
			if len(waiting) > 0 && first == nil {
				t.Fatal("none is the first")
			}
			for _, w := range waiting {
				isLate, firstIsLate := !now.Before(w.request.lateFrom()), !now.Before(first.request.lateFrom())
				if !isLate && (firstIsLate || w.request.RoutePriority < first.request.RoutePriority) {
					t.Fatalf("%+v is served before %+v", first.request, w.request)
				}
			}
		}
	})
}

// BenchmarkQueue measures one arrival, its decision and its end while 500 requests of 85 customers wait, and an arrival that does not wait.
func BenchmarkQueue(b *testing.B) {
	var q Queue
	request := func(n int) Request {
		r := inTime(n%3, 10*time.Second)
		r.FirstSent, r.Customer = start.Add(time.Duration(n%500)*time.Millisecond), strconv.Itoa(n%85)
		return r
	}
	for n := range 500 {
		r := request(n)
		q.Arrived(&r, start)
		q.Add(r, true, start)
		q.Started(&r, true, start)
		q.Ended(r.Work, r.Work, true, start)
	}
	b.Run("wait", func(b *testing.B) {
		b.ReportAllocs()
		for n := 0; b.Loop(); n++ {
			w := q.Add(request(n), true, start)
			q.Decide(w, start)
			q.Remove(w, true, start)
		}
	})
	b.Run("arrive", func(b *testing.B) {
		b.ReportAllocs()
		for n := 0; b.Loop(); n++ {
			r := request(n)
			q.Arrived(&r, start)
		}
	})
}

// TestPlainOrder guards against deployments that do not ask for the order by value and get another order than before: by the route's priority and lateness,
// also of requests that can only be late, and arrivals wait only behind more urgent ones.
func TestPlainOrder(t *testing.T) {
	is := is.New(t)
	var q Queue
	plain := func(customer, route int, left time.Duration) Request {
		return Request{Plain: true, CustomerPriority: customer, RoutePriority: route, Work: 100 * time.Millisecond, FirstSent: start, LateAt: start.Add(left), Due: start.Add(10 * time.Second)}
	}
	late := q.Add(plain(0, 1, 10*time.Millisecond), true, start)
	soon := q.Add(plain(5, 1, time.Second), true, start)
	urgent := q.Add(plain(9, 0, 2*time.Second), true, start)
	same, more := plain(0, 0, time.Second), plain(0, 1, 0)
	is.True(!q.MustWait(&same, start)) // only one of the same priority waits
	is.True(q.MustWait(&more, start))
	for _, w := range []*Waiter{urgent, late, soon} {
		is.True(q.IsFirst(w, start.Add(500*time.Millisecond)))
		q.Remove(w, true, start)
	}
}
