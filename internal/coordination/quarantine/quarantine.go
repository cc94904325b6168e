// Package quarantine recognises requests that end the processes of the endpoints which run them, and keeps them from being sent. One host sees a
// few broken connections only, which have many causes, and the requests that ran beside the culprit look like it. So all hosts share their
// evidence: which endpoints ended, and which requests ran there. The request that explains most of the ends is the culprit. The package does no
// network I/O itself.
package quarantine

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/arbutusspan/arbutusspan/internal/coordination/announce"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

const (
	// quarantineTime is how long a request is not sent after the decision, or after it has come again in the second half of that time.
	quarantineTime = 10 * time.Minute
	// evidenceLifetime is how long the end of an endpoint counts as evidence.
	evidenceLifetime = 5 * time.Minute
	// firmTime is the age from which a decision is passed on as such. A younger one may still be reversed by evidence that is on its way.
	firmTime = time.Second
	// maxCrashes, maxRequestsPerCrash and maxVerdicts bound the state; maxVerdicts also bounds the answered requests. The oldest are dropped first.
	maxCrashes          = 512
	maxRequestsPerCrash = 64
	maxVerdicts         = 1024
)

// Config holds the functions that a Guard calls. Each must return soon, except the first two, whose time ctx bounds.
type Config struct {
	// RefusesConnections reports whether an endpoint's address refuses connections: its process has ended.
	RefusesConnections func(ctx context.Context, e endpoints.Endpoint) bool
	// ClosesUnanswered reports whether it closes connections without a response. Nil means that this is not known.
	ClosesUnanswered func(ctx context.Context, e endpoints.Endpoint) bool
	// OthersAnswer reports whether another endpoint answers this host at the moment. If none does, this host may have lost its own way to all of them, and
	// the end is held back until a later process at the address has ended under the request too. Nil means that others always answer.
	OthersAnswer func(ctx context.Context, e endpoints.Endpoint) bool
	// MayTry reports whether this host is the one that sends a quarantined request once more, see Try.
	MayTry func(pattern Fingerprint) bool
	// OnUndecided is called when a connection broke and it is not known whether the endpoint's process has ended, since no check of it was completed.
	// It may be nil.
	OnUndecided func(id endpoints.ID, request Fingerprint)
	// OnCrash is called when this host has noticed, or has first heard, that an endpoint ended under requests. source is SourceSelf or the name of a host.
	OnCrash func(c Crash, source string)
	// OnHeld is called when this host knows, or has first heard, that an end which is held back is proven. It may be nil.
	OnHeld func(c Crash, source string)
	// OnVerdict is called when requests are quarantined or no longer are. evidence is the number of endpoints that ended under them, 0 if it is not known.
	OnVerdict func(v Verdict, evidence int, source string)
	// OnUrgent is called when the other hosts should get this host's updates at once.
	OnUrgent func()
}

// SourceSelf is the source of what this host has found out itself, and SourceStore that of what the store holds.
const (
	SourceSelf  = "self"
	SourceStore = "store"
)

// Crash is the end of an endpoint's process while it ran requests.
type Crash struct {
	Endpoint endpoints.ID
	Requests []Fingerprint // that ran there, as far as this host knows
	At       time.Time
	Alive    bool // the process answered later, so that it had not ended
	// replaced is set when this host has got a response of the next process under the same id. The next end is that of another process then.
	replaced bool
}

// Verdict says that the requests that match a pattern are quarantined.
type Verdict struct {
	Pattern   Fingerprint
	DecidedAt time.Time
	Until     time.Time // end of the quarantine; not after DecidedAt if it was reversed
}

// entry is a verdict with its reason.
type entry struct {
	Verdict
	// derived is set if this host's evidence is the reason. Such a verdict is reversed if the evidence changes before firmTime.
	derived bool
	// fromStore is set while this host has the verdict from the store only. Such a verdict ends when the store's lists have it no more.
	fromStore bool
	tried     [len(trialTimes)]bool // this host has sent the request once more
}

// trialTimes are the times after a decision at which one host sends one matching request once more, if one comes within trialWindow: a proper request that
// was condemned by mistake is released by the answer.
var trialTimes = [...]time.Duration{20 * time.Second, 3 * time.Minute}

const trialWindow = 10 * time.Second

// Guard holds the evidence and the verdicts of one host. It is safe for concurrent use.
type Guard struct {
	cfg             Config
	checks          singleflight.Group // by endpoint
	crashUpdates    announce.Broadcast[endpoints.ID]
	verdictUpdates  announce.Broadcast[Fingerprint]
	answeredUpdates announce.Broadcast[Fingerprint]
	heldUpdates     announce.Broadcast[endpoints.ID]
	active          atomic.Bool  // there is evidence or a verdict
	doubted         atomic.Int64 // number of doubts

	mu       sync.Mutex
	doubts   map[endpoints.ID]map[*doubt]bool
	crashes  map[endpoints.ID]*Crash
	held     map[endpoints.ID]*heldEnd       // by process
	verdicts map[Fingerprint]*entry          // by pattern
	stored   map[string]map[Fingerprint]bool // by key, the patterns of the lists in the store
	answered map[Fingerprint]time.Time       // by pattern, when an endpoint has last answered a suspected request that matches it
}

// New returns a guard without evidence.
func New(cfg Config) *Guard {
	if cfg.OnUndecided == nil {
		cfg.OnUndecided = func(endpoints.ID, Fingerprint) {}
	}
	return &Guard{cfg: cfg, doubts: map[endpoints.ID]map[*doubt]bool{}, stored: map[string]map[Fingerprint]bool{}, crashes: map[endpoints.ID]*Crash{}, held: map[endpoints.ID]*heldEnd{},
		verdicts: map[Fingerprint]*entry{}, answered: map[Fingerprint]time.Time{}}
}

// Active reports whether there is evidence or a verdict. If not, no request has to be identified.
func (g *Guard) Active() bool { return g.active.Load() }

// Quarantined returns the end of a request's quarantine. It returns false if the request may be sent. A request that comes again stays quarantined.
func (g *Guard) Quarantined(f Fingerprint, now time.Time) (until time.Time, quarantined bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, pattern := range f.patterns() {
		e := g.verdicts[pattern]
		if e == nil || !now.Before(e.Until) {
			if _, answered := g.answered[pattern]; answered && pattern.Caller == f.Caller {
				return time.Time{}, false // this caller's request was answered, so a wider verdict is about others
			}
			continue
		}
		if e.Until.Sub(now) < quarantineTime/2 {
			e.Until = now.Add(quarantineTime)
			g.verdictUpdates.Announce(pattern)
		}
		return e.Until, true
	}
	return time.Time{}, false
}

// Try reports whether this host is to send a quarantined request once more, although it is quarantined, to find out whether an endpoint answers it.
func (g *Guard) Try(f Fingerprint, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, pattern := range f.patterns() {
		e := g.verdicts[pattern]
		if e == nil || !now.Before(e.Until) {
			continue
		}
		for i, after := range trialTimes {
			since := now.Sub(e.DecidedAt) - after
			if since >= 0 && since < trialWindow && !e.tried[i] && g.cfg.MayTry(pattern) {
				e.tried[i] = true
				return true
			}
		}
	}
	return false
}

// Answered records that an endpoint has just answered a request that was sent to it at a time, over a connection that was open since an earlier one.
// Its process has not ended in between. A connection that was opened after the end may lead to the next process of the endpoint, which has the same
// id until its entry is known, and proves nothing.
func (g *Guard) Answered(id endpoints.ID, connectedAt, sentAt time.Time) {
	if !g.Active() && g.doubted.Load() == 0 || connectedAt.IsZero() {
		return
	}
	g.mu.Lock()
	for d := range g.doubts[id] {
		if connectedAt.Before(d.at) {
			d.answered.Store(true)
		}
	}
	g.releaseHeld(id, connectedAt, sentAt)
	id = g.processLocked(id)
	c := g.crashes[id]
	wrong := c != nil && !c.Alive && connectedAt.Before(c.At) && sentAt.After(c.At)
	if c != nil && !c.Alive && connectedAt.After(c.At) {
		c.replaced = true
	}
	g.mu.Unlock()
	if wrong {
		g.addCrash(Crash{Endpoint: id, At: time.Now(), Alive: true}, SourceSelf)
	}
}

// process returns the id under which the end of the process is recorded that runs, or ran last, under an endpoint's id. It is not the endpoint's if an
// earlier process under that id has ended and the entry of the next one is not known: the ends of both count.
func (g *Guard) process(id endpoints.ID) endpoints.ID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.processLocked(id)
}

// processSeparator divides the incarnation under which a process was listed from the number of an earlier end under it.
const processSeparator = "+"

// processLocked is process with g.mu held.
func (g *Guard) processLocked(id endpoints.ID) endpoints.ID {
	process := id
	for n := 1; g.crashes[process] != nil && g.crashes[process].replaced; n++ {
		process.Incarnation = id.Incarnation + processSeparator + strconv.Itoa(n)
	}
	return process
}

// Succeeded records that an endpoint has answered a request: it is not the cause of the ends of endpoints beside which it ran before.
func (g *Guard) Succeeded(f Fingerprint, now time.Time) {
	if g.addAnswered(f, now, SourceSelf) {
		g.answeredUpdates.Announce(f)
		g.cfg.OnUrgent()
	}
}

// addCrash adds evidence, also what it makes of ends that are held back, and decides anew. It returns whether the evidence is new.
func (g *Guard) addCrash(c Crash, source string) (isNew bool) {
	isNew = g.recordCrash(c, source)
	if isNew && !c.Alive {
		g.promote(c.Requests, source)
	}
	return isNew
}

// recordCrash is addCrash without the ends that are held back.
func (g *Guard) recordCrash(c Crash, source string) (isNew bool) {
	g.mu.Lock()
	known := g.crashes[c.Endpoint]
	switch {
	case known == nil:
		g.dropOldestCrash()
		known = &Crash{Endpoint: c.Endpoint, At: c.At}
		g.crashes[c.Endpoint] = known
		isNew = true
	case c.Alive && !known.Alive:
		isNew = true
	}
	known.Alive = known.Alive || c.Alive
	for _, f := range c.Requests {
		if !slices.Contains(known.Requests, f) && len(known.Requests) < maxRequestsPerCrash {
			known.Requests = append(known.Requests, f)
			isNew = true
		}
	}
	g.active.Store(true)
	var changes []change
	if isNew {
		changes = g.decide(time.Now())
	}
	g.mu.Unlock()
	if isNew {
		g.cfg.OnCrash(c, source)
		if source == SourceSelf {
			g.crashUpdates.Announce(c.Endpoint)
			g.cfg.OnUrgent()
		}
	}
	g.report(changes, source)
	return isNew
}

// dropOldestCrash makes room for one more crash. g.mu must be held.
func (g *Guard) dropOldestCrash() {
	if len(g.crashes) < maxCrashes {
		return
	}
	var oldest *Crash
	for _, c := range g.crashes {
		if oldest == nil || c.At.Before(oldest.At) {
			oldest = c
		}
	}
	delete(g.crashes, oldest.Endpoint)
}

// updateActive sets active. g.mu must be held.
func (g *Guard) updateActive() { g.active.Store(len(g.crashes)+len(g.held)+len(g.verdicts) > 0) }

// Evict removes evidence and verdicts that have expired.
func (g *Guard) Evict(now time.Time) {
	if !g.Active() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evictHeld(now)
	for id, c := range g.crashes {
		if now.Sub(c.At) > evidenceLifetime {
			delete(g.crashes, id)
		}
	}
	for f, at := range g.answered {
		if now.Sub(at) > evidenceLifetime {
			delete(g.answered, f)
		}
	}
	for f, e := range g.verdicts {
		if !now.Before(e.Until) {
			delete(g.verdicts, f)
		}
	}
	g.updateActive()
}
