package load

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/standin"
)

// BoundEndpoint describes one endpoint to the reference scheduler of Bound.
type BoundEndpoint struct {
	Slots    int
	Slowness *standin.Slowness
}

// BoundResult is the result of one request in the reference schedule.
type BoundResult struct {
	Refused bool          // the deadline cannot be met
	End     time.Duration // completion or refusal, from the start of the run
}

// Bound simulates a plan for one service under a reference scheduler that knows the work time of each request and every slow
// period of each endpoint in advance, sees each event without delay and has no overhead. It keeps one queue, ordered by class and
// then by earliest deadline, and assigns each request to the slot where it completes first. If that slot is still busy, the
// request waits for it, even if a slower slot is free. A request that cannot complete by its deadline is refused. This is list
// scheduling by earliest completion time. It serves as a strong baseline for comparison, but is not proven optimal.
func Bound(plan []Request, work func(r *Request) time.Duration, endpoints []BoundEndpoint) []BoundResult {
	d := &referenceScheduler{plan: plan, endpoints: endpoints, results: make([]BoundResult, len(plan))}
	for i := range plan {
		d.work = append(d.work, work(&plan[i]))
	}
	for e, endpoint := range endpoints {
		for range endpoint.Slots {
			d.slots = append(d.slots, boundSlot{endpoint: e})
		}
	}
	d.run()
	return d.results
}

type boundSlot struct {
	endpoint int
	freeAt   time.Duration // when its current request completes
}

type referenceScheduler struct {
	plan         []Request
	work         []time.Duration
	endpoints    []BoundEndpoint
	slots        []boundSlot
	waiting      []int         // indexes into plan, in the order of dispatch
	lastDispatch time.Duration // time of the last call of dispatch
	results      []BoundResult
}

func (d *referenceScheduler) run() {
	next := 0
	for next < len(d.plan) || len(d.waiting) > 0 {
		now := d.nextEvent(next)
		for ; next < len(d.plan) && d.plan[next].At <= now; next++ {
			position, _ := slices.BinarySearchFunc(d.waiting, next, d.compare)
			d.waiting = slices.Insert(d.waiting, position, next)
		}
		d.dispatch(now)
	}
}

// nextEvent returns the time of the next arrival. If a request waits and a busy slot becomes free earlier, it returns that time.
func (d *referenceScheduler) nextEvent(next int) time.Duration {
	event := time.Duration(math.MaxInt64)
	if next < len(d.plan) {
		event = d.plan[next].At
	}
	if len(d.waiting) == 0 {
		return event
	}
	// A slot that was already free at the last event is not the best slot of any waiting request.
	for _, slot := range d.slots {
		if slot.freeAt > d.lastDispatch {
			event = min(event, slot.freeAt)
		}
	}
	return event
}

func (d *referenceScheduler) deadline(i int) time.Duration {
	return d.plan[i].At + time.Duration(d.plan[i].Op.DeadlineMS)*time.Millisecond
}

func (d *referenceScheduler) compare(a, b int) int {
	return cmp.Or(cmp.Compare(d.plan[a].Op.Class, d.plan[b].Op.Class), cmp.Compare(d.deadline(a), d.deadline(b)), cmp.Compare(a, b))
}

// dispatch starts every waiting request whose best slot is free now and refuses those that cannot meet their deadline. A request
// that waits for a busy slot reserves it until the next event, so that requests behind it in the queue plan with the later time.
func (d *referenceScheduler) dispatch(now time.Duration) {
	reserved := slices.Clone(d.slots)
	idle := 0
	for _, s := range d.slots {
		if s.freeAt <= now {
			idle++
		}
	}
	stillWaiting := d.waiting[:0]
	for n, i := range d.waiting {
		if idle == 0 {
			stillWaiting = append(stillWaiting, d.waiting[n:]...)
			break
		}
		slot, end := d.bestSlot(reserved, now, d.work[i])
		if end > d.deadline(i) {
			d.results[i] = BoundResult{Refused: true, End: now}
			continue
		}
		if reserved[slot].freeAt <= now {
			idle--
			d.slots[slot].freeAt = end
			d.results[i] = BoundResult{End: end}
		} else {
			stillWaiting = append(stillWaiting, i)
		}
		reserved[slot].freeAt = end
	}
	d.waiting, d.lastDispatch = stillWaiting, now
}

// bestSlot returns the slot where work completes first, and the time of completion.
func (d *referenceScheduler) bestSlot(slots []boundSlot, now, work time.Duration) (slot int, end time.Duration) {
	earliest := make([]int, len(d.endpoints)) // for each endpoint, the slot that becomes free first
	for e := range earliest {
		earliest[e] = -1
	}
	for s := range slots {
		if e := slots[s].endpoint; earliest[e] < 0 || slots[s].freeAt < slots[earliest[e]].freeAt {
			earliest[e] = s
		}
	}
	slot, end = -1, math.MaxInt64
	for e, s := range earliest {
		if s < 0 {
			continue
		}
		if at := d.endpoints[e].Slowness.End(max(now, slots[s].freeAt), work); at < end {
			slot, end = s, at
		}
	}
	return slot, end
}
