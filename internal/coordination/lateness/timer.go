package lateness

import (
	"context"
	"time"
)

// Sleep sleeps for the given time or until the context ends, and records how late it wakes up.
func (m *Meter) Sleep(ctx context.Context, d time.Duration) {
	due := time.Now().Add(d)
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		m.Observe(due, time.Now())
	case <-ctx.Done():
	}
}

// Timer is a timer whose expiry counts only if it is seen in time. It is not safe for concurrent use.
type Timer struct {
	C     <-chan time.Time
	timer *time.Timer
	meter *Meter
	wait  time.Duration
	due   time.Time
	again bool // it was seen late, and has begun anew
}

// NewTimer returns a timer that expires after wait. Stop has to be called when it is no longer needed. The meter must be nil if its user may do something else
// than wait for C while the timer runs, since that is not lateness.
func NewTimer(meter *Meter, wait time.Duration) *Timer {
	t := &Timer{timer: time.NewTimer(wait), meter: meter, wait: wait, due: time.Now().Add(wait)}
	t.C = t.timer.C
	return t
}

// Expired is to be called after each value from C. It reports whether the time has passed. If the host has seen that late, what it waits for may have arrived:
// the timer then begins anew, with the time by which it was late or, if that is less, its own. It does so once, so that a host that is always late waits for
// twice the time at most.
func (t *Timer) Expired() bool {
	now := time.Now()
	if !t.Observe(now) || t.again {
		return true
	}
	t.Reset(min(t.wait, now.Sub(t.due)))
	t.again = true
	return false
}

// Observe records that the timer is seen now, and reports whether that is late.
func (t *Timer) Observe(now time.Time) bool { return t.meter.Observe(t.due, now) }

// Reset begins the timer anew with another time.
func (t *Timer) Reset(wait time.Duration) {
	t.wait, t.due, t.again = wait, time.Now().Add(wait), false
	t.timer.Reset(wait)
}

// Stop stops the timer.
func (t *Timer) Stop() { t.timer.Stop() }
