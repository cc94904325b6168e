package forward

import (
	"context"
	"time"
)

const (
	// hedgeDelayFactor is the time, as a multiple of the expected duration, after which a request is hedged. The endpoint is not probed
	// again before: it runs a request at the speed that it had when the request began, so its present load says nothing about this one.
	// Either the request takes unusually long, as 1 in 100 does in the deployments, or it began while the endpoint was slow.
	hedgeDelayFactor = 2
	// hedgeRetryFactor is the time, as a multiple of the usual duration, after which a hedge is tried again that the repeat budget did not
	// allow or that found no free slot.
	hedgeRetryFactor = 0.5
	// minHedgeDelay is the minimum time before the first try to hedge a request, and between tries.
	minHedgeDelay = 10 * time.Millisecond
)

// hedgeDelay returns the time after which the newest send counts as slow and the request is hedged.
func (r *activeRequest) hedgeDelay() time.Duration {
	expected := r.serviceTime
	if n := len(r.result.Attempts); n > 0 {
		expected = max(expected, r.result.Attempts[n-1].Expected)
	}
	return max(minHedgeDelay, time.Duration(float64(expected)*hedgeDelayFactor))
}

// hedge sends an idempotent request to a second endpoint while the first one is still running it (Dean and Barroso, The Tail at Scale,
// 2013). It returns the time after which hedge should be called again, or 0 if the newest send is not to be hedged any more.
func (r *activeRequest) hedge(ctx context.Context) time.Duration {
	if !r.call.Route.Idempotent || r.inFlight == 0 || r.inFlight-r.silent > 1 || !r.canRepeat() || !r.checkQuarantine() {
		return 0
	}
	retryDelay := max(minHedgeDelay, time.Duration(float64(r.serviceTime)*hedgeRetryFactor))
	if !r.forwarder.cfg.RepeatLimiter.Take(r.call.Service.Name, time.Now()) {
		return retryDelay
	}
	if !r.findAndSend(ctx, true) {
		r.forwarder.cfg.RepeatLimiter.Refund(r.call.Service.Name, time.Now())
		return retryDelay
	}
	return 0
}
