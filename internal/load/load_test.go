package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
)

var testOps = []Operation{
	{Operation: contract.Operation{Name: "lookup", Method: "GET", Path: "/lots/", Idempotent: true}, Weight: 3},
	{Operation: contract.Operation{Name: "reserve", Method: "POST", Path: "/reservations"}, Weight: 1},
}

// TestPlan guards against plans that differ although their arguments are the same, so that policies could not be compared, and
// against plans that miss the rate or the mix of operations.
func TestPlan(t *testing.T) {
	is := is.New(t)
	plan := Plan(7, "x", testOps, 1000, 100*time.Second)
	is.True(reflect.DeepEqual(plan, Plan(7, "x", testOps, 1000, 100*time.Second)))
	is.True(math.Abs(float64(len(plan))-100_000) < 5*math.Sqrt(100_000)) // five standard deviations
	reserves := 0
	for _, r := range plan {
		if !r.Op.Idempotent {
			reserves++
		}
	}
	is.True(math.Abs(float64(reserves)/float64(len(plan))-0.25) < 0.01)
}

// TestRunCountsStalls guards against coordinated omission: the latency of a request that starts late because earlier ones are
// still in flight must be counted from its intended start.
func TestRunCountsStalls(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		var plan []Request
		for i := range 3 {
			plan = append(plan, Request{At: time.Duration(i+1) * 10 * time.Millisecond})
		}
		work := func(context.Context, *Request) Outcome {
			time.Sleep(100 * time.Millisecond)
			return Outcome{Answered: true}
		}
		latencies := func(maxInFlight int) (out []time.Duration) {
			for _, r := range Run(t.Context(), plan, maxInFlight, work) {
				out = append(out, r.Latency/time.Millisecond)
			}
			return out
		}
		is.Equal(latencies(3), []time.Duration{100, 100, 100})
		is.Equal(latencies(1), []time.Duration{100, 190, 280})
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		is.Equal(Run(ended, plan, 1, work)[2].Ran, RanNo)
	})
}

// TestAudit guards against an audit that misses a violated guarantee or reports one that was kept.
func TestAudit(t *testing.T) {
	request := func(id string, op int) Request {
		return Request{ID: id, Op: &testOps[op], Path: testOps[op].Path + "1", Body: []byte(id)}
	}
	record := func(r Request) standin.Record {
		sum := sha256.Sum256(r.Body)
		return standin.Record{RequestID: r.ID, Method: r.Op.Method, Path: r.Path, BodySHA256: hex.EncodeToString(sum[:])}
	}
	lookup, reserve := request("a", 0), request("b", 1)
	answered := func(r Request) Outcome { return Outcome{Answered: true, Body: r.Want(), Ran: RanYes} }
	changed := record(reserve)
	changed.BodySHA256 = "other"
	tests := map[string]struct {
		r       Request
		out     Outcome
		records []standin.Record
		count   func(*Audit) int // the count that must be 1; nil if no guarantee is violated
	}{
		"answered":                    {reserve, answered(reserve), []standin.Record{record(reserve)}, nil},
		"idempotent, ran twice":       {lookup, answered(lookup), []standin.Record{record(lookup), record(lookup)}, nil},
		"unknown, ran":                {reserve, Outcome{Ran: RanUnknown}, []standin.Record{record(reserve)}, nil},
		"refused":                     {reserve, Outcome{Ran: RanNo, Reason: "queue_full"}, nil, nil},
		"ran twice":                   {reserve, Outcome{Ran: RanUnknown}, []standin.Record{record(reserve), record(reserve)}, func(a *Audit) int { return a.RunTwice }},
		"answer of another request":   {reserve, answered(lookup), []standin.Record{record(reserve)}, func(a *Audit) int { return a.WrongAnswers }},
		"answered, not run":           {reserve, answered(reserve), nil, func(a *Audit) int { return a.AnsweredUnrun }},
		"refused as not run, but ran": {lookup, Outcome{Ran: RanNo}, []standin.Record{record(lookup)}, func(a *Audit) int { return a.RefusedRun }},
		"another body":                {reserve, answered(reserve), []standin.Record{changed}, func(a *Audit) int { return a.Strays }},
		"never sent":                  {lookup, Outcome{Ran: RanNo}, []standin.Record{record(reserve)}, func(a *Audit) int { return a.Strays }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := NewAudit([]Request{tt.r}, []Result{{Outcome: tt.out}}, tt.records)
			is.Equal(a.Off(), tt.count != nil)
			if tt.count != nil {
				is.Equal(tt.count(a), 1)
			}
		})
	}
}

// TestSummarize guards against quantiles that are off by one rank, and against histograms that lose precision.
func TestSummarize(t *testing.T) {
	is := is.New(t)
	var values []time.Duration
	h := NewHistogram()
	for i := 1000; i >= 1; i-- {
		values = append(values, time.Duration(i-500)*time.Millisecond)
		h.Record(time.Duration(i) * time.Millisecond)
	}
	is.Equal(Summarize(values), Summary{Count: 1000, P50: 0, P99: 490, P999: 499, Max: 500})
	got := h.Summary()
	is.True(math.Abs(got.P50-500) < 1 && math.Abs(got.P99-990) < 1 && math.Abs(got.P999-999) < 1)
}

// TestMeasure guards against counting refusals, failures or late responses as good.
func TestMeasure(t *testing.T) {
	is := is.New(t)
	op := &Operation{Operation: contract.Operation{Class: contract.Urgent, DeadlineMS: 100}}
	plan := make([]Request, 6)
	for i := range plan {
		plan[i] = Request{At: time.Duration(i) * 100 * time.Millisecond, Op: op}
	}
	good := Result{Outcome: Outcome{Answered: true}, Latency: 50 * time.Millisecond}
	late := Result{Outcome: Outcome{Answered: true}, Latency: 150 * time.Millisecond}
	got := Measure(plan, []Result{good, late, {Outcome: Outcome{Answered: true, Failed: true}},
		{Outcome: Outcome{Ran: RanNo, Reason: "queue_full"}}, {Outcome: Outcome{Ran: RanUnknown}}, good}, 540*time.Millisecond)
	is.Equal(len(got), 2)
	is.Equal(got[1].Class, "urgent")
	m := got[0]
	is.Equal([]int{m.Sent, m.Answered, m.Good, m.Failed, m.Unknown, m.Refused["queue_full"]}, []int{6, 3, 1, 1, 1, 1})
}

// TestBoundResults guards against reference results without the network time, and against refusals that count as responses.
func TestBoundResults(t *testing.T) {
	is := is.New(t)
	plan := []Request{{At: 10 * time.Millisecond}, {At: 20 * time.Millisecond}}
	got := BoundResults(plan, []BoundResult{{End: 50 * time.Millisecond}, {Refused: true, End: 20 * time.Millisecond}}, 16*time.Millisecond)
	is.Equal(got[0].Latency, 56*time.Millisecond)
	is.True(got[0].Answered && !got[1].Answered)
	is.Equal(got[1].Ran, RanNo)
}

// TestRecovery guards against a recovery time that is not counted from the end of the event, and against reporting a recovery
// although the last window was still slow.
func TestRecovery(t *testing.T) {
	is := is.New(t)
	const length = 2 * time.Second
	var plan []Request
	var results []Result
	for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
		latency := 10 * time.Millisecond
		if at >= 500*time.Millisecond && at < 1200*time.Millisecond {
			latency = 300 * time.Millisecond
		}
		plan = append(plan, Request{At: at})
		results = append(results, Result{Outcome: Outcome{Answered: true}, Latency: latency})
	}
	after, ok := Recovery(plan, results, 500*time.Millisecond, time.Second, length)
	is.True(ok)
	is.Equal(after, 200*time.Millisecond)
	results[len(results)-1].Answered = false
	results[len(results)-2].Answered = false
	_, ok = Recovery(plan, results, 500*time.Millisecond, time.Second, length)
	is.True(!ok)
}
