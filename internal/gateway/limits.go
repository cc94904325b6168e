package gateway

import (
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

const (
	// idleGrace is how much longer than the idle timeout a connection stays open. A caller counts from the arrival of a response until it sends the next
	// request, and does not see the time that both take on links that are full: with the timeout alone, a request that is sent in time would cross the
	// close, and nobody would answer it.
	idleGrace = 500 * time.Millisecond
	// idleChangeTime is how long after a change callers may still go by the longer idle timeout of the configuration before.
	idleChangeTime = 3 * time.Second
)

// earlierIdle is the idle timeout of an earlier configuration, which was longer.
type earlierIdle struct {
	timeout time.Duration
	until   time.Time // callers may go by it until then
}

// limits returns the limits on callers' requests in the configuration in force, or the defaults if there is none.
func (g *Gateway) limits() routing.Limits {
	if t := g.routes.Load(); t != nil {
		return t.Limits
	}
	return routing.DefaultLimits
}

// callerLimits returns the limits on the connections of callers.
func (g *Gateway) callerLimits() routing.Limits {
	l := g.limits()
	if e := g.earlierIdle.Load(); e != nil && time.Now().Before(e.until) {
		l.IdleTimeout = max(l.IdleTimeout, e.timeout)
	}
	l.IdleTimeout += idleGrace
	return l
}

// keepLongerIdle is called before a configuration replaces another one. Calls do not overlap.
func (g *Gateway) keepLongerIdle(old, t *routing.Table, now time.Time) {
	if old == nil {
		return
	}
	longest := old.Limits.IdleTimeout
	if e := g.earlierIdle.Load(); e != nil && now.Before(e.until) {
		longest = max(longest, e.timeout)
	}
	if longest > t.Limits.IdleTimeout {
		g.earlierIdle.Store(&earlierIdle{longest, now.Add(idleChangeTime)})
	}
}
