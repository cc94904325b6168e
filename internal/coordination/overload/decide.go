package overload

import "time"

const (
	// minShare is the least share of the capacity that is assumed to be left over by more urgent requests. Their arrivals are measured over a short
	// time and vary.
	minShare = 0.2
	// minSpareShare is the share of the capacity that must be left over for requests that can only be late to wait for it.
	minSpareShare = 0.05
	// minRetryAfter is the least delay until a refused caller returns.
	minRetryAfter = 50 * time.Millisecond
	// retryFraction is the part of the time left for which callers honour a stated delay. unknownDelay is the least delay, as a fraction of the longest
	// one, if it is not known when capacity is left over.
	retryFraction = 1.0 / 3
	unknownDelay  = 0.5
)

// Reason says which estimate decided that a request is refused.
type Reason string

// Reasons.
const (
	NoReason  Reason = ""              // the request may wait
	LateOnly  Reason = "late_only"     // it can only be late, and no capacity is left over for such requests before its deadline
	QueueLong Reason = "queue_long"    // it would be late because of the requests before it, and no capacity is left over for late ones
	NoTime    Reason = "no_time"       // it cannot be answered before its deadline
	Unknown   Reason = "late_no_facts" // it can only be late, and the capacity is not known
)

// Estimate is the estimate behind a decision.
type Estimate struct {
	Reason   Reason
	Late     bool          // the request can or will only be late
	Capacity float64       // work per second that this host gets done; 0 if it is not known
	Left     float64       // work per second that more urgent requests leave over
	Share    float64       // part of Left that the customer gets; 0 if none of its other requests is served before
	Ahead    time.Duration // work of the requests that are served before
	Position int           // number of these
	Wait     time.Duration // expected time until an endpoint takes the request; 0 if it is not known
	TimeLeft time.Duration // longest wait with which it is in time, or before its deadline if it is late
}

// Decide estimates whether a waiting request can be answered in time, or at least before its deadline with capacity that no request which can be
// in time needs. If not, Estimate.Reason says why it should be refused.
func (q *Queue) Decide(w *Waiter, now time.Time) Estimate {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.settle(w, now)
	r := &w.request
	e := Estimate{Capacity: q.capacity(now), Late: w.isLate}
	until := func(t time.Time) time.Duration { return t.Sub(now) - q.expected(r.Work) }
	if !w.isLate {
		var own time.Duration
		e.Position, e.Ahead, own = q.ahead(w, false, false)
		e.Left = max(minShare*e.Capacity, e.Capacity-q.arrivals(now, func(b *band) bool { return b.rank.compare(w.band.rank) < 0 }))
		e.Wait, e.TimeLeft = waitFor(e.Ahead-r.Work, e.Left), until(r.LateAt)
		if own > 0 {
			e.Share = q.leftForShare(w, e.Left, now)
			e.Wait = max(e.Wait, waitFor(own-r.Work, e.Share))
		}
		if e.Late = r.LateAt.Sub(now) <= r.Work; !e.Late && (e.Capacity == 0 || e.Position == 0 || e.Wait <= e.TimeLeft) {
			return e
		}
	}
	return q.decideLate(w, e, until(r.Due), now)
}

// decideLate is Decide for a request that will be late. q.mu must be held.
func (q *Queue) decideLate(w *Waiter, e Estimate, left time.Duration, now time.Time) Estimate {
	late, precedes := e, q.underserved(w.band, now)
	late.Late = true
	late.Position, late.Ahead, _ = q.ahead(w, true, precedes)
	late.Left, late.TimeLeft = e.Capacity-q.arrivals(now, func(b *band) bool { return !precedes || b.rank.compare(w.band.rank) <= 0 }), left
	late.Wait = waitFor(late.Ahead, late.Left)
	switch {
	case left < 0:
		late.Reason = NoTime
	case e.Capacity == 0:
		late.Reason = Unknown
	case late.Left >= minSpareShare*e.Capacity && late.Wait <= left:
		return late
	case e.Late:
		late.Reason = LateOnly
	default:
		e.Reason = QueueLong
		return e
	}
	return late
}

// waitFor returns how long work takes at a number of seconds of work per second.
func waitFor(work time.Duration, perSecond float64) time.Duration {
	if work <= 0 || perSecond <= 0 {
		return 0
	}
	return min(time.Duration(float64(work)/perSecond), maxWait)
}

// maxWait bounds estimated waits.
const maxWait = time.Minute

// leftForShare returns the work per second that is left over for the customer of a waiting request, of that which is left over for its band: what the
// other customers do not need, or its part by weight if that is more. q.mu must be held.
func (q *Queue) leftForShare(w *Waiter, left float64, now time.Time) float64 {
	weights := 0.0
	for _, f := range w.lane().flows {
		weights += f.share.weight()
	}
	others := w.band.arrivals.Rate(arrivalTime, now) - w.share.arrivals.Rate(arrivalTime, now)
	return max(left-others, left*w.share.weight()/weights)
}

// ahead returns the number and the work of the requests that are served before a waiting one, and the part of these that its customer has in its
// lane. late says that it is served after all that can be in time or, if precedes is true, after those of its band and more urgent ones. q.mu must
// be held.
func (q *Queue) ahead(w *Waiter, late, precedes bool) (n int, work, own time.Duration) {
	for _, b := range q.bands {
		order := b.rank.compare(w.band.rank)
		if order < 0 || late && (order == 0 || !precedes) {
			n, work = n+b.inTime.count, work+b.inTime.work
		}
		if order < 0 && late {
			n, work = n+b.late.count, work+b.late.work
		}
	}
	if late != w.isLate { // it is one of those that are counted
		return n - 1, work - w.request.Work, 0
	}
	inLane, workInLane, own := w.lane().ahead(w)
	return n + inLane, work + workInLane, own
}

// RetryAfter records the refusal of a request and returns the delay that its caller is told. The delays of the callers of one rank follow each other at the
// rate at which requests that can be in time leave capacity over, after those of more urgent ranks. If none is left over at present, the delay is random,
// and as long as callers honour. random returns a number in [0, 1).
func (q *Queue) RetryAfter(r *Request, now time.Time, random func() float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	longest := time.Duration(retryFraction * float64(r.callerDue().Sub(now)))
	capacity := q.capacity(now)
	spare := capacity - q.arrivals(now, func(*band) bool { return true })
	own := q.band(r.rank())
	own.refused.Add(1, shareTime, now)
	if capacity > 0 && spare >= minSpareShare*capacity {
		at := now.Add(waitFor(q.backlog(), spare))
		for _, b := range q.bands {
			if b.rank.compare(own.rank) <= 0 && b.promised.After(at) {
				at = b.promised
			}
		}
		if delay := at.Sub(now); delay <= longest {
			own.promised = at.Add(waitFor(r.Work, spare))
			return max(delay, minRetryAfter)
		}
	}
	return max(minRetryAfter, time.Duration((unknownDelay+(1-unknownDelay)*random())*float64(longest)))
}

// backlog returns the work of all waiting requests. q.mu must be held.
func (q *Queue) backlog() (work time.Duration) {
	for _, b := range q.bands {
		work += b.inTime.work + b.late.work
	}
	return work
}

// Bounds of NextDecision.
const (
	minDecisionInterval  = 10 * time.Millisecond
	maxDecisionInterval  = 200 * time.Millisecond
	decisionTimeFraction = 0.25
)

// NextDecision returns after which time Decide is due for a waiting request without a wake-up: after a quarter of the time in which it can still be
// in time or be answered at all, within bounds. It costs no load probes.
func (q *Queue) NextDecision(w *Waiter, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	left := w.request.lateFrom().Sub(now)
	if left <= 0 {
		left = w.request.Due.Sub(now)
	}
	return min(max(time.Duration(decisionTimeFraction*float64(left)), minDecisionInterval), maxDecisionInterval)
}
