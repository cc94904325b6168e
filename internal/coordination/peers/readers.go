package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/rendezvous"
)

// readerKey is the rendezvous hashing key that ranks zones, and the hosts of a zone, for reading the store.
const readerKey = "store reader"

// rankReaders orders hosts of the table, or this host, for reading the store and passing on what was read: those with the fastest links first,
// since many hosts may fetch large changes from them at the same time. t.mu must be held.
func (t *Table) rankReaders(names []string) []string {
	ranked := rendezvous.Rank(readerKey, names)
	link := func(name string) float64 {
		if name == t.cfg.Self.Name {
			return t.cfg.Self.LinkMbps
		}
		return t.hosts[name].LinkMbps
	}
	slices.SortStableFunc(ranked, func(a, b string) int { return cmp.Compare(link(b), link(a)) })
	return ranked
}

// Bounds of what ranks add to MaxAgeLimit. With limitSpread, the last host of a zone of any size reads the store within 2 s.
const (
	limitStep   = 10 * time.Millisecond
	limitSpread = 600 * time.Millisecond
)

// MaxAge returns the age of this host's copy of the store's topics at which the host reads the store. It grows with the rank of the host's
// zone and with the host's rank among the live hosts of its zone. MaxAgeLimit is raised by limitStep for each rank in the zone, but by at most
// limitSpread for the last one, so that the hosts of a zone that are at the limit still read at different ages.
func (t *Table) MaxAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	zone := t.zoneRank()
	ranked, host := t.readers(now)
	step := min(limitStep, limitSpread/time.Duration(len(ranked)))
	maxAge := t.cfg.MaxAgeFirst + time.Duration(zone)*t.cfg.MaxAgePerZone + time.Duration(host)*t.cfg.MaxAgePerHost
	return min(maxAge, t.cfg.MaxAgeLimit+time.Duration(host)*step)
}

// zoneRank returns the rank of this host's zone for reading the store. t.mu must be held.
func (t *Table) zoneRank() int {
	return slices.Index(rendezvous.Rank(readerKey, t.zones()), t.cfg.Self.Zone)
}

// watchedZones is the number of zones whose first-ranked hosts watch the store. With two of them, the failure of one delays no change.
const watchedZones = 2

// WatchesStore reports whether this host has to watch the store for large changes, which are late if they are read only when the copy has reached
// its maximum age.
func (t *Table) WatchesStore(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.betterReaders(now)) == 0 && t.zoneRank() < watchedZones
}

// failingReaders is the number of hosts of a zone that have to fail to read the store before the hosts ranked after them read it less often.
// One alone may have lost its own path to the store.
const failingReaders = 2

// ReadDelay returns how much older than MaxAge this host's copy may become before the host reads the store. It is 0 unless failingReaders
// live hosts that are ranked before this one in its zone report that they cannot read the store. Then it grows with the host's rank, so that
// the calls to a store in an outage do not grow in proportion to the hosts. The first hosts, which go on reading, tell the others when the
// store answers.
func (t *Table) ReadDelay(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	better := t.betterReaders(now)
	failing := 0
	for _, name := range better {
		if t.hosts[name].StoreFailing {
			failing++
		}
	}
	if failing < failingReaders {
		return 0
	}
	return time.Duration(len(better)+1-failingReaders) * t.cfg.ReadDelayPerHost
}

// IsFirstReader reports whether this host is one of the hosts of its zone whose reports ReadDelay needs.
func (t *Table) IsFirstReader(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.betterReaders(now)) < failingReaders
}

// betterReaders returns the names of the live hosts of this zone that are ranked before this one. t.mu must be held.
func (t *Table) betterReaders(now time.Time) []string {
	ranked, self := t.readers(now)
	return ranked[:self]
}

// readers returns the names of the live hosts of this zone in the order in which they read the store, and the index of this host. t.mu must be
// held.
func (t *Table) readers(now time.Time) (ranked []string, self int) {
	ranked = t.rankReaders(append(t.liveNames(now), t.cfg.Self.Name))
	return ranked, slices.Index(ranked, t.cfg.Self.Name)
}
