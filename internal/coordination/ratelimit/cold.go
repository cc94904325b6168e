package ratelimit

import (
	"math"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/ratelimits"
)

// Cold says in a message that the sender knows an endpoint as cold: how many requests per second the endpoint takes meanwhile from all hosts
// together, and how much longer.
type Cold struct {
	PerSecond float64 `cbor:"1,keyasint"`
	LeftMS    int64   `cbor:"2,keyasint"`
	// Exact says that the endpoint has stated the time in a response.
	Exact bool `cbor:"3,keyasint,omitempty"`
}

// maxColdMS bounds Cold.LeftMS in milliseconds.
const maxColdMS = 3_600_000

// check returns an error if the figures are those of no endpoint. A nil Cold is valid.
func (c *Cold) check(id endpoints.ID) error {
	if c != nil && (math.IsNaN(c.PerSecond) || c.PerSecond < 0 || c.LeftMS < 0 || c.LeftMS > maxColdMS) {
		return trace.BadParameter("%s is cold for %d ms at %v requests per second: not 0 to %d ms, or no rate", id, c.LeftMS, c.PerSecond, maxColdMS)
	}
	return nil
}

// coldMessage returns what this host knows of an endpoint that is cold now; nil if it is not.
func (l *Limiter) coldMessage(id endpoints.ID, now time.Time) *Cold {
	c, cold := l.cfg.Limits.Cold(id, now)
	if !cold {
		return nil
	}
	left := min(maxColdMS, int64(math.Ceil(c.Until.Sub(now).Seconds()*1000)))
	return &Cold{PerSecond: c.PerSecond, LeftMS: left, Exact: c.Exact}
}

// ColdTolerance bounds the requests that a cold endpoint gets in any second: Over times its rate per second, and Slack.
type ColdTolerance struct {
	Over  float64
	Slack float64 // requests
}

// coldBurst is the number of unused permits that add up for a cold endpoint. With one, a third of them would be lost when requests come at
// random times at twice the rate.
const coldBurst = 2

// permitRate returns the rate of permits per second for a cold endpoint, and how many may add up. Two hosts that take themselves for the coordinator, and
// permits that are used at the end of their lifetime, together stay within the tolerance.
func (t ColdTolerance) permitRate(perSecond float64) (granted float64, burst int) {
	const coordinators = 2
	allowed := t.Over*perSecond + t.Slack // in a second
	window := 1 + permitLifetime.Seconds()
	granted = min(usedShare*perSecond, (allowed/coordinators-coldBurst)/window, allowed/coordinators/(window+burstTime.Seconds()))
	return granted, coldBurst
}

// Sources of the knowledge that an endpoint is cold, besides names of hosts.
const (
	SourceEntry       = "entry"
	SourceHealthCheck = "answer"
)

// RecordColdEntry records that an endpoint is cold according to its entry, until a time and at a rate of requests per second.
func (l *Limiter) RecordColdEntry(id endpoints.ID, perSecond float64, until, now time.Time) {
	l.recordCold(id, ratelimits.Cold{PerSecond: perSecond, Until: until, KnownAt: now}, SourceEntry, now)
}

// RecordColdAnswer records how much longer an endpoint is cold according to its response to a health check of this host that was sent at sentAt.
func (l *Limiter) RecordColdAnswer(id endpoints.ID, perSecond float64, left time.Duration, sentAt, now time.Time) {
	c := ratelimits.Cold{PerSecond: perSecond, Until: now.Add(left), KnownAt: now, Exact: true}
	if isNew := l.cfg.Limits.RecordColdAnswer(id, c, sentAt, now); isNew {
		l.begin(id, c, SourceHealthCheck, now)
	}
}

// recordCold records that an endpoint is cold.
func (l *Limiter) recordCold(id endpoints.ID, c ratelimits.Cold, source string, now time.Time) {
	if isNew := l.cfg.Limits.RecordCold(id, c, now); isNew {
		l.begin(id, c, source, now)
	}
}

// begin makes void the permits that were granted at a higher rate than an endpoint takes now.
func (l *Limiter) begin(id endpoints.ID, c ratelimits.Cold, source string, now time.Time) {
	l.voidAbove(id, l.cfg.Limits.Effective(id, now))
	l.cfg.OnCold(id, c, source)
}

// recordColdMessage records what another host knows of an endpoint that is cold; c may be nil. It is no statement of the endpoint: it holds only for the
// time that the host has named.
func (l *Limiter) recordColdMessage(id endpoints.ID, c *Cold, from Sender, now time.Time) {
	if c != nil {
		l.recordCold(id, ratelimits.Cold{PerSecond: c.PerSecond, Until: now.Add(time.Duration(c.LeftMS) * time.Millisecond), KnownAt: now,
			Exact: c.Exact}, from.Name, now)
	}
}
