package dispatch

import (
	"math/bits"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Ejection and cold start of endpoints; docs/design.md, section 5.3.
const (
	ejectAfterFailures = 3
	outcomeWindow      = 20
	// ejectMin and ejectMax bound the time until the next trial of an ejected endpoint. A trial is one idempotent request, so two
	// per second are a low cost for a failing endpoint and its callers. With a delay from 500 ms, doubled up to 8 s, recovered
	// endpoints remained ejected and the others were overloaded; docs/design.md, section 5.5, has the measurements.
	ejectMin = 125 * time.Millisecond
	ejectMax = 500 * time.Millisecond

	trialsToReadmit = 3
	coldResponses   = 20
)

const (
	// endpointGain and serviceGain are the weights of a new service time in the exponential moving averages. The average of an
	// endpoint follows a slowdown within a few responses. The average of the service changes more slowly, because requests are
	// denied by it.
	endpointGain = 0.2
	serviceGain  = 0.05
	// abandonedFactor is the multiple of the average service time above which a cancelled request counts as a failure. All
	// requests at an endpoint that hangs end as cancelled, when their deadlines pass.
	abandonedFactor = 4
)

// endpoint is the owner's state of one incarnation of an endpoint.
type endpoint struct {
	endpoints.Endpoint
	listed      bool // in the argument of the last SetEndpoints
	leaving     bool // reported in an outcome; never reset
	slots       int  // of this queue's part
	open        []*entry
	service     float64 // moving average of the service time in seconds; 0 before the first response
	answers     int     // responses since the incarnation was first seen
	failures    uint32  // latest outcomes, one bit each, 1 is a failure
	outcomes    int     // valid bits in failures
	consecutive int
	ejected     bool
	retryAt     time.Time // when an ejected endpoint may be tried
	ejections   int       // ejections and failed trials since the last full window without a failure; sets the next delay
	trialOpen   bool      // a trial request or probe is in progress
	trialsOK    int
	triedAt     time.Time // end of the last trial request
}

func (e *endpoint) usable() bool { return e.listed && !e.leaving }

// capacity reports which kinds of grants the endpoints accept now.
type capacity struct {
	slot     bool // within the slots of an endpoint
	prefetch bool // beyond the slots
	trial    bool // at an ejected endpoint that is due for a trial
}

func (c capacity) any() bool { return c.slot || c.prefetch || c.trial }

func (q *Queue) capacity(now time.Time) (free capacity) {
	for _, e := range q.usableEndpoints {
		switch {
		case e.ejected:
			free.trial = free.trial || e.mayTry(now)
		case len(e.open) < e.slots:
			free.slot = true
		case len(e.open) < q.room(e):
			free.prefetch = true
		}
	}
	return free
}

// room returns the number of grants that an endpoint may have open. There are no grants beyond the slots at a cold endpoint, or if
// this queue serves only a part of the service.
func (q *Queue) room(e *endpoint) int {
	if e.slots == 0 || q.part.count() > 1 || e.answers < coldResponses {
		return e.slots
	}
	return e.slots + q.prefetch
}

func (e *endpoint) mayTry(now time.Time) bool {
	return e.slots > 0 && !e.trialOpen && !now.Before(e.retryAt) && len(e.open) < e.slots
}

// choose returns the endpoint with the lowest expected completion time for a request. First attempts of idempotent requests that are
// not urgent are preferred as trials; urgent idempotent requests and retries become trials only if no other endpoint accepts them.
func (q *Queue) choose(now time.Time, r *entry, free capacity) (best *endpoint, trial bool) {
	mayBeTrial := free.trial && r.request.Idempotent
	if mayBeTrial && r.request.Class > 0 && r.request.Attempt == 0 {
		if e := q.chooseTrial(now, r); e != nil {
			return e, true
		}
	}
	for _, beyond := range []bool{false, true} {
		if best = q.soonest(now, r.request.Avoid, beyond); best != nil {
			return best, false
		}
	}
	if mayBeTrial {
		best = q.chooseTrial(now, r)
	}
	return best, best != nil
}

// soonest returns the endpoint outside avoid with the lowest expected completion time, or nil if there is none. It considers endpoints
// with a free slot or, if beyond is set, those that accept a grant beyond their slots.
func (q *Queue) soonest(now time.Time, avoid []endpoints.ID, beyond bool) (best *endpoint) {
	var bestTime float64
	for _, e := range q.usableEndpoints {
		if e.ejected || len(e.open) >= q.room(e) || (len(e.open) >= e.slots) != beyond || slices.Contains(avoid, e.ID) {
			continue
		}
		t := q.completion(now, e)
		if best == nil || t < bestTime || t == bestTime && len(e.open)*best.slots < len(best.open)*e.slots {
			best, bestTime = e, t
		}
	}
	return best
}

func (q *Queue) chooseTrial(now time.Time, r *entry) *endpoint {
	for _, e := range q.usableEndpoints {
		if e.ejected && e.mayTry(now) && !slices.Contains(r.request.Avoid, e.ID) {
			return e
		}
	}
	return nil
}

// completion returns the expected time in seconds until the response to a request that is granted now. If the oldest request in flight
// has taken longer than the average, its age is used, because it shows a slowdown before any response does.
func (q *Queue) completion(now time.Time, e *endpoint) float64 {
	service := e.service
	if service == 0 {
		service = q.meanServiceTime
	}
	if len(e.open) == 0 {
		return service
	}
	age := now.Sub(e.open[0].started).Seconds()
	if len(e.open) < e.slots {
		return max(service, age)
	}
	wait := service - age
	if wait < 0 {
		wait = age
	}
	return wait + max(service, age)
}

func (e *endpoint) add(now time.Time, g *entry) {
	e.open = append(e.open, g)
	e.start(now)
}

// start sets the start time of grants that have received a slot. The time that a grant waits for a slot is not service time.
func (e *endpoint) start(now time.Time) {
	for i, g := range e.open {
		if g.started.IsZero() && i < max(1, e.slots) {
			g.started = now
		}
	}
}

// close removes a grant from the endpoint.
func (e *endpoint) close(now time.Time, g *entry) {
	if i := slices.Index(e.open, g); i >= 0 {
		e.open = slices.Delete(e.open, i, i+1)
	}
	e.start(now)
	if g.trial {
		e.trialOpen, e.triedAt = false, now
	}
}

func (q *Queue) endpoint(id endpoints.ID) *endpoint {
	e := q.endpoints[id]
	if e == nil {
		e = &endpoint{Endpoint: endpoints.Endpoint{ID: id, Service: q.service}}
		q.endpoints[id] = e
	}
	return e
}

// forgetEndpoint removes the state of an endpoint that is neither listed nor in use.
func (q *Queue) forgetEndpoint(e *endpoint) {
	if !e.listed && len(e.open) == 0 {
		delete(q.endpoints, e.ID)
	}
}

// record updates the state of an endpoint by the outcome of a grant.
func (q *Queue) record(now time.Time, e *endpoint, trial bool, o Outcome) {
	if o.Leaving && !e.leaving {
		e.leaving = true
		q.rebuildUsable(nil)
	}
	if !e.usable() {
		return
	}
	failed := false
	switch o.Result {
	case Answered:
		q.learnServiceTime(e, o.ServiceTime.Seconds())
	case Cancelled:
		// The service time would have been longer than the time until the cancellation.
		if took := o.ServiceTime.Seconds(); took <= abandonedFactor*q.meanServiceTime || q.meanServiceTime == 0 {
			return
		} else if took > e.service {
			e.service += endpointGain * (took - e.service)
		}
		failed = true
	default:
		failed = true
	}
	switch {
	case trial:
		q.recordTrial(now, e, failed)
	case e.ejected:
	default:
		q.recordOutcome(now, e, failed)
	}
}

func (q *Queue) learnServiceTime(e *endpoint, s float64) {
	e.answers++
	learn := func(mean *float64, gain float64) {
		if *mean == 0 {
			*mean = s
		} else {
			*mean += gain * (s - *mean)
		}
	}
	learn(&e.service, endpointGain)
	learn(&q.meanServiceTime, serviceGain)
}

func (q *Queue) recordOutcome(now time.Time, e *endpoint, failed bool) {
	e.failures <<= 1
	e.outcomes = min(outcomeWindow, e.outcomes+1)
	if !failed {
		e.consecutive = 0
		if e.outcomes == outcomeWindow && e.failures&(1<<outcomeWindow-1) == 0 {
			e.ejections = 0
		}
	} else {
		e.failures |= 1
		e.consecutive++
	}
	inWindow := bits.OnesCount32(e.failures & (1<<outcomeWindow - 1))
	if e.consecutive >= ejectAfterFailures || e.outcomes == outcomeWindow && inWindow > outcomeWindow/2 {
		q.eject(now, e)
	}
}

func (q *Queue) recordTrial(now time.Time, e *endpoint, failed bool) {
	if !e.ejected {
		return
	}
	if failed {
		q.postpone(now, e)
		return
	}
	if e.trialsOK++; e.trialsOK >= trialsToReadmit {
		q.readmit(e)
	}
}

// eject ejects an endpoint, unless more than half of the usable endpoints would be ejected then.
func (q *Queue) eject(now time.Time, e *endpoint) {
	if q.ejectedCount+1 > len(q.usableEndpoints)/2 {
		return
	}
	e.ejected = true
	q.ejectedCount++
	q.postpone(now, e)
}

// postpone sets the time of the next trial of an ejected endpoint.
func (q *Queue) postpone(now time.Time, e *endpoint) {
	e.trialsOK = 0
	e.retryAt = now.Add(min(ejectMax, ejectMin<<min(e.ejections, 8)))
	e.ejections++
}

func (q *Queue) readmit(e *endpoint) {
	e.ejected, e.trialsOK, e.consecutive, e.failures, e.outcomes = false, 0, 0, 0, 0
	q.ejectedCount--
}

// limitEjections counts the ejected endpoints again and readmits some, in the order of their next trials, until at most half of the
// usable endpoints are ejected.
func (q *Queue) limitEjections() {
	var out []*endpoint
	for _, e := range q.usableEndpoints {
		if e.ejected {
			out = append(out, e)
		}
	}
	q.ejectedCount = len(out)
	slices.SortStableFunc(out, func(a, b *endpoint) int { return a.retryAt.Compare(b.retryAt) })
	for i := 0; q.ejectedCount > len(q.usableEndpoints)/2; i++ {
		q.readmit(out[i])
	}
}
