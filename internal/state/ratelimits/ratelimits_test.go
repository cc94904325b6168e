package ratelimits

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }

// TestOrderOfStatements guards against a response that arrives late, or whose order is not certain, lifting a limit or bringing back one that
// was withdrawn.
func TestOrderOfStatements(t *testing.T) {
	is := is.New(t)
	id := endpoints.ID{Address: "10.0.0.1:80", Incarnation: "i-1@5"}
	table := NewTable()
	record := func(perSecond, asked, answered float64) bool {
		_, change := table.Record(id, Statement{PerSecond: perSecond, SentAt: at(asked), AnsweredAt: at(answered)})
		return change != nil
	}
	is.True(!record(Unlimited, 0, 1)) // nothing is kept of endpoints that never name a limit
	is.Equal(len(table.statements), 0)
	is.True(record(5, 1, 2))
	is.True(!record(Unlimited, 0, 3)) // was asked before the limit was known: order unknown
	is.True(!record(8, 1.5, 3))
	is.True(record(2, 1.5, 3)) // the stricter one counts
	is.True(record(9, 3, 4))   // asked after the last answer
	is.True(!record(1, 1, 2.5))
	is.True(record(Unlimited, 4, 5))
	is.Equal(table.PerSecond(id), Unlimited)
	is.True(!record(2, 2, 3.9)) // answered before the withdrawal was asked for
	is.True(record(2, 4.5, 5.5))
	is.Equal(len(table.Limited()), 1)
	is.True(record(Unlimited, 6, 7))
	table.Evict(func(endpoints.ID) bool { return false }, at(20))
	is.Equal(len(table.statements), 1)
	table.Evict(func(endpoints.ID) bool { return false }, at(40))
	is.Equal(len(table.statements), 0)
}

// TestStatementsConverge guards against hosts that believe different limits for ever because they received the same statements in different
// orders. It generates an endpoint whose limit changes and requests that overlap, and delivers the responses to two tables in any order,
// followed by one request after all others.
func TestStatementsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := endpoints.ID{Address: "10.0.0.1:80", Incarnation: "i-1@5"}
		limits := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 1, 2, 10, Unlimited}), 1, 6).Draw(t, "limits, one a second")
		type response struct{ asked, made, answered float64 }
		var list []Statement
		for range rapid.IntRange(1, 12).Draw(t, "requests") {
			r := response{asked: rapid.Float64Range(0, 5).Draw(t, "asked")}
			r.made = r.asked + rapid.Float64Range(0, 3).Draw(t, "runs")
			r.answered = r.made + rapid.Float64Range(0, 2).Draw(t, "on its way")
			list = append(list, Statement{PerSecond: limits[min(int(r.made), len(limits)-1)], SentAt: at(r.asked), AnsweredAt: at(r.answered)})
		}
		last := Statement{PerSecond: limits[len(limits)-1], SentAt: at(20), AnsweredAt: at(21)}
		for _, order := range [][]Statement{list, rapid.Permutation(list).Draw(t, "order")} {
			table := NewTable()
			for _, s := range order {
				table.Record(id, s)
			}
			table.Record(id, last)
			if got := table.PerSecond(id); got != last.PerSecond {
				t.Fatalf("believes %v, named %v", got, last.PerSecond)
			}
		}
	})
}
