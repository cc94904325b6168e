package registry

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
)

const grace = 2 * time.Second

var start = time.Unix(1000, 0)

func entry(sequence int64) Entry {
	return Entry{Name: "i-1", Started: 5, Sequence: sequence, Service: "lotdesk", Address: "10.0.0.1:80", Zone: "a", Slots: 2}
}

func usable(t *Table) int { return t.Snapshot().Total }

// TestLateEntries guards against an older entry that arrives late and replaces a newer one.
func TestLateEntries(t *testing.T) {
	is := is.New(t)
	table := NewTable(grace)
	is.True(table.Put(entry(4), start) != nil)
	leaving := entry(5)
	leaving.Leaving = true
	is.True(table.Put(leaving, start) != nil)
	is.Equal(usable(table), 0)
	is.Equal(table.Put(entry(4), start), nil)
	is.Equal(usable(table), 0)
}

// TestHighSequenceOfAnotherWriter guards against an entry of another writer whose sequence number keeps the endpoint's own entries out until they
// have passed it.
func TestHighSequenceOfAnotherWriter(t *testing.T) {
	for _, ahead := range []int64{4, maxLateEntries, 1 << 40} {
		is := is.New(t)
		table := NewTable(grace)
		table.Put(entry(10), start)
		foreign := entry(10 + ahead)
		foreign.Leaving = true
		table.Put(foreign, start)
		is.Equal(usable(table), 0)
		now := start
		for n := int64(11); usable(table) == 0; n++ {
			is.True(n < 14)
			now = now.Add(1500 * time.Millisecond)
			table.Put(entry(n), now)
		}
	}
}

// TestRestartUnderSameName guards against entries that are ignored after an endpoint restarts under the same name, because its
// sequence numbers begin again. The restarted endpoint must be a new incarnation, so that no state of the earlier one applies to it.
func TestRestartUnderSameName(t *testing.T) {
	is := is.New(t)
	table := NewTable(grace)
	table.Put(entry(40), start)
	before := table.Snapshot().Services["lotdesk"][0].ID
	restarted := entry(0)
	restarted.Started = 6
	is.True(table.Put(restarted, start) != nil)
	is.True(table.Snapshot().Services["lotdesk"][0].ID != before)
	is.Equal(table.Put(entry(41), start), nil) // a late entry of the earlier start
}

// TestRenewalIsNoChange guards against a new snapshot, and so a message to all hosts, for each renewal of an entry.
func TestRenewalIsNoChange(t *testing.T) {
	is := is.New(t)
	table := NewTable(grace)
	table.Put(entry(1), start)
	version := table.Snapshot().Version
	is.Equal(table.Put(entry(2), start), nil)
	is.Equal(table.Snapshot().Version, version)
}

// TestRemoval guards against an endpoint that stays usable after its entry was removed, or that an older entry adds again.
func TestRemoval(t *testing.T) {
	is := is.New(t)
	table := NewTable(grace)
	table.Put(entry(1), start)
	is.True(table.Remove("i-1", false, start) != nil)
	is.Equal(usable(table), 0)
	is.Equal(table.Put(entry(0), start), nil)
	is.Equal(table.Remove("i-1", false, start), nil)
	is.True(table.Put(entry(2), start) != nil) // a newer entry shows that the endpoint is alive
	is.Equal(usable(table), 1)
}

// TestLapseDuringStoreOutage guards against losing all endpoints because of an outage of the store. An entry that lapsed in that time
// stays usable for the grace period after the store is available again, and is then removed.
func TestLapseDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	table := NewTable(grace)
	table.Put(entry(1), start)
	is.True(table.Remove("i-1", true, start) != nil)
	is.Equal(usable(table), 1)
	is.Equal(len(table.Expire(start.Add(grace-1))), 0)
	table.RestartGracePeriods(start.Add(time.Second)) // the store is unavailable again
	is.Equal(len(table.Expire(start.Add(grace))), 0)
	is.Equal(len(table.Expire(start.Add(time.Second+grace))), 1)
	is.Equal(usable(table), 0)
}

// TestLapsedEntryReturns guards against an endpoint that is removed although it renewed its lapsed entry within the grace period.
func TestLapsedEntryReturns(t *testing.T) {
	is := is.New(t)
	table := NewTable(grace)
	table.Put(entry(1), start)
	table.Remove("i-1", true, start)
	table.Put(entry(2), start.Add(time.Second))
	is.Equal(len(table.Expire(start.Add(time.Minute))), 0)
	is.Equal(usable(table), 1)
}

// TestRetain guards against an endpoint that stays usable although a full read of the store does not contain it.
func TestRetain(t *testing.T) {
	is := is.New(t)
	table := NewTable(grace)
	other := entry(1)
	other.Name, other.Address = "i-2", "10.0.0.2:80"
	table.Put(entry(1), start)
	table.Put(other, start)
	changes := table.Retain(map[string]bool{"i-2": true}, false, start)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Name, "i-1")
	is.Equal(usable(table), 1)
}

// TestSnapshotProperties checks that a snapshot holds the usable endpoints after all changes before it, ordered by name, and that later
// changes do not alter it.
func TestSnapshotProperties(t *testing.T) {
	type endpoint struct{ name, service, address string }
	contents := func(s *Snapshot) []endpoint {
		var all []endpoint
		for _, service := range []string{"s0", "s1", "s2"} {
			for _, e := range s.Services[service] {
				all = append(all, endpoint{e.Name, e.Service, e.Address})
			}
		}
		return all
	}
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(grace)
		model := map[string]endpoint{}
		type read struct {
			snapshot *Snapshot
			want     []endpoint
		}
		var reads []read
		for n := range rapid.IntRange(1, 60).Draw(t, "changes") {
			name := fmt.Sprint("i-", rapid.IntRange(0, 9).Draw(t, "name"))
			switch rapid.SampledFrom([]string{"put", "put", "put", "leave", "remove", "read"}).Draw(t, "change") {
			case "put":
				e := endpoint{name, fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "service")), fmt.Sprint("10.0.0.1:", rapid.IntRange(1, 2).Draw(t, "port"))}
				table.Put(Entry{Name: name, Sequence: int64(n), Service: e.service, Address: e.address, Slots: 1}, start)
				model[name] = e
			case "leave":
				table.Put(Entry{Name: name, Sequence: int64(n), Service: "s0", Address: "10.0.0.1:1", Slots: 1, Leaving: true}, start)
				delete(model, name)
			case "remove":
				table.Remove(name, false, start)
				delete(model, name)
			case "read":
				var want []endpoint
				for _, service := range []string{"s0", "s1", "s2"} {
					for i := range 10 {
						if e, ok := model[fmt.Sprint("i-", i)]; ok && e.service == service {
							want = append(want, e)
						}
					}
				}
				s := table.Snapshot()
				if s.Total != len(want) || s.Version != table.Version() {
					t.Fatalf("total %d of %d endpoints, version %d of %d", s.Total, len(want), s.Version, table.Version())
				}
				reads = append(reads, read{s, want})
			}
		}
		for _, r := range reads {
			if got := contents(r.snapshot); !reflect.DeepEqual(got, r.want) {
				t.Fatalf("snapshot holds %v, want %v", got, r.want)
			}
			for service, list := range r.snapshot.Services {
				if len(list) == 0 {
					t.Fatalf("empty list of %s", service)
				}
			}
		}
	})
}

// TestReadsDuringChanges guards against data races of readers with changes, and against snapshots that go back in time.
func TestReadsDuringChanges(t *testing.T) {
	is := is.New(t)
	table := NewTable(grace)
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		for n := range 2000 {
			table.Put(numbered(n%50), start)
			table.Remove(fmt.Sprint("i-", (n+25)%50), false, start)
		}
	}()
	version := uint64(0)
	for done := false; !done; {
		select {
		case <-changed:
			done = true
		default:
		}
		s := table.Snapshot()
		is.True(s.Version >= version)
		is.Equal(len(s.Services["lotdesk"]), s.Total)
		version = s.Version
	}
	is.Equal(table.Snapshot().Version, table.Version())
}

// TestColdAgain guards against an endpoint whose entry says that it is slow again after its warm-up, or for longer, and that counts as warm: on the host
// that reads the entries, and on others, which do not get entries that only renew the last one.
func TestColdAgain(t *testing.T) {
	is := is.New(t)
	warming := func(sequence int64, left time.Duration) Entry {
		e := entry(sequence)
		e.WarmUp = left
		return e
	}
	is.True(warming(3, time.Second).Renews(warming(2, 2500*time.Millisecond)))
	is.True(warming(2, 2500*time.Millisecond).Renews(warming(3, time.Second)))
	is.True(!warming(3, 2*time.Second).Renews(warming(2, time.Second)))
	is.True(!warming(2, time.Second).Renews(warming(3, 2*time.Second)))
	table := NewTable(grace)
	end := func() time.Duration { return table.Snapshot().Services["lotdesk"][0].WarmUpEnd.Sub(start) }
	table.Put(warming(1, 3*time.Second), start)
	is.Equal(table.Put(warming(2, 1500*time.Millisecond), start.Add(1500*time.Millisecond)), nil)
	is.Equal(end(), 3*time.Second)
	is.True(table.Put(warming(4, 3*time.Second), start.Add(2*time.Second)) != nil)
	is.Equal(end(), 5*time.Second)
}

// TestLateStartOfAnotherWriter guards against an entry of another writer whose start time is so late that the endpoint's own entries count as those of
// an earlier process for ever. Those of an earlier process that end while the later one renews its entry must not count.
func TestLateStartOfAnotherWriter(t *testing.T) {
	is := is.New(t)
	table := NewTable(grace)
	table.Put(entry(10), start)
	foreign := entry(1)
	foreign.Started, foreign.Leaving = math.MaxInt64, true
	table.Put(foreign, start)
	is.Equal(usable(table), 0)
	now := start
	for n := int64(11); usable(table) == 0; n++ {
		is.True(n < 15)
		now = now.Add(1500 * time.Millisecond)
		table.Put(entry(n), now)
	}
	is.True(now.Sub(start) > lateEntrySpan)

	restarted := entry(0)
	restarted.Started, restarted.Address = 6, "10.0.0.1:81"
	for n := range int64(10) { // both processes write
		now = now.Add(1500 * time.Millisecond)
		restarted.Sequence = n
		table.Put(restarted, now)
		is.Equal(table.Put(entry(20+n), now), nil)
		is.Equal(table.Snapshot().Services["lotdesk"][0].Address, restarted.Address)
	}
}
