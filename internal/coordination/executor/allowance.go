package executor

import (
	"fmt"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

const (
	// maxSavedRetries is the maximum number of unused retries that a customer accumulates, per service and host.
	maxSavedRetries = 10
	// urgentReservedRetries is the number of these retries that only urgent calls may use. In an overload, retries of other
	// calls use up the allowance as fast as it grows, so without a reserve repeats of urgent calls would be refused.
	urgentReservedRetries = 5
)

// retryAllowance limits retries to a percentage of the customer's first attempts, with a token bucket per customer and service.
// Repeats that callers send count as retries.
type retryAllowance struct {
	mu      sync.RWMutex
	buckets map[limits.Key]*retryBucket
}

type retryBucket struct {
	mu     sync.Mutex
	bucket limits.Bucket
}

// bucketFor returns the token bucket of a customer and service. A new bucket is full: an empty one would refuse the repeats of
// callers that fail over to a host that they have not used yet.
func (a *retryAllowance) bucketFor(now time.Time, l *limits.ServiceLimits) *retryBucket {
	key := limits.Key{Customer: l.Customer, Service: l.Name}
	a.mu.RLock()
	b := a.buckets[key]
	a.mu.RUnlock()
	if b != nil {
		return b
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if b = a.buckets[key]; b == nil {
		b = &retryBucket{}
		b.bucket.Set(now, 0, maxSavedRetries) // rate 0: first attempts add tokens, time does not
		b.bucket.Add(maxSavedRetries)
		a.buckets[key] = b
	}
	return b
}

// admit accounts for a call from a caller. A first attempt adds RetryPercent/100 of a token. A repeat takes one token and is
// refused if there is none.
func (a *retryAllowance) admit(now time.Time, c *Call) *refusals.Refusal {
	if c.Attempt.Number > 0 {
		if a.takeToken(now, c.Limits, c.Operation.Class) {
			return nil
		}
		l := c.Limits
		r := &refusals.Refusal{Reason: refusals.RetryAllowanceExceeded, Ran: refusals.RanNo, Clause: l.ClausePointer("retry_percent"),
			Limit: float64(l.RetryPercent), Observed: 100, Unit: "percent of the customer's requests on this host",
			Detail: fmt.Sprintf("repeat %d exceeds the retries that the customer's first attempts on this host have earned", c.Attempt.Number),
			Remedy: "send repeats more rarely; new requests earn further repeats"}
		if earnedPerSecond := l.Rate * float64(l.RetryPercent) / 100; earnedPerSecond > 0 {
			// The time in which first attempts at the contracted rate add one token.
			r.RetryAfter = max(minRetryAfter, time.Duration(float64(time.Second)/earnedPerSecond))
		}
		return r
	}
	if c.Limits.RetryPercent > 0 {
		b := a.bucketFor(now, c.Limits)
		b.mu.Lock()
		b.bucket.Add(float64(c.Limits.RetryPercent) / 100)
		b.mu.Unlock()
	}
	return nil
}

// refundToken returns the token of a retry that was not sent.
func (a *retryAllowance) refundToken(now time.Time, l *limits.ServiceLimits) {
	b := a.bucketFor(now, l)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket.Add(1)
}

// takeToken takes one token for a retry of a call of the given class. It reports false if the allowance does not cover the
// retry.
func (a *retryAllowance) takeToken(now time.Time, l *limits.ServiceLimits, class contract.Class) bool {
	if l.RetryPercent <= 0 {
		return false
	}
	b := a.bucketFor(now, l)
	b.mu.Lock()
	defer b.mu.Unlock()
	if class != contract.Urgent && b.bucket.Tokens(now) < 1+urgentReservedRetries {
		return false
	}
	return b.bucket.Take(now, 1)
}
