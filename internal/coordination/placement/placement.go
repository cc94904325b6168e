// Package placement chooses the endpoint to which a request for a service is sent, and decides by the endpoints' load whether a request is
// sent, waits or is refused. Other workloads on a shared machine can slow an endpoint several times over for a fraction of a second, so
// only the load at the moment of sending counts: a host probes the load of a few endpoints right before it sends a request, and chooses
// the one that is expected to answer first. The package does no network I/O itself.
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

// Config holds the settings of an EndpointStats and of the choice between endpoints.
type Config struct {
	Zone string // availability zone of this host
	// FirstRoundSize is the number of endpoints in this host's availability zone that the first round probes. More probes find faster
	// endpoints, but each of them costs an endpoint an answer.
	FirstRoundSize int
	// NextRoundSize is the number of endpoints, in any zone, that each further round probes. Rounds go on until an endpoint is good enough.
	NextRoundSize int
	// MaxRounds bounds the rounds of one search for an endpoint.
	MaxRounds int
	// MaxLoadAge is the greatest age of a load report that is used without a new probe. Other workloads on the machine change an
	// endpoint's speed every 100 to 200 ms, so a report says little after a third of that time.
	MaxLoadAge time.Duration
	// GoodEnoughFactor is the expected duration, as a multiple of the request's usual one, up to which an endpoint is chosen without
	// probing further ones.
	GoodEnoughFactor float64
	// LeaveZoneFactor is the shortest expected duration in this host's zone, as a multiple of that in other zones, at which a request
	// leaves the zone if no load is known.
	LeaveZoneFactor float64
	// RemotePenalty is added to the expected duration at endpoints in other availability zones, for the longer network path.
	RemotePenalty time.Duration
	// RateLimiter knows the endpoints that limit the requests of all hosts together. Nil means that none does.
	RateLimiter RateLimiter
}

// RateLimiter divides the limits that endpoints have named among the hosts: a request or load probe to such an endpoint needs a permit.
type RateLimiter interface {
	// Permits reports whether an endpoint has a limit, and how many permits for it this host holds.
	Permits(id endpoints.ID, now time.Time) (limited bool, permits int)
	// Take uses up a permit of a limited endpoint. It returns false if this host holds none.
	Take(id endpoints.ID, now time.Time) bool
	// TakeForCheck is Take for a load probe, which needs no permit at an endpoint that is only cold.
	TakeForCheck(id endpoints.ID, now time.Time) bool
	// ColdUntil returns until when an endpoint takes few requests and is slow after its start; zero if it is not known to do so.
	ColdUntil(id endpoints.ID, now time.Time) time.Time
}

// DefaultConfig returns the settings used in production, without the zone.
func DefaultConfig() Config {
	return Config{FirstRoundSize: 3, NextRoundSize: 4, MaxRounds: 3, MaxLoadAge: 25 * time.Millisecond, GoodEnoughFactor: 1.5,
		LeaveZoneFactor: 1.6, RemotePenalty: 10 * time.Millisecond}
}

const (
	// nearlyFullShare is the share of busy slots above which endpoints tend to be slower, by the factor nearlyFullSlowdown.
	nearlyFullShare    = 0.8
	nearlyFullSlowdown = 1.2
	// warmUpSlowdown is the factor by which an endpoint is slower in the first seconds after its start.
	warmUpSlowdown = 2.0
	// assumedSlowness is the slowness assumed for an endpoint that has not reported its load for loadReportLifetime.
	assumedSlowness    = 2.0
	loadReportLifetime = 150 * time.Millisecond
	// failureWeight is the weight of one outcome in an endpoint's failure rate, an exponentially weighted moving average. Between
	// outcomes the rate decays exponentially with the time constant failureDecayTime.
	failureWeight    = 0.2
	failureDecayTime = 3 * time.Second
	// idempotentFailureCost is the cost of a failure to a request that can be sent again, as a multiple of its expected duration.
	// nonIdempotentFailureCost is the cost to a request that cannot be sent again: its caller gets no answer.
	idempotentFailureCost    = 4
	nonIdempotentFailureCost = 12
	// minSuspectTime is how long an endpoint is avoided after it could not be reached. Each further time doubles it, up to maxSuspectTime.
	minSuspectTime = 250 * time.Millisecond
	maxSuspectTime = 2 * time.Second
	// noLoadLifetime is how long the endpoints of a service that report no load are not probed again.
	noLoadLifetime = 10 * time.Second
)

// EndpointView is what this host knows of one endpoint at the moment of a decision.
type EndpointView struct {
	registry.Endpoint
	Local         bool // in the availability zone of this host
	Load          Load
	LoadAge       time.Duration // age of Load; negative if no load is known
	InFlight      int           // requests in flight that this host sent
	SentSinceLoad int           // requests that this host sent since Load was reported, less those that ended since then
	FailureRate   float64       // share of recent requests that failed, from 0 to 1
	Suspect       bool          // could not be reached recently, see EndpointStats.RecordUnreachable
	Rejecting     bool          // it wants no requests now, see EndpointStats.RecordRejection
	InFlightLimit int           // bound of InFlight after a rejection; 0 if there is none
	ProbeInFlight bool          // this host has sent it a probe that has not ended
	Limited       bool          // it limits the requests of all hosts together
	Permits       int           // requests that this host may send if it is limited
	Cold          bool          // it takes few requests for some time after its start, which counts as a limit
	Unchecked     bool          // it may have started again since its last response to this host
	ContactLost   bool          // a connection to it has failed or ended since that response
	Pace          float64       // recent duration of requests as a multiple of the usual one; 0 if the endpoint has reported its load
	WarmUpLeft    time.Duration // how much longer the endpoint is slow after its start
}

// occupancy returns the number of requests that the endpoint is executing or has queued, and the number of its slots. If there is no load
// report, or the report is older than loadReportLifetime, only the requests of this host count, and the slots are the registered ones. An
// endpoint at its InFlightLimit has no free slot for this host.
func (v *EndpointView) occupancy() (requests, slots int) {
	requests, slots = v.InFlight, max(1, v.Slots)
	if v.LoadAge >= 0 && v.LoadAge <= loadReportLifetime {
		requests = max(requests, v.Load.Running+v.Load.Waiting+v.SentSinceLoad)
		if v.Load.Slots > 0 {
			slots = v.Load.Slots
		}
	}
	if v.InFlightLimit > 0 && v.InFlight >= v.InFlightLimit {
		requests = max(requests, slots)
	}
	return requests, slots
}

// HasFreeSlot reports whether the endpoint has a free slot, as far as this host knows.
func (v *EndpointView) HasFreeSlot() bool {
	busy, slots := v.occupancy()
	return busy < slots
}

// ExpectedDuration returns how long a request of the given usual duration is expected to take at the endpoint: the usual duration
// multiplied by the endpoint's slowness and the factors for warm-up and for few free slots, plus the wait for a free slot, plus
// RemotePenalty for an endpoint in another zone. The slowness of an endpoint that reports no load is its pace, increased by this host's
// requests there.
func (c *Config) ExpectedDuration(v *EndpointView, serviceTime time.Duration) time.Duration {
	busy, slots := v.occupancy()
	slowness := assumedSlowness
	if v.Pace > 0 { // other hosts keep it about as busy as this one does
		slowness = v.Pace * (1 + float64(v.InFlight)/float64(slots))
	}
	if v.LoadAge >= 0 && v.LoadAge <= loadReportLifetime {
		slowness = v.Load.Slowness
	}
	if v.WarmUpLeft > 0 {
		slowness *= warmUpSlowdown
	}
	if isNearlyFull(min(busy, slots)+1, slots) {
		slowness *= nearlyFullSlowdown
	}
	duration := float64(serviceTime) * slowness
	expected := duration
	if ahead := busy - slots + 1; ahead > 0 {
		expected += duration * float64(ahead) / float64(slots)
	}
	if !v.Local {
		expected += float64(c.RemotePenalty)
	}
	return time.Duration(expected)
}

func isNearlyFull(requests, slots int) bool {
	return float64(requests) > nearlyFullShare*float64(slots)
}

// HasFreshLoad reports whether the endpoint's load is known and at most maxAge old, and the endpoint is not suspect and accepts requests.
func (v *EndpointView) HasFreshLoad(maxAge time.Duration) bool {
	return v.LoadAge >= 0 && v.LoadAge <= maxAge && !v.Suspect && !v.Rejecting && (!v.Limited || v.Permits > 0)
}

// mayBeProbed reports whether a load probe of the endpoint leaves a permit for a request. A cold one is probed only for a request that may follow.
func (v *EndpointView) mayBeProbed() bool {
	return !v.Limited || v.Permits > 1 || v.Cold && v.Permits > 0
}

// ProbeRounds returns the indices of the endpoints to probe, in rounds and in random order; rng(n) returns a random number in [0, n). The caller probes
// the endpoints of a round at the same time, and goes on to the next round only if no endpoint was good enough. The first round takes endpoints of this
// host's zone, further ones take endpoints of this and of other zones in turn. Endpoints are left out if avoid returns true for them, if they want no
// requests, if they have a rate limit and no permits to spare, if a probe of them is in flight or if their load is fresh. Suspect endpoints are probed
// only if there is no other round.
func (c *Config) ProbeRounds(views []EndpointView, avoid func(endpoints.ID) bool, rng func(int) int) [][]int {
	var local, remote, suspect []int
	for i := range views {
		v := &views[i]
		switch {
		case avoid(v.ID) || v.Rejecting || v.ProbeInFlight || !v.mayBeProbed() || v.HasFreshLoad(c.MaxLoadAge):
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
	first := min(c.FirstRoundSize, len(local))
	rounds := [][]int{local[:first:first]}
	rest := interleave(local[first:], remote)
	if first == 0 {
		rounds = nil
	}
	for len(rest) > 0 && len(rounds) < c.MaxRounds {
		n := min(c.NextRoundSize, len(rest))
		rounds = append(rounds, rest[:n:n])
		rest = rest[n:]
	}
	if len(rounds) == 0 && len(suspect) > 0 {
		n := min(c.FirstRoundSize, len(suspect))
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
func (c *Config) Best(views []EndpointView, candidates []int, serviceTime time.Duration, idempotent bool) (int, time.Duration) {
	failureCost := float64(nonIdempotentFailureCost)
	if idempotent {
		failureCost = idempotentFailureCost
	}
	best, leastCost, bestExpected := -1, 0.0, time.Duration(0)
	for _, i := range candidates {
		expected := c.ExpectedDuration(&views[i], serviceTime)
		cost := float64(expected) * (1 + failureCost*views[i].FailureRate)
		if best < 0 || cost < leastCost {
			best, leastCost, bestExpected = i, cost, expected
		}
	}
	return best, bestExpected
}

// maxGoodFailureRate is the highest failure rate of an endpoint that is good enough.
const maxGoodFailureRate = 0.05

// GoodEnough reports whether an endpoint with the expected duration is good enough to be chosen without probing further ones. It is fast
// enough, and another request would not make it nearly full: a host would go on sending to the endpoints whose answers it has just
// received, and fill these while others are idle.
func (c *Config) GoodEnough(v *EndpointView, expected, serviceTime time.Duration) bool {
	return v.LeavesRoom() && c.FastEnough(v, expected, serviceTime)
}

// LeavesRoom reports whether another request would not make the endpoint nearly full.
func (v *EndpointView) LeavesRoom() bool {
	busy, slots := v.occupancy()
	return busy == 0 || !isNearlyFull(busy+1, slots)
}

// ColdDuration returns how long a request of the given usual duration takes at a cold endpoint that nothing else slows.
func ColdDuration(serviceTime time.Duration) time.Duration {
	return time.Duration(float64(serviceTime) * warmUpSlowdown)
}

// FastEnough reports whether an endpoint with the expected duration is worth choosing without probing endpoints of other zones. One
// without a free slot is not, however short its queue: Admit would let the request wait for it.
func (c *Config) FastEnough(v *EndpointView, expected, serviceTime time.Duration) bool {
	return v.HasFreeSlot() && float64(expected) <= float64(serviceTime)*c.GoodEnoughFactor && v.FailureRate <= maxGoodFailureRate
}

// Random returns a random number in [0, n). It is the source of randomness in production.
func Random(n int) int { return rand.IntN(n) }
