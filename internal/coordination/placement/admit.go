package placement

import "time"

// Demand holds the durations of a request on which its admission depends.
type Demand struct {
	Work   time.Duration // usual duration of such a request
	Target time.Duration // left until the target latency is exceeded
	Left   time.Duration // left until the deadline
	Waited time.Duration // since the request was read
}

// Verdict is the result of an admission check.
type Verdict uint8

// Verdicts.
const (
	Send   Verdict = iota // send the request to the best endpoint
	Wait                  // wait for a free slot or a faster endpoint
	Refuse                // refuse the request: no endpoint is expected to answer in time
)

func (v Verdict) String() string { return [...]string{"send", "wait", "refuse"}[v] }

// searchShare is the part of the target latency during which a request looks for an endpoint that would answer within the target. After
// it, the request takes a slower endpoint with a free slot.
const searchShare = 1.0 / 8

// Admit decides whether a request is sent, waits or is refused. v is the best endpoint for it, with its expected duration; v is nil if
// none was found.
func (c *Config) Admit(v *View, expected time.Duration, d Demand) Verdict {
	room := false
	if v != nil {
		busy, slots := v.busy()
		room = busy < slots
	}
	switch {
	case room && expected <= d.Target:
		return Send
	case d.Target > d.Work && float64(d.Waited) < searchShare*float64(d.Target+d.Waited):
		return Wait
	case room && expected <= d.Left:
		return Send
	case d.Target > d.Work:
		return Wait
	}
	return Refuse
}

// RetryAfter returns the delay after which a caller should send a refused request again: the time until the endpoint that was best is
// expected to have a free slot. expected is the request's duration there, and work its usual one.
func RetryAfter(expected, work time.Duration) time.Duration {
	return min(max(expected-work, minRetryAfter), maxRetryAfter)
}

// Bounds of the delay that RetryAfter returns.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
)
