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
	earliest := m.lastTick.Add(TickInterval)
	if m.probe != nil || m.mayHaveSuspects || len(m.unacknowledged) > 0 || m.challengesSent >= maxChallenges {
		return earliest
	}
	next := m.nextProbe
	if m.nextRetry.Before(next) {
		next = m.nextRetry
	}
	if len(m.members) > 0 && m.nextSync.Before(next) {
		next = m.nextSync
	}
	if next.Before(earliest) {
		return earliest
	}
	return next
}

// Tick performs all actions that are due and returns the messages to send.
func (m *Machine) Tick(now time.Time) []Packet {
	if gap := now.Sub(m.lastTick); gap > pauseThreshold {
		m.resumeAfterPause(now, gap)
	}
	m.lastTick = now
	m.challengesSent = 0
	out := m.advanceProbe(now)
	out = append(out, m.processSuspicions(now)...)
	out = append(out, m.announceLeave(now)...)
	out = append(out, m.retryAddresses(now)...)
	out = append(out, m.requestSync(now)...)
	if !now.Before(m.nextExpiry) {
		m.nextExpiry = now.Add(time.Second)
		m.removeExpired(now)
	}
	return out
}

// resumeAfterPause discards the probe in progress and all outstanding pings: they may have timed out only because this process was
// paused, and their acks may still be in the socket buffer. It makes the next probe and full exchange due at once, and extends the
// deadlines of suspicions and the retention of dead members by the length of the pause.
func (m *Machine) resumeAfterPause(now time.Time, gap time.Duration) {
	m.probe = nil
	clear(m.pings)
	m.nextProbe, m.nextSync = now, now
	for _, peer := range m.members {
		if peer.Suspected {
			peer.suspicionDeadline = peer.suspicionDeadline.Add(gap)
		}
		if peer.State == Dead {
			peer.deadSince = peer.deadSince.Add(gap)
		}
	}
}

// advanceProbe advances the probe in progress: after AckTimeout it requests indirect pings, and after another AckTimeout it suspects
// the member. If no probe is in progress and the next one is due, it starts that one.
func (m *Machine) advanceProbe(now time.Time) []Packet {
	var out []Packet
	if p := m.probe; p != nil {
		peer := m.members[p.host]
		switch waited := now.Sub(p.sent); {
		case peer == nil || peer.State == Dead:
			m.probe = nil
		case !p.indirect && waited >= m.cfg.AckTimeout:
			p.indirect = true
			for _, helper := range m.randomLiveMembers(indirectProbes, p.host) {
				request := m.newMessage(now, PingRequest, p.nonce)
				request.Target = peer.addr()
				m.piggyback(now, request, nil, false, false)
				out = append(out, Packet{helper.addr(), request})
			}
		case waited >= 2*m.cfg.AckTimeout:
			m.probe = nil
			out = append(out, m.suspect(now, peer)...)
		}
	}
	if m.probe != nil || now.Before(m.nextProbe) {
		return out
	}
	m.nextProbe = m.nextProbe.Add(m.cfg.ProbeInterval)
	if m.nextProbe.Before(now) {
		m.nextProbe = now.Add(m.cfg.ProbeInterval)
	}
	if peer := m.nextProbeTarget(); peer != nil {
		out = append(out, m.startProbe(now, peer)...)
	}
	return out
}

// nextProbeTarget returns the next live member to probe. Each round probes all live members once, in a new random order.
func (m *Machine) nextProbeTarget() *member {
	for range 2 {
		for m.probeIndex < len(m.probeOrder) {
			peer := m.members[m.probeOrder[m.probeIndex]]
			m.probeIndex++
			if peer != nil && peer.State != Dead {
				return peer
			}
		}
		m.probeIndex = 0
		m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return nil
}

// startProbe starts a probe of a member and returns its direct ping.
func (m *Machine) startProbe(now time.Time, peer *member) []Packet {
	out := m.newPing(now, peer.addr(), peer.Host, false)
	m.probe = &probe{host: peer.Host, nonce: out.Message.Nonce, sent: now}
	return []Packet{out}
}

// newPing returns a ping to an address and records it as outstanding. host is empty if only the address is known. wantRecord requests
// the receiver's full record and includes this host's own.
func (m *Machine) newPing(now time.Time, to netip.AddrPort, host string, wantRecord bool) Packet {
	nonce := m.rng.Uint64() | 1 // never 0, which means that a message has no nonce
	if len(m.pings) < maxOutstandingPings {
		m.pings[nonce] = ping{host: host, sent: now, counter: m.self.Counter}
	}
	msg := m.newMessage(now, Ping, nonce)
	msg.WantRecord = wantRecord
	peer := m.members[host]
	if peer != nil {
		peer.lastPing = now
	}
	m.piggyback(now, msg, peer, wantRecord, false)
	return Packet{to, msg}
}

// suspect marks a member as suspected and pings some other members immediately, so that all members start the suspicion at about the
// same time.
func (m *Machine) suspect(now time.Time, peer *member) []Packet {
	if peer.Suspected || peer.State == Dead {
		return nil
	}
	peer.Suspected, peer.suspectedLocally = true, true
	m.mayHaveSuspects = true
	peer.suspicionDeadline = now.Add(m.cfg.SuspicionTimeout)
	m.queuedUpdates[peer.Host] = m.retransmitLimit(updateRetransmitMult)
	m.viewOutdated = true
	return m.pingRandomMembers(now, peer.Host)
}

// processSuspicions declares suspected members dead after their deadline. Until then it pings the members whose probe by this host
// failed, so that they can refute the suspicion.
func (m *Machine) processSuspicions(now time.Time) []Packet {
	var out []Packet
	m.mayHaveSuspects = false
	for _, name := range m.probeOrder {
		peer := m.members[name]
		if !peer.Suspected || peer.State == Dead {
			continue
		}
		m.mayHaveSuspects = true
		if !now.Before(peer.suspicionDeadline) {
			r := peer.Record
			r.State, r.Suspected = Dead, false
			m.mergeRecord(now, r)
		} else if peer.suspectedLocally && now.Sub(peer.lastPing) >= m.cfg.AckTimeout {
			out = append(out, m.newPing(now, peer.addr(), name, true))
		}
	}
	return out
}

// announceLeave pings the members that have not acknowledged the planned stop. Each ping carries this host's state in its header.
func (m *Machine) announceLeave(now time.Time) []Packet {
	if len(m.unacknowledged) == 0 || now.Before(m.nextAnnounce) {
		return nil
	}
	m.nextAnnounce = now.Add(announceInterval)
	var out []Packet
	for _, name := range slices.Sorted(maps.Keys(m.unacknowledged)) {
		peer := m.members[name]
		if peer == nil {
			delete(m.unacknowledged, name)
			continue
		}
		if len(out) < announceBatch && now.Sub(peer.lastPing) >= announceInterval {
			out = append(out, m.newPing(now, peer.addr(), name, false))
		}
	}
	return out
}

// retryAddresses pings one random address that belongs to no live member, or retryBatchWhenAlone of them while no other member is
// alive. The addresses are the seeds and those of dead members. A host that runs at such an address thereby joins the members.
func (m *Machine) retryAddresses(now time.Time) []Packet {
	if now.Before(m.nextRetry) {
		return nil
	}
	m.nextRetry = now.Add(retryInterval)
	skip := map[netip.AddrPort]bool{netip.AddrPortFrom(m.self.IP, m.self.PeerPort): true}
	deadNames := map[netip.AddrPort]string{}
	alone := true
	for name, peer := range m.members {
		if peer.State != Dead {
			skip[peer.addr()], alone = true, false
		} else {
			deadNames[peer.addr()] = name
		}
	}
	candidates := slices.Concat(m.seeds, slices.Collect(maps.Keys(deadNames)), slices.Collect(maps.Keys(m.formerAddresses)))
	candidates = slices.DeleteFunc(candidates, func(a netip.AddrPort) bool { return skip[a] })
	slices.SortFunc(candidates, netip.AddrPort.Compare)
	candidates = slices.Compact(candidates)
	m.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	count := 1
	if alone {
		count = retryBatchWhenAlone
	}
	var out []Packet
	for _, a := range candidates[:min(count, len(candidates))] {
		out = append(out, m.newPing(now, a, deadNames[a], true))
	}
	return out
}

// requestSync starts a full exchange with a random member if one is due.
func (m *Machine) requestSync(now time.Time) []Packet {
	if now.Before(m.nextSync) {
		return nil
	}
	chosen := m.randomLiveMembers(1, "")
	if len(chosen) == 0 {
		return nil
	}
	request := m.newMessage(now, SyncRequest, 0)
	if m.synced {
		m.nextSync = now.Add(max(minSyncInterval, time.Duration(len(m.members))*syncIntervalPerMember))
		request.TableDigest = TableDigest(m.allRecords(now))
	} else {
		m.nextSync = now.Add(syncRetryInterval)
	}
	return []Packet{{chosen[0].addr(), request}}
}

// removeExpired removes dead members, addresses of dead members and outstanding pings after their retention time. If there are more
// than maxFormerAddresses addresses, it removes the oldest.
func (m *Machine) removeExpired(now time.Time) {
	for name, peer := range m.members {
		if peer.State == Dead && now.Sub(peer.deadSince) > m.cfg.DeadRetention {
			m.removeMember(name)
		}
	}
	maps.DeleteFunc(m.formerAddresses, func(_ netip.AddrPort, since time.Time) bool { return now.Sub(since) > m.cfg.FormerAddressRetention })
	maps.DeleteFunc(m.pings, func(_ uint64, p ping) bool { return now.Sub(p.sent) > pingLifetime })
	for len(m.formerAddresses) > maxFormerAddresses {
		oldest := slices.MinFunc(slices.SortedFunc(maps.Keys(m.formerAddresses), netip.AddrPort.Compare),
			func(a, b netip.AddrPort) int { return m.formerAddresses[a].Compare(m.formerAddresses[b]) })
		delete(m.formerAddresses, oldest)
	}
}
