// Package ratelimit keeps the requests of all entry hosts to an endpoint within the limit that the endpoint has named. One host of the
// endpoint's availability zone, the coordinator, divides the limit: it grants permits, one for each request. A host sends nothing to a
// limited endpoint without a permit, so a host that reaches no coordinator, or has just started, sends nothing there once it knows of the limit.
// The rate at which an endpoint takes requests while it is cold is such a limit too, for as long as it is cold; see cold.go.
// The package does no network I/O itself.
package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/announce"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/ratelimits"
)

const (
	// usedShare is the share of a limit that is granted. The rest is a reserve for the moments in which two hosts take themselves for the
	// coordinator.
	usedShare = 0.9
	// minPerSecond is the least rate of permits. With it, requests show when an endpoint that named a lower limit, or 0, takes more again.
	minPerSecond = 0.25
	// burstTime is the time in which unused permits add up, and permitLifetime the time for which a host may use a permit.
	burstTime      = 250 * time.Millisecond
	permitLifetime = 250 * time.Millisecond
	// requestTimeout is the time after which a request for permits, or its response, counts as lost.
	requestTimeout = 100 * time.Millisecond
	// noCoordinatorDelay is how long a host waits to ask again if it knows no coordinator.
	noCoordinatorDelay = 200 * time.Millisecond
	// checkInterval is the age of the newest statement of an endpoint at which its coordinator checks the endpoint.
	checkInterval = time.Second
	// refreshInterval is the time after which a coordinator announces again what it knows of an endpoint, for hosts that have missed it.
	refreshInterval = time.Second
	// debtInterval is the least time between two falls of a limit at which its coordinator forgets what it has reserved under the higher one. Hosts
	// that have not heard of the fall still use those permits for up to half of it.
	debtInterval = 500 * time.Millisecond
	// unusedLifetime is how long the state of an endpoint is kept after its last use.
	unusedLifetime = 30 * time.Second
)

// Config holds the parts that a Limiter uses.
type Config struct {
	Limits *ratelimits.Table
	// Coordinator returns the host that grants permits for an endpoint of the zone, or one that passes the request on to it. self says
	// that it is this host. failures is the number of requests to hosts of that zone that got no response. ok is false if there is none.
	Coordinator func(zone string, id endpoints.ID, failures int, now time.Time) (h peers.Host, self, ok bool)
	// Quorum returns from how many hosts of this zone this host has heard lately, and how many it knows; see peers.Table.Quorum. Nil means that it hears
	// from all.
	Quorum func(now time.Time) (heard, known int)
	// ColdTolerance is what a cold endpoint survives. If Over is 0, its rate counts as a limit that it has named.
	ColdTolerance ColdTolerance
	// Hosts returns the number of entry hosts.
	Hosts func() int
	// OnChange is called after this host's belief about a limit has changed. source is SourceResponse or the name of a host.
	OnChange func(id endpoints.ID, c ratelimits.Change, s ratelimits.Statement, source string)
	// OnCold is called after this host has learned that an endpoint is cold. source is SourceEntry, SourceHealthCheck or the name of a host.
	OnCold func(id endpoints.ID, c ratelimits.Cold, source string)
	// OnUrgent is called when the other hosts should get this host's statements at once. Others may go with the next regular message.
	OnUrgent func()
	// SendRequest and SendGrant send a message to the address of a host, without waiting. Messages may be lost.
	SendRequest func(address string, r Request)
	SendGrant   func(address string, g Grant)
}

// Limiter holds the permits of this host, and the buckets of the endpoints that it coordinates. It is safe for concurrent use.
type Limiter struct {
	cfg           Config
	announcements announce.Broadcast[endpoints.ID] // endpoints whose limits are announced to other hosts

	mu         sync.Mutex
	stocks     map[endpoints.ID]*stock
	buckets    map[endpoints.ID]*bucket
	failures   map[string]int // requests without a response by zone
	authority  peers.Authority
	lastNumber uint64
}

// New returns a limiter.
func New(cfg Config) *Limiter {
	if cfg.OnCold == nil {
		cfg.OnCold = func(endpoints.ID, ratelimits.Cold, string) {}
	}
	if cfg.Quorum == nil {
		cfg.Quorum = func(time.Time) (heard, known int) { return 1, 1 }
	}
	return &Limiter{cfg: cfg, authority: peers.Authority{Quorum: cfg.Quorum}, stocks: map[endpoints.ID]*stock{}, buckets: map[endpoints.ID]*bucket{}, failures: map[string]int{}}
}

// Permits reports whether an endpoint has a limit, and how many permits for it this host may use now.
func (l *Limiter) Permits(id endpoints.ID, now time.Time) (limited bool, permits int) {
	if l.cfg.Limits.Effective(id, now) == ratelimits.Unlimited {
		return false, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return true, l.stocks[id].valid(now)
}

// Take reports whether a request may be sent to the endpoint. It uses up a permit if the endpoint has a limit.
func (l *Limiter) Take(id endpoints.ID, now time.Time) bool {
	if l.cfg.Limits.Effective(id, now) == ratelimits.Unlimited {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stocks[id].take(now)
}

// TakeForCheck is Take for a health check. It needs no permit at an endpoint that is only cold.
func (l *Limiter) TakeForCheck(id endpoints.ID, now time.Time) bool {
	return l.cfg.Limits.PerSecond(id) == ratelimits.Unlimited || l.Take(id, now)
}

// ColdUntil returns until when an endpoint is cold, as far as this host knows; zero if it is not.
func (l *Limiter) ColdUntil(id endpoints.ID, now time.Time) time.Time {
	c, cold := l.cfg.Limits.Cold(id, now)
	if !cold {
		return time.Time{}
	}
	return c.Until
}

// Reserved returns the number of permits for an endpoint that this host may use later, and when the first of them, or of those that the
// coordinator has not granted yet, is valid. The time is zero if it is not known.
func (l *Limiter) Reserved(id endpoints.ID, now time.Time) (permits int, first time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stocks[id]
	if s == nil {
		return 0, time.Time{}
	}
	if permits, first = s.reserved(now); permits == 0 {
		first = s.refusedUntil
	}
	return permits, first
}

// Acquire asks the coordinator of a limited endpoint for a permit if this host may use none now, and waits for the response until ctx ends. It
// reports whether this host may use a permit now. maxWait is how long after the call a permit is still of use: if there is none now, one that is
// valid within this time is reserved.
func (l *Limiter) Acquire(ctx context.Context, e endpoints.Endpoint, maxWait time.Duration) bool {
	for range maxJoined {
		held, answered, joined := l.request(e, maxWait, time.Now())
		if answered == nil {
			return held
		}
		select {
		case <-answered:
		case <-ctx.Done():
			return false
		}
		if !joined {
			break
		}
	}
	_, permits := l.Permits(e.ID, time.Now())
	return permits > 0
}

// maxJoined is how often Acquire waits for the response to a request for permits. The first one may be that of another call.
const maxJoined = 2

// Stock asks for permits without waiting if the endpoint's limit is so high that this host gets several at a time and it holds less than half of
// those.
func (l *Limiter) Stock(e endpoints.Endpoint, now time.Time) {
	most := l.permitsPerGrant(l.cfg.Limits.Effective(e.ID, now))
	if _, permits := l.Permits(e.ID, now); most > 1 && permits < most/2 {
		l.request(e, 0, now)
	}
}

// request sends a request for permits unless this host may use one now, awaits a response or was refused. answered is closed when the response
// arrives; it is nil if none is awaited. joined says that the response is that to an earlier request.
func (l *Limiter) request(e endpoints.Endpoint, maxWait time.Duration, now time.Time) (held bool, answered <-chan struct{}, joined bool) {
	perSecond := l.cfg.Limits.Effective(e.ID, now)
	if perSecond == ratelimits.Unlimited {
		return true, nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stocks[e.ID]
	if s == nil {
		s = &stock{}
		l.stocks[e.ID] = s
	}
	s.usedAt = now
	switch {
	case s.valid(now) > 0:
		return true, nil, false
	case s.refusedUntil.Sub(now) > maxWait:
		return false, nil, false
	case s.number != 0 && now.Sub(s.requestedAt) < requestTimeout:
		return false, s.answered, true
	case s.number != 0:
		l.failures[e.Zone]++
	}
	host, self, ok := l.cfg.Coordinator(e.Zone, e.ID, l.failures[e.Zone], now)
	switch {
	case !ok:
		s.number, s.refusedUntil = 0, now.Add(noCoordinatorDelay)
		return false, nil, false
	case self:
		s.number = 0
		g, mayGrant := l.grant(e.ID, perSecond, maxWait, now)
		if !mayGrant {
			g = grant{after: noCoordinatorDelay, perSecond: perSecond}
		}
		l.add(s, e.ID, g, now)
		return s.valid(now) > 0, nil, false
	}
	l.lastNumber++
	s.number, s.requestedAt, s.answered = l.lastNumber, now, make(chan struct{})
	l.cfg.SendRequest(host.PeerAddress, Request{ID: e.ID, Zone: e.Zone, Number: s.number, Statement: l.statement(e.ID, now),
		MaxWaitMS: min(max(0, maxWait.Milliseconds()), maxWaitMS), Cold: l.coldMessage(e.ID, now)})
	return false, s.answered, false
}

// permitsPerGrant returns how many permits a host gets at a time: its part of those for permitLifetime, at least one.
func (l *Limiter) permitsPerGrant(perSecond float64) int {
	part := perSecond * usedShare * permitLifetime.Seconds() / float64(max(1, l.cfg.Hosts()))
	return int(min(max(1, part), maxPermits))
}

// maxPermits bounds the permits of one grant.
const maxPermits = 10_000

// grant takes permits out of the bucket of an endpoint that this host coordinates. If there are none, it reserves one that is valid within
// maxWait. ok is false if this host may not grant any. l.mu must be held.
func (l *Limiter) grant(id endpoints.ID, perSecond float64, maxWait time.Duration, now time.Time) (g grant, ok bool) {
	part := l.part(id, perSecond, now)
	if part == 0 {
		delete(l.buckets, id) // nothing adds up meanwhile
		return grant{}, false
	}
	b := l.bucket(id, perSecond, part, now)
	limiter, at := b.limiter, b.advance(now)
	if n := min(int(limiter.TokensAt(at)), l.permitsPerGrant(perSecond)); n > 0 && limiter.AllowN(at, n) {
		return grant{permits: n, perSecond: perSecond}, true
	}
	reservation := limiter.ReserveN(at, 1)
	after := reservation.DelayFrom(now)
	if after > maxWait {
		reservation.CancelAt(at)
		return grant{after: after, perSecond: perSecond}, true
	}
	return grant{permits: 1, after: after, perSecond: perSecond}, true
}

// add adds the result of a request for permits to a stock. Permits that were granted under a higher limit than this host knows are void. l.mu must be
// held, so that a limit which falls meanwhile is applied afterwards by voidAbove.
func (l *Limiter) add(s *stock, id endpoints.ID, g grant, now time.Time) {
	s.add(g, now)
	s.dropAbove(l.cfg.Limits.Effective(id, now))
}

// voidAbove drops the permits for an endpoint that were granted under a higher limit than the given one, in requests per second.
func (l *Limiter) voidAbove(id endpoints.ID, perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.stocks[id]; s != nil {
		s.dropAbove(perSecond)
	}
}

// Coordinate announces again the limits of the endpoints that this host coordinates, and calls check for those whose newest statement is old, if
// there is a permit for a check. It is to be called a few times a second.
func (l *Limiter) Coordinate(lookup func(endpoints.ID) (endpoints.Endpoint, bool), check func(endpoints.Endpoint), now time.Time) {
	for _, id := range l.cfg.Limits.EffectivelyLimited(now) {
		e, ok := lookup(id)
		if !ok {
			continue
		}
		if _, self, ok := l.cfg.Coordinator(e.Zone, id, 0, now); !ok || !self {
			l.dropBucket(id)
			continue
		}
		statement, limited := l.cfg.Limits.Get(id)
		if !limited || statement.PerSecond == ratelimits.Unlimited {
			continue // it is only cold, which ends by itself
		}
		l.mu.Lock()
		effective := l.cfg.Limits.Effective(id, now)
		due := false
		if part := l.part(id, effective, now); part > 0 {
			b := l.bucket(id, effective, part, now)
			if due = now.Sub(b.refreshedAt) >= refreshInterval; due {
				b.refreshedAt = now
			}
		}
		l.mu.Unlock()
		if due {
			l.announcements.Refresh(id)
		}
		if now.Sub(statement.AnsweredAt) >= checkInterval {
			if held, _, _ := l.request(e, 0, now); held {
				check(e)
			}
		}
	}
}

// dropBucket drops the bucket of an endpoint that another host coordinates now.
func (l *Limiter) dropBucket(id endpoints.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.buckets, id)
}

// EvictUnused removes the state of endpoints that have no limit any more or were not used recently.
func (l *Limiter) EvictUnused(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	unused := func(id endpoints.ID, usedAt time.Time) bool {
		return now.Sub(usedAt) > unusedLifetime || l.cfg.Limits.Effective(id, now) == ratelimits.Unlimited
	}
	for id, s := range l.stocks {
		if unused(id, s.usedAt) {
			delete(l.stocks, id)
		}
	}
	for id := range l.buckets {
		if l.cfg.Limits.Effective(id, now) == ratelimits.Unlimited {
			delete(l.buckets, id)
		}
	}
}
