package gateway

import (
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/ratelimits"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// recordRateLimit records the limit that an endpoint names in a response, or that it names none.
func (g *Gateway) recordRateLimit(e endpoints.Endpoint, r *executor.Response) {
	if r.MalformedRateLimit != "" {
		g.metrics.Add("endpoint_limits_unreadable_total", 1)
		g.log.Warn("endpoint_limit_unreadable", "name", registry.EndpointName(e.ID), "service", e.Service,
			"value", r.MalformedRateLimit[:min(maxLoggedHeader, len(r.MalformedRateLimit))])
		return
	}
	s := ratelimits.Statement{PerSecond: ratelimits.Unlimited, AskedAt: r.SentAt, AnsweredAt: r.ReadAt}
	if r.HasRateLimit {
		s.PerSecond = r.RateLimit
	}
	if _, change := g.rateLimits.Record(e.ID, s); change != nil {
		g.logRateLimit(e.ID, change, s, sourceResponse)
	}
}

// logRateLimit logs a change of an endpoint's limit. source is sourceResponse or the name of the host that sent the statement.
func (g *Gateway) logRateLimit(id endpoints.ID, c *ratelimits.Change, s ratelimits.Statement, source string) {
	g.metrics.Add("endpoint_limit_changes_total", 1)
	g.log.Info("endpoint_limit", "name", registry.EndpointName(id), "address", id.Address, "per_second", c.New, "was", c.Old, "source", source,
		"age_ms", ms(time.Since(s.AnsweredAt)))
}
