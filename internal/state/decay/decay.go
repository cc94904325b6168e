// Package decay measures amounts per second with weights that decay exponentially.
package decay

import (
	"math"
	"time"
)

// Meter sums amounts, of which older ones count less. All calls for one meter must state the same time constant. Its zero value is empty.
type Meter struct {
	Sum float64 // decayed to At
	At  time.Time
}

// Add adds an amount. Calls may come out of order, as after a wait for a lock: an amount counts by its own time.
func (m *Meter) Add(amount float64, tau time.Duration, now time.Time) {
	if late := m.At.Sub(now); late > 0 {
		m.Sum += amount * math.Exp(-late.Seconds()/tau.Seconds())
		return
	}
	m.Sum, m.At = m.Value(tau, now)+amount, now
}

// Value returns the decayed sum.
func (m *Meter) Value(tau time.Duration, now time.Time) float64 {
	return m.Sum * math.Exp(-max(0, now.Sub(m.At).Seconds())/tau.Seconds())
}

// Rate returns the amount per second.
func (m *Meter) Rate(tau time.Duration, now time.Time) float64 {
	return m.Value(tau, now) / tau.Seconds()
}
