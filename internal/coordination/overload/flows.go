package overload

import (
	"container/heap"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/decay"
)

// share is the part of one customer in the service of a band (Goyal, Vin and Cheng, Start-time Fair Queueing, 1996). Requests without a customer have
// one share together, by their usual traffic.
type share struct {
	customer *customer // nil if no customer is known
	// tag is the virtual start of the customer's next request: the work that it got done, divided by its weight, and not less than that of the
	// customers that were served when it began to wait.
	tag      float64
	arrivals decay.Meter // work of requests that can be in time
	flows    [2]flow     // of the requests that can be in time, and of those that can only be late
}

// flow holds the waiting requests of one customer in a lane, in their order.
type flow struct {
	share   *share
	waiters []*Waiter
	work    time.Duration // of all
	index   int           // in lane.flows; -1 if none waits
}

func newShare() *share {
	s := &share{}
	for i := range s.flows {
		s.flows[i] = flow{share: s, index: -1}
	}
	return s
}

// lane holds the waiting requests of one rank that can be in time, or of those that can only be late.
type lane struct {
	flows   flowHeap
	count   int
	starved int           // those that have found no free slot
	work    time.Duration // of all
}

// first returns the first request, or nil.
func (l *lane) first() *Waiter {
	if len(l.flows) == 0 {
		return nil
	}
	return l.flows[0].waiters[0]
}

// flowHeap orders flows by the virtual start of their first requests, then by the order of these.
type flowHeap []*flow

// Len implements heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h flowHeap) Less(i, j int) bool { return h[i].before(h[j], h[i].share.tag) }

// before reports whether a request of the flow with the virtual start tag, of the order of the flow's first request, comes before those of another flow.
func (f *flow) before(other *flow, tag float64) bool {
	if tag != other.share.tag {
		return tag < other.share.tag
	}
	return compareWaiters(f.waiters[0], other.waiters[0]) < 0
}

// Swap implements heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h, f.index = (*h)[:last], -1
	return f
}

// compareWaiters orders the waiters of one flow.
func compareWaiters(a, b *Waiter) int {
	if c := a.urgency.Compare(b.urgency); c != 0 {
		return c
	}
	return a.request.LateAt.Compare(b.request.LateAt)
}

// add adds a waiter.
func (l *lane) add(w *Waiter) {
	f := w.flow()
	i, _ := slices.BinarySearchFunc(f.waiters, w, compareWaiters)
	f.waiters = slices.Insert(f.waiters, i, w)
	if f.index < 0 {
		heap.Push(&l.flows, f)
	} else if i == 0 {
		heap.Fix(&l.flows, f.index)
	}
	l.count, l.work, f.work = l.count+1, l.work+w.request.Work, f.work+w.request.Work
	if w.starved {
		l.starved++
	}
}

// position returns the position of a waiter in its flow, or -1.
func (f *flow) position(w *Waiter) int {
	i, _ := slices.BinarySearchFunc(f.waiters, w, compareWaiters)
	for ; i < len(f.waiters) && compareWaiters(f.waiters[i], w) == 0; i++ {
		if f.waiters[i] == w {
			return i
		}
	}
	return -1
}

// remove removes a waiter and reports whether the lane held it.
func (l *lane) remove(w *Waiter) bool {
	f := w.flow()
	i := f.position(w)
	if i < 0 {
		return false
	}
	f.waiters = slices.Delete(f.waiters, i, i+1)
	if len(f.waiters) == 0 {
		f.waiters = nil
		heap.Remove(&l.flows, f.index)
	} else if i == 0 {
		heap.Fix(&l.flows, f.index)
	}
	l.count, l.work, f.work = l.count-1, l.work-w.request.Work, f.work-w.request.Work
	if w.starved {
		l.starved--
	}
	return true
}

// ahead returns the number and the work of the requests of the lane that are served before one of its waiters, and the part of these that is the
// waiter's own customer's.
func (l *lane) ahead(w *Waiter) (n int, work, own time.Duration) {
	f := w.flow()
	n = max(0, f.position(w))
	for _, other := range f.waiters[:n] {
		own += other.request.Work
	}
	work = own
	tag := f.share.tag + own.Seconds()/f.share.weight()
	for _, other := range l.flows {
		if other == f || other.share.tag > tag || other.share.tag == tag && compareWaiters(other.waiters[0], w) > 0 {
			continue
		}
		before := time.Duration((tag - other.share.tag) * other.share.weight() * float64(time.Second))
		before = min(max(before, other.waiters[0].request.Work), other.work)
		work += before
		n += int(float64(len(other.waiters))*float64(before)/float64(max(1, other.work)) + 0.5)
	}
	return n, work, own
}

// wakeNext wakes the first request that has no wake-up pending, and reports whether there is one.
func (l *lane) wakeNext() bool {
	var next *Waiter
	least := 0.0
	for _, f := range l.flows {
		tag := f.share.tag
		i := 0
		for i < len(f.waiters) && len(f.waiters[i].Wake) > 0 {
			tag += f.waiters[i].request.Work.Seconds() / f.share.weight()
			i++
		}
		if i < len(f.waiters) && (next == nil || tag < least || tag == least && compareWaiters(f.waiters[i], next) < 0) {
			next, least = f.waiters[i], tag
		}
	}
	return next != nil && next.wake()
}
