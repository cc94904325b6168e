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

// Repeats limits the repeats of this host to its part of the budget, with a token bucket per service. Each request adds its ratio to the
// bucket; the burst is divided by the number of hosts. It is safe for concurrent use.
type Repeats struct {
	budget RepeatBudget
	hosts  func() int

	mu      sync.Mutex
	buckets map[string]*repeatBucket
}

type repeatBucket struct {
	tokens float64
	at     time.Time
}

// Parts of the budget that the hosts use. The rest is a reserve for two cases: hosts divide the burst by different numbers of hosts
// while hosts come and go, and a restarted process begins with a part of its burst again.
const (
	ratioUsed = 0.8
	burstUsed = 0.4
	// startShare is the part of the used burst that is available when a process starts.
	startShare = 0.5
)

// NewRepeats returns the limits of one host. hosts returns the number of hosts that share the budget.
func NewRepeats(b RepeatBudget, hosts func() int) *Repeats {
	return &Repeats{budget: b, hosts: hosts, buckets: map[string]*repeatBucket{}}
}

// depth returns the size of a bucket in tokens. A repeat costs one token.
func (r *Repeats) depth() float64 {
	// A bucket smaller than one token could never allow a repeat.
	return max(1, r.budget.Burst*burstUsed/float64(max(1, r.hosts())))
}

// bucket returns the bucket of a service, refilled up to now. r.mu must be held.
func (r *Repeats) bucket(service string, now time.Time) *repeatBucket {
	b := r.buckets[service]
	depth := r.depth()
	if b == nil {
		b = &repeatBucket{tokens: depth * startShare, at: now}
		r.buckets[service] = b
	}
	// An empty bucket refills over one window.
	if now.After(b.at) {
		b.tokens = min(depth, b.tokens+depth*now.Sub(b.at).Seconds()/r.budget.Window.Seconds())
		b.at = now
	}
	return b
}

// Earn adds the ratio of one request to the bucket of its service.
func (r *Repeats) Earn(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(service, now)
	b.tokens = min(r.depth(), b.tokens+r.budget.Ratio*ratioUsed)
}

// Take spends one repeat. It returns false if the budget of the service is used up.
func (r *Repeats) Take(service string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(service, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// GiveBack refunds a repeat that was taken and not sent.
func (r *Repeats) GiveBack(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(service, now)
	b.tokens = min(r.depth(), b.tokens+1)
}
