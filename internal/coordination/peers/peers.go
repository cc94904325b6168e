// Package peers keeps a table of the other entry hosts: which of them are live, which addresses callers are given, and in which order
// hosts read the store. Hosts of one availability zone send each other heartbeats. Hosts of other zones are known from the store and from
// other hosts.
package peers

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/rendezvous"
)

// Config is the configuration of a Table.
type Config struct {
	Self Host
	// HeartbeatInterval is the minimum time between two heartbeats of a host.
	HeartbeatInterval time.Duration
	// HeartbeatIntervalPerHost is added to HeartbeatInterval for each other host in the zone, so that the number of heartbeats that a host
	// receives per second stays bounded as the zone grows.
	HeartbeatIntervalPerHost time.Duration
	// MaxMissedHeartbeats is the number of heartbeats that may be missed before a host is no longer live.
	MaxMissedHeartbeats int
	// MinAdvertised is the minimum number of hosts of a zone that are advertised to callers, so that the loss of one leaves another.
	MinAdvertised int
	// MinAdvertisedShare is the minimum share of the zone's capacity that is advertised, because the load is unknown at the start. Callers spread evenly
	// over the hosts that they are given, so that the capacity of n hosts is n times that of the smallest of them.
	MinAdvertisedShare float64
	// RequestCPUTime is the processor time of one request, including load probes of endpoints. TargetUtilization is the share of a host's
	// processor time that requests should use. More hosts are advertised if the zone's requests would use more.
	RequestCPUTime    time.Duration
	TargetUtilization float64
	// MaxAgeFirst is the age of the copy of the store's topics at which the first-ranked host of the first-ranked zone reads the store. For
	// other hosts, each further rank of the zone adds MaxAgePerZone, and each further rank of the host in its zone adds MaxAgePerHost.
	MaxAgeFirst, MaxAgePerZone, MaxAgePerHost time.Duration
	// MaxAgeLimit bounds the sum, so that the last-ranked host, too, meets the deadlines for leaving endpoints and new configurations.
	MaxAgeLimit time.Duration
	// ReadDelayPerHost is added to the age for each further rank of the host in its zone while the first-ranked hosts fail to read the store.
	ReadDelayPerHost time.Duration
}

// DefaultConfig returns the values for production. A host has to learn of a leaving endpoint within 2 s: the first-ranked host reads the
// store every 0.65 s, and the third-ranked one reads it itself after 1.15 s without an update.
func DefaultConfig(self Host) Config {
	return Config{Self: self,
		HeartbeatInterval: 200 * time.Millisecond, HeartbeatIntervalPerHost: 10 * time.Millisecond, MaxMissedHeartbeats: 4,
		MinAdvertised: 2, MinAdvertisedShare: 0.2, RequestCPUTime: 1400 * time.Microsecond, TargetUtilization: 0.35,
		MaxAgeFirst: 650 * time.Millisecond, MaxAgePerZone: 150 * time.Millisecond, MaxAgePerHost: 250 * time.Millisecond,
		MaxAgeLimit: 1300 * time.Millisecond, ReadDelayPerHost: 500 * time.Millisecond}
}

// Table holds the other hosts and this host's status. It is safe for concurrent use.
type Table struct {
	cfg Config

	mu              sync.Mutex
	hosts           map[string]*peer // by name; put and remove modify it
	silent          map[string]int64 // start times of the hosts that RemoveSilent has removed, by name
	zonePeers       int              // number of the hosts that are in this host's zone
	status          Status
	coordination    atomic.Uint64 // see CoordinationVersion
	advertisedCache advertisedCache
	startLists      map[string]startList // cached results of HostsForZone, by zone
	quorumBase      quorumBase
}

// peer is the entry of another host.
type peer struct {
	Host
	Status
	lastMessage time.Time // time of the host's last message; zero if it is known only from others
	added       time.Time // when this entry was created
}

// NewTable returns a table without other hosts.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, hosts: map[string]*peer{}, silent: map[string]int64{}, startLists: map[string]startList{}}
}

// SetStatus replaces the status that this host sends.
func (t *Table) SetStatus(s Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !s.sameForCallers(t.status) {
		t.advertisedCache = advertisedCache{}
	}
	t.noteCoordination(t.cfg.Self.Zone, t.status, s)
	t.status = s
}

// Self returns this host and its status.
func (t *Table) Self() (Host, Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cfg.Self, t.status
}

// Add adds a host that was listed in the store or by another host. It reports whether the host, or a later start of it, is new.
func (t *Table) Add(h Host, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.hosts[h.Name]
	if h.Name == t.cfg.Self.Name || (old != nil && old.Started >= h.Started) {
		return false
	}
	t.put(&peer{Host: h, added: now})
	t.clearCaches()
	return true
}

// put adds a host or replaces its entry. t.mu must be held.
func (t *Table) put(p *peer) {
	t.remove(p.Name)
	delete(t.silent, p.Name)
	t.hosts[p.Name] = p
	if p.Zone == t.cfg.Self.Zone {
		t.zonePeers++
	}
}

// clearCaches makes all cached results invalid, after a change of the table. t.mu must be held.
func (t *Table) clearCaches() {
	t.advertisedCache = advertisedCache{}
	clear(t.startLists)
}

// remove removes a host, if it is in the table. t.mu must be held.
func (t *Table) remove(name string) {
	if p := t.hosts[name]; p != nil && p.Zone == t.cfg.Self.Zone {
		t.zonePeers--
	}
	delete(t.hosts, name)
}

// RecordMessage records a message from a host. It reports whether the host is new, is live again, or has changed its description or its
// status. A change of the rate alone does not count.
func (t *Table) RecordMessage(h Host, s Status, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.hosts[h.Name]
	// The start of a host that is no longer live may be later than that of its next process, if the time of day was set back.
	if h.Name == t.cfg.Self.Name || (old != nil && old.Started > h.Started && t.isLive(old, now)) {
		return false
	}
	known := old != nil && old.Host == h
	if known {
		t.noteCoordination(h.Zone, old.Status, s)
	} else {
		t.coordination.Add(1)
	}
	changed := !known || !old.Status.sameForCallers(s) || !t.isLive(old, now)
	t.put(&peer{Host: h, Status: s, lastMessage: now, added: now})
	if changed {
		t.clearCaches()
	}
	return changed
}

// removeSilentAfter is how long a host of this zone that sends nothing stays in the table. Hosts of other zones stay, because they send
// this host no heartbeats, only replies and updates.
const removeSilentAfter = 30 * time.Second

// RemoveSilent removes the hosts of this zone that have sent nothing for longer than removeSilentAfter, and returns their names.
func (t *Table) RemoveSilent(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, p := range t.hosts {
		last := p.added
		if p.lastMessage.After(last) {
			last = p.lastMessage
		}
		if p.Zone == t.cfg.Self.Zone && now.Sub(last) > removeSilentAfter {
			t.remove(name)
			t.silent[name] = p.Started
			t.clearCaches()
			names = append(names, name)
		}
	}
	return names
}

// WasSilent reports whether RemoveSilent has removed a host, or a later start of it, and no message of it has arrived since. Other hosts may go on
// listing a host that has ended. Added again, it would count among the hosts of the zone that are not heard from.
func (t *Table) WasSilent(h Host) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	started, ok := t.silent[h.Name]
	return ok && started >= h.Started
}

// rankedNames returns the names of the other hosts of a zone: first the live ones and then the rest, each in rank order. t.mu must be held.
func (t *Table) rankedNames(zone string, now time.Time) []string {
	var live, rest []string
	for _, p := range t.hosts {
		switch {
		case p.Zone != zone:
		case t.isLive(p, now):
			live = append(live, p.Name)
		default:
			rest = append(rest, p.Name)
		}
	}
	return append(t.rankReaders(live), t.rankReaders(rest)...)
}

// HostWithStoreCopy returns a live host that has a copy of the store's topics, preferably one of this zone, and of these one that is not
// leaving.
func (t *Table) HostWithStoreCopy(now time.Time) (h Host, ownZone, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	leaving := false
	for _, p := range t.hosts {
		if !p.Status.HasStoreCopy || !t.isLive(p, now) {
			continue
		}
		own := p.Zone == t.cfg.Self.Zone
		if !ok || own && !ownZone || own == ownZone && leaving && !p.Status.Leaving {
			h, ownZone, leaving, ok = p.Host, own, p.Status.Leaving, true
		}
		if ownZone && !leaving {
			break
		}
	}
	return h, ownZone, ok
}

// isLive reports whether a message of the host arrived within the last MaxMissedHeartbeats heartbeat intervals. t.mu must be held.
func (t *Table) isLive(p *peer, now time.Time) bool {
	return !p.lastMessage.IsZero() && now.Sub(p.lastMessage) <= time.Duration(t.cfg.MaxMissedHeartbeats)*t.heartbeatIntervalLocked()
}

// heartbeatIntervalLocked does the work of HeartbeatInterval. t.mu must be held.
func (t *Table) heartbeatIntervalLocked() time.Duration {
	return t.cfg.HeartbeatInterval + time.Duration(t.zonePeers)*t.cfg.HeartbeatIntervalPerHost
}

// HeartbeatInterval returns the time between this host's heartbeats.
func (t *Table) HeartbeatInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heartbeatIntervalLocked()
}

// ZonePeers returns the other hosts of the zone, also those that are not live, because they may have just started.
func (t *Table) ZonePeers() []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Host
	for _, p := range t.hosts {
		if p.Zone == t.cfg.Self.Zone {
			list = append(list, p.Host)
		}
	}
	return list
}

// KnownHosts returns this host and all hosts in the table, of all zones, sorted by name.
func (t *Table) KnownHosts() []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []Host{t.cfg.Self}
	for _, p := range t.hosts {
		list = append(list, p.Host)
	}
	slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Host returns the other host with a name, and false if this host does not know it.
func (t *Table) Host(name string) (Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.hosts[name]; p != nil && name != t.cfg.Self.Name {
		return p.Host, true
	}
	return Host{}, false
}

// HostCount returns the number of hosts in the table, plus one for this host.
func (t *Table) HostCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.hosts) + 1
}

// LiveZonePeers returns the sorted names of the other hosts of the zone that are live.
func (t *Table) LiveZonePeers(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.liveNames(now)
}

// liveNames does the work of LiveZonePeers. t.mu must be held.
func (t *Table) liveNames(now time.Time) []string {
	var names []string
	for _, p := range t.hosts {
		if p.Zone == t.cfg.Self.Zone && t.isLive(p, now) {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	return names
}

// zones returns the zones of all hosts, this host's zone first. t.mu must be held.
func (t *Table) zones() []string {
	zones := []string{t.cfg.Self.Zone}
	for _, p := range t.hosts {
		if !slices.Contains(zones, p.Zone) {
			zones = append(zones, p.Zone)
		}
	}
	return zones
}

// relaysPerOtherZone is the maximum number of hosts of each other zone that get this host's updates directly. They forward them to the
// other hosts of their zone. With two of them, the failure of one delays no update.
const relaysPerOtherZone = 2

// Relays returns the hosts of other zones that get this host's updates directly.
func (t *Table) Relays(now time.Time) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Host
	for _, zone := range t.zones()[1:] {
		names := t.rankedNames(zone, now)
		for _, name := range names[:min(relaysPerOtherZone, len(names))] {
			list = append(list, t.hosts[name].Host)
		}
	}
	return list
}

// ZoneHostList returns the live hosts of this zone, this one included, ordered by name. It also reports whether this host is the
// first-ranked one, which writes the list to the store.
func (t *Table) ZoneHostList(now time.Time) (hosts []Host, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := append(t.liveNames(now), t.cfg.Self.Name)
	first = rendezvous.First(readerKey, names) == t.cfg.Self.Name
	slices.Sort(names)
	for _, name := range names {
		if name == t.cfg.Self.Name {
			hosts = append(hosts, t.cfg.Self)
			continue
		}
		hosts = append(hosts, t.hosts[name].Host)
	}
	return hosts, first
}

// SampleOtherZones returns at most n random hosts of each other zone. random(n) returns a number in [0, n).
func (t *Table) SampleOtherZones(n int, random func(int) int) (list []Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byZone := map[string][]Host{}
	for _, p := range t.hosts {
		if p.Zone != t.cfg.Self.Zone {
			byZone[p.Zone] = append(byZone[p.Zone], p.Host)
		}
	}
	for _, hosts := range byZone {
		start := random(len(hosts))
		for i := range min(n, len(hosts)) {
			list = append(list, hosts[(start+i)%len(hosts)])
		}
	}
	return list
}
