package host

import (
	"runtime"
	"time"
)

// registerGauges registers metrics whose values are read when an operator requests them.
func (h *Host) registerGauges() {
	gauge := func(name string, read func() any) { h.metrics.Gauge(name, read) }
	gauge("uptime_seconds", func() any { return int64(time.Since(h.started).Seconds()) })
	gauge("requests_in_flight", func() any { return h.drain.inFlight.Load() })
	gauge("config_position_offset", func() any { return h.follower.State().Position })
	gauge("goroutines", func() any { return runtime.NumGoroutine() })
	gauge("members_known", func() any { return len(h.member.node.Current().LiveMembers()) })
	gauge("members_serving", func() any { return len(h.member.node.Current().ServingHosts()) })
	gauge("services_owned", func() any { return len(h.ownedServices()) })
	gauge("endpoints_usable", func() any {
		n := 0
		for _, name := range h.table.Services() {
			n += len(h.table.Snapshot(name).Endpoints)
		}
		return n
	})
}
