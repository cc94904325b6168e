package placement

import (
	"sync"
	"time"
)

// RepeatBudget bounds what the hosts together send to a service beyond the first arrival of each request: in any window at most
// ratio times the requests plus a burst.
type RepeatBudget struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// Repeats holds this host's part of the budget, by service. A host earns its ratio with each request; the burst is divided by the
// number of hosts. It is safe for concurrent use.
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

// Parts of the budget that are used. What is left covers a burst that hosts count differently while their number changes, and a
// process that starts anew with a part of its burst.
const (
	ratioUsed = 0.8
	burstUsed = 0.4
	// startShare of the burst is there at the start of a process.
	startShare = 0.5
)

// NewRepeats returns the budget of one host. hosts returns the number of hosts that share it.
func NewRepeats(b RepeatBudget, hosts func() int) *Repeats {
	return &Repeats{budget: b, hosts: hosts, buckets: map[string]*repeatBucket{}}
}

func (r *Repeats) depth() float64 {
	// Below one token no repeat could ever be paid.
	return max(1, r.budget.Burst*burstUsed/float64(max(1, r.hosts())))
}

func (r *Repeats) bucket(service string, now time.Time) *repeatBucket {
	b := r.buckets[service]
	depth := r.depth()
	if b == nil {
		b = &repeatBucket{tokens: depth * startShare, at: now}
		r.buckets[service] = b
	}
	// The burst comes back over one window.
	if now.After(b.at) {
		b.tokens = min(depth, b.tokens+depth*now.Sub(b.at).Seconds()/r.budget.Window.Seconds())
		b.at = now
	}
	return b
}

// Earn counts a request for a service.
func (r *Repeats) Earn(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(service, now)
	b.tokens = min(r.depth(), b.tokens+r.budget.Ratio*ratioUsed)
}

// Take spends the budget of one repeat, or reports that there is none.
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

// GiveBack returns the budget of a repeat that was not sent.
func (r *Repeats) GiveBack(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(service, now)
	b.tokens = min(r.depth(), b.tokens+1)
}
