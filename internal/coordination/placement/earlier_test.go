package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// TestStatsOutOfOrder guards against statistics that grow without bound when they are read with a time before the last record, as by a request that took the
// time and then waited for a lock or a processor: the failure rate is a share, and the pace stays within that of the answers.
func TestStatsOutOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stats := NewEndpointStats(DefaultConfig())
		e := registry.Endpoint{Endpoint: endpoints.Endpoint{ID: endpoints.ID{Address: "e"}, Service: "s", Slots: 2}}
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 50).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "passed")) * time.Millisecond)
			at := now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "waited")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "call") {
			case 0:
				stats.ReserveSend(e.ID, at)
				stats.RecordEnd(e.ID, rapid.Bool().Draw(t, "failed"), at)
			case 1:
				stats.RecordPace(e.Endpoint, rapid.Float64Range(minPace, maxPace).Draw(t, "multiple"), at)
			default:
				v := stats.View(e, at)
				if v.FailureRate < 0 || v.FailureRate > 1 || v.Pace < minPace || v.Pace > 2*maxPace {
					t.Fatalf("failure rate %v, pace %v", v.FailureRate, v.Pace)
				}
			}
		}
	})
}
