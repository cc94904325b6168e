// Package placement chooses the endpoint of a service that gets a request, and decides by the endpoints' load whether a request is sent,
// waits or is refused. Other workloads on a shared machine can slow an endpoint several times over for a fraction of a second, so only the
// load at the moment of sending counts: a host probes the load of a few endpoints right before it sends a request, and chooses the one
// that is expected to answer first. The package does no network I/O itself.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// Load is the load that an endpoint reported at one moment.
type Load struct {
	Running  int     // requests that it is executing
	Waiting  int     // requests in its queue
	Slots    int     // requests that it can execute concurrently; 0 if it reports no load
	Slowness float64 // current duration of a request on its machine, as a multiple of the usual one
}

// Config holds the settings of a Board and of the choice between endpoints.
type Config struct {
	Zone string // availability zone of this host
	// FirstAsked is the number of endpoints in this host's availability zone that the first round probes. More probes find faster
	// endpoints, but each of them costs an endpoint an answer.
	FirstAsked int
	// NextAsked is the number of endpoints, in any zone, that each further round probes. Rounds go on until an endpoint is good enough.
	NextAsked int
	// MaxRounds bounds the rounds of one choice.
	MaxRounds int
	// ReuseAge is the greatest age of a load report that is used without a new probe. Other workloads on the machine change an
	// endpoint's speed every 100 to 200 ms, so a report says little after a third of that time.
	ReuseAge time.Duration
	// GoodEnough is the expected duration, as a multiple of the request's usual one, up to which an endpoint is chosen without
	// probing further ones.
	GoodEnough float64
	// RemotePenalty is added to the expected duration at endpoints in other availability zones, for the longer network path.
	RemotePenalty time.Duration
}

// DefaultConfig returns the settings used in production, without the zone.
func DefaultConfig() Config {
	return Config{FirstAsked: 3, NextAsked: 4, MaxRounds: 3, ReuseAge: 25 * time.Millisecond, GoodEnough: 1.5, RemotePenalty: 10 * time.Millisecond}
}

const (
	// nearlyFull is the share of busy slots above which endpoints tend to slow down by nearlyFullFactor.
	nearlyFull       = 0.8
	nearlyFullFactor = 1.2
	// warmUpFactor is the slowdown of an endpoint in the first seconds after its start.
	warmUpFactor = 2.0
	// usualSlowness is assumed for an endpoint that has not reported its load for reportLife.
	usualSlowness = 2.0
	reportLife    = 150 * time.Millisecond
	// failureMemory is the weight of one outcome in an endpoint's failure rate, a moving average. While the endpoint gets no requests,
	// the rate decays exponentially with the time constant failureFades.
	failureMemory = 0.2
	failureFades  = 3 * time.Second
	// repeatCost is the cost of a failure to a request that can be sent again, as a multiple of its expected duration. lossCost is the
	// cost to a request that cannot be sent again: its caller gets no answer.
	repeatCost = 4
	lossCost   = 12
	// suspectFirst is how long an endpoint is avoided after it could not be reached. Each further time doubles it, up to suspectLongest.
	suspectFirst   = 250 * time.Millisecond
	suspectLongest = 2 * time.Second
	// silentServiceLife is how long the endpoints of a service that report no load are not probed again.
	silentServiceLife = 10 * time.Second
)

// View is what this host knows of one endpoint at the moment of a decision.
type View struct {
	registry.Endpoint
	Local    bool // in the availability zone of this host
	Load     Load
	LoadAge  time.Duration // age of Load; negative if no load is known
	Own      int           // requests in flight that this host sent
	Since    int           // requests that this host sent since Load was reported, less those that ended
	Failing  float64       // share of recent requests that failed, from 0 to 1
	Suspect  bool          // could not be reached recently
	Asked    bool          // a probe is in flight
	WarmLeft time.Duration // how much longer the endpoint is slow after its start
}

// busy returns the number of requests that the endpoint is executing or has queued, and the number of its slots. If there is no load
// report, or the report is older than reportLife, only the requests of this host count, and the slots are the registered ones.
func (v *View) busy() (requests, slots int) {
	requests, slots = v.Own, max(1, v.Slots)
	if v.LoadAge >= 0 && v.LoadAge <= reportLife {
		requests = max(requests, v.Load.Running+v.Load.Waiting+v.Since)
		if v.Load.Slots > 0 {
			slots = v.Load.Slots
		}
	}
	return requests, slots
}

// Expected returns how long a request of the given usual duration is expected to take at the endpoint.
func (c *Config) Expected(v *View, work time.Duration) time.Duration {
	busy, slots := v.busy()
	slow := usualSlowness
	if v.LoadAge >= 0 && v.LoadAge <= reportLife {
		slow = v.Load.Slowness
	}
	if v.WarmLeft > 0 {
		slow *= warmUpFactor
	}
	if nearlyFullWith(min(busy, slots)+1, slots) {
		slow *= nearlyFullFactor
	}
	turn := float64(work) * slow
	expected := turn
	if ahead := busy - slots + 1; ahead > 0 {
		expected += turn * float64(ahead) / float64(slots)
	}
	if !v.Local {
		expected += float64(c.RemotePenalty)
	}
	return time.Duration(expected)
}

func nearlyFullWith(requests, slots int) bool { return float64(requests) > nearlyFull*float64(slots) }

// Fresh reports whether the load is known, is at most as old as age, and the endpoint is not suspect.
func (v *View) Fresh(age time.Duration) bool { return v.LoadAge >= 0 && v.LoadAge <= age && !v.Suspect }

// Rounds returns the indices of the endpoints to probe, in rounds and in random order. The endpoints of a round are probed at the same
// time, and the next round only if no endpoint was good enough. The first round takes endpoints of this host's zone, further ones take
// endpoints of this and of other zones in turn. Endpoints are left out if avoid returns true for them, if a probe of them is in flight
// or if their load is fresh. Suspect endpoints are probed only if there is no other round.
func (c *Config) Rounds(views []View, avoid func(endpoints.ID) bool, rng func(int) int) [][]int {
	var local, remote, suspect []int
	for i := range views {
		v := &views[i]
		switch {
		case avoid(v.ID) || v.Asked || v.Fresh(c.ReuseAge):
		case v.Suspect:
			suspect = append(suspect, i)
		case v.Local:
			local = append(local, i)
		default:
			remote = append(remote, i)
		}
	}
	for _, list := range [][]int{local, remote, suspect} {
		shuffle(list, rng)
	}
	first := min(c.FirstAsked, len(local))
	rounds := [][]int{local[:first:first]}
	rest := interleave(local[first:], remote)
	if first == 0 {
		rounds = nil
	}
	for len(rest) > 0 && len(rounds) < c.MaxRounds {
		n := min(c.NextAsked, len(rest))
		rounds = append(rounds, rest[:n:n])
		rest = rest[n:]
	}
	if len(rounds) == 0 && len(suspect) > 0 {
		n := min(c.FirstAsked, len(suspect))
		rounds = append(rounds, suspect[:n])
	}
	return rounds
}

func shuffle(list []int, rng func(int) int) {
	for i := len(list) - 1; i > 0; i-- {
		j := rng(i + 1)
		list[i], list[j] = list[j], list[i]
	}
}

// interleave merges both lists by taking from them in turn.
func interleave(a, b []int) []int {
	out := make([]int, 0, len(a)+len(b))
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			out = append(out, a[i])
		}
		if i < len(b) {
			out = append(out, b[i])
		}
	}
	return out
}

// Best returns the index of the best candidate, or -1 if there is none, and its expected duration. The best candidate has the lowest
// cost: its expected duration, plus the cost of a failure multiplied by its failure rate.
func (c *Config) Best(views []View, candidates []int, work time.Duration, idempotent bool) (int, time.Duration) {
	failure := float64(lossCost)
	if idempotent {
		failure = repeatCost
	}
	best, least, bestExpected := -1, 0.0, time.Duration(0)
	for _, i := range candidates {
		expected := c.Expected(&views[i], work)
		cost := float64(expected) * (1 + failure*views[i].Failing)
		if best < 0 || cost < least {
			best, least, bestExpected = i, cost, expected
		}
	}
	return best, bestExpected
}

// goodFailing is the highest failure rate of an endpoint that is good enough.
const goodFailing = 0.05

// Good reports whether an endpoint with the expected duration is good enough to be chosen without probing further ones.
func (c *Config) Good(v *View, expected, work time.Duration) bool {
	return float64(expected) <= float64(work)*c.GoodEnough && v.Failing <= goodFailing
}

// Random returns a random number in [0, n). It is the source of randomness in production.
func Random(n int) int { return rand.IntN(n) }
