// Package quota keeps the requests of a customer on all entry hosts together within its limit. One host, the customer's coordinator, holds the
// customer's token bucket and grants permits, one for each request. Hosts request permits ahead of their demand; permits expire, so that a
// host that is cut off or was suspended uses no more than it holds. The bucket of a new coordinator is nearly empty, because another host may have
// granted the rest until now. The package does no network I/O itself.
package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/lateness"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
)

const (
	// requestTimeout is the time after which a request for permits, or its response, counts as lost. Another host is asked too then.
	requestTimeout = 30 * time.Millisecond
	// lateGrantTime is how long after a request its grant is still accepted.
	lateGrantTime = time.Second
	// minTakeoverTime is the least time for which a coordinator must be silent although it is asked before the next host takes its place, and
	// takeoverWindow that time as a part of the quorum window. A host that is cut off with less than half of its zone has noticed that by then
	// (peers.Table.Quorum), or notices it soon after, and grants nothing.
	minTakeoverTime = 500 * time.Millisecond
	takeoverWindow  = 0.85
	// pingInterval is the interval at which a silent coordinator is asked for a response.
	pingInterval = 100 * time.Millisecond
	// tickInterval is the interval at which Tick is to be called.
	tickInterval = 20 * time.Millisecond
	// pauseLimit is the time between two calls of Tick that shows that the process was suspended. Another host may have become the coordinator.
	pauseLimit = 500 * time.Millisecond
	// resumeTime is how long after that requests get no permits. They may have been sent long before, when others used up the quota of that time.
	resumeTime = 250 * time.Millisecond
	// viewTime is how long a host uses what it found out about the hosts that may coordinate.
	viewTime = 100 * time.Millisecond
	// maxCandidates is the number of hosts of a zone that are asked in turn.
	maxCandidates = 4
	// unavailableDelay is the delay stated if there is no coordinator. Up to as much is added at random.
	unavailableDelay = 150 * time.Millisecond
	// maxAfter bounds the time for which a host refuses requests without asking: permits may be given back meanwhile.
	maxAfter = 250 * time.Millisecond
	// scarceTime is how long after a refusal the permits of a customer are left to requests that can be in time.
	scarceTime = 300 * time.Millisecond
	// unusedLifetime is how long the state of a customer is kept after its last use.
	unusedLifetime = 30 * time.Second
	// keptReturns is the number of returns that wait for a message.
	keptReturns = 64
	// returnDelay is how long a return waits for a request that takes it along.
	returnDelay = 50 * time.Millisecond
	// askerLifetime is how long a coordinator counts a host as one that asks.
	askerLifetime = time.Second
)

// Config holds the parts that a Limiter uses.
type Config struct {
	Tolerance Tolerance
	Host      string // name of this host
	Zone      string // availability zone of this host
	// Limit returns the limit of a customer in the configuration in force. ok is false if the customer has none.
	Limit func(customer string) (l Limit, ok bool)
	// Limited returns the names of the customers that have a limit.
	Limited func() []string
	// Hosts returns the hosts that may coordinate customers, by zone; see peers.Table.QuotaHosts.
	Hosts func(now time.Time) map[string][]peers.Host
	// HostsVersion rises when a message has changed the result of Hosts; see peers.Table.CoordinationVersion. Nil means that it is not known.
	HostsVersion func() uint64
	// LastMessage returns when the last message of a host arrived.
	LastMessage func(host string) time.Time
	// Quorum returns from how many hosts of this zone this host has heard lately, and how many it knows; see peers.Table.Quorum.
	Quorum func(now time.Time) (heard, known int)
	// QuorumWindow returns the time in which a host must have sent a message to count as heard from.
	QuorumWindow func() time.Duration
	// Lateness records when this host was late; nil if that is not known.
	Lateness *lateness.Meter
	// Send sends a message to the address of a host, without waiting. Messages may be lost.
	Send func(address string, requests []Request, grants []Grant)
	// OnEvent reports a change of what this host coordinates. Fields are pairs of names and values, as for eventlog.
	OnEvent func(event string, fields ...any)
}

// Limiter holds the permits of this host, and the buckets of the customers that it coordinates. It is safe for concurrent use.
type Limiter struct {
	cfg Config

	mu            sync.Mutex
	holdings      map[string]*holding     // by customer
	coordinated   map[string]*coordinated // by customer; those that this host coordinates
	hosts         hostsView
	views         map[string]*view         // by customer
	awaited       map[string]*awaited      // by host name; hosts of this zone that were asked
	outbox        map[string][]Request     // by address; requests that wait for the next message there
	transfers     map[string][]outgoing    // by address; transfers that are sent again
	pending       map[string]received      // by customer; transfers that wait until this host coordinates it
	handed        map[transferKey]numberAt // the last transfer from each host
	former        map[string]former        // by customer; buckets of customers that this host has coordinated lately
	lastNumber    uint64
	authority     peers.Authority
	share         float64   // of limits that this host may grant, as of its last call
	eligibleSince time.Time // from when on this host may coordinate
	startedAt     time.Time
	maintainedAt  time.Time
	maintainedFor uint64 // HostsVersion then
	lastTick      time.Time
	tickDue       time.Time // when Tick is to be called next
	resumedAt     time.Time
}

// awaited is a host that was asked.
type awaited struct {
	address  string
	customer string
	since    time.Time // when it was first asked since its last message
	pingedAt time.Time
}

// New returns a limiter.
func New(cfg Config, now time.Time) *Limiter {
	if cfg.HostsVersion == nil {
		cfg.HostsVersion = func() uint64 { return 0 }
	}
	return &Limiter{cfg: cfg, holdings: map[string]*holding{}, coordinated: map[string]*coordinated{}, awaited: map[string]*awaited{}, views: map[string]*view{},
		outbox: map[string][]Request{}, transfers: map[string][]outgoing{}, pending: map[string]received{}, handed: map[transferKey]numberAt{},
		former: map[string]former{}, authority: peers.Authority{Quorum: cfg.Quorum}, startedAt: now, lastNumber: uint64(now.UnixMicro()) << 10, lastTick: now, tickDue: now.Add(idleTickInterval)}
}

// Outcome says whether a request may run.
type Outcome string

// Outcomes.
const (
	Granted     Outcome = "granted"
	Exceeded    Outcome = "exceeded"    // the customer has used up its limit
	Unavailable Outcome = "unavailable" // no coordinator has answered
)

// Result is the result of Acquire.
type Result struct {
	Outcome    Outcome
	Permit     *Permit       // nil if the customer has no limit
	RetryAfter time.Duration // for the caller of a request that is refused
	Limit      Limit
}

// Permit allows one request to run.
type Permit struct {
	customer  string
	requested time.Time // when the permit was requested
	until     time.Time // when it expires
	limit     Limit     // under which it was granted
	returned  bool
}

// Acquire uses a permit of the customer, or waits for one for at most maxWait. Time in which this host was late does not count, up to mostWait in all: the grant
// may have arrived. It refuses at once if the limit is used up.
// A late request, one that can no longer be answered within its target latency, gets none while the customer exceeds its limit: the permit is worth more to
// one that can.
func (l *Limiter) Acquire(ctx context.Context, customer string, late bool, maxWait, mostWait time.Duration) Result {
	start := time.Now()
	result, w := l.begin(customer, late, start)
	if w == nil {
		return result
	}
	timer := lateness.NewTimer(l.cfg.Lateness, maxWait)
	defer timer.Stop()
	for {
		select {
		case result = <-w.done:
			return result
		case <-timer.C:
			now := time.Now()
			timer.Observe(now)
			left := min(maxWait-l.cfg.Lateness.Elapsed(start, now), mostWait-now.Sub(start))
			if left <= 0 {
				return l.abandon(customer, w)
			}
			timer.Reset(left)
		case <-ctx.Done():
			return l.abandon(customer, w)
		}
	}
}

// begin does the work of Acquire without waiting. If the waiter is not nil, it gets the result.
func (l *Limiter) begin(customer string, late bool, now time.Time) (Result, *waiter) {
	limit, limited := l.cfg.Limit(customer)
	if !limited {
		return Result{Outcome: Granted}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noticePause(now)
	h := l.holding(customer, limit, now)
	h.demand.Add(1, demandTime, now)
	if now.Sub(l.resumedAt) < resumeTime {
		return h.unavailable(), nil
	}
	if late && now.Before(h.scarceUntil) {
		return h.exceeded(l.cfg.Tolerance.Window, now), nil
	}
	if p := h.take(now); p != nil {
		l.topUp(h, now)
		return Result{Outcome: Granted, Permit: p, Limit: limit}, nil
	}
	if now.Before(h.refusedUntil) {
		return h.exceeded(l.cfg.Tolerance.Window, now), nil
	}
	list := l.find(customer, now)
	if len(list) > 0 && list[0].Name == l.cfg.Host {
		return l.grantSelf(h, now), nil
	}
	l.yield(customer, list, now)
	w := &waiter{done: make(chan Result, 1)}
	h.waiters = append(h.waiters, w)
	if l.awaitsGrant(h, now) {
		l.flush(h.asked[len(h.asked)-1].address)
	} else if !l.request(h, now, true) {
		h.waiters = h.waiters[:len(h.waiters)-1]
		return h.unavailable(), nil
	}
	return Result{}, w
}

// abandon ends the wait for a permit. The result may have arrived meanwhile.
func (l *Limiter) abandon(customer string, w *waiter) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.holdings[customer]
	select {
	case result := <-w.done:
		return result
	default:
	}
	h.removeWaiter(w)
	return h.unavailable()
}

// Refund returns the permit of a request that was not run, once. It is of use to another request of this host until it expires; afterwards it goes
// back to the coordinator, whose bucket counts it as if it had never been granted.
func (l *Limiter) Refund(p *Permit, now time.Time) {
	if p == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.returned {
		return
	}
	p.returned = true
	h := l.holdings[p.customer]
	switch c := l.coordinated[p.customer]; {
	case c != nil && c.bucket != nil:
		c.bucket.giveBack(1, now.Sub(p.requested), now)
	case h == nil:
	case now.Before(p.until):
		h.lots = append(h.lots, lot{1, p.requested, p.until, p.limit})
		h.serveWaiters(now)
	default:
		h.addReturn(1, p.requested, now)
	}
}

// unavailableRetryAfter returns the delay stated if there is no coordinator.
func unavailableRetryAfter() time.Duration { return unavailableDelay + rand.N(unavailableDelay) }

// noticePause records that this host is late if Tick is overdue, and forgets what this host coordinates if the process was suspended. l.mu must be held.
func (l *Limiter) noticePause(now time.Time) {
	l.cfg.Lateness.Observe(l.tickDue, now)
	paused := now.Sub(l.lastTick)
	if paused <= pauseLimit {
		return
	}
	l.lastTick, l.resumedAt, l.eligibleSince = now, now, now
	if len(l.coordinated) > 0 {
		l.cfg.OnEvent("quota_paused", "paused_ms", paused.Milliseconds(), "coordinated", len(l.coordinated))
	}
	l.suspend(now)
	clear(l.awaited)
}
