// Package ratelimits keeps the limits that endpoints name in their responses: how many requests per second an endpoint takes from all hosts together. It
// also keeps which endpoints take only a stated rate for some time after their start. Responses of one endpoint reach several hosts in any order, so
// each statement carries the time span in which the endpoint made it.
package ratelimits

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Unlimited is the rate of an endpoint that names no limit, in requests per second.
var Unlimited = math.Inf(1)

// Statement is what one response of an endpoint says about its limit.
type Statement struct {
	PerSecond  float64   // requests per second from all hosts together; Unlimited if the response names no limit
	SentAt     time.Time // when the request was sent: the endpoint made the statement later
	AnsweredAt time.Time // when the response arrived: the endpoint made the statement earlier
}

// replaces reports whether s replaces an earlier known statement. A statement that was certainly made before the known one does not. If the order
// of the two is not certain, the stricter one counts, so that a response that was delayed on its way never lifts a limit.
func (s Statement) replaces(known Statement) bool {
	if !s.AnsweredAt.After(known.SentAt) {
		return false
	}
	return s.PerSecond <= known.PerSecond || !s.SentAt.Before(known.AnsweredAt)
}

// withdrawnLifetime is how long a withdrawn limit is remembered, so that a delayed response that still names it does not bring it back.
const withdrawnLifetime = 30 * time.Second

// maxEndpoints bounds the endpoints in a table. Limits of further ones are not kept.
const maxEndpoints = 16_384

// Change describes a change of an endpoint's limit, in requests per second.
type Change struct{ Old, New float64 }

// Table holds the newest statement of each endpoint that has named a limit, and the endpoints that are cold. It is safe for concurrent use.
type Table struct {
	size     atomic.Int64 // of statements
	coldSize atomic.Int64 // of cold

	mu         sync.RWMutex
	statements map[endpoints.ID]Statement
	cold       map[endpoints.ID]Cold
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{statements: map[endpoints.ID]Statement{}} }

// Record records a statement of an endpoint. isNew says that it replaced what was known, and change, which is nil otherwise, that the limit is
// another one now.
func (t *Table) Record(id endpoints.ID, s Statement) (isNew bool, change *Change) {
	if s.PerSecond == Unlimited && t.size.Load() == 0 {
		return false, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.statements[id]
	switch {
	case !ok && (s.PerSecond == Unlimited || len(t.statements) >= maxEndpoints):
		return false, nil
	case !ok:
		known.PerSecond = Unlimited
	case !s.replaces(known):
		return false, nil
	}
	if s.SentAt.Before(known.SentAt) {
		s.SentAt = known.SentAt
	}
	if s.AnsweredAt.Before(known.AnsweredAt) {
		s.AnsweredAt = known.AnsweredAt
	}
	t.statements[id] = s
	t.size.Store(int64(len(t.statements)))
	if s.PerSecond != known.PerSecond {
		change = &Change{Old: known.PerSecond, New: s.PerSecond}
	}
	return true, change
}

// Get returns the newest statement of an endpoint. It returns false if the endpoint has named no limit recently.
func (t *Table) Get(id endpoints.ID) (Statement, bool) {
	if t.size.Load() == 0 {
		return Statement{PerSecond: Unlimited}, false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.statements[id]
	if !ok {
		s.PerSecond = Unlimited
	}
	return s, ok
}

// PerSecond returns the limit of an endpoint in requests per second, or Unlimited.
func (t *Table) PerSecond(id endpoints.ID) float64 {
	s, _ := t.Get(id)
	return s.PerSecond
}

// Limited returns the endpoints that have a limit.
func (t *Table) Limited() []endpoints.ID {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	var list []endpoints.ID
	for id, s := range t.statements {
		if s.PerSecond != Unlimited {
			list = append(list, id)
		}
	}
	return list
}

// Evict removes limits that were withdrawn more than withdrawnLifetime ago, and the endpoints for which gone returns true.
func (t *Table) Evict(gone func(endpoints.ID) bool, now time.Time) {
	if t.size.Load() == 0 && t.coldSize.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evictCold(now)
	for id, s := range t.statements {
		if gone(id) || s.PerSecond == Unlimited && now.Sub(s.AnsweredAt) > withdrawnLifetime {
			delete(t.statements, id)
		}
	}
	t.size.Store(int64(len(t.statements)))
}
