package ratelimit

import (
	"math"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/ratelimits"
)

// SourceResponse is the source of a statement that an endpoint has made to this host.
const SourceResponse = "answer"

// Sender is the host that sent a message.
type Sender struct {
	Name    string
	Address string // IP:port for messages to it
	OwnZone bool   // it is in this host's zone
}

// urgentChange is the part of an endpoint's last limit below which a new one is announced at once. Others go with the next regular message, since
// a limit may change with every response.
const urgentChange = 0.5

// record records a statement. A limit that has fallen makes void the permits that were granted under a higher one.
func (l *Limiter) record(id endpoints.ID, s ratelimits.Statement) (isNew bool, change *ratelimits.Change) {
	isNew, change = l.cfg.Limits.Record(id, s)
	if change != nil && change.New < change.Old {
		l.voidAbove(id, change.New)
	}
	return isNew, change
}

// RecordResponse records what a response of an endpoint to this host says about its limit, and announces changes.
func (l *Limiter) RecordResponse(id endpoints.ID, s ratelimits.Statement) {
	_, change := l.record(id, s)
	if change == nil {
		return
	}
	l.cfg.OnChange(id, *change, s, SourceResponse)
	l.announcements.Announce(id)
	if change.Old == ratelimits.Unlimited || change.New == ratelimits.Unlimited || change.New < urgentChange*change.Old {
		l.cfg.OnUrgent()
	}
}

// HandleStatements records what another host knows of limits.
func (l *Limiter) HandleStatements(list []Statement, from Sender, now time.Time) {
	for _, s := range list {
		l.recordMessage(s, from, now)
	}
}

// recordMessage records a statement that another host has sent. What is new and comes from another zone is passed on to the hosts of this zone.
func (l *Limiter) recordMessage(s Statement, from Sender, now time.Time) {
	isNew, change := l.record(s.ID, s.At(now))
	if change != nil {
		l.cfg.OnChange(s.ID, *change, s.At(now), from.Name)
	}
	switch {
	case from.OwnZone:
	case change != nil:
		l.announcements.Forward(s.ID)
		l.cfg.OnUrgent()
	case isNew:
		l.announcements.Zone.Put(s.ID, 1)
	}
}

// ZoneStatements returns at most limit statements for the next message to the hosts of this zone, and RelayNews those for the hosts of other zones that
// pass them on.
func (l *Limiter) ZoneStatements(limit int, now time.Time) []Statement {
	return l.statements(l.announcements.Zone.Next(limit), now)
}

// RelayStatements is described with ZoneStatements.
func (l *Limiter) RelayStatements(limit int, now time.Time) []Statement {
	return l.statements(l.announcements.Relays.Next(limit), now)
}

func (l *Limiter) statements(ids []endpoints.ID, now time.Time) []Statement {
	var list []Statement
	for _, id := range ids {
		if s, ok := l.cfg.Limits.Get(id); ok {
			list = append(list, NewStatement(id, s, now))
		}
	}
	return list
}

// statement returns what this host knows of the limit that an endpoint has named.
func (l *Limiter) statement(id endpoints.ID, now time.Time) Statement {
	if s, ok := l.cfg.Limits.Get(id); ok {
		return NewStatement(id, s, now)
	}
	return unknownStatement(id)
}

// HandleRequest answers a request of another host if this host is the coordinator, and passes it on otherwise, once.
func (l *Limiter) HandleRequest(r Request, from Sender, now time.Time) {
	l.recordColdMessage(r.ID, r.Cold, from, now)
	l.recordMessage(r.Statement, from, now)
	host, self, ok := l.cfg.Coordinator(r.Zone, r.ID, 0, now)
	forwarded := r.ReplyTo != ""
	switch {
	case ok && self:
		replyTo := from.Address
		if forwarded {
			replyTo = r.ReplyTo
		}
		if g, ok := l.answer(r, now); ok {
			l.cfg.SendGrant(replyTo, g)
		}
	case ok && !forwarded:
		r.ReplyTo = from.Address
		l.cfg.SendRequest(host.PeerAddress, r)
	}
}

// answer returns the response to a request to this host as the coordinator. Without a limit there is nothing to grant: the statement says so. ok is false if
// this host may grant nothing; the host that asks tries another one then.
func (l *Limiter) answer(r Request, now time.Time) (response Grant, ok bool) {
	g := Grant{ID: r.ID, Number: r.Number, Statement: l.statement(r.ID, now)}
	if _, limited := l.cfg.Limits.Get(r.ID); !limited {
		g.Statement = r.Statement
	}
	perSecond := min(g.Statement.PerSecond, l.cfg.Limits.Effective(r.ID, now))
	if perSecond == ratelimits.Unlimited {
		return g, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	granted, ok := l.grant(r.ID, perSecond, time.Duration(r.MaxWaitMS)*time.Millisecond, now)
	if !ok {
		return Grant{}, false
	}
	g.Permits, g.AfterMS = granted.permits, int64(min(maxWaitMS, math.Ceil(granted.after.Seconds()*1000)))
	if granted.perSecond != g.Statement.PerSecond {
		g.PerSecond = granted.perSecond
	}
	return g, true
}

// HandleGrant adds the permits of a grant.
func (l *Limiter) HandleGrant(g Grant, from Sender, now time.Time) {
	l.recordMessage(g.Statement, from, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stocks[g.ID]
	if s == nil || s.number == 0 || s.number != g.Number {
		return // another response, or the host has asked again since
	}
	s.number = 0
	got := grant{g.Permits, time.Duration(g.AfterMS) * time.Millisecond, g.limit()}
	if got.permits == 0 && got.after == 0 {
		got.after = noCoordinatorDelay // the coordinator, of an earlier version, grants no permits for endpoints that are only cold
	}
	l.add(s, g.ID, got, now)
	close(s.answered)
}
