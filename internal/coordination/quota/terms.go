package quota

import (
	"math"
	"time"
)

// Tolerance says by how much the requests of a customer may exceed its limit: of those that were sent within any Window, at most
// (rate x Window + burst) x (1 + Over) + Slack may run, summed over all hosts.
type Tolerance struct {
	Window time.Duration
	Over   float64 // fraction of what the limit allows in a window
	Slack  float64 // requests
}

// Limit is a customer's limit in a configuration.
type Limit struct {
	PerSecond float64 // requests per second
	Burst     float64 // requests above the rate
	Version   uint64  // of the configuration
}

// Parts of the tolerance. Permits that hosts hold cost the requests of one lifetime, and the depth is raised by those that hosts hold in advance, so
// that permits which are not used yet take nothing of the burst. Together they use 0.3 of Over and 0.69 of Slack. The rest is for requests
// that wait for a grant, and for the time in which two hosts take themselves for the coordinator.
const (
	lifetimeOver  = 0.2
	lifetimeSlack = 0.125
	depthSlack    = 0.5
	// A new coordinator to which no bucket was handed over grants the requests of initialTime and initialSlack at once, so that few requests are refused while
	// its own bucket fills. The last one may have granted the rest until now, also to itself while it was cut off.
	initialTime  = 100 * time.Millisecond
	initialSlack = 0.1
	// minLifetime allows a grant to arrive before it expires.
	minLifetime = 20 * time.Millisecond
)

// terms is what follows from a limit.
type terms struct {
	Limit
	rate     float64       // permits per second
	depth    float64       // permits that may be granted at once
	lifetime time.Duration // for which a host may use a permit
	ahead    time.Duration // for which hosts hold permits in advance
	memory   time.Duration // for which what was granted matters
}

// terms returns the terms of a limit for a host that may grant a share of it.
func (t Tolerance) terms(l Limit, share float64) terms {
	seconds := lifetimeOver*t.Over*(t.Window.Seconds()+l.Burst/l.PerSecond) + lifetimeSlack*t.Slack/l.PerSecond
	lifetime := max(minLifetime, time.Duration(min(seconds, t.Window.Seconds())*float64(time.Second)))
	ahead := lifetime / 2
	return terms{Limit: l, rate: share * l.PerSecond, lifetime: lifetime, ahead: ahead, memory: t.memory(),
		depth: share * (l.Burst + depthSlack*t.Slack + l.PerSecond*ahead.Seconds())}
}

// memory returns for how long what a host has granted matters, as far as buckets remember it.
func (t Tolerance) memory() time.Duration { return min(t.Window, slotCount*slotTime) }

// initial returns the tokens of the bucket of a new coordinator that does not know those of the last one.
func (t Tolerance) initial(l Limit) float64 {
	return l.PerSecond*initialTime.Seconds() + initialSlack*t.Slack
}

// until returns the time until a number of permits are added at the rate.
func (t *terms) until(permits float64) time.Duration {
	return time.Duration(min(math.MaxInt64/2, max(0, permits)/t.rate*float64(time.Second)))
}
