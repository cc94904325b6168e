// Package dispatch decides which endpoint of an upstream receives a request, and when. Each service has a queue at one entry
// host, its owner. The entry host that received a request from a caller is the request's executor: it acquires a Grant from the
// owner through a Granter, sends the request itself, and releases the grant with the outcome. While the owner does not respond,
// the host that follows it in the rendezvous ranking serves the queue as acting owner.
package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// Request describes a request for which a grant is acquired. It has no body, because bodies stay at the executor.
type Request struct {
	ID                string // request id, for logs and dumps
	Customer          string
	Service           string
	Class             contract.Class
	Idempotent        bool
	Attempt           int            // 0 for the first grant of a request; later attempts do not count against the rate
	Deadline          time.Time      // the response must be complete by then
	ExcludedEndpoints []endpoints.ID // endpoints that must not be chosen: they failed this request or are still processing it
	// NoWait requests a grant only if a slot is free and no other request is waiting; otherwise the request is denied at
	// once. Such a request displaces no other one and is granted neither as a prefetch nor as a trial.
	NoWait bool
}

// Grant is the permission to send one request to one endpoint immediately. It ends when it is released.
type Grant struct {
	ID       uint64 // unique within its Granter
	Endpoint endpoints.Endpoint
	Owner    string // host that issued the grant, for logs
	Trial    bool   // the request is a trial of an ejected endpoint
}

// Result classifies how a granted request ended.
type Result uint8

// Results. Only ResultCompleted, and ResultCancelled after an unusually long time, update the endpoint's average service time.
const (
	ResultCompleted   Result = iota // a complete response with a status below 500
	ResultServerError               // a response with a status of 500 or above
	ResultRefused                   // the upstream refused the request in the way that the protocol defines and did not run it
	ResultNoResponse                // bytes were sent, but no complete response arrived
	ResultNotSent                   // no byte was sent
	ResultCancelled                 // the caller disconnected or the deadline passed before the response was complete
)

// Outcome is what the executor observed for one granted request.
type Outcome struct {
	Result      Result
	ServiceTime time.Duration // from the first byte sent to the end of the response
	Leaving     bool          // the upstream reported that it is leaving
	InFlight    int           // requests in flight that the upstream reports; valid if Slots > 0
	Slots       int           // slots that the upstream reports; 0 if it reports none
}

// Granter issues grants. Implementations are safe for concurrent use.
type Granter interface {
	// Acquire waits for a grant. The error is a *DeniedError, or the context's error if the context ends first; in both cases
	// there is no grant to release.
	Acquire(ctx context.Context, r Request) (Grant, error)
	// Release ends a grant. It must be called exactly once for each grant.
	Release(g Grant, o Outcome)
}

// DeniedError is the error for a request that received no grant. Such a request was not sent to any endpoint.
type DeniedError struct {
	Reason     refusals.Reason
	Detail     string
	Limit      float64 // the enforced value; valid if Unit is set
	Observed   float64
	Unit       string
	LimitName  string        // name of the limit, as in limits.Clause, or empty
	RetryAfter time.Duration // delay before another attempt can succeed
}

func (d *DeniedError) Error() string { return fmt.Sprintf("%s: %s", d.Reason, d.Detail) }
