package quota

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/decay"
)

// demandTime is the time constant of the demand of a customer at this host.
const demandTime = 500 * time.Millisecond

// holding is what this host holds and awaits for one customer.
type holding struct {
	customer string
	terms
	lots         []lot       // in the order in which they were granted
	demand       decay.Meter // requests, with the time constant demandTime
	waiters      []*waiter
	asked        []asked   // requests without a response, the newest last
	failures     int       // requests without a response since the last grant
	granter      string    // address of the host that sent the last grant
	refusedUntil time.Time // the coordinator has no permit before
	hosts        int       // hosts that ask for permits of the customer, as the coordinator says
	scarceUntil  time.Time // until when late requests get no permit
	nextReturn   time.Time // when the last refused caller was told to come back
	returns      []pendingReturn
	usedAt       time.Time
}

// lot is a number of permits that were granted together.
type lot struct {
	permits   int
	requested time.Time
	until     time.Time
	limit     Limit
}

// waiter is a request that waits for a permit. done has room for the result.
type waiter struct{ done chan Result }

// asked is a request for permits without a response.
type asked struct {
	number  uint64
	address string
	want    int
	at      time.Time
	current bool // it has not timed out
}

type pendingReturn struct {
	permits   int
	requested time.Time
	addedAt   time.Time
}

// holding returns the holding of a customer under its limit. A change of the limit takes effect at once. l.mu must be held.
func (l *Limiter) holding(customer string, limit Limit, now time.Time) *holding {
	h := l.holdings[customer]
	if h == nil {
		h = &holding{customer: customer, hosts: 1}
		l.holdings[customer] = h
	}
	if h.Limit != limit {
		if h.PerSecond != limit.PerSecond || h.Burst != limit.Burst {
			h.refusedUntil, h.nextReturn = time.Time{}, time.Time{}
		}
		h.terms = l.cfg.Tolerance.terms(limit, 1)
	}
	h.usedAt = now
	return h
}

// usable reports whether a lot has permits that may be used: it has not expired, and this host knows no lower limit than that under which they were
// granted.
func (h *holding) usable(t *lot, now time.Time) bool {
	return t.permits > 0 && now.Before(t.until) && (h.Version <= t.limit.Version || h.PerSecond >= t.limit.PerSecond && h.Burst >= t.limit.Burst)
}

// take uses up a permit, of those that expire first. It returns nil if there is none.
func (h *holding) take(now time.Time) *Permit {
	best := -1
	for i := range h.lots {
		if h.usable(&h.lots[i], now) && (best < 0 || h.lots[i].until.Before(h.lots[best].until)) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	t := &h.lots[best]
	t.permits--
	return &Permit{customer: h.customer, requested: t.requested, until: t.until, limit: t.limit}
}

// held returns the number of permits that may be used now.
func (h *holding) held(now time.Time) (n int) {
	for i := range h.lots {
		if h.usable(&h.lots[i], now) {
			n += h.lots[i].permits
		}
	}
	return n
}

// target returns the number of permits that this host holds in advance. It is 0 at low demand: a permit would mostly expire, and is granted within a
// round trip when it is needed.
func (h *holding) target(now time.Time) int {
	return int(min(h.demand.Rate(demandTime, now), h.PerSecond) * h.ahead.Seconds())
}

// dropExpired removes lots that cannot be used any more. Permits that are about to expire are given back.
func (h *holding) dropExpired(now time.Time) {
	h.lots = slices.DeleteFunc(h.lots, func(t lot) bool {
		if t.permits > 0 && now.Add(2*tickInterval).Before(t.until) {
			return false
		}
		if t.permits > 0 {
			h.addReturn(t.permits, t.requested, now)
		}
		return true
	})
	h.asked = slices.DeleteFunc(h.asked, func(a asked) bool { return now.Sub(a.at) > lateGrantTime })
}

// addReturn notes permits for the next message to the coordinator.
func (h *holding) addReturn(n int, requested, now time.Time) {
	if len(h.returns) == keptReturns {
		h.returns = slices.Delete(h.returns, 0, 1)
	}
	h.returns = append(h.returns, pendingReturn{n, requested, now})
}

// takeReturns returns the returns for a message. The caller may have waited for the lock, so that now is before some of them.
func (h *holding) takeReturns(now time.Time) (list []Return) {
	n := min(len(h.returns), maxReturns)
	for _, r := range h.returns[:n] {
		list = append(list, Return{r.permits, min(max(0, now.Sub(r.requested).Milliseconds()), maxAgeMS)})
	}
	h.returns = slices.Delete(h.returns, 0, n)
	return list
}

// awaitsGrant reports whether a request for permits has no response yet and has not timed out. l.mu must be held.
func (l *Limiter) awaitsGrant(h *holding, now time.Time) bool {
	return len(h.asked) > 0 && h.asked[len(h.asked)-1].current && l.cfg.Lateness.Elapsed(h.asked[len(h.asked)-1].at, now) < requestTimeout
}

// serveWaiters gives the permits of this host to those that wait for them, in order.
func (h *holding) serveWaiters(now time.Time) {
	for len(h.waiters) > 0 {
		p := h.take(now)
		if p == nil {
			return
		}
		h.waiters[0].done <- Result{Outcome: Granted, Permit: p, Limit: h.Limit}
		h.waiters = slices.Delete(h.waiters, 0, 1)
	}
}

// refuseWaiters refuses all that wait.
func (h *holding) refuseWaiters(window time.Duration, now time.Time) {
	for _, w := range h.waiters {
		w.done <- h.exceeded(window, now)
	}
	h.waiters = nil
}

func (h *holding) removeWaiter(w *waiter) {
	if i := slices.Index(h.waiters, w); i >= 0 {
		h.waiters = slices.Delete(h.waiters, i, i+1)
	}
}

func (h *holding) unavailable() Result {
	return Result{Outcome: Unavailable, RetryAfter: unavailableRetryAfter(), Limit: h.Limit}
}

// exceeded returns the result for a request beyond the limit. Callers that are refused one after the other are told to come back at the rate of which
// this host has a part; no later than after a window, since a refusal then says nothing about the quota any more.
func (h *holding) exceeded(window time.Duration, now time.Time) Result {
	gap := h.until(float64(max(1, h.hosts)))
	earliest := now
	if h.refusedUntil.After(now) {
		earliest = h.refusedUntil
	}
	if h.nextReturn.After(earliest) {
		earliest = h.nextReturn
	}
	h.nextReturn = earliest.Add(gap)
	after := h.nextReturn.Sub(now)
	if after > window {
		h.nextReturn = now.Add(window)
		after = window/2 + rand.N(window/2)
	}
	return Result{Outcome: Exceeded, RetryAfter: after, Limit: h.Limit}
}
