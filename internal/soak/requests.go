package soak

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

// Outcomes of a request for its caller.
const (
	answered   = "answered" // a complete response was read
	connClosed = "closed"   // the connection ended without a complete response
	timedOut   = "silent"   // there was no complete response before the caller's timeout
	cancelled  = "left"     // the caller closed the connection
)

// request is one request of a caller. Only the caller accesses it until it is added to the requestLog.
type request struct {
	id, method, target, digest string
	route                      string
	idempotent                 bool
	deadline                   time.Duration // after sent
	host                       *host
	sent, ended                time.Time
	bodySent                   time.Time // when the last byte of a slow body was sent; zero for other requests
	outcome                    string
	status                     int
	signed                     bool   // the response comes from an endpoint
	signer                     string // id of that endpoint
	failure                    string // why no complete response was read
	kind                       callerKind
	connection                 int64 // number of its connection
	ahead                      int   // requests of its connection that were unanswered when it was sent
	unsent                     bool  // it could not be written in full
	unread                     bool  // the host may not have read it: its connection was closed after an earlier response, or it was not sent in full
	faultFree                  bool  // sent in the fault-free period at the end of the run
}

// requestLog records the requests of callers and their arrivals at endpoints.
type requestLog struct {
	mu        sync.Mutex
	list      []*request
	arrivals  []platformtest.Arrival
	completed map[run]platformtest.Completion
	endpoints endpointStates
}

func (l *requestLog) add(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, r)
}

func (l *requestLog) arrived(a platformtest.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// run is a run of a request at an endpoint.
type run struct{ id, endpoint string }

func (l *requestLog) runCompleted(c platformtest.Completion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.completed == nil {
		l.completed = map[run]platformtest.Completion{}
	}
	l.completed[run{c.ID, c.Endpoint}] = c
}

// endpointStates records when endpoints began to leave, and which ones were killed.
type endpointStates struct {
	leaving       map[string]time.Time // when the store acknowledged that the endpoint leaves
	statedLeaving map[string]time.Time // since when all responses of the endpoint state that it leaves
	killed        map[string]bool
	ended         map[string]time.Time // when the endpoint was stopped as planned
	limits        map[string][]limitSpan
}

func (l *requestLog) endpointLeaving(endpoint string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endpoints.leaving == nil {
		l.endpoints.leaving = map[string]time.Time{}
	}
	l.endpoints.leaving[endpoint] = at
}

func (l *requestLog) endpointStatesLeaving(endpoint string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endpoints.statedLeaving == nil {
		l.endpoints.statedLeaving = map[string]time.Time{}
	}
	l.endpoints.statedLeaving[endpoint] = at
}

func (l *requestLog) endpointEnded(endpoint string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endpoints.ended == nil {
		l.endpoints.ended = map[string]time.Time{}
	}
	l.endpoints.ended[endpoint] = at
}

func (l *requestLog) endpointKilled(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endpoints.killed == nil {
		l.endpoints.killed = map[string]bool{}
	}
	l.endpoints.killed[endpoint] = true
}

// complete returns when the request had been sent in full.
func (r *request) complete() time.Time {
	if r.bodySent.IsZero() {
		return r.sent
	}
	return r.bodySent
}

// served reports whether the caller got a successful response of an endpoint.
func (r *request) served() bool { return r.signed && r.status == http.StatusOK }

// result describes how the request ended, for reports.
func (r *request) result() string {
	return strings.Join([]string{r.host.name, r.route, r.outcome, strconv.Itoa(r.status)}, " ")
}

func (r *request) String() string {
	return strings.Join([]string{r.id, r.route, r.host.name, r.outcome, strconv.Itoa(r.status)}, " ")
}
