package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
)

// TestChangedLimitBesideEarlierRequest guards against a coordinator that panics when a customer's limit changes while requests wait for its lock: they
// come with times before the change. In a request of a caller this cost an answer; in a message of another host it ended the process, and with it all
// requests that were unanswered.
func TestChangedLimitBesideEarlierRequest(t *testing.T) {
	is := is.New(t)
	limit := Limit{PerSecond: 100, Burst: 20, Version: 1}
	self := peers.Host{Name: "a", Zone: "z", PeerAddress: "127.0.0.1:1"}
	start := time.Now()
	granted := 0
	l := New(Config{Tolerance: tolerance, Host: self.Name, Zone: self.Zone, Limit: func(string) (Limit, bool) { return limit, true }, Limited: func() []string { return []string{"c"} },
		Hosts: func(time.Time) map[string][]peers.Host { return map[string][]peers.Host{"z": {self}} }, LastMessage: func(string) time.Time { return start },
		Quorum: func(time.Time) (int, int) { return 1, 1 }, QuorumWindow: func() time.Duration { return time.Second }, OnEvent: func(string, ...any) {},
		Send: func(_ string, _ []Request, grants []Grant) {
			for _, g := range grants {
				granted += g.Permits
			}
		}}, start)
	acquire := func(at time.Duration) Outcome {
		r, _ := l.begin("c", false, start.Add(at))
		return r.Outcome
	}
	tick := func(from, to time.Duration) {
		for at := from; at <= to; at += 50 * time.Millisecond {
			l.Tick(start.Add(at))
		}
	}
	tick(0, time.Second)
	is.Equal(acquire(time.Second), Granted)
	tick(time.Second, 1400*time.Millisecond)
	limit = Limit{PerSecond: 200, Burst: 40, Version: 2}
	is.Equal(acquire(1400*time.Millisecond), Granted)
	is.Equal(acquire(1200*time.Millisecond), Granted) // waited for the lock
	l.HandleRequest(Request{Customer: "c", Number: 1, Want: 2}, Sender{"b", "127.0.0.1:2"}, start.Add(1250*time.Millisecond))
	is.Equal(granted, 2)
	state := l.State("c", start.Add(1100*time.Millisecond))
	is.True(*state.Tokens > 0)
	l.Tick(start.Add(1300 * time.Millisecond))
}
