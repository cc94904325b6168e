package membership

import (
	"fmt"
	"hash/fnv"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// maxChallenges bounds the pings to senders that could not be verified, between two ticks.
const maxChallenges = 32

// Receive handles one authenticated message and returns the replies. The content of a message is used only if its sender is a live
// member and the sequence number is new, or if it is the ack of a ping that this host sent. Any other message might be a replay, so
// its sender is pinged first.
func (m *Machine) Receive(now time.Time, from netip.AddrPort, msg *Message) []Packet {
	if msg.From == m.self.Host {
		m.mergeOwnRecord(Record{Host: msg.From, Incarnation: msg.Incarnation, State: m.self.State})
		return nil
	}
	peer := m.members[msg.From]
	if peer != nil && peer.Incarnation == msg.Incarnation && !peer.acceptSeq(msg.Seq) {
		return nil
	}
	p, answersPing := m.pings[msg.Nonce]
	answersPing = answersPing && msg.Kind == Ack && (peer == nil || peer.Incarnation <= msg.Incarnation)
	verified := peer != nil && peer.Incarnation == msg.Incarnation && peer.State != Dead
	if !verified && !answersPing {
		return m.receiveUnverified(now, from, msg, peer)
	}
	// The other members already know the records that a joining member gets in its first full exchange. If the joining member
	// piggybacked them too, they would fill each of its datagrams for minutes.
	joining := msg.Kind == Push && !m.synced
	for _, r := range msg.Updates {
		_, queued := m.queuedUpdates[r.Host]
		m.mergeRecord(now, r)
		if joining && !queued && r.Host != m.self.Host {
			delete(m.queuedUpdates, r.Host)
		}
	}
	peer = m.members[msg.From]
	if peer == nil || peer.Incarnation != msg.Incarnation {
		return nil
	}
	m.applyHeader(now, peer, msg)
	m.applyMarks(now, msg.Marks)
	digestsDiffer := msg.MarksDigest != m.recentMarksDigest(now)
	switch msg.Kind {
	case Ping:
		ack := m.newMessage(now, Ack, msg.Nonce)
		m.piggyback(now, ack, peer, msg.WantRecord, digestsDiffer)
		return []Packet{{from, ack}}
	case Ack:
		return m.receiveAck(now, from, msg, p, answersPing, digestsDiffer)
	case PingRequest:
		out := m.newPing(now, msg.Target, "", true)
		outstanding := m.pings[out.Message.Nonce]
		outstanding.relayTo, outstanding.relayNonce = from, msg.Nonce
		m.pings[out.Message.Nonce] = outstanding
		return []Packet{out}
	case SyncRequest:
		return m.replyToSync(now, from, msg.TableDigest)
	case Push:
		m.synced = m.synced || msg.SyncComplete
	}
	return nil
}

// acceptSeq records a sequence number and reports whether it is new. Numbers below the window count as received. The algorithm is
// the anti-replay window of RFC 4303, section 3.4.3.
func (peer *member) acceptSeq(seq uint64) bool {
	if seq > peer.highestSeq {
		if shift := seq - peer.highestSeq; shift < replayWindow {
			peer.receivedSeqs <<= shift
		} else {
			peer.receivedSeqs = 0
		}
		peer.highestSeq = seq
		peer.receivedSeqs |= 1
		return true
	}
	bit := peer.highestSeq - seq
	if bit >= replayWindow || peer.receivedSeqs&(1<<bit) != 0 {
		return false
	}
	peer.receivedSeqs |= 1 << bit
	return true
}

// receiveUnverified handles a message whose sender is unknown, dead or of another incarnation: it acknowledges a ping, and pings the
// sender to verify it. Of the content it uses only records about this host, because they can change no more than this host's
// own counter and whether it is superseded.
func (m *Machine) receiveUnverified(now time.Time, from netip.AddrPort, msg *Message, peer *member) []Packet {
	for _, r := range msg.Updates {
		if r.Host == m.self.Host {
			m.mergeOwnRecord(r)
		}
	}
	var out []Packet
	if msg.Kind == Ping {
		ack := m.newMessage(now, Ack, msg.Nonce)
		m.piggyback(now, ack, peer, true, false)
		out = append(out, Packet{from, ack})
	}
	if peer != nil && peer.Incarnation > msg.Incarnation {
		return out // the ack to an earlier incarnation tells it that it is superseded
	}
	if m.challengesSent >= maxChallenges || (peer != nil && now.Sub(peer.lastChallenge) < m.cfg.AckTimeout) {
		return out
	}
	m.challengesSent++
	name := ""
	if peer != nil {
		peer.lastChallenge, name = now, peer.Host
	}
	return append(out, m.newPing(now, from, name, true))
}

// applyHeader updates the record of the sender, and the position of the member with the highest position that the sender knows, from
// the header of a message.
func (m *Machine) applyHeader(now time.Time, peer *member, msg *Message) {
	if msg.Counter > peer.Counter {
		r := peer.Record
		r.State, r.Counter, r.Suspected, r.Position = msg.State, msg.Counter, false, msg.Position
		m.mergeRecord(now, r)
	}
	m.mergePosition(peer, msg.Incarnation, msg.Counter, msg.Position)
	if highest := m.members[msg.MaxPositionHost]; highest != nil {
		m.mergePosition(highest, highest.Incarnation, msg.MaxPositionCounter, msg.MaxPosition)
	}
}

// applyMarks stores the marks of a message. It queues those that are new to this host and younger than RecentMarkAge.
func (m *Machine) applyMarks(now time.Time, marks []LeavingMark) {
	for _, received := range marks {
		mark := endpoints.LeavingMark{ID: received.id(), FirstLearned: now.Add(-time.Duration(received.LearnedSecondsAgo) * time.Second),
			LastNamed: now.Add(-time.Duration(received.LastNamedSecondsAgo) * time.Second)}
		if !m.marks.AddLeavingMark(mark) {
			continue
		}
		m.digestComputedAt = time.Time{}
		if now.Sub(mark.FirstLearned) < m.cfg.RecentMarkAge {
			m.queueMark(mark.ID)
		}
	}
}

// receiveAck handles an ack. An indirect ack is sent by a member that was asked to ping the probed member, and carries the record
// of the probed member.
func (m *Machine) receiveAck(now time.Time, from netip.AddrPort, msg *Message, p ping, answersPing, digestsDiffer bool) []Packet {
	var out []Packet
	if answersPing {
		delete(m.pings, msg.Nonce)
		if m.probe != nil && m.probe.nonce == msg.Nonce && m.confirmsProbe(msg) {
			m.probe = nil
		}
		if p.counter >= m.leaveCounter {
			delete(m.unacknowledged, msg.From)
		}
		if p.relayTo.IsValid() {
			relay := m.newMessage(now, Ack, p.relayNonce)
			relay.Updates = []Record{m.memberRecord(now, m.members[msg.From])}
			out = append(out, Packet{p.relayTo, relay})
		}
	}
	if digestsDiffer {
		push := m.newMessage(now, Push, 0)
		m.piggyback(now, push, nil, false, true)
		out = append(out, Packet{from, push})
	}
	return out
}

// confirmsProbe reports whether an ack shows that the probed member is alive: either the probed member sent the ack, or the ack
// carries its record.
func (m *Machine) confirmsProbe(msg *Message) bool {
	if msg.From == m.probe.host {
		return true
	}
	peer := m.members[m.probe.host]
	return peer != nil && slices.ContainsFunc(msg.Updates, func(r Record) bool {
		return r.Host == peer.Host && r.Incarnation == peer.Incarnation && r.State != Dead
	})
}

// allRecords returns the records of all known members, this host first.
func (m *Machine) allRecords(now time.Time) []Record {
	records := []Record{m.ownRecord(now)}
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		records = append(records, m.memberRecord(now, m.members[name]))
	}
	return records
}

// TableDigest returns the sum of the hashes of all records; it does not depend on their order and is never 0. The hashes leave out
// the process age and the position. Positions change all the time and are sent in the header of each datagram.
func TableDigest(records []Record) uint64 {
	var sum uint64
	for i := range records {
		r := &records[i]
		h := fnv.New64a()
		fmt.Fprint(h, r.Host, " ", r.Incarnation, " ", r.IP, " ", r.CallerPort, " ", r.PeerPort, " ", r.Zone, " ", r.State, " ", r.Suspected, " ", r.Counter)
		sum += h.Sum64()
	}
	return max(sum, 1)
}

// replyToSync returns the reply to a SyncRequest: all members and marks, in at most maxSyncDatagrams datagrams. If the digest in the
// request equals that of this host's records, the reply holds only the marks, because the records of 188 members take 8 KB.
func (m *Machine) replyToSync(now time.Time, to netip.AddrPort, requestDigest uint64) []Packet {
	records := m.allRecords(now)
	if requestDigest == TableDigest(records) {
		records = nil
	}
	marks := m.marks.LeavingMarks()
	// The newest marks come first, because maxSyncDatagrams datagrams may not hold all marks.
	slices.SortStableFunc(marks, func(a, b endpoints.LeavingMark) int { return b.FirstLearned.Compare(a.FirstLearned) })
	var out []Packet
	for len(out) == 0 || len(out) < maxSyncDatagrams && (len(records) > 0 || len(marks) > 0) {
		push := m.newMessage(now, Push, 0)
		left := MaxDatagramBytes - HeaderBytes
		for len(records) > 0 && recordBytes(&records[0]) <= left {
			left -= recordBytes(&records[0])
			push.Updates, records = append(push.Updates, records[0]), records[1:]
		}
		for len(marks) > 0 && (markBytes(marks[0].ID) <= left || !fitsMessage(marks[0].ID)) {
			if fitsMessage(marks[0].ID) {
				left -= markBytes(marks[0].ID)
				push.Marks = append(push.Marks, encodedMark(now, marks[0]))
			}
			marks = marks[1:]
		}
		out = append(out, Packet{to, push})
	}
	out[len(out)-1].Message.SyncComplete = true
	return out
}

// fitsMessage reports whether a mark on the incarnation fits the bounds of a message.
func fitsMessage(id endpoints.ID) bool {
	return id.Address != "" && len(id.Address) <= MaxMarkFieldBytes && len(id.Incarnation) <= MaxMarkFieldBytes
}

// encodedMark converts a mark to its encoded form.
func encodedMark(now time.Time, mark endpoints.LeavingMark) LeavingMark {
	seconds := func(t time.Time) uint32 { return uint32(max(0, now.Sub(t)/time.Second)) }
	return LeavingMark{Address: mark.Address, Incarnation: mark.Incarnation, LearnedSecondsAgo: seconds(mark.FirstLearned), LastNamedSecondsAgo: seconds(mark.LastNamed)}
}

// ownRecord returns this host's record with its current process age.
func (m *Machine) ownRecord(now time.Time) Record {
	r := m.self
	r.UptimeTenths = uint32(max(0, now.Sub(m.started)/uptimeUnit))
	return r
}

// memberRecord returns a member's record with its current process age.
func (m *Machine) memberRecord(now time.Time, peer *member) Record {
	r := peer.Record
	r.UptimeTenths = uint32(max(0, now.Sub(peer.started)/uptimeUnit))
	return r
}

// recentMarksDigest returns the sum of the hashes of the recent marks, and computes it again if it is out of date or a second old.
// Hosts whose digests differ send each other recent marks until the digests are equal. Two different sets have the same digest with
// a probability of 1 in 4 billion, and only until the next mark is added.
func (m *Machine) recentMarksDigest(now time.Time) uint32 {
	if !m.digestComputedAt.IsZero() && now.Sub(m.digestComputedAt) < time.Second {
		return m.cachedDigest
	}
	m.digestComputedAt, m.cachedDigest, m.recentMarks = now, 0, m.recentMarks[:0]
	for _, mark := range m.marks.LeavingMarks() {
		if now.Sub(mark.FirstLearned) >= m.cfg.RecentMarkAge || !fitsMessage(mark.ID) {
			continue
		}
		m.recentMarks = append(m.recentMarks, mark)
		h := fnv.New64a()
		h.Write([]byte(mark.Address))
		h.Write([]byte{0})
		h.Write([]byte(mark.Incarnation))
		m.cachedDigest += uint32(h.Sum64() ^ h.Sum64()>>32)
	}
	return m.cachedDigest
}

// newMessage returns a message with the header fields set, without updates and marks.
func (m *Machine) newMessage(now time.Time, kind Kind, nonce uint64) *Message {
	m.seq++
	msg := &Message{Kind: kind, Nonce: nonce, From: m.self.Host, Incarnation: m.self.Incarnation, Seq: m.seq, State: m.self.State,
		Counter: m.self.Counter, Position: m.self.Position, MarksDigest: m.recentMarksDigest(now)}
	if highest := m.View().HighestPosition(); highest.Position > m.self.Position {
		msg.MaxPositionHost, msg.MaxPosition, msg.MaxPositionCounter = highest.Host, highest.Position, m.members[highest.Host].Counter
	}
	return msg
}

// piggyback adds as many records and marks as fit into the datagram. It adds, in this order: this host's own record if withOwnRecord
// is set; the receiver's record if the receiver is suspected or dead, so that it can refute that; queued records; queued marks; and
// other recent marks if digestsDiffer is set.
func (m *Machine) piggyback(now time.Time, msg *Message, to *member, withOwnRecord, digestsDiffer bool) {
	left := MaxDatagramBytes - HeaderBytes
	add := func(r Record) bool {
		if recordBytes(&r) > left {
			return false
		}
		left -= recordBytes(&r)
		msg.Updates = append(msg.Updates, r)
		return true
	}
	if withOwnRecord {
		add(m.ownRecord(now))
	}
	if to != nil && (to.Suspected || to.State == Dead) {
		add(m.memberRecord(now, to))
	}
	for _, name := range byRemainingSends(m.queuedUpdates, func(a, b string) int { return len(a) - len(b) }) {
		r := m.ownRecord(now)
		if name != m.self.Host {
			r = m.memberRecord(now, m.members[name])
		}
		if add(r) {
			countSend(m.queuedUpdates, name)
		}
	}
	m.piggybackMarks(now, msg, left, digestsDiffer)
}

// piggybackMarks adds queued marks, and other recent marks if digestsDiffer is set, to a message with the given number of bytes left.
func (m *Machine) piggybackMarks(now time.Time, msg *Message, left int, digestsDiffer bool) {
	added := map[endpoints.ID]bool{}
	add := func(mark endpoints.LeavingMark) bool {
		if added[mark.ID] || markBytes(mark.ID) > left {
			return false
		}
		left -= markBytes(mark.ID)
		added[mark.ID] = true
		msg.Marks = append(msg.Marks, encodedMark(now, mark))
		return true
	}
	if len(m.queuedMarks) > 0 {
		byID := make(map[endpoints.ID]endpoints.LeavingMark, len(m.recentMarks))
		for _, mark := range m.recentMarks {
			byID[mark.ID] = mark
		}
		for _, id := range byRemainingSends(m.queuedMarks, func(a, b endpoints.ID) int { return len(a.Address) - len(b.Address) }) {
			if mark, ok := byID[id]; !ok {
				delete(m.queuedMarks, id)
			} else if add(mark) {
				countSend(m.queuedMarks, id)
			}
		}
	}
	if !digestsDiffer {
		return
	}
	for range m.recentMarks {
		m.markCursor = (m.markCursor + 1) % len(m.recentMarks)
		if !add(m.recentMarks[m.markCursor]) && left < 2*MaxMarkFieldBytes {
			return
		}
	}
}

// byRemainingSends returns the keys of a queue in descending order of their remaining sends. tie orders keys with equal numbers.
func byRemainingSends[K comparable](queue map[K]int, tie func(a, b K) int) []K {
	keys := slices.Collect(maps.Keys(queue))
	slices.SortFunc(keys, func(a, b K) int {
		if d := queue[b] - queue[a]; d != 0 {
			return d
		}
		return tie(a, b)
	})
	return keys
}

// countSend counts one send of a key and removes the key from the queue after the last one.
func countSend[K comparable](queue map[K]int, key K) {
	queue[key]--
	if queue[key] <= 0 {
		delete(queue, key)
	}
}
