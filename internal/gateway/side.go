package gateway

import (
	"net/http"
	"time"
)

// sideServer is a server beside the callers' one.
type sideServer struct {
	address string
	handler http.Handler
	idle    time.Duration
}

// sideIdle keeps connections of callers who ask for addresses again and again.
const sideIdle = 30 * time.Second

func (g *Gateway) sideServers() []sideServer {
	lookup := func() ([]string, time.Duration) {
		return g.peers.Addresses(time.Now(), maxResolved), time.Duration(g.settings.AddressLifetimeS * float64(time.Second))
	}
	state := http.NewServeMux()
	state.HandleFunc("GET "+statePath, g.serveState)
	servers := []sideServer{
		{g.settings.StateAddress, state, sideIdle},
		{g.settings.ReadyAddress, g.adapter.Ready(g.ready), sideIdle},
		{g.settings.DirectoryAddress, g.adapter.Directory(lookup), sideIdle},
	}
	if g.settings.MetricsAddress != "" {
		servers = append(servers, sideServer{g.settings.MetricsAddress, g.operators(), sideIdle})
	}
	return servers
}

func (g *Gateway) publishGauges() {
	g.metrics.Gauge("configuration_version", func() any {
		if t := g.routes.Load(); t != nil {
			return t.Version
		}
		return 0
	})
	g.metrics.Gauge("store_age_ms", func() any { age, _ := g.follower.Age(time.Now()); return age.Milliseconds() })
	g.metrics.Gauge("endpoints", func() any { return g.endpoints.Snapshot().Total })
	g.metrics.Gauge("hosts_known", func() any { return g.peers.Known() })
	g.metrics.Gauge("hosts_live", func() any { return len(g.peers.Live(time.Now())) })
	g.metrics.Gauge("caller_connections", func() any { return g.callers.Connections() })
	g.metrics.Gauge("active_requests", func() any { return g.callers.Active() })
	g.metrics.Gauge("log_lines_left_out_total", func() any { return g.log.Dropped() })
}
