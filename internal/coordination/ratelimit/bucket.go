package ratelimit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// bucket is the token bucket of an endpoint that this host coordinates.
type bucket struct {
	limiter     *rate.Limiter
	perSecond   float64 // limit of the endpoint
	part        float64 // of it that this host grants
	refreshedAt time.Time
	clearedAt   time.Time // when the reservations under a higher limit were last forgotten
	latest      time.Time // of the calls; see advance
}

// advance returns the time at which a call counts that was made at the given one: no earlier than the calls before. A caller may have waited for the lock, and
// rate.Limiter would add the tokens of that time twice.
func (b *bucket) advance(now time.Time) time.Time {
	if now.After(b.latest) {
		b.latest = now
	}
	return b.latest
}

// part returns the part of an endpoint's limit that this host may grant as the coordinator. Hosts that hear from less than half of their zone may all take
// themselves for it. Each then has its part of a limit that the endpoint has named, so that all together add the limit once at most. What a cold
// endpoint takes is too little to be divided. l.mu must be held.
func (l *Limiter) part(id endpoints.ID, perSecond float64, now time.Time) float64 {
	part := l.authority.Part(now)
	if part > 0 || l.isColdRate(id, perSecond, now) {
		return part
	}
	return 1 / float64(l.authority.Known)
}

// isColdRate reports whether a limit is the rate of an endpoint that is cold, and not one that it has named.
func (l *Limiter) isColdRate(id endpoints.ID, perSecond float64, now time.Time) bool {
	c, cold := l.cfg.Limits.Cold(id, now)
	return cold && c.PerSecond <= perSecond && l.cfg.ColdTolerance.Over > 0
}

// bucket returns the bucket of an endpoint for a part of its limit. A new one is empty, since another host may have granted permits until now. l.mu must be
// held.
func (l *Limiter) bucket(id endpoints.ID, perSecond, part float64, now time.Time) *bucket {
	granted, burst := l.permitRate(id, perSecond, now)
	granted *= part
	b := l.buckets[id]
	switch {
	case b == nil || b.part != part:
		b = &bucket{limiter: newLimiter(granted, burst, 0, now), perSecond: perSecond, part: part, latest: now}
		l.buckets[id] = b
	case b.perSecond != perSecond:
		b.setLimit(perSecond, granted, burst, b.advance(now))
	}
	return b
}

// permitRate returns the rate of permits per second for an endpoint with a limit, and how many may add up.
func (l *Limiter) permitRate(id endpoints.ID, perSecond float64, now time.Time) (granted float64, burst int) {
	granted = usedShare * perSecond
	if l.isColdRate(id, perSecond, now) {
		granted, burst = l.cfg.ColdTolerance.permitRate(perSecond)
	}
	granted = min(max(minPerSecond, granted), math.MaxInt32)
	return granted, max(1, burst, int(granted*burstTime.Seconds()))
}

// setLimit changes the limit of an endpoint, the rate of its permits per second, and the number of permits that add up. What was reserved under a
// higher limit is void, so that the new rate need not make up for it: after a fall from 40 to 2 a second, that would take 20 times as long
// as it was reserved for. Within debtInterval of such a fall, the time that is reserved stays reserved.
func (b *bucket) setLimit(perSecond, granted float64, burst int, now time.Time) {
	debt := -b.limiter.TokensAt(now)
	switch {
	case perSecond > b.perSecond || debt <= 0:
		b.limiter.SetLimitAt(now, rate.Limit(granted))
		b.limiter.SetBurstAt(now, burst)
	case now.Sub(b.clearedAt) >= debtInterval:
		b.limiter, b.clearedAt = newLimiter(granted, burst, 0, now), now
	default:
		reserved := debt / float64(b.limiter.Limit()) // seconds
		b.limiter = newLimiter(granted, burst, int(reserved*granted), now)
	}
	b.perSecond = perSecond
}

// newLimiter returns a token bucket without tokens, of which a number of later ones are reserved.
func newLimiter(granted float64, burst, reserved int, now time.Time) *rate.Limiter {
	limiter := rate.NewLimiter(rate.Limit(granted), max(burst, reserved))
	limiter.AllowN(now, limiter.Burst())
	limiter.ReserveN(now, reserved)
	limiter.SetBurstAt(now, burst)
	return limiter
}
