package host

import (
	"github.com/arbutusspan/arbutusspan/internal/transport/peerrpc"
	"github.com/arbutusspan/arbutusspan/internal/transport/platform"
)

// registerTrafficMetrics registers metrics of the bytes sent and received on control connections. Their names end with the unit. The
// values do not include TCP and IP headers.
func (h *Host) registerTrafficMetrics(contracts *platform.Log) {
	gaugePair := func(name string, read func() (sent, received int64)) {
		h.metrics.Gauge(name+"_sent_bytes", func() any { sent, _ := read(); return sent })
		h.metrics.Gauge(name+"_received_bytes", func() any { _, received := read(); return received })
	}
	gaugePair("log", contracts.Traffic)
	gaugePair("host_list", h.hostList.Traffic)
	peers := func(t *peerrpc.Traffic) func() (int64, int64) {
		return func() (int64, int64) { return t.SentBytes.Load(), t.ReceivedBytes.Load() }
	}
	gaugePair("peers_opened", peers(h.dispatch.peers.Traffic()))
	gaugePair("peers_accepted", peers(h.dispatch.server.Traffic()))
	gaugePair("gossip", func() (int64, int64) {
		if !h.hasJoined() {
			return 0, 0
		}
		s := h.member.node.Stats()
		return s.SentBytes.Load(), s.ReceivedBytes.Load()
	})
}
