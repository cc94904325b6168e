package soak

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

// Outcomes of a request for its caller.
const (
	answered = "answered" // a complete response was read
	closed   = "closed"   // the connection ended without a complete response
	silent   = "silent"   // there was no complete response before the caller's timeout
	left     = "left"     // the caller closed the connection
)

// request is one request of a caller. Only the caller accesses it until it is added to the requestLog.
type request struct {
	id, method, target, digest string
	route                      string
	idempotent                 bool
	deadline                   time.Duration // after sent
	host                       *host
	sent, ended                time.Time
	end                        string
	status                     int
	signed                     bool // the response comes from an endpoint
	unread                     bool // the host may not have read it: the connection was closed after an earlier response, or the request was not sent in full
	calm                       bool // sent in the fault-free period at the end of the run
}

// requestLog records the requests of callers and their arrivals at endpoints.
type requestLog struct {
	mu       sync.Mutex
	list     []*request
	arrivals []platformtest.Arrival
	fates    endpointFates
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

// endpointFates records when endpoints began to leave, and which ones were killed.
type endpointFates struct {
	leaving map[string]time.Time
	ended   map[string]bool
}

func (l *requestLog) leaves(endpoint string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fates.leaving == nil {
		l.fates.leaving = map[string]time.Time{}
	}
	l.fates.leaving[endpoint] = at
}

func (l *requestLog) endpointEnded(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fates.ended == nil {
		l.fates.ended = map[string]bool{}
	}
	l.fates.ended[endpoint] = true
}

func (r *request) String() string {
	return strings.Join([]string{r.id, r.route, r.host.name, r.end, strconv.Itoa(r.status)}, " ")
}
