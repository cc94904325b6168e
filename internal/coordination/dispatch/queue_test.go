package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

var epoch = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

const unlimited = 1e9

// limitsOf returns limits on service "s" with the given rate, burst, concurrency, share and queue length.
func limitsOf(customer string, rate, burst float64, concurrent, share, queue int) *limits.ServiceLimits {
	return &limits.ServiceLimits{Customer: customer, Name: "s", Rate: rate, Burst: burst, Concurrent: concurrent, Share: share, QueueLength: queue}
}

func setOf(all ...*limits.ServiceLimits) limits.Set {
	set := limits.Set{}
	for _, l := range all {
		set[limits.Key{Customer: l.Customer, Service: l.Name}] = l
	}
	return set
}

func endpointsOf(n, slots int) []endpoints.Endpoint {
	out := make([]endpoints.Endpoint, n)
	for i := range out {
		out[i] = endpoints.Endpoint{ID: endpoints.ID{Address: fmt.Sprintf("10.0.0.%d:80", i+1), Incarnation: "a"}, Service: "s", Slots: slots}
	}
	return out
}

// recorder collects decisions and records whether any request received more than one.
type recorder struct {
	grants       map[Key]Decision
	denied       map[Key]*DeniedError
	order        []Key
	onEach       func(Key, Decision)
	decidedTwice bool
}

func newRecorder() *recorder {
	return &recorder{grants: map[Key]Decision{}, denied: map[Key]*DeniedError{}}
}

func (r *recorder) Decided(k Key, d Decision) {
	_, granted := r.grants[k]
	_, denied := r.denied[k]
	r.decidedTwice = r.decidedTwice || granted || denied
	if d.Denied != nil {
		r.denied[k] = d.Denied
	} else {
		r.grants[k] = d
		r.order = append(r.order, k)
	}
	if r.onEach != nil {
		r.onEach(k, d)
	}
}

// testQueue returns a queue whose rate buckets have had time to fill.
func testQueue(set limits.Set, list []endpoints.Endpoint) (*Queue, time.Time) {
	q := NewQueue(epoch, "s", DefaultPrefetch, set)
	now := epoch.Add(time.Hour)
	q.SetEndpoints(now, list)
	q.Tick(now)
	return q, now
}

// TestSlotsOfParts guards against a queue that counts to the number of slots that an endpoint states, and so never ends at a great one, and against parts
// that do not add up to all slots.
func TestSlotsOfParts(t *testing.T) {
	for _, count := range []int{1, 2, 3, 7} {
		for _, slots := range []int{0, 1, 2, 3, 8, math.MaxInt32} {
			list := append(endpointsOf(1, 5), endpointsOf(3, slots)[1:]...)
			total := 0
			for index := range count {
				q := &Queue{part: Part{Index: index, Count: count}}
				for _, e := range list {
					q.usableEndpoints = append(q.usableEndpoints, &endpoint{Endpoint: e})
				}
				q.assignSlots()
				own := 0
				for _, e := range q.usableEndpoints {
					own += e.slots
				}
				is.New(t).True(own >= (5+2*max(1, slots))/count && own <= (5+2*max(1, slots))/count+1)
				total += own
			}
			is.New(t).Equal(total, 5+2*max(1, slots))
		}
	}
}

// violatedInvariant describes an invariant that the queue's state violates, or returns an empty string. Grants from AddOpenGrants may
// exceed slots and limits.
func (q *Queue) violatedInvariant(now time.Time) string {
	open, waiting := map[*customer]int{}, map[*customer]int{}
	for _, e := range q.entries {
		if e.endpoint != nil {
			open[e.customer]++
		} else {
			waiting[e.customer]++
		}
	}
	for _, c := range q.customers {
		if c.open != open[c] || c.waiting != waiting[c] || c.limits != nil && c.waiting > c.limits.QueueLength {
			return fmt.Sprintf("customer %s counts %d open and %d waiting, has %d and %d", c.name, c.open, c.waiting, open[c], waiting[c])
		}
	}
	for _, e := range q.entries {
		if e.endpoint == nil && !q.reachable(e.request.ExcludedEndpoints) {
			return fmt.Sprintf("%v waits although no endpoint can serve it", e.Key)
		}
	}
	ejected := 0
	for _, e := range q.usableEndpoints {
		if e.ejected {
			ejected++
		}
	}
	if ejected != q.ejectedCount || ejected > len(q.usableEndpoints)/2 {
		return fmt.Sprintf("%d of %d endpoints are ejected, counted %d", ejected, len(q.usableEndpoints), q.ejectedCount)
	}
	if free := q.capacity(now); free.slot {
		for _, e := range q.entries {
			if e.endpoint == nil && e.customer.open < e.customer.concurrent && !e.awaitsToken && len(e.request.ExcludedEndpoints) == 0 {
				return fmt.Sprintf("%v waits although a slot is free", e.Key)
			}
		}
	}
	return ""
}

// TestQueueProperties checks the rules of docs/design.md, sections 5.2 and 5.3, under arbitrary arrivals, releases, failures, executors
// that disconnect, and changes of contracts, endpoints and owners.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		names := []string{"a", "b", "c"}
		drawLimits := func() limits.Set {
			set := limits.Set{}
			for _, n := range names[:rapid.IntRange(1, 3).Draw(t, "customers")] {
				l := limitsOf(n, rapid.SampledFrom([]float64{5, unlimited, unlimited}).Draw(t, "rate"), rapid.Float64Range(1, 20).Draw(t, "burst"),
					rapid.IntRange(1, 6).Draw(t, "concurrent"), rapid.IntRange(1, 3).Draw(t, "share"), rapid.IntRange(1, 8).Draw(t, "queue"))
				set[limits.Key{Customer: n, Service: "s"}] = l
			}
			return set
		}
		all := endpointsOf(5, rapid.IntRange(1, 2).Draw(t, "slots"))
		listed := all[:2]
		var q *Queue
		start := func(set limits.Set) {
			q = NewQueue(now.Add(-time.Second), "s", DefaultPrefetch, set)
			q.SetEndpoints(now, listed)
			for _, e := range q.usableEndpoints[min(1, len(q.usableEndpoints)):] { // one endpoint is cold
				e.responses = coldResponses
			}
		}
		start(drawLimits())
		rec := newRecorder()
		requests := map[Key]Request{}
		leaving := map[endpoints.ID]bool{}
		var latestClass contract.Class // class of the request that arrived last
		latestNoWait := false
		rec.onEach = func(k Key, d Decision) {
			r := requests[k]
			if d.Denied != nil {
				if d.Denied.Reason == refusals.Displaced && (r.Class <= latestClass || latestNoWait) {
					t.Fatalf("a request of class %v was displaced by one of class %v (no wait: %t)", r.Class, latestClass, latestNoWait)
				}
				if d.Denied.Detail == "" || d.Denied.RetryAfter <= 0 && d.Denied.Reason != refusals.ServiceNotInContract {
					t.Fatalf("%+v lacks a detail or a retry delay", d.Denied)
				}
				return
			}
			// Decided is called before any further change, so the queue is still in the state in which the grant was chosen.
			ep := q.endpoints[d.Endpoint.ID]
			if c := q.customers[r.Customer]; c.open > c.concurrent {
				t.Fatalf("%s has %d grants, more than its limit of %d", c.name, c.open, c.concurrent)
			}
			if len(ep.open) > ep.Slots+DefaultPrefetch || ep.responses < coldResponses && len(ep.open) > ep.Slots || d.Trial && !r.Idempotent {
				t.Fatalf("grant number %d at %v is not allowed (trial: %t)", len(ep.open), ep.ID, d.Trial)
			}
			if leaving[ep.ID] || !slices.ContainsFunc(listed, func(l endpoints.Endpoint) bool { return l.ID == ep.ID }) || slices.Contains(r.ExcludedEndpoints, ep.ID) {
				t.Fatalf("grant at %v, which is leaving, not listed or excluded", ep.ID)
			}
			if !now.Before(r.Deadline) {
				t.Fatalf("grant after the deadline")
			}
			if r.NoWait && (q.waiting > 0 || len(ep.open) > ep.Slots || d.Trial || ep.ejected) {
				t.Fatalf("grant number %d of a request with NoWait at %v while %d requests wait (trial: %t, ejected: %t)", len(ep.open), ep.ID, q.waiting, d.Trial, ep.ejected)
			}
			for _, e := range q.entries {
				other := e.request
				if e.endpoint != nil || other.Class >= r.Class || e.customer.open >= e.customer.concurrent || e.awaitsToken ||
					slices.Contains(other.ExcludedEndpoints, ep.ID) || d.Trial && !other.Idempotent || !now.Before(other.Deadline) {
					continue
				}
				t.Fatalf("%v was granted before the more urgent %v", k, e.Key)
			}
		}
		// The endpoint table never lists an endpoint that is marked as leaving.
		list := func(all []endpoints.Endpoint) {
			listed = slices.DeleteFunc(slices.Clone(all), func(e endpoints.Endpoint) bool { return leaving[e.ID] })
		}
		ref := uint64(0)
		release := func(k Key, o Outcome) {
			if o.Leaving && q.entries[k] != nil {
				leaving[q.entries[k].endpoint.ID] = true
			}
			q.Release(now, k, o)
		}
		acquire := func(t *rapid.T) {
			ref++
			k := Key{rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "host"), ref}
			r := Request{Customer: rapid.SampledFrom(names).Draw(t, "customer"), Service: "s", Class: contract.Class(rapid.IntRange(0, 2).Draw(t, "class")),
				Idempotent: rapid.Bool().Draw(t, "idempotent"), Attempt: rapid.IntRange(0, 1).Draw(t, "attempt"),
				Deadline: now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "deadline_ms")) * time.Millisecond)}
			if r.Attempt > 0 {
				r.ExcludedEndpoints = []endpoints.ID{rapid.SampledFrom(all).Draw(t, "excluded").ID}
				r.NoWait = rapid.Bool().Draw(t, "no wait")
			}
			requests[k] = r
			latestClass, latestNoWait = r.Class, r.NoWait
			waiting := q.Acquire(now, uint64(k.Host[1]), k, r, rec) // the session is the digit in the name of the host
			if e := q.entries[k]; r.NoWait && (waiting || e != nil && e.endpoint == nil) {
				t.Fatalf("%v waits in spite of NoWait", k)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire":       acquire,
			"acquire again": acquire,
			"release": func(t *rapid.T) {
				open := slices.DeleteFunc(slices.Clone(rec.order), func(k Key) bool { return q.entries[k] == nil })
				if len(open) == 0 {
					return
				}
				k := rapid.SampledFrom(open).Draw(t, "grant")
				release(k, Outcome{Result: Result(rapid.IntRange(0, int(ResultCancelled)).Draw(t, "result")), Leaving: rapid.IntRange(0, 30).Draw(t, "leaving") == 0,
					ServiceTime: time.Duration(rapid.IntRange(1, 100).Draw(t, "service_ms")) * time.Millisecond})
			},
			"cancel": func(t *rapid.T) {
				if ref > 0 {
					q.Cancel(now, Key{"h1", rapid.Uint64Range(1, ref).Draw(t, "ref")})
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
				q.Tick(now)
			},
			"set inactive": func(t *rapid.T) {
				held := len(q.entries)
				if q.Deactivate(now) && held > 0 {
					t.Fatalf("%d requests and grants were discarded", held)
				}
			},
			"contracts": func(t *rapid.T) { q.SetLimits(now, drawLimits()) },
			"endpoints": func(t *rapid.T) {
				list(all[rapid.IntRange(0, 2).Draw(t, "from"):rapid.IntRange(2, 5).Draw(t, "to")])
				q.SetEndpoints(now, listed)
			},
			"executor gone": func(t *rapid.T) { q.EndSession(now, uint64(rapid.SampledFrom([]byte("12")).Draw(t, "session"))) },
			"owner change": func(t *rapid.T) {
				open := []OpenGrant{}
				for k, e := range q.entries {
					if e.endpoint != nil && k.Host == "h1" {
						open = append(open, OpenGrant{Ref: k.Ref, Customer: e.request.Customer, Endpoint: e.endpoint.ID, Deadline: e.request.Deadline})
					}
				}
				for _, session := range []uint64{'1', '2'} {
					q.DenySession(session, &DeniedError{Reason: refusals.NoUpstream, Detail: "moved", RetryAfter: 1})
				}
				list(listed)
				start(q.limits)
				q.AddOpenGrants(now, 'x', "h1", open)
				q.AddOpenGrants(now, '1', "h1", open)
				q.EndSession(now, 'x') // the previous connection ends after the executor reconnected
				if len(q.entries) != len(open) {
					t.Fatalf("%d of %d grants are left after a report of the open grants", len(q.entries), len(open))
				}
			},
			"": func(t *rapid.T) {
				if text := q.violatedInvariant(now); text != "" {
					t.Fatal(text)
				}
			},
		})
		now = now.Add(time.Minute)
		q.Tick(now)
		if len(q.entries) != 0 || rec.decidedTwice {
			t.Fatalf("%d requests never ended; two decisions for one request: %t", len(q.entries), rec.decidedTwice)
		}
	})
}

// TestRateIsExact guards against an owner that admits more requests than the rate allows, which is rate times time from an empty bucket,
// including urgent requests that wait for a rate token, and over changes of the owner.
func TestRateIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.Float64Range(1, 200).Draw(t, "rate"), rapid.Float64Range(1, 20).Draw(t, "burst")
		now := epoch
		q := NewQueue(now, "s", DefaultPrefetch, setOf(limitsOf("a", rate, burst, 1000, 1, 1000)))
		q.SetEndpoints(now, endpointsOf(1, 1000))
		if n := rapid.IntRange(1, 3).Draw(t, "parts"); n > 1 {
			q.SetPart(now, Part{0, n})
			rate /= float64(n)
		}
		rec := newRecorder()
		start := now
		for i := range rapid.IntRange(1, 300).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			q.Tick(now)
			k := Key{"h", uint64(i)}
			q.Acquire(now, 1, k, Request{Customer: "a", Class: contract.Class(rapid.IntRange(0, 2).Draw(t, "class")), Deadline: now.Add(time.Second)}, rec)
			q.Release(now, k, Outcome{ServiceTime: time.Millisecond})
			if rapid.IntRange(0, 100).Draw(t, "owner change") == 0 {
				q.EmptyBuckets(now)
			}
			if most := rate*now.Sub(start).Seconds() + 1e-6; float64(len(rec.grants)) > most {
				t.Fatalf("%d grants in %v at rate %v from an empty bucket", len(rec.grants), now.Sub(start), rate)
			}
		}
	})
}

// TestGrantOrderMatchesReference compares the order of grants with that of a reference implementation that searches a list.
func TestGrantOrderMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := map[string]int{"a": 1, "b": 2, "c": 4}
		var set []*limits.ServiceLimits
		for n, s := range shares {
			set = append(set, limitsOf(n, unlimited, unlimited, 1000, s, 1000))
		}
		q, now := testQueue(setOf(set...), endpointsOf(1, 1))
		rec := newRecorder()
		type item struct {
			k Key
			r Request
		}
		var reference []item
		tag, virtual := map[string]float64{}, [contract.Classes]float64{}
		tagOf := func(i item) string { return fmt.Sprint(i.r.Customer, i.r.Class) }
		var order []Key
		grantNext := func() {
			if len(reference) == 0 {
				return
			}
			best := 0
			for i, it := range reference {
				b := reference[best]
				if cmp.Or(cmp.Compare(it.r.Class, b.r.Class), cmp.Compare(tag[tagOf(it)], tag[tagOf(b)]), cmp.Compare(it.r.Customer, b.r.Customer),
					it.r.Deadline.Compare(b.r.Deadline), cmp.Compare(it.k.Ref, b.k.Ref)) < 0 {
					best = i
				}
			}
			it := reference[best]
			reference = slices.Delete(reference, best, best+1)
			virtual[it.r.Class] = max(virtual[it.r.Class], tag[tagOf(it)])
			tag[tagOf(it)] += 1 / float64(shares[it.r.Customer])
			order = append(order, it.k)
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "requests") {
			r := Request{Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"), Class: contract.Class(rapid.IntRange(0, 2).Draw(t, "class")),
				Deadline: now.Add(time.Hour + time.Duration(rapid.IntRange(0, 5).Draw(t, "deadline"))*time.Second)}
			it := item{Key{"h", uint64(i)}, r}
			waits := slices.ContainsFunc(reference, func(o item) bool { return tagOf(o) == tagOf(it) })
			if !waits {
				tag[tagOf(it)] = max(tag[tagOf(it)], virtual[r.Class])
			}
			reference = append(reference, it)
			if len(rec.order) == len(order) && len(order) == 0 { // the first request is granted at once
				grantNext()
			}
			q.Acquire(now, 1, it.k, r, rec)
			if rapid.Bool().Draw(t, "release") {
				q.Release(now, rec.order[len(rec.order)-1], Outcome{Result: ResultNotSent})
				grantNext()
				if len(reference) == 0 && len(q.entries) == 0 {
					return
				}
			}
		}
		for len(reference) > 0 {
			q.Release(now, rec.order[len(rec.order)-1], Outcome{Result: ResultNotSent})
			grantNext()
		}
		if !slices.Equal(rec.order, order) {
			t.Fatalf("granted %v, the reference implementation grants %v", rec.order, order)
		}
	})
}

// TestFairness guards against a customer that receives more than its share while others wait. At any time while requests of two
// customers wait, their numbers of grants, divided by their shares, may differ by at most one request of each customer.
func TestFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shareA, shareB := rapid.IntRange(1, 9).Draw(t, "wa"), rapid.IntRange(1, 9).Draw(t, "wb")
		q, now := testQueue(setOf(limitsOf("a", unlimited, unlimited, 1000, shareA, 10_000), limitsOf("b", unlimited, unlimited, 1000, shareB, 10_000)), endpointsOf(1, 1))
		rec := newRecorder()
		granted := map[string]float64{}
		customers := map[Key]string{}
		rec.onEach = func(k Key, _ Decision) { granted[customers[k]]++ }
		for i := range 400 {
			k := Key{"h", uint64(i)}
			customers[k] = []string{"a", "b"}[i%2]
			q.Acquire(now, 1, k, Request{Customer: customers[k], Class: contract.Normal, Deadline: now.Add(time.Hour)}, rec)
		}
		base := map[string]float64{"a": granted["a"], "b": granted["b"]}
		for q.customers["a"].waiting > 0 && q.customers["b"].waiting > 0 {
			q.Release(now, rec.order[len(rec.order)-1], Outcome{ServiceTime: time.Millisecond})
			na, nb := granted["a"]-base["a"], granted["b"]-base["b"]
			if diff := math.Abs(na/float64(shareA) - nb/float64(shareB)); diff > 1/float64(shareA)+1/float64(shareB)+1e-9 {
				t.Fatalf("%v and %v grants at shares %d and %d", na, nb, shareA, shareB)
			}
		}
	})
}

// TestFallbackPartsAddUp guards against parts of fallback queues that add up to more than the whole service.
func TestFallbackPartsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, slots := rapid.IntRange(1, 20).Draw(t, "hosts"), rapid.IntRange(1, 6).Draw(t, "slots")
		list := endpointsOf(rapid.IntRange(1, 20).Draw(t, "endpoints"), slots)
		concurrent := rapid.IntRange(1, 60).Draw(t, "concurrent")
		total, admitted := 0, 0
		for i := range n {
			q, now := testQueue(setOf(limitsOf("a", 100, 10, concurrent, 1, 1000)), nil)
			q.SetPart(now, Part{i, n})
			q.SetEndpoints(now, list)
			total += q.totalSlots()
			admitted += q.customers["a"].concurrent
		}
		if total != len(list)*slots || admitted > max(concurrent, n) {
			t.Fatalf("%d hosts have %d of %d slots and a concurrency of %d of %d", n, total, len(list)*slots, admitted, concurrent)
		}
	})
}

// TestOverContractDoesNotAffectOthers guards against a customer that floods the queue and thereby delays, displaces or denies the requests
// of another one, and against urgent requests whose rate tokens are used by less urgent requests of the same customer.
func TestOverContractDoesNotAffectOthers(t *testing.T) {
	is := is.New(t)
	q, now := testQueue(setOf(limitsOf("flood", unlimited, unlimited, 2, 1, 100_000), limitsOf("good", 100, 10, 10, 1, 100)), endpointsOf(2, 2))
	s := newSimulation(q, now, 10*time.Millisecond)
	for range 200 {
		for range 20 {
			s.arrive("flood", contract.Urgent, 200*time.Millisecond)
		}
		s.arrive("good", contract.Normal, 100*time.Millisecond)
		s.run(10 * time.Millisecond)
	}
	is.Equal(s.granted["good"], 200)

	q, now = testQueue(setOf(limitsOf("a", 50, 5, 100, 1, 1000)), endpointsOf(2, 2))
	s = newSimulation(q, now, 10*time.Millisecond)
	for i := range 200 {
		for range 10 {
			s.arrive("a", contract.Normal, time.Second)
		}
		if i%10 == 0 {
			s.arrive("a", contract.Urgent, 100*time.Millisecond)
		}
		s.run(10 * time.Millisecond)
	}
	is.Equal(s.urgent, 20) // all urgent requests, 10/s, although 1,010/s arrive at a rate of 50/s
	for _, d := range s.denied {
		is.Equal(d.Reason, refusals.RateExceeded)
		is.Equal(d.Limit, 50.0)
	}
	// Refusals state this arrival rate: 1,010 requests per second.
	is.True(math.Abs(q.customers["a"].arrivals.perSecond(s.now)-1010) < 25)
}

// simulation releases grants after a service time, in simulated time.
type simulation struct {
	*recorder
	q               *Queue
	now             time.Time
	serviceTime     time.Duration
	due             map[Key]time.Time
	since           map[Key]time.Time
	request         map[Key]Request
	ref             uint64
	granted         map[string]int
	urgent          int
	completedInTime int // within the deadline
}

func newSimulation(q *Queue, now time.Time, serviceTime time.Duration) *simulation {
	s := &simulation{recorder: newRecorder(), q: q, now: now, serviceTime: serviceTime, due: map[Key]time.Time{}, since: map[Key]time.Time{}, request: map[Key]Request{}, granted: map[string]int{}}
	s.onEach = func(k Key, d Decision) {
		if d.Denied != nil {
			return
		}
		r := s.request[k]
		s.granted[r.Customer]++
		if r.Class == contract.Urgent {
			s.urgent++
		}
		// An endpoint processes as many requests as it has slots; a prefetched request starts when a slot is free.
		ep := q.endpoints[d.Endpoint.ID]
		var ends []time.Time
		for _, e := range ep.open {
			if t, ok := s.due[e.Key]; ok {
				ends = append(ends, t)
			}
		}
		start := s.now
		if len(ends) >= ep.Slots {
			slices.SortFunc(ends, time.Time.Compare)
			start = ends[len(ends)-ep.Slots]
		}
		s.due[k], s.since[k] = start.Add(s.serviceTime), s.now
	}
	return s
}

func (s *simulation) arrive(customer string, class contract.Class, deadline time.Duration) {
	s.ref++
	k := Key{"h", s.ref}
	s.request[k] = Request{Customer: customer, Class: class, Deadline: s.now.Add(deadline)}
	s.q.Acquire(s.now, 1, k, s.request[k], s)
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(time.Millisecond)
		for k, at := range s.due {
			if !at.After(s.now) {
				delete(s.due, k)
				if !s.now.After(s.request[k].Deadline) {
					s.completedInTime++
				}
				s.q.Release(s.now, k, Outcome{Result: ResultCompleted, ServiceTime: s.now.Sub(s.since[k])})
			}
		}
		s.q.Tick(s.now)
	}
}

// TestOverloadEnds guards against an overload that persists after its cause has ended. After 10 s at twice the capacity, caused by more
// arrivals or by slower endpoints, service has to be normal within 1 s. While more requests arrive, goodput has to remain at 95% of the
// capacity.
func TestOverloadEnds(t *testing.T) {
	for _, slower := range []bool{false, true} {
		q, now := testQueue(setOf(limitsOf("a", unlimited, unlimited, 1000, 1, 10_000)), endpointsOf(5, 2))
		s := newSimulation(q, now, 10*time.Millisecond) // capacity: 1 request per ms
		// second runs for 1 s, in which perArrival requests arrive every intervalMS. It returns how many requests completed in time.
		second := func(perArrival, intervalMS int) (good int) {
			before := s.completedInTime
			for ms := range 1000 {
				if ms%intervalMS == 0 {
					for range perArrival {
						s.arrive("a", contract.Normal, 60*time.Millisecond)
					}
				}
				s.run(time.Millisecond)
			}
			return s.completedInTime - before
		}
		second(1, 2)
		for range 10 {
			if slower {
				s.serviceTime = 40 * time.Millisecond
				second(1, 2)
			} else if good := second(2, 1); good < 950 {
				t.Errorf("goodput of %d/s at twice the capacity of 1000/s", good)
			}
		}
		s.serviceTime = 10 * time.Millisecond
		second(1, 2)
		if good := second(1, 2); good < 499 {
			t.Errorf("slower: %t: %d of 500 requests completed in time, 1 s after the overload", slower, good)
		}
	}
}

// TestEjection checks the life cycle of a failing endpoint: it is ejected after three failures, receives one trial at a time, waits
// twice as long after a failed trial, and is readmitted after three successful trials.
func TestEjection(t *testing.T) {
	is := is.New(t)
	q, now := testQueue(setOf(limitsOf("a", unlimited, unlimited, 1000, 1, 1000)), endpointsOf(2, 1))
	rec := newRecorder()
	ref := uint64(0)
	acquire := func(idempotent bool, excluded ...endpoints.ID) (Key, Decision) {
		ref++
		k := Key{"h", ref}
		q.Acquire(now, 1, k, Request{Customer: "a", Class: contract.Normal, Idempotent: idempotent, ExcludedEndpoints: excluded, Deadline: now.Add(time.Minute)}, rec)
		return k, rec.grants[k]
	}
	bad := q.usableEndpoints[0]
	other := q.usableEndpoints[1].ID
	for range ejectAfterFailures {
		k, d := acquire(false, other)
		is.Equal(d.Endpoint.ID, bad.ID)
		q.Release(now, k, Outcome{Result: ResultServerError, ServiceTime: time.Microsecond})
	}
	is.True(bad.ejected)
	is.Equal(bad.serviceTime, 0.0) // a fast failure does not count as a short service time
	k, d := acquire(true)
	is.Equal(d.Endpoint.ID, other)
	q.Release(now, k, Outcome{Result: ResultCompleted, ServiceTime: time.Millisecond})

	now = now.Add(minTrialDelay)
	k, d = acquire(false)
	is.True(!d.Trial) // a request that is not idempotent is never a trial
	q.Release(now, k, Outcome{Result: ResultCompleted, ServiceTime: time.Millisecond})
	trial, d := acquire(true)
	is.True(d.Trial)
	k, d = acquire(true)
	is.Equal(d.Endpoint.ID, other) // one trial at a time
	q.Release(now, k, Outcome{Result: ResultCompleted, ServiceTime: time.Millisecond})
	q.Release(now, trial, Outcome{Result: ResultNoResponse})
	is.Equal(bad.nextTrialAt, now.Add(2*minTrialDelay))

	now = now.Add(2 * minTrialDelay)
	for range trialsToReadmit {
		is.True(bad.ejected)
		k, d = acquire(true)
		is.True(d.Trial)
		q.Release(now, k, Outcome{Result: ResultCompleted, ServiceTime: time.Millisecond})
	}
	is.True(!bad.ejected)

	for range 2 * outcomeWindow { // both endpoints fail, but only half of them may be ejected
		for _, e := range q.usableEndpoints {
			q.applyOutcome(now, e, false, Outcome{Result: ResultServerError})
		}
	}
	is.Equal(q.ejectedCount, 1)
}

// TestDeactivationChangesNoDecision guards against a queue whose state is discarded too early, which would lose a waiting request, an
// open grant or the count of spent rate tokens. A queue that is deactivated whenever possible must have the same decisions and counts
// as one that is never deactivated.
func TestDeactivationChangesNoDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		draw := func() limits.Set {
			return setOf(limitsOf("a", rapid.SampledFrom([]float64{2, 20, unlimited}).Draw(t, "rate"), float64(rapid.IntRange(1, 5).Draw(t, "burst")),
				rapid.IntRange(1, 4).Draw(t, "concurrent"), 1, rapid.IntRange(1, 4).Draw(t, "queue")))
		}
		set, list := draw(), endpointsOf(3, 1)
		alwaysActive, deactivated := NewQueue(now, "s", 0, set), newInactiveQueue(now, "s", 0, set)
		both := []*Queue{alwaysActive, deactivated}
		recorders := []*recorder{newRecorder(), newRecorder()}
		deactivations := 0
		ref := uint64(0)
		each := func(f func(i int, q *Queue)) {
			for i, q := range both {
				f(i, q)
			}
		}
		each(func(_ int, q *Queue) { q.SetEndpoints(now, list[:2]) })
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				ref++
				r := Request{Customer: "a", Service: "s", Class: contract.Class(rapid.IntRange(0, 2).Draw(t, "class")),
					Attempt: rapid.IntRange(0, 1).Draw(t, "attempt"), Deadline: now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "deadline_ms")) * time.Millisecond)}
				each(func(i int, q *Queue) { q.Acquire(now, 1, Key{"h", ref}, r, recorders[i]) })
			},
			"end": func(t *rapid.T) {
				if ref == 0 {
					return
				}
				k := Key{"h", rapid.Uint64Range(max(1, ref-min(ref, 8)), ref).Draw(t, "ref")}
				cancel := rapid.Bool().Draw(t, "cancel")
				each(func(_ int, q *Queue) {
					if cancel {
						q.Cancel(now, k)
					} else {
						q.Release(now, k, Outcome{Result: ResultCancelled})
					}
				})
			},
			"add grants": func(t *rapid.T) {
				ref++
				open := []OpenGrant{{Ref: ref, Customer: "a", Endpoint: list[2].ID, Deadline: now.Add(time.Second)}}
				each(func(_ int, q *Queue) { q.AddOpenGrants(now, 1, "h", open) })
			},
			"take over":      func(*rapid.T) { each(func(_ int, q *Queue) { q.EmptyBuckets(now) }) },
			"executor gone":  func(*rapid.T) { each(func(_ int, q *Queue) { q.EndSession(now, 1) }) },
			"same contracts": func(*rapid.T) { each(func(_ int, q *Queue) { q.SetLimits(now, set) }) },
			"endpoints": func(t *rapid.T) {
				n := rapid.IntRange(0, 3).Draw(t, "endpoints")
				each(func(_ int, q *Queue) { q.SetEndpoints(now, list[:n]) })
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 50, 600, 5000}).Draw(t, "ms")) * time.Millisecond)
				each(func(_ int, q *Queue) { q.Tick(now) })
			},
			"go inactive": func(*rapid.T) {
				if deactivated.Deactivate(now) {
					deactivations++
				}
			},
			"": func(t *rapid.T) {
				is := is.New(t)
				is.Equal(recorders[0].grants, recorders[1].grants)
				is.Equal(recorders[0].denied, recorders[1].denied)
				a, b := alwaysActive.Dump(now), deactivated.Dump(now)
				is.Equal(a.Waiting, b.Waiting)
				is.Equal(a.Granted, b.Granted)
				is.Equal(len(a.Customers), len(b.Customers))
				for i := range a.Customers {
					is.Equal(a.Customers[i].Open, b.Customers[i].Open)
					is.True(math.Abs(a.Customers[i].Tokens-b.Customers[i].Tokens) < 1e-6)
				}
				is.Equal(alwaysActive.tickAfter(), deactivated.tickAfter())
			},
		})
	})
}

// TestLimitChangeWhileInactiveGivesNoTokens guards against a customer that receives a full bucket because its limits changed, or its
// contract was added, while the queue was inactive, and against one that has to wait for tokens because a contract was published again
// with the same rate and burst.
func TestLimitChangeWhileInactiveGivesNoTokens(t *testing.T) {
	is := is.New(t)
	withRate := func(rate float64) limits.Set { return setOf(limitsOf("a", rate, 4, 10, 1, 10)) }
	for _, change := range []struct {
		set    limits.Set
		tokens float64
	}{
		{withRate(2), 4}, {withRate(3), 0}, {setOf(limitsOf("a", 2, 4, 10, 1, 10), limitsOf("b", 2, 4, 10, 1, 10)), 0}, {setOf(limitsOf("a", 2, 4, 9, 2, 9)), 4},
	} {
		q := newInactiveQueue(epoch, "s", 0, withRate(2))
		now := epoch.Add(time.Hour)
		q.SetLimits(now, change.set)
		is.True(q.customers == nil)
		for _, c := range q.Dump(now).Customers {
			is.Equal(c.Tokens, change.tokens)
		}
		is.True(q.customers == nil) // Dump leaves the queue inactive
	}
}

// TestLeavingEndpointKeepsQueueActive guards against a queue that is deactivated while an endpoint known to be leaving is still in the
// list of usable endpoints. The queue would lose this information and grant new requests to the endpoint.
func TestLeavingEndpointKeepsQueueActive(t *testing.T) {
	is := is.New(t)
	q, now := testQueue(setOf(limitsOf("a", unlimited, 1, 10, 1, 10)), endpointsOf(2, 1))
	rec := newRecorder()
	k := Key{"h", 1}
	q.Acquire(now, 1, k, Request{Customer: "a", Service: "s", Deadline: now.Add(time.Minute)}, rec)
	q.Release(now, k, Outcome{Result: ResultCompleted, Leaving: true})
	now = now.Add(time.Minute)
	is.True(!q.Deactivate(now))
	q.SetEndpoints(now, slices.DeleteFunc(endpointsOf(2, 1), func(e endpoints.Endpoint) bool { return e.ID == rec.grants[k].Endpoint.ID }))
	is.True(q.Deactivate(now))
}
