package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/ratelimits"
)

// TestStatementsHaveValidAges guards against messages that their receivers reject whole, among them heartbeats: an endpoint may have answered after the time
// that the sender took before it waited for a lock or a processor, or not for a day.
func TestStatementsHaveValidAges(t *testing.T) {
	is := is.New(t)
	now, id := time.Now(), endpoints.ID{Address: "127.0.0.1:1", Incarnation: "i"}
	for _, answered := range []time.Duration{50 * time.Millisecond, 0, -time.Second, -48 * time.Hour} {
		for _, took := range []time.Duration{0, 5 * time.Millisecond, time.Minute} {
			at := now.Add(answered)
			s := NewStatement(id, ratelimits.Statement{PerSecond: 5, SentAt: at.Add(-took), AnsweredAt: at}, now)
			is.NoErr(s.Check())
		}
	}
}

// TestPermitRequestsHaveValidWaits guards against requests for permits that the coordinator's host rejects, because no time is left or very much.
func TestPermitRequestsHaveValidWaits(t *testing.T) {
	is := is.New(t)
	now, id := time.Now(), endpoints.ID{Address: "127.0.0.1:1", Incarnation: "i"}
	for _, maxWait := range []time.Duration{-time.Second, 0, 24 * time.Hour} {
		limits := ratelimits.NewTable()
		limits.Record(id, ratelimits.Statement{PerSecond: 5, SentAt: now, AnsweredAt: now})
		var sent []Request
		l := New(Config{Limits: limits, Hosts: func() int { return 2 }, SendRequest: func(_ string, r Request) { sent = append(sent, r) },
			Coordinator: func(string, endpoints.ID, int, time.Time) (peers.Host, bool, bool) { return peers.Host{}, false, true }})
		l.request(endpoints.Endpoint{ID: id, Zone: "z"}, maxWait, now)
		for i := range sent {
			is.NoErr(sent[i].Check())
		}
	}
}
