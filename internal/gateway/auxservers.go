package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/transport/connlimit"
)

// auxServer describes an HTTP server other than the one for callers' requests.
type auxServer struct {
	address      string
	handler      http.Handler
	writeTimeout time.Duration
	connections  int // the most that may be open
}

const (
	// auxHeaderBytes is the size of the largest header that these servers read; net/http adds 4 KiB.
	auxHeaderBytes = 12 << 10
	// directoryPerMB and readyPerMB are the connections to the directory and the readiness check for each MiB of the process's memory. A connection takes
	// up to 0.3 MB while it sends a header of very many fields.
	directoryPerMB = 0.25
	readyPerMB     = 0.125
	// minAuxConnections is the least number of connections to each of the two.
	minAuxConnections = 16
	// maxStateConnections bounds the connections of hosts that fetch the state, and maxMetricsConnections those of operators.
	maxStateConnections   = 128
	maxMetricsConnections = 16
)

// newAuxServer returns the server and the listener that it serves.
func (g *Gateway) newAuxServer(aux auxServer, l net.Listener) (*http.Server, net.Listener) {
	server := &http.Server{Handler: aux.handler, ReadTimeout: auxServerTimeout, WriteTimeout: aux.writeTimeout, IdleTimeout: auxIdleTimeout,
		MaxHeaderBytes: auxHeaderBytes}
	limiter := connlimit.New(aux.connections, func(caller net.Addr) {
		g.metrics.Add("aux_connections_closed_total", 1)
		g.log.Info("aux_connection_closed", "address", aux.address, "caller", caller.String(), "most", aux.connections)
	})
	limiter.Apply(server)
	return server, limiter.Listener(l)
}

// auxIdleTimeout is the idle timeout of these servers. It keeps open the connections of callers that look up addresses repeatedly.
const auxIdleTimeout = 30 * time.Second

// auxServers returns the servers for the state that starting hosts fetch, the readiness check, address lookup and, if its address is
// configured, metrics.
func (g *Gateway) auxServers() []auxServer {
	lookup := func() ([]string, time.Duration) {
		return g.peers.Addresses(time.Now(), maxDirectoryAddresses), time.Duration(g.settings.AddressLifetimeS * float64(time.Second))
	}
	connections := func(perMB float64) int { return max(minAuxConnections, int(g.settings.MemoryMB*perMB)) }
	state := http.NewServeMux()
	state.HandleFunc("GET "+statePath, g.serveState)
	servers := []auxServer{
		{g.settings.StateAddress, state, maxTransferTime, maxStateConnections},
		{g.settings.ReadyAddress, g.adapter.Ready(g.ready), auxServerTimeout, connections(readyPerMB)},
		{g.settings.DirectoryAddress, g.adapter.Directory(lookup), auxServerTimeout, connections(directoryPerMB)},
	}
	if g.settings.MetricsAddress != "" {
		servers = append(servers, auxServer{g.settings.MetricsAddress, g.operatorHandler(), auxServerTimeout, maxMetricsConnections})
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
	g.metrics.Gauge("store_age_ms", func() any {
		age, ok := g.follower.Age(time.Now())
		if !ok {
			return -1
		}
		return age.Milliseconds()
	})
	g.metrics.Gauge("endpoints", func() any { return g.endpoints.Snapshot().Total })
	g.metrics.Gauge("endpoints_limited", func() any { return len(g.rateLimits.Limited()) })
	g.metrics.Gauge("endpoints_cold", func() any { return g.rateLimits.CountCold(time.Now()) })
	g.metrics.Gauge("zones_evacuated", func() any { return g.evacuations.count.Load() })
	if g.quota != nil {
		g.metrics.Gauge("quotas_coordinated", func() any { return g.quota.Coordinated() })
	}
	g.metrics.Gauge("hosts_known", func() any { return g.peers.HostCount() })
	g.metrics.Gauge("hosts_live", func() any { return len(g.peers.LiveZonePeers(time.Now())) })
	g.metrics.Gauge("caller_connections", func() any { return g.callers.Connections() })
	g.metrics.Gauge("active_requests", func() any { return g.callers.Unanswered() })
	g.metrics.Gauge("waiting_requests", func() any { return g.waitingRequests() })
	g.metrics.Gauge("buffered_answer_bytes", func() any { return g.forwarder.BufferedBytes() })
	g.metrics.Gauge("store_records_unused", func() any { return g.follower.Unused().Unconfirmed })
	g.metrics.Gauge("store_keys_unused", func() any { return g.follower.Unused().Keys })
	g.metrics.Gauge("store_unused_bytes", func() any { return g.follower.Unused().Bytes })
	g.metrics.Gauge("encoded_states_bytes", func() any { return g.encodedStates.size() })
	g.registerMemoryGauges()
	g.metrics.Gauge("host_late_ms_total", func() any { return g.lateness.Total().Milliseconds() })
	g.metrics.Gauge("log_lines_left_out_total", func() any { return g.log.Dropped() })
}
