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
	list          []*registry.Endpoint // the list for which the next three fields were made
	local, remote []rankedEndpoint     // the endpoints in this host's zone and in others, in the order in which the subset grows
	byID          map[endpoints.ID]*registry.Endpoint
	decisions     float64 // recent decisions, decayed to decidedAt
	decidedAt     time.Time
	reports       []loadReport // load reports that are at most MaxLoadAge old, oldest first
}

// rankedEndpoint is an endpoint with its pseudorandom place in this host's subsets.
type rankedEndpoint struct {
	rank     uint64
	endpoint *registry.Endpoint
}

func compareRanks(a, b rankedEndpoint) int { return cmp.Compare(a.rank, b.rank) }

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
// of its zone and of other zones. rng(n) returns a random number in [0, n). The list is ordered by name, and must not be changed after the
// call.
func (t *EndpointStats) Sample(service string, list []*registry.Endpoint, rng func(int) int, now time.Time) []EndpointView {
	if len(list) == 0 {
		return nil
	}
	drawn := t.sampler(service).draw(list, t.cfg, t.subsetSeed, rng, now)
	views := make([]EndpointView, len(drawn))
	for n, e := range drawn {
		views[n] = t.View(*e, now)
	}
	return views
}

// draw returns the sampled endpoints, each once.
func (s *serviceSampler) draw(list []*registry.Endpoint, cfg Config, seed maphash.Seed, rng func(int) int, now time.Time) []*registry.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.list) != len(list) || &s.list[0] != &list[0] {
		s.setList(list, cfg.Zone, seed)
	}
	s.dropOld(cfg.MaxLoadAge, now)
	drawn := make([]*registry.Endpoint, 0, 2*sampleSize+len(s.reports))
	for _, r := range s.reports {
		if e, ok := s.byID[r.id]; ok && !slices.Contains(drawn, e) {
			drawn = append(drawn, e)
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

// appendRandom appends sampleSize random ones of the endpoints that are not drawn yet, or all if there are fewer.
func appendRandom(drawn []*registry.Endpoint, from []rankedEndpoint, rng func(int) int) []*registry.Endpoint {
	if len(from) == 0 {
		return drawn
	}
	for range min(sampleSize, len(from)) {
		start := rng(len(from))
		for n := range from {
			if e := from[(start+n)%len(from)].endpoint; !slices.Contains(drawn, e) {
				drawn = append(drawn, e)
				break
			}
		}
	}
	return drawn
}

// maxIndexedChanges is the largest share of a list that is indexed change by change. With more changes, sorting the whole list is faster.
const maxIndexedChanges = 0.125

// setList indexes a new list of endpoints. Of a list that differs little from the last one, only the differences are indexed. s.mu must be
// held.
func (s *serviceSampler) setList(list []*registry.Endpoint, zone string, seed maphash.Seed) {
	removed, added := differences(s.list, list)
	s.list = list
	if float64(len(removed)+len(added)) > maxIndexedChanges*float64(len(list)) {
		s.local, s.remote, s.byID = nil, nil, make(map[endpoints.ID]*registry.Endpoint, len(list))
		for _, e := range list {
			part := s.part(e, zone)
			*part = append(*part, rankedEndpoint{maphash.Comparable(seed, e.ID), e})
			s.byID[e.ID] = e
		}
		slices.SortFunc(s.local, compareRanks)
		slices.SortFunc(s.remote, compareRanks)
		return
	}
	for _, e := range removed {
		part, r := s.part(e, zone), rankedEndpoint{maphash.Comparable(seed, e.ID), e}
		i, _ := slices.BinarySearchFunc(*part, r, compareRanks)
		*part = slices.Delete(*part, i, i+1)
		delete(s.byID, e.ID)
	}
	for _, e := range added {
		part, r := s.part(e, zone), rankedEndpoint{maphash.Comparable(seed, e.ID), e}
		i, _ := slices.BinarySearchFunc(*part, r, compareRanks)
		*part = slices.Insert(*part, i, r)
		s.byID[e.ID] = e
	}
}

// part returns the list to which an endpoint belongs.
func (s *serviceSampler) part(e *registry.Endpoint, zone string) *[]rankedEndpoint {
	if e.Zone == zone {
		return &s.local
	}
	return &s.remote
}

// differences returns the endpoints that are only in the old list and those that are only in the new one. Both are ordered by name.
func differences(old, list []*registry.Endpoint) (removed, added []*registry.Endpoint) {
	for len(old) > 0 || len(list) > 0 {
		switch {
		case len(old) > 0 && len(list) > 0 && old[0] == list[0]:
			old, list = old[1:], list[1:]
		case len(list) == 0 || (len(old) > 0 && old[0].Name <= list[0].Name):
			removed, old = append(removed, old[0]), old[1:]
		default:
			added, list = append(added, list[0]), list[1:]
		}
	}
	return removed, added
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
