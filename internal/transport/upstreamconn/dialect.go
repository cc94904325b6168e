package upstreamconn

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Dialect names the headers that upstreams of a deployment understand, in canonical form.
type Dialect struct {
	RequestID  string // names the request; answers repeat it
	DeadlineMS string // milliseconds that are left
	// Instance adds the header that keeps another endpoint at the same address from running the request. Nil if upstreams know none.
	Instance func(e endpoints.Endpoint, h http.Header)
	// Interpret fills what the headers of an answer of the endpoint say into the other fields.
	Interpret func(e endpoints.Endpoint, r *executor.Response)
}

// ownDialect is what docs/design.md section 6 describes.
var ownDialect = Dialect{RequestID: callerapi.UpstreamRequestID, DeadlineMS: callerapi.UpstreamDeadlineMS, Interpret: interpretOwn}

func interpretOwn(e endpoints.Endpoint, r *executor.Response) {
	r.NotRun = r.Status == http.StatusServiceUnavailable && r.Header.Get(callerapi.UpstreamRan) == "no"
	r.Leaving = r.Header.Get(callerapi.UpstreamState) == callerapi.StateLeaving
	if incarnation := r.Header.Get(callerapi.UpstreamIncarnation); incarnation != "" && e.Incarnation != "" {
		r.Replaced = incarnation != e.Incarnation
	}
	r.InFlight, r.Slots = parseLoad(r.Header.Get(callerapi.UpstreamLoad))
}

// parseLoad reads "inflight/slots". Anything else counts as no report.
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
