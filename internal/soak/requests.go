package soak

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

// How a request ended for its caller.
const (
	answered = "answered" // a whole answer came
	closed   = "closed"   // the connection ended without one
	silent   = "silent"   // nothing came while the caller waited
	left     = "left"     // the caller closed the connection
)

// request is one request of a caller. It is written by the caller until end is set.
type request struct {
	id, method, target, digest string
	route                      string
	idempotent                 bool
	deadline                   time.Duration
	host                       *host
	sent, ended                time.Time
	end                        string
	status                     int
	signed                     bool
	unread                     bool // it was sent behind an answer that closes the connection, or never in full
	calm                       bool // sent at the calm end of the run
}

// requestLog keeps requests and arrivals.
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

// endpointFates keeps when endpoints began to leave, and which ones were killed.
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
