package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"syscall"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/membership"
	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

const (
	membersJoining     = time.Minute // simulated time after the first exchange of all members
	membersLength      = time.Minute // simulated time of one measurement
	membersViewChanges = 200
	membersPerPush     = 8 // records in one datagram of the simulated members
)

// simulatedMembers answers the datagrams of one real membership machine in the place of all other members. No member fails.
type simulatedMembers struct {
	machine  *membership.Machine
	codec    *wire.GossipCodec
	rng      *rand.Rand
	now      time.Time
	records  []membership.Record
	seqs     []uint64
	position int64 // of all members
	byAddr   map[netip.AddrPort]int
	bytes    int // in both directions, since the last reset
}

// newSimulatedMembers returns a machine that knows n members, itself included.
func newSimulatedMembers(seed uint64, n int) (*simulatedMembers, error) {
	s := &simulatedMembers{codec: wire.NewGossipCodec(testbed.ClusterSecret), rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0),
		byAddr: map[netip.AddrPort]int{}, seqs: make([]uint64, n)}
	for i := range n {
		r := membership.Record{Host: fmt.Sprintf("hall-%d", i), Incarnation: membership.NewIncarnation(s.now, uint16(i)), CallerPort: 7080, PeerPort: 7082,
			IP: netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), Zone: "tamworth-hall", State: membership.Serving}
		s.byAddr[netip.AddrPortFrom(r.IP, r.PeerPort)] = i
		s.records = append(s.records, r)
	}
	s.machine = membership.New(membership.DefaultConfig(), s.records[0], s.now, s.rng, endpoints.NewTable())
	s.machine.SetSeeds([]netip.AddrPort{netip.AddrPortFrom(s.records[1].IP, s.records[1].PeerPort)})
	for range 1000 {
		if err := s.step(false); err != nil {
			return nil, err
		}
		if len(s.machine.View().Members) == n && s.machine.Synced() {
			return s, nil
		}
	}
	return nil, fmt.Errorf("the machine knows %d of %d members", len(s.machine.View().Members), n)
}

// header returns a message of member i.
func (s *simulatedMembers) header(i int, kind membership.Kind, nonce uint64) *membership.Message {
	s.seqs[i]++
	r := &s.records[i]
	return &membership.Message{Kind: kind, Nonce: nonce, From: r.Host, Incarnation: r.Incarnation, Seq: s.seqs[i], State: r.State, Position: s.position}
}

// deliver sends a message of member i to the machine, encoded as in a datagram, and answers what it returns.
func (s *simulatedMembers) deliver(i int, m *membership.Message) error {
	data, err := s.codec.Encode(m)
	if err != nil {
		return err
	}
	s.bytes += len(data)
	decoded, err := s.codec.Decode(data)
	if err != nil {
		return err
	}
	return s.answer(s.machine.Receive(s.now, netip.AddrPortFrom(s.records[i].IP, s.records[i].PeerPort), decoded))
}

func (s *simulatedMembers) answer(packets []membership.Packet) error {
	for _, p := range packets {
		data, err := s.codec.Encode(p.Message)
		if err != nil {
			return err
		}
		s.bytes += len(data)
		i, known := s.byAddr[p.To]
		if !known {
			continue
		}
		switch p.Message.Kind {
		case membership.Ping:
			ack := s.header(i, membership.Ack, p.Message.Nonce)
			if p.Message.WantRecord {
				ack.Updates = s.records[i : i+1]
			}
			err = s.deliver(i, ack)
		case membership.SyncRequest:
			err = s.push(i, p.Message.TableDigest)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// push sends all members, or none to a machine that knows them.
func (s *simulatedMembers) push(i int, table uint64) error {
	left := s.records[1:]
	if table == membership.TableDigest(s.records) {
		m := s.header(i, membership.Push, 0)
		m.SyncComplete = true
		return s.deliver(i, m)
	}
	for len(left) > 0 {
		k := min(membersPerPush, len(left))
		m := s.header(i, membership.Push, 0)
		m.Updates, m.SyncComplete = left[:k], k == len(left)
		left = left[k:]
		if err := s.deliver(i, m); err != nil {
			return err
		}
	}
	return nil
}

// step advances the time by one tick. With others, each other member also pings and asks for all members at the usual rate.
func (s *simulatedMembers) step(others bool) error {
	s.now = s.now.Add(membership.TickInterval)
	if err := s.answer(s.machine.Tick(s.now)); err != nil || !others {
		return err
	}
	cfg, n := membership.DefaultConfig(), len(s.records)
	due := func(every time.Duration) bool {
		return s.rng.Float64() < float64(membership.TickInterval)/float64(every)
	}
	i := 1 + s.rng.IntN(n-1)
	if due(cfg.ProbeInterval) {
		if err := s.deliver(i, s.header(i, membership.Ping, s.rng.Uint64())); err != nil {
			return err
		}
	}
	// Each of n members asks one other every 600 ms times n, and at most every 30 s.
	if due(max(30*time.Second, time.Duration(n)*600*time.Millisecond)) {
		request := s.header(i, membership.SyncRequest, 0)
		request.TableDigest = membership.TableDigest(s.records)
		return s.deliver(i, request)
	}
	return nil
}

// threadCPU returns the processor time of the calling thread.
func threadCPU() time.Duration {
	const rusageThread = 1
	var u syscall.Rusage
	// It fails for invalid arguments only.
	_ = syscall.Getrusage(rusageThread, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureMembers measures the membership machine in memory. Half of the coding that it counts is that of the simulated members,
// so the processor time is an upper bound.
func measureMembers(ctx context.Context, m *capacity, s *sweep, x int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for repeat := range m.repeats {
		before := heapInUse()
		sim, err := newSimulatedMembers(m.seed+uint64(repeat), x)
		if err != nil {
			return err
		}
		m.add(s, x, repeat, "heap_with_simulation_kib", (heapInUse()-before)/1024)
		// In its first minutes a new member may still pass on what it learned.
		for _, phase := range []struct {
			name   string
			length time.Duration
		}{{"joining_", membersJoining}, {"", membersLength}} {
			sim.bytes = 0
			began, cpu := sim.now, threadCPU()
			for sim.now.Sub(began) < phase.length && ctx.Err() == nil {
				if err := sim.step(true); err != nil {
					return err
				}
			}
			seconds := sim.now.Sub(began).Seconds()
			m.add(s, x, repeat, phase.name+"cpu_us_per_s", float64((threadCPU()-cpu).Microseconds())/seconds)
			m.add(s, x, repeat, phase.name+"gossip_bytes_per_s", float64(sim.bytes)/seconds)
		}
		cpu := threadCPU()
		for k := range membersViewChanges {
			sim.position++
			i := 1 + k%(x-1)
			if err := sim.deliver(i, sim.header(i, membership.Push, 0)); err != nil {
				return err
			}
			sim.machine.View()
		}
		m.add(s, x, repeat, "view_change_us", float64((threadCPU()-cpu).Microseconds())/membersViewChanges)
	}
	return ctx.Err()
}
