package gateway

import (
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/lateness"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/internal/transport/ingress"
)

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

// unreadField returns the field of a log line that says for how long a request had lain unread, if that is long enough to change what is decided.
func unreadField(r *ingress.Request) []any {
	if r.Unread <= lateness.Bound {
		return nil
	}
	return []any{"unread_ms", ms(r.Unread)}
}

// expiredRetryAfter is the delay stated to callers that still wait when the timeout of their route has passed: a host that reads requests so late needs time.
const expiredRetryAfter = 250 * time.Millisecond

// refuseExpired refuses a request whose time had passed when this host began to handle it, without a permit, a probe or a wait.
func (g *Gateway) refuseExpired(r *ingress.Request, id string, route *routing.Route, table *routing.Table) *ingress.Response {
	const detail = "the time of the request had passed when this host read it"
	g.metrics.Add("requests_expired_total", 1)
	g.log.InfoOf("expired", "refused", append([]any{"id", id, "reason", refusals.DeadlineUnreachable, "path", r.Path, "version", table.Version, "detail", detail},
		unreadField(r)...)...)
	return g.refuse(r, id, &refusals.Refusal{Reason: refusals.DeadlineUnreachable, Ran: refusals.RanNo, Operation: route.Name, Revision: table.Version,
		RetryAfter: expiredRetryAfter, Detail: detail, Remedy: "use another address, or come back after the stated delay"})
}

// recordRead records for how long this host had no processor to read a request, which its own timers need not show.
func (g *Gateway) recordRead(r *ingress.Request) {
	if r.ReadLate > lateness.Bound {
		g.metrics.Observe("read_late_duration", r.ReadLate)
		g.lateness.Observe(r.HeaderReadAt.Add(-r.ReadLate), r.HeaderReadAt)
	}
}

// answerDelay returns how long this host takes at present to see what has arrived, as far as the request shows it.
func answerDelay(r *ingress.Request) time.Duration {
	if r.ReadLate <= lateness.Bound {
		return 0
	}
	return r.ReadLate
}
