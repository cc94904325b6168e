package dispatch

import (
	"math/bits"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Ejection and cold start of endpoints; docs/design.md, section 5.3.
const (
	// An endpoint is ejected after ejectAfterFailures consecutive failures, or if more than half of its latest outcomeWindow outcomes
	// are failures.
	ejectAfterFailures = 3
	outcomeWindow      = 20
	// minTrialDelay and maxTrialDelay bound the time until the next trial of an ejected endpoint. A trial is one idempotent request,
	// so two per second are a low cost for a failing endpoint and its callers. With a delay from 500 ms, doubled up to 8 s,
	// recovered endpoints remained ejected and the others were overloaded; docs/design.md, section 5.5, has the measurements.
	minTrialDelay = 125 * time.Millisecond
	maxTrialDelay = 500 * time.Millisecond

	trialsToReadmit = 3  // successful trials without a failed one in between
	coldResponses   = 20 // an endpoint with fewer completed responses is cold
)

const (
	// endpointTimeWeight and serviceTimeWeight are the weights of a new service time in the exponential moving averages. The average of an
	// endpoint follows a slowdown within a few responses. The average of the service changes more slowly, because requests are
	// denied by it.
	endpointTimeWeight = 0.2
	serviceTimeWeight  = 0.05
	// cancelledFailureFactor is the multiple of the average service time above which a cancelled request counts as a failure. All
	// requests at an endpoint that hangs end as cancelled, when their deadlines pass.
	cancelledFailureFactor = 4
)

// endpoint is the owner's state of one incarnation of an endpoint.
type endpoint struct {
	endpoints.Endpoint
	listed              bool     // in the argument of the last SetEndpoints
	leaving             bool     // reported in an outcome; never reset
	slots               int      // of this queue's part
	open                []*entry // open grants, oldest first
	serviceTime         float64  // moving average of the service time in seconds; 0 before the first response
	responses           int      // completed responses since the incarnation was first seen
	outcomeBits         uint32   // latest outcomes, one bit each, 1 is a failure
	outcomeCount        int      // valid bits in outcomeBits
	consecutiveFailures int
	ejected             bool
	nextTrialAt         time.Time // when an ejected endpoint may be tried
	ejectionStreak      int       // ejections and failed trials since the last full window without a failure; sets the next delay
	trialInProgress     bool      // a trial request or probe is in progress
	successfulTrials    int
	lastTrialEnd        time.Time // end of the last trial request
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
			free.trial = free.trial || e.mayStartTrial(now)
		case len(e.open) < e.slots:
			free.slot = true
		case len(e.open) < q.grantLimit(e):
			free.prefetch = true
		}
	}
	return free
}

// grantLimit returns the number of grants that an endpoint may have open. There are no grants beyond the slots at a cold endpoint, or
// if this queue serves only a part of the service.
func (q *Queue) grantLimit(e *endpoint) int {
	if e.slots == 0 || q.part.count() > 1 || e.responses < coldResponses {
		return e.slots
	}
	return e.slots + q.prefetch
}

func (e *endpoint) mayStartTrial(now time.Time) bool {
	return e.slots > 0 && !e.trialInProgress && !now.Before(e.nextTrialAt) && len(e.open) < e.slots
}

// chooseEndpoint returns the endpoint with the lowest expected completion time for a request. First attempts of idempotent requests
// that are not urgent are preferred as trials; urgent idempotent requests and idempotent retries become trials only if no other
// endpoint accepts them.
func (q *Queue) chooseEndpoint(now time.Time, r *entry, free capacity) (best *endpoint, trial bool) {
	mayBeTrial := free.trial && r.request.Idempotent
	if mayBeTrial && r.request.Class > 0 && r.request.Attempt == 0 {
		if e := q.chooseTrial(now, r); e != nil {
			return e, true
		}
	}
	for _, beyondSlots := range []bool{false, true} {
		if best = q.fastestEndpoint(now, r.request.ExcludedEndpoints, beyondSlots); best != nil {
			return best, false
		}
	}
	if mayBeTrial {
		best = q.chooseTrial(now, r)
	}
	return best, best != nil
}

// fastestEndpoint returns the endpoint outside excluded with the lowest expected completion time, or nil if there is none. It considers
// endpoints with a free slot or, if beyondSlots is set, those that accept a grant beyond their slots.
func (q *Queue) fastestEndpoint(now time.Time, excluded []endpoints.ID, beyondSlots bool) (best *endpoint) {
	var bestTime float64
	for _, e := range q.usableEndpoints {
		if e.ejected || len(e.open) >= q.grantLimit(e) || (len(e.open) >= e.slots) != beyondSlots || slices.Contains(excluded, e.ID) {
			continue
		}
		t := q.expectedCompletion(now, e)
		if best == nil || t < bestTime || t == bestTime && len(e.open)*best.slots < len(best.open)*e.slots {
			best, bestTime = e, t
		}
	}
	return best
}

func (q *Queue) chooseTrial(now time.Time, r *entry) *endpoint {
	for _, e := range q.usableEndpoints {
		if e.ejected && e.mayStartTrial(now) && !slices.Contains(r.request.ExcludedEndpoints, e.ID) {
			return e
		}
	}
	return nil
}

// expectedCompletion returns the expected time in seconds until the response to a request that is granted now. If the oldest request
// in flight has taken longer than the average, its age is used, because it shows a slowdown before any response does.
func (q *Queue) expectedCompletion(now time.Time, e *endpoint) float64 {
	serviceTime := e.serviceTime
	if serviceTime == 0 {
		serviceTime = q.meanServiceTime
	}
	if len(e.open) == 0 {
		return serviceTime
	}
	age := now.Sub(e.open[0].started).Seconds()
	if len(e.open) < e.slots {
		return max(serviceTime, age)
	}
	wait := serviceTime - age
	if wait < 0 {
		wait = age
	}
	return wait + max(serviceTime, age)
}

func (e *endpoint) addGrant(now time.Time, g *entry) {
	e.open = append(e.open, g)
	e.startGrants(now)
}

// startGrants sets the start time of grants that have received a slot. The time that a grant waits for a slot is not service time.
func (e *endpoint) startGrants(now time.Time) {
	for i, g := range e.open {
		if g.started.IsZero() && i < max(1, e.slots) {
			g.started = now
		}
	}
}

// removeGrant removes a grant from the endpoint.
func (e *endpoint) removeGrant(now time.Time, g *entry) {
	if i := slices.Index(e.open, g); i >= 0 {
		e.open = slices.Delete(e.open, i, i+1)
	}
	e.startGrants(now)
	if g.trial {
		e.trialInProgress, e.lastTrialEnd = false, now
	}
}

// ensureEndpoint returns the state of an endpoint and creates it if needed.
func (q *Queue) ensureEndpoint(id endpoints.ID) *endpoint {
	e := q.endpoints[id]
	if e == nil {
		e = &endpoint{Endpoint: endpoints.Endpoint{ID: id, Service: q.service}}
		q.endpoints[id] = e
	}
	return e
}

// removeUnusedEndpoint removes the state of an endpoint that is neither listed nor in use.
func (q *Queue) removeUnusedEndpoint(e *endpoint) {
	if !e.listed && len(e.open) == 0 {
		delete(q.endpoints, e.ID)
	}
}

// applyOutcome updates the state of an endpoint by the outcome of a grant.
func (q *Queue) applyOutcome(now time.Time, e *endpoint, trial bool, o Outcome) {
	if o.Leaving && !e.leaving {
		e.leaving = true
		q.rebuildUsable(nil)
	}
	if !e.usable() {
		return
	}
	failed := false
	switch o.Result {
	case ResultCompleted:
		q.updateServiceTime(e, o.ServiceTime.Seconds())
	case ResultCancelled:
		// The service time would have been longer than the time until the cancellation.
		if took := o.ServiceTime.Seconds(); took <= cancelledFailureFactor*q.meanServiceTime || q.meanServiceTime == 0 {
			return
		} else if took > e.serviceTime {
			e.serviceTime += endpointTimeWeight * (took - e.serviceTime)
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

func (q *Queue) updateServiceTime(e *endpoint, s float64) {
	e.responses++
	update := func(mean *float64, weight float64) {
		if *mean == 0 {
			*mean = s
		} else {
			*mean += weight * (s - *mean)
		}
	}
	update(&e.serviceTime, endpointTimeWeight)
	update(&q.meanServiceTime, serviceTimeWeight)
}

func (q *Queue) recordOutcome(now time.Time, e *endpoint, failed bool) {
	e.outcomeBits <<= 1
	e.outcomeCount = min(outcomeWindow, e.outcomeCount+1)
	if !failed {
		e.consecutiveFailures = 0
		if e.outcomeCount == outcomeWindow && e.outcomeBits&(1<<outcomeWindow-1) == 0 {
			e.ejectionStreak = 0
		}
	} else {
		e.outcomeBits |= 1
		e.consecutiveFailures++
	}
	inWindow := bits.OnesCount32(e.outcomeBits & (1<<outcomeWindow - 1))
	if e.consecutiveFailures >= ejectAfterFailures || e.outcomeCount == outcomeWindow && inWindow > outcomeWindow/2 {
		q.eject(now, e)
	}
}

func (q *Queue) recordTrial(now time.Time, e *endpoint, failed bool) {
	if !e.ejected {
		return
	}
	if failed {
		q.scheduleTrial(now, e)
		return
	}
	if e.successfulTrials++; e.successfulTrials >= trialsToReadmit {
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
	q.scheduleTrial(now, e)
}

// scheduleTrial sets the time of the next trial of an ejected endpoint.
func (q *Queue) scheduleTrial(now time.Time, e *endpoint) {
	e.successfulTrials = 0
	e.nextTrialAt = now.Add(min(maxTrialDelay, minTrialDelay<<min(e.ejectionStreak, 8)))
	e.ejectionStreak++
}

func (q *Queue) readmit(e *endpoint) {
	e.ejected, e.successfulTrials, e.consecutiveFailures, e.outcomeBits, e.outcomeCount = false, 0, 0, 0, 0
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
	slices.SortStableFunc(out, func(a, b *endpoint) int { return a.nextTrialAt.Compare(b.nextTrialAt) })
	for i := 0; q.ejectedCount > len(q.usableEndpoints)/2; i++ {
		q.readmit(out[i])
	}
}
