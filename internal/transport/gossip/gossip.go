// Package gossip runs the membership state machine over a UDP socket.
package gossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/coordination/membership"
	"github.com/arbutusspan/arbutusspan/internal/protocol/wire"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Node runs this host's membership state machine: it passes received datagrams to the machine and sends those that the machine
// returns. It is safe for concurrent use.
type Node struct {
	conn  *net.UDPConn
	codec *wire.GossipCodec
	log   *log.Logger

	mu         sync.Mutex
	machine    *membership.Machine
	changed    chan struct{} // closed and replaced when the view changes
	nextTick   time.Time     // time of the next scheduled tick
	reschedule chan struct{} // signals tick to reschedule, because the machine needs a tick before nextTick
	view       atomic.Pointer[membership.View]

	stats Stats
}

// Stats counts datagrams, and their bytes without IP and UDP headers.
type Stats struct {
	Sent, SentBytes, Received, ReceivedBytes, Rejected atomic.Int64
}

// Listen opens the UDP socket at the address and returns a Node for the machine. secret is the cluster secret.
func Listen(address netip.AddrPort, secret string, machine *membership.Machine, logger *log.Logger) (*Node, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, trace.Wrap(err, "listen on UDP %s; stop the process that uses it or change peer_port", address)
	}
	n := &Node{conn: conn, codec: wire.NewGossipCodec(secret), log: logger, machine: machine, changed: make(chan struct{}), reschedule: make(chan struct{}, 1)}
	n.view.Store(machine.View())
	return n, nil
}

// View returns the current view and a channel that is closed when a new view replaces it.
func (n *Node) View() (*membership.View, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Load(), n.changed
}

// Current returns the current view without taking a lock.
func (n *Node) Current() *membership.View { return n.view.Load() }

// Stats returns the node's counters.
func (n *Node) Stats() *Stats { return &n.stats }

// Run sends and receives until the context ends, then closes the socket.
func (n *Node) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { n.conn.Close() })
	defer stop()
	go n.tick(ctx)
	// The buffer has one byte more than a valid datagram, so that Decode can recognize and reject longer ones.
	buf := make([]byte, wire.MaxDatagramBytes+1)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			n.log.Debug("gossip_read", "error", err)
			continue
		}
		n.stats.Received.Add(1)
		n.stats.ReceivedBytes.Add(int64(size))
		m, err := n.codec.Decode(buf[:size])
		if err != nil {
			n.stats.Rejected.Add(1)
			n.log.Debug("gossip_rejected", "from", from, "error", err)
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		n.Do(func(machine *membership.Machine, now time.Time) []membership.Packet {
			return machine.Receive(now, from, m)
		})
	}
}

// tick calls the machine's Tick at the times that its NextTick returns.
func (n *Node) tick(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			n.Do(func(m *membership.Machine, now time.Time) []membership.Packet { return m.Tick(now) })
		case <-n.reschedule:
		}
		n.mu.Lock()
		n.nextTick = n.machine.NextTick()
		wait := time.Until(n.nextTick)
		n.mu.Unlock()
		timer.Reset(wait)
	}
}

// Do calls f with the machine, publishes the view if it changed, and then sends the datagrams that f returns. An ack is therefore sent
// only after the change that it acknowledges is in force on this host.
func (n *Node) Do(f func(*membership.Machine, time.Time) []membership.Packet) {
	n.mu.Lock()
	packets := f(n.machine, time.Now())
	if v := n.machine.View(); v != n.view.Load() {
		n.view.Store(v)
		close(n.changed)
		n.changed = make(chan struct{})
	}
	early := n.machine.NextTick().Before(n.nextTick)
	n.mu.Unlock()
	if early {
		select {
		case n.reschedule <- struct{}{}:
		default: // an earlier signal is still pending
		}
	}
	for _, p := range packets {
		n.send(p)
	}
}

func (n *Node) send(p membership.Packet) {
	data, err := n.codec.Encode(p.Message)
	if err != nil {
		n.log.Error("gossip_encode", "error", err)
		return
	}
	if _, err := n.conn.WriteToUDPAddrPort(data, p.To); err != nil {
		n.log.Debug("gossip_write", "to", p.To, "error", err)
		return
	}
	n.stats.Sent.Add(1)
	n.stats.SentBytes.Add(int64(len(data)))
}

// The methods below call the method of the same name of the machine.

// SetState changes this host's own state.
func (n *Node) SetState(s membership.State) {
	n.Do(func(m *membership.Machine, now time.Time) []membership.Packet { m.SetState(s); return m.Tick(now) })
}

// SetPosition records this host's configuration position.
func (n *Node) SetPosition(position int64) {
	n.Do(func(m *membership.Machine, _ time.Time) []membership.Packet { m.SetPosition(position); return nil })
}

// SetSeeds replaces the seeds: the peer addresses from the host list.
func (n *Node) SetSeeds(seeds []netip.AddrPort) {
	n.Do(func(m *membership.Machine, _ time.Time) []membership.Packet { m.SetSeeds(seeds); return nil })
}

// DisseminateMark sends a new mark, which says that the endpoint is leaving, to the other members.
func (n *Node) DisseminateMark(id endpoints.ID) {
	n.Do(func(m *membership.Machine, now time.Time) []membership.Packet { return m.DisseminateMark(now, id) })
}

// Probe pings a member immediately, outside the regular probe schedule, for example when a connection to it failed.
func (n *Node) Probe(host string) {
	n.Do(func(m *membership.Machine, now time.Time) []membership.Packet { return m.Probe(now, host) })
}

// Unacknowledged returns the number of members that have not acknowledged this host's planned stop.
func (n *Node) Unacknowledged() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.Unacknowledged()
}

// Synced reports whether this host has received the whole member table of another member.
func (n *Node) Synced() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.Synced()
}
