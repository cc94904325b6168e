// Package probing limits the rate of active health probes to ejected endpoints, so that the probes of all entry hosts together
// stay within the measuring budget of the upstream's contract.
package probing

import (
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/limits"
)

// bucketDepth is the depth of each token bucket: the number of unused probes that a host can accumulate for one upstream.
const bucketDepth = 1

// Budget holds a token bucket for each upstream address. The buckets are keyed by address alone, so a restart of the
// upstream does not renew its budget: the budget is per upstream and not per incarnation. Budget is safe for concurrent use.
//
// In any interval of t seconds the entry hosts together start at most
//
//	hosts * rate * t + starts
//
// probes to one upstream. While at most entry_hosts_max hosts run at a time, hosts*rate is at most the probes per second in
// the contract. starts is the number of host processes that were running at any time in the interval; each may have
// accumulated one probe before it. Buckets start empty, so a process that runs for less than 1/rate seconds sends no probe.
type Budget struct {
	mu      sync.Mutex
	buckets map[string]*upstreamBudget
}

type upstreamBudget struct {
	bucket           limits.Bucket
	probeOutstanding bool
	lastUsed         time.Time
}

// NewBudget returns a budget without accumulated probes.
func NewBudget() *Budget { return &Budget{buckets: map[string]*upstreamBudget{}} }

// TryStart reports whether one probe may be sent to the address now, and consumes one token if so. The caller must then call
// ProbeDone when the probe has ended. hostsSeen is the number of entry hosts in this host's membership view. The budget
// is divided by entry_hosts_max of the contract, or by hostsSeen if that is higher.
func (b *Budget) TryStart(now time.Time, address string, limit limits.ProbeBudget, hostsSeen int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.refreshBucket(now, address, limit, hostsSeen)
	if u.probeOutstanding || !u.bucket.Take(now, bucketDepth) {
		return false
	}
	u.probeOutstanding = true
	return true
}

// ProbeDone records that the outstanding probe to the address has ended.
func (b *Budget) ProbeDone(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.buckets[address]; u != nil {
		u.probeOutstanding = false
	}
}

// RemoveIdle removes the buckets that were last used earlier than before. A bucket that is created again starts empty.
func (b *Budget) RemoveIdle(before time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for address, u := range b.buckets {
		if !u.probeOutstanding && u.lastUsed.Before(before) {
			delete(b.buckets, address)
		}
	}
}

// refreshBucket returns the bucket of an address, with its rate updated. It creates the bucket if there is none.
func (b *Budget) refreshBucket(now time.Time, address string, limit limits.ProbeBudget, hostsSeen int) *upstreamBudget {
	u := b.buckets[address]
	if u == nil {
		u = &upstreamBudget{}
		b.buckets[address] = u
	}
	u.lastUsed = now
	u.bucket.Set(now, limit.Rate(hostsSeen), bucketDepth)
	return u
}
