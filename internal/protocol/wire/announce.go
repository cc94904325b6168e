package wire

import "github.com/arbutusspan/arbutusspan/internal/coordination/membership"

// MethodAnnounce is the method on peer connections that takes an Announce message.
const MethodAnnounce = "Announce"

// Announce reports leaving upstreams to a peer.
type Announce struct {
	Marks []membership.LeavingMark `cbor:"1,keyasint"`
}

// AnnounceResponse acknowledges an Announce message: the peer has applied the marks.
type AnnounceResponse struct{}
