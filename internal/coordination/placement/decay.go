package placement

import (
	"math"
	"time"
)

// decay returns the factor by which an amount has decayed since a time. Callers may have waited for a lock, so that now is before it.
func decay(since, now time.Time, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, now.Sub(since)).Seconds() / timeConstant.Seconds())
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
