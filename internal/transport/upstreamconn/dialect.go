package upstreamconn

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Dialect describes the request and response headers that the upstreams of a deployment understand. Header names are in canonical form.
type Dialect struct {
	RequestID  string // header that carries the request id, which the upstream repeats in the response. A request without an id gets one.
	DeadlineMS string // header that carries the milliseconds left until the deadline
	// EchoesID says that upstreams repeat the request id in all responses to requests, so that Send accepts none without it. Otherwise a response
	// without it is accepted if it can be no copy of an earlier one of its connection, but never as a refusal, and the connection is closed.
	EchoesID bool
	// SingleResponses says that the servers never write a response twice. They may then refuse a request that they have not read without its id.
	SingleResponses bool
	// HealthCheckIDs says that health checks carry a request id too.
	HealthCheckIDs bool
	// CustomerKey is the header that carries a caller's key to this host, and Customer the one that carries the customer's name to the upstream. Both
	// are empty in deployments whose callers send no keys.
	CustomerKey, Customer string
	// Instance adds the header that prevents another endpoint at the same address from executing the request. It is nil if the upstreams
	// support no such header.
	Instance func(e endpoints.Endpoint, h http.Header)
	// Interpret sets fields of the response, such as Refused, Leaving and InFlight, from its status and headers.
	Interpret func(e endpoints.Endpoint, r *executor.Response)
}

// defaultDialect is the upstream protocol that docs/design.md section 6 describes.
var defaultDialect = Dialect{RequestID: callerapi.UpstreamRequestID, DeadlineMS: callerapi.UpstreamDeadlineMS, Interpret: interpretDefault}

func interpretDefault(e endpoints.Endpoint, r *executor.Response) {
	r.NotRun = r.Status == http.StatusServiceUnavailable && r.Header.Get(callerapi.UpstreamRan) == "no"
	r.Leaving = r.Header.Get(callerapi.UpstreamState) == callerapi.StateLeaving
	if incarnation := r.Header.Get(callerapi.UpstreamIncarnation); incarnation != "" && e.Incarnation != "" {
		r.Replaced = incarnation != e.Incarnation
	}
	r.InFlight, r.Slots = parseLoad(r.Header.Get(callerapi.UpstreamLoad))
}

// parseLoad parses a load header of the form "inflight/slots". It returns zeros, which mean that no load was reported, for any other value.
func parseLoad(s string) (inFlight, slots int) {
	a, b, ok := strings.Cut(s, "/")
	if !ok {
		return 0, 0
	}
	inFlight, err1 := strconv.Atoi(a)
	slots, err2 := strconv.Atoi(b)
	if err1 != nil || err2 != nil || inFlight < 0 || slots < 0 {
		return 0, 0
	}
	return inFlight, slots
}
