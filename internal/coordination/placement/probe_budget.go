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

// Take returns how many of n probes may be sent, and spends them.
func (b *ProbeBudget) Take(n int, now time.Time) int {
	rate := b.rate()
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.updated.IsZero():
		b.tokens, b.updated = rate*probeBurstSeconds, now
	case now.After(b.updated): // now can be earlier than b.updated: callers read the clock before they take the lock
		b.tokens, b.updated = min(rate*probeBurstSeconds, b.tokens+rate*now.Sub(b.updated).Seconds()), now
	}
	n = min(n, int(b.tokens))
	b.tokens -= float64(n)
	return n
}
