package ratelimits

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// TestColdTimes guards against a cold time that a late entry extends beyond what the endpoint itself has stated, one that is missed because
// the endpoint was cold before, and a response from before the start that ends it.
func TestColdTimes(t *testing.T) {
	is := is.New(t)
	id := endpoints.ID{Address: "10.0.0.1:80", Incarnation: "i-1@5"}
	table := NewTable()
	coldAt := func(seconds float64) bool { _, cold := table.Cold(id, at(seconds)); return cold }
	entry := func(until, now float64) bool {
		return table.RecordCold(id, Cold{PerSecond: 5, Until: at(until), KnownAt: at(now)}, at(now))
	}
	answer := func(until, sent, now float64) bool {
		return table.RecordColdAnswer(id, Cold{PerSecond: 5, Until: at(until), KnownAt: at(now), Exact: true}, at(sent), at(now))
	}
	is.True(!coldAt(0))
	is.True(entry(3.9, 1)) // written at 0, for 3 s
	is.True(coldAt(3.8))
	is.True(!answer(0, 0.5, 2)) // was sent before the start was known
	is.True(coldAt(3.8))
	is.True(!answer(3, 1.5, 2))
	is.True(!coldAt(3.1))
	is.True(!entry(3.8, 2.3)) // renews the entry
	is.True(!entry(3.8, 3.5)) // as late as the last one
	is.True(!coldAt(3.6))
	is.True(entry(6.5, 3.5)) // cold again
	is.True(coldAt(6.4))
	is.True(entry(8.5, 5)) // and again, before the end
	is.Equal(table.Effective(id, at(8.4)), 5.0)
	is.Equal(table.Effective(id, at(8.6)), Unlimited)
	is.True(!entry(8.5, 9)) // over
	table.Evict(func(endpoints.ID) bool { return false }, at(10))
	is.Equal(table.coldSize.Load(), int64(0))
}

// TestColdRateIsNeverExceeded guards against a host that holds an endpoint for warm, or for faster, although one of the statements that it got says
// otherwise and none of the endpoint's own responses since does. It records statements in random order.
func TestColdRateIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := endpoints.ID{Address: "10.0.0.1:80", Incarnation: "i-1@5"}
		table, now := NewTable(), 0.0
		lowest, until := Unlimited, 0.0
		for range rapid.IntRange(1, 20).Draw(t, "statements") {
			now += rapid.Float64Range(0, 1).Draw(t, "later")
			if now >= until {
				lowest = Unlimited
			}
			c := Cold{PerSecond: rapid.SampledFrom([]float64{2, 5, 9}).Draw(t, "rate"), Until: at(now + rapid.Float64Range(0.1, 4).Draw(t, "left")), KnownAt: at(now)}
			table.RecordCold(id, c, at(now))
			lowest, until = min(lowest, c.PerSecond), max(until, c.Until.Sub(begin).Seconds())
			if got := table.Effective(id, at(now)); got != lowest {
				t.Fatalf("at %.2f: %v a second, not %v", now, got, lowest)
			}
			if _, cold := table.Cold(id, at(until-0.01)); !cold {
				t.Fatalf("at %.2f: warm before %.2f", now, until)
			}
		}
	})
}
