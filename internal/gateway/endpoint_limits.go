package gateway

import (
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/coordination/ratelimit"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/ratelimits"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
	"github.com/arbutusspan/arbutusspan/internal/transport/peerlink"
)

// maxLimit is the limit in requests per second from which an endpoint is not held back: all hosts together do not send one endpoint as many.
const maxLimit = 10_000

// recordRateLimit records the limit that an endpoint names in a response, or that it names none.
func (g *Gateway) recordRateLimit(e endpoints.Endpoint, r *executor.Response) {
	if r.MalformedRateLimit != "" {
		g.metrics.Add("endpoint_limits_unreadable_total", 1)
		g.log.Warn("endpoint_limit_unreadable", "name", registry.EndpointName(e.ID), "service", e.Service,
			"value", r.MalformedRateLimit[:min(maxLoggedHeader, len(r.MalformedRateLimit))])
		return
	}
	s := ratelimits.Statement{PerSecond: ratelimits.Unlimited, SentAt: r.SentAt, AnsweredAt: r.ReadAt}
	if r.HasRateLimit && r.RateLimit < maxLimit {
		s.PerSecond = r.RateLimit
	}
	g.rateLimiter.RecordResponse(e.ID, s)
}

// logRateLimit logs a change of this host's belief about an endpoint's limit.
func (g *Gateway) logRateLimit(id endpoints.ID, c ratelimits.Change, s ratelimits.Statement, source string) {
	g.metrics.Add("endpoint_limit_changes_total", 1)
	g.log.Info("endpoint_limit", "name", registry.EndpointName(id), "address", id.Address, "per_second", c.New, "was", c.Old, "source", source,
		"age_ms", ms(time.Since(s.AnsweredAt)))
}

// handleLimits handles what a message of another host says about limits and permits.
func (g *Gateway) handleLimits(m *peerlink.Message, now time.Time) {
	from := ratelimit.Sender{Name: m.From.Name, Address: m.From.PeerAddress, OwnZone: m.From.Zone == g.settings.Zone}
	g.rateLimiter.HandleStatements(m.Limits[:min(peerlink.MaxLimits, len(m.Limits))], from, now)
	if m.PermitRequest != nil {
		g.metrics.Add("permit_requests_received_total", 1)
		g.rateLimiter.HandleRequest(*m.PermitRequest, from, now)
	}
	if m.Grant != nil {
		g.metrics.Add("permits_received_total", int64(m.Grant.Permits))
		g.rateLimiter.HandleGrant(*m.Grant, from, now)
	}
}

// limitCoordinator returns the host that grants permits for an endpoint, see peers.Table.Coordinator.
func (g *Gateway) limitCoordinator(zone string, id endpoints.ID, failures int, now time.Time) (h peers.Host, self, ok bool) {
	return g.peers.Coordinator(zone, id.String(), failures, now)
}

func (g *Gateway) sendPermitRequest(address string, r ratelimit.Request) {
	g.metrics.Add("permit_requests_sent_total", 1)
	g.send(peerlink.Message{PermitRequest: &r}, []string{address})
}

func (g *Gateway) sendGrant(address string, grant ratelimit.Grant) {
	g.send(peerlink.Message{Grant: &grant}, []string{address})
}

// coordinateLimits checks and announces the limited endpoints that this host coordinates.
func (g *Gateway) coordinateLimits(now time.Time) {
	g.rateLimiter.Coordinate(func(id endpoints.ID) (endpoints.Endpoint, bool) {
		e, ok := g.endpoints.Endpoint(id)
		return e.Endpoint, ok
	}, func(e endpoints.Endpoint) {
		full, ok := g.endpoints.Endpoint(e.ID)
		if path := g.healthPath(e.Service); ok && path != "" {
			g.forwarder.CheckEndpoint(full, path)
		}
	}, now)
}

// healthPath returns the path of the health check of a service's endpoints. It is empty if there is none, or no configuration in force.
func (g *Gateway) healthPath(service string) string {
	if t := g.routes.Load(); t != nil {
		if s := t.Service(service); s != nil {
			return s.HealthPath
		}
	}
	return ""
}
