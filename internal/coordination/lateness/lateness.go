// Package lateness tells when this host had no processor for its own timers. What the host has not seen in that time may have happened all the same: answers
// lie unread then, so that a timeout is no evidence against endpoints or other hosts.
package lateness

import (
	"slices"
	"sync"
	"time"
)

const (
	// Bound is how much later than due a timer may be seen until the host counts as late.
	Bound = 5 * time.Millisecond
	// maxIntervals bounds the intervals that a Meter keeps. Older ones are forgotten.
	maxIntervals = 64
)

// IsLate reports whether a timer that was due is seen so late that what the host waited for may have arrived without having been seen.
func IsLate(due, now time.Time) bool { return now.Sub(due) > Bound }

// interval is a time in which a timer was due and had not been seen.
type interval struct{ from, to time.Time }

// Meter records the times in which this host was late, as far as its timers show them. Intervals that overlap count once. It is safe for concurrent use, and
// a nil Meter records nothing.
type Meter struct {
	mu        sync.Mutex
	intervals []interval // disjoint, in order
	total     time.Duration
}

// Observe records that a timer that was due is seen now, and reports whether that is late; see IsLate.
func (m *Meter) Observe(due, now time.Time) bool {
	if !IsLate(due, now) {
		return false
	}
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	added := interval{due, now}
	first := len(m.intervals) // of those that added overlaps; a timer may be recorded after others that were seen later
	for first > 0 && !m.intervals[first-1].to.Before(due) {
		first--
	}
	end := first
	for ; end < len(m.intervals) && !m.intervals[end].from.After(now); end++ {
		old := m.intervals[end]
		m.total -= old.to.Sub(old.from)
		if old.from.Before(added.from) {
			added.from = old.from
		}
		if old.to.After(added.to) {
			added.to = old.to
		}
	}
	m.total += added.to.Sub(added.from)
	m.intervals = slices.Replace(m.intervals, first, end, added)
	if len(m.intervals) > maxIntervals {
		m.intervals = append(m.intervals[:0], m.intervals[1:]...)
	}
	return true
}

// Between returns for how long this host was late between two times.
func (m *Meter) Between(from, to time.Time) (late time.Duration) {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for n := len(m.intervals) - 1; n >= 0 && m.intervals[n].to.After(from); n-- {
		begin, end := m.intervals[n].from, m.intervals[n].to
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		late += max(0, end.Sub(begin))
	}
	return late
}

// Elapsed returns the time between two times in which this host was not late, so that it could see what arrived.
func (m *Meter) Elapsed(from, to time.Time) time.Duration { return to.Sub(from) - m.Between(from, to) }

// Total returns for how long this host was late since it started.
func (m *Meter) Total() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total
}
