package quarantine

import (
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// heldTime is how long the next process of an endpoint may take to be known for the end of the last one to count, if no endpoint answered this host then.
const heldTime = 5 * time.Second

// heldEnd is the end of a process of which this host cannot tell whether it has only lost its own way to the endpoints.
type heldEnd struct {
	process endpoints.ID // as it was listed
	crash   Crash
}

// hold keeps the end of a process until the next process at its address is known, which shows that it has ended.
func (g *Guard) hold(process endpoints.ID, f Fingerprint, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.held[process.Address]
	if h == nil || h.process != process {
		if h == nil && len(g.held) >= maxCrashes {
			return
		}
		h = &heldEnd{process: process, crash: Crash{Endpoint: g.processLocked(process)}}
		g.held[process.Address] = h
	}
	h.crash.At = at
	if !slices.Contains(h.crash.Requests, f) && len(h.crash.Requests) < maxRequestsPerCrash {
		h.crash.Requests = append(h.crash.Requests, f)
	}
	g.updateActive()
}

// Listed records that a process is listed at its address: the one before it has ended.
func (g *Guard) Listed(id endpoints.ID, now time.Time) {
	if !g.Active() {
		return
	}
	g.mu.Lock()
	h := g.held[id.Address]
	if h == nil || h.process == id {
		g.mu.Unlock()
		return
	}
	delete(g.held, id.Address)
	g.updateActive()
	g.mu.Unlock()
	if now.Sub(h.crash.At) <= heldTime {
		g.addCrash(h.crash, SourceSelf)
	}
}

// releaseHeld drops the end of a process that has answered a request after it. g.mu must be held.
func (g *Guard) releaseHeld(id endpoints.ID, connectedAt, sentAt time.Time) {
	if h := g.held[id.Address]; h != nil && h.process == id && connectedAt.Before(h.crash.At) && sentAt.After(h.crash.At) {
		delete(g.held, id.Address)
	}
}

// evictHeld drops the ends of processes for which no next one has been listed in time. g.mu must be held.
func (g *Guard) evictHeld(now time.Time) {
	for address, h := range g.held {
		if now.Sub(h.crash.At) > heldTime {
			delete(g.held, address)
		}
	}
}
