// Package overload decides which requests of a service wait for a free slot, in which order, and which are refused, when more requests arrive
// than the endpoints can run. The requests that are delayed or refused are those that cost their callers least. The package does no network I/O,
// and takes the time as a parameter.
package overload

import (
	"cmp"
	"time"
)

// Request is what the order of the queue and the refusals depend on.
type Request struct {
	CustomerPriority int           // of the customer; 0 is the most urgent
	RoutePriority    int           // of the route; 0 is the most urgent
	Route            string        // name
	Guest            bool          // another host got the request from its caller
	Customer         string        // name; empty if it is not known
	Work             time.Duration // usual duration of such a request at an endpoint
	FirstSent        time.Time     // when the caller sent its first attempt, as far as this host knows
	LateAt           time.Time     // when the target latency is exceeded, counted from FirstSent
	Due              time.Time     // deadline of this attempt
	CallerDue        time.Time     // until when the caller waits, with further attempts; Due if that is later
	// Plain orders the request by the route's priority and LateAt alone, and has nothing decided about it: for deployments that do not ask for more.
	Plain bool
}

// rank is the part of the order that time does not change. A lower rank is served first.
type rank struct {
	customer, route int
	guest           bool
}

func (r *Request) rank() rank {
	if r.Plain {
		return rank{route: r.RoutePriority, guest: r.Guest}
	}
	return rank{r.CustomerPriority, r.RoutePriority, r.Guest}
}

// compare orders ranks by the customer's priority, then the route's, then this host's own requests before those of other hosts.
func (a rank) compare(b rank) int {
	guest := 0
	switch {
	case a.guest && !b.guest:
		guest = 1
	case !a.guest && b.guest:
		guest = -1
	}
	return cmp.Or(cmp.Compare(a.customer, b.customer), cmp.Compare(a.route, b.route), guest)
}

// agingFactor is the head start of a shorter request over a longer one, as a multiple of the difference of their work. Callers lose about as
// much by the delay of a long request as of a short one, so that the shorter one goes first. The bound keeps long requests from waiting for
// ever behind newer short ones.
const agingFactor = 4

// urgency returns the time by which requests of one rank are ordered, with the given work.
func (r *Request) urgency(work time.Duration) time.Time {
	if r.Plain {
		return r.LateAt
	}
	return r.FirstSent.Add(agingFactor * work)
}

// callerDue returns until when the caller waits.
func (r *Request) callerDue() time.Time {
	if r.CallerDue.After(r.Due) {
		return r.CallerDue
	}
	return r.Due
}

// leastWork is the least duration of a request that still counts as likely, as a fraction of its usual one.
const leastWork = 0.8

// neverLate is longer than any request waits: plain requests keep their place when they can only be late.
const neverLate = 24 * time.Hour

// lateFrom returns the time from which the request can only be late.
func (r *Request) lateFrom() time.Time {
	if r.Plain {
		return r.LateAt.Add(neverLate)
	}
	return r.LateAt.Add(-time.Duration(leastWork * float64(r.Work)))
}
