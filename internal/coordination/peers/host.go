package peers

import (
	"math"
	"net/netip"

	"github.com/gravitational/trace"
)

// Host describes one process of an entry host. It is kept in the store and sent in each message between hosts.
type Host struct {
	Name          string  `cbor:"1,keyasint" json:"name"`
	Zone          string  `cbor:"2,keyasint" json:"zone"`
	Started       int64   `cbor:"3,keyasint" json:"started"`                       // start of the process in Unix ms; a later start replaces an earlier one
	CallerAddress string  `cbor:"4,keyasint" json:"callers"`                       // IP:port for callers
	PeerAddress   string  `cbor:"5,keyasint" json:"peers"`                         // IP:port for messages between hosts, over UDP
	StateAddress  string  `cbor:"6,keyasint" json:"state"`                         // IP:port that serves the host's state to starting hosts, over TCP
	Cores         float64 `cbor:"7,keyasint" json:"cores"`                         // processor cores that the process may use
	LinkMbps      float64 `cbor:"8,keyasint,omitempty" json:"link_mbps,omitempty"` // bandwidth of the host's link in Mbit/s; 0 if not stated
	DetourAddress string  `cbor:"9,keyasint,omitempty" json:"detour,omitempty"`    // IP:port for requests of other hosts' callers, over TCP; empty if it takes none
}

// Check returns an error if the description is not that of a host which this host can reach and reckon with.
func (h Host) Check() error {
	if h.Name == "" || h.Zone == "" {
		return trace.BadParameter("a host has no name or no zone")
	}
	if _, err := netip.ParseAddrPort(h.PeerAddress); err != nil {
		return trace.BadParameter("the address %q of host %s for messages is not IP:port", h.PeerAddress, h.Name)
	}
	if !h.SizeIsPossible() {
		return trace.BadParameter("the cores or the bandwidth of host %s is negative or not a finite number", h.Name)
	}
	return nil
}

// SizeIsPossible reports whether cores and bandwidth are finite and not negative. Comparisons with NaN are false.
func (h Host) SizeIsPossible() bool {
	return h.Cores >= 0 && h.Cores <= math.MaxFloat64 && h.LinkMbps >= 0 && h.LinkMbps <= math.MaxFloat64
}

// Status is a host's state as it reports it in each message.
type Status struct {
	Ready   bool `cbor:"1,keyasint"`
	Leaving bool `cbor:"2,keyasint"`
	// HasStoreCopy is set once the host has a copy of the store's topics, even an empty one.
	HasStoreCopy bool `cbor:"3,keyasint"`
	// Rate is the number of requests per second that the host has recently received.
	Rate int `cbor:"4,keyasint"`
	// StoreFailing is set while the host's reads of the store fail and it knows of no other host that can read it.
	StoreFailing bool `cbor:"5,keyasint,omitempty"`
	// Coordinates is set while the host may be the coordinator of what the hosts of its zone share. It is not set on a host that has just started,
	// which does not know the other hosts yet, and on one that stops.
	Coordinates bool `cbor:"6,keyasint,omitempty"`
	// CutOff is set while the host has lost its way to the endpoints of a service that other hosts reach.
	CutOff bool `cbor:"7,keyasint,omitempty"`
	// Quotas is set while the host may grant permits for the requests of customers: its build supports them, and it hears from half of its zone.
	// Earlier builds leave it out.
	Quotas bool `cbor:"8,keyasint,omitempty"`
	// Version is that of the configuration in force on the host. 0 if there is none; earlier builds leave it out.
	Version uint64 `cbor:"9,keyasint,omitempty"`
}

// sameForCallers reports whether two statuses differ at most in what does not concern callers: the rate, which changes with nearly every
// message, whether the store answers, whether the host coordinates, what its build supports, and the configuration.
func (s Status) sameForCallers(other Status) bool {
	s.Rate, s.StoreFailing, s.Coordinates, s.Quotas, s.Version = other.Rate, other.StoreFailing, other.Coordinates, other.Quotas, other.Version
	return s == other
}
