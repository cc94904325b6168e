package placement

import (
	"sync"
	"time"
)

// AskBudget limits the load probes of this host with a token bucket. It is safe for concurrent use.
type AskBudget struct {
	rate func() float64 // probes per second that this host may send now

	mu     sync.Mutex
	tokens float64
	at     time.Time
}

// askBurst is the size of the bucket, in seconds of the rate. Unused probes are saved up to it for a burst of requests.
const askBurst = 3

// NewAskBudget returns a budget whose bucket is full. rate returns the probes per second that this host may send now.
func NewAskBudget(rate func() float64) *AskBudget { return &AskBudget{rate: rate} }

// Take returns how many of n probes may be sent, and spends them.
func (a *AskBudget) Take(n int, now time.Time) int {
	rate := a.rate()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.at.IsZero():
		a.tokens, a.at = rate*askBurst, now
	case now.After(a.at): // now can be earlier than a.at: callers read the clock before they take the lock
		a.tokens, a.at = min(rate*askBurst, a.tokens+rate*now.Sub(a.at).Seconds()), now
	}
	n = min(n, int(a.tokens))
	a.tokens -= float64(n)
	return n
}
