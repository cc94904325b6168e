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
	name    string
	addr    netip.AddrPort
	machine *membership.Machine
	table   *endpoints.Table
	inc     membership.Incarnation
	state   membership.State
	up      bool
	frozen  bool     // the process is paused
	inbox   [][2]any // datagrams that arrived while the process was paused
}

// datagram is a datagram in transit.
type datagram struct {
	at       time.Time // of delivery
	from, to int       // indices of nodes
	data     []byte
}

// network simulates hosts and the network between them in simulated time.
type network struct {
	t           rapid.TB
	rng         *rand.Rand
	now         time.Time
	codec       *wire.GossipCodec
	nodes       []*node
	flying      []datagram      // in transit
	loss, dup   float64         // probabilities of loss and of duplication
	delay       time.Duration   // maximum delay
	cut         map[[2]int]bool // pairs of sender and receiver whose datagrams are all lost
	sent, bytes int             // datagrams sent and their size
	sniff       func(datagram)  // called for each datagram that is not lost
	check       func()          // called every 50 ms
}

func newNetwork(t rapid.TB, n int, seed uint64) *network {
	w := &network{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC),
		codec: wire.NewGossipCodec("0123456789abcdef"), cut: map[[2]int]bool{}, delay: 2 * time.Millisecond}
	for i := range n {
		w.nodes = append(w.nodes, &node{name: fmt.Sprintf("host-%d", i),
			addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)})
		w.start(i)
	}
	return w
}

// start starts or restarts host i.
func (w *network) start(i int) {
	n := w.nodes[i]
	n.inc = membership.NewIncarnation(w.now, uint16(w.rng.Uint32()))
	n.table, n.up, n.frozen, n.inbox, n.state = endpoints.NewTable(), true, false, nil, membership.Serving
	self := membership.Record{Host: n.name, Incarnation: n.inc, IP: n.addr.Addr(), CallerPort: 8000, PeerPort: n.addr.Port(), Zone: "tamworth-hall",
		State: membership.Serving}
	n.machine = membership.New(config(), self, w.now, rand.New(rand.NewPCG(w.rng.Uint64(), 2)), n.table)
	n.machine.Seed([]netip.AddrPort{w.nodes[0].addr, w.nodes[len(w.nodes)-1].addr})
}

// send puts packets of host from in transit.
func (w *network) send(from int, packets []membership.Packet) {
	for _, p := range packets {
		data, err := w.codec.Encode(p.Message)
		if err != nil {
			w.t.Fatal(err)
		}
		w.sent, w.bytes = w.sent+1, w.bytes+len(data)
		to := slices.IndexFunc(w.nodes, func(n *node) bool { return n.addr == p.To })
		copies := 1
		if w.rng.Float64() < w.dup {
			copies = 2
		}
		for range copies {
			if to >= 0 && !w.cut[[2]int{from, to}] && w.rng.Float64() >= w.loss {
				d := datagram{w.now.Add(time.Duration(w.rng.Int64N(int64(w.delay) + 1))), from, to, data}
				w.flying = append(w.flying, d)
				if w.sniff != nil {
					w.sniff(d)
				}
			}
		}
	}
}

// deliver passes a datagram to its receiver.
func (w *network) deliver(d datagram) {
	n := w.nodes[d.to]
	if !n.up {
		return
	}
	if n.frozen {
		n.inbox = append(n.inbox, [2]any{d, nil})
		return
	}
	m, err := w.codec.Decode(d.data)
	if err != nil {
		w.t.Fatal(err)
	}
	w.send(d.to, n.machine.Receive(w.now, w.nodes[d.from].addr, m))
}

// run advances the simulated time.
func (w *network) run(length time.Duration) {
	const step = 5 * time.Millisecond
	for end := w.now.Add(length); w.now.Before(end); {
		w.now = w.now.Add(step)
		slices.SortStableFunc(w.flying, func(a, b datagram) int { return a.at.Compare(b.at) })
		due := 0
		for due < len(w.flying) && !w.flying[due].at.After(w.now) {
			due++
		}
		arrived := slices.Clone(w.flying[:due])
		w.flying = w.flying[due:]
		for _, d := range arrived {
			w.deliver(d)
		}
		if w.now.UnixMilli()%membership.TickInterval.Milliseconds() == 0 {
			for i, n := range w.nodes {
				if n.up && !n.frozen && !n.machine.NextTick().After(w.now) {
					w.send(i, n.machine.Tick(w.now))
				}
			}
		}
		if w.check != nil && w.now.UnixMilli()%50 == 0 {
			w.check()
		}
	}
}

// thaw resumes the paused process of host i, which then receives the datagrams that arrived during the pause.
func (w *network) thaw(i int) {
	n := w.nodes[i]
	n.frozen = false
	inbox := n.inbox
	n.inbox = nil
	for _, d := range inbox {
		w.deliver(d[0].(datagram))
	}
}

// disagreement describes the first difference between the view of a running host and the actual state of the hosts. It returns an
// empty string if there is none.
func (w *network) disagreement() string {
	for _, n := range w.nodes {
		if !n.up || n.frozen {
			continue
		}
		v := n.machine.View()
		for _, o := range w.nodes {
			m := v.Member(o.name)
			switch {
			case o.up && m == nil:
				return n.name + " does not know " + o.name
			case !o.up && m != nil:
				return n.name + " lists the stopped " + o.name + " as a member"
			case o.up && (m.Incarnation != o.inc.String() || m.Suspected || m.State != o.state):
				return fmt.Sprintf("%s sees %+v; want incarnation %s in state %s", n.name, *m, o.inc, o.state)
			}
		}
	}
	return ""
}

// agreeWithin runs until there is no disagreement, and fails the test if there still is one after the given time.
func (w *network) agreeWithin(length time.Duration) {
	w.t.Helper()
	end := w.now.Add(length)
	for w.disagreement() != "" {
		if w.now.After(end) {
			w.t.Fatalf("after %s: %s", length, w.disagreement())
		}
		w.run(100 * time.Millisecond)
	}
}

// detection returns the specified time within which all of n hosts detect a failed one: a whole round of probes, two ack timeouts,
// the suspicion timeout, and a second for dissemination.
func detection(n int) time.Duration {
	c := membership.DefaultConfig()
	return time.Duration(n)*c.ProbeInterval + 2*c.AckTimeout + c.SuspicionTimeout + time.Second
}

// healing bounds the time until all views agree once no datagrams are lost: one dead or unknown member is retried every 500 ms.
const healing = 30 * time.Second

// TestAgreementAfterFailures guards against views that stay wrong after loss, delay, duplication and reordering of datagrams,
// partitions, process pauses and restarts: running reachable members that stay dead, stopped members that stay alive, and hosts that
// miss a restart or a change of state.
func TestAgreementAfterFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 15).Draw(t, "hosts")
		w := newNetwork(t, n, rapid.Uint64().Draw(t, "seed"))
		w.agreeWithin(healing)
		w.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		w.dup = rapid.Float64Range(0, 0.3).Draw(t, "dup")
		w.delay = time.Duration(rapid.IntRange(1, 150).Draw(t, "delay")) * time.Millisecond
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			i := rapid.IntRange(0, n-1).Draw(t, "host")
			o := w.nodes[i]
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				o.up = false
			case 1:
				w.start(i) // restarts the process; one that is running is killed
			case 2:
				o.frozen = true
			case 3:
				w.thaw(i)
			case 4:
				j := rapid.IntRange(0, n-1).Draw(t, "to")
				w.cut[[2]int{i, j}] = true
				if rapid.Bool().Draw(t, "both ways") {
					w.cut[[2]int{j, i}] = true
				}
			case 5: // a partition between the hosts up to i and the others
				for a := range n {
					for b := range n {
						if (a <= i) != (b <= i) {
							w.cut[[2]int{a, b}] = true
						}
					}
				}
			case 6:
				o.state = membership.Leaving
				if !rapid.Bool().Draw(t, "leave") {
					o.state = membership.Serving
				}
				o.machine.SetState(o.state)
			}
			w.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		w.loss, w.dup, w.delay = 0, 0, 2*time.Millisecond
		clear(w.cut)
		for i := range w.nodes {
			w.thaw(i)
		}
		w.agreeWithin(healing)
		w.run(5 * time.Second)
		w.agreeWithin(0)
	})
}

// TestDeathIsFound guards against a stopped host that is still a member after the specified detection time, and against one that
// becomes a member again because of late or replayed datagrams or because the host list contains it.
func TestDeathIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 15).Draw(t, "hosts")
		w := newNetwork(t, n, rapid.Uint64().Draw(t, "seed"))
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		var old []datagram // the first datagrams of the host, which carry its own record because it joins
		w.sniff = func(d datagram) {
			if d.from == gone && len(old) < 100 {
				old = append(old, d)
			}
		}
		w.agreeWithin(healing)
		w.run(time.Second)
		w.sniff = nil
		restarted := rapid.Bool().Draw(t, "restarted")
		if w.nodes[gone].up = false; restarted {
			w.start(gone)
		}
		w.agreeWithin(detection(n))
		w.check = func() {
			if text := w.disagreement(); text != "" {
				t.Fatal("after replayed datagrams: " + text)
			}
		}
		for range 10 {
			for _, d := range old {
				d.at, d.to = w.now, rapid.IntRange(0, n-1).Draw(t, "to")
				w.flying = append(w.flying, d)
			}
			w.run(200 * time.Millisecond)
		}
		if !restarted {
			w.run(2 * config().DeadRetention) // the dead record has expired by then
			for _, d := range old {
				d.at = w.now
				w.flying = append(w.flying, d)
			}
			w.run(time.Second)
		}
	})
}

// TestMarksReachAll guards against hosts that do not learn that an upstream is leaving. Guarantee 5 of docs/design.md allows 3 s.
// Each connected host must have a mark within that time by gossip alone, although a fifth of the datagrams is lost. A host that joins
// later must learn the older marks, and an endpoint list that names a marked upstream must not remove the mark.
func TestMarksReachAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 15).Draw(t, "hosts")
		w := newNetwork(t, n, rapid.Uint64().Draw(t, "seed"))
		late := n - 1
		w.nodes[late].up = false
		w.agreeWithin(healing)
		w.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
		count := rapid.IntRange(1, 60).Draw(t, "marks")
		var ids []endpoints.ID
		for i := range count {
			id := endpoints.ID{Address: fmt.Sprintf("10.1.0.%d:9000", i), Incarnation: "7"}
			by := w.nodes[rapid.IntRange(0, n-2).Draw(t, "by")]
			by.table.AddMark(endpoints.Mark{ID: id, Learned: w.now, Named: w.now})
			w.send(slices.Index(w.nodes, by), by.machine.Spread(w.now, id))
			ids = append(ids, id)
		}
		marked := func() {
			for _, o := range w.nodes {
				for _, id := range ids {
					if o.up && !o.table.IsLeaving(id) {
						t.Fatalf("%s has no mark on %s", o.name, id)
					}
				}
			}
		}
		w.run(3 * time.Second)
		marked()
		for _, o := range w.nodes {
			o.table.SetAll([]endpoints.Endpoint{{ID: ids[0], Service: "lotdesk"}}, w.now)
		}
		if rapid.Bool().Draw(t, "long") {
			w.run(config().RecentMarkAge + time.Second) // after that, only full exchanges carry the marks
		}
		marked()
		w.start(late)
		w.loss = 0
		w.run(5 * time.Second)
		marked()
	})
}

// TestMarksAreReconciled guards against a mark that remains on one host only because all datagrams that carried it were lost. Hosts
// must detect the difference by the digests of their marks.
func TestMarksAreReconciled(t *testing.T) {
	w := newNetwork(t, 5, 1)
	w.agreeWithin(healing)
	w.run(5 * time.Second)
	id := endpoints.ID{Address: "10.1.0.1:9000", Incarnation: "7"}
	w.nodes[2].table.AddMark(endpoints.Mark{ID: id, Learned: w.now, Named: w.now}) // without Spread, so no datagram carries it at first
	w.run(5 * time.Second)
	for _, o := range w.nodes {
		if !o.table.IsLeaving(id) {
			t.Errorf("%s has no mark on %s", o.name, id)
		}
	}
}

// TestEqualTablesAreNotSentAgain guards against full exchanges that send records to hosts that already have them, which cost 140 B/s
// with 188 members, and against marks that are missing in an exchange without records.
func TestEqualTablesAreNotSentAgain(t *testing.T) {
	w := newNetwork(t, 12, 1)
	w.agreeWithin(healing)
	w.run(time.Minute)
	id := endpoints.ID{Address: "10.1.0.1:9000", Incarnation: "7"}
	long := w.now.Add(-2 * config().RecentMarkAge) // so old that only full exchanges carry the mark
	w.nodes[2].table.AddMark(endpoints.Mark{ID: id, Learned: long, Named: w.now})
	records, requests := 0, 0
	w.sniff = func(d datagram) {
		m, err := w.codec.Decode(d.data)
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
	w.run(10 * time.Minute)
	if requests < 12*10 || records > 0 {
		t.Errorf("%d full exchanges sent %d records; want at least 120 exchanges and no records", requests, records)
	}
	for _, o := range w.nodes {
		if !o.table.IsLeaving(id) {
			t.Errorf("%s has no mark on %s", o.name, id)
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
		same[0].Position, same[0].Up = 7, 9
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
		w := newNetwork(t, n, rapid.Uint64().Draw(t, "seed"))
		w.agreeWithin(healing)
		w.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
		leaver := w.nodes[rapid.IntRange(0, n-1).Draw(t, "leaver")]
		leaver.machine.SetState(membership.Leaving)
		leaver.state = membership.Leaving
		for end := w.now.Add(5 * time.Second); leaver.machine.Unacknowledged() > 0 && w.now.Before(end); {
			w.run(5 * time.Millisecond)
		}
		if left := leaver.machine.Unacknowledged(); left > 0 && w.loss < 0.2 {
			t.Fatalf("%d members have not acknowledged after 5 s", left)
		} else if left > 0 {
			t.Skip("too much loss for all acknowledgements")
		}
		for _, o := range w.nodes {
			if slices.Contains(o.machine.View().Serving(), leaver.name) {
				t.Fatalf("%s still lists %s as serving", o.name, leaver.name)
			}
		}
	})
}

// TestReplayGetsNoAnswer guards against a host that processes one datagram twice.
func TestReplayGetsNoAnswer(t *testing.T) {
	w := newNetwork(t, 3, 1)
	w.agreeWithin(healing)
	to, from := w.nodes[0], w.nodes[1]
	ping := from.machine.Probe(w.now, to.name)[0].Message
	if len(to.machine.Receive(w.now, from.addr, ping)) != 1 || len(to.machine.Receive(w.now, from.addr, ping)) != 0 {
		t.Fatal("want one reply to the datagram and none to its replay")
	}
}

// BenchmarkMembership measures the load of one member during one second in which the membership does not change.
func BenchmarkMembership(b *testing.B) {
	for _, n := range []int{15, 50, 100, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newNetwork(b, n, 1)
			w.agreeWithin(healing)
			w.run(90 * time.Second) // until no more updates are piggybacked
			w.sent, w.bytes = 0, 0
			b.ResetTimer()
			for range b.N {
				w.run(time.Second)
			}
			perMember := float64(b.N * n)
			b.ReportMetric(float64(w.bytes)/perMember, "B/s")
			b.ReportMetric(float64(w.sent)/perMember, "datagrams/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/perMember, "ns/s")
		})
	}
}

// TestFrozenHostSuspectsNobody guards against a process that resumes after a pause and suspects other members because their acks
// arrived during the pause.
func TestFrozenHostSuspectsNobody(t *testing.T) {
	w := newNetwork(t, 3, 1)
	w.agreeWithin(healing)
	for range 20 {
		w.run(210 * time.Millisecond)
		o := w.nodes[0]
		o.machine.Probe(w.now, "host-1") // the pause begins before the ack arrives
		o.machine.Tick(w.now.Add(2 * time.Second))
		o.machine.Tick(w.now.Add(2*time.Second + membership.TickInterval))
		if v := o.machine.View(); v.Member("host-1") == nil || v.Member("host-1").Suspected {
			t.Fatal("host-0 suspects or removed host-1 after its own pause")
		}
		w.now = w.now.Add(2 * time.Second)
		for _, other := range w.nodes[1:] {
			other.machine.Tick(w.now)
		}
	}
}

// TestBounds guards against a table of members that grows without bound, and against a host list that removes members.
func TestBounds(t *testing.T) {
	w := newNetwork(t, 3, 1)
	w.agreeWithin(healing)
	var seeds []netip.AddrPort
	for i := range 5000 {
		seeds = append(seeds, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 7000))
	}
	for _, list := range [][]netip.AddrPort{seeds, nil} {
		w.nodes[0].machine.Seed(list)
		w.run(5 * time.Second)
		w.agreeWithin(0)
	}
	flood := &membership.Message{Kind: membership.Push, From: "host-1", Incarnation: w.nodes[1].inc, Seq: 1 << 40, State: membership.Serving}
	for i := range 5000 {
		flood.Seq++
		flood.Updates = []membership.Record{{Host: fmt.Sprintf("forged-%d", i), Incarnation: 1, IP: w.nodes[1].addr.Addr(), PeerPort: 1, State: membership.Serving}}
		w.nodes[0].machine.Receive(w.now, w.nodes[1].addr, flood)
	}
	if got, limit := len(w.nodes[0].machine.View().Members), membership.DefaultConfig().MaxMembers+1; got != limit {
		t.Fatalf("%d members, want the bound %d", got, limit)
	}
}
