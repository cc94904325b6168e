package executor

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// Hedging sends a second request for an idempotent call if the first one has had no response for unusually long (Dean and
// Barroso, The Tail at Scale, 2013). Each hedge takes a token from the retry allowance, and it is sent only to an endpoint
// with a free slot for which no other request waits.

const (
	// hedgePercentile is the fraction of first requests that get a response before a hedge is due. The paper reports that this
	// value limits the additional requests to about 5%.
	hedgePercentile = 0.95
	// hedgeEstimateGain is the weight of one observation in the logarithm of the estimate. A time above the estimate raises it
	// by 10%, one below it lowers it by 0.5%. If a service becomes four times slower, the delay adapts within 15 late
	// responses, so hedges do not add to the slowdown.
	hedgeEstimateGain = 0.1
	// hedgeMinObservations is the number of observed first requests from which the estimate is used.
	hedgeMinObservations = 100
)

// Names of the hedge counters.
const (
	hedgesSent          = "hedges_sent_total"
	hedgesWon           = "hedges_won_total"          // the hedge got its response before the first request
	hedgesOverAllowance = "hedges_unpaid_total"       // due, but not covered by the retry allowance
	hedgesWithoutSlot   = "hedges_without_slot_total" // due, but no other endpoint had a free slot
)

// responseTimeEstimators holds for each service the estimator of the time until a first request gets its response header.
type responseTimeEstimators struct{ services sync.Map } // by name

// forService returns the estimator for a service and creates it if needed.
func (t *responseTimeEstimators) forService(service string) *responseTimeEstimator {
	e, ok := t.services.Load(service)
	if !ok {
		e, _ = t.services.LoadOrStore(service, &responseTimeEstimator{})
	}
	return e.(*responseTimeEstimator)
}

// responseTimeEstimator estimates the hedgePercentile of a stream of times in constant memory, by stochastic approximation of
// the percentile's logarithm (Robbins and Monro 1951).
type responseTimeEstimator struct {
	mu       sync.Mutex
	estimate time.Duration
	observed int
}

// The factors by which an observation above or below the estimate changes it.
var (
	raiseFactor = math.Exp(hedgeEstimateGain * hedgePercentile)
	lowerFactor = math.Exp(-hedgeEstimateGain * (1 - hedgePercentile))
)

// observe updates the estimate with one time. If responded is false, took is only a lower bound of the time until the response,
// and it is used only if it exceeds the estimate. These bounds are needed: if the first requests that are cancelled in favour
// of their hedge were left out, the estimate and so the delay would keep falling.
func (e *responseTimeEstimator) observe(took time.Duration, responded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.observed == 0 && responded:
		e.estimate = max(took, time.Microsecond)
	case e.observed > 0 && took > e.estimate:
		e.estimate = time.Duration(float64(e.estimate) * raiseFactor)
	case e.observed > 0 && responded:
		e.estimate = max(time.Microsecond, time.Duration(float64(e.estimate)*lowerFactor))
	default:
		return
	}
	e.observed++
}

// hedgeDelay returns the time after the start of a first request at which a hedge is due. known is false until
// hedgeMinObservations times were observed.
func (e *responseTimeEstimator) hedgeDelay() (d time.Duration, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimate, e.observed >= hedgeMinObservations
}

// sendPair is the first request of a call and its hedge. Each send delivers to results, which has room for both. The send that
// receives a response header first sets responded; a send that receives one later finishes its own response unread and delivers
// nothing.
type sendPair struct {
	executor  *Executor
	call      *Call
	results   chan sendResult
	responded atomic.Bool
}

type sendResult struct {
	hedge    bool
	response *GrantedResponse
	refusal  *refusals.Refusal
}

// start sends the call to the granted endpoint in the background. cancel aborts the send or the reading of its response body.
func (s *sendPair) start(ctx context.Context, grant dispatch.Grant, hedge bool) (cancel context.CancelFunc) {
	ctx, cancel = context.WithCancel(ctx)
	release := func() {}
	if s.call.RetainBody != nil {
		release = s.call.RetainBody() // a cancelled send may read the body after the call has ended
	}
	go func() {
		defer release()
		response, refusal := s.executor.attempt(ctx, s.call, grant)
		if response != nil && !s.responded.CompareAndSwap(false, true) {
			response.Finish(BodyAbandoned)
			return
		}
		s.results <- sendResult{hedge, response, refusal}
	}()
	return cancel
}

// attemptHedged makes the first attempt of an idempotent call and hedges it if it is slow. It makes all decisions in the
// goroutine of the call, so that a hedge is sent only while the first request has neither got a response nor failed.
func (x *Executor) attemptHedged(ctx context.Context, c *Call, grant dispatch.Grant, state *callState) (*GrantedResponse, *refusals.Refusal) {
	estimator := x.responseTimes.forService(c.Limits.Name)
	began := x.cfg.Now()
	delay, known := estimator.hedgeDelay()
	if !known || !began.Add(delay).Before(c.Deadline) || c.Limits.RetryPercent <= 0 {
		response, refusal := x.attempt(ctx, c, grant)
		x.observeFirst(estimator, began, refusal)
		return response, refusal
	}
	sends := &sendPair{executor: x, call: c, results: make(chan sendResult, 2)}
	cancelFirst, cancelHedge := sends.start(ctx, grant, false), func() {}
	hedgeTimer := time.NewTimer(delay)
	defer hedgeTimer.Stop()
	var hedgeGrant <-chan dispatch.Grant
	for running := 1; ; {
		select {
		case <-hedgeTimer.C:
			if !x.allowance.takeToken(x.cfg.Now(), c.Limits, c.Operation.Class) {
				x.countHedge(hedgesOverAllowance)
				continue
			}
			acquireCtx, stopAcquiring := context.WithCancel(ctx)
			defer stopAcquiring()
			hedgeGrant = x.acquireHedge(acquireCtx, c, state.request)
		case g := <-hedgeGrant:
			if len(sends.results) > 0 || ctx.Err() != nil || !x.cfg.Now().Before(c.Deadline) {
				x.releaseUnsentHedge(c, g, dispatch.Outcome{Result: dispatch.ResultCancelled})
				continue
			}
			state.request.ExcludedEndpoints = append(state.request.ExcludedEndpoints, g.Endpoint.ID)
			state.request.Attempt++
			x.countHedge(hedgesSent)
			cancelHedge = sends.start(ctx, g, true)
			running++
		case result := <-sends.results:
			running--
			cancel, cancelOther := cancelFirst, cancelHedge
			if result.hedge {
				cancel, cancelOther = cancelHedge, cancelFirst
			} else {
				x.observeFirst(estimator, began, result.refusal)
			}
			if result.refusal == nil {
				cancelOther()
				if result.hedge {
					x.countHedge(hedgesWon)
					estimator.observe(x.cfg.Now().Sub(began), false)
				}
				finish := result.response.finish
				result.response.finish = func(end BodyEnd) {
					finish(end)
					cancel()
				}
				return result.response, nil
			}
			cancel()
			if running == 0 {
				return nil, result.refusal
			}
			state.recordFailure(result.refusal)
		}
	}
}

// observeFirst updates the estimate with the time of a first request that got a response, or that was aborted by its deadline
// or its caller. The times of other failures are left out because they do not show how long a response takes.
func (x *Executor) observeFirst(estimator *responseTimeEstimator, began time.Time, r *refusals.Refusal) {
	if r == nil || r.Reason == refusals.DeadlinePassedRunning {
		estimator.observe(x.cfg.Now().Sub(began), r == nil)
	}
}

// acquireHedge acquires a grant for a free slot at an endpoint that the call has not used yet. It delivers the grant to the
// returned channel. If there is no such slot, or if ctx is done first, it delivers nothing and refunds the token of the hedge.
func (x *Executor) acquireHedge(ctx context.Context, c *Call, request dispatch.Request) <-chan dispatch.Grant {
	granted := make(chan dispatch.Grant)
	request.NoWait = true
	go func() {
		g, err := x.cfg.Granter.Acquire(ctx, request)
		switch {
		case err != nil:
			if denied := new(dispatch.DeniedError); errors.As(err, &denied) {
				x.countHedge(hedgesWithoutSlot)
			}
			x.allowance.refundToken(x.cfg.Now(), c.Limits)
			return
		case x.cfg.Leaving.IsLeaving(g.Endpoint.ID):
			x.releaseUnsentHedge(c, g, dispatch.Outcome{Result: dispatch.ResultNotSent, Leaving: true})
			return
		case slices.Contains(request.ExcludedEndpoints, g.Endpoint.ID):
			x.releaseUnsentHedge(c, g, dispatch.Outcome{Result: dispatch.ResultCancelled})
			return
		}
		select {
		case granted <- g:
		case <-ctx.Done():
			x.releaseUnsentHedge(c, g, dispatch.Outcome{Result: dispatch.ResultCancelled})
		}
	}()
	return granted
}

// releaseUnsentHedge releases the grant and refunds the token of a hedge that was not sent.
func (x *Executor) releaseUnsentHedge(c *Call, g dispatch.Grant, o dispatch.Outcome) {
	x.cfg.Granter.Release(g, o)
	x.allowance.refundToken(x.cfg.Now(), c.Limits)
}

func (x *Executor) countHedge(name string) {
	if x.cfg.Metrics != nil {
		x.cfg.Metrics.Add(name, 1)
	}
}
