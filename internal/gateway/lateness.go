package gateway

import "time"

// minReportedLateness is the part of sweepInterval for which this host must have been late, so that a line of the log says so.
const minReportedLateness = 0.2

// reportLateness logs for how long this host had no processor for its timers in the last sweepInterval, if that was long.
func (g *Gateway) reportLateness(now time.Time) {
	if late := g.lateness.Between(now.Add(-sweepInterval), now); late.Seconds() >= minReportedLateness*sweepInterval.Seconds() {
		g.log.Warn("host_late", "late_ms", ms(late), "of_ms", ms(sweepInterval), "active_requests", g.callers.Unanswered())
	}
}

// countOwnDelay counts a timeout that says nothing about an endpoint or another host, because this host got no processor to see the response.
func (g *Gateway) countOwnDelay() { g.metrics.Add("timeouts_own_delay_total", 1) }
