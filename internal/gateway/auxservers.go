package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// auxServer describes an HTTP server other than the one for callers' requests.
type auxServer struct {
	address      string
	handler      http.Handler
	writeTimeout time.Duration
}

// auxIdleTimeout is the idle timeout of these servers. It keeps open the connections of callers that look up addresses repeatedly.
const auxIdleTimeout = 30 * time.Second

// auxServers returns the servers for the state that starting hosts fetch, the readiness check, address lookup and, if its address is
// configured, metrics.
func (g *Gateway) auxServers() []auxServer {
	lookup := func() ([]string, time.Duration) {
		return g.peers.Addresses(time.Now(), maxDirectoryAddresses), time.Duration(g.settings.AddressLifetimeS * float64(time.Second))
	}
	state := http.NewServeMux()
	state.HandleFunc("GET "+statePath, g.serveState)
	servers := []auxServer{
		{g.settings.StateAddress, state, maxTransferTime},
		{g.settings.ReadyAddress, g.adapter.Ready(g.ready), auxServerTimeout},
		{g.settings.DirectoryAddress, g.adapter.Directory(lookup), auxServerTimeout},
	}
	if g.settings.MetricsAddress != "" {
		servers = append(servers, auxServer{g.settings.MetricsAddress, g.operatorHandler(), auxServerTimeout})
	}
	return servers
}

// auxStopFraction is the fraction of the grace time after which responses of these servers are cut when the host stops.
const auxStopFraction = 0.92

// stopAuxServers stops the servers. Responses in progress are completed unless ctx ends first.
func stopAuxServers(ctx context.Context, servers []*http.Server) {
	var stopping sync.WaitGroup
	for _, s := range servers {
		stopping.Go(func() {
			if s.Shutdown(ctx) != nil {
				s.Close()
			}
		})
	}
	stopping.Wait()
}

// registerGauges registers the metrics that are computed when they are read.
func (g *Gateway) registerGauges() {
	g.metrics.Gauge("configuration_version", func() any {
		if t := g.routes.Load(); t != nil {
			return t.Version
		}
		return 0
	})
	g.metrics.Gauge("store_age_ms", func() any { age, _ := g.follower.Age(time.Now()); return age.Milliseconds() })
	g.metrics.Gauge("endpoints", func() any { return g.endpoints.Snapshot().Total })
	g.metrics.Gauge("endpoints_limited", func() any { return len(g.rateLimits.Limited()) })
	g.metrics.Gauge("endpoints_cold", func() any { return g.rateLimits.CountCold(time.Now()) })
	g.metrics.Gauge("zones_evacuated", func() any { return g.evacuations.count.Load() })
	g.metrics.Gauge("hosts_known", func() any { return g.peers.HostCount() })
	g.metrics.Gauge("hosts_live", func() any { return len(g.peers.LiveZonePeers(time.Now())) })
	g.metrics.Gauge("caller_connections", func() any { return g.callers.Connections() })
	g.metrics.Gauge("active_requests", func() any { return g.callers.Unanswered() })
	g.metrics.Gauge("waiting_requests", func() any { return g.waitingRequests() })
	g.metrics.Gauge("buffered_answer_bytes", func() any { return g.forwarder.BufferedBytes() })
	g.metrics.Gauge("log_lines_left_out_total", func() any { return g.log.Dropped() })
}
