package membership_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/arbutusspan/arbutusspan/internal/coordination/membership"
	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// config returns a configuration in which dead records expire after 5 s and marks are recent for 10 s only, so that tests can cover
// the time after that.
func config() membership.Config {
	c := membership.DefaultConfig()
	c.DeadRetention, c.RecentMarkAge = 5*time.Second, 10*time.Second
	return c
}

// node is one simulated host.
type node struct {
	name        string
	addr        netip.AddrPort
	machine     *membership.Machine
	table       *endpoints.Table
	incarnation membership.Incarnation
	state       membership.State
	running     bool
	paused      bool     // the process is paused
	inbox       [][2]any // datagrams that arrived while the process was paused
}

// datagram is a datagram in transit.
type datagram struct {
	at       time.Time // of delivery
	from, to int       // indices of nodes
	data     []byte
}

// simulation runs hosts and the network between them in simulated time.
type simulation struct {
	t                 rapid.TB
	rng               *rand.Rand
	now               time.Time
	codec             *wire.GossipCodec
	nodes             []*node
	inTransit         []datagram
	loss, duplication float64         // probabilities of loss and of duplication
	delay             time.Duration   // maximum delay
	blocked           map[[2]int]bool // pairs of sender and receiver whose datagrams are all lost
	sent, bytes       int             // datagrams sent and their size
	onSend            func(datagram)  // called for each datagram that is not lost
	periodicCheck     func()          // called every 50 ms
}

func newSimulation(t rapid.TB, n int, seed uint64) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC),
		codec: wire.NewGossipCodec("0123456789abcdef"), blocked: map[[2]int]bool{}, delay: 2 * time.Millisecond}
	for i := range n {
		sim.nodes = append(sim.nodes, &node{name: fmt.Sprintf("host-%d", i),
			addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)})
		sim.start(i)
	}
	return sim
}

// start starts or restarts host i.
func (sim *simulation) start(i int) {
	n := sim.nodes[i]
	n.incarnation = membership.NewIncarnation(sim.now, uint16(sim.rng.Uint32()))
	n.table, n.running, n.paused, n.inbox, n.state = endpoints.NewTable(), true, false, nil, membership.Serving
	self := membership.Record{Host: n.name, Incarnation: n.incarnation, IP: n.addr.Addr(), CallerPort: 8000, PeerPort: n.addr.Port(), Zone: "tamworth-hall",
		State: membership.Serving}
	n.machine = membership.New(config(), self, sim.now, rand.New(rand.NewPCG(sim.rng.Uint64(), 2)), n.table)
	n.machine.SetSeeds([]netip.AddrPort{sim.nodes[0].addr, sim.nodes[len(sim.nodes)-1].addr})
}

// send adds the packets of a host to those in transit, unless they are lost.
func (sim *simulation) send(from int, packets []membership.Packet) {
	for _, p := range packets {
		data, err := sim.codec.Encode(p.Message)
		if err != nil {
			sim.t.Fatal(err)
		}
		sim.sent, sim.bytes = sim.sent+1, sim.bytes+len(data)
		to := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.addr == p.To })
		copies := 1
		if sim.rng.Float64() < sim.duplication {
			copies = 2
		}
		for range copies {
			if to >= 0 && !sim.blocked[[2]int{from, to}] && sim.rng.Float64() >= sim.loss {
				d := datagram{sim.now.Add(time.Duration(sim.rng.Int64N(int64(sim.delay) + 1))), from, to, data}
				sim.inTransit = append(sim.inTransit, d)
				if sim.onSend != nil {
					sim.onSend(d)
				}
			}
		}
	}
}

// deliver passes a datagram to its receiver.
func (sim *simulation) deliver(d datagram) {
	n := sim.nodes[d.to]
	if !n.running {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, [2]any{d, nil})
		return
	}
	m, err := sim.codec.Decode(d.data)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.send(d.to, n.machine.Receive(sim.now, sim.nodes[d.from].addr, m))
}

// run advances the simulated time.
func (sim *simulation) run(length time.Duration) {
	const step = 5 * time.Millisecond
	for end := sim.now.Add(length); sim.now.Before(end); {
		sim.now = sim.now.Add(step)
		slices.SortStableFunc(sim.inTransit, func(a, b datagram) int { return a.at.Compare(b.at) })
		arriving := 0
		for arriving < len(sim.inTransit) && !sim.inTransit[arriving].at.After(sim.now) {
			arriving++
		}
		arrived := slices.Clone(sim.inTransit[:arriving])
		sim.inTransit = sim.inTransit[arriving:]
		for _, d := range arrived {
			sim.deliver(d)
		}
		if sim.now.UnixMilli()%membership.TickInterval.Milliseconds() == 0 {
			for i, n := range sim.nodes {
				if n.running && !n.paused && !n.machine.NextTick().After(sim.now) {
					sim.send(i, n.machine.Tick(sim.now))
				}
			}
		}
		if sim.periodicCheck != nil && sim.now.UnixMilli()%50 == 0 {
			sim.periodicCheck()
		}
	}
}

// resume resumes the paused process of host i, which then receives the datagrams that arrived during the pause.
func (sim *simulation) resume(i int) {
	n := sim.nodes[i]
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, d := range inbox {
		sim.deliver(d[0].(datagram))
	}
}

// disagreement describes the first difference between the view of a running host and the actual state of the hosts. It returns an
// empty string if there is none.
func (sim *simulation) disagreement() string {
	for _, n := range sim.nodes {
		if !n.running || n.paused {
			continue
		}
		v := n.machine.View()
		for _, other := range sim.nodes {
			m := v.Member(other.name)
			switch {
			case other.running && m == nil:
				return n.name + " does not know " + other.name
			case !other.running && m != nil:
				return n.name + " lists the stopped " + other.name + " as a member"
			case other.running && (m.Incarnation != other.incarnation.String() || m.Suspected || m.State != other.state):
				return fmt.Sprintf("%s sees %+v; want incarnation %s in state %s", n.name, *m, other.incarnation, other.state)
			}
		}
	}
	return ""
}

// waitForAgreement runs until there is no disagreement, and fails the test if there still is one after the given time.
func (sim *simulation) waitForAgreement(length time.Duration) {
	sim.t.Helper()
	end := sim.now.Add(length)
	for sim.disagreement() != "" {
		if sim.now.After(end) {
			sim.t.Fatalf("after %s: %s", length, sim.disagreement())
		}
		sim.run(100 * time.Millisecond)
	}
}

// detectionTimeout returns the specified time within which all of n hosts detect a failed one: a whole round of probes, two ack
// timeouts, the suspicion timeout, and a second for dissemination.
func detectionTimeout(n int) time.Duration {
	c := membership.DefaultConfig()
	return time.Duration(n)*c.ProbeInterval + 2*c.AckTimeout + c.SuspicionTimeout + time.Second
}

// agreementTimeout bounds the time until all views agree once no datagrams are lost: one dead or unknown member is retried every 500 ms.
const agreementTimeout = 30 * time.Second

// TestAgreementAfterFailures guards against views that stay wrong after loss, delay, duplication and reordering of datagrams,
// partitions, process pauses and restarts: running reachable members that stay dead, stopped members that stay alive, and hosts that
// miss a restart or a change of state.
func TestAgreementAfterFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 15).Draw(t, "hosts")
		sim := newSimulation(t, n, rapid.Uint64().Draw(t, "seed"))
		sim.waitForAgreement(agreementTimeout)
		sim.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		sim.duplication = rapid.Float64Range(0, 0.3).Draw(t, "dup")
		sim.delay = time.Duration(rapid.IntRange(1, 150).Draw(t, "delay")) * time.Millisecond
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			i := rapid.IntRange(0, n-1).Draw(t, "host")
			host := sim.nodes[i]
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				host.running = false
			case 1:
				sim.start(i) // restarts the process; one that is running is killed
			case 2:
				host.paused = true
			case 3:
				sim.resume(i)
			case 4:
				j := rapid.IntRange(0, n-1).Draw(t, "to")
				sim.blocked[[2]int{i, j}] = true
				if rapid.Bool().Draw(t, "both ways") {
					sim.blocked[[2]int{j, i}] = true
				}
			case 5: // a partition between the hosts up to i and the others
				for a := range n {
					for b := range n {
						if (a <= i) != (b <= i) {
							sim.blocked[[2]int{a, b}] = true
						}
					}
				}
			case 6:
				host.state = membership.Leaving
				if !rapid.Bool().Draw(t, "leave") {
					host.state = membership.Serving
				}
				host.machine.SetState(host.state)
			}
			sim.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		sim.loss, sim.duplication, sim.delay = 0, 0, 2*time.Millisecond
		clear(sim.blocked)
		for i := range sim.nodes {
			sim.resume(i)
		}
		sim.waitForAgreement(agreementTimeout)
		sim.run(5 * time.Second)
		sim.waitForAgreement(0)
	})
}

// TestFailureIsDetected guards against a stopped host that is still a member after the specified detection time, and against one that
// becomes a member again because of late or replayed datagrams or because the host list contains it.
func TestFailureIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 15).Draw(t, "hosts")
		sim := newSimulation(t, n, rapid.Uint64().Draw(t, "seed"))
		failed := rapid.IntRange(0, n-1).Draw(t, "gone")
		var old []datagram // the first datagrams of the host, which carry its own record because it joins
		sim.onSend = func(d datagram) {
			if d.from == failed && len(old) < 100 {
				old = append(old, d)
			}
		}
		sim.waitForAgreement(agreementTimeout)
		sim.run(time.Second)
		sim.onSend = nil
		restarted := rapid.Bool().Draw(t, "restarted")
		if sim.nodes[failed].running = false; restarted {
			sim.start(failed)
		}
		sim.waitForAgreement(detectionTimeout(n))
		sim.periodicCheck = func() {
			if text := sim.disagreement(); text != "" {
				t.Fatal("after replayed datagrams: " + text)
			}
		}
		for range 10 {
			for _, d := range old {
				d.at, d.to = sim.now, rapid.IntRange(0, n-1).Draw(t, "to")
				sim.inTransit = append(sim.inTransit, d)
			}
			sim.run(200 * time.Millisecond)
		}
		if !restarted {
			sim.run(2 * config().DeadRetention) // the dead record has expired by then
			for _, d := range old {
				d.at = sim.now
				sim.inTransit = append(sim.inTransit, d)
			}
			sim.run(time.Second)
		}
	})
}

// TestMarksReachAll guards against hosts that do not learn that an upstream is leaving. Guarantee 5 of docs/design.md allows 3 s.
// Each connected host must have a mark within that time by gossip alone, although a fifth of the datagrams is lost. A host that joins
// later must learn the older marks, and an endpoint list that names a marked upstream must not remove the mark.
func TestMarksReachAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 15).Draw(t, "hosts")
		sim := newSimulation(t, n, rapid.Uint64().Draw(t, "seed"))
		late := n - 1
		sim.nodes[late].running = false
		sim.waitForAgreement(agreementTimeout)
		sim.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
		count := rapid.IntRange(1, 60).Draw(t, "marks")
		var ids []endpoints.ID
		for i := range count {
			id := endpoints.ID{Address: fmt.Sprintf("10.1.0.%d:9000", i), Incarnation: "7"}
			informed := sim.nodes[rapid.IntRange(0, n-2).Draw(t, "by")]
			informed.table.AddLeavingMark(endpoints.LeavingMark{ID: id, FirstLearned: sim.now, LastNamed: sim.now})
			sim.send(slices.Index(sim.nodes, informed), informed.machine.DisseminateMark(sim.now, id))
			ids = append(ids, id)
		}
		marked := func() {
			for _, host := range sim.nodes {
				for _, id := range ids {
					if host.running && !host.table.IsLeaving(id) {
						t.Fatalf("%s has no mark on %s", host.name, id)
					}
				}
			}
		}
		sim.run(3 * time.Second)
		marked()
		for _, host := range sim.nodes {
			host.table.SetAll([]endpoints.Endpoint{{ID: ids[0], Service: "lotdesk"}}, sim.now)
		}
		if rapid.Bool().Draw(t, "long") {
			sim.run(config().RecentMarkAge + time.Second) // after that, only full exchanges carry the marks
		}
		marked()
		sim.start(late)
		sim.loss = 0
		sim.run(5 * time.Second)
		marked()
	})
}

// TestMarksAreReconciled guards against a mark that stays on a single host after all datagrams that carried it were lost. Hosts must
// detect the difference by the digests of their marks.
func TestMarksAreReconciled(t *testing.T) {
	sim := newSimulation(t, 5, 1)
	sim.waitForAgreement(agreementTimeout)
	sim.run(5 * time.Second)
	id := endpoints.ID{Address: "10.1.0.1:9000", Incarnation: "7"}
	sim.nodes[2].table.AddLeavingMark(endpoints.LeavingMark{ID: id, FirstLearned: sim.now, LastNamed: sim.now}) // not disseminated: no datagram carries it at first
	sim.run(5 * time.Second)
	for _, host := range sim.nodes {
		if !host.table.IsLeaving(id) {
			t.Errorf("%s has no mark on %s", host.name, id)
		}
	}
}

// TestEqualTablesAreNotSentAgain guards against full exchanges that send records to hosts that already have them, which cost 140 B/s
// with 188 members, and against marks that are missing in an exchange without records.
func TestEqualTablesAreNotSentAgain(t *testing.T) {
	sim := newSimulation(t, 12, 1)
	sim.waitForAgreement(agreementTimeout)
	sim.run(time.Minute)
	id := endpoints.ID{Address: "10.1.0.1:9000", Incarnation: "7"}
	old := sim.now.Add(-2 * config().RecentMarkAge) // so old that only full exchanges carry the mark
	sim.nodes[2].table.AddLeavingMark(endpoints.LeavingMark{ID: id, FirstLearned: old, LastNamed: sim.now})
	records, requests := 0, 0
	sim.onSend = func(d datagram) {
		m, err := sim.codec.Decode(d.data)
		if err != nil {
			t.Fatal(err)
		}
		if m.Kind == membership.Push {
			records += len(m.Updates)
		}
		if m.Kind == membership.SyncRequest {
			requests++
		}
	}
	sim.run(10 * time.Minute)
	if requests < 12*10 || records > 0 {
		t.Errorf("%d full exchanges sent %d records; want at least 120 exchanges and no records", requests, records)
	}
	for _, host := range sim.nodes {
		if !host.table.IsLeaving(id) {
			t.Errorf("%s has no mark on %s", host.name, id)
		}
	}
}

// TestDifferentTablesHaveDifferentDigests guards against a full exchange that leaves out the records although the receiver lacks one
// or has an older version of one.
func TestDifferentTablesHaveDifferentDigests(t *testing.T) {
	changes := []func(*membership.Record){
		func(r *membership.Record) { r.Host += "x" }, func(r *membership.Record) { r.Incarnation++ }, func(r *membership.Record) { r.IP = r.IP.Next() },
		func(r *membership.Record) { r.CallerPort++ }, func(r *membership.Record) { r.PeerPort++ }, func(r *membership.Record) { r.Zone += "x" },
		func(r *membership.Record) { r.State = membership.Dead }, func(r *membership.Record) { r.Suspected = !r.Suspected }, func(r *membership.Record) { r.Counter++ },
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "members")
		var table []membership.Record
		for i := range n {
			table = append(table, membership.Record{Host: fmt.Sprintf("host-%d", i), Incarnation: membership.Incarnation(rapid.Uint64Range(1, 1<<62).Draw(t, "incarnation")),
				IP: netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), CallerPort: 8000, PeerPort: 7000, Zone: rapid.SampledFrom([]string{"", "hall"}).Draw(t, "zone"),
				State: membership.Serving, Counter: rapid.Uint32Range(0, 5).Draw(t, "counter")})
		}
		before := membership.TableDigest(table)
		same := slices.Clone(table)
		slices.Reverse(same)
		same[0].Position, same[0].UptimeTenths = 7, 9
		if membership.TableDigest(same) != before {
			t.Fatal("the order of the records, a position or a process age changes the digest")
		}
		changed := slices.Clone(table)
		k := rapid.IntRange(0, len(changes)-1).Draw(t, "change")
		changes[k](&changed[rapid.IntRange(0, n-1).Draw(t, "member")])
		if membership.TableDigest(changed) == before || membership.TableDigest(table[1:]) == before {
			t.Fatalf("change %d or a missing record does not change the digest", k)
		}
	})
}

// TestLeavingIsAcknowledged guards against requests that reach a host after a planned stop (guarantee 6 of docs/design.md): once all
// members have acknowledged the stop, none of them may list the leaving host as serving.
func TestLeavingIsAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 15).Draw(t, "hosts")
		sim := newSimulation(t, n, rapid.Uint64().Draw(t, "seed"))
		sim.waitForAgreement(agreementTimeout)
		sim.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
		leaver := sim.nodes[rapid.IntRange(0, n-1).Draw(t, "leaver")]
		leaver.machine.SetState(membership.Leaving)
		leaver.state = membership.Leaving
		for end := sim.now.Add(5 * time.Second); leaver.machine.Unacknowledged() > 0 && sim.now.Before(end); {
			sim.run(5 * time.Millisecond)
		}
		if left := leaver.machine.Unacknowledged(); left > 0 && sim.loss < 0.2 {
			t.Fatalf("%d members have not acknowledged after 5 s", left)
		} else if left > 0 {
			t.Skip("too much loss for all acknowledgements")
		}
		for _, host := range sim.nodes {
			if slices.Contains(host.machine.View().ServingHosts(), leaver.name) {
				t.Fatalf("%s still lists %s as serving", host.name, leaver.name)
			}
		}
	})
}

// TestReplayGetsNoAnswer guards against a host that processes one datagram twice.
func TestReplayGetsNoAnswer(t *testing.T) {
	sim := newSimulation(t, 3, 1)
	sim.waitForAgreement(agreementTimeout)
	to, from := sim.nodes[0], sim.nodes[1]
	ping := from.machine.Probe(sim.now, to.name)[0].Message
	if len(to.machine.Receive(sim.now, from.addr, ping)) != 1 || len(to.machine.Receive(sim.now, from.addr, ping)) != 0 {
		t.Fatal("want one reply to the datagram and none to its replay")
	}
}

// BenchmarkMembership measures the load of one member during one second in which the membership does not change.
func BenchmarkMembership(b *testing.B) {
	for _, n := range []int{15, 50, 100, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			sim := newSimulation(b, n, 1)
			sim.waitForAgreement(agreementTimeout)
			sim.run(90 * time.Second) // until no more updates are piggybacked
			sim.sent, sim.bytes = 0, 0
			b.ResetTimer()
			for range b.N {
				sim.run(time.Second)
			}
			perMember := float64(b.N * n)
			b.ReportMetric(float64(sim.bytes)/perMember, "B/s")
			b.ReportMetric(float64(sim.sent)/perMember, "datagrams/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/perMember, "ns/s")
		})
	}
}

// TestPausedHostSuspectsNobody guards against a process that resumes after a pause and suspects other members because their acks
// arrived during the pause.
func TestPausedHostSuspectsNobody(t *testing.T) {
	sim := newSimulation(t, 3, 1)
	sim.waitForAgreement(agreementTimeout)
	for range 20 {
		sim.run(210 * time.Millisecond)
		host := sim.nodes[0]
		host.machine.Probe(sim.now, "host-1") // the pause begins before the ack arrives
		host.machine.Tick(sim.now.Add(2 * time.Second))
		host.machine.Tick(sim.now.Add(2*time.Second + membership.TickInterval))
		if v := host.machine.View(); v.Member("host-1") == nil || v.Member("host-1").Suspected {
			t.Fatal("host-0 suspects or removed host-1 after its own pause")
		}
		sim.now = sim.now.Add(2 * time.Second)
		for _, other := range sim.nodes[1:] {
			other.machine.Tick(sim.now)
		}
	}
}

// TestBounds guards against a table of members that grows without bound, and against a host list that removes members.
func TestBounds(t *testing.T) {
	sim := newSimulation(t, 3, 1)
	sim.waitForAgreement(agreementTimeout)
	var seeds []netip.AddrPort
	for i := range 5000 {
		seeds = append(seeds, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 7000))
	}
	for _, list := range [][]netip.AddrPort{seeds, nil} {
		sim.nodes[0].machine.SetSeeds(list)
		sim.run(5 * time.Second)
		sim.waitForAgreement(0)
	}
	flood := &membership.Message{Kind: membership.Push, From: "host-1", Incarnation: sim.nodes[1].incarnation, Seq: 1 << 40, State: membership.Serving}
	for i := range 5000 {
		flood.Seq++
		flood.Updates = []membership.Record{{Host: fmt.Sprintf("forged-%d", i), Incarnation: 1, IP: sim.nodes[1].addr.Addr(), PeerPort: 1, State: membership.Serving}}
		sim.nodes[0].machine.Receive(sim.now, sim.nodes[1].addr, flood)
	}
	if got, limit := len(sim.nodes[0].machine.View().Members), membership.DefaultConfig().MaxMembers+1; got != limit {
		t.Fatalf("%d members, want the bound %d", got, limit)
	}
}
