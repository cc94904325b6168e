package placement

import (
	"cmp"
	"hash/maphash"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

const (
	// sampleSize is the number of endpoints of this host's zone, and of all other zones together, that one decision of a busy host
	// considers. It leaves enough endpoints for all rounds of probes if half of them are suspect.
	sampleSize = 16
	// A host draws from a subset of the endpoints that is its own and grows with its decisions. Most hosts of a large deployment receive
	// few requests; if each request went to any endpoint, each would open a connection. The subset of an idle host has idleSubsetSize
	// endpoints of its zone and as many of others. Each recent decision adds subsetGrowth to both; it counts less with its age, by the
	// time constant decisionDecayTime. A request that waits decides again and again, so that a subset that is full is left soon.
	idleSubsetSize    = 6
	subsetGrowth      = 2
	decisionDecayTime = time.Second
)

// serviceSampler draws the endpoints that a decision considers, so that its cost does not grow with the number of endpoints.
type serviceSampler struct {
	mu            sync.Mutex
	list          []registry.Endpoint // the list for which the fields below were made
	local, remote []int               // indices of the endpoints in this host's zone and in others, in the order in which the subset grows
	decisions     float64             // recent decisions, decayed to decidedAt
	decidedAt     time.Time
	byID          map[endpoints.ID]int
	reports       []loadReport // load reports that are at most MaxLoadAge old, oldest first
}

// loadReport says which endpoint reported its load at which time.
type loadReport struct {
	id endpoints.ID
	at time.Time
}

// sampler returns the sampler of a service.
func (t *EndpointStats) sampler(service string) *serviceSampler {
	if s, ok := t.samplers.Load(service); ok {
		return s.(*serviceSampler)
	}
	s, _ := t.samplers.LoadOrStore(service, &serviceSampler{})
	return s.(*serviceSampler)
}

// Sample returns what this host knows of some endpoints of a service: all those whose load is fresh, and random ones of the host's subsets
// of its zone and of other zones. rng(n) returns a random number in [0, n). The list must not be changed after the call.
func (t *EndpointStats) Sample(service string, list []registry.Endpoint, rng func(int) int, now time.Time) []EndpointView {
	if len(list) == 0 {
		return nil
	}
	indices := t.sampler(service).draw(list, t.cfg, t.subsetSeed, rng, now)
	views := make([]EndpointView, len(indices))
	for n, i := range indices {
		views[n] = t.View(list[i], now)
	}
	return views
}

// draw returns the indices of the sampled endpoints, each once.
func (s *serviceSampler) draw(list []registry.Endpoint, cfg Config, seed maphash.Seed, rng func(int) int, now time.Time) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.list) != len(list) || &s.list[0] != &list[0] {
		s.setList(list, cfg.Zone, seed)
	}
	s.dropOld(cfg.MaxLoadAge, now)
	drawn := make([]int, 0, 2*sampleSize+len(s.reports))
	for _, r := range s.reports {
		if i, ok := s.byID[r.id]; ok && !slices.Contains(drawn, i) {
			drawn = append(drawn, i)
		}
	}
	subset := s.subsetSize(now)
	drawn = appendRandom(drawn, s.local[:min(subset, len(s.local))], rng)
	return appendRandom(drawn, s.remote[:min(subset, len(s.remote))], rng)
}

// subsetSize counts a decision and returns the size of the subset of each kind. s.mu must be held.
func (s *serviceSampler) subsetSize(now time.Time) int {
	if age := now.Sub(s.decidedAt); age > 0 {
		s.decisions *= math.Exp(-age.Seconds() / decisionDecayTime.Seconds())
		s.decidedAt = now
	}
	s.decisions++
	return idleSubsetSize + int(subsetGrowth*(s.decisions-1))
}

// appendRandom appends sampleSize random ones of the indices that are not drawn yet, or all if there are fewer.
func appendRandom(drawn, from []int, rng func(int) int) []int {
	if len(from) == 0 {
		return drawn
	}
	for range min(sampleSize, len(from)) {
		start := rng(len(from))
		for n := range from {
			if i := from[(start+n)%len(from)]; !slices.Contains(drawn, i) {
				drawn = append(drawn, i)
				break
			}
		}
	}
	return drawn
}

// setList indexes a new list of endpoints. s.mu must be held.
func (s *serviceSampler) setList(list []registry.Endpoint, zone string, seed maphash.Seed) {
	s.list, s.local, s.remote = list, nil, nil
	s.byID = make(map[endpoints.ID]int, len(list))
	rank := make([]uint64, len(list))
	for i, e := range list {
		rank[i] = maphash.Comparable(seed, e.ID)
		s.byID[e.ID] = i
		if e.Zone == zone {
			s.local = append(s.local, i)
		} else {
			s.remote = append(s.remote, i)
		}
	}
	for _, indices := range [][]int{s.local, s.remote} {
		slices.SortFunc(indices, func(a, b int) int { return cmp.Compare(rank[a], rank[b]) })
	}
}

// recordReport records that an endpoint has reported its load.
func (s *serviceSampler) recordReport(id endpoints.ID, maxAge time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropOld(maxAge, now)
	s.reports = append(s.reports, loadReport{id, now})
}

// dropOld drops the reports that are older than maxAge. s.mu must be held.
func (s *serviceSampler) dropOld(maxAge time.Duration, now time.Time) {
	n := 0
	for n < len(s.reports) && now.Sub(s.reports[n].at) > maxAge {
		n++
	}
	s.reports = slices.Delete(s.reports, 0, n)
}
