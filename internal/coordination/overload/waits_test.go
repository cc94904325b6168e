package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReturningCallersHaveWaited guards against returning callers that pass for new ones: of callers that state 4 s at first, one that states 3.2 s
// has waited 0.8 s.
func TestReturningCallersHaveWaited(t *testing.T) {
	is := is.New(t)
	var w Waits
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		is.Equal(w.Estimate("grid", 3997*time.Millisecond, now), time.Duration(0))
		is.Equal(w.Estimate("grid", 4*time.Second, now), time.Duration(0))
		is.Equal(w.Estimate("grid", 3200*time.Millisecond, now), 800*time.Millisecond)
		is.Equal(w.Estimate("hint", 3200*time.Millisecond, now), time.Duration(0)) // another route
	}
	now = now.Add(statedWindow)
	is.Equal(w.Estimate("grid", 3*time.Second, now), time.Second) // the last window still counts
	now = now.Add(2*statedWindow + time.Second)
	is.Equal(w.Estimate("grid", 3*time.Second, now), time.Duration(0)) // all that was stated is old
}

// TestDifferentDeadlinesAreNoWaits guards against first attempts that pass for returning ones because callers state different times: one caller in
// twenty states twice the time of the others, or all state random times.
func TestDifferentDeadlinesAreNoWaits(t *testing.T) {
	var w Waits
	wrong, now := 0, start
	for n := range 400 {
		now = now.Add(10 * time.Millisecond)
		stated := 2 * time.Second
		if n%20 == 0 {
			stated = 4 * time.Second
		}
		for route, d := range map[string]time.Duration{"mixed": stated, "random": time.Duration(1+n*7919%4000) * time.Millisecond} {
			if w.Estimate(route, d, now) > 0 && n >= 40 {
				wrong++
			}
		}
	}
	if wrong > 0 {
		t.Fatalf("%d first attempts count as returning", wrong)
	}
}

// TestRepeatsInOverload guards against an estimate that ends when it is needed most: each request is refused, and two repeats follow each first
// attempt.
func TestRepeatsInOverload(t *testing.T) {
	is := is.New(t)
	var w Waits
	now := start
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		is.Equal(w.Estimate("grid", 4*time.Second, now), time.Duration(0))
		is.Equal(w.Estimate("grid", 2660*time.Millisecond, now), 1340*time.Millisecond)
		is.Equal(w.Estimate("grid", 1770*time.Millisecond, now), 2230*time.Millisecond)
	}
}
