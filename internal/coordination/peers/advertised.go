package peers

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/rendezvous"
)

// advertisedCache caches the results of Table.AdvertisedHostCount and Table.SelfAdvertised. Ranking the hosts takes long compared with the
// handling of a request. Changes of the table or of this host's status make the cache invalid; request rates, and hosts that are no longer
// live, count after advertisedCacheTTL.
type advertisedCache struct {
	hosts int  // 0 if a change has made the number invalid
	self  bool // this host is advertised
	at    time.Time
}

// advertisedCacheTTL is how long the cached number is used without checking again which hosts are live and how many requests they receive.
// It is short compared with the time after which a silent host is no longer live, and with the time constant of the request rate.
const advertisedCacheTTL = 100 * time.Millisecond

// AdvertisedHostCount estimates the number of hosts of all zones that are advertised to callers. It assumes that each zone advertises as
// many as this one.
func (t *Table) AdvertisedHostCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cachedAdvertised(now).hosts
}

// SelfAdvertised reports whether this host is among the hosts that are advertised to callers.
func (t *Table) SelfAdvertised(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cachedAdvertised(now).self
}

// cachedAdvertised returns the cache, renewed if it is invalid or old. t.mu must be held.
func (t *Table) cachedAdvertised(now time.Time) advertisedCache {
	if t.advertisedCache.hosts == 0 || now.Sub(t.advertisedCache.at) > advertisedCacheTTL {
		list := t.advertised(now)
		self := slices.ContainsFunc(list, func(h Host) bool { return h.Name == t.cfg.Self.Name })
		t.advertisedCache = advertisedCache{max(1, len(list)) * len(t.zones()), self, now}
	}
	return t.advertisedCache
}

// advertisedKey is the rendezvous hashing key that ranks hosts with equal numbers of cores for advertising to callers.
const advertisedKey = "callers"

// advertised returns the hosts of this zone whose addresses callers are given. These are the ones with the most cores, and as few as can
// handle the zone's requests: a host that handles many requests knows the load of the endpoints better than one that handles few. Callers
// spread their requests evenly over them. Hosts that have lost their way to endpoints follow after all others: they serve through these, at the cost of
// both. t.mu must be held.
func (t *Table) advertised(now time.Time) []Host {
	ready := map[string]Host{} // by caller address
	add := func(h Host) {
		if other, ok := ready[h.CallerAddress]; !ok || other.replacedBy(h) {
			ready[h.CallerAddress] = h
		}
	}
	rate := 0
	cutOff := map[string]bool{t.cfg.Self.Name: t.status.CutOff} // by name
	if t.status.Ready && !t.status.Leaving {
		add(t.cfg.Self)
	}
	rate += t.status.Rate
	for _, p := range t.hosts {
		if p.Zone != t.cfg.Self.Zone || !t.isLive(p, now) {
			continue
		}
		rate += p.Rate
		cutOff[p.Name] = p.CutOff
		if p.Ready && !p.Leaving {
			add(p.Host)
		}
	}
	byName := map[string]Host{}
	for _, h := range ready {
		byName[h.Name] = h
	}
	var ranked []Host
	for _, name := range rendezvous.Rank(advertisedKey, slices.Collect(maps.Keys(byName))) {
		ranked = append(ranked, byName[name])
	}
	slices.SortStableFunc(ranked, func(a, b Host) int {
		if cutOff[a.Name] != cutOff[b.Name] {
			if cutOff[a.Name] {
				return 1
			}
			return -1
		}
		return cmp.Compare(b.Cores, a.Cores)
	})
	need := float64(rate) * t.cfg.RequestCPUTime.Seconds() / t.cfg.TargetUtilization
	return ranked[:t.advertisedCount(ranked, need)]
}

// roundingError bounds the relative error of a capacity.
const roundingError = 1e-9

// advertisedCount returns how many of the ranked hosts are advertised: as few as have the needed capacity, in cores. If no number of them has it, it is the one
// with the most capacity. Callers spread evenly, so that n hosts can handle n times what the smallest of them can.
func (t *Table) advertisedCount(ranked []Host, need float64) int {
	capacities := make([]float64, len(ranked)) // of the first n+1 hosts
	smallest, most := math.Inf(1), 0
	for n, h := range ranked {
		smallest = min(smallest, h.Cores)
		capacities[n] = smallest * float64(n+1)
		if n < t.cfg.MinAdvertised || capacities[n] > capacities[most] {
			most = n
		}
	}
	if len(ranked) == 0 {
		return 0
	}
	need = max(need, t.cfg.MinAdvertisedShare*capacities[most]) * (1 - roundingError)
	for n := t.cfg.MinAdvertised - 1; n < most; n++ {
		if capacities[n] >= need {
			return n + 1
		}
	}
	return most + 1
}

// replacedBy reports whether another host with the address of h has taken its place: a host may restart under another name.
func (h Host) replacedBy(other Host) bool {
	return cmp.Or(cmp.Compare(h.Started, other.Started), cmp.Compare(h.Name, other.Name)) < 0
}

// Addresses returns the addresses that callers are given, at most limit. If no host of this zone is ready, they are those of the known
// hosts of other zones. If all of this zone have lost their way to endpoints, they are those of the hosts of other zones that have not.
func (t *Table) Addresses(now time.Time, limit int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for _, h := range t.advertised(now) {
		list = append(list, h.CallerAddress)
	}
	if t.allCutOff(now) {
		if others := t.reachingElsewhere(now); len(others) >= t.cfg.MinAdvertised {
			list = others
		}
	}
	if len(list) == 0 {
		for _, p := range t.hosts {
			if p.Zone != t.cfg.Self.Zone {
				list = append(list, p.CallerAddress)
			}
		}
		slices.Sort(list)
		list = slices.Compact(list)
	}
	return list[:min(limit, len(list))]
}

// allCutOff reports whether all ready hosts of this zone have lost their way to endpoints. t.mu must be held.
func (t *Table) allCutOff(now time.Time) bool {
	if !t.status.CutOff && t.status.Ready && !t.status.Leaving {
		return false
	}
	cutOff := t.status.CutOff
	for _, p := range t.hosts {
		if p.Zone != t.cfg.Self.Zone || !t.isLive(p, now) || !p.Ready || p.Leaving {
			continue
		}
		if !p.CutOff {
			return false
		}
		cutOff = true
	}
	return cutOff
}

// reachingElsewhere returns the caller addresses of the live hosts of other zones that accept requests and have not lost their way to endpoints, those with the
// most cores first. Hosts that add no capacity to the others are left out: callers spread evenly over these hosts too. t.mu must be held.
func (t *Table) reachingElsewhere(now time.Time) (list []string) {
	byAddress := map[string]Host{}
	for _, p := range t.hosts {
		if p.Zone == t.cfg.Self.Zone || !t.isLive(p, now) || !p.Ready || p.Leaving || p.CutOff {
			continue
		}
		if other, ok := byAddress[p.CallerAddress]; !ok || other.replacedBy(p.Host) {
			byAddress[p.CallerAddress] = p.Host
		}
	}
	ranked := slices.SortedFunc(maps.Values(byAddress), func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.CallerAddress, b.CallerAddress))
	})
	for _, h := range ranked[:t.advertisedCount(ranked, math.Inf(1))] {
		list = append(list, h.CallerAddress)
	}
	return list
}
