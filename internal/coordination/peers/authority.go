package peers

import "time"

// authorityTime is how long a host uses the number of hosts that it hears from.
const authorityTime = 50 * time.Millisecond

// Authority is what a host may do of what the coordinator does for all hosts of its zone. A host that hears from less than half of its zone may be cut off
// from the coordinator, and takes itself for it. It is not safe for concurrent use.
type Authority struct {
	// Quorum returns from how many hosts of the zone this host has heard lately, and how many it knows; see Table.Quorum.
	Quorum func(now time.Time) (heard, known int)

	Heard, Known int // at the last call of Part
	at           time.Time
}

// Part returns the part of a limit that this host may grant as the coordinator: all of it if it hears from more than half of its zone, half of it with exactly
// half, since the other half may do the same, and otherwise nothing.
func (a *Authority) Part(now time.Time) float64 {
	if a.at.IsZero() || now.Sub(a.at) >= authorityTime {
		a.Heard, a.Known = a.Quorum(now)
		a.at = now
	}
	switch {
	case 2*a.Heard > a.Known:
		return 1
	case 2*a.Heard == a.Known:
		return 0.5
	default:
		return 0
	}
}

// HearsAll reports whether this host hears from all hosts of its zone.
func (a *Authority) HearsAll() bool { return a.Heard >= a.Known }

// Coordinates reports whether this host coordinates something that belongs to a zone and a key, see Coordinator. A host without a quorum may be cut off from the
// coordinator, and takes itself for it; it does not coordinate.
func (t *Table) Coordinates(zone, key string, now time.Time) bool {
	_, self, ok := t.Coordinator(zone, key, 0, now)
	return ok && self && t.HasQuorum(now)
}

// HasQuorum reports whether this host hears from at least half of the hosts that it knows in its zone, so that it may act as a coordinator.
func (t *Table) HasQuorum(now time.Time) bool {
	heard, known := t.Quorum(now)
	return 2*heard >= known
}
