// Package placement decides to which endpoint of a service a request goes. Neighbours on shared machines slow an endpoint several
// times over for a fraction of a second, so what counts is an endpoint's load at the moment of sending: a host asks a few endpoints
// right before it sends, and takes the one that is expected to answer first. The package needs no network.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// Load is what an endpoint says of itself at one moment.
type Load struct {
	Running  int     // requests that it works on
	Waiting  int     // requests in its queue
	Slots    int     // requests that it works on at one time; 0 if the endpoint tells no load
	Slowness float64 // how many times as long as usual work takes on its machine now; 1 is usual
}

// Config of a Board.
type Config struct {
	Zone string // of this host
	// FirstAsked is the number of endpoints of the own availability zone that are asked first. More finds better ones, each costs
	// the endpoints an answer.
	FirstAsked int
	// NextAsked is the number of endpoints, of all zones, that are asked in each further round, while none is good enough.
	NextAsked int
	// MaxRounds bounds the rounds.
	MaxRounds int
	// ReuseAge is how old an endpoint's load may be to be used without asking again. Neighbours change an endpoint's speed every
	// 100 to 200 ms, so an answer says little after a third of that.
	ReuseAge time.Duration
	// GoodEnough ends the asking: an endpoint that needs at most this many times the usual time of the request.
	GoodEnough float64
	// RemotePenalty is added to the expected time of endpoints in other availability zones, whose answers cross the network.
	RemotePenalty time.Duration
}

// DefaultConfig returns the figures used in production.
func DefaultConfig() Config {
	return Config{FirstAsked: 3, NextAsked: 4, MaxRounds: 3, ReuseAge: 25 * time.Millisecond, GoodEnough: 1.5, RemotePenalty: 10 * time.Millisecond}
}

const (
	// nearlyFull is the share of busy slots above which endpoints tend to slow down, and nearlyFullFactor by how much.
	nearlyFull       = 0.8
	nearlyFullFactor = 1.2
	// warmUpFactor is by how much an endpoint is slower in the first seconds after its start.
	warmUpFactor = 2.0
	// usualSlowness is expected of an endpoint that has not told its load for reportLife.
	usualSlowness = 2.0
	reportLife    = 150 * time.Millisecond
	// failureMemory weighs one outcome in an endpoint's failure rate, which fades with failureFades while nothing is sent there.
	failureMemory = 0.2
	failureFades  = 3 * time.Second
	// repeatCost is what a failure costs a request that can be sent again, in parts of its expected time, and lossCost what it costs one
	// that cannot: its caller gets nothing.
	repeatCost = 4
	lossCost   = 12
	// suspectFirst is how long an endpoint that could not be reached is left alone, doubling up to suspectLongest.
	suspectFirst   = 250 * time.Millisecond
	suspectLongest = 2 * time.Second
	// silentServiceLife is how long a service whose endpoints tell no load is not asked again.
	silentServiceLife = 10 * time.Second
)

// View is what is known of one endpoint when a decision is taken.
type View struct {
	registry.Endpoint
	Local    bool
	Load     Load
	LoadAge  time.Duration // of Load; negative if no load is known
	Own      int           // requests of this host that it works on
	Since    int           // requests of this host that were sent since Load was told, less those that ended
	Failing  float64       // share of recent requests that failed, from 0 to 1
	Suspect  bool          // could not be reached recently
	Asked    bool          // a question is on its way
	WarmLeft time.Duration
}

// busy returns how many requests the endpoint holds, and its slots.
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

// Fresh reports whether the endpoint's load is young enough to be used without asking.
func (v *View) Fresh(age time.Duration) bool { return v.LoadAge >= 0 && v.LoadAge <= age && !v.Suspect }

// Rounds orders the endpoints to ask, without those whose load is fresh: each round is asked at once, and the next only if no answer was good enough. Suspect endpoints
// come last, and only if nothing else is left.
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

// interleave takes from both lists in turn.
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

// Best returns the index of the best candidate, or -1, and its expected time. The best one has the shortest expected time, weighed with
// what its failures cost the request.
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

// goodFailing is the failure rate above which an endpoint does not end the asking.
const goodFailing = 0.05

// Good reports whether an endpoint with the expected time ends the asking.
func (c *Config) Good(v *View, expected, work time.Duration) bool {
	return float64(expected) <= float64(work)*c.GoodEnough && v.Failing <= goodFailing
}

// Random is the source of randomness in production.
func Random(n int) int { return rand.IntN(n) }
