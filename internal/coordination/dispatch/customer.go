package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
)

// customer is the state of one customer of the service at this owner.
type customer struct {
	name          string
	limits        *limits.ServiceLimits // nil if the contract no longer contains the service
	concurrent    int                   // concurrency limit of this queue's part
	bucket        limits.Bucket
	fillTime      time.Duration // time in which an empty bucket fills
	arrivals      slidingWindow
	open          int // open grants
	waiting       int
	awaitingToken [contract.Classes]int // waiting requests that need a rate token
	classes       [contract.Classes]classQueue
}

// slidingWindow estimates the number of requests within the last second from the counts of the current and the previous second.
type slidingWindow struct {
	start             time.Time // start of the current second
	current, previous float64
}

func (w *slidingWindow) advance(now time.Time) {
	switch age := now.Sub(w.start); {
	case age >= 2*time.Second:
		*w = slidingWindow{start: now}
	case age >= time.Second:
		*w = slidingWindow{start: w.start.Add(time.Second), previous: w.current}
	}
}

// perSecond returns the estimate. It assumes that the requests of the previous second were evenly spaced.
func (w *slidingWindow) perSecond(now time.Time) float64 {
	w.advance(now)
	return w.current + w.previous*(1-now.Sub(w.start).Seconds())
}

// classQueue holds a customer's waiting requests of one class.
type classQueue struct {
	heap        []*entry // by deadline
	startTag    float64  // virtual start time of the next request
	blocked     bool     // skipped because of the customer's concurrency limit since its last turn
	activeIndex int      // position in class.activeCustomers while heap is not empty
	lastSearch  uint64   // latest search that tried this customer, see Queue.searchID
}

// class orders the customers that have waiting requests of one class by start-time fair queueing (Goyal, Vin and Cheng 1996): the
// customer with the smallest start tag goes first, and each grant increases its tag by 1/share.
type class struct {
	activeCustomers []*customer
	virtualTime     float64 // highest start tag of a granted request
}

// ensureCustomer returns the state of a customer and creates it if needed.
func (q *Queue) ensureCustomer(name string) *customer {
	c := q.customers[name]
	if c == nil {
		c = &customer{name: name}
		q.customers[name] = c
	}
	return c
}

// setLimits applies the limits l, which are divided into the given number of equal parts. This queue may use one of the parts.
func (c *customer) setLimits(now time.Time, l *limits.ServiceLimits, parts int) {
	c.limits = l
	c.concurrent = max(1, l.Concurrent/parts)
	// A bucket that holds less than one token would never admit a request.
	rate, depth := l.Rate/float64(parts), math.Max(1, l.Burst/float64(parts))
	c.bucket.Set(now, rate, depth)
	c.fillTime = 0
	if rate > 0 {
		c.fillTime = time.Duration(min(depth/rate, time.Hour.Seconds()) * float64(time.Second))
	}
}

func (c *customer) share() float64 {
	if c.limits == nil {
		return contract.DefaultShare
	}
	return float64(max(1, c.limits.Share))
}

// awaitingTokenUpTo returns the number of waiting requests that receive a rate token before a new request of the given class.
func (c *customer) awaitingTokenUpTo(class contract.Class) int {
	n := 0
	for i := contract.Urgent; i <= class; i++ {
		n += c.awaitingToken[i]
	}
	return n
}

// leastUrgent returns the waiting request that is displaced first, among those of class floor or a less urgent class, or nil.
func (c *customer) leastUrgent(floor contract.Class) *entry {
	for i := contract.Classes - 1; i >= int(floor); i-- {
		if h := c.classes[i].heap; len(h) > 0 {
			return slices.MaxFunc(h, func(a, b *entry) int {
				if a.before(b) {
					return -1
				}
				return 1
			})
		}
	}
	return nil
}

// nextCustomer returns the customer with the smallest start tag among those that are below their concurrency limit and were not yet
// tried in the current search, or nil.
func (cl *class) nextCustomer(q *Queue, now time.Time, i contract.Class) *customer {
	var best *customer
	for _, c := range cl.activeCustomers {
		cq := &c.classes[i]
		if cq.lastSearch == q.searchID {
			continue
		}
		if c.open >= c.concurrent {
			cq.blocked = true
			continue
		}
		if cq.blocked {
			// A customer must not gain priority over others by the time it spent at its concurrency limit.
			cq.blocked = false
			cq.startTag = max(cq.startTag, cl.virtualTime)
		}
		if best == nil || cq.startTag < best.classes[i].startTag || cq.startTag == best.classes[i].startTag && c.name < best.name {
			best = c
		}
	}
	return best
}

// charge advances the customer's start tag and the virtual time of the class for a grant.
func (cl *class) charge(c *customer, i contract.Class) {
	cq := &c.classes[i]
	cl.virtualTime = max(cl.virtualTime, cq.startTag)
	cq.startTag += 1 / c.share()
}

// enqueue adds a waiting request to the heap of its customer and class.
func (q *Queue) enqueue(e *entry) {
	c, i := e.customer, e.request.Class
	cq, cl := &c.classes[i], &q.classes[i]
	if len(cq.heap) == 0 {
		cq.startTag = max(cq.startTag, cl.virtualTime)
		cq.activeIndex = len(cl.activeCustomers)
		cl.activeCustomers = append(cl.activeCustomers, c)
	}
	e.index = len(cq.heap)
	cq.heap = append(cq.heap, e)
	cq.up(e.index)
	q.waiting++
	c.waiting++
	if e.awaitsToken {
		c.awaitingToken[i]++
	}
}

// dequeue removes a waiting request from its heap.
func (q *Queue) dequeue(e *entry) {
	c, i := e.customer, e.request.Class
	cq, cl := &c.classes[i], &q.classes[i]
	last := len(cq.heap) - 1
	at := e.index
	cq.swap(at, last)
	cq.heap[last] = nil
	cq.heap = cq.heap[:last]
	if at < last {
		cq.down(at)
		cq.up(at)
	}
	if last == 0 {
		end := len(cl.activeCustomers) - 1
		moved := cl.activeCustomers[end]
		cl.activeCustomers[cq.activeIndex] = moved
		moved.classes[i].activeIndex = cq.activeIndex
		cl.activeCustomers[end] = nil
		cl.activeCustomers = cl.activeCustomers[:end]
	}
	q.waiting--
	c.waiting--
	if e.awaitsToken {
		c.awaitingToken[i]--
	}
}

// before orders requests of one customer and class: earliest deadline first, then in order of arrival.
func (e *entry) before(o *entry) bool {
	if !e.request.Deadline.Equal(o.request.Deadline) {
		return e.request.Deadline.Before(o.request.Deadline)
	}
	return e.seq < o.seq
}

func (cq *classQueue) swap(i, j int) {
	cq.heap[i], cq.heap[j] = cq.heap[j], cq.heap[i]
	cq.heap[i].index, cq.heap[j].index = i, j
}

func (cq *classQueue) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !cq.heap[i].before(cq.heap[parent]) {
			return
		}
		cq.swap(i, parent)
		i = parent
	}
}

func (cq *classQueue) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(cq.heap) {
			return
		}
		if child+1 < len(cq.heap) && cq.heap[child+1].before(cq.heap[child]) {
			child++
		}
		if !cq.heap[child].before(cq.heap[i]) {
			return
		}
		cq.swap(i, child)
		i = child
	}
}
