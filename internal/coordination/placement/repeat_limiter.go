package placement

import (
	"sync"
	"time"
)

// RepeatBudget limits the repeats, which are retries and hedges, that all hosts together send to a service. In any Window these are at
// most Ratio times the number of requests, plus Burst.
type RepeatBudget struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// RepeatLimiter limits the repeats of this host to its part of the budget, with a token bucket per service. The size of a bucket is the
// burst divided by a number of parts. Each request adds a part of a token to the bucket, and an empty bucket also refills within one
// window. RepeatLimiter is safe for concurrent use.
type RepeatLimiter struct {
	budget RepeatBudget
	parts  func() int

	mu      sync.Mutex
	buckets map[string]*repeatBucket
}

type repeatBucket struct {
	tokens   float64
	refilled time.Time // of the last refill
}

// Parts of the budget that the hosts use. The rest is a reserve for two cases: hosts divide the burst by different numbers of hosts
// while hosts come and go, and a restarted process begins with a part of its burst again.
const (
	usedRatioShare = 0.8
	usedBurstShare = 0.4
	// initialBurstShare is the part of the used burst that is available when a process starts.
	initialBurstShare = 0.5
)

// NewRepeatLimiter returns the limiter of one host. parts returns into how many parts like this host's the burst is
// divided.
func NewRepeatLimiter(b RepeatBudget, parts func() int) *RepeatLimiter {
	return &RepeatLimiter{budget: b, parts: parts, buckets: map[string]*repeatBucket{}}
}

// bucketSize returns the size of a bucket in tokens. A repeat costs one token.
func (r *RepeatLimiter) bucketSize() float64 {
	// A bucket smaller than one token could never allow a repeat.
	return max(1, r.budget.Burst*usedBurstShare/float64(max(1, r.parts())))
}

// bucket returns the bucket of a service, refilled up to now. r.mu must be held.
func (r *RepeatLimiter) bucket(service string, now time.Time) *repeatBucket {
	b := r.buckets[service]
	size := r.bucketSize()
	if b == nil {
		b = &repeatBucket{tokens: size * initialBurstShare, refilled: now}
		r.buckets[service] = b
	}
	// An empty bucket refills over one window.
	if now.After(b.refilled) {
		b.tokens = min(size, b.tokens+size*now.Sub(b.refilled).Seconds()/r.budget.Window.Seconds())
		b.refilled = now
	}
	return b
}

// AddRequest adds the part of a token that one request earns to the bucket of its service.
func (r *RepeatLimiter) AddRequest(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(service, now)
	b.tokens = min(r.bucketSize(), b.tokens+r.budget.Ratio*usedRatioShare)
}

// Take spends one repeat. It returns false if the budget of the service is used up.
func (r *RepeatLimiter) Take(service string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(service, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund refunds a repeat that was taken and not sent.
func (r *RepeatLimiter) Refund(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(service, now)
	b.tokens = min(r.bucketSize(), b.tokens+1)
}
