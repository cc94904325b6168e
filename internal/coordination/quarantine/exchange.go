package quarantine

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// CrashReport is a Crash in a message. Times are ages when the message is sent, because hosts' clocks differ.
type CrashReport struct {
	Endpoint endpoints.ID  `cbor:"1,keyasint"`
	Requests []Fingerprint `cbor:"2,keyasint,omitempty"`
	AgoMS    int64         `cbor:"3,keyasint"`
	Alive    bool          `cbor:"4,keyasint,omitempty"`
}

// Check returns an error if the report has figures that no host sends.
func (r *CrashReport) Check() error {
	if r.Endpoint.Address == "" || r.Endpoint.Incarnation == "" || len(r.Requests) > maxRequestsPerCrash || r.AgoMS < 0 || r.AgoMS > 2*evidenceLifetime.Milliseconds() {
		return trace.BadParameter("a report that endpoint %q ended %d ms ago under %d requests: not 0 to %d ms, or not 0 to %d requests",
			r.Endpoint.Address, r.AgoMS, len(r.Requests), 2*evidenceLifetime.Milliseconds(), maxRequestsPerCrash)
	}
	return nil
}

// VerdictReport is a Verdict in a message.
type VerdictReport struct {
	Pattern      Fingerprint `cbor:"1,keyasint"`
	ForMS        int64       `cbor:"2,keyasint"` // until the end of the quarantine
	DecidedAgoMS int64       `cbor:"3,keyasint"`
}

// maxAgeMS bounds the ages in a message in milliseconds. A request that comes again stays quarantined, but no process runs for ten years.
const maxAgeMS = 10 * 365 * 24 * 3_600_000

// Check returns an error if the report has figures that no host sends.
func (r *VerdictReport) Check() error {
	if r.ForMS < 0 || r.ForMS > quarantineTime.Milliseconds() || r.DecidedAgoMS < 0 || r.DecidedAgoMS > maxAgeMS {
		return trace.BadParameter("request %s is quarantined for %d ms since %d ms ago: not 0 to %d ms, or not 0 to %d", r.Pattern, r.ForMS, r.DecidedAgoMS,
			quarantineTime.Milliseconds(), int64(maxAgeMS))
	}
	return nil
}

// AnsweredReport says in a message when an endpoint answered a request that was suspected.
type AnsweredReport struct {
	Request Fingerprint `cbor:"1,keyasint"`
	AgoMS   int64       `cbor:"2,keyasint"`
}

// Check returns an error if the report has figures that no host sends.
func (r *AnsweredReport) Check() error {
	if r.AgoMS < 0 || r.AgoMS > maxAgeMS {
		return trace.BadParameter("request %s was answered %d ms ago: not 0 to %d", r.Request, r.AgoMS, int64(maxAgeMS))
	}
	return nil
}

// Update is what a message carries about requests that end endpoints.
type Update struct {
	Crashes  []CrashReport    `cbor:"1,keyasint,omitempty"`
	Verdicts []VerdictReport  `cbor:"2,keyasint,omitempty"`
	Answered []AnsweredReport `cbor:"3,keyasint,omitempty"`
	// Held are ends that are proven, but hidden: no endpoint answered the sender, so requests that came later may have been taken for the cause.
	Held []CrashReport `cbor:"4,keyasint,omitempty"`
}

// Limits of an Update. A crash takes up to 2.6 KB, an end that is held back up to 1.3 KB, usually 200 bytes, a verdict or an answered request 50 bytes.
const (
	MaxCrashes  = 8
	MaxVerdicts = 16
	MaxAnswered = 16
	MaxHeld     = 8
)

// Empty reports whether the update says nothing.
func (n *Update) Empty() bool {
	return n == nil || len(n.Crashes)+len(n.Verdicts)+len(n.Answered)+len(n.Held) == 0
}

// Check returns an error if the update is none that a host sends.
func (n *Update) Check() error {
	if n == nil {
		return nil
	}
	for i := range n.Crashes {
		if err := n.Crashes[i].Check(); err != nil {
			return err
		}
	}
	for i := range n.Held {
		if err := n.Held[i].Check(); err != nil {
			return err
		}
	}
	for i := range n.Verdicts {
		if err := n.Verdicts[i].Check(); err != nil {
			return err
		}
	}
	for i := range n.Answered {
		if err := n.Answered[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// ZoneUpdate returns the update for the next message to the hosts of this zone, and RelayUpdate the one for the hosts of other zones that pass it on. Both
// return nil if there is none.
func (g *Guard) ZoneUpdate(now time.Time) *Update {
	return g.update(g.crashUpdates.Zone.Next(MaxCrashes), g.verdictUpdates.Zone.Next(MaxVerdicts), g.answeredUpdates.Zone.Next(MaxAnswered), g.heldUpdates.Zone.Next(MaxHeld), now)
}

// RelayUpdate is described with ZoneUpdate.
func (g *Guard) RelayUpdate(now time.Time) *Update {
	return g.update(g.crashUpdates.Relays.Next(MaxCrashes), g.verdictUpdates.Relays.Next(MaxVerdicts), g.answeredUpdates.Relays.Next(MaxAnswered), g.heldUpdates.Relays.Next(MaxHeld), now)
}

func (g *Guard) update(crashes []endpoints.ID, verdicts, answered []Fingerprint, held []endpoints.ID, now time.Time) *Update {
	if len(crashes)+len(verdicts)+len(answered)+len(held) == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	n := &Update{}
	for _, id := range crashes {
		if c := g.crashes[id]; c != nil && now.Sub(c.At) <= evidenceLifetime {
			n.Crashes = append(n.Crashes, CrashReport{Endpoint: id, Requests: slices.Clone(c.Requests), AgoMS: age(c.At, now), Alive: c.Alive})
		}
	}
	for _, f := range verdicts {
		if e := g.verdicts[f]; e != nil && now.Before(e.Until) {
			n.Verdicts = append(n.Verdicts, VerdictReport{Pattern: f, ForMS: min(e.Until.Sub(now), quarantineTime).Milliseconds(), DecidedAgoMS: age(e.DecidedAt, now)})
		}
	}
	for _, f := range answered {
		if at, ok := g.answered[f]; ok {
			n.Answered = append(n.Answered, AnsweredReport{Request: f, AgoMS: age(at, now)})
		}
	}
	for _, id := range held {
		if h := g.held[id]; h != nil && now.Sub(h.at) <= evidenceLifetime {
			n.Held = append(n.Held, CrashReport{Endpoint: id, Requests: slices.Clone(h.requests), AgoMS: age(h.at, now)})
		}
	}
	return n
}

// age returns the time since a moment in milliseconds, for a message.
func age(at, now time.Time) int64 { return max(0, now.Sub(at).Milliseconds()) }

// HandleUpdate records the update of another host. What is new and comes from another zone is passed on to the hosts of this zone.
func (g *Guard) HandleUpdate(n *Update, from string, ownZone bool, now time.Time) {
	if n.Empty() {
		return
	}
	before := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	urgent := false
	for _, r := range n.Crashes[:min(MaxCrashes, len(n.Crashes))] {
		if g.addCrash(Crash{Endpoint: r.Endpoint, Requests: r.Requests, At: before(r.AgoMS), Alive: r.Alive}, from) && !ownZone {
			g.crashUpdates.Forward(r.Endpoint)
			urgent = true
		}
	}
	for _, r := range n.Held[:min(MaxHeld, len(n.Held))] {
		if g.addHeld(Crash{Endpoint: r.Endpoint, Requests: r.Requests, At: before(r.AgoMS)}, from) && !ownZone {
			g.heldUpdates.Forward(r.Endpoint)
			urgent = true
		}
	}
	for _, r := range n.Answered[:min(MaxAnswered, len(n.Answered))] {
		if g.addAnswered(r.Request, before(r.AgoMS), from) && !ownZone {
			g.answeredUpdates.Forward(r.Request)
			urgent = true
		}
	}
	for _, r := range n.Verdicts[:min(MaxVerdicts, len(n.Verdicts))] {
		v := Verdict{Pattern: r.Pattern, DecidedAt: before(r.DecidedAgoMS), Until: now.Add(time.Duration(r.ForMS) * time.Millisecond)}
		if g.addVerdict(v, from, now) && !ownZone {
			g.verdictUpdates.Forward(r.Pattern)
			urgent = true
		}
	}
	if urgent {
		g.cfg.OnUrgent()
	}
}

// Refresh announces the firm verdicts again, for hosts that have missed them. One host of a zone is to call it, about once a second.
func (g *Guard) Refresh(now time.Time) {
	for _, v := range g.Firm(now) {
		g.verdictUpdates.Refresh(v.Pattern)
	}
}
