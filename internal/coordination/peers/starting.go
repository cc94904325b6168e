package peers

import "time"

// hostsPerOtherZone is the maximum number of hosts of each other zone that are sent to a starting host.
const hostsPerOtherZone = 3

// startList is a cached result of HostsForZone. When all hosts of a deployment start, each asks the seeds for the list several times.
type startList struct {
	hosts []Host
	at    time.Time
}

// startListTTL is how long a list is used without checking again which hosts are live. That affects its order, and which hosts of other zones
// it contains.
const startListTTL = 100 * time.Millisecond

// HostsForZone returns the hosts to send to a starting host of the given zone: all known hosts of its zone and some of each other zone.
// Within a zone, live hosts come first, and of these the ones with the fastest links. The result must not be modified.
func (t *Table) HostsForZone(zone string, now time.Time) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cached, ok := t.startLists[zone]; ok && now.Sub(cached.at) <= startListTTL {
		return cached.hosts
	}
	var list []Host
	for _, z := range t.zones() {
		names := t.rankedNames(z, now)
		if z != zone {
			names = names[:min(hostsPerOtherZone, len(names))]
		}
		for _, name := range names {
			list = append(list, t.hosts[name].Host)
		}
	}
	t.startLists[zone] = startList{list, now}
	return list
}
