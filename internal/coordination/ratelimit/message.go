package ratelimit

import (
	"math"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/ratelimits"
)

// Statement is what an endpoint has said about its limit, in a message. Times are ages when the message is sent, because hosts' clocks differ.
type Statement struct {
	ID            endpoints.ID `cbor:"1,keyasint"`
	PerSecond     float64      `cbor:"2,keyasint"` // infinite if the endpoint names no limit any more
	SentAgoMS     int64        `cbor:"3,keyasint"` // since the request was sent
	AnsweredAgoMS int64        `cbor:"4,keyasint"` // since the response arrived
}

// NewStatement returns the message of a statement.
func NewStatement(id endpoints.ID, s ratelimits.Statement, now time.Time) Statement {
	return Statement{ID: id, PerSecond: s.PerSecond, SentAgoMS: age(s.SentAt, now), AnsweredAgoMS: age(s.AnsweredAt, now)}
}

// maxAgeMS bounds the ages in a message in milliseconds. No request runs, and no statement is repeated, for a day.
const maxAgeMS = 24 * 3_600_000

// age returns the time since a moment in milliseconds, for a message. The sender may have taken its time before the moment.
func age(at, now time.Time) int64 { return min(max(0, now.Sub(at).Milliseconds()), maxAgeMS) }

// Check returns an error if the statement has figures that no host sends.
func (s *Statement) Check() error {
	switch {
	case s.ID.Address == "" || s.ID.Incarnation == "":
		return trace.BadParameter("a limit names no endpoint")
	case math.IsNaN(s.PerSecond) || s.PerSecond < 0:
		return trace.BadParameter("the limit of %s is %v: no rate", s.ID, s.PerSecond)
	case s.AnsweredAgoMS < 0 || s.AnsweredAgoMS > s.SentAgoMS || s.SentAgoMS > maxAgeMS:
		return trace.BadParameter("the limit of %s is %d ms old, and was asked for %d ms ago", s.ID, s.AnsweredAgoMS, s.SentAgoMS)
	}
	return nil
}

// unknownStatement returns the message about an endpoint that has named no limit. It is so old that it replaces none that its receiver knows.
func unknownStatement(id endpoints.ID) Statement {
	return Statement{ID: id, PerSecond: ratelimits.Unlimited, SentAgoMS: maxAgeMS, AnsweredAgoMS: maxAgeMS}
}

// At returns the statement with times of this host's clock.
func (s *Statement) At(now time.Time) ratelimits.Statement {
	return ratelimits.Statement{PerSecond: s.PerSecond, SentAt: now.Add(-time.Duration(s.SentAgoMS) * time.Millisecond),
		AnsweredAt: now.Add(-time.Duration(s.AnsweredAgoMS) * time.Millisecond)}
}

// Request asks the coordinator of an endpoint for permits.
type Request struct {
	ID      endpoints.ID `cbor:"1,keyasint"`
	Zone    string       `cbor:"2,keyasint"` // availability zone of the endpoint
	Number  uint64       `cbor:"3,keyasint"` // the response repeats it
	ReplyTo string       `cbor:"4,keyasint"` // address of the host that asks; empty if it is the sender
	// Statement is what the host that asks knows of the limit.
	Statement Statement `cbor:"5,keyasint"`
	// MaxWaitMS is how long after the request a permit is still of use.
	MaxWaitMS int64 `cbor:"6,keyasint,omitempty"`
	// Cold is set if the host that asks knows the endpoint as cold. Without it, the coordinator goes by its own knowledge alone, as it does with requests
	// of earlier versions.
	Cold *Cold `cbor:"7,keyasint,omitempty"`
}

// maxWaitMS bounds Request.MaxWaitMS and Grant.AfterMS in milliseconds. Reservations do not add up to more than the time of a request.
const maxWaitMS = 600_000

// Check returns an error if the request is none that a host sends.
func (r *Request) Check() error {
	if r.ID != r.Statement.ID || r.Zone == "" || r.MaxWaitMS < 0 || r.MaxWaitMS > maxWaitMS {
		return trace.BadParameter("a request for permits names no zone, or two endpoints, or waits for %d ms: not 0 to %d", r.MaxWaitMS, maxWaitMS)
	}
	if err := r.Cold.check(r.ID); err != nil {
		return err
	}
	return r.Statement.Check()
}

// Grant is the response to a Request.
type Grant struct {
	ID      endpoints.ID `cbor:"1,keyasint"`
	Number  uint64       `cbor:"2,keyasint"` // of the request
	Permits int          `cbor:"3,keyasint"`
	AfterMS int64        `cbor:"4,keyasint"` // until the permits may be used; without permits, until there may be one
	// Statement is what the coordinator knows of the limit.
	Statement Statement `cbor:"5,keyasint"`
	// PerSecond is the limit under which the permits were granted, in requests per second. It is missing in grants of earlier versions, whose
	// coordinators apply the limit of Statement, and if it is that limit.
	PerSecond float64 `cbor:"6,keyasint,omitempty"`
}

// limit returns the limit under which the permits were granted, in requests per second.
func (g *Grant) limit() float64 {
	if g.PerSecond > 0 {
		return min(g.PerSecond, g.Statement.PerSecond)
	}
	return g.Statement.PerSecond
}

// Check returns an error if the grant is none that a coordinator sends.
func (g *Grant) Check() error {
	if g.ID != g.Statement.ID || g.Permits < 0 || g.Permits > maxPermits || g.AfterMS < 0 || g.AfterMS > maxWaitMS {
		return trace.BadParameter("a grant of %d permits for %s after %d ms: not 0 to %d permits, or not within %d ms", g.Permits, g.ID, g.AfterMS, maxPermits, maxWaitMS)
	}
	if math.IsNaN(g.PerSecond) || g.PerSecond < 0 {
		return trace.BadParameter("a grant for %s under a limit of %v: no rate", g.ID, g.PerSecond)
	}
	return g.Statement.Check()
}
