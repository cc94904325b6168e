package quota

import "time"

// State is what a host knows of the quota of a customer, for operators.
type State struct {
	Coordinator string   `json:"coordinator"`      // host that this host takes for the coordinator; empty if it knows none
	Held        int      `json:"held"`             // permits that this host holds
	Tokens      *float64 `json:"tokens,omitempty"` // permits that may be granted now; absent if this host does not coordinate the customer
	Askers      int      `json:"askers,omitempty"` // hosts that have asked this coordinator in the last second
}

// State returns the state of a customer.
func (l *Limiter) State(customer string, now time.Time) (s State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if list := l.find(customer, now); len(list) > 0 {
		s.Coordinator = list[0].Name
	}
	if h := l.holdings[customer]; h != nil {
		s.Held = h.held(now)
	}
	if c := l.coordinated[customer]; c != nil && c.bucket != nil {
		tokens := c.bucket.tokens(now)
		s.Tokens, s.Askers = &tokens, c.askers(now)
	}
	return s
}

// Coordinated returns the number of customers that this host coordinates.
func (l *Limiter) Coordinated() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.coordinated)
}
