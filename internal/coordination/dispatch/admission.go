package dispatch

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

const (
	// noUpstreamRetryAfter equals the poll interval of the host list, from which new endpoints are learned.
	noUpstreamRetryAfter = time.Second
	// minRetryAfter is the shortest delay that a refusal states, so that the delay is not rounded to zero.
	minRetryAfter = time.Millisecond
	// maxDeadlinesCompared is the length of the longest queue in which deadlines are compared to find the position of a new
	// request. In a longer queue the last position is assumed.
	maxDeadlinesCompared = 128
)

// admit decides whether a request may enter the queue. awaitsToken reports that it may, but has to wait for a rate token. A first
// attempt that is admitted without such a wait takes its token here.
func (q *Queue) admit(now time.Time, r *Request) (awaitsToken bool, d *DeniedError) {
	c, d := q.check(now, r)
	if d != nil {
		return false, d
	}
	remaining := r.Deadline.Sub(now)
	if r.Attempt == 0 {
		c.arrivals.advance(now)
		c.arrivals.current++
		if awaitsToken, d = q.checkRate(now, c, r.Class, remaining); d != nil {
			return false, d
		}
	}
	if d := q.checkWait(now, c, r, remaining); d != nil {
		return false, d
	}
	if c.waiting >= c.limits.QueueLength {
		displaced := c.leastUrgent(r.Class + 1)
		if displaced == nil {
			return false, q.queueFullDenial(c)
		}
		q.deny(displaced, q.displacedDenial(c, r.Class))
	}
	if r.Attempt == 0 && !awaitsToken {
		c.bucket.Take(now, 1)
	}
	return awaitsToken, nil
}

// check denies requests that cannot be served regardless of the load. It returns the customer of all others.
func (q *Queue) check(now time.Time, r *Request) (*customer, *DeniedError) {
	c := q.customers[r.Customer]
	switch {
	case c == nil || c.limits == nil:
		return nil, notInContractDenial(q.service)
	case int(r.Class) >= contract.Classes:
		return nil, &DeniedError{Reason: refusals.RequestMalformed, Detail: "the class is not known"}
	case !r.Deadline.After(now):
		return nil, &DeniedError{Reason: refusals.DeadlineExpired, Detail: "the deadline passed before the request was queued",
			RetryAfter: minRetryAfter}
	case !q.reachable(r.ExcludedEndpoints):
		return nil, q.noUpstreamDenial()
	}
	return c, nil
}

// admitNoWait returns the endpoint for a request that must not wait. Such a request never overtakes another one: it is denied
// while any request waits, even if that request could not use the free slot.
func (q *Queue) admitNoWait(now time.Time, r *Request) (*endpoint, *DeniedError) {
	c, d := q.check(now, r)
	if d != nil {
		return nil, d
	}
	if q.waiting == 0 && c.open < c.concurrent {
		if ep := q.fastestEndpoint(now, r.ExcludedEndpoints, false); ep != nil {
			return ep, nil
		}
	}
	return nil, &DeniedError{Reason: refusals.NoUpstream, RetryAfter: minRetryAfter,
		Detail: fmt.Sprintf("no slot of %s%s is free for a request that must not wait", q.service, q.partText())}
}

// checkRate checks whether a rate token is available. If none is, the request is denied, except in two cases in which it waits for a
// token; awaitsToken reports these. Urgent requests wait, so that less urgent requests above the rate cannot use the tokens that urgent
// ones need. Requests of any class wait while the bucket of a new owner fills, so that a change of the owner refuses no request that
// is within the contract. In both cases a token must be expected before the deadline. Requests that already wait receive new tokens
// first.
func (q *Queue) checkRate(now time.Time, c *customer, class contract.Class, remaining time.Duration) (awaitsToken bool, d *DeniedError) {
	need := float64(1 + c.awaitingTokenUpTo(class))
	if c.bucket.Tokens(now) >= need {
		return false, nil
	}
	wait := c.bucket.TimeUntil(now, need)
	filling := now.Sub(q.bucketsEmptiedAt) < c.fillTime
	if (class == contract.Urgent || filling) && wait < remaining {
		return true, nil
	}
	rate := c.limits.Rate / float64(q.part.count())
	return false, &DeniedError{Reason: refusals.RateExceeded, LimitName: "rate", Limit: rate, Unit: "requests/s",
		Observed: c.arrivals.perSecond(now), RetryAfter: max(minRetryAfter, wait),
		Detail: fmt.Sprintf("customer %s used up its rate of %.4g requests/s with bursts of %.4g on %s%s", c.name, rate, c.limits.Burst, q.service, q.partText())}
}

// checkWait denies requests that are not expected to complete before their deadline. It denies none before the first service time is
// known. A request that can be sent now is never denied, so the averages behind the estimate stay current and recover once a slowdown
// is over.
func (q *Queue) checkWait(now time.Time, c *customer, r *Request, remaining time.Duration) *DeniedError {
	mean := q.meanServiceTime
	free := q.capacity(now)
	if mean == 0 || (free.slot || free.prefetch) && q.waiting == 0 && c.open < c.concurrent {
		return nil
	}
	remainingSeconds := remaining.Seconds()
	own, ahead := q.grantsAhead(c, r, remainingSeconds)
	if c.open >= c.concurrent {
		if wait := float64(own+1) * mean / float64(c.concurrent); wait > remainingSeconds {
			return &DeniedError{Reason: refusals.ConcurrencyExceeded, LimitName: "concurrent", Limit: float64(c.concurrent),
				Observed: float64(c.open + own + 1), Unit: "requests", RetryAfter: retryAfterSeconds(wait - remainingSeconds),
				Detail: fmt.Sprintf("customer %s has %d requests at upstreams of %s%s and %d waiting before this one", c.name, c.open, q.service, q.partText(), own)}
		}
	}
	if free.slot || free.prefetch {
		ahead--
	}
	ahead += float64(q.grantsBeyondSlots())
	wait := (ahead + 1) * mean / float64(max(1, q.totalSlots()))
	if limit := remainingSeconds - q.lowestServiceTime(); wait > max(0, limit) {
		return &DeniedError{Reason: refusals.DeadlineUnreachable, Limit: remainingSeconds * 1000,
			Observed: (wait + q.lowestServiceTime()) * 1000, Unit: "ms", RetryAfter: retryAfterSeconds(wait - limit),
			Detail: fmt.Sprintf("%.0f requests go first on %s; the expected answer in %.0f ms comes after the deadline in %.0f ms", ahead, q.service,
				(wait+q.lowestServiceTime())*1000, remainingSeconds*1000)}
	}
	return nil
}

// grantsAhead estimates how many requests are granted before a new one: own counts those of the same customer, all counts those of
// all customers. Requests of other customers count only as far as their concurrency limits and, in the same class, their shares allow
// grants within remainingSeconds, the time until the deadline. A customer with a long queue thus causes no denials for others.
func (q *Queue) grantsAhead(c *customer, r *Request, remainingSeconds float64) (own int, all float64) {
	for i := contract.Urgent; i < r.Class; i++ {
		own += len(c.classes[i].heap)
		for _, o := range q.classes[i].activeCustomers {
			all += min(float64(len(o.classes[i].heap)), q.maxGrants(o, remainingSeconds))
		}
	}
	same := 0
	if heap := c.classes[r.Class].heap; len(heap) > maxDeadlinesCompared {
		same = len(heap)
	} else {
		for _, e := range heap {
			if !r.Deadline.Before(e.request.Deadline) {
				same++
			}
		}
	}
	own += same
	all += float64(same)
	for _, o := range q.classes[r.Class].activeCustomers {
		if o != c {
			fair := float64(same+1) * o.share() / c.share()
			all += min(float64(len(o.classes[r.Class].heap)), fair, q.maxGrants(o, remainingSeconds))
		}
	}
	return own, all
}

// maxGrants returns an upper bound of the grants that a customer's concurrency limit allows within remainingSeconds.
func (q *Queue) maxGrants(c *customer, remainingSeconds float64) float64 {
	return float64(max(0, c.concurrent-c.open)) + float64(c.concurrent)*remainingSeconds/q.meanServiceTime
}

// totalSlots returns the number of this queue's slots at endpoints that are not ejected.
func (q *Queue) totalSlots() (n int) {
	for _, e := range q.usableEndpoints {
		if !e.ejected {
			n += e.slots
		}
	}
	return n
}

// grantsBeyondSlots returns the number of open grants beyond the slots of their endpoints.
func (q *Queue) grantsBeyondSlots() (n int) {
	for _, e := range q.usableEndpoints {
		n += max(0, len(e.open)-e.slots)
	}
	return n
}

// lowestServiceTime returns the lowest average service time of an endpoint that is not ejected, in seconds, but at most the average of
// the service.
func (q *Queue) lowestServiceTime() float64 {
	best := q.meanServiceTime
	for _, e := range q.usableEndpoints {
		if !e.ejected && e.serviceTime > 0 {
			best = min(best, e.serviceTime)
		}
	}
	return best
}

// tooLate returns a denial for a request at the head of its queue that can no longer complete before its deadline, else nil. If
// no other request waits and the deadline has not passed, the request is sent nevertheless, to measure whether the service became faster.
func (q *Queue) tooLate(now time.Time, e *entry, free capacity) *DeniedError {
	remaining := e.request.Deadline.Sub(now)
	if remaining <= 0 {
		return expiredInQueueDenial(e, now)
	}
	serviceTime := q.lowestServiceTime()
	if !free.slot { // the grant would be a prefetch, which waits until the endpoint has a free slot
		// At most one further service time is added, so that a slow endpoint does not cause the denial of all waiting requests.
		serviceTime = min(2*serviceTime, q.lowestCompletionTime(now))
	}
	if q.waiting > 1 && remaining.Seconds() < serviceTime {
		return &DeniedError{Reason: refusals.DeadlineUnreachable, Limit: remaining.Seconds() * 1000, Observed: serviceTime * 1000, Unit: "ms",
			RetryAfter: retryAfterSeconds(serviceTime),
			Detail: fmt.Sprintf("the request waited %s; %s are left and the service takes %.0f ms", round(now.Sub(e.since)), round(remaining),
				serviceTime*1000)}
	}
	return nil
}

// lowestCompletionTime returns the lowest expected completion time, in seconds, among endpoints that accept another grant.
func (q *Queue) lowestCompletionTime(now time.Time) float64 {
	best := math.Inf(1)
	for _, e := range q.usableEndpoints {
		if !e.ejected && len(e.open) < q.grantLimit(e) {
			best = min(best, q.expectedCompletion(now, e))
		}
	}
	return best
}

// reachable reports whether a usable endpoint outside excluded has slots of this queue.
func (q *Queue) reachable(excluded []endpoints.ID) bool {
	for _, e := range q.usableEndpoints {
		if e.slots > 0 && (len(excluded) == 0 || !slices.Contains(excluded, e.ID)) {
			return true
		}
	}
	return false
}

func (q *Queue) noUpstreamDenial() *DeniedError {
	return &DeniedError{Reason: refusals.NoUpstream, RetryAfter: noUpstreamRetryAfter,
		Detail: fmt.Sprintf("no usable endpoint of %s is left among %d%s", q.service, len(q.usableEndpoints), q.partText())}
}

func (q *Queue) queueFullDenial(c *customer) *DeniedError {
	return &DeniedError{Reason: refusals.QueueFull, LimitName: "queue_length", Limit: float64(c.limits.QueueLength),
		Observed: float64(c.waiting + 1), Unit: "requests", RetryAfter: q.expectedGrantInterval(),
		Detail: fmt.Sprintf("%d requests of customer %s wait for %s", c.waiting, c.name, q.service)}
}

func (q *Queue) displacedDenial(c *customer, by contract.Class) *DeniedError {
	d := q.queueFullDenial(c)
	d.Reason = refusals.Displaced
	d.Detail = fmt.Sprintf("%s; this one gave way to an %s request", d.Detail, by)
	return d
}

// expectedGrantInterval returns the expected time until the next request is granted.
func (q *Queue) expectedGrantInterval() time.Duration {
	return retryAfterSeconds(q.meanServiceTime / float64(max(1, q.totalSlots())))
}

// partText returns the end of a denial's detail if this queue serves only a part of the service, else nothing.
func (q *Queue) partText() string {
	if q.part.count() == 1 {
		return ""
	}
	return fmt.Sprintf(" (this host serves one of %d parts while the host in charge of the queue does not answer)", q.part.count())
}

func notInContractDenial(service string) *DeniedError {
	return &DeniedError{Reason: refusals.ServiceNotInContract, Detail: "the contract in force does not contain " + service}
}

// expiredInQueueDenial returns the denial of a request whose deadline passed in the queue. The reason is the concurrency limit if the
// customer has reached it.
func expiredInQueueDenial(e *entry, now time.Time) *DeniedError {
	c := e.customer
	d := &DeniedError{Reason: refusals.DeadlineExpired, RetryAfter: minRetryAfter,
		Detail: fmt.Sprintf("the deadline passed after %s in the queue, with %d requests of the customer waiting", round(now.Sub(e.since)), c.waiting)}
	if c.open >= c.concurrent {
		d.Reason, d.LimitName, d.Limit, d.Observed, d.Unit = refusals.ConcurrencyExceeded, "concurrent", float64(c.concurrent), float64(c.open+c.waiting), "requests"
	}
	return d
}

// retryAfterSeconds converts seconds to the delay that a refusal states, which is between minRetryAfter and an hour.
func retryAfterSeconds(s float64) time.Duration {
	return max(minRetryAfter, time.Duration(min(s, time.Hour.Seconds())*float64(time.Second)))
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
