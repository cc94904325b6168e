package placement

import (
	"sync"
	"time"
)

// AskBudget bounds the questions of this host. rate returns the questions a second that it may send now. It is safe for concurrent use.
type AskBudget struct {
	rate func() float64

	mu     sync.Mutex
	tokens float64
	at     time.Time
}

// askBurst is how many seconds of questions can be saved up for a burst of requests.
const askBurst = 3

// NewAskBudget returns a full budget.
func NewAskBudget(rate func() float64) *AskBudget { return &AskBudget{rate: rate} }

// Take returns how many of n questions may be sent.
func (a *AskBudget) Take(n int, now time.Time) int {
	rate := a.rate()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.at.IsZero():
		a.tokens, a.at = rate*askBurst, now
	case now.After(a.at): // a caller may have read the clock before another one that came first
		a.tokens, a.at = min(rate*askBurst, a.tokens+rate*now.Sub(a.at).Seconds()), now
	}
	n = min(n, int(a.tokens))
	a.tokens -= float64(n)
	return n
}
