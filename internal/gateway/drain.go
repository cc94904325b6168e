package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// minReadTime is how long a draining host reads all requests, but not longer than minReadFraction of the grace time: callers keep addresses
	// for seconds. Requests with a long timeout that are read then may be cut.
	minReadTime     = 2800 * time.Millisecond
	minReadFraction = 0.47
	// drainFraction is the fraction of the grace time that draining may take. The rest is for responses to the requests that are cut and for
	// ending the process, which is killed when the grace time is over.
	drainFraction = 0.86
	// readEndCheckInterval is the interval at which a drain checks whether connections are left and whether a new configuration has changed the
	// timeouts of the routes.
	readEndCheckInterval = 50 * time.Millisecond
)

// drainPlan holds the times of a drain.
type drainPlan struct {
	start   time.Time
	minRead time.Time // until then, all requests are accepted, and later only those that cannot be cut
	end     time.Time // the requests that are still unanswered are cut
}

func planDrain(start time.Time, grace time.Duration) *drainPlan {
	fraction := func(f float64) time.Duration { return time.Duration(float64(grace) * f) }
	return &drainPlan{start: start, minRead: start.Add(min(minReadTime, fraction(minReadFraction))), end: start.Add(fraction(drainFraction))}
}

// readUntil returns until when requests are read: at least until minRead, and longer as long as callers have connections and each of their
// requests can still take the longest timeout of the routes.
func (p *drainPlan) readUntil(longestTimeout time.Duration, connections int) time.Time {
	if last := p.end.Add(-longestTimeout); connections > 0 && last.After(p.minRead) {
		return last
	}
	return p.minRead
}

// drain announces that this host is leaving and answers the requests that arrive meanwhile. From its start, responses close their
// connections. Connections without requests stay open until the last requests are read: a caller that uses one again gets its response
// instead of a closed connection.
func (g *Gateway) drain() {
	plan := planDrain(time.Now(), g.settings.grace())
	g.drainPlan.Store(plan)
	g.draining.Store(true)
	g.updateStatus()
	g.sendHeartbeat()
	g.callers.Drain()
	g.hops.Drain()
	g.log.Info("draining", "active", g.callers.Unanswered(), "connections", g.callers.Connections(), "grace_ms", ms(g.settings.grace()))
	g.awaitReadEnd(plan, g.callers.Connections)
	g.log.Info("draining_last", "active", g.callers.Unanswered(), "connections", g.callers.Connections(), "left_ms", ms(time.Until(plan.end)))
	ctx, cancel := context.WithDeadline(context.Background(), plan.end)
	defer cancel()
	var hopsCut int64
	var closing sync.WaitGroup
	closing.Go(func() { hopsCut = g.hops.Close(ctx) })
	cut := g.callers.Close(ctx)
	closing.Wait()
	g.log.Info("drained", "took_ms", ms(time.Since(plan.start)), "cut", cut, "cut_for_hosts", hopsCut)
}

// awaitReadEnd returns when a drain reads no more requests. A configuration that arrives meanwhile may change that time.
func (g *Gateway) awaitReadEnd(plan *drainPlan, connections func() int) {
	for {
		left := time.Until(plan.readUntil(g.longestTimeout(), connections()))
		if left <= 0 {
			return
		}
		sleep(context.Background(), min(left, readEndCheckInterval))
	}
}

// longestTimeout returns the longest timeout of the routes in force.
func (g *Gateway) longestTimeout() time.Duration {
	if t := g.routes.Load(); t != nil {
		return t.MaxTimeout(defaultRequestTimeout)
	}
	return defaultRequestTimeout
}

// drainEnded reports whether a drain has come to the time at which it cuts the requests that are still unanswered. It does not do so at one
// moment: without this check, a request that waits for a slot is sent in place of another one that is cut before it.
func (g *Gateway) drainEnded() bool {
	plan := g.drainPlan.Load()
	return plan != nil && !time.Now().Before(plan.end)
}

// mayBeCut reports whether a request that nothing was sent of must be refused now because this host could cut it: nobody can tell whether an
// endpoint that works on it answers in time. What counts is the time at which it would be sent, since its body may have arrived slowly, and it may have
// waited for an earlier request of its connection or for an endpoint.
func (g *Gateway) mayBeCut(deadline time.Time) bool {
	plan := g.drainPlan.Load()
	return plan != nil && time.Now().After(plan.minRead) && deadline.After(plan.end)
}
