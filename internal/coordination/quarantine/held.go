package quarantine

import (
	"slices"
	"strings"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

const (
	// heldTime is how long the next process of an endpoint may take to be listed for the end of the last one to be proven.
	heldTime = 10 * time.Second
	// maxHeld and maxRequestsPerHeld bound the ends that are held back, and the requests of each. The oldest ends are dropped first.
	maxHeld            = 256
	maxRequestsPerHeld = 32
)

// heldEnd is an end of a process that is no evidence yet: no endpoint answered the host that noticed it. The host may only have lost its own way to all of
// them. If all have ended, connections of requests that came later broke as well.
type heldEnd struct {
	at       time.Time
	requests []Fingerprint
	own      bool // this host has noticed it
	// followed is set once the next process at the address is listed, which proves the end.
	followed bool
}

// hold keeps the end of a process under a request until the request ends a later process at the same address too.
func (g *Guard) hold(c Crash) {
	g.mu.Lock()
	isNew := g.addHeldLocked(c, false)
	h := g.held[c.Endpoint]
	h.own = true
	proven := isNew && h.followed
	g.mu.Unlock()
	if proven {
		g.announceHeld(c.Endpoint)
	}
	if isNew {
		g.promote(c.Requests, SourceSelf)
	}
}

// addHeld records an end that another host holds back and knows to be proven. It returns whether it is new.
func (g *Guard) addHeld(c Crash, source string) (isNew bool) {
	g.mu.Lock()
	isNew = g.addHeldLocked(c, true)
	g.mu.Unlock()
	if isNew {
		g.reportHeld(c, source)
		g.promote(c.Requests, source)
	}
	return isNew
}

// addHeldLocked adds requests to an end that is held back. g.mu must be held.
func (g *Guard) addHeldLocked(c Crash, followed bool) (isNew bool) {
	h := g.held[c.Endpoint]
	if h == nil {
		g.dropOldestHeld()
		h = &heldEnd{at: c.At}
		g.held[c.Endpoint] = h
	}
	if followed && !h.followed {
		h.followed, isNew = true, true
	}
	for _, f := range c.Requests {
		if !slices.Contains(h.requests, f) && len(h.requests) < maxRequestsPerHeld {
			h.requests = append(h.requests, f)
			isNew = true
		}
	}
	g.active.Store(true)
	return isNew
}

// Listed records that a process is listed at its address: those that ran there before have ended.
func (g *Guard) Listed(id endpoints.ID, now time.Time) {
	if !g.Active() {
		return
	}
	var ended []endpoints.ID
	var requests []Fingerprint
	g.mu.Lock()
	for process, h := range g.held {
		if process.Address == id.Address && process != id && !h.followed && now.Sub(h.at) <= heldTime {
			h.followed = true
			ended = append(ended, process)
			requests = append(requests, h.requests...)
		}
	}
	g.mu.Unlock()
	for _, process := range ended {
		g.announceHeld(process)
	}
	g.promote(requests, SourceSelf)
}

// announceHeld announces an end that is held back and proven.
func (g *Guard) announceHeld(process endpoints.ID) {
	g.mu.Lock()
	h := g.held[process]
	if h == nil {
		g.mu.Unlock()
		return
	}
	c := Crash{Endpoint: process, Requests: slices.Clone(h.requests), At: h.at}
	g.mu.Unlock()
	g.reportHeld(c, SourceSelf)
	g.heldUpdates.Announce(process)
	g.cfg.OnUrgent()
}

func (g *Guard) reportHeld(c Crash, source string) {
	if g.cfg.OnHeld != nil {
		g.cfg.OnHeld(c, source)
	}
}

// promote makes evidence of the proven ends under requests with the content of the given ones, if they have ended processes one after the other at an address
// and were not answered in between. Requests that only came while all endpoints were down are answered by the next processes. Of what another host has told,
// it announces the evidence only if this host has noticed such an end itself: the others come to the same.
func (g *Guard) promote(requests []Fingerprint, source string) {
	g.mu.Lock()
	proven, own := g.provenEnds(requests)
	if own {
		source = SourceSelf
	}
	repeated := g.repeatedPatterns(proven)
	for i := range proven {
		c := &proven[i]
		c.Requests = slices.DeleteFunc(c.Requests, func(f Fingerprint) bool {
			return !slices.ContainsFunc(repeated, func(p Fingerprint) bool { return p.matches(f) && c.At.After(g.answered[p]) })
		})
	}
	g.mu.Unlock()
	for _, c := range proven {
		if len(c.Requests) > 0 {
			g.recordCrash(c, source)
		}
	}
}

// provenEnds returns the proven ends under requests with the content of the given ones, with these, and whether this host has noticed an end, proven or
// not, under one. g.mu must be held.
func (g *Guard) provenEnds(requests []Fingerprint) (list []Crash, own bool) {
	contents := map[[16]byte]bool{}
	for _, f := range requests {
		contents[f.Content] = true
	}
	for process, h := range g.held {
		if !h.followed && (own || !h.own) {
			continue
		}
		c := Crash{Endpoint: process, At: h.at}
		for _, f := range h.requests {
			if contents[f.Content] {
				c.Requests = append(c.Requests, f)
			}
		}
		if len(c.Requests) == 0 {
			continue
		}
		own = own || h.own
		if h.followed {
			list = append(list, c)
		}
	}
	return list, own
}

// repeatedPatterns returns the patterns of requests under which a process of a list ended, and a later one at the same address, without an answer since the
// first of them ended. g.mu must be held.
func (g *Guard) repeatedPatterns(ends []Crash) (list []Fingerprint) {
	for _, c := range ends {
		later := g.laterRequests(c.Endpoint, c.At)
		for _, f := range c.Requests {
			for _, p := range f.patterns() {
				if c.At.After(g.answered[p]) && !slices.Contains(list, p) && slices.ContainsFunc(later, p.matches) {
					list = append(list, p)
				}
			}
		}
	}
	return list
}

// laterRequests returns the requests at the ends of later processes at the address of a process. g.mu must be held.
func (g *Guard) laterRequests(process endpoints.ID, at time.Time) (requests []Fingerprint) {
	isLater := func(id endpoints.ID, end time.Time) bool {
		return id.Address == process.Address && listedIncarnation(id) != listedIncarnation(process) && end.After(at)
	}
	for id, h := range g.held {
		if isLater(id, h.at) {
			requests = append(requests, h.requests...)
		}
	}
	for id, c := range g.crashes {
		if isLater(id, c.At) && !c.Alive {
			requests = append(requests, c.Requests...)
		}
	}
	return requests
}

// listedIncarnation returns the incarnation under which a process was listed, see process. That a way to an endpoint comes back is no proof of another one.
func listedIncarnation(id endpoints.ID) string {
	incarnation, _, _ := strings.Cut(id.Incarnation, processSeparator)
	return incarnation
}

// releaseHeld drops the end of a process that answers a request after it. g.mu must be held.
func (g *Guard) releaseHeld(id endpoints.ID, connectedAt, sentAt time.Time) {
	if h := g.held[id]; h != nil && !h.followed && connectedAt.Before(h.at) && sentAt.After(h.at) {
		delete(g.held, id)
	}
}

// dropOldestHeld makes room for one more end. g.mu must be held.
func (g *Guard) dropOldestHeld() {
	if len(g.held) < maxHeld {
		return
	}
	var oldest endpoints.ID
	var at time.Time
	for id, h := range g.held {
		if at.IsZero() || h.at.Before(at) {
			oldest, at = id, h.at
		}
	}
	delete(g.held, oldest)
}

// evictHeld drops the ends that were not proven in time and those that have expired. g.mu must be held.
func (g *Guard) evictHeld(now time.Time) {
	for id, h := range g.held {
		if age := now.Sub(h.at); age > evidenceLifetime || age > heldTime && !h.followed {
			delete(g.held, id)
		}
	}
}
