package overload

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// customerRequest returns a request of a customer that can be in time for a long time.
func customerRequest(customer string, work time.Duration, now time.Time) Request {
	return Request{Customer: customer, Route: fmt.Sprint(work), Work: work, FirstSent: now, LateAt: now.Add(time.Hour), Due: now.Add(2 * time.Hour)}
}

// serveFirst serves the first of the waiting requests and returns it.
func serveFirst(q *Queue, waiting map[*Waiter]bool, now time.Time) *Waiter {
	for w := range waiting {
		if q.IsFirst(w, now) {
			delete(waiting, w)
			q.Remove(w, true, now)
			return w
		}
	}
	return nil
}

// TestCustomersShare guards against a customer that takes the share of others: among customers that always have requests waiting, the work that each
// gets done differs by no more than two requests, whatever the work of their requests and however many wait. If only one has any, it gets all.
func TestCustomersShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		waiting, done := map[*Waiter]bool{}, map[string]time.Duration{}
		works := map[string]time.Duration{}
		longest := time.Duration(0)
		for n := range rapid.IntRange(2, 6).Draw(t, "customers") {
			name := fmt.Sprint("c", n)
			works[name] = time.Duration(rapid.IntRange(10, 400).Draw(t, "work")) * time.Millisecond
			longest = max(longest, works[name])
			for range rapid.IntRange(1, 20).Draw(t, "waiting") {
				waiting[q.Add(customerRequest(name, works[name], start), true, start)] = true
			}
		}
		for range 200 {
			w := serveFirst(&q, waiting, start)
			name := w.request.Customer
			done[name] += w.request.Work
			waiting[q.Add(customerRequest(name, works[name], start), true, start)] = true
		}
		for a := range works {
			for b := range works {
				if done[a]-done[b] > 2*longest {
					t.Fatalf("%s got %v, %s got %v, with requests of up to %v", a, done[a], b, done[b], longest)
				}
			}
		}
	})
}

// TestFloodGainsNothing guards against a customer that gains weight by a flood, and against one with much usual traffic that is served like one with
// little: a large customer sends four times as much as the others, then one of these sends 20 times its usual traffic for 7 s.
func TestFloodGainsNothing(t *testing.T) {
	is := is.New(t)
	var q Queue
	now := start
	weight := func(name string) float64 { return q.band(rank{}).share(&q, name, now).weight() }
	traffic := func(length time.Duration, flood int) {
		for end := now.Add(length); now.Before(end); now = now.Add(100 * time.Millisecond) {
			for n := range 10 {
				requests := 1
				switch n {
				case 0:
					requests = 4
				case 9:
					requests = flood
				}
				for range requests {
					r := customerRequest(fmt.Sprint("c", n), work, now)
					q.Arrived(&r, now)
				}
			}
		}
	}
	traffic(20*time.Second, 1)
	large, usual := weight("c0"), weight("c9")
	is.True(large > 3.5*usual && large < 4.5*usual)
	traffic(7*time.Second, 20)
	is.True(weight("c9") < 1.3*usual)
	is.True(weight("new") <= 1)
	for range 20 { // requests without a customer are many customers' in truth
		for range 300 {
			r := customerRequest("", work, now)
			q.Arrived(&r, now)
		}
		traffic(time.Second, 1)
	}
	is.True(weight("") > 2*weight("c0"))
	now = now.Add(idleTime + sweepInterval)
	q.sweep(now)
	is.Equal(len(q.customers.byName), 0)
	is.Equal(len(q.band(rank{}).shares), 0)
}

// TestIdleCustomerIsNext guards against a customer whose first request waits behind those of one that has many waiting, and against refusals of its
// requests because of the others'.
func TestIdleCustomerIsNext(t *testing.T) {
	is := is.New(t)
	q, now := measured(0, 0)
	waiting := map[*Waiter]bool{}
	for range 100 {
		waiting[q.Add(customerRequest("flood", work, now), true, now)] = true
	}
	for range 3 {
		is.Equal(serveFirst(q, waiting, now).request.Customer, "flood")
	}
	r := customerRequest("other", work, now.Add(time.Millisecond))
	r.LateAt = now.Add(2 * work)
	other := q.Add(r, true, now)
	is.True(q.IsFirst(other, now))
	is.Equal(q.Decide(other, now).Reason, NoReason)
	r.Customer = "flood"
	flood := q.Add(r, true, now)
	is.Equal(q.Decide(flood, now).Late, true) // 9.7 s of work are before it
	is.Equal(q.Ahead(flood), 98)
}
