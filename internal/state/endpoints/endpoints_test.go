package endpoints

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
)

// referenceTable is a simple reference implementation of Table. It has no shards and no snapshots, and marks do not expire.
type referenceTable struct {
	listed []Endpoint
	marked map[ID]time.Time // when the incarnation was last listed or marked
}

func (r *referenceTable) usable(service string) []Endpoint {
	var out []Endpoint
	for _, e := range r.listed {
		if _, marked := r.marked[e.ID]; e.Service == service && !marked {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return compareID(a.ID, b.ID) })
	return out
}

// TestTableMatchesReference guards against an endpoint that is usable although it is marked or not listed, and against one that is not
// usable although it is listed and not marked, while exact marks are moved to the filters and old marks expire.
func TestTableMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		table, model := NewTable(), &referenceTable{marked: map[ID]time.Time{}}
		table.leaving.maxExact = rapid.IntRange(1, 8).Draw(t, "limit")
		table.leaving.filterBits = 1 << 16
		now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
		notified := 0
		table.OnLeaving(func(ID) { notified++ })
		id := rapid.Custom(func(t *rapid.T) ID {
			return ID{Address: fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(1, 6).Draw(t, "address")),
				Incarnation: fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "incarnation"))}
		})
		service := rapid.SampledFrom([]string{"lotdesk", "pricebook"})
		endpoint := rapid.Custom(func(t *rapid.T) Endpoint {
			return Endpoint{ID: id.Draw(t, "id"), Service: service.Draw(t, "service"), Slots: 2}
		})
		list := rapid.SliceOfNDistinct(endpoint, 0, 10, func(e Endpoint) ID { return e.ID })
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "minutes")) * time.Minute)
				// A marked incarnation that was missing from the lists for longer than markRetention is not listed again.
				model.listed = slices.DeleteFunc(list.Draw(t, "list"), func(e Endpoint) bool {
					named, marked := model.marked[e.ID]
					return marked && now.Sub(named) > markRetention
				})
				for _, e := range model.listed {
					if _, marked := model.marked[e.ID]; marked {
						model.marked[e.ID] = now
					}
				}
				table.SetAll(model.listed, now)
			},
			"mark": func(t *rapid.T) {
				k := LeavingMark{ID: id.Draw(t, "id"), FirstLearned: now, LastNamed: now}
				table.AddLeavingMark(k)
				model.marked[k.ID] = now
			},
			"mark here": func(t *rapid.T) {
				i, before := id.Draw(t, "id"), notified
				is.Equal(table.MarkLeaving(i), notified > before)                           // the function is called for new marks only
				table.AddLeavingMark(LeavingMark{ID: i, FirstLearned: now, LastNamed: now}) // sets LastNamed to now; MarkLeaving used the real time
				model.marked[i] = now
			},
			"": func(t *rapid.T) {
				for _, name := range []string{"lotdesk", "pricebook"} {
					is.Equal(table.Snapshot(name).Endpoints, model.usable(name))
				}
				is.True(len(table.LeavingMarks()) <= table.leaving.maxExact)
			},
		})
	})
}

// TestMarksAreForgotten guards against marks that never expire, and against a mark that expires although its incarnation is listed.
func TestMarksAreForgotten(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	now := time.Now()
	listed, gone := ID{"10.0.0.1:80", "a"}, ID{"10.0.0.2:80", "b"}
	table.MarkLeaving(listed)
	table.MarkLeaving(gone)
	for range 5 {
		now = now.Add(markRetention / 2)
		table.SetAll([]Endpoint{{ID: listed, Service: "lotdesk"}}, now)
	}
	is.True(table.IsLeaving(listed))
	is.True(!table.IsLeaving(gone))
	is.Equal(len(table.LeavingMarks()), 1)
	for range 5 {
		now = now.Add(markRetention / 2)
		table.ListUnchanged(now)
	}
	is.True(table.IsLeaving(listed)) // an unchanged list also keeps the mark
}
