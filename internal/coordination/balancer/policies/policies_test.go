package policies

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/balancer/loadexchange"
	"github.com/arbutusspan/arbutusspan/internal/coordination/balancer/prequal"
	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

func testEndpoints(n int) []endpoints.Endpoint {
	out := make([]endpoints.Endpoint, n)
	for i := range out {
		out[i] = endpoints.Endpoint{ID: endpoints.ID{Address: fmt.Sprint("10.0.0.", i)}, Slots: 2}
	}
	return out
}

func testDeps() Deps {
	return Deps{Self: "a", Decode: json.Unmarshal, Hosts: func() []string { return []string{"a"} },
		Probe: func(context.Context, endpoints.Endpoint) (prequal.Load, error) { return prequal.Load{}, nil }}
}

// TestPolicies guards against picks out of range, and against policies that ignore the outstanding requests of their own host:
// while no request ends, the policies that count requests spread them evenly.
func TestPolicies(t *testing.T) {
	candidates := testEndpoints(4)
	maxPicks := map[string]int{"leastoutstanding": 10, "loadexchange": 10, "loadreport": 15, "twochoices": 15}
	for _, name := range Names() {
		p, err := New(name, testDeps())
		if err != nil {
			t.Fatal(err)
		}
		counts := make([]int, len(candidates))
		for range 40 {
			counts[p.Picker.Pick(candidates)]++
		}
		for _, n := range counts {
			if limit := maxPicks[name]; limit > 0 && n > limit {
				t.Errorf("%s: %v", name, counts)
			}
		}
		for i, n := range counts {
			for range n {
				p.Picker.Done(candidates[i], dispatch.Outcome{InFlight: 1, Slots: 2})
			}
		}
	}
	if _, err := New("nothing", testDeps()); err == nil {
		t.Error("an unknown policy was accepted")
	}
}

// TestPoliciesUseLoadReports guards against a policy that ignores the load reports it is built for: the counts of other hosts for
// loadexchange, probe results for prequal, and the reports of upstreams for loadreport.
func TestPoliciesUseLoadReports(t *testing.T) {
	is := is.New(t)
	candidates := testEndpoints(2)
	body, err := json.Marshal([]loadexchange.Count{{ID: candidates[0].ID, Outstanding: 100}})
	is.NoErr(err)
	exchange, err := New("loadexchange", testDeps())
	is.NoErr(err)
	_, err = exchange.RPCHandlers[methodLoadExchange](t.Context(), "b", body)
	is.NoErr(err)
	d := testDeps()
	probed := make(chan struct{}, 1000)
	d.Probe = func(_ context.Context, e endpoints.Endpoint) (prequal.Load, error) {
		defer func() { probed <- struct{}{} }()
		if e.ID == candidates[0].ID {
			return prequal.Load{InFlight: 100, Latency: time.Second}, nil
		}
		return prequal.Load{Latency: time.Millisecond}, nil
	}
	probing, err := New("prequal", d)
	is.NoErr(err)
	report, err := New("loadreport", testDeps())
	is.NoErr(err)
	report.Picker.Pick(candidates[:1])
	report.Picker.Done(candidates[0], dispatch.Outcome{InFlight: 100, Slots: 2})
	for range 20 {
		is.Equal(exchange.Picker.Pick(candidates), 1)
	}
	busyPicks := map[string]int{}
	for range 100 {
		busyPicks["prequal"] += 1 - probing.Picker.Pick(candidates)
		for range 3 {
			<-probed
		}
		i := report.Picker.Pick(candidates)
		busyPicks["loadreport"] += 1 - i
		report.Picker.Done(candidates[i], dispatch.Outcome{InFlight: 100 * (1 - i), Slots: 2})
	}
	// A uniform pick gives 50. For loadreport, both draws are the busy endpoint in a quarter of the picks.
	is.True(busyPicks["prequal"] < 25 && busyPicks["loadreport"] < 45)
}
