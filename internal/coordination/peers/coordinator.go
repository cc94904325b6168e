package peers

import (
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/rendezvous"
)

// coordinatorKey is the prefix of the rendezvous hashing keys that rank hosts, and zones without hosts, as coordinators.
const coordinatorKey = "coordinator "

// Coordinator returns the host that coordinates something which all hosts share and which belongs to a zone and a key. self says that it is
// this host. The hosts of the zone choose the first in rendezvous order of those that are live and coordinate. Hosts of other zones get a host of
// the zone that passes messages on to the coordinator: live ones first, and the next one for each of the given failures to reach one. What
// belongs to a zone without hosts is coordinated in another zone. ok is false if there is no such host.
func (t *Table) Coordinator(zone, key string, failures int, now time.Time) (h Host, self, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if zone != t.cfg.Self.Zone {
		ranked := t.rankedNames(zone, now)
		if len(ranked) > 0 {
			return t.hosts[ranked[failures%len(ranked)]].Host, false, true
		}
		if home := t.homeZone(key); home != t.cfg.Self.Zone {
			ranked = t.rankedNames(home, now)
			return t.hosts[ranked[failures%len(ranked)]].Host, false, true
		}
	}
	names := t.coordinating(func(Status) bool { return true }, now)
	if len(names) == 0 {
		return Host{}, false, false
	}
	first := rendezvous.First(coordinatorKey+key, names)
	if first == t.cfg.Self.Name {
		return t.cfg.Self, true, true
	}
	return t.hosts[first].Host, false, true
}

// CoordinationVersion rises when a message, or this host's own status, changes which hosts may coordinate. Hosts that fall silent do not change it.
func (t *Table) CoordinationVersion() uint64 { return t.coordination.Load() }

// noteCoordination counts a change of a status that decides whether a host coordinates.
func (t *Table) noteCoordination(zone string, old, status Status) {
	if old.Leaving != status.Leaving || old.Quotas != status.Quotas || zone == t.cfg.Self.Zone && old.Coordinates != status.Coordinates {
		t.coordination.Add(1)
	}
}

// coordinating returns the names of the hosts of this zone, this host included, that are live, coordinate, and whose status is accepted. t.mu must be
// held.
func (t *Table) coordinating(accept func(Status) bool, now time.Time) (names []string) {
	if t.status.Coordinates && accept(t.status) {
		names = append(names, t.cfg.Self.Name)
	}
	for _, p := range t.hosts {
		if p.Zone == t.cfg.Self.Zone && p.Coordinates && accept(p.Status) && t.isLive(p, now) {
			names = append(names, p.Name)
		}
	}
	return names
}

// HomeZone returns the zone in which something is coordinated that belongs to no zone.
func (t *Table) HomeZone(key string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.homeZone(key)
}

// homeZone does the work of HomeZone. t.mu must be held.
func (t *Table) homeZone(key string) string { return ChooseHomeZone(key, t.zones()) }

// ChooseHomeZone returns the one of the zones in which something is coordinated that belongs to no zone.
func ChooseHomeZone(key string, zones []string) string {
	return rendezvous.First(coordinatorKey+key, zones)
}
