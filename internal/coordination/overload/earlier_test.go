package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCreditOutOfOrder guards against a customer that loses weight because its requests are recorded out of order, as after a wait for a lock.
func TestCreditOutOfOrder(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	run := func(late time.Duration) float64 {
		var all customers
		c := all.get("c", start)
		for n := range 3000 {
			at := start.Add(time.Duration(n) * 10 * time.Millisecond)
			if n%2 == 1 {
				at = at.Add(-late)
			}
			c.arrived(5*time.Millisecond, at)
		}
		return c.usual.Value(usualTime, start.Add(30*time.Second))
	}
	inOrder, outOfOrder := run(0), run(100*time.Millisecond)
	t.Logf("usual work: %.3f s in order, %.3f s out of order", inOrder, outOfOrder)
	is.True(outOfOrder > 0.98*inOrder && outOfOrder < 1.02*inOrder)
}

// TestSweepKeepsArrival guards against a customer whose first request is not counted because unused customers are removed at the same moment.
func TestSweepKeepsArrival(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var q Queue
	q.Arrived(&Request{Customer: "c", Work: time.Millisecond, Due: now.Add(time.Second), LateAt: now.Add(time.Second)}, now)
	is.Equal(q.customers.get("c", now).usual.Sum, 0.001)
}
