package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const grace = 2 * time.Second

var start = time.Unix(1000, 0)

func entry(sequence int64) Entry {
	return Entry{Name: "i-1", Started: 5, Sequence: sequence, Service: "lotdesk", Address: "10.0.0.1:80", Zone: "a", Slots: 2}
}

func usable(t *Table) int { return t.Snapshot().Total }

// TestLateEntries guards against entries that arrive late: they do not bring back what the endpoint said before.
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

// TestRestartUnderSameName guards against an endpoint that starts again under its name: its counts start anew, and it is another
// incarnation, so that nothing of the earlier one applies to it.
func TestRestartUnderSameName(t *testing.T) {
	is := is.New(t)
	table := NewTable(grace)
	table.Put(entry(40), start)
	before := table.Snapshot().Services["lotdesk"][0].ID
	again := entry(0)
	again.Started = 6
	is.True(table.Put(again, start) != nil)
	is.True(table.Snapshot().Services["lotdesk"][0].ID != before)
	is.Equal(table.Put(entry(41), start), nil) // a late entry of the earlier start
}

// TestRenewalIsNoChange guards against a new snapshot, and a message to all hosts, for each renewal.
func TestRenewalIsNoChange(t *testing.T) {
	is := is.New(t)
	table := NewTable(grace)
	table.Put(entry(1), start)
	version := table.Snapshot().Version
	is.Equal(table.Put(entry(2), start), nil)
	is.Equal(table.Snapshot().Version, version)
}

// TestRemoval guards against an endpoint that is kept after its entry was removed, or that a late entry brings back.
func TestRemoval(t *testing.T) {
	is := is.New(t)
	table := NewTable(grace)
	table.Put(entry(1), start)
	is.True(table.Remove("i-1", false, start) != nil)
	is.Equal(usable(table), 0)
	is.Equal(table.Put(entry(0), start), nil)
	is.Equal(table.Remove("i-1", false, start), nil)
	is.True(table.Put(entry(2), start) != nil) // the endpoint lives after all
	is.Equal(usable(table), 1)
}

// TestLapseWhileStoreAway guards against losing all endpoints because the store was away: an entry that lapsed meanwhile is trusted for
// the grace time after the store's return, and then taken as gone.
func TestLapseWhileStoreAway(t *testing.T) {
	is := is.New(t)
	table := NewTable(grace)
	table.Put(entry(1), start)
	is.True(table.Remove("i-1", true, start) != nil)
	is.Equal(usable(table), 1)
	is.Equal(len(table.Expire(start.Add(grace-1))), 0)
	table.Hold(start.Add(time.Second)) // the store is away again
	is.Equal(len(table.Expire(start.Add(grace))), 0)
	is.Equal(len(table.Expire(start.Add(time.Second+grace))), 1)
	is.Equal(usable(table), 0)
}

// TestLapsedEntryReturns guards against an endpoint that is dropped although it renewed its entry in time.
func TestLapsedEntryReturns(t *testing.T) {
	is := is.New(t)
	table := NewTable(grace)
	table.Put(entry(1), start)
	table.Remove("i-1", true, start)
	table.Put(entry(2), start.Add(time.Second))
	is.Equal(len(table.Expire(start.Add(time.Minute))), 0)
	is.Equal(usable(table), 1)
}

// TestRetain guards a full read: what it does not list is gone.
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
