package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
)

// maintainInterval is the interval at which a host checks which customers it coordinates.
const maintainInterval = 200 * time.Millisecond

// idleTickInterval is the interval between two calls of Tick while this host gets no requests of customers with a limit.
const idleTickInterval = pauseLimit / 4

// Tick sends what waits to be sent, repeats requests without a response and maintains the buckets. It returns when it is to be called
// again.
func (l *Limiter) Tick(now time.Time) (next time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noticePause(now)
	if now.Before(l.lastTick) {
		now = l.lastTick // a request has ended a pause while this call waited for the lock
	}
	defer func() { l.tickDue = now.Add(next) }()
	l.lastTick = now
	if len(l.holdings) == 0 && len(l.coordinated) == 0 && len(l.transfers) == 0 && len(l.cfg.Limited()) == 0 {
		return idleTickInterval
	}
	l.sendTransfers()
	if known := l.cfg.HostsVersion(); now.Sub(l.maintainedAt) >= maintainInterval || known != l.maintainedFor {
		l.maintainedAt, l.maintainedFor = now, known
		l.maintain(now)
	}
	l.ping(now)
	for _, customer := range slices.Sorted(maps.Keys(l.holdings)) { // in order, so that simulations repeat
		h := l.holdings[customer]
		l.attend(h, now)
		if now.Sub(h.usedAt) > unusedLifetime && len(h.waiters) == 0 && len(h.returns) == 0 {
			delete(l.holdings, customer)
			delete(l.views, customer)
		}
	}
	for _, address := range slices.Sorted(maps.Keys(l.outbox)) {
		l.flush(address)
	}
	if len(l.holdings) == 0 && len(l.awaited) == 0 && len(l.transfers) == 0 {
		return idleTickInterval
	}
	return tickInterval
}

// ping asks hosts that are silent for a response, so that lost messages alone do not make a host take the place of another one. l.mu must be held.
func (l *Limiter) ping(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(l.awaited)) {
		a := l.awaited[name]
		switch {
		case l.cfg.LastMessage(name).After(a.since), now.Sub(a.since) > unusedLifetime:
			delete(l.awaited, name)
		case now.Sub(a.pingedAt) >= pingInterval:
			a.pingedAt = now
			l.lastNumber++
			l.cfg.Send(a.address, []Request{{Customer: a.customer, Number: l.lastNumber}}, nil)
		}
	}
}

// attend repeats a request without a response while others wait for it, and gives back permits that are not needed. l.mu must be held.
func (l *Limiter) attend(h *holding, now time.Time) {
	h.dropExpired(now)
	if n := len(h.asked); n > 0 && h.asked[n-1].current && l.cfg.Lateness.Elapsed(h.asked[n-1].at, now) >= requestTimeout {
		h.asked[n-1].current = false
		h.failures++
	}
	if len(h.waiters) == 0 && (len(h.returns) == 0 || now.Sub(h.returns[0].addedAt) < returnDelay) {
		return
	}
	if l.coordinates(h, now) {
		l.serveSelf(h, now)
		return
	}
	if !l.awaitsGrant(h, now) {
		l.request(h, now, false)
	}
}

// serveSelf serves requests that began to wait before this host became the coordinator, and takes back permits. l.mu must be held.
func (l *Limiter) serveSelf(h *holding, now time.Time) {
	if c := l.coordinated[h.customer]; c != nil && c.bucket != nil {
		for _, r := range h.returns {
			c.bucket.giveBack(float64(r.permits), now.Sub(r.requested), now)
		}
		h.returns = nil
	}
	if !l.mayGrant(now) {
		return
	}
	for _, w := range h.waiters {
		w.done <- l.grantSelf(h, now)
	}
	h.waiters = nil
}

// topUp requests permits if this host holds less than half of what it holds in advance. The request goes with the next message to that host. l.mu must
// be held.
func (l *Limiter) topUp(h *holding, now time.Time) {
	if target := h.target(now); target > 0 && h.held(now) <= target/2 && !now.Before(h.refusedUntil) && !l.awaitsGrant(h, now) && !l.coordinates(h, now) {
		l.request(h, now, false)
	}
}

// request asks for the permits that are of use to this host, and gives back those that are not. An urgent request is sent at once, together with the
// others for the same host. After a failure it goes to two hosts: the one that was asked before, since the message may have been lost, and another
// one, which passes it on or has become the coordinator. The coordinator answers a request once. request returns false if there is no host to ask.
// l.mu must be held.
func (l *Limiter) request(h *holding, now time.Time, urgent bool) bool {
	to := l.askedHosts(h, now)
	if len(to) == 0 {
		return false
	}
	l.lastNumber++
	r := Request{Customer: h.customer, Number: l.lastNumber, Want: min(maxPermits, len(h.waiters)+max(0, h.target(now)-h.held(now))),
		PerSecond: h.PerSecond, Burst: h.Burst, Version: h.Version, Returned: h.takeReturns(now)}
	h.asked = append(h.asked, asked{r.Number, to[0].PeerAddress, r.Want, now, true})
	for _, host := range to {
		l.await(host, h.customer, now)
		l.outbox[host.PeerAddress] = append(l.outbox[host.PeerAddress], r)
		if urgent {
			l.flush(host.PeerAddress)
		}
	}
	return true
}

// askedHosts returns the hosts that are asked for permits: the one that granted last, or else the best candidate, and after failures another one in turn.
// l.mu must be held.
func (l *Limiter) askedHosts(h *holding, now time.Time) []peers.Host {
	list := slices.DeleteFunc(slices.Clone(l.find(h.customer, now)), func(c peers.Host) bool { return c.Name == l.cfg.Host })
	if i := slices.IndexFunc(list, func(c peers.Host) bool { return c.PeerAddress == h.granter }); i > 0 {
		granter := list[i]
		list = slices.Insert(slices.Delete(list, i, i+1), 0, granter)
	}
	if h.failures == 0 || len(list) < 2 {
		return list[:min(1, len(list))]
	}
	return []peers.Host{list[0], list[1+(h.failures-1)%(len(list)-1)]}
}

// flush sends the requests that wait for a message to an address. l.mu must be held.
func (l *Limiter) flush(address string) {
	list := l.outbox[address]
	delete(l.outbox, address)
	for len(list) > 0 {
		n := min(len(list), MaxRequests)
		l.cfg.Send(address, list[:n:n], nil)
		list = list[n:]
	}
}

// HandleGrant adds the permits of a grant and serves those that wait for them.
func (l *Limiter) HandleGrant(g Grant, from Sender, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noticePause(now)
	h := l.holdings[g.Customer]
	if h == nil {
		return
	}
	i := slices.IndexFunc(h.asked, func(a asked) bool { return a.number == g.Number })
	if i < 0 {
		return // a copy, the response to a ping, or one that is too late
	}
	a := h.asked[i]
	h.asked = slices.Delete(h.asked, i, i+1)
	h.granter, h.failures, h.hosts = from.Address, 0, g.Hosts
	granted := Limit{g.PerSecond, g.Burst, g.Version}
	if g.Permits > 0 {
		lifetime := h.lifetime
		if granted.PerSecond > 0 {
			lifetime = min(lifetime, l.cfg.Tolerance.terms(granted, 1).lifetime)
		}
		h.lots = append(h.lots, lot{g.Permits, a.at, a.at.Add(lifetime), granted})
		h.serveWaiters(now)
	}
	switch {
	case g.Permits < a.want && granted.Version >= h.Version:
		h.refusedUntil, h.scarceUntil = now.Add(milliseconds(g.AfterMS)), now.Add(scarceTime)
		h.refuseWaiters(l.cfg.Tolerance.Window, now)
	case len(h.waiters) > 0 && !l.awaitsGrant(h, now):
		l.request(h, now, true)
	}
}
