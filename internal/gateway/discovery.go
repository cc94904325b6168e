package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerlink"
)

// firstDiscovery is the time until a started host asks for the other hosts again. The time doubles with each request, up to maxDiscovery: messages are
// lost mostly at a start, when the host that is asked may not run yet.
const (
	firstDiscovery = time.Second
	maxDiscovery   = 15 * time.Second
)

// discoverHosts asks other hosts again and again which hosts there are, until the context ends. Else two hosts of a zone whose first messages were lost
// could stay unknown to each other: hosts that get updates from another zone hardly read the store's list of hosts, and an update with it may be lost.
func (g *Gateway) discoverHosts(ctx context.Context) {
	for wait := firstDiscovery; ctx.Err() == nil; wait = min(2*wait, maxDiscovery) {
		sleep(ctx, time.Duration((0.5+rand.Float64())*float64(wait))) // hosts that start together do not ask together
		if ctx.Err() == nil {
			g.send(peerlink.Message{RequestHosts: true}, g.discoverySource())
		}
	}
}

// discoverySource returns the address of a random seed or of a random known host, or none. Seeds get half of the requests, since they hear from most
// hosts; with the other half, hosts also meet while no seed runs.
func (g *Gateway) discoverySource() []string {
	self, _ := g.peers.Self()
	from := g.seedPeerAddresses()
	if known := slices.DeleteFunc(peerAddresses(g.peers.KnownHosts()), func(a string) bool { return a == self.PeerAddress }); len(known) > 0 && (len(from) == 0 || rand.IntN(2) == 0) {
		from = known
	}
	if len(from) == 0 {
		return nil
	}
	return []string{from[rand.IntN(len(from))]}
}

// handleHosts adds the hosts that another host has listed. Those that have been silent for so long that this host has removed them get a message
// instead: if they run, they answer with heartbeats.
func (g *Gateway) handleHosts(hosts []peers.Host, source string, now time.Time) {
	var silent []string
	for _, h := range hosts {
		if g.peers.WasSilent(h) {
			silent = append(silent, h.PeerAddress)
		} else {
			g.addHost(h, source, now)
		}
	}
	if len(silent) > 0 {
		g.send(peerlink.Message{}, silent)
	}
}
