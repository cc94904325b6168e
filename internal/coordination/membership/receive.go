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
		m.applySelf(Record{Host: msg.From, Incarnation: msg.Incarnation, State: m.self.State})
		return nil
	}
	o := m.members[msg.From]
	if o != nil && o.Incarnation == msg.Incarnation && !o.accept(msg.Seq) {
		return nil
	}
	p, answers := m.pings[msg.Nonce]
	answers = answers && msg.Kind == Ack && (o == nil || o.Incarnation <= msg.Incarnation)
	verified := o != nil && o.Incarnation == msg.Incarnation && o.State != Dead
	if !verified && !answers {
		return m.unverified(now, from, msg, o)
	}
	// The other members already know the records that a joining member gets in its first full exchange. If the joining member
	// piggybacked them too, they would fill each of its datagrams for minutes.
	joining := msg.Kind == Push && !m.synced
	for _, r := range msg.Updates {
		_, queued := m.updates[r.Host]
		m.apply(now, r)
		if joining && !queued && r.Host != m.self.Host {
			delete(m.updates, r.Host)
		}
	}
	o = m.members[msg.From]
	if o == nil || o.Incarnation != msg.Incarnation {
		return nil
	}
	m.applyHeader(now, o, msg)
	m.applyMarks(now, msg.Marks)
	differs := msg.Digest != m.marksDigest(now)
	switch msg.Kind {
	case Ping:
		ack := m.message(now, Ack, msg.Nonce)
		m.fill(now, ack, o, msg.Want, differs)
		return []Packet{{from, ack}}
	case Ack:
		return m.acknowledged(now, from, msg, p, answers, differs)
	case PingRequest:
		out := m.ping(now, msg.Target, "", true)
		q := m.pings[out.Message.Nonce]
		q.relayTo, q.relay = from, msg.Nonce
		m.pings[out.Message.Nonce] = q
		return []Packet{out}
	case SyncRequest:
		return m.sync(now, from, msg.Table)
	case Push:
		m.synced = m.synced || msg.Last
	}
	return nil
}

// accept records a sequence number and reports whether it is new. Numbers below the window count as received. The algorithm is the
// anti-replay window of RFC 4303, section 3.4.3.
func (o *member) accept(seq uint64) bool {
	if seq > o.seqHigh {
		if shift := seq - o.seqHigh; shift < replayWindow {
			o.seqSeen <<= shift
		} else {
			o.seqSeen = 0
		}
		o.seqHigh = seq
		o.seqSeen |= 1
		return true
	}
	bit := o.seqHigh - seq
	if bit >= replayWindow || o.seqSeen&(1<<bit) != 0 {
		return false
	}
	o.seqSeen |= 1 << bit
	return true
}

// unverified handles a message whose sender is unknown, dead or of another incarnation: it acknowledges a ping, and pings the
// sender to verify it. Of the content it uses only records about this host, because they can change no more than this host's
// own counter and whether it is superseded.
func (m *Machine) unverified(now time.Time, from netip.AddrPort, msg *Message, o *member) []Packet {
	for _, r := range msg.Updates {
		if r.Host == m.self.Host {
			m.applySelf(r)
		}
	}
	var out []Packet
	if msg.Kind == Ping {
		ack := m.message(now, Ack, msg.Nonce)
		m.fill(now, ack, o, true, false)
		out = append(out, Packet{from, ack})
	}
	if o != nil && o.Incarnation > msg.Incarnation {
		return out // the ack to an earlier incarnation tells it that it is superseded
	}
	if m.challenges >= maxChallenges || (o != nil && now.Sub(o.challenged) < m.cfg.AckTimeout) {
		return out
	}
	m.challenges++
	name := ""
	if o != nil {
		o.challenged, name = now, o.Host
	}
	return append(out, m.ping(now, from, name, true))
}

// applyHeader updates the record of the sender, and the highest known position, from the header of a message.
func (m *Machine) applyHeader(now time.Time, o *member, msg *Message) {
	if msg.Counter > o.Counter {
		r := o.Record
		r.State, r.Counter, r.Suspected, r.Position = msg.State, msg.Counter, false, msg.Position
		m.apply(now, r)
	}
	m.raisePosition(o, msg.Incarnation, msg.Counter, msg.Position)
	if a := m.members[msg.AheadHost]; a != nil {
		m.raisePosition(a, a.Incarnation, msg.AheadCounter, msg.AheadAt)
	}
}

// applyMarks stores the marks of a message. It queues those that are new to this host and younger than MarkWindow.
func (m *Machine) applyMarks(now time.Time, marks []Mark) {
	for _, k := range marks {
		mark := endpoints.Mark{ID: k.id(), Learned: now.Add(-time.Duration(k.Learned) * time.Second),
			Named: now.Add(-time.Duration(k.Named) * time.Second)}
		if !m.marks.AddMark(mark) {
			continue
		}
		m.digestAt = time.Time{}
		if now.Sub(mark.Learned) < m.cfg.MarkWindow {
			m.queueMark(mark.ID)
		}
	}
}

// acknowledged handles an ack. An indirect ack is sent by a member that was asked to ping the probed member, and carries the record
// of the probed member.
func (m *Machine) acknowledged(now time.Time, from netip.AddrPort, msg *Message, p ping, answers, differs bool) []Packet {
	var out []Packet
	if answers {
		delete(m.pings, msg.Nonce)
		if m.probe != nil && m.probe.nonce == msg.Nonce && m.proves(msg) {
			m.probe = nil
		}
		if p.counter >= m.announced {
			delete(m.pending, msg.From)
		}
		if p.relayTo.IsValid() {
			relay := m.message(now, Ack, p.relay)
			relay.Updates = []Record{m.outgoing(now, m.members[msg.From])}
			out = append(out, Packet{p.relayTo, relay})
		}
	}
	if differs {
		push := m.message(now, Push, 0)
		m.fill(now, push, nil, false, true)
		out = append(out, Packet{from, push})
	}
	return out
}

// proves reports whether an ack shows that the probed member is alive: either the probed member sent the ack, or the ack carries
// its record.
func (m *Machine) proves(msg *Message) bool {
	if msg.From == m.probe.host {
		return true
	}
	o := m.members[m.probe.host]
	return o != nil && slices.ContainsFunc(msg.Updates, func(r Record) bool {
		return r.Host == o.Host && r.Incarnation == o.Incarnation && r.State != Dead
	})
}

// records returns the records of all known members, this host first.
func (m *Machine) records(now time.Time) []Record {
	records := []Record{m.ownRecord(now)}
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		records = append(records, m.outgoing(now, m.members[name]))
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

// sync returns the reply to a SyncRequest: all members and marks, in at most syncDatagrams datagrams. If the digest in the request
// equals that of this host's records, the reply holds only the marks, because the records of 188 members take 8 KB.
func (m *Machine) sync(now time.Time, to netip.AddrPort, table uint64) []Packet {
	records := m.records(now)
	if table == TableDigest(records) {
		records = nil
	}
	marks := m.marks.Marks()
	// The newest marks come first, because syncDatagrams datagrams may not hold all marks.
	slices.SortStableFunc(marks, func(a, b endpoints.Mark) int { return b.Learned.Compare(a.Learned) })
	var out []Packet
	for len(out) == 0 || len(out) < syncDatagrams && (len(records) > 0 || len(marks) > 0) {
		push := m.message(now, Push, 0)
		left := MaxDatagramBytes - HeaderBytes
		for len(records) > 0 && recordBytes(&records[0]) <= left {
			left -= recordBytes(&records[0])
			push.Updates, records = append(push.Updates, records[0]), records[1:]
		}
		for len(marks) > 0 && (markBytes(marks[0].ID) <= left || !sendable(marks[0].ID)) {
			if sendable(marks[0].ID) {
				left -= markBytes(marks[0].ID)
				push.Marks = append(push.Marks, outgoingMark(now, marks[0]))
			}
			marks = marks[1:]
		}
		out = append(out, Packet{to, push})
	}
	out[len(out)-1].Message.Last = true
	return out
}

// sendable reports whether a mark on the incarnation fits the bounds of a message.
func sendable(id endpoints.ID) bool {
	return id.Address != "" && len(id.Address) <= MaxMarkBytes && len(id.Incarnation) <= MaxMarkBytes
}

// outgoingMark converts a mark to its encoded form.
func outgoingMark(now time.Time, k endpoints.Mark) Mark {
	seconds := func(t time.Time) uint32 { return uint32(max(0, now.Sub(t)/time.Second)) }
	return Mark{Address: k.Address, Incarnation: k.Incarnation, Learned: seconds(k.Learned), Named: seconds(k.Named)}
}

// ownRecord returns this host's record with its current process age.
func (m *Machine) ownRecord(now time.Time) Record {
	r := m.self
	r.Up = uint32(max(0, now.Sub(m.started)/upUnit))
	return r
}

// outgoing returns a member's record with its current process age.
func (m *Machine) outgoing(now time.Time, o *member) Record {
	r := o.Record
	r.Up = uint32(max(0, now.Sub(o.started)/upUnit))
	return r
}

// marksDigest returns the sum of the hashes of the recent marks, and computes it again if it is out of date or a second old. Hosts
// whose digests differ send each other recent marks until the digests are equal. Two different sets have the same digest with a
// probability of 1 in 4 billion, and only until the next mark is added.
func (m *Machine) marksDigest(now time.Time) uint32 {
	if !m.digestAt.IsZero() && now.Sub(m.digestAt) < time.Second {
		return m.digest
	}
	m.digestAt, m.digest, m.recent = now, 0, m.recent[:0]
	for _, k := range m.marks.Marks() {
		if now.Sub(k.Learned) >= m.cfg.MarkWindow || !sendable(k.ID) {
			continue
		}
		m.recent = append(m.recent, k)
		h := fnv.New64a()
		h.Write([]byte(k.Address))
		h.Write([]byte{0})
		h.Write([]byte(k.Incarnation))
		m.digest += uint32(h.Sum64() ^ h.Sum64()>>32)
	}
	return m.digest
}

// message returns a message with the header fields set, without updates and marks.
func (m *Machine) message(now time.Time, kind Kind, nonce uint64) *Message {
	m.seq++
	msg := &Message{Kind: kind, Nonce: nonce, From: m.self.Host, Incarnation: m.self.Incarnation, Seq: m.seq, State: m.self.State,
		Counter: m.self.Counter, Position: m.self.Position, Digest: m.marksDigest(now)}
	if a := m.View().Ahead(); a.Position > m.self.Position {
		msg.AheadHost, msg.AheadAt, msg.AheadCounter = a.Host, a.Position, m.members[a.Host].Counter
	}
	return msg
}

// fill adds as many records and marks as fit into the datagram, in this order: this host's own record if full is set, the receiver's
// record if the receiver is suspected or dead, so that it can refute that, queued records, queued marks, and other recent marks if the
// digests of sender and receiver differ.
func (m *Machine) fill(now time.Time, msg *Message, to *member, full, differs bool) {
	left := MaxDatagramBytes - HeaderBytes
	add := func(r Record) bool {
		if recordBytes(&r) > left {
			return false
		}
		left -= recordBytes(&r)
		msg.Updates = append(msg.Updates, r)
		return true
	}
	if full {
		add(m.ownRecord(now))
	}
	if to != nil && (to.Suspected || to.State == Dead) {
		add(m.outgoing(now, to))
	}
	for _, name := range mostLeft(m.updates, func(a, b string) int { return len(a) - len(b) }) {
		r := m.ownRecord(now)
		if name != m.self.Host {
			r = m.outgoing(now, m.members[name])
		}
		if add(r) {
			spend(m.updates, name)
		}
	}
	m.fillMarks(now, msg, left, differs)
}

// fillMarks adds queued marks, and other recent marks if differs is set, to a message with the given number of bytes left.
func (m *Machine) fillMarks(now time.Time, msg *Message, left int, differs bool) {
	added := map[endpoints.ID]bool{}
	add := func(k endpoints.Mark) bool {
		if added[k.ID] || markBytes(k.ID) > left {
			return false
		}
		left -= markBytes(k.ID)
		added[k.ID] = true
		msg.Marks = append(msg.Marks, outgoingMark(now, k))
		return true
	}
	if len(m.news) > 0 {
		byID := make(map[endpoints.ID]endpoints.Mark, len(m.recent))
		for _, k := range m.recent {
			byID[k.ID] = k
		}
		for _, id := range mostLeft(m.news, func(a, b endpoints.ID) int { return len(a.Address) - len(b.Address) }) {
			if k, ok := byID[id]; !ok {
				delete(m.news, id)
			} else if add(k) {
				spend(m.news, id)
			}
		}
	}
	if !differs {
		return
	}
	for range m.recent {
		m.cursor = (m.cursor + 1) % len(m.recent)
		if !add(m.recent[m.cursor]) && left < 2*MaxMarkBytes {
			return
		}
	}
}

// mostLeft returns the keys of a queue in the order of their remaining sends, most first. tie orders keys with equal numbers.
func mostLeft[K comparable](queue map[K]int, tie func(a, b K) int) []K {
	keys := slices.Collect(maps.Keys(queue))
	slices.SortFunc(keys, func(a, b K) int {
		if d := queue[b] - queue[a]; d != 0 {
			return d
		}
		return tie(a, b)
	})
	return keys
}

// spend counts one send of a key and removes the key from the queue after the last one.
func spend[K comparable](queue map[K]int, key K) {
	queue[key]--
	if queue[key] <= 0 {
		delete(queue, key)
	}
}
