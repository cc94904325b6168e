package placement

import "time"

// RequestTiming holds the durations of a request on which its admission depends.
type RequestTiming struct {
	ServiceTime   time.Duration // usual duration of such a request
	UntilLate     time.Duration // left until the target latency is exceeded
	UntilDeadline time.Duration // left until the deadline
	Waited        time.Duration // since the request was read
}

// Decision is the result of an admission check.
type Decision uint8

// Decisions.
const (
	Send   Decision = iota // send the request to the best endpoint
	Wait                   // wait for a free slot or a faster endpoint
	Refuse                 // refuse the request: no endpoint is expected to answer in time
)

func (d Decision) String() string { return [...]string{"send", "wait", "refuse"}[d] }

// searchFraction is the part of the target latency during which a request only takes an endpoint that would answer within the target.
// After it, the request also takes a slower endpoint with a free slot.
const searchFraction = 1.0 / 8

// Admit decides whether a request is sent, waits or is refused. v is the best endpoint for it, or nil if none was found, and expected is
// the expected duration there. The request is sent if v has a free slot and is expected to answer within the target latency. Once
// searchFraction of the target latency has passed, or the target can no longer be met, it is also sent if v has a free slot and is expected
// to answer before the deadline. A request that is not sent waits while it can still meet its target latency, and is refused otherwise.
func (c *Config) Admit(v *EndpointView, expected time.Duration, timing RequestTiming) Decision {
	hasFreeSlot := v != nil && v.HasFreeSlot()
	switch {
	case hasFreeSlot && expected <= timing.UntilLate:
		return Send
	case timing.UntilLate > timing.ServiceTime && float64(timing.Waited) < searchFraction*float64(timing.UntilLate+timing.Waited):
		return Wait
	case hasFreeSlot && expected <= timing.UntilDeadline:
		return Send
	case timing.UntilLate > timing.ServiceTime:
		return Wait
	}
	return Refuse
}

// RetryAfter returns the delay after which a caller should send a refused request again: the time until the endpoint that was best is
// expected to have a free slot. expected is the request's expected duration there, and serviceTime its usual one.
func RetryAfter(expected, serviceTime time.Duration) time.Duration {
	return min(max(expected-serviceTime, minRetryAfter), maxRetryAfter)
}

// Bounds of the delay that RetryAfter returns.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
)
