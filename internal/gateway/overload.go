package gateway

import (
	"math"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/forward"
	"github.com/arbutusspan/arbutusspan/internal/coordination/overload"
)

// ordersByValue reports whether requests that find no free slot are ordered and refused by what their callers lose.
func (g *Gateway) ordersByValue() bool {
	switch g.settings.OverloadControl {
	case overloadAlways:
		return true
	case overloadNever:
		return false
	}
	t := g.routes.Load()
	return t != nil && t.Customers != nil
}

// reportOverload counts a request that waited, or was refused for the load of its service, and returns the fields of its log line that name the
// estimate which decided. There are none for requests that did neither, and none but the time waited before for callers that have returned.
func (g *Gateway) reportOverload(res *forward.Result) (fields []any) {
	if res.WaitedBefore > 0 {
		g.metrics.Add("returned_requests_total", 1)
		fields = append(fields, "waited_before_ms", ms(res.WaitedBefore))
	}
	e := res.Overload
	if e == nil {
		return fields
	}
	g.metrics.Observe("queue_wait_expected_duration", e.Wait)
	reason := "waits"
	switch {
	case e.Reason != overload.NoReason:
		reason = string(e.Reason)
		g.metrics.Add("overload_refused_"+reason+"_total", 1)
	case e.Late:
		reason = "waits_late"
		g.metrics.Add("overload_late_waits_total", 1)
	}
	return append(fields, "overload", reason, "capacity", tenths(e.Capacity), "left_per_s", tenths(e.Left), "share_per_s", tenths(e.Share), "ahead", e.Position,
		"ahead_ms", ms(e.Ahead), "wait_ms", ms(e.Wait), "time_left_ms", ms(e.TimeLeft))
}

// tenths rounds a number to one decimal, for the log.
func tenths(x float64) float64 {
	const perUnit = 10
	return math.Round(x*perUnit) / perUnit
}

// waitingRequests returns the number of requests that wait for an endpoint on this host.
func (g *Gateway) waitingRequests() (n int) {
	for _, s := range g.forwarder.QueueStates(time.Now()) {
		n += s.Waiting
	}
	return n
}
