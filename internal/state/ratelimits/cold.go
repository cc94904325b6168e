package ratelimits

import (
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Cold says that an endpoint takes fewer requests than usual for some time after its start.
type Cold struct {
	PerSecond float64   // requests per second that it takes from all hosts together meanwhile
	Until     time.Time // end of that time
	KnownAt   time.Time // when this host learned of Until
	// Exact says that Until comes from a response of the endpoint. Otherwise it comes from its entry and is later by the time that the entry took
	// to arrive.
	Exact bool
}

// entryDelay is the time that entries of endpoints take to arrive, apart from outages. An entry does not extend an exact Until by less.
const entryDelay = time.Second

// RecordCold records that an endpoint is cold: at least until c.Until, and at the lowest rate that is stated. It reports whether the endpoint was
// not known as cold, or is so for longer than before by more than entryDelay.
func (t *Table) RecordCold(id endpoints.ID, c Cold, now time.Time) (isNew bool) {
	if !now.Before(c.Until) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.cold[id]
	longer := c.Until.Sub(known.Until)
	switch isCold := now.Before(known.Until); {
	case !ok && len(t.cold) >= maxEndpoints:
		return false
	case ok && known.Exact && !c.Exact && longer <= entryDelay:
		return false
	case isCold && longer <= 0:
		known.PerSecond = min(c.PerSecond, known.PerSecond)
		t.setCold(id, known)
		return false
	case isCold:
		isNew, c.PerSecond = longer > entryDelay, min(c.PerSecond, known.PerSecond)
	default:
		isNew = true
	}
	t.setCold(id, c)
	return isNew
}

// RecordColdAnswer records how much longer an endpoint is cold according to its response to a health check that was sent at sentAt. It also shortens
// a time that was known before the health check was sent, to nothing if c.Until has passed. It reports what RecordCold does.
func (t *Table) RecordColdAnswer(id endpoints.ID, c Cold, sentAt, now time.Time) (isNew bool) {
	known, ok := t.Cold(id, now)
	if !ok || !c.Until.Before(known.Until) {
		return t.RecordCold(id, c, now)
	}
	if sentAt.After(known.KnownAt) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.setCold(id, c)
	}
	return false
}

// setCold stores what is known. t.mu must be held.
func (t *Table) setCold(id endpoints.ID, c Cold) {
	if t.cold == nil {
		t.cold = map[endpoints.ID]Cold{}
	}
	t.cold[id] = c
	t.coldSize.Store(int64(len(t.cold)))
}

// Cold returns what is known of an endpoint that is cold now.
func (t *Table) Cold(id endpoints.ID, now time.Time) (Cold, bool) {
	if t.coldSize.Load() == 0 {
		return Cold{}, false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	c, ok := t.cold[id]
	return c, ok && now.Before(c.Until)
}

// CountCold returns the number of endpoints that are cold now.
func (t *Table) CountCold(now time.Time) (n int) {
	if t.coldSize.Load() == 0 {
		return 0
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, c := range t.cold {
		if now.Before(c.Until) {
			n++
		}
	}
	return n
}

// Effective returns the number of requests per second that an endpoint takes from all hosts together now: the limit that it has named or the
// rate at which it takes requests while it is cold, whichever is lower. It is Unlimited if there is neither.
func (t *Table) Effective(id endpoints.ID, now time.Time) float64 {
	perSecond := t.PerSecond(id)
	if c, cold := t.Cold(id, now); cold {
		perSecond = min(perSecond, c.PerSecond)
	}
	return perSecond
}

// EffectivelyLimited returns the endpoints for which Effective is not Unlimited.
func (t *Table) EffectivelyLimited(now time.Time) []endpoints.ID {
	list := t.Limited()
	if t.coldSize.Load() == 0 {
		return list
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	for id, c := range t.cold {
		if s, ok := t.statements[id]; now.Before(c.Until) && (!ok || s.PerSecond == Unlimited) {
			list = append(list, id)
		}
	}
	return list
}

// evictCold removes the endpoints whose cold time has ended so long ago that no entry extends it any more. t.mu must be held.
func (t *Table) evictCold(now time.Time) {
	for id, c := range t.cold {
		if now.Sub(c.Until) > entryDelay {
			delete(t.cold, id)
		}
	}
	t.coldSize.Store(int64(len(t.cold)))
}
