package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
)

// TestBucketKeepsDepthOutOfOrder guards against a customer that exceeds its limit beside contention: requests that wait for the lock come with times
// before those of the grants that were made meanwhile, and must not get the tokens that these have used up.
func TestBucketKeepsDepthOutOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		rate, depth := rapid.Float64Range(1, 1000).Draw(t, "rate"), rapid.Float64Range(1, 100).Draw(t, "depth")
		b := newBucket(terms{rate: rate, depth: depth}, depth, start)
		now, latest, since, granted := start, start, start, 0.0
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "passed")) * time.Millisecond)
			at := now.Add(-time.Duration(rapid.IntRange(0, 2000).Draw(t, "waited")) * time.Millisecond)
			if at.After(latest) {
				latest = at
			}
			switch rapid.IntRange(0, 9).Draw(t, "call") {
			case 0:
				rate, depth = rapid.Float64Range(1, 1000).Draw(t, "rate"), rapid.Float64Range(1, 100).Draw(t, "depth")
				b.setTerms(terms{rate: rate, depth: depth}, at)
				since, granted = latest, 0
			case 1:
				b.tokens(at)
			case 2:
				b.giveBack(0, time.Duration(rapid.IntRange(-100, 10000).Draw(t, "age"))*time.Millisecond, at)
			default:
				granted += float64(b.grant(rapid.IntRange(0, 200).Draw(t, "n"), at))
			}
			if most := depth + rate*latest.Sub(since).Seconds(); granted > most+1e-6 {
				t.Fatalf("granted %v since the last change of the terms: depth and rate allow %v", granted, most)
			}
		}
	})
}

// TestPauseFillsBucketAtRate guards against a customer with a low rate and a large burst that gets its whole burst again after a pause of 16 s.
func TestPauseFillsBucketAtRate(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, pause := range []time.Duration{7 * time.Second, 9 * time.Second, 15 * time.Second, 16 * time.Second, 17 * time.Second, time.Minute} {
		b := newBucket(terms{rate: 1, depth: 100}, 100, start)
		if n := b.grant(200, start); n != 100 {
			t.Fatalf("a full bucket granted %d", n)
		}
		if n, most := b.grant(200, start.Add(pause)), int(pause.Seconds()); n > most || n < most-1 {
			t.Errorf("after %v: granted %d, the rate allows %d", pause, n, most)
		}
	}
}
