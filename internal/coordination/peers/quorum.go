package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/rendezvous"
)

// QuotaHosts returns the hosts that may coordinate quotas, by zone and in the order of their names. Of this host's zone they are the live ones that
// coordinate and support quotas, this host included. Of other zones, from which this host gets no heartbeats, they are all that may do so and pass
// messages on otherwise. Zones without such hosts are included.
func (t *Table) QuotaHosts(now time.Time) map[string][]Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	byZone := map[string][]Host{t.cfg.Self.Zone: nil}
	for _, name := range t.coordinating(func(s Status) bool { return s.Quotas }, now) {
		h := &t.cfg.Self
		if name != h.Name {
			h = &t.hosts[name].Host
		}
		byZone[h.Zone] = append(byZone[h.Zone], *h)
	}
	for _, p := range t.hosts {
		if p.Zone == t.cfg.Self.Zone {
			continue
		}
		list := byZone[p.Zone]
		if p.lastMessage.IsZero() || p.Quotas && !p.Leaving {
			list = append(list, p.Host)
		}
		byZone[p.Zone] = list
	}
	for _, list := range byZone {
		slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	}
	return byZone
}

// RankQuotaHosts returns at most limit of the hosts, in the order in which they coordinate the quota of a key: those with the most cores first, because
// most of the requests arrive there, and of these in rendezvous order.
func RankQuotaHosts(hosts []Host, key string, limit int) []Host {
	byName := make(map[string]*Host, len(hosts))
	names := make([]string, len(hosts))
	for i := range hosts {
		names[i] = hosts[i].Name
		byName[names[i]] = &hosts[i]
	}
	ranked := rendezvous.Rank(coordinatorKey+key, names)
	slices.SortStableFunc(ranked, func(a, b string) int { return cmp.Compare(byName[b].Cores, byName[a].Cores) })
	list := make([]Host, 0, min(limit, len(ranked)))
	for _, name := range ranked[:cap(list)] {
		list = append(list, *byName[name])
	}
	return list
}

// LastMessage returns when the last message of a host arrived; zero if none has.
func (t *Table) LastMessage(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.hosts[name]; p != nil {
		return p.lastMessage
	}
	return time.Time{}
}

const (
	// minQuorumWindow is the least time in which a host must have sent a message to count as heard from. On large zones, whose hosts send
	// heartbeats less often, the time is quorumIntervals heartbeat intervals, in which every live host sends one: they vary by a quarter. With less than
	// one interval, a host that reaches three fifths of a large zone took itself for cut off.
	minQuorumWindow = 500 * time.Millisecond
	quorumIntervals = 1.3
	// quorumMemory is how long a host counts the hosts that it knew when it last heard from half of them. A host that is cut off forgets silent
	// hosts much sooner, and would else take itself for the whole zone.
	quorumMemory = 5 * time.Minute
)

// QuorumWindow returns the time in which a host must have sent a message to count as heard from in Quorum.
func (t *Table) QuorumWindow() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quorumWindow()
}

// quorumWindow does the work of QuorumWindow. t.mu must be held.
func (t *Table) quorumWindow() time.Duration {
	return max(minQuorumWindow, time.Duration(quorumIntervals*float64(t.heartbeatIntervalLocked())))
}

// quorumBase is the number of hosts of the zone that the table knew when this host last heard from half of them.
type quorumBase struct {
	known int
	at    time.Time
}

// Quorum returns from how many hosts of this zone this host has heard lately, and how many it knows, itself included in both. Hosts that have
// announced that they leave do not count, and of several descriptions with one address only one does. A host that has not heard from half of them may be
// cut off from the rest.
func (t *Table) Quorum(now time.Time) (heard, known int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	window := t.quorumWindow()
	addresses := map[string]bool{t.cfg.Self.PeerAddress: true} // whether the host was heard from
	for _, p := range t.hosts {
		if p.Zone != t.cfg.Self.Zone || p.Leaving {
			continue
		}
		recent := !p.lastMessage.IsZero() && now.Sub(p.lastMessage) <= window
		addresses[p.PeerAddress] = addresses[p.PeerAddress] || recent
	}
	for _, recent := range addresses {
		if recent {
			heard++
		}
	}
	b := &t.quorumBase
	known = max(len(addresses), b.known)
	if 2*heard >= known || now.Sub(b.at) > quorumMemory {
		known = len(addresses)
		*b = quorumBase{known, now}
	}
	return heard, known
}
