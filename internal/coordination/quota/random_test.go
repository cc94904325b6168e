package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
)

// TestAnyOrderOfTimes guards against a limiter that panics, or sends a message that its receiver rejects, when calls come with times out of order while
// limits and hosts change.
func TestAnyOrderOfTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{PerSecond: 100, Burst: 20, Version: 1}
		hosts := []peers.Host{}
		for i := range 3 {
			hosts = append(hosts, peers.Host{Name: string(rune('a' + i)), Zone: "z", PeerAddress: fmt.Sprintf("127.0.0.1:%d", i+1)})
		}
		start := time.Unix(10_000, 0)
		now, heard, version := start, 3, uint64(1)
		listed := hosts
		at := func() time.Time {
			return now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "waited")) * time.Millisecond)
		}
		var requests []Request
		var grants []Grant
		l := New(Config{Tolerance: tolerance, Host: "a", Zone: "z", Limit: func(string) (Limit, bool) { return limit, true }, Limited: func() []string { return []string{"c", "d"} },
			Hosts: func(time.Time) map[string][]peers.Host { return map[string][]peers.Host{"z": listed} }, LastMessage: func(string) time.Time { return now },
			Quorum: func(time.Time) (int, int) { return heard, 3 }, QuorumWindow: func() time.Duration { return time.Second }, OnEvent: func(string, ...any) {},
			Send: func(_ string, r []Request, g []Grant) {
				requests, grants = append(requests, r...), append(grants, g...)
			}}, start)
		var permits []*Permit
		for range rapid.IntRange(1, 80).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 10, 50, 300, 20_000}).Draw(t, "passed")) * time.Millisecond)
			customer, sender := rapid.SampledFrom([]string{"c", "d"}).Draw(t, "customer"), Sender{"b", "127.0.0.1:2"}
			switch rapid.IntRange(0, 7).Draw(t, "call") {
			case 0:
				version++
				limit = Limit{rapid.Float64Range(0.001, 1e6).Draw(t, "rate"), rapid.Float64Range(0, 1e6).Draw(t, "burst"), version}
			case 1:
				heard = rapid.IntRange(1, 3).Draw(t, "heard")
				listed = hosts[:rapid.IntRange(1, 3).Draw(t, "hosts")]
			case 2:
				l.Tick(at())
			case 3:
				l.HandleRequest(Request{Customer: customer, Number: uint64(version) + rapid.Uint64Range(0, 100).Draw(t, "number"), Want: rapid.IntRange(0, 50).Draw(t, "want"),
					Returned: []Return{{1, rapid.Int64Range(0, maxAgeMS).Draw(t, "age")}}}, sender, at())
			case 4:
				if len(requests) > 0 {
					r := rapid.SampledFrom(requests).Draw(t, "request")
					l.HandleGrant(Grant{Customer: r.Customer, Number: r.Number, Permits: rapid.IntRange(0, r.Want).Draw(t, "permits"), PerSecond: limit.PerSecond,
						Burst: limit.Burst, Version: limit.Version, AfterMS: 5}, sender, at())
				}
			case 5:
				l.State(customer, at())
			case 6:
				if len(permits) > 0 {
					l.Refund(permits[len(permits)-1], at())
				}
			default:
				if r, _ := l.begin(customer, rapid.Bool().Draw(t, "late"), at()); r.Permit != nil {
					permits = append(permits, r.Permit)
				} else if r.RetryAfter < 0 {
					t.Fatalf("a refusal states the delay %v", r.RetryAfter)
				}
			}
		}
		for i := range requests {
			if err := requests[i].Check(); err != nil {
				t.Fatal(err)
			}
		}
		for i := range grants {
			if err := grants[i].Check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
