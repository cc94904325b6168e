package ratelimit

import (
	"slices"
	"time"
)

// stock holds the permits of this host for one endpoint.
type stock struct {
	lots         []lot         // in the order in which they were granted
	refusedUntil time.Time     // the coordinator has no permit before
	number       uint64        // of the request for permits that has no response yet; 0 if there is none
	requestedAt  time.Time     // when it was sent
	answered     chan struct{} // closed when its response arrives
	usedAt       time.Time
}

// lot is a number of permits that were granted together.
type lot struct {
	permits     int
	from, until time.Time // when they may be used
	perSecond   float64   // limit of the endpoint under which they were granted, in requests per second
}

// grant is the result of a request for permits.
type grant struct {
	permits   int           // 0 if there are none
	after     time.Duration // until the permits may be used; without permits, until there may be one
	perSecond float64       // limit of the endpoint that the coordinator has applied, in requests per second
}

// valid returns the number of permits that may be used now.
func (s *stock) valid(now time.Time) (permits int) {
	if s == nil {
		return 0
	}
	for _, t := range s.lots {
		if !now.Before(t.from) && !now.After(t.until) {
			permits += t.permits
		}
	}
	return permits
}

// reserved returns the number of permits that may be used later, and when the first of them may.
func (s *stock) reserved(now time.Time) (permits int, first time.Time) {
	for _, t := range s.lots {
		if now.Before(t.from) {
			if permits == 0 || t.from.Before(first) {
				first = t.from
			}
			permits += t.permits
		}
	}
	return permits, first
}

// take uses up a permit. It returns false if none may be used now.
func (s *stock) take(now time.Time) bool {
	if s == nil {
		return false
	}
	for i := range s.lots {
		if t := &s.lots[i]; t.permits > 0 && !now.Before(t.from) && !now.After(t.until) {
			t.permits--
			return true
		}
	}
	return false
}

// add adds granted permits, or notes when there may be some.
func (s *stock) add(g grant, now time.Time) {
	s.lots = slices.DeleteFunc(s.lots, func(t lot) bool { return t.permits == 0 || now.After(t.until) })
	from := now.Add(g.after)
	if g.permits == 0 {
		s.refusedUntil = from
		return
	}
	s.lots, s.refusedUntil = append(s.lots, lot{g.permits, from, from.Add(permitLifetime), g.perSecond}), time.Time{}
}

// dropAbove drops the permits that were granted under a higher limit than the given one, in requests per second. They may not be used under the
// lower one, and stay void if the limit rises again.
func (s *stock) dropAbove(perSecond float64) {
	s.lots = slices.DeleteFunc(s.lots, func(t lot) bool { return t.perSecond > perSecond })
}
