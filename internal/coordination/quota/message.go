package quota

import (
	"math"
	"time"

	"github.com/gravitational/trace"
)

// Request asks the coordinator of a customer for permits, and gives back those that are not needed. Times are ages when the message is sent, because
// hosts' clocks differ.
type Request struct {
	Customer string `cbor:"1,keyasint"`
	// Number identifies the request. It rises with each request of a host, also over restarts.
	Number uint64 `cbor:"2,keyasint"`
	Want   int    `cbor:"3,keyasint,omitempty"` // permits that are of use now; 0 asks only for a response
	// ReplyTo is the address of the host that asks; empty if it is the sender. Forwards is the number of hosts that have passed the request on.
	ReplyTo  string `cbor:"4,keyasint,omitempty"`
	Forwards int    `cbor:"5,keyasint,omitempty"`
	// PerSecond, Burst and Version are the limit that the sender knows.
	PerSecond float64  `cbor:"6,keyasint,omitempty"`
	Burst     float64  `cbor:"7,keyasint,omitempty"`
	Version   uint64   `cbor:"8,keyasint,omitempty"`
	Returned  []Return `cbor:"9,keyasint,omitempty"` // at most maxReturns
	// Tokens are those of the sender's bucket, which has coordinated the customer until now and has ended doing so.
	// Builds that know Transfer go by that.
	Tokens   float64   `cbor:"10,keyasint,omitempty"`
	Transfer *Transfer `cbor:"11,keyasint,omitempty"`
}

// Return is a number of permits that were granted together and not used.
type Return struct {
	Permits int   `cbor:"1,keyasint"`
	AgeMS   int64 `cbor:"2,keyasint"` // since they were requested
}

// Grant is the response to a Request.
type Grant struct {
	Customer string `cbor:"1,keyasint"`
	Number   uint64 `cbor:"2,keyasint"` // of the request
	Permits  int    `cbor:"3,keyasint,omitempty"`
	// AfterMS is the time until there may be more permits, if there were fewer than wanted.
	AfterMS int64 `cbor:"4,keyasint,omitempty"`
	// PerSecond, Burst and Version are the limit under which the permits were granted.
	PerSecond float64 `cbor:"5,keyasint,omitempty"`
	Burst     float64 `cbor:"6,keyasint,omitempty"`
	Version   uint64  `cbor:"7,keyasint,omitempty"`
	// Hosts is the number of hosts that have asked for permits of the customer in the last second.
	Hosts int `cbor:"8,keyasint,omitempty"`
}

// Bounds of the figures in messages.
const (
	maxPermits  = 100_000
	maxReturns  = 16
	maxForwards = 2
	maxAgeMS    = 3_600_000
	// MaxRequests is the maximum number of requests, and of grants, in one message. Each takes about 100 bytes.
	MaxRequests = 32
)

func finite(f float64) bool { return f >= 0 && f <= math.MaxFloat64 } // NaN compares false

// Check returns an error if the request is none that a host sends.
func (r *Request) Check() error {
	if r.Customer == "" || r.Want < 0 || r.Want > maxPermits || r.Forwards < 0 || r.Forwards > maxForwards || len(r.Returned) > maxReturns ||
		!finite(r.PerSecond) || !finite(r.Burst) || !finite(r.Tokens) {
		return trace.BadParameter("a request for permits names no customer, or a figure that no host sends: %d permits, %v/s, burst %v", r.Want, r.PerSecond, r.Burst)
	}
	if t := r.Transfer; t != nil && !(finite(t.Tokens) && finite(t.Debt) && finite(t.Granted)) {
		return trace.BadParameter("a transfer of %v tokens, a debt of %v, after %v permits: no host has such a bucket", t.Tokens, t.Debt, t.Granted)
	}
	for _, g := range r.Returned {
		if g.Permits < 0 || g.Permits > maxPermits || g.AgeMS < 0 || g.AgeMS > maxAgeMS {
			return trace.BadParameter("a request returns %d permits of %d ms ago", g.Permits, g.AgeMS)
		}
	}
	return nil
}

// Check returns an error if the grant is none that a coordinator sends.
func (g *Grant) Check() error {
	if g.Customer == "" || g.Permits < 0 || g.Permits > maxPermits || g.AfterMS < 0 || g.AfterMS > maxAgeMS || !finite(g.PerSecond) || !finite(g.Burst) || g.Hosts < 0 {
		return trace.BadParameter("a grant of %d permits after %d ms: not 0 to %d permits, or names no customer", g.Permits, g.AfterMS, maxPermits)
	}
	return nil
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
