package wire

import "github.com/arbutusspan/arbutusspan/internal/coordination/membership"

// MethodAnnounce is the method of Announce on the peer connections.
const MethodAnnounce = "Announce"

// Announce tells a peer of leaving upstreams.
type Announce struct {
	Marks []membership.LeavingMark `cbor:"1,keyasint"`
}

// AnnounceResponse acknowledges Announce: the marks are in force at the peer.
type AnnounceResponse struct{}
