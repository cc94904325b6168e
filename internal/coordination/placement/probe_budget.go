package placement

import (
	"sync"
	"time"
)

// ProbeBudget limits the load probes of this host with a token bucket. It is safe for concurrent use.
type ProbeBudget struct {
	rate func() float64 // probes per second that this host may send now

	mu      sync.Mutex
	tokens  float64
	updated time.Time // of the last refill; zero before the first Take
}

// probeBurstSeconds is the size of the bucket, in seconds of the rate. Unused probes are saved up to it for a burst of requests.
const probeBurstSeconds = 3

// NewProbeBudget returns a budget whose bucket is full. rate returns the probes per second that this host may send now.
func NewProbeBudget(rate func() float64) *ProbeBudget { return &ProbeBudget{rate: rate} }

// spareShare is the share of the bucket that TakeSpare leaves. Those probes are for bursts.
const spareShare = 0.8

// Take returns how many of n probes may be sent, and spends them.
func (b *ProbeBudget) Take(n int, now time.Time) int { return b.take(n, 0, now) }

// TakeSpare is Take for probes of a request that knows an endpoint which is fast enough. It leaves spareShare of the bucket to requests that know
// none.
func (b *ProbeBudget) TakeSpare(n int, now time.Time) int { return b.take(n, spareShare, now) }

// take spends at most n probes, and leaves the given share of the bucket.
func (b *ProbeBudget) take(n int, leave float64, now time.Time) int {
	rate := b.rate()
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.updated.IsZero():
		b.tokens, b.updated = rate*probeBurstSeconds, now
	case now.After(b.updated): // now can be earlier than b.updated: callers read the clock before they take the lock
		b.tokens, b.updated = min(rate*probeBurstSeconds, b.tokens+rate*now.Sub(b.updated).Seconds()), now
	}
	n = max(0, min(n, int(b.tokens-leave*rate*probeBurstSeconds)))
	b.tokens -= float64(n)
	return n
}
