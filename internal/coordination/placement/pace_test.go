package placement

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// TestPaceReturnsToMean guards against an endpoint without load reports that is avoided for good after a slow answer, since it gets no requests
// that could show that it is fast again, and against one that keeps the preference of a single fast answer.
func TestPaceReturnsToMean(t *testing.T) {
	is := is.New(t)
	stats := NewEndpointStats(DefaultConfig())
	e := func(name string) registry.Endpoint {
		return registry.Endpoint{Endpoint: endpoints.Endpoint{ID: endpoints.ID{Address: name}, Service: "s", Slots: 2}}
	}
	now := time.Now()
	is.Equal(stats.View(e("unknown"), now).Pace, assumedSlowness)
	for range 200 {
		stats.RecordPace(e("usual").Endpoint, 2, now)
	}
	stats.RecordPace(e("slow").Endpoint, 6, now)
	stats.RecordPace(e("fast").Endpoint, 1, now)
	at := func(name string, after time.Duration) float64 { return stats.View(e(name), now.Add(after)).Pace }
	is.True(at("slow", 0) > 3 && at("fast", 0) < 1.8)
	is.True(math.Abs(at("usual", 0)-2) < 0.2)
	for _, name := range []string{"slow", "fast", "usual", "unknown"} {
		is.True(math.Abs(at(name, 5*time.Second)-2) < 0.2)
	}
	stats.RecordLoad(e("slow").Endpoint, Load{Slots: 2, Slowness: 1}, now)
	is.Equal(at("slow", 0), 0.0) // its load is known from now on
}

// TestPaceIsBounded guards against durations that make the expected duration of an endpoint negative, infinite or too large to recover from.
func TestPaceIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		stats := NewEndpointStats(cfg)
		e := registry.Endpoint{Endpoint: endpoints.Endpoint{ID: endpoints.ID{Address: "a"}, Service: "s", Slots: rapid.IntRange(0, 3).Draw(t, "slots")}}
		now := time.Now()
		for _, multiple := range rapid.SliceOf(rapid.Float64Range(0, math.MaxFloat64)).Draw(t, "multiples") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e6, 1e12).Draw(t, "ns")))
			stats.RecordPace(e.Endpoint, multiple, now)
			v := stats.View(e, now)
			if expected := cfg.ExpectedDuration(&v, time.Second); !(v.Pace >= minPace && v.Pace <= 2*maxPace && expected > 0 && expected < time.Hour) {
				t.Fatalf("pace %v, expected %v", v.Pace, expected)
			}
		}
	})
}
