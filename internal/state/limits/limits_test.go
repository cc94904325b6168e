package limits

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
)

// customer returns a contract for the service s, with deadlines of 50 ms and 2,000 ms.
func customer(name string, keyWindowS int, s contract.Service) *contract.Contract {
	s.Name = "s"
	s.Operations = []contract.Operation{{Name: "short", DeadlineMS: 50}, {Name: "long", DeadlineMS: 2000}}
	return &contract.Contract{Customer: name, KeyWindowS: keyWindowS, Services: []contract.Service{s}}
}

// TestDerive guards against limits that differ from the rules that Clauses states.
func TestDerive(t *testing.T) {
	for name, c := range map[string]struct {
		keyWindowS int
		service    contract.Service
		want       ServiceLimits
	}{
		"defaults": {0, contract.Service{RatePerSecond: 25, Concurrent: 2},
			ServiceLimits{Rate: 25, Burst: 3, Concurrent: 2, Share: 1, QueueLength: 50, MaxBodyBytes: 65536, KeyWindow: 10 * time.Minute, KeysPerHost: 15000}},
		"stated": {120, contract.Service{RatePerSecond: 3000, Burst: 7, Concurrent: 9, Share: 4, RetryPercent: 10, MaxBodyBytes: 5,
			Measuring: contract.Measuring{ProbesPerSecondPerUpstream: 0.5, EntryHostsMax: 20}},
			ServiceLimits{Rate: 3000, Burst: 7, Concurrent: 9, Share: 4, QueueLength: 6000, RetryPercent: 10, MaxBodyBytes: 5, KeyWindow: 2 * time.Minute, KeysPerHost: 360000, Probes: ProbeBudget{PerHost: 0.025, Total: 0.5}}},
		"slow": {0, contract.Service{RatePerSecond: 0.001, Concurrent: 1},
			ServiceLimits{Rate: 0.001, Burst: 1, Concurrent: 1, Share: 1, QueueLength: 1, MaxBodyBytes: 65536, KeyWindow: 10 * time.Minute, KeysPerHost: 1024}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := *Derive([]*contract.Contract{customer("c", c.keyWindowS, c.service)})[Key{"c", "s"}]
			for _, limit := range []string{"rate", "burst", "concurrent", "share", "queue_length", "retry_percent", "max_body", "key_window", "keys_per_host", "probes_per_host", "deadline long"} {
				is.True(got.ClausePointer(limit) != "") // a refusal names the clause of the limit
			}
			is.Equal(got.ClausePointer("nothing"), "")
			clauses := got.Clauses()
			at := slices.IndexFunc(clauses, func(c Clause) bool { return c.Limit == "queue_length" })
			is.Equal(clauses[at].Value, float64(c.want.QueueLength))
			got.contract, got.index = nil, 0
			c.want.Customer, c.want.Name = "c", "s"
			is.Equal(got, c.want)
		})
	}
}

// TestClausesPointIntoTheContract guards against a clause that names a field from which the limit is not derived, and against a
// refusal and a list of clauses that name different fields for one limit.
func TestClausesPointIntoTheContract(t *testing.T) {
	is := is.New(t)
	c := customer("c", 0, contract.Service{RatePerSecond: 25, Concurrent: 2})
	c.Services = append([]contract.Service{{Name: "other", Operations: c.Services[0].Operations}}, c.Services...)
	l := Derive([]*contract.Contract{c})[Key{"c", "s"}]
	want := [][2]string{{"rate", "/services/1/rate_per_second"}, {"burst", "/services/1/burst"}, {"concurrent", "/services/1/concurrent"},
		{"share", "/services/1/share"}, {"queue_length", "/services/1/rate_per_second"}, {"retry_percent", "/services/1/retry_percent"},
		{"max_body", "/services/1/max_body_bytes"}, {"key_window", "/key_window_s"}, {"keys_per_host", "/key_window_s"},
		{"probes_per_host", "/services/1/measuring"}, {"deadline short", "/services/1/operations/0/deadline_ms"},
		{"deadline long", "/services/1/operations/1/deadline_ms"}}
	clauses := l.Clauses()
	is.Equal(len(clauses), len(want))
	for i, c := range clauses {
		is.Equal([2]string{c.Limit, c.Pointer}, want[i])
		is.Equal(l.ClausePointer(c.Limit), c.Pointer)
		is.True(c.Rule != "")
	}
	is.Equal(l.ClausePointer("deadline none"), "")
	is.Equal((&ServiceLimits{}).Clauses(), nil)
	is.Equal((&ServiceLimits{}).ClausePointer("rate"), "")
}

// TestLimitsKeepNoText guards against clauses that are stored for each customer and service. With 2,000 contracts they took 4 KB
// each, and all limits are derived again on each change of a contract.
func TestLimitsKeepNoText(t *testing.T) {
	c := customer("c", 0, contract.Service{RatePerSecond: 25, Concurrent: 2})
	if n := testing.AllocsPerRun(100, func() { deriveService(c, 0, ProbeBudget{}) }); n > 1 {
		t.Errorf("deriving the limits of one service makes %v allocations, want at most 1", n)
	}
}

// TestStrictestProbeBudget guards against probes that exceed the budget in another customer's contract for the same service.
func TestStrictestProbeBudget(t *testing.T) {
	is := is.New(t)
	with := func(name string, probes float64, hosts int) *contract.Contract {
		return customer(name, 0, contract.Service{RatePerSecond: 1, Concurrent: 1, Measuring: contract.Measuring{ProbesPerSecondPerUpstream: probes, EntryHostsMax: hosts}})
	}
	set := Derive([]*contract.Contract{with("a", 1, 10), with("b", 1, 20), with("c", 2, 10)})
	for _, name := range []string{"a", "b", "c"} {
		is.Equal(set[Key{name, "s"}].Probes, ProbeBudget{PerHost: 0.05, Total: 1})
	}
}

// TestBucket guards against tokens that are added by a restart, by a clock that went back, or beyond the depth.
func TestBucket(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	after := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	var b Bucket
	is.True(!b.Take(now, 1)) // zero value
	b = Bucket{}
	b.Set(now, 10, 5)
	is.True(!b.Take(now, 1)) // starts empty
	is.Equal(b.TimeUntil(now, 1), 100*time.Millisecond)
	is.True(b.Take(after(0.1), 1))
	is.True(!b.Take(after(-5), 1)) // clock went back
	is.Equal(b.Tokens(after(100)), 5.0)
	b.Set(after(100), 10, 2)
	is.Equal(b.Tokens(after(100)), 2.0)
	b.Add(9)
	is.Equal(b.Tokens(after(100)), 2.0)
	is.Equal(b.TimeUntil(after(100), 2), time.Duration(0))
	b.Set(after(100), 0, 2)
	is.Equal(b.TimeUntil(after(100), 3), time.Hour)
}

// TestBucketBound guards against a bucket that admits more than its rate allows: starting empty, no more than the rate times the
// elapsed time.
func TestBucketBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, depth := rapid.Float64Range(0, 1000).Draw(t, "rate"), rapid.Float64Range(1, 100).Draw(t, "depth")
		now := time.Unix(1000, 0)
		var b Bucket
		b.Set(now, rate, depth)
		var elapsed, taken float64
		for range rapid.IntRange(1, 100).Draw(t, "takes") {
			step := rapid.IntRange(-50, 300).Draw(t, "ms")
			now = now.Add(time.Duration(step) * time.Millisecond)
			elapsed += math.Max(0, float64(step)) / 1000
			if n := rapid.Float64Range(0, 20).Draw(t, "n"); b.Take(now, n) {
				taken += n
			}
		}
		if taken > rate*elapsed+1e-6 {
			t.Fatalf("took %v tokens in %v s at a rate of %v per second", taken, elapsed, rate)
		}
	})
}
