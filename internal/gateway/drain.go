package gateway

import (
	"context"
	"time"
)

const (
	// minReadFraction is the fraction of the grace time for which a draining host at least reads requests: callers keep addresses for seconds.
	minReadFraction = 0.5
	// drainFraction is the fraction of the grace time that draining may take. The rest is for responses to the requests that are cut and for
	// ending the process, which is killed when the grace time is over.
	drainFraction = 0.86
	// readEndCheckInterval is the interval at which a drain checks whether a new configuration has changed the timeouts of the routes.
	readEndCheckInterval = 50 * time.Millisecond
)

// drain announces that this host is leaving and answers the requests that arrive meanwhile. From its start, responses close their
// connections. Connections without requests stay open until the last requests are read: a caller that uses one again gets its response
// instead of a closed connection.
func (g *Gateway) drain() {
	start := time.Now()
	end := start.Add(time.Duration(float64(g.settings.grace()) * drainFraction))
	g.draining.Store(true)
	g.cutAt.Store(&end)
	g.updateStatus()
	g.sendHeartbeat()
	g.callers.Drain()
	g.log.Info("draining", "active", g.callers.Unanswered(), "connections", g.callers.Connections(), "grace_ms", ms(g.settings.grace()),
		"read_ms", ms(g.readUntil(start, end).Sub(start)))
	g.awaitReadEnd(start, end)
	g.log.Info("draining_last", "active", g.callers.Unanswered(), "connections", g.callers.Connections(), "left_ms", ms(time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	cut := g.callers.Close(ctx)
	g.log.Info("drained", "took_ms", ms(time.Since(start)), "cut", cut)
}

// awaitReadEnd returns when a drain from start to end reads no more requests. A configuration that arrives meanwhile may change that time.
func (g *Gateway) awaitReadEnd(start, end time.Time) {
	for {
		left := time.Until(g.readUntil(start, end))
		if left <= 0 {
			return
		}
		sleep(context.Background(), min(left, readEndCheckInterval))
	}
}

// readUntil returns until when a drain from start to end reads requests: as long as each request has the timeout of its route left, and at
// least for minReadFraction of the grace time.
func (g *Gateway) readUntil(start, end time.Time) time.Time {
	earliest := start.Add(time.Duration(float64(g.settings.grace()) * minReadFraction))
	longest := defaultRequestTimeout
	if t := g.routes.Load(); t != nil {
		longest = t.MaxTimeout(defaultRequestTimeout)
	}
	if last := end.Add(-longest); last.After(earliest) {
		return last
	}
	return earliest
}
