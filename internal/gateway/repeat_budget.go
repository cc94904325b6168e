package gateway

import (
	"math"
	"time"
)

// advertisedBurstFraction is the fraction of the repeat budget's burst that the advertised hosts divide among themselves. All hosts divide
// the rest.
const advertisedBurstFraction = 0.75

// repeatBudgetParts returns into how many parts like this host's the burst of the repeat budget is divided.
func (g *Gateway) repeatBudgetParts() int {
	now := time.Now()
	return burstParts(g.peers.SelfAdvertised(now), g.peers.AdvertisedHostCount(now), g.peers.HostCount())
}

// burstParts returns the inverse of a host's share of the burst. Hosts that the directory advertises receive most requests. The others
// serve only callers that still use older addresses. With equal shares, hundreds of hosts would leave those that receive the requests of a
// zone about one repeat each.
func burstParts(selfAdvertised bool, advertisedHosts, hosts int) int {
	share := (1 - advertisedBurstFraction) / float64(hosts)
	if selfAdvertised {
		share += advertisedBurstFraction / float64(advertisedHosts)
	}
	return int(math.Ceil(1 / share))
}
