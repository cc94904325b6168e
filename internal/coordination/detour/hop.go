package detour

import (
	"net/netip"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// MaxTried is the maximum length of HopRequest.Tried, and MaxDetailBytes that of HopResult.Detail.
const (
	MaxTried       = 16
	MaxDetailBytes = 200
)

// HopRequest is what a host tells the next one about a request.
type HopRequest struct {
	From    string `cbor:"1,keyasint"` // host that got the request from its caller
	Service string `cbor:"2,keyasint"` // service that it has chosen
	Version uint64 `cbor:"3,keyasint"` // of its configuration
	Waited  int64  `cbor:"4,keyasint"` // ms since the request reached the host
	// Attempts is the number of endpoints to which the request may be sent.
	Attempts int            `cbor:"5,keyasint"`
	Caller   netip.Addr     `cbor:"6,keyasint"`           // address of the caller
	Tried    []endpoints.ID `cbor:"7,keyasint,omitempty"` // endpoints to which the request is not sent again, at most MaxTried
	// Counted is set if the first host has counted the request for its repeat budget.
	Counted bool `cbor:"8,keyasint,omitempty"`
	// Late is set if an answer after the target latency is wanted, because an earlier send has failed or hangs.
	Late bool `cbor:"9,keyasint,omitempty"`
	// WaitedBefore is how long the caller had waited before this attempt, in ms, by the times that it states. 0 from hosts that do not estimate it.
	WaitedBefore int64 `cbor:"10,keyasint,omitempty"`
}

// WaitedFor returns Waited as a duration.
func (r *HopRequest) WaitedFor() time.Duration { return time.Duration(r.Waited) * time.Millisecond }

// WaitedBeforeFor returns WaitedBefore as a duration.
func (r *HopRequest) WaitedBeforeFor() time.Duration {
	return time.Duration(r.WaitedBefore) * time.Millisecond
}

// HopResult is how a request ended at the host through which it went.
type HopResult struct {
	Outcome string       `cbor:"1,keyasint"`           // a forward.Outcome
	Retry   int64        `cbor:"2,keyasint,omitempty"` // ms until the caller should come back; 0 if that is not known
	Sends   int          `cbor:"3,keyasint,omitempty"` // endpoints that the request may have reached
	ID      endpoints.ID `cbor:"4,keyasint"`           // endpoint that answered
	Detail  string       `cbor:"5,keyasint,omitempty"` // cause of a failure
	// Version is that of the host's configuration. 0 from hosts that do not state it.
	Version uint64 `cbor:"6,keyasint,omitempty"`
}

// RetryAfter returns Retry as a duration.
func (r *HopResult) RetryAfter() time.Duration { return time.Duration(r.Retry) * time.Millisecond }
