package placement

import "time"

// Demand is what a request needs.
type Demand struct {
	Work   time.Duration // usual duration
	Target time.Duration // left until the answer is late
	Left   time.Duration // left until nobody waits for it
	Waited time.Duration // since the request was read
}

// Verdict says what happens to a request now.
type Verdict uint8

// Verdicts.
const (
	Send   Verdict = iota // to the endpoint that was found
	Wait                  // for an endpoint with room
	Refuse                // nothing is expected to answer in time
)

func (v Verdict) String() string { return [...]string{"send", "wait", "refuse"}[v] }

// searchShare is the part of the target latency for which a request looks for an endpoint that would answer in time, before it takes a
// slower one that has room.
const searchShare = 1.0 / 8

// Admit decides about a request whose best endpoint is v, or nil if none answered.
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

// RetryAfter returns when a refused request should come back: when the endpoint that was best is expected to have room.
func RetryAfter(expected, work time.Duration) time.Duration {
	return min(max(expected-work, minRetryAfter), maxRetryAfter)
}

// Bounds of the delay that refused callers are told.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
)
