package overload

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// This file plays the heaviest day of docs/design/customers-zones-overload.md section 1 at one host, without a network: the host has a tenth of the traffic
// and of the slots. A zone is absent from 4 s to 8 s and cold until 11 s, the largest customer sends 6 times its usual traffic from 6 s to 13 s,
// and there is a burst of archive-pdf from 6 s to 12 s. Callers return as section 2 says.

// kind is a kind of request.
type kind struct {
	name                     string
	priority                 int
	perSecond                float64
	work, target, timeout    time.Duration
	valueInTime, valueIfLate float64
	burst                    float64 // factor of the traffic during the burst
}

// daySite is one service of the day.
type daySite struct {
	slots int
	kinds []kind
}

// daySites are the services of the day, with a tenth of the traffic (1.6 times the usual one).
var daySites = []daySite{
	{14, []kind{{"grid-fetch", 0, 26, 88 * time.Millisecond, 250 * time.Millisecond, 4 * time.Second, 3.1, 0.13, 1},
		{"archive-pdf", 2, 10, 180 * time.Millisecond, 2500 * time.Millisecond, 8 * time.Second, 0.41, 0.062, 6}}},
	{54, []kind{{"hint-fetch", 1, 74, 220 * time.Millisecond, 600 * time.Millisecond, 6 * time.Second, 0.83, 0.083, 1}}},
	{32, []kind{{"renewal", 1, 34, 290 * time.Millisecond, 800 * time.Millisecond, 6 * time.Second, 1.7, 0.17, 1}}},
}

const (
	dayLength      = 20 * time.Second
	callerRepeats  = 2
	largeCustomer  = "c0"
	largeShare     = 0.15 // of the usual traffic
	otherCustomers = 20
)

// daySlots returns the slots and the part of them that is cold.
func (s daySite) daySlots(at time.Duration) (slots int, cold float64) {
	switch {
	case at >= 4*time.Second && at < 8*time.Second:
		return s.slots * 2 / 3, 0
	case at >= 8*time.Second && at < 11*time.Second:
		return s.slots, 1.0 / 3
	}
	return s.slots, 0
}

// attempt is one attempt of a request.
type attempt struct {
	kind     *kind
	customer string
	sent     time.Time // of the first attempt
	arrived  time.Time
	due      time.Time
	repeats  int // that are left
	waiting  bool
	waiter   *Waiter // of the new order
	request  Request
}

// outcome counts the requests of one kind or customer.
type outcome struct {
	requests, inTime, late, failed int
	refusals                       int // attempts
	refusalWait                    time.Duration
	longestWait                    time.Duration
	value                          float64
}

func (o *outcome) String() string {
	n := float64(max(1, o.requests))
	return fmt.Sprintf("%5d requests: %5.1f%% in time, %4.1f%% late, %4.1f%% without; %5d attempts refused after %4d ms (longest %d ms); value %.0f", o.requests,
		100*float64(o.inTime)/n, 100*float64(o.late)/n, 100*float64(o.failed)/n, o.refusals,
		(o.refusalWait / time.Duration(max(1, o.refusals))).Milliseconds(), o.longestWait.Milliseconds(), o.value)
}

// day plays one service with one policy.
type day struct {
	faketime.Scheduler
	site    daySite
	policy  policy
	traffic *rand.Rand // the same requests arrive with each policy
	random  *rand.Rand // durations
	busy    int
	byKind  map[string]*outcome
	byName  map[string]*outcome // by customer
	worst   map[int64][2]int    // by second: answers in time and late
}

// play runs the day.
func (d *day) play() {
	d.Now, d.byKind, d.byName, d.worst = start, map[string]*outcome{}, map[string]*outcome{}, map[int64][2]int{}
	for i := range d.site.kinds {
		k := &d.site.kinds[i]
		d.byKind[k.name] = &outcome{}
		d.nextArrival(k)
	}
	for tick := time.Duration(0); tick < dayLength+10*time.Second; tick += 50 * time.Millisecond { // slots that come back are used
		d.At(start.Add(tick), d.fill)
	}
	d.Run()
}

// nextArrival plans the next request of a kind.
func (d *day) nextArrival(k *kind) {
	passed := d.Now.Sub(start)
	if passed > dayLength {
		return
	}
	usual, large := k.perSecond*(1-largeShare), k.perSecond*largeShare
	if passed >= 6*time.Second && passed < 13*time.Second {
		large *= 6
	}
	if passed >= 6*time.Second && passed < 12*time.Second {
		usual, large = usual*k.burst, large*k.burst
	}
	d.After(time.Duration(d.traffic.ExpFloat64()/(usual+large)*1e9), func() {
		customer := largeCustomer
		if d.traffic.Float64() > large/(usual+large) {
			customer = fmt.Sprint("c", 1+d.traffic.IntN(otherCustomers))
		}
		if d.byName[customer] == nil {
			d.byName[customer] = &outcome{}
		}
		d.byName[customer].requests++
		d.byKind[k.name].requests++
		d.arrive(&attempt{kind: k, customer: customer, sent: d.Now, due: d.Now.Add(k.timeout), repeats: callerRepeats})
		d.nextArrival(k)
	})
}

func (d *day) arrive(a *attempt) {
	a.arrived = d.Now
	slots, _ := d.site.daySlots(d.Now.Sub(start))
	switch decision, delay := d.policy.arrive(a, d.busy < slots, d.Now); decision {
	case "send":
		d.run(a)
	case "wait":
		a.waiting = true
		d.check(a)
	default:
		d.refused(a, delay)
	}
}

// check has the policy decide on a waiting request now and later.
func (d *day) check(a *attempt) {
	if !a.waiting {
		return
	}
	refuse, delay, again := d.policy.check(a, d.Now)
	if refuse {
		a.waiting = false
		d.refused(a, delay)
		return
	}
	d.At(again, func() { d.check(a) })
}

// refused counts a refusal. The caller returns after the delay, but waits no longer than a third of the time that is left.
func (d *day) refused(a *attempt, delay time.Duration) {
	o := d.byKind[a.kind.name]
	o.refusals++
	o.refusalWait += d.Now.Sub(a.arrived)
	o.longestWait = max(o.longestWait, d.Now.Sub(a.arrived))
	left := a.due.Sub(d.Now)
	if a.repeats == 0 || left < a.kind.work/2 {
		o.failed++
		d.byName[a.customer].failed++
		return
	}
	back := &attempt{kind: a.kind, customer: a.customer, sent: a.sent, due: a.due, repeats: a.repeats - 1}
	d.After(min(delay, left/3), func() { d.arrive(back) })
}

// run runs a request at an endpoint.
func (d *day) run(a *attempt) {
	slots, cold := d.site.daySlots(d.Now.Sub(start))
	d.busy++
	stretch := 0.8 + 0.4*d.random.Float64()
	if float64(d.busy) > 0.8*float64(slots) {
		stretch *= 1.7
	}
	if d.random.Float64() < cold {
		stretch *= 2
	}
	if d.random.Float64() < 0.04 { // the endpoint is slowed by its neighbours, and no other had a free slot
		stretch *= 3
	}
	took := time.Duration(stretch * float64(a.kind.work))
	d.policy.started(a, d.Now)
	d.After(took, func() {
		d.busy--
		d.policy.ended(a, took, d.Now)
		d.answered(a)
		d.fill()
	})
}

func (d *day) answered(a *attempt) {
	second := int64(d.Now.Sub(start) / time.Second)
	counts := d.worst[second]
	for _, o := range []*outcome{d.byKind[a.kind.name], d.byName[a.customer]} {
		switch {
		case d.Now.Sub(a.sent) <= a.kind.target:
			o.inTime++
			o.value += a.kind.valueInTime
		case d.Now.Before(a.due):
			o.late++
			o.value += a.kind.valueIfLate
		default:
			o.failed++
		}
	}
	if d.Now.Sub(a.sent) <= a.kind.target {
		counts[0]++
	} else {
		counts[1]++
	}
	d.worst[second] = counts
}

// fill gives the free slots to waiting requests.
func (d *day) fill() {
	for {
		if slots, _ := d.site.daySlots(d.Now.Sub(start)); d.busy >= slots {
			return
		}
		a := d.policy.next(d.Now)
		if a == nil {
			return
		}
		a.waiting = false
		d.run(a)
	}
}

// dayResult is what one order made of all services of the days.
type dayResult struct {
	byKind       map[string]*outcome
	byCustomer   map[string]*outcome
	inTime, late int // answers in the worst six seconds
}

// daySeeds are the seeds of the days that are played.
var daySeeds = []uint64{1, 2, 3}

// playDays plays all services of the days with one order.
func playDays(t *testing.T, name string, newPolicy func(seed uint64) policy) *dayResult {
	r := &dayResult{byKind: map[string]*outcome{}, byCustomer: map[string]*outcome{}}
	for _, seed := range daySeeds {
		for i, site := range daySites {
			d := &day{site: site, traffic: rand.New(rand.NewPCG(seed, uint64(i))), random: rand.New(rand.NewPCG(seed, uint64(10+i))), policy: newPolicy(seed)}
			d.play()
			addOutcomes(r.byKind, d.byKind)
			addOutcomes(r.byCustomer, d.byName)
			for second := int64(7); second < 13; second++ {
				r.inTime, r.late = r.inTime+d.worst[second][0], r.late+d.worst[second][1]
			}
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(r.byKind)) {
		t.Logf("%-8s %-12s %v", name, kind, r.byKind[kind])
	}
	others := r.others()
	t.Logf("%-8s %-12s %v", name, largeCustomer, r.byCustomer[largeCustomer])
	t.Logf("%-8s %-12s %v", name, "others", &others)
	t.Logf("%-8s from 7 s to 13 s: %d in time, %d late", name, r.inTime, r.late)
	return r
}

// addOutcomes adds outcomes by name.
func addOutcomes(to, from map[string]*outcome) {
	for name, o := range from {
		if to[name] == nil {
			to[name] = &outcome{}
		}
		to[name].add(o)
	}
}

// others returns the outcome of the customers that send their usual traffic.
func (r *dayResult) others() (sum outcome) {
	for name, o := range r.byCustomer {
		if name != largeCustomer {
			sum.add(o)
		}
	}
	return sum
}

// add adds the counts of another outcome.
func (o *outcome) add(p *outcome) {
	o.requests, o.inTime, o.late, o.failed = o.requests+p.requests, o.inTime+p.inTime, o.late+p.late, o.failed+p.failed
	o.refusals, o.refusalWait, o.value = o.refusals+p.refusals, o.refusalWait+p.refusalWait, o.value+p.value
	o.longestWait = max(o.longestWait, p.longestWait)
}

// served returns the share of the requests that were answered.
func (o *outcome) served() float64 { return float64(o.inTime+o.late) / float64(o.requests) }

// TestHeaviestDay guards against an order and refusals under which any kind of request is worse off than with the order before, more requests are
// late than in time in the worst seconds, refusals come after a wait, or a more urgent kind of a service is served less often than a less urgent one.
func TestHeaviestDay(t *testing.T) {
	is := is.New(t)
	before := playDays(t, "before", func(uint64) policy { return &presentPolicy{} })
	after := playDays(t, "after", func(seed uint64) policy {
		return &newPolicy{random: rand.New(rand.NewPCG(seed, 99)), waiting: map[*Waiter]*attempt{}}
	})
	for _, site := range daySites {
		last := 1.0
		for _, k := range site.kinds { // the more urgent ones first
			was, now := before.byKind[k.name], after.byKind[k.name]
			is.True(now.inTime > was.inTime && now.value > was.value)
			is.True(now.refusalWait/time.Duration(now.refusals) < k.target/8)
			is.True(now.served() <= last)
			last = now.served()
		}
	}
	for name, was := range before.byCustomer {
		is.True(after.byCustomer[name].value > was.value)
	}
	othersBefore, othersAfter := before.others(), after.others()
	is.True(float64(othersAfter.inTime) > 1.3*float64(othersBefore.inTime))
	is.True(before.inTime < before.late)
	is.True(after.inTime > 2*after.late)
}
