package peers

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRestartAfterClockStep guards against a host that the others ignore after its restart because the time of day was set back meanwhile, so that its start
// appears to be before that of its last process.
func TestRestartAfterClockStep(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewTable(DefaultConfig(Host{Name: "a", Zone: "z", PeerAddress: "127.0.0.1:1"}))
	first := Host{Name: "b", Zone: "z", PeerAddress: "127.0.0.1:2", Started: 100_000}
	table.RecordMessage(first, Status{Ready: true}, now)
	is.Equal(table.LiveZonePeers(now), []string{"b"})
	again := first
	again.Started = 95_000
	is.True(!table.RecordMessage(again, Status{Ready: true}, now.Add(100*time.Millisecond))) // may be a late message of an earlier process
	later := now.Add(3 * time.Second)
	is.True(table.RecordMessage(again, Status{Ready: true}, later))
	is.Equal(table.LiveZonePeers(later), []string{"b"})
}
