package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestEvacuationHoldsOverEntries guards against an endpoint of an evacuated zone that an entry, a restart or the end of a grace period brings back, and
// against one that stays withdrawn after the evacuation although its entry says that it is ready. It plays random entries, removals, marks and
// evacuations and compares the snapshot with what the last of each says.
func TestEvacuationHoldsOverEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewTable(grace), start
		zones := []string{"a", "b"}
		last, marked, present := map[string]Entry{}, map[string]bool{}, map[string]bool{}
		evacuated := []string{}
		for n := range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"i-1", "i-2", "i-3"}).Draw(t, "endpoint")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				e := entry(int64(n))
				e.Name, e.Zone, e.Leaving = name, rapid.SampledFrom(zones).Draw(t, "zone"), rapid.IntRange(0, 3).Draw(t, "leaving") == 0
				e.Started = max(last[name].Started, 5) + int64(rapid.IntRange(0, 1).Draw(t, "restarts"))
				marked[name] = marked[name] && e.Started == last[name].Started
				table.Put(e, now)
				last[name], present[name] = e, true
			case 2:
				table.Remove(name, false, now)
				present[name] = false
			case 3:
				if present[name] {
					table.MarkLeaving(table.records[name].endpoint.ID, false, now)
					marked[name] = true
				}
			case 4:
				evacuated = rapid.SliceOfNDistinct(rapid.SampledFrom(zones), 0, 2, rapid.ID).Draw(t, "evacuated")
				table.SetEvacuated(evacuated, now)
			}
			now = now.Add(100 * time.Millisecond)
			table.Expire(now)
			want, left := map[string]bool{}, 0
			for name, e := range last {
				ready := present[name] && !e.Leaving && !marked[name]
				isOut := len(evacuated) == 2 || len(evacuated) == 1 && evacuated[0] == e.Zone
				want[name] = ready && !isOut
				if ready && isOut {
					left++
				}
				if table.records[name] != nil && table.Withdrawn(table.records[name].endpoint.ID) == want[name] {
					t.Fatalf("%s: ready %t, evacuated %t, withdrawn %t", name, ready, isOut, !want[name])
				}
			}
			listed := map[string]bool{}
			for _, e := range table.Snapshot().Services["lotdesk"] {
				listed[e.Name] = true
			}
			for name := range last {
				if listed[name] != want[name] {
					t.Fatalf("%s: listed %t, expected %t", name, listed[name], want[name])
				}
			}
			if got := table.Snapshot().Evacuated["lotdesk"]; got != left {
				t.Fatalf("%d endpoints count as evacuated, not %d", got, left)
			}
		}
	})
}

// TestEvacuationEnds guards against a zone that is listed as evacuated, or whose endpoints are missing, after the end of its evacuation.
func TestEvacuationEnds(t *testing.T) {
	is := is.New(t)
	table := NewTable(grace)
	table.Put(entry(1), start)
	withdrawn, _ := table.SetEvacuated([]string{"a", "c"}, start)
	is.Equal(len(withdrawn), 1)
	is.True(table.Withdrawn(withdrawn[0]))
	_, ok := table.Endpoint(withdrawn[0])
	is.True(!ok)
	is.Equal(len(table.Zones()), 2)
	_, back := table.SetEvacuated(nil, start)
	is.Equal(back, withdrawn)
	is.Equal(usable(table), 1)
	is.Equal(table.Zones(), []ZoneState{{Zone: "a", Endpoints: 1}})
}
