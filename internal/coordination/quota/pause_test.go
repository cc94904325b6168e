package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
)

// TestPauseCountsOnce guards against a host that takes one pause for two, and refuses requests for twice as long: a call of Tick took its time before the pause
// and waits for the lock while a request ends the pause.
func TestPauseCountsOnce(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	self := peers.Host{Name: "a", Zone: "z", PeerAddress: "127.0.0.1:1"}
	paused := 0
	l := New(Config{Tolerance: tolerance, Host: self.Name, Zone: self.Zone, Limit: func(string) (Limit, bool) { return Limit{PerSecond: 100, Burst: 20, Version: 1}, true },
		Limited: func() []string { return []string{"c"} }, Hosts: func(time.Time) map[string][]peers.Host { return map[string][]peers.Host{"z": {self}} },
		LastMessage: func(string) time.Time { return start }, Quorum: func(time.Time) (int, int) { return 1, 1 }, QuorumWindow: func() time.Duration { return time.Second },
		OnEvent: func(event string, _ ...any) {
			if event == "quota_paused" {
				paused++
			}
		}, Send: func(string, []Request, []Grant) {}}, start)
	acquire := func(at time.Time) Outcome {
		r, _ := l.begin("c", false, at)
		return r.Outcome
	}
	l.Tick(start)
	is.Equal(acquire(start), Granted)
	end := start.Add(pauseLimit + 100*time.Millisecond)
	is.Equal(acquire(end), Unavailable)
	l.Tick(start.Add(time.Millisecond)) // has waited for the lock
	resumed := end.Add(resumeTime)
	is.Equal(acquire(resumed), Granted)
	is.Equal(paused, 1)
}
