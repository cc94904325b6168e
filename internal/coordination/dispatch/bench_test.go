package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
)

// BenchmarkQueue measures one Acquire and one Release for different numbers of waiting requests, endpoints and customers.
func BenchmarkQueue(b *testing.B) {
	for _, c := range []struct{ waiting, endpoints, customers int }{
		{0, 15, 1}, {100, 15, 1}, {1000, 15, 1}, {10_000, 15, 1}, {100, 100, 1}, {100, 1000, 1}, {100, 15, 10}, {1000, 15, 100},
	} {
		b.Run(fmt.Sprintf("waiting=%d/endpoints=%d/customers=%d", c.waiting, c.endpoints, c.customers), func(b *testing.B) {
			var set []*limits.ServiceLimits
			for i := range c.customers {
				set = append(set, limitsOf(fmt.Sprint("c", i), unlimited, unlimited, 1_000_000, 1, 1_000_000))
			}
			q, now := testQueue(setOf(set...), endpointsOf(c.endpoints, 2))
			granted := make(grantedKeys, 0, 1024)
			ref := uint64(0)
			acquire := func() {
				ref++
				q.Acquire(now, 1, Key{"h", ref}, Request{Customer: set[ref%uint64(c.customers)].Customer, Class: contract.Normal, Deadline: now.Add(time.Hour)}, &granted)
			}
			full := c.endpoints * 2
			if c.waiting == 0 {
				full--
			}
			for range full + c.waiting {
				acquire()
			}
			b.ReportAllocs()
			for b.Loop() {
				acquire()
				k := granted[0]
				granted = append(granted[:0], granted[1:]...)
				q.Release(now, k, Outcome{ServiceTime: time.Millisecond})
			}
		})
	}
}

// grantedKeys collects the keys of grants.
type grantedKeys []Key

func (r *grantedKeys) Decided(k Key, d Decision) {
	if d.Denied == nil {
		*r = append(*r, k)
	}
}
