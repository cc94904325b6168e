package decay

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
)

// TestMeterOutOfOrder guards against a rate that falls because amounts are added out of order, as by goroutines that wait for a lock after they have taken
// the time: the measured capacity of a busy host would be too low.
func TestMeterOutOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tau = time.Second
		type event struct {
			amount float64
			at     time.Time
		}
		start := time.Unix(1000, 0)
		var m Meter
		var events []event
		now := start
		for range rapid.IntRange(1, 50).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "passed")) * time.Millisecond)
			e := event{rapid.Float64Range(0, 10).Draw(t, "amount"), now.Add(-time.Duration(rapid.IntRange(0, 500).Draw(t, "waited")) * time.Millisecond)}
			events = append(events, e)
			m.Add(e.amount, tau, e.at)
		}
		want := 0.0
		for _, e := range events {
			want += e.amount * math.Exp(-now.Sub(e.at).Seconds()/tau.Seconds())
		}
		if got := m.Value(tau, now); math.Abs(got-want) > 1e-6 {
			t.Fatalf("the meter has %v, the amounts are %v", got, want)
		}
	})
}
