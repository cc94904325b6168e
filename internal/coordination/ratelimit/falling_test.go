package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/ratelimits"
)

// TestReservedPermitsUnderLowerLimit guards against permits that were reserved under a limit of 40 and are used after it has fallen to 2: 200
// requests a second reserve permits for the next two seconds. Until half a second after the fall the higher limit counts. The lower one is used
// soon, although two seconds of permits were reserved before.
func TestReservedPermitsUnderLowerLimit(t *testing.T) {
	const high, low, told = 40.0, 2.0, 500 * time.Millisecond
	for seed := range uint64(5) {
		is := is.New(t)
		s := newSimulation(seed, 6, 3, 0)
		for _, h := range s.hosts {
			h.perSecond, h.maxWait = 200.0/6, 2*time.Second
		}
		s.limit = high
		s.RunFor(8 * time.Second)
		s.limit = low
		fallen := s.Now
		s.RunFor(2 * window)
		got := s.most(fallen)
		allowed := limitFactor*(high*told.Seconds()+low*(window-told).Seconds()) + allowance
		after := 0
		for _, a := range s.arrivals {
			if a.at.After(fallen.Add(told)) && a.at.Before(fallen.Add(told+window)) {
				after++
			}
		}
		t.Logf("seed %d: %d in %v after the fall, allowed %.0f; %d after %v", seed, got, window, allowed, after, told)
		is.True(float64(got) <= allowed)
		is.True(after <= int(limitFactor*low*window.Seconds())+allowance)
		is.True(after >= int(low*window.Seconds()/2))
	}
}

// TestVoidPermitsStayVoid guards against permits of a higher limit that are used again after the limit has fallen and risen, and against a
// grant under the higher limit that arrives after the fall.
func TestVoidPermitsStayVoid(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 1, 1, 0)
	h, id := s.hosts[0], s.endpoint.ID
	s.RunFor(3 * time.Second)
	name := func(perSecond float64) {
		s.RunFor(10 * time.Millisecond)
		h.limiter.RecordResponse(id, ratelimits.Statement{PerSecond: perSecond, SentAt: s.Now.Add(-time.Millisecond), AnsweredAt: s.Now})
	}
	stocked := func(perSecond float64) bool {
		h.limiter.mu.Lock()
		defer h.limiter.mu.Unlock()
		st := &stock{}
		h.limiter.stocks[id] = st
		h.limiter.add(st, id, grant{permits: 1, perSecond: perSecond}, s.Now)
		return st.valid(s.Now) == 1
	}
	name(40)
	is.True(stocked(40))
	name(2)
	name(40)
	is.True(!h.limiter.Take(id, s.Now))
	is.True(stocked(2)) // a rise makes nothing void
	is.True(h.limiter.Take(id, s.Now))
	name(2)
	is.True(!stocked(40))
}
