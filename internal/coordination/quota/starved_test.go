package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/lateness"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// starve lets a host run for a part of each tenth of a second only. Its timers run before it reads what has arrived.
func (s *simulation) starve(h *simHost, part time.Duration) {
	h.frozen = true
	s.After(100*time.Millisecond-part, func() {
		h.pending, h.timers = append(h.timers, h.pending...), nil
		h.thaw()
		s.After(part, func() { s.starve(h, part) })
	})
}

// TestStarvedHostsDoubtThemselves guards against hosts that get the processor for a sixth of the time, in slices, and take coordinators that have answered for
// silent: they would ask further hosts, and take the place of the coordinator.
func TestStarvedHostsDoubtThemselves(t *testing.T) {
	is := is.New(t)
	s := newSimulation(4, 12, 3, 0)
	s.RunFor(5 * time.Second)
	for _, h := range s.hosts[s.large():] {
		s.starve(h, 16*time.Millisecond)
	}
	for i := range 6 {
		c := s.add(string(rune('a'+i)), 100, 50, 0)
		for _, h := range s.hosts[s.large():] {
			for n := range 100 {
				s.After(time.Duration(n)*37*time.Millisecond, func() { s.request(c, h, s.Now) })
			}
		}
	}
	s.RunFor(5 * time.Second)
	sent := 0
	for _, c := range s.customers {
		sent += c.sent
	}
	begun := 0
	for _, h := range s.hosts[s.large():] {
		begun += len(h.limiter.coordinated)
	}
	t.Logf("%d requests, messages %v, %d customers coordinated by starved hosts, %d second hosts asked", sent, s.messages, begun, s.secondAsked)
	is.Equal(s.secondAsked, 0)
	is.Equal(begun, 0)
}

// TestStarvedHostWaitsForGrant guards against requests that are refused because the host had no processor to read the grant.
func TestStarvedHostWaitsForGrant(t *testing.T) {
	for name, c := range map[string]struct {
		late, grant time.Duration
		want        Outcome
		took        time.Duration
	}{
		"late":            {late: 120 * time.Millisecond, grant: 250 * time.Millisecond, want: Granted, took: 250 * time.Millisecond},
		"late, no grant":  {late: 120 * time.Millisecond, grant: time.Hour, want: Unavailable, took: 320 * time.Millisecond},
		"not late at all": {grant: 250 * time.Millisecond, want: Unavailable, took: 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				coordinator := peers.Host{Name: "b", Zone: "z", PeerAddress: "b:1"}
				var meter lateness.Meter
				var l *Limiter
				var asked []Request
				l = New(Config{Tolerance: tolerance, Host: "a", Zone: "z", Lateness: &meter, Limited: func() []string { return []string{"norte"} },
					Limit:       func(string) (Limit, bool) { return Limit{10, 10, 1}, true },
					Hosts:       func(time.Time) map[string][]peers.Host { return map[string][]peers.Host{"z": {coordinator}} },
					LastMessage: func(string) time.Time { return time.Time{} }, Quorum: func(time.Time) (int, int) { return 2, 2 },
					QuorumWindow: func() time.Duration { return time.Second }, OnEvent: func(string, ...any) {},
					Send: func(_ string, r []Request, _ []Grant) { asked = append(asked, r...) }}, time.Now())
				start := time.Now()
				time.AfterFunc(150*time.Millisecond, func() { meter.Observe(start.Add(150*time.Millisecond-c.late), start.Add(150*time.Millisecond)) })
				grant := time.AfterFunc(c.grant, func() {
					l.HandleGrant(Grant{Customer: "norte", Number: asked[0].Number, Permits: 1, PerSecond: 10, Burst: 10, Version: 1}, Sender{"b", "b:1"}, time.Now())
				})
				defer grant.Stop()
				is.Equal(l.Acquire(t.Context(), "norte", false, 200*time.Millisecond, 400*time.Millisecond).Outcome, c.want)
				is.Equal(time.Since(start), c.took)
			})
		})
	}
}
