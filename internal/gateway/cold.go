package gateway

import (
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/ratelimits"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// coldPerSecond returns the number of requests per second that an endpoint of a service takes from all hosts together while it is cold. It is 0 if
// it takes as many as later.
func (g *Gateway) coldPerSecond(service string) float64 {
	if t := g.routes.Load(); t != nil {
		if s := t.Service(service); s != nil {
			return s.ColdPerSecond
		}
	}
	return 0
}

// recordColdEntry records that the newest entry of an endpoint states that the endpoint is cold.
func (g *Gateway) recordColdEntry(name string, now time.Time) {
	if e, ok := g.endpoints.Named(name); ok && e.WarmUpEnd.After(now) {
		if perSecond := g.coldPerSecond(e.Service); perSecond > 0 {
			g.rateLimiter.RecordColdEntry(e.ID, perSecond, e.WarmUpEnd, now)
		}
	}
}

// recordContact records that an endpoint whose service has a rate for cold endpoints has responded, and how much longer it is cold if the response is one
// to a health check.
func (g *Gateway) recordContact(e endpoints.Endpoint, r *executor.Response) {
	perSecond := g.coldPerSecond(e.Service)
	if perSecond == 0 {
		return
	}
	g.endpointStats.RecordContact(e.ID, r.ReadAt)
	if r.HasColdFor {
		g.rateLimiter.RecordColdAnswer(e.ID, perSecond, r.ColdFor, r.SentAt, r.ReadAt)
	}
}

// logCold counts and logs that this host has learned that an endpoint is cold.
func (g *Gateway) logCold(id endpoints.ID, c ratelimits.Cold, source string) {
	g.metrics.Add("endpoints_cold_total", 1)
	g.log.Info("endpoint_cold", "name", registry.EndpointName(id), "address", id.Address, "for_ms", ms(time.Until(c.Until)), "per_second", c.PerSecond,
		"exact", c.Exact, "source", source)
}

// recordContactLost records that an endpoint has closed all idle connections of this host, so that it may have started again.
func (g *Gateway) recordContactLost(id endpoints.ID) {
	g.endpointStats.RecordContactLost(id, time.Now())
}

// unchecked reports whether an endpoint needs a health check before its next request.
func (g *Gateway) unchecked(id endpoints.ID) bool { return g.endpointStats.Unchecked(id, time.Now()) }

// coldDump sets what operators see of an endpoint that is cold.
func (g *Gateway) coldDump(d *EndpointDump, id endpoints.ID, now time.Time) {
	if c, cold := g.rateLimits.Cold(id, now); cold {
		d.ColdMS, d.ColdPerSecond = ms(c.Until.Sub(now)), c.PerSecond
	}
}
