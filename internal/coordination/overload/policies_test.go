package overload

import (
	"math/rand/v2"
	"slices"
	"time"
)

// policy decides which request waits and which gets the next free slot.
type policy interface {
	// arrive returns whether a request gets a free slot, waits or is refused, and the delay until its caller returns.
	arrive(a *attempt, free bool, now time.Time) (decision string, retryAfter time.Duration)
	// check decides on a waiting request anew, and returns when to do so again.
	check(a *attempt, now time.Time) (refuse bool, retryAfter time.Duration, again time.Time)
	next(now time.Time) *attempt // takes the first request; nil if none waits
	started(a *attempt, now time.Time)
	ended(a *attempt, took time.Duration, now time.Time)
}

// presentPolicy is the order and the refusals before this package: by priority, then lateness counted from this attempt. A request is refused when
// it can only be late, and an arrival takes a free slot if no more urgent request waits.
type presentPolicy struct{ waiting []*attempt }

func (p *presentPolicy) lateAt(a *attempt) time.Time {
	return a.arrived.Add(a.kind.target - 20*time.Millisecond)
}

func (p *presentPolicy) arrive(a *attempt, free bool, now time.Time) (string, time.Duration) {
	urgentWaits := len(p.waiting) > 0 && p.waiting[0].kind.priority < a.kind.priority
	if free && !urgentWaits {
		return "send", 0
	}
	i, _ := slices.BinarySearchFunc(p.waiting, a, func(b, c *attempt) int {
		if b.kind.priority != c.kind.priority {
			return b.kind.priority - c.kind.priority
		}
		return p.lateAt(b).Compare(p.lateAt(c))
	})
	p.waiting = slices.Insert(p.waiting, i, a)
	return "wait", 0
}

func (p *presentPolicy) check(a *attempt, now time.Time) (bool, time.Duration, time.Time) {
	if at := p.lateAt(a).Add(-a.kind.work); now.Before(at) {
		return false, 0, at
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(b *attempt) bool { return a == b })
	return true, max(minRetryAfter, time.Duration(1.7*float64(a.kind.work)/4)), time.Time{}
}

func (p *presentPolicy) next(time.Time) *attempt {
	if len(p.waiting) == 0 {
		return nil
	}
	a := p.waiting[0]
	p.waiting = p.waiting[1:]
	return a
}

func (p *presentPolicy) started(*attempt, time.Time)              {}
func (p *presentPolicy) ended(*attempt, time.Duration, time.Time) {}

// newPolicy is the Queue.
type newPolicy struct {
	queue   Queue
	waits   Waits
	random  *rand.Rand
	waiting map[*Waiter]*attempt
}

func (p *newPolicy) arrive(a *attempt, free bool, now time.Time) (string, time.Duration) {
	waited := p.waits.Estimate(a.kind.name, a.due.Sub(now), now)
	a.request = Request{RoutePriority: a.kind.priority, Route: a.kind.name, Customer: a.customer, Work: a.kind.work, FirstSent: now.Add(-waited),
		LateAt: now.Add(a.kind.target - 20*time.Millisecond - waited), Due: a.due}
	p.queue.Arrived(&a.request, now)
	if free && !p.queue.MustWait(&a.request, now) {
		return "send", 0
	}
	a.waiter = p.queue.Add(a.request, true, now)
	p.waiting[a.waiter] = a
	return "wait", 0
}

func (p *newPolicy) check(a *attempt, now time.Time) (bool, time.Duration, time.Time) {
	e := p.queue.Decide(a.waiter, now)
	if e.Reason == NoReason {
		return false, 0, now.Add(p.queue.NextDecision(a.waiter, now))
	}
	p.queue.Remove(a.waiter, false, now)
	delete(p.waiting, a.waiter)
	return true, p.queue.RetryAfter(&a.request, now, p.random.Float64), time.Time{}
}

func (p *newPolicy) next(now time.Time) *attempt {
	for w, a := range p.waiting {
		if p.queue.IsFirst(w, now) {
			delete(p.waiting, w)
			p.queue.Remove(w, true, now)
			return a
		}
	}
	return nil
}

func (p *newPolicy) started(a *attempt, now time.Time) { p.queue.Started(&a.request, true, now) }
func (p *newPolicy) ended(a *attempt, took time.Duration, now time.Time) {
	p.queue.Ended(a.kind.work, took, true, now)
}
