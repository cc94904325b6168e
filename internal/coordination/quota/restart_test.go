package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
)

// TestRequestsAfterClockStep guards against a coordinator that takes all requests of a restarted host for copies because the time of day was set back, so that
// their numbers, which begin with the time of the start, are below those of its last process.
func TestRequestsAfterClockStep(t *testing.T) {
	is := is.New(t)
	limit := Limit{PerSecond: 100, Burst: 20, Version: 1}
	self := peers.Host{Name: "a", Zone: "z", PeerAddress: "127.0.0.1:1"}
	start := time.Now()
	answers := 0
	l := New(Config{Tolerance: tolerance, Host: self.Name, Zone: self.Zone, Limit: func(string) (Limit, bool) { return limit, true }, Limited: func() []string { return []string{"c"} },
		Hosts: func(time.Time) map[string][]peers.Host { return map[string][]peers.Host{"z": {self}} }, LastMessage: func(string) time.Time { return start },
		Quorum: func(time.Time) (int, int) { return 1, 1 }, QuorumWindow: func() time.Duration { return time.Second }, OnEvent: func(string, ...any) {},
		Send: func(_ string, _ []Request, grants []Grant) { answers += len(grants) }}, start)
	request := func(number uint64) int {
		before := answers
		l.HandleRequest(Request{Customer: "c", Number: number, Want: 1}, Sender{"b", "127.0.0.1:2"}, start)
		return answers - before
	}
	first := New(Config{}, start.Add(2*time.Second)).lastNumber
	is.Equal(request(first+1), 1)
	is.Equal(request(first+1), 0) // a copy
	is.Equal(request(first+2000), 1)
	is.Equal(request(first+2), 0) // delayed
	restarted := New(Config{}, start).lastNumber
	is.Equal(request(restarted+1), 1)
	is.Equal(request(restarted+1), 0)
}
