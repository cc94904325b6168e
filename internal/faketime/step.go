package faketime

import (
	"time"
	"unsafe"
)

// StepClock returns the time that time.Now would have returned instead of now if the time of day had been set forward by a number of seconds before. Its
// monotonic reading, which now must have, stays the same.
func StepClock(now time.Time, seconds uint64) time.Time {
	// The first word of a time with a monotonic reading holds the seconds of the time of day above 30 bits of nanoseconds.
	*(*uint64)(unsafe.Pointer(&now)) += seconds << 30
	return now
}
