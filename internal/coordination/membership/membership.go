// Package membership implements the membership protocol of the entry hosts, which is based on SWIM (Das, Gupta, Motivala 2002). It
// detects failed hosts and also disseminates marks, which state that an upstream is leaving. Machine does no input or output:
// the caller passes the time, the random source and received messages, and sends the datagrams that the methods return.
package membership

import (
	"cmp"
	"maps"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Config holds the parameters of a Machine. DefaultConfig returns the values for production.
type Config struct {
	ProbeInterval          time.Duration // time between two probes
	AckTimeout             time.Duration // time to wait for the ack of the direct ping, and then again for those of the indirect pings
	SuspicionTimeout       time.Duration // time from the suspicion of a member until it is declared dead
	DeadRetention          time.Duration // how long dead records are kept, so that outdated records do not add the member again
	FormerAddressRetention time.Duration // how long addresses of dead members are pinged, so that partitions heal without the host list
	RecentMarkAge          time.Duration // marks that were learned longer ago are sent in full exchanges only
	MaxMembers             int           // maximum number of known members other than this host, dead ones included
}

// DefaultConfig returns the values that docs/design.md, section 8, specifies.
func DefaultConfig() Config {
	return Config{ProbeInterval: 200 * time.Millisecond, AckTimeout: 100 * time.Millisecond, SuspicionTimeout: 800 * time.Millisecond,
		DeadRetention: time.Minute, FormerAddressRetention: time.Hour,
		RecentMarkAge: 10 * time.Minute, MaxMembers: 4096}
}

const (
	indirectProbes        = 2                      // members that are asked to ping a member that did not acknowledge the direct ping
	pauseThreshold        = 400 * time.Millisecond // a longer gap between two ticks means that this process was paused
	retryInterval         = 500 * time.Millisecond // time between pings to seeds and to addresses of dead members
	retryBatchWhenAlone   = 16                     // addresses pinged per retryInterval while no other member is alive
	announceInterval      = 100 * time.Millisecond // time between announcements of a planned stop to a member
	announceBatch         = 64                     // maximum number of these announcements per announceInterval
	syncRetryInterval     = 500 * time.Millisecond // time between full exchanges until the first one is complete
	minSyncInterval       = 30 * time.Second       // minimum time between full exchanges after that
	syncIntervalPerMember = 600 * time.Millisecond // the same per member, which keeps the load near 100 bytes a second at any size
	maxSyncDatagrams      = 64                     // maximum number of datagrams in the reply to one SyncRequest
	pingLifetime          = 2 * time.Second        // acks that arrive later are ignored
	maxOutstandingPings   = 4096                   // maximum number of outstanding pings
	maxFormerAddresses    = 1024                   // maximum number of remembered addresses of dead members
	updateRetransmitMult  = 3                      // factor for the number of sends of an updated record; see retransmitLimit
	markRetransmitMult    = 4                      // factor for the number of sends of a new mark; see retransmitLimit
	immediatePings        = 3                      // members that are pinged immediately about a new mark or a new suspicion
	replayWindow          = 64                     // width of member.receivedSeqs in bits
)

// MarkStore stores the marks of leaving upstreams.
type MarkStore interface {
	AddLeavingMark(m endpoints.LeavingMark) bool // reports whether the mark is new
	LeavingMarks() []endpoints.LeavingMark
}

// member is another entry host that this host knows.
type member struct {
	Record
	started           time.Time // estimated process start on this host's clock
	suspicionDeadline time.Time // when the suspected member is declared dead
	suspectedLocally  bool      // this host's own probe failed, so this host started the suspicion
	lastPing          time.Time // when this host last sent a ping to it
	deadSince         time.Time
	highestSeq        uint64    // highest sequence number received from this incarnation
	receivedSeqs      uint64    // bit i is set if sequence number highestSeq-i was received
	lastChallenge     time.Time // when this host last pinged it because of a datagram that could not be verified
}

func (peer *member) addr() netip.AddrPort { return netip.AddrPortFrom(peer.IP, peer.PeerPort) }

// ping is a ping that this host sent and that is not yet acknowledged.
type ping struct {
	host       string // empty if only the address is known
	sent       time.Time
	counter    uint32         // this host's counter in the ping
	relayTo    netip.AddrPort // indirect ping: the member that sent the PingRequest and gets the ack
	relayNonce uint64         // indirect ping: the nonce of the PingRequest, which the ack to relayTo carries
}

// probe is the liveness check of one member: a direct ping, then indirect pings.
type probe struct {
	host     string
	nonce    uint64
	sent     time.Time // when the direct ping was sent
	indirect bool      // the indirect pings were requested
}

// Machine is the membership state machine of one host. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	marks   MarkStore
	self    Record
	started time.Time
	seq     uint64 // sequence number of the last message

	members         map[string]*member           // by host name, without this host; dead members included
	probeOrder      []string                     // host names in the order of the current round of probes
	probeIndex      int                          // index in probeOrder of the next member to probe
	probe           *probe                       // the probe in progress, or nil
	pings           map[uint64]ping              // outstanding pings by nonce
	seeds           []netip.AddrPort             // peer addresses of the entry hosts in the host list
	formerAddresses map[netip.AddrPort]time.Time // addresses of dead members and when they were declared dead

	queuedUpdates    map[string]int          // records to piggyback: remaining sends by host name
	queuedMarks      map[endpoints.ID]int    // marks to piggyback: remaining sends by incarnation
	recentMarks      []endpoints.LeavingMark // marks that are younger than Config.RecentMarkAge, as of digestComputedAt
	cachedDigest     uint32                  // digest of recentMarks
	digestComputedAt time.Time               // when recentMarks and cachedDigest were computed; zero if they are out of date
	markCursor       int                     // index in recentMarks of the mark that was last sent because of different digests
	unacknowledged   map[string]bool         // members that have not acknowledged the planned stop
	leaveCounter     uint32                  // acks of pings with this or a higher counter acknowledge the planned stop
	superseded       bool                    // see View.Superseded
	synced           bool                    // see Synced
	challengesSent   int                     // pings to senders that could not be verified, since the last tick
	mayHaveSuspects  bool                    // a member was suspected at the last tick or since

	lastTick, nextProbe, nextRetry, nextAnnounce, nextSync, nextExpiry time.Time

	view         *View // the newest view
	viewOutdated bool  // view is out of date
}

// New returns the state machine of a host. self holds the host's name, incarnation, addresses, zone and initial state.
func New(cfg Config, self Record, now time.Time, rng *rand.Rand, marks MarkStore) *Machine {
	m := &Machine{cfg: cfg, rng: rng, marks: marks, self: self, started: now, members: map[string]*member{}, pings: map[uint64]ping{},
		formerAddresses: map[netip.AddrPort]time.Time{}, queuedUpdates: map[string]int{}, queuedMarks: map[endpoints.ID]int{},
		unacknowledged: map[string]bool{},
		lastTick:       now, nextProbe: now, nextRetry: now, nextSync: now, nextExpiry: now, viewOutdated: true}
	return m
}

// View returns the newest view.
func (m *Machine) View() *View {
	if !m.viewOutdated {
		return m.view
	}
	v := &View{Self: m.self.Host, Superseded: m.superseded}
	if m.view != nil {
		v.Version = m.view.Version + 1
	}
	add := func(r *Record, started time.Time) {
		v.Members = append(v.Members, Member{Host: r.Host, Incarnation: r.Incarnation.String(), IP: r.IP, CallerPort: r.CallerPort,
			PeerPort: r.PeerPort, Zone: r.Zone, State: r.State, Suspected: r.Suspected, Position: r.Position, Started: started,
			PeerAddress: netip.AddrPortFrom(r.IP, r.PeerPort)})
	}
	add(&m.self, m.started)
	for _, peer := range m.members {
		if peer.State != Dead {
			add(&peer.Record, peer.started)
		}
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	m.view, m.viewOutdated = v, false
	return v
}

// Synced reports whether a full exchange with another member has completed.
func (m *Machine) Synced() bool { return m.synced }

// SetSeeds replaces the peer addresses of the entry hosts in the host list. Seeds are only used to discover members: a member that is
// missing in the host list is not removed.
func (m *Machine) SetSeeds(seeds []netip.AddrPort) { m.seeds = slices.Clone(seeds) }

// SetState changes this host's own state. The state Leaving is announced to all live members until they acknowledge it; see
// Unacknowledged.
func (m *Machine) SetState(s State) {
	if m.self.State == s {
		return
	}
	m.self.State = s
	m.incrementCounter()
	clear(m.unacknowledged)
	if s != Leaving {
		return
	}
	m.leaveCounter, m.nextAnnounce = m.self.Counter, time.Time{}
	for name, peer := range m.members {
		if peer.State != Dead {
			m.unacknowledged[name] = true
		}
	}
}

// Unacknowledged returns the number of members that were alive when this host changed to Leaving and have not acknowledged it.
func (m *Machine) Unacknowledged() int { return len(m.unacknowledged) }

// SetPosition sets this host's configuration position. The position decreases when the log was restored to an older state. The
// counter is then incremented, because other members take a lower position only together with a higher counter.
func (m *Machine) SetPosition(position int64) {
	if position == m.self.Position {
		return
	}
	lower := position < m.self.Position
	m.self.Position, m.viewOutdated = position, true
	if lower {
		m.incrementCounter()
	}
}

// DisseminateMark disseminates a new mark: some members are pinged immediately, the others get the mark piggybacked on later messages.
func (m *Machine) DisseminateMark(now time.Time, id endpoints.ID) []Packet {
	if !m.queueMark(id) {
		return nil
	}
	m.digestComputedAt = time.Time{}
	return m.pingRandomMembers(now, "")
}

// pingRandomMembers pings immediatePings random members other than the excluded one, so that queued updates and marks are sent before
// the next probe.
func (m *Machine) pingRandomMembers(now time.Time, exclude string) []Packet {
	var out []Packet
	for _, peer := range m.randomLiveMembers(immediatePings, exclude) {
		out = append(out, m.newPing(now, peer.addr(), peer.Host, false))
	}
	return out
}

// Probe starts a probe of a member outside the regular order, for example when a connection to it failed. It does nothing if a
// probe is in progress.
func (m *Machine) Probe(now time.Time, host string) []Packet {
	peer := m.members[host]
	if peer == nil || peer.State == Dead || m.probe != nil {
		return nil
	}
	return m.startProbe(now, peer)
}

// incrementCounter increments this host's counter and queues its record, which then replaces the records that other members hold.
func (m *Machine) incrementCounter() {
	m.self.Counter++
	m.viewOutdated = true
	m.queuedUpdates[m.self.Host] = m.retransmitLimit(updateRetransmitMult)
}

// retransmitLimit returns how many times a record or mark is sent: mult times 2+floor(log2 n), where n is the number of known members
// including this host (SWIM, section 4.1).
func (m *Machine) retransmitLimit(mult int) int {
	return mult * (1 + bits.Len(uint(len(m.members)+1)))
}

// queueMark queues a mark for piggybacking and reports whether it can be sent.
func (m *Machine) queueMark(id endpoints.ID) bool {
	if !fitsMessage(id) {
		return false // the mark is kept on this host only
	}
	m.queuedMarks[id] = m.retransmitLimit(markRetransmitMult)
	return true
}

// mergeRecord merges a record into the table of members. The record comes from another member, or from this host when it declares a
// member dead.
func (m *Machine) mergeRecord(now time.Time, r Record) {
	if r.Host == m.self.Host {
		m.mergeOwnRecord(r)
		return
	}
	peer := m.members[r.Host]
	if peer == nil {
		if r.State == Dead || !m.makeRoom() {
			return
		}
		peer = &member{}
		m.members[r.Host] = peer
		m.insertIntoProbeOrder(r.Host)
	} else if !supersedes(&r, &peer.Record) {
		m.mergePosition(peer, r.Incarnation, r.Counter, r.Position)
		return
	}
	if peer.State == Dead && r.State != Dead && m.nextSync.After(now.Add(syncRetryInterval)) {
		m.nextSync = now.Add(syncRetryInterval) // a partition may have healed, so get the other records and marks of the other side
	}
	if peer.Incarnation != r.Incarnation {
		*peer = member{Record: r, started: now.Add(-time.Duration(r.UptimeTenths) * uptimeUnit)}
	}
	if r.Counter == peer.Counter {
		r.Position = max(r.Position, peer.Position)
	}
	peer.Record = r
	peer.suspectedLocally = false
	peer.suspicionDeadline, peer.deadSince = time.Time{}, time.Time{}
	switch {
	case r.State == Dead:
		peer.Suspected, peer.deadSince = false, now
		m.formerAddresses[peer.addr()] = now
	case r.Suspected:
		peer.suspicionDeadline = now.Add(m.cfg.SuspicionTimeout)
		m.mayHaveSuspects = true
	}
	m.queuedUpdates[r.Host] = m.retransmitLimit(updateRetransmitMult)
	m.viewOutdated = true
}

// uptimeUnit is the unit of Record.UptimeTenths.
const uptimeUnit = 100 * time.Millisecond

// mergePosition updates the position of a member if the given one is newer. As long as the counter is the same, positions only
// increase, so the higher one is newer.
func (m *Machine) mergePosition(peer *member, incarnation Incarnation, counter uint32, position int64) {
	if peer.Incarnation == incarnation && peer.Counter == counter && position > peer.Position {
		peer.Position, m.viewOutdated = position, true
	}
}

// mergeOwnRecord handles a record about this host from another member. If the record contradicts this host's state, or says that this
// host is suspected or dead, mergeOwnRecord refutes it with a higher counter. A record of a later incarnation means that this host is
// superseded.
func (m *Machine) mergeOwnRecord(r Record) {
	switch {
	case r.Incarnation > m.self.Incarnation:
		if !m.superseded {
			m.superseded, m.viewOutdated = true, true
		}
	case r.Incarnation == m.self.Incarnation && r.Counter >= m.self.Counter && (r.Suspected || r.State != m.self.State):
		m.self.Counter = r.Counter
		m.incrementCounter()
	}
}

// supersedes reports whether record a of a host replaces record b of the same host. A later incarnation wins, then a higher
// counter, then dead over suspected and suspected over alive.
func supersedes(a, b *Record) bool {
	rank := func(r *Record) int {
		switch {
		case r.State == Dead:
			return 2
		case r.Suspected:
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Counter, b.Counter), cmp.Compare(rank(a), rank(b))) > 0
}

// makeRoom reports whether a member may be added. If the table is full, it removes the member that has been dead for the longest time.
func (m *Machine) makeRoom() bool {
	if len(m.members) < m.cfg.MaxMembers {
		return true
	}
	var oldest *member
	for _, peer := range m.members {
		if peer.State == Dead && (oldest == nil || peer.deadSince.Before(oldest.deadSince)) {
			oldest = peer
		}
	}
	if oldest == nil {
		return false
	}
	m.removeMember(oldest.Host)
	return true
}

// removeMember removes a member from the table, the queue of updates and the order of probes.
func (m *Machine) removeMember(host string) {
	delete(m.members, host)
	delete(m.queuedUpdates, host)
	m.probeOrder = slices.DeleteFunc(m.probeOrder, func(h string) bool { return h == host })
}

// insertIntoProbeOrder inserts a member at a random position of the current round of probes (SWIM, section 4.3).
func (m *Machine) insertIntoProbeOrder(host string) {
	m.probeOrder = slices.Insert(m.probeOrder, m.rng.IntN(len(m.probeOrder)+1), host)
}

// randomLiveMembers returns up to n random members that are not dead, other than the excluded one.
func (m *Machine) randomLiveMembers(n int, exclude string) []*member {
	var alive []*member
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		if peer := m.members[name]; peer.State != Dead && name != exclude {
			alive = append(alive, peer)
		}
	}
	m.rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(n, len(alive))]
}

// keyPrefix formats the prefix of idempotency keys: the host and incarnation that execute the request, and the epoch.
func keyPrefix(host, incarnation string, epoch int64) string {
	return host + "-" + incarnation + "." + strconv.FormatInt(epoch, 10)
}
