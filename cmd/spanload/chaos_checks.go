package main

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
	"github.com/arbutusspan/arbutusspan/internal/transport/admin"
)

// Names of the checks, in the order in which they are printed.
const (
	measuring   = "1 measuring within budget"
	answers     = "2 whole and own answers"
	notRun      = "3 not run means not run"
	atMostOnce  = "4 non-idempotent at most once"
	leaving     = "5 no new work for leaving upstreams"
	plannedStop = "6 planned stops fail nothing"
	inForce     = "7 accepted is in force within 6 s"
	noRevert    = "7 no revision goes back"
	oneWinner   = "7 one winner of a race"
	urgentFirst = "urgent answered in overload"
	fairness    = "no harm by other customers"
	rateSum     = "rate over all hosts"
	recovery    = "tail after overload"
	retries     = "retries within the allowance"
	failingFast = "failing endpoint gets no traffic"
	callerConns = "2 to 4 over broken connections"
)

var checkNames = []string{measuring, answers, notRun, atMostOnce, leaving, plannedStop, inForce, noRevert, oneWinner, urgentFirst, fairness, rateSum, recovery,
	retries, failingFast, callerConns}

// Bounds that the design states.
const (
	leavingBound = 3 * time.Second
	inForceBound = 6 * time.Second
)

const (
	watchInterval = 150 * time.Millisecond
	// watchTimeout ends questions to frozen hosts.
	watchTimeout = 2 * time.Second
)

// watchedHost is what the watch knows of one host.
type watchedHost struct {
	name string
	// apart counts faults that keep the host from others. The bounds of guarantees 5 and 7 hold within what is connected, so
	// they begin anew when the host is back, at since.
	apart     int
	since     time.Time   // zero until the host has answered for the first time since its start
	starts    []time.Time // of its processes
	revisions map[string]uint64
	judged    map[accepted]bool
}

// accepted is a revision that an operator was told is accepted.
type accepted struct {
	customer string
	revision uint64
}

// drained is an endpoint that some host has marked as leaving.
type drained struct {
	first    time.Time // when the mark was first seen on any host
	baseline int64     // requests that had arrived by the bound; -1 before
	replaced bool      // another incarnation runs at the address
}

// watch polls all hosts and checks guarantees 5 and 7.
type watch struct {
	c      *chaos
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	hosts  []*watchedHost
	took   map[accepted]time.Time
	marks  map[endpoints.ID]*drained
}

func newWatch(c *chaos) *watch {
	w := &watch{c: c, took: map[accepted]time.Time{}, marks: map[endpoints.ID]*drained{}}
	for _, h := range c.Hosts {
		w.hosts = append(w.hosts, &watchedHost{name: h.Name})
	}
	return w
}

func (w *watch) start() {
	ctx, cancel := context.WithCancel(w.c.ctx)
	w.cancel = cancel
	every := func(do func()) {
		w.wg.Go(func() {
			for ctx.Err() == nil {
				do()
				time.Sleep(watchInterval)
			}
		})
	}
	for i := range w.hosts {
		every(func() { w.pollRevisions(ctx, i) })
		every(func() { w.pollMarks(ctx, i) })
	}
	every(func() { w.pollDrained(ctx) })
}

func (w *watch) stop() {
	if w.cancel != nil {
		w.cancel()
		w.wg.Wait()
	}
}

// started tells that a host's process was started again.
func (w *watch) started(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.hosts[i]
	h.starts = append(h.starts, time.Now())
	h.since, h.revisions, h.judged = time.Time{}, map[string]uint64{}, map[accepted]bool{}
}

// apart tells that a host is kept from others, or that this has ended.
func (w *watch) apart(i, by int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[i].apart += by
	w.hosts[i].since = time.Now()
}

// totalStarts returns how many host processes were started so far.
func (w *watch) totalStarts() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.hosts {
		n += len(h.starts)
	}
	return n
}

// startsOf returns when a host's processes were started.
func (w *watch) startsOf(i int) []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.hosts[i].starts)
}

// processesIn returns how many host processes ran at any time between two times. One that was killed counts until the next start.
func (w *watch) processesIn(from, to time.Time) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.hosts {
		for i, start := range h.starts {
			if !start.After(to) && (i+1 == len(h.starts) || h.starts[i+1].After(from)) {
				n++
			}
		}
	}
	return n
}

func (w *watch) accept(customer string, revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.took[accepted{customer, revision}] = time.Now()
}

func (w *watch) replaced(id endpoints.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if d := w.marks[id]; d != nil {
		d.replaced = true
	}
}

// pollRevisions asks a host itself for its revisions. /v1/status would also ask the others and wait for frozen ones.
func (w *watch) pollRevisions(ctx context.Context, i int) {
	w.mu.Lock()
	starts := len(w.hosts[i].starts)
	w.mu.Unlock()
	asked := time.Now()
	var list admin.ContractList
	if operatorCall(ctx, http.MethodGet, w.c.Hosts[i].OperatorURL()+"/v1/contracts", nil, &list) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.hosts[i]
	if len(h.starts) != starts {
		return
	}
	if h.since.IsZero() {
		h.since = time.Now()
	}
	now := map[string]uint64{}
	for _, s := range list.Contracts {
		now[s.Customer] = s.Revision
	}
	for customer, before := range h.revisions {
		w.c.ledger.Check(noRevert, now[customer] >= before, "%s of %s went from %d to %d", customer, h.name, before, now[customer])
	}
	h.revisions = now
	for a, at := range w.took {
		due := at
		if h.since.After(due) {
			due = h.since
		}
		if h.apart > 0 || h.judged[a] || !asked.After(due.Add(inForceBound)) {
			continue
		}
		h.judged[a] = true
		w.c.ledger.Check(inForce, now[a.customer] >= a.revision, "%s has revision %d of %s, %d was accepted %.1f s ago", h.name, now[a.customer], a.customer, a.revision, time.Since(at).Seconds())
	}
}

func (w *watch) pollMarks(ctx context.Context, i int) {
	var view struct {
		Marks []endpoints.LeavingMark `json:"marks"`
	}
	if operatorCall(ctx, http.MethodGet, w.c.Hosts[i].OperatorURL()+"/v1/members", nil, &view) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range view.Marks {
		if w.marks[m.ID] == nil {
			w.marks[m.ID] = &drained{first: time.Now(), baseline: -1}
		}
	}
}

// due returns when the bound of a mark has passed, and false while a host is apart or has not come back.
func (w *watch) due(d *drained) (time.Time, bool) {
	from := d.first
	for _, h := range w.hosts {
		if h.apart > 0 || h.since.IsZero() {
			return time.Time{}, false
		}
		if h.since.After(from) {
			from = h.since
		}
	}
	return from.Add(leavingBound), true
}

// pollDrained checks that nothing arrives at leaving endpoints after the bound. The count at the first poll after the bound
// is the baseline.
func (w *watch) pollDrained(ctx context.Context) {
	w.mu.Lock()
	var ids []endpoints.ID
	for id, d := range w.marks {
		due, connected := w.due(d)
		if !d.replaced && (d.baseline >= 0 || connected && time.Now().After(due)) {
			ids = append(ids, id)
		}
	}
	w.mu.Unlock()
	for _, id := range ids {
		arrived, ok := arrivals(ctx, id)
		if !ok {
			continue
		}
		w.mu.Lock()
		d := w.marks[id]
		if !d.replaced {
			if d.baseline >= 0 {
				w.c.ledger.Check(leaving, arrived <= d.baseline, "%s got %d requests, the last one at most %.1f s after the mark was first seen", id, arrived-d.baseline, time.Since(d.first).Seconds())
			}
			d.baseline = arrived
		}
		w.mu.Unlock()
	}
}

// arrivals returns how many requests an endpoint has got, whatever became of them.
func arrivals(ctx context.Context, id endpoints.ID) (int64, bool) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var s standin.Stats
	if testbed.GetJSON(ctx, "http://"+id.Address+"/standin/stats", &s) != nil {
		return 0, false
	}
	return s.Ran + s.Shed + s.Expired + s.Cancelled + s.RefusedLeaving + s.FailedFast + s.Waiting, true
}
