package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestExtremeLimits guards against limits that overflow: with a huge burst nothing was granted, and with a tiny rate the stated delay was negative, so that
// callers got none.
func TestExtremeLimits(t *testing.T) {
	tol := Tolerance{Window: 10 * time.Second, Over: 0.1, Slack: 5}
	start := time.Unix(1000, 0)
	for _, rate := range []float64{5e-324, 1e-12, 1, 1e300} {
		for _, burst := range []float64{0, 1, 1e20, 1e300} {
			is := is.New(t)
			terms := tol.terms(Limit{PerSecond: rate, Burst: burst}, 1)
			is.True(terms.lifetime >= minLifetime && terms.lifetime <= tol.Window)
			b := newBucket(terms, 1e300, start)
			is.Equal(b.grant(3, start), min(3, int(min(3, terms.depth)))) // a full bucket
			h := &holding{customer: "c", terms: terms, hosts: 3}
			for range 3 {
				r := h.exceeded(tol.Window, start)
				is.True(r.RetryAfter >= 0 && r.RetryAfter <= tol.Window)
			}
			is.True(h.target(start) >= 0)
		}
	}
}
