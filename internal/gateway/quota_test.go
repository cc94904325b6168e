package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/forward"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/coordination/quota"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/customers"
	"github.com/arbutusspan/arbutusspan/internal/state/metrics"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// TestLateHostEndsWaitForPermit guards against a wait for a permit that a host without a free processor ends so late that the caller has left before its refusal is
// written.
func TestLateHostEndsWaitForPermit(t *testing.T) {
	for _, c := range []struct{ delay, most time.Duration }{{0, 150 * time.Millisecond}, {100 * time.Millisecond, 50 * time.Millisecond}, {time.Second, 0}} {
		t.Run(fmt.Sprint(c.delay), func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				norte := customer("norte", "secret-n")
				norte.RatePerSecond, norte.Burst = 20, 5
				table, err := routing.New(routing.Config{Version: 1, Services: []routing.Service{{Name: "lotdesk"}}, Customers: []customers.Entry{norte}})
				is.NoErr(err)
				g := &Gateway{metrics: metrics.New(), forwarder: forward.New(forward.Config{OrderByValue: func() bool { return false }})}
				g.routes.Store(table)
				g.quota = quota.New(quota.Config{Tolerance: quota.Tolerance{Window: 5 * time.Second}, Host: "a", Zone: "z", Limit: g.customerLimit, Limited: g.limitedCustomers, Lateness: &g.lateness,
					Hosts: func(time.Time) map[string][]peers.Host {
						return map[string][]peers.Host{"z": {{Name: "b", Zone: "z", PeerAddress: "127.0.0.1:1"}}}
					},
					LastMessage: func(string) time.Time { return time.Now() }, Quorum: func(time.Time) (int, int) { return 1, 1 }, QuorumWindow: func() time.Duration { return time.Second },
					Send: func(string, []quota.Request, []quota.Grant) {}, OnEvent: func(string, ...any) {}}, time.Now())
				begin := time.Now()
				permit, refusal := g.takePermit(t.Context(), &forward.Call{Call: &executor.Call{}, Route: &routing.Route{}, Customer: "norte", Arrived: begin, Due: begin.Add(150 * time.Millisecond),
					AnswerDelay: c.delay}, table)
				is.True(permit == nil)
				is.Equal(refusal.Reason, refusals.QuotaUnavailable)
				is.Equal(time.Since(begin), c.most)
			})
		})
	}
}
