// Package quarantine recognises requests that end the processes of the endpoints which run them, and keeps them from being sent. One host sees a
// few broken connections only, which have many causes, and the requests that ran beside the culprit look like it. So all hosts share their
// evidence: which endpoints ended, and which requests ran there. The request that explains most of the ends is the culprit. The package does no
// network I/O itself.
package quarantine

import (
	"context"
	"slices"
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
	// clearedTime is how long a request that was answered is not suspected, whatever older evidence is still on its way.
	clearedTime = 10 * time.Second
	// checkTimeout bounds the check of whether an endpoint's process has ended.
	checkTimeout = 50 * time.Millisecond
	// maxCrashes, maxRequestsPerCrash and maxVerdicts bound the state. The oldest crashes and verdicts are dropped first.
	maxCrashes          = 512
	maxRequestsPerCrash = 64
	maxVerdicts         = 1024
)

// Config holds the functions that a Guard calls. Each must return soon, except HasEnded.
type Config struct {
	// HasEnded reports whether the process of an endpoint is gone, as far as its address tells. ctx bounds the time.
	HasEnded func(ctx context.Context, e endpoints.Endpoint) bool
	// OnCrash is called when this host has noticed, or has first heard, that an endpoint ended under requests. source is SourceSelf or the name of a host.
	OnCrash func(c Crash, source string)
	// OnVerdict is called when a request is quarantined or no longer is.
	OnVerdict func(v Verdict, evidence int, source string)
	// OnUrgent is called when the other hosts should get this host's news at once.
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
}

// Verdict says whether a request is quarantined.
type Verdict struct {
	Request Fingerprint
	Until   time.Time // end of the quarantine
	Cleared bool      // the request is not suspected until Until, because an endpoint has answered it
}

// entry is a verdict with its reason.
type entry struct {
	Verdict
	decidedAt time.Time
	// derived is set if this host's evidence is the reason. Such a verdict is reversed if the evidence changes before firmTime.
	derived bool
}

// Guard holds the evidence and the verdicts of one host. It is safe for concurrent use.
type Guard struct {
	cfg         Config
	checks      singleflight.Group // by endpoint
	crashNews   announce.Broadcast[endpoints.ID]
	verdictNews announce.Broadcast[Fingerprint]
	active      atomic.Bool // there is evidence or a verdict

	mu       sync.Mutex
	crashes  map[endpoints.ID]*Crash
	verdicts map[Fingerprint]*entry
}

// New returns a guard without evidence.
func New(cfg Config) *Guard {
	return &Guard{cfg: cfg, crashes: map[endpoints.ID]*Crash{}, verdicts: map[Fingerprint]*entry{}}
}

// Active reports whether there is evidence or a verdict. If not, no request has to be identified.
func (g *Guard) Active() bool { return g.active.Load() }

// Quarantined returns the end of a request's quarantine. It returns false if the request may be sent. A request that comes again stays quarantined.
func (g *Guard) Quarantined(f Fingerprint, now time.Time) (until time.Time, quarantined bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.verdicts[f]
	if e == nil || e.Cleared || !now.Before(e.Until) {
		return time.Time{}, false
	}
	if e.Until.Sub(now) < quarantineTime/2 {
		e.Until = now.Add(quarantineTime)
		g.verdictNews.Announce(f)
	}
	return e.Until, true
}

// ConnectionBroke is to be called when the connection of a request to an endpoint ended without a whole answer. If the endpoint's process is gone,
// the request is evidence.
func (g *Guard) ConnectionBroke(ctx context.Context, e endpoints.Endpoint, f Fingerprint) {
	ended, _, _ := g.checks.Do(e.ID.String(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
		defer cancel()
		return g.cfg.HasEnded(ctx, e), nil
	})
	if ended.(bool) {
		g.addCrash(Crash{Endpoint: e.ID, Requests: []Fingerprint{f}, At: time.Now()}, SourceSelf)
	}
}

// Answered records that an endpoint has answered a request that was sent to it at a time: its process has not ended before that.
func (g *Guard) Answered(id endpoints.ID, sentAt time.Time) {
	if !g.Active() {
		return
	}
	g.mu.Lock()
	c := g.crashes[id]
	wrong := c != nil && !c.Alive && sentAt.After(c.At)
	g.mu.Unlock()
	if wrong {
		g.addCrash(Crash{Endpoint: id, At: time.Now(), Alive: true}, SourceSelf)
	}
}

// Succeeded records that an endpoint has answered a request and is up: the request is not the cause of the ends of endpoints beside which it ran.
func (g *Guard) Succeeded(f Fingerprint, now time.Time) {
	g.mu.Lock()
	suspected := g.suspected(f)
	g.mu.Unlock()
	if suspected {
		g.addVerdict(Verdict{Request: f, Until: now.Add(clearedTime), Cleared: true}, SourceSelf, now)
	}
}

// suspected reports whether there is evidence against a request, or a verdict. g.mu must be held.
func (g *Guard) suspected(f Fingerprint) bool {
	if e := g.verdicts[f]; e != nil && !e.Cleared {
		return true
	}
	for _, c := range g.crashes {
		if slices.Contains(c.Requests, f) {
			return true
		}
	}
	return false
}

// addCrash adds evidence and decides anew. It returns whether the evidence is new.
func (g *Guard) addCrash(c Crash, source string) (isNew bool) {
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
			g.crashNews.Announce(c.Endpoint)
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

// change is a changed verdict and the number of endpoints that ended under its request.
type change struct {
	Verdict
	evidence int
}

func (g *Guard) report(changes []change, source string) {
	for _, c := range changes {
		g.cfg.OnVerdict(c.Verdict, c.evidence, source)
	}
}

// decide quarantines the requests that the evidence condemns, and reverses young verdicts that it no longer supports. g.mu must be held.
func (g *Guard) decide(now time.Time) (changes []change) {
	condemned := g.culprits(now)
	for f, evidence := range condemned {
		if e := g.verdicts[f]; e == nil || !now.Before(e.Until) {
			g.dropOldestVerdict()
			g.verdicts[f] = &entry{Verdict{Request: f, Until: now.Add(quarantineTime)}, now, true}
			changes = append(changes, change{g.verdicts[f].Verdict, evidence})
		}
	}
	for f, e := range g.verdicts {
		if _, still := condemned[f]; e.derived && !still && now.Sub(e.decidedAt) < firmTime {
			delete(g.verdicts, f)
			changes = append(changes, change{Verdict{Request: f, Until: now}, 0})
		}
	}
	return changes
}

// dropOldestVerdict makes room for one more verdict. g.mu must be held.
func (g *Guard) dropOldestVerdict() {
	if len(g.verdicts) < maxVerdicts {
		return
	}
	var oldest *entry
	for _, e := range g.verdicts {
		if oldest == nil || e.Until.Before(oldest.Until) {
			oldest = e
		}
	}
	delete(g.verdicts, oldest.Request)
}

const (
	// minEvidence is the number of endpoints that have to end under a request before it is quarantined. Of several requests that explain the same ends
	// none is, until there are minSharedEvidence: some of them may only have run beside the others.
	minEvidence       = 3
	minSharedEvidence = 5
)

// culprits returns the requests that the evidence condemns, with the number of endpoints that ended under each: repeatedly the request under which most
// of the endpoints ended whose end no other request explains yet. g.mu must be held.
func (g *Guard) culprits(now time.Time) map[Fingerprint]int {
	ends := g.unexplainedEnds(now)
	condemned := map[Fingerprint]int{}
	for len(ends) > 0 {
		first := mostEnds(ends)
		count := len(ends[first])
		if count < minEvidence {
			break
		}
		alike := explainSame(ends, first)
		explained := map[endpoints.ID]bool{}
		for _, f := range alike {
			for _, id := range ends[f] {
				explained[id] = true
			}
			if len(alike) == 1 || count >= minSharedEvidence {
				condemned[f] = count
			}
			delete(ends, f)
		}
		for f := range ends {
			ends[f] = slices.DeleteFunc(ends[f], func(id endpoints.ID) bool { return explained[id] })
		}
	}
	return condemned
}

// unexplainedEnds returns the endpoints that ended under each request that is not cleared. g.mu must be held.
func (g *Guard) unexplainedEnds(now time.Time) map[Fingerprint][]endpoints.ID {
	ends := map[Fingerprint][]endpoints.ID{}
	for id, c := range g.crashes {
		if c.Alive || now.Sub(c.At) > evidenceLifetime {
			continue
		}
		for _, f := range c.Requests {
			if e := g.verdicts[f]; e == nil || !e.Cleared || !now.Before(e.Until) {
				ends[f] = append(ends[f], id)
			}
		}
	}
	return ends
}

// mostEnds returns the request with the most ends, of several the one with the least fingerprint, so that all hosts decide alike.
func mostEnds(ends map[Fingerprint][]endpoints.ID) (first Fingerprint) {
	most := -1
	for f, list := range ends {
		if len(list) > most || len(list) == most && slices.Compare(f[:], first[:]) < 0 {
			first, most = f, len(list)
		}
	}
	return first
}

// explainSame returns the first request and those that have as many ends, but too few that the first does not explain.
func explainSame(ends map[Fingerprint][]endpoints.ID, first Fingerprint) []Fingerprint {
	alike := []Fingerprint{first}
	for f, list := range ends {
		if f == first || len(list) < len(ends[first]) {
			continue
		}
		own := 0
		for _, id := range list {
			if !slices.Contains(ends[first], id) {
				own++
			}
		}
		if own < minEvidence {
			alike = append(alike, f)
		}
	}
	return alike
}

// addVerdict records a verdict of another host, of the store, or that a request was answered. It returns whether the verdict is new.
func (g *Guard) addVerdict(v Verdict, source string, now time.Time) (isNew bool) {
	g.mu.Lock()
	known := g.verdicts[v.Request]
	switch {
	case !now.Before(v.Until):
	case known != nil && known.Cleared && now.Before(known.Until) && !v.Cleared: // a verdict from before it was answered
	case v.Cleared && known != nil && known.Cleared && g.suspected(v.Request): // evidence has come since, and does not count either
		isNew = true
	case known != nil && known.Cleared == v.Cleared && v.Until.Sub(known.Until) < quarantineTime/4 && now.Before(known.Until):
	default:
		isNew = true
	}
	if isNew {
		g.dropOldestVerdict()
		g.verdicts[v.Request] = &entry{v, now, false}
		if v.Cleared {
			g.forget(v.Request)
		}
	}
	g.active.Store(len(g.crashes)+len(g.verdicts) > 0)
	g.mu.Unlock()
	if isNew {
		if source == SourceSelf {
			g.verdictNews.Announce(v.Request)
			g.cfg.OnUrgent()
		}
		g.cfg.OnVerdict(v, 0, source)
	}
	return isNew
}

// forget removes a request from the evidence. g.mu must be held.
func (g *Guard) forget(f Fingerprint) {
	for _, c := range g.crashes {
		c.Requests = slices.DeleteFunc(c.Requests, func(r Fingerprint) bool { return r == f })
	}
}

// Evict removes evidence and verdicts that have expired.
func (g *Guard) Evict(now time.Time) {
	if !g.Active() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, c := range g.crashes {
		if now.Sub(c.At) > evidenceLifetime {
			delete(g.crashes, id)
		}
	}
	for f, e := range g.verdicts {
		if !now.Before(e.Until) {
			delete(g.verdicts, f)
		}
	}
	g.active.Store(len(g.crashes)+len(g.verdicts) > 0)
}

// Firm returns the requests that are quarantined, without decisions that may still be reversed, in the order of their fingerprints.
func (g *Guard) Firm(now time.Time) []Verdict {
	if !g.Active() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []Verdict
	for _, e := range g.verdicts {
		if !e.Cleared && now.Before(e.Until) && (!e.derived || now.Sub(e.decidedAt) >= firmTime) {
			list = append(list, e.Verdict)
		}
	}
	slices.SortFunc(list, func(a, b Verdict) int { return slices.Compare(a.Request[:], b.Request[:]) })
	return list
}

// Restore records verdicts that the store holds.
func (g *Guard) Restore(list []Verdict, now time.Time) {
	for _, v := range list[:min(maxVerdicts, len(list))] {
		v.Until = minTime(v.Until, now.Add(quarantineTime))
		g.addVerdict(v, SourceStore, now)
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
