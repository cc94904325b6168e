package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// TickInterval is the time between two calls of Tick while a timeout is pending; see NextTick.
const TickInterval = 25 * time.Millisecond

// NextTick returns when Tick must be called next. Messages and calls of the other methods may make that time earlier. If no timeout
// is pending, Tick is not due until the next probe, retry or full exchange: calling it every TickInterval takes two thirds of the CPU
// time of an idle host.
func (m *Machine) NextTick() time.Time {
	soon := m.lastTick.Add(TickInterval)
	if m.probe != nil || m.suspecting || len(m.pending) > 0 || m.challenges >= maxChallenges {
		return soon
	}
	next := m.nextProbe
	if m.nextRetry.Before(next) {
		next = m.nextRetry
	}
	if len(m.members) > 0 && m.nextSync.Before(next) {
		next = m.nextSync
	}
	if next.Before(soon) {
		return soon
	}
	return next
}

// Tick performs all actions that are due and returns the messages to send.
func (m *Machine) Tick(now time.Time) []Packet {
	if gap := now.Sub(m.lastTick); gap > frozenAfter {
		m.thaw(now, gap)
	}
	m.lastTick = now
	m.challenges = 0
	out := m.probeDue(now)
	out = append(out, m.suspicions(now)...)
	out = append(out, m.announce(now)...)
	out = append(out, m.retry(now)...)
	out = append(out, m.requestSync(now)...)
	if !now.Before(m.nextForget) {
		m.nextForget = now.Add(time.Second)
		m.forgetOld(now)
	}
	return out
}

// thaw discards the probe and the pings that timed out while this process was paused, because their acks may still be in the socket
// buffer. It extends the deadlines of suspicions and the retention of dead members by the length of the pause.
func (m *Machine) thaw(now time.Time, gap time.Duration) {
	m.probe = nil
	clear(m.pings)
	m.nextProbe, m.nextSync = now, now
	for _, o := range m.members {
		if o.Suspected {
			o.deadline = o.deadline.Add(gap)
		}
		if o.State == Dead {
			o.deadSince = o.deadSince.Add(gap)
		}
	}
}

// probeDue advances the probe in progress: after AckTimeout it requests indirect pings, and after another AckTimeout it suspects the
// member. If no probe is in progress and the next one is due, it starts that one.
func (m *Machine) probeDue(now time.Time) []Packet {
	var out []Packet
	if p := m.probe; p != nil {
		o := m.members[p.host]
		switch waited := now.Sub(p.sent); {
		case o == nil || o.State == Dead:
			m.probe = nil
		case !p.indirect && waited >= m.cfg.AckTimeout:
			p.indirect = true
			for _, helper := range m.pick(indirectProbes, p.host) {
				request := m.message(now, PingRequest, p.nonce)
				request.Target = o.addr()
				m.fill(now, request, nil, false, false)
				out = append(out, Packet{helper.addr(), request})
			}
		case waited >= 2*m.cfg.AckTimeout:
			m.probe = nil
			out = append(out, m.suspect(now, o)...)
		}
	}
	if m.probe != nil || now.Before(m.nextProbe) {
		return out
	}
	m.nextProbe = m.nextProbe.Add(m.cfg.ProbeInterval)
	if m.nextProbe.Before(now) {
		m.nextProbe = now.Add(m.cfg.ProbeInterval)
	}
	if o := m.next(); o != nil {
		out = append(out, m.startProbe(now, o)...)
	}
	return out
}

// next returns the next live member to probe. Each round probes all live members once, in a new random order.
func (m *Machine) next() *member {
	for range 2 {
		for m.turn < len(m.order) {
			o := m.members[m.order[m.turn]]
			m.turn++
			if o != nil && o.State != Dead {
				return o
			}
		}
		m.turn = 0
		m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
	return nil
}

// startProbe starts a probe of a member and returns its direct ping.
func (m *Machine) startProbe(now time.Time, o *member) []Packet {
	out := m.ping(now, o.addr(), o.Host, false)
	m.probe = &probe{host: o.Host, nonce: out.Message.Nonce, sent: now}
	return []Packet{out}
}

// ping returns a ping to an address and records it as outstanding. host is empty if only the address is known. want requests the
// receiver's full record and includes this host's own.
func (m *Machine) ping(now time.Time, to netip.AddrPort, host string, want bool) Packet {
	nonce := m.rng.Uint64() | 1 // never 0, which means that a message has no nonce
	if len(m.pings) < maxPings {
		m.pings[nonce] = ping{host: host, sent: now, counter: m.self.Counter}
	}
	msg := m.message(now, Ping, nonce)
	msg.Want = want
	o := m.members[host]
	if o != nil {
		o.lastPing = now
	}
	m.fill(now, msg, o, want, false)
	return Packet{to, msg}
}

// suspect marks a member as suspected and pings some other members immediately, so that all members start the suspicion at about the
// same time.
func (m *Machine) suspect(now time.Time, o *member) []Packet {
	if o.Suspected || o.State == Dead {
		return nil
	}
	o.Suspected, o.mine = true, true
	m.suspecting = true
	o.deadline = now.Add(m.cfg.SuspicionTimeout)
	m.updates[o.Host] = m.sends(updateSends)
	m.changed = true
	return m.burst(now, o.Host)
}

// suspicions declares suspected members dead after their deadline. Before it, suspicions pings those members whose probe by this host
// failed, so that they can refute the suspicion.
func (m *Machine) suspicions(now time.Time) []Packet {
	var out []Packet
	m.suspecting = false
	for _, name := range m.order {
		o := m.members[name]
		if !o.Suspected || o.State == Dead {
			continue
		}
		m.suspecting = true
		if !now.Before(o.deadline) {
			r := o.Record
			r.State, r.Suspected = Dead, false
			m.apply(now, r)
		} else if o.mine && now.Sub(o.lastPing) >= m.cfg.AckTimeout {
			out = append(out, m.ping(now, o.addr(), name, true))
		}
	}
	return out
}

// announce pings the members that have not acknowledged the planned stop. Each ping carries this host's state in its header.
func (m *Machine) announce(now time.Time) []Packet {
	if len(m.pending) == 0 || now.Before(m.nextAnnounce) {
		return nil
	}
	m.nextAnnounce = now.Add(announceInterval)
	var out []Packet
	for _, name := range slices.Sorted(maps.Keys(m.pending)) {
		o := m.members[name]
		if o == nil {
			delete(m.pending, name)
			continue
		}
		if len(out) < announceBatch && now.Sub(o.lastPing) >= announceInterval {
			out = append(out, m.ping(now, o.addr(), name, false))
		}
	}
	return out
}

// retry pings random addresses at which a live member may be that this host does not know as alive: seeds and addresses of dead
// members.
func (m *Machine) retry(now time.Time) []Packet {
	if now.Before(m.nextRetry) {
		return nil
	}
	m.nextRetry = now.Add(retryInterval)
	skip := map[netip.AddrPort]bool{netip.AddrPortFrom(m.self.IP, m.self.PeerPort): true}
	names := map[netip.AddrPort]string{}
	alone := true
	for name, o := range m.members {
		if o.State != Dead {
			skip[o.addr()], alone = true, false
		} else {
			names[o.addr()] = name
		}
	}
	candidates := slices.Concat(m.seeds, slices.Collect(maps.Keys(names)), slices.Collect(maps.Keys(m.former)))
	candidates = slices.DeleteFunc(candidates, func(a netip.AddrPort) bool { return skip[a] })
	slices.SortFunc(candidates, netip.AddrPort.Compare)
	candidates = slices.Compact(candidates)
	m.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	count := 1
	if alone {
		count = retryWhenAlone
	}
	var out []Packet
	for _, a := range candidates[:min(count, len(candidates))] {
		out = append(out, m.ping(now, a, names[a], true))
	}
	return out
}

// requestSync starts a full exchange with a random member if one is due.
func (m *Machine) requestSync(now time.Time) []Packet {
	if now.Before(m.nextSync) {
		return nil
	}
	some := m.pick(1, "")
	if len(some) == 0 {
		return nil
	}
	request := m.message(now, SyncRequest, 0)
	if m.synced {
		m.nextSync = now.Add(max(syncInterval, time.Duration(len(m.members))*syncPerMember))
		request.Table = TableDigest(m.records(now))
	} else {
		m.nextSync = now.Add(syncRetry)
	}
	return []Packet{{some[0].addr(), request}}
}

// forgetOld removes dead members, addresses of dead members and outstanding pings after their retention time. If there are more than
// maxFormer addresses, it removes the oldest.
func (m *Machine) forgetOld(now time.Time) {
	for name, o := range m.members {
		if o.State == Dead && now.Sub(o.deadSince) > m.cfg.ForgetDead {
			m.forget(name)
		}
	}
	maps.DeleteFunc(m.former, func(_ netip.AddrPort, since time.Time) bool { return now.Sub(since) > m.cfg.RetryFormer })
	maps.DeleteFunc(m.pings, func(_ uint64, p ping) bool { return now.Sub(p.sent) > pingLifetime })
	for len(m.former) > maxFormer {
		oldest := slices.MinFunc(slices.SortedFunc(maps.Keys(m.former), netip.AddrPort.Compare),
			func(a, b netip.AddrPort) int { return m.former[a].Compare(m.former[b]) })
		delete(m.former, oldest)
	}
}
