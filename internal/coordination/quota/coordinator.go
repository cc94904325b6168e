package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
)

// coordinated is a customer that this host coordinates.
type coordinated struct {
	since  time.Time // from when on this host coordinates the customer
	bucket *bucket   // nil until a permit is wanted
	seen   map[string]seenRequest
	next   time.Time // until when the next permits are promised to hosts that were told when to ask again
	usedAt time.Time
}

// seenRequest is the last request of a host.
type seenRequest struct {
	number uint64
	at     time.Time
}

// askers returns the number of hosts that have asked lately.
func (c *coordinated) askers(now time.Time) (n int) {
	for _, s := range c.seen {
		if now.Sub(s.at) <= askerLifetime {
			n++
		}
	}
	return max(1, n)
}

// after returns how long a host that got fewer permits than it wanted waits before it asks again. Hosts that ask at the same time are told different
// times, one permit apart.
func (c *coordinated) after(now time.Time) time.Duration {
	first := now.Add(c.bucket.until(1 - c.bucket.tokens(now)))
	if c.next.After(first) {
		first = c.next
	}
	c.next = first.Add(c.bucket.until(1))
	if limit := now.Add(maxAfter); c.next.After(limit) {
		c.next = limit
	}
	return min(maxAfter, first.Sub(now))
}

// hostsView is what this host found out about the hosts that may coordinate.
type hostsView struct {
	byZone  map[string][]peers.Host
	version int // rises with each change of byZone
	at      time.Time
	known   uint64 // HostsVersion at this time
}

// view is what follows from a hostsView for a customer. Ranking the hosts of a large zone takes long compared with the handling of a message, and there
// are many customers, so that it is done only after a change.
type view struct {
	version    int    // of the hostsView
	zone       string // home zone
	candidates []peers.Host
}

// view returns the view of a customer. l.mu must be held.
func (l *Limiter) view(customer string, now time.Time) *view {
	if hosts, known := &l.hosts, l.cfg.HostsVersion(); hosts.at.IsZero() || now.Sub(hosts.at) >= viewTime || hosts.known != known {
		hosts.at, hosts.known = now, known
		if byZone := l.cfg.Hosts(now); !maps.EqualFunc(byZone, hosts.byZone, slices.Equal) {
			isListed := func(h peers.Host) bool { return h.Name == l.cfg.Host }
			if !slices.ContainsFunc(hosts.byZone[l.cfg.Zone], isListed) && slices.ContainsFunc(byZone[l.cfg.Zone], isListed) {
				l.eligibleSince = now
			}
			hosts.byZone = byZone
			hosts.version++
		}
	}
	v := l.views[customer]
	if v == nil || v.version != l.hosts.version {
		zone := peers.ChooseHomeZone(customer, slices.Collect(maps.Keys(l.hosts.byZone)))
		v = &view{l.hosts.version, zone, peers.RankQuotaHosts(l.hosts.byZone[zone], customer, maxCandidates)}
		l.views[customer] = v
	}
	return v
}

// isHome reports whether the hosts of this host's zone coordinate a customer. l.mu must be held.
func (l *Limiter) isHome(customer string, now time.Time) bool {
	return l.view(customer, now).zone == l.cfg.Zone
}

// find returns the hosts of a customer's home zone that may coordinate it, the best first. Of this zone, those that are silent although they were asked
// are left out. The result must not be modified. l.mu must be held.
func (l *Limiter) find(customer string, now time.Time) []peers.Host {
	v := l.view(customer, now)
	isSilent := func(h peers.Host) bool { return v.zone == l.cfg.Zone && l.silent(h.Name, now) }
	if len(l.awaited) > 0 && slices.ContainsFunc(v.candidates, isSilent) {
		return slices.DeleteFunc(slices.Clone(v.candidates), isSilent)
	}
	return v.candidates
}

// silent reports whether a host has sent nothing since it was asked, for so long that another one takes its place. l.mu must be held.
func (l *Limiter) silent(host string, now time.Time) bool {
	a := l.awaited[host]
	return a != nil && l.cfg.Lateness.Elapsed(a.since, now) >= l.takeoverTime() && !l.cfg.LastMessage(host).After(a.since)
}

// takeoverTime returns how long a coordinator must be silent although it is asked before the next host takes its place.
func (l *Limiter) takeoverTime() time.Duration {
	return max(minTakeoverTime, time.Duration(takeoverWindow*float64(l.cfg.QuorumWindow())))
}

// await notes that a host of this zone is asked. l.mu must be held.
func (l *Limiter) await(to peers.Host, customer string, now time.Time) {
	if to.Zone != l.cfg.Zone {
		return
	}
	if a := l.awaited[to.Name]; a == nil || l.cfg.LastMessage(to.Name).After(a.since) {
		l.awaited[to.Name] = &awaited{address: to.PeerAddress, customer: customer, since: now, pingedAt: now}
	}
}

// coordinates reports whether this host takes itself for the coordinator of a customer. l.mu must be held.
func (l *Limiter) coordinates(h *holding, now time.Time) bool {
	list := l.find(h.customer, now)
	return len(list) > 0 && list[0].Name == l.cfg.Host
}

// mayGrant reports whether this host may grant permits now: it hears from at least half of its zone. l.mu must be held.
func (l *Limiter) mayGrant(now time.Time) bool {
	was := l.share
	if l.share = l.authority.Part(now); l.share != was {
		l.cfg.OnEvent("quota_quorum", "heard", l.authority.Heard, "known", l.authority.Known, "share", l.share, "was", was)
		if l.share == 0 {
			l.suspend(now)
		}
	}
	return l.share > 0
}

// coordinate returns the state of a customer that this host coordinates, with a bucket for the limit. A new bucket has the tokens that were handed over and
// were added since this host became the coordinator. l.mu must be held.
func (l *Limiter) coordinate(customer string, limit Limit, now time.Time) *coordinated {
	c := l.coordinated[customer]
	if c == nil {
		c = &coordinated{since: now, seen: map[string]seenRequest{}}
		l.coordinated[customer] = c
		l.cfg.OnEvent("quota_coordinator", "customer", customer, "state", "begins", "version", limit.Version)
	}
	c.usedAt = now
	if c.bucket != nil && c.bucket.Version > limit.Version {
		limit = c.bucket.Limit
	}
	t := l.cfg.Tolerance.terms(limit, l.share)
	switch {
	case c.bucket == nil:
		c.bucket = l.newBucketOf(c, customer, t, now)
	case c.bucket.terms != t:
		c.bucket.setTerms(t, now)
	}
	return c
}

// grantSelf grants a permit to a request of this host, which coordinates the customer. l.mu must be held.
func (l *Limiter) grantSelf(h *holding, now time.Time) Result {
	if !l.mayGrant(now) {
		return h.unavailable()
	}
	c := l.coordinate(h.customer, h.Limit, now)
	c.seen[""] = seenRequest{at: now}
	h.hosts = c.askers(now)
	if c.bucket.grant(1, now) == 0 {
		h.scarceUntil = now.Add(scarceTime)
		return h.exceeded(l.cfg.Tolerance.Window, now)
	}
	return Result{Outcome: Granted, Limit: h.Limit,
		Permit: &Permit{customer: h.customer, requested: now, until: now.Add(c.bucket.lifetime), limit: c.bucket.Limit}}
}

// Sender is the host that sent a message.
type Sender struct {
	Name    string
	Address string // IP:port for messages to it
}

// HandleRequest answers a request of another host if this host is the coordinator, and passes it on otherwise.
func (l *Limiter) HandleRequest(r Request, from Sender, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noticePause(now)
	if r.Want == 0 && len(r.Returned) == 0 && r.Tokens == 0 && r.Transfer == nil { // asks whether this host answers
		l.cfg.Send(from.Address, nil, []Grant{{Customer: r.Customer, Number: r.Number}})
		return
	}
	replyTo := r.ReplyTo
	if replyTo == "" {
		replyTo = from.Address
	}
	limit, limited := l.cfg.Limit(r.Customer)
	if r.Version > limit.Version && r.PerSecond > 0 {
		limit, limited = Limit{r.PerSecond, r.Burst, r.Version}, true
	}
	if r.Transfer == nil && r.Tokens > 0 { // of an earlier build
		r.Transfer = &Transfer{Tokens: r.Tokens}
	}
	if r.Transfer != nil {
		l.receive(r, from, replyTo, now)
		return
	}
	list := l.find(r.Customer, now)
	if len(list) > 0 && list[0].Name != l.cfg.Host {
		l.yield(r.Customer, list, now)
	}
	switch {
	case len(list) == 0 || !l.isHome(r.Customer, now):
	case list[0].Name != l.cfg.Host:
		l.forward(r, list[0], replyTo, now)
	case !limited: // removed by a newer configuration
		l.cfg.Send(replyTo, nil, []Grant{{Customer: r.Customer, Number: r.Number, Permits: r.Want, Version: limit.Version}})
	case l.mayGrant(now):
		l.answer(r, limit, replyTo, from, now)
	}
}

// forward passes a request on to the host that this host takes for the coordinator. l.mu must be held.
func (l *Limiter) forward(r Request, to peers.Host, replyTo string, now time.Time) {
	if r.Forwards >= maxForwards || to.PeerAddress == replyTo {
		return
	}
	r.ReplyTo = replyTo
	r.Forwards++
	l.await(to, r.Customer, now)
	l.cfg.Send(to.PeerAddress, []Request{r}, nil)
}

// restartGap is the difference from which on a lower number is that of another process, which has started when the time of day had been set back: numbers
// begin with the start in units of 1/1024 microseconds and rise by one with each request, so that the difference is about a second.
const restartGap = 1 << 30

// answer grants what the customer's bucket has. A host that has passed the request on gets the response too, to know that this host answers. l.mu must
// be held.
func (l *Limiter) answer(r Request, limit Limit, replyTo string, from Sender, now time.Time) {
	c := l.coordinate(r.Customer, limit, now)
	if last := c.seen[replyTo].number; r.Number <= last && last-r.Number < restartGap {
		return // a copy, or an earlier one that was delayed
	}
	c.seen[replyTo] = seenRequest{r.Number, now}
	for _, ret := range r.Returned {
		c.bucket.giveBack(float64(ret.Permits), milliseconds(ret.AgeMS), now)
	}
	b := c.bucket
	g := Grant{Customer: r.Customer, Number: r.Number, Permits: b.grant(r.Want, now), PerSecond: b.PerSecond, Burst: b.Burst, Version: b.Version,
		Hosts: c.askers(now)}
	if g.Permits < r.Want {
		g.AfterMS = max(1, c.after(now).Milliseconds())
	}
	l.cfg.Send(replyTo, nil, []Grant{g})
	if from.Address != replyTo {
		l.cfg.Send(from.Address, nil, []Grant{{Customer: r.Customer, Number: r.Number}})
	}
}

// maintain begins and ends to coordinate customers as hosts come and go. A host that takes the place of this one gets the tokens that are left. l.mu
// must be held.
func (l *Limiter) maintain(now time.Time) {
	l.evictTransfers(now)
	if !l.mayGrant(now) {
		return
	}
	limited := map[string]bool{}
	for _, customer := range l.cfg.Limited() {
		c := l.coordinated[customer]
		if c == nil && !l.isHome(customer, now) {
			continue
		}
		limited[customer] = true
		list := l.find(customer, now)
		mine := len(list) > 0 && list[0].Name == l.cfg.Host
		switch {
		case mine && c == nil:
			l.coordinated[customer] = &coordinated{since: now, seen: map[string]seenRequest{}, usedAt: now}
			if _, handed := l.pending[customer]; handed {
				if limit, limited := l.cfg.Limit(customer); limited {
					l.coordinate(customer, limit, now)
				}
			}
		case mine:
			l.evict(customer, c, now)
		case c != nil:
			l.yield(customer, list, now)
		}
	}
	for customer := range l.coordinated {
		if !limited[customer] {
			delete(l.coordinated, customer)
		}
	}
}

// evict drops a bucket that was not used for long and is full again. l.mu must be held.
func (l *Limiter) evict(customer string, c *coordinated, now time.Time) {
	for address, s := range c.seen {
		if now.Sub(s.at) > unusedLifetime {
			delete(c.seen, address)
		}
	}
	if c.bucket != nil && now.Sub(c.usedAt) > unusedLifetime && c.bucket.tokens(now) >= c.bucket.depth {
		c.bucket = nil
	}
}
