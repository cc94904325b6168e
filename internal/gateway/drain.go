package gateway

import (
	"context"
	"time"
)

const (
	// minReadFraction is the fraction of the grace time for which a draining host at least reads requests: callers keep addresses for seconds.
	minReadFraction = 0.5
	// cuttableFraction is the fraction of the grace time for which a draining host accepts requests that may not be answered until the end of
	// the drain. It is below minReadFraction because the stop signal and the requests reach a busy host late.
	cuttableFraction = 0.48
	// drainFraction is the fraction of the grace time that draining may take. The rest is for responses to the requests that are cut and for
	// ending the process, which is killed when the grace time is over.
	drainFraction = 0.86
	// readEndCheckInterval is the interval at which a drain checks whether a new configuration has changed the timeouts of the routes.
	readEndCheckInterval = 50 * time.Millisecond
)

// drainTimes are the times of a drain.
type drainTimes struct {
	cuttable time.Time // from then on, no request is accepted that may not be answered until end
	end      time.Time // the requests that are still unanswered are cut
}

// drain announces that this host is leaving and answers the requests that arrive meanwhile. From its start, responses close their
// connections. Connections without requests stay open until the last requests are read: a caller that uses one again gets its response
// instead of a closed connection.
func (g *Gateway) drain() {
	start := time.Now()
	end := start.Add(time.Duration(float64(g.settings.grace()) * drainFraction))
	g.drainTimes.Store(&drainTimes{cuttable: start.Add(time.Duration(float64(g.settings.grace()) * cuttableFraction)), end: end})
	g.draining.Store(true)
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

// drainEnded reports whether a drain has come to the time at which it cuts the requests that are still unanswered. It does not do so at one
// moment: without this check, a request that waits for a slot is sent in place of another one that is cut before it.
func (g *Gateway) drainEnded() bool {
	drain := g.drainTimes.Load()
	return drain != nil && !time.Now().Before(drain.end)
}

// mayBeCut reports whether a request that was read at the given time must be refused because this host could cut it: nobody can tell whether an
// endpoint that works on it answers in time.
func (g *Gateway) mayBeCut(readAt, deadline time.Time) bool {
	drain := g.drainTimes.Load()
	return drain != nil && readAt.After(drain.cuttable) && deadline.After(drain.end)
}
