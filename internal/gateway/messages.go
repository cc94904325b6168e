package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerlink"
)

// minHeartbeatInterval is the least time between two heartbeats. Endpoints that leave at the same time share a heartbeat.
const minHeartbeatInterval = 20 * time.Millisecond

// sendHeartbeats sends heartbeats to the other hosts of this zone until the context ends.
func (g *Gateway) sendHeartbeats(ctx context.Context) {
	schedule := heartbeatSchedule{random: rand.Float64}
	for ctx.Err() == nil {
		g.storeLost.Store(g.follower.StoreLost())
		g.updateStatus()
		g.sendHeartbeat()
		g.lateness.Sleep(ctx, minHeartbeatInterval)
		due := time.NewTimer(schedule.untilNext(g.peers.HeartbeatInterval(), time.Now()))
		select {
		case <-due.C:
		case <-g.heartbeatNow:
		case <-ctx.Done():
		}
		due.Stop()
	}
}

// heartbeatSchedule holds the times of a host's regular heartbeats. They vary by heartbeatJitter, and heartbeats that are sent at once do not move them:
// else hosts that start together, or learn of something at the same moment, would send theirs together, and a host would hear from nobody in between.
// Quorum would take that for a cut.
type heartbeatSchedule struct {
	random func() float64 // returns a number in [0, 1)
	next   time.Time      // zero before the first call of untilNext
}

// heartbeatJitter is the part of the interval by which the time between two regular heartbeats is longer or shorter at random.
const heartbeatJitter = 0.25

// untilNext returns the time until the next regular heartbeat.
func (s *heartbeatSchedule) untilNext(interval time.Duration, now time.Time) time.Duration {
	if now.Sub(s.next) > interval { // the first call, or the process was suspended
		s.next = now
	}
	if !now.Before(s.next) {
		s.next = s.next.Add(time.Duration((1 - heartbeatJitter + 2*heartbeatJitter*s.random()) * float64(interval)))
	}
	return s.next.Sub(now)
}

// requestHeartbeat makes sendHeartbeats send a heartbeat soon.
func (g *Gateway) requestHeartbeat() {
	select {
	case g.heartbeatNow <- struct{}{}:
	default: // a heartbeat is due already
	}
}

// announceStoreStatus sends a heartbeat soon if other hosts of the zone wait for this host's reads of the store.
func (g *Gateway) announceStoreStatus() {
	if g.peers.IsFirstReader(time.Now()) {
		g.requestHeartbeat()
	}
}

// sendHeartbeat sends one heartbeat, a message that carries the host, its status, the endpoints that are newly leaving, new limits of endpoints and
// requests that end endpoints. What the hosts of other zones need goes to some of them.
func (g *Gateway) sendHeartbeat() {
	now := time.Now()
	ways := g.ways.Report(now)
	g.send(peerlink.Message{Ways: ways, Leaving: g.endpoints.LeavingToAnnounce(peerlink.MaxLeaving), Limits: g.rateLimiter.ZoneStatements(peerlink.MaxLimits, now),
		Crashes: g.crashGuard.ZoneUpdate(now)}, peerAddresses(g.peers.ZonePeers()))
	if others := append(g.askOtherZones(ways), g.ways.TakeAskers()...); len(others) > 0 {
		g.send(peerlink.Message{Ways: ways, RequestHosts: g.ways.KnowsNoHost(now)}, others)
	}
	limits, crashes := g.rateLimiter.RelayStatements(peerlink.MaxLimits, now), g.crashGuard.RelayUpdate(now)
	if len(limits) > 0 || !crashes.Empty() {
		g.send(peerlink.Message{Limits: limits, Crashes: crashes}, peerAddresses(g.peers.Relays(now)))
	}
}

// sendUpdate sends what this host has read from the store to the other hosts of its zone and to some hosts of each other zone.
func (g *Gateway) sendUpdate(u follow.Update) {
	g.send(peerlink.Message{Update: &u}, peerAddresses(append(g.peers.ZonePeers(), g.peers.Relays(time.Now())...)))
}

// peerAddresses returns the addresses at which the hosts receive messages of other hosts.
func peerAddresses(hosts []peers.Host) []string {
	addresses := make([]string, len(hosts))
	for i, h := range hosts {
		addresses[i] = h.PeerAddress
	}
	return addresses
}

// send sends a message, with this host and its status as the sender, to each address.
func (g *Gateway) send(m peerlink.Message, to []string) {
	m.From, m.Status = g.peers.Self()
	if err := g.link.Send(&m, to); err != nil {
		g.metrics.Add("peer_sends_failed_total", 1)
		g.log.Debug("peer_send_failed", "error", err)
	}
}

// handleMessage handles a message of another host. An update from another zone is passed on to the hosts of this zone if it is newer than
// what this host knows, because the sender contacts only some hosts of each other zone.
func (g *Gateway) handleMessage(m *peerlink.Message) {
	now := time.Now()
	if g.peers.RecordMessage(m.From, m.Status, now) {
		g.log.Info("host", "name", m.From.Name, "zone", m.From.Zone, "ready", m.Status.Ready, "leaving", m.Status.Leaving, "source", "message")
	}
	for _, id := range m.Leaving[:min(peerlink.MaxLeaving, len(m.Leaving))] {
		g.logEndpointChange(g.endpoints.MarkLeaving(id, false, now), sourcePeer)
	}
	g.handleWayReport(m, now)
	g.handleLimits(m, now)
	g.handleQuota(m, now)
	g.crashGuard.HandleUpdate(m.Crashes, m.From.Name, m.From.Zone == g.settings.Zone, now)
	g.handleHosts(m.Hosts, m.From.Name, now)
	if m.RequestHosts {
		g.send(peerlink.Message{Hosts: g.peers.HostsForZone(m.From.Zone, now)}, []string{m.From.PeerAddress})
	}
	if m.Update == nil {
		g.recordVersion(m.From, m.Status.Version)
		return
	}
	g.metrics.Add("peer_updates_total", 1)
	g.updateSources.record(m.From, m.Update, m.Forwarded, now)
	newer := g.follower.ApplyUpdate(*m.Update, now)
	g.recordVersion(m.From, m.Status.Version) // unless the update has brought it
	if m.From.Zone == g.settings.Zone {
		return
	}
	if newer {
		g.send(peerlink.Message{Update: m.Update, Forwarded: true}, peerAddresses(g.peers.ZonePeers()))
	}
	// This reply is a heartbeat to the sender. Hosts of other zones get no regular heartbeats from this host.
	g.send(peerlink.Message{}, []string{m.From.PeerAddress})
}

// handleMalformed counts and logs a datagram that is not a valid message, or an error of the socket.
func (g *Gateway) handleMalformed(from netip.AddrPort, err error) {
	g.metrics.Add("peer_messages_malformed_total", 1)
	g.log.Debug("peer_message_malformed", "from", from, "error", err)
}
