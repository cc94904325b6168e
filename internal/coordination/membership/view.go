package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Member is one entry host in a View.
type Member struct {
	Host        string         `json:"host"`
	Incarnation string         `json:"incarnation"` // 16 hex digits
	IP          netip.Addr     `json:"ip"`
	CallerPort  uint16         `json:"caller_port"`
	PeerPort    uint16         `json:"peer_port"`
	Zone        string         `json:"zone"`
	State       State          `json:"state"`
	Suspected   bool           `json:"suspected,omitempty"`
	Position    int64          `json:"position"`
	Started     time.Time      `json:"started"` // estimated process start on this host's clock; too late by the network delay of the record
	PeerAddress netip.AddrPort `json:"-"`       // address of the peer port
}

// epochLength is the length of an epoch of idempotency keys (docs/design.md, section 7).
const epochLength = time.Minute

// KeyPrefix returns the prefix for new idempotency keys whose requests the member executes.
func (m *Member) KeyPrefix(now time.Time) string {
	return keyPrefix(m.Host, m.Incarnation, max(0, int64(now.Sub(m.Started)/epochLength)))
}

// View is an immutable snapshot of the membership. It contains no dead members.
type View struct {
	Self    string
	Members []Member // ordered by host, this host included
	Version uint64   // incremented at each change
	// Superseded is set if a later incarnation with this host's name is known: either another process uses the same name, or the
	// clock was set back between two starts of this host.
	Superseded bool
}

// LiveMembers returns all members that are not dead, this host included.
func (v *View) LiveMembers() []Member { return v.Members }

// ServingHosts returns the sorted names of the members that are serving and not suspected. Services are assigned to owners among these
// members, so a paused owner is replaced as soon as it is suspected. A false suspicion only costs performance, because correctness
// does not depend on ownership.
func (v *View) ServingHosts() []string {
	var names []string
	for i := range v.Members {
		if v.Members[i].State == Serving && !v.Members[i].Suspected {
			names = append(names, v.Members[i].Host)
		}
	}
	return names
}

// Member returns the member with the given name, or nil.
func (v *View) Member(host string) *Member {
	i, ok := slices.BinarySearchFunc(v.Members, host, func(m Member, host string) int { return cmp.Compare(m.Host, host) })
	if !ok {
		return nil
	}
	return &v.Members[i]
}

// HighestPosition returns the member with the highest configuration position, or nil if there are no members.
func (v *View) HighestPosition() *Member {
	var best *Member
	for i := range v.Members {
		if best == nil || v.Members[i].Position > best.Position {
			best = &v.Members[i]
		}
	}
	return best
}
