package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/ratelimits"
)

// coldRequest returns a request of a service whose endpoints take few requests while they are cold.
func coldRequest(target time.Duration) *Call {
	c := request(true)
	c.Service.ColdPerSecond = 5
	c.Route.TargetLatency, c.Due = target, c.Arrived.Add(4*target)
	return c
}

// coldZone returns a forwarder of a host whose own zone has the cold endpoints x and y, and another zone the endpoint other, and the table that says that.
func coldZone(f *fakeService, coldTime time.Duration) (*Forwarder, *ratelimits.Table) {
	limits := ratelimits.NewTable()
	now := time.Now()
	for _, e := range f.list {
		if e.Name == "other" {
			e.Zone = "b"
			continue
		}
		limits.RecordCold(e.ID, ratelimits.Cold{PerSecond: 5, Until: now.Add(coldTime)}, now)
	}
	return f.forwarderWithLimits(limits), limits
}

// TestColdZoneIsUsed guards against a zone whose endpoints are all cold and get nothing, so that its requests displace those of other zones, and against
// requests that are late because they go to a cold endpoint although another zone has room.
func TestColdZoneIsUsed(t *testing.T) {
	for _, c := range []struct {
		name   string
		target time.Duration
		cold   bool // cold endpoints are used
	}{{"much time", 2 * time.Second, true}, {"little time", 60 * time.Millisecond, false}} {
		t.Run(c.name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				ups := map[string]*fakeUpstream{"x": {duration: 40 * time.Millisecond}, "y": {duration: 40 * time.Millisecond},
					"other": {duration: 20 * time.Millisecond, load: placement.Load{Slots: 8}}}
				f := newFakeService(ups)
				fwd, _ := coldZone(f, 10*time.Second)
				ended := make(chan Outcome)
				const number = 200
				for n := range number {
					time.AfterFunc(time.Duration(n)*20*time.Millisecond, func() { ended <- fwd.Run(t.Context(), coldRequest(c.target)).Outcome })
				}
				for range number {
					is.Equal(<-ended, Answered)
				}
				cold := ups["x"].received + ups["y"].received
				t.Logf("%d of %d requests went to cold endpoints, %d elsewhere", cold, number, ups["other"].received)
				is.True(cold <= 2*(5*4+2)) // 5 a second and a burst at each of them in 4 s
				is.Equal(cold > 25, c.cold)
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestCheckBeforeRequest guards against a request to an endpoint that may have started again, and is cold, before a health check has shown that. The
// endpoints report no load, so that requests are sent without probes otherwise.
func TestCheckBeforeRequest(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &fakeUpstream{duration: 5 * time.Millisecond}
		f := newFakeService(map[string]*fakeUpstream{"x": u})
		fwd := f.forwarderWithLimits(ratelimits.NewTable())
		stats, e := fwd.cfg.EndpointStats, f.list[0]
		run := func() Outcome {
			stats.RecordLoad(e.Endpoint, placement.Load{}, time.Now())
			return fwd.Run(t.Context(), coldRequest(100*time.Millisecond)).Outcome
		}
		is.Equal(run(), Answered)
		is.Equal(u.probes, 1) // the endpoint has not answered yet
		stats.RecordContact(e.ID, time.Now())
		time.Sleep(100 * time.Millisecond)
		is.Equal(run(), Answered)
		is.Equal(u.probes, 1) // it has answered recently
		stats.RecordContactLost(e.ID, time.Now())
		is.Equal(run(), Answered)
		is.Equal(u.probes, 2)
		stats.RecordContact(e.ID, time.Now())
		time.Sleep(6 * time.Second)
		is.Equal(run(), Answered)
		is.Equal(u.probes, 3) // the answer is too old
		u.silent = true
		stats.RecordContactLost(e.ID, time.Now())
		received := u.received
		is.True(run() != Answered)
		is.Equal(u.received, received)
		time.Sleep(time.Minute)
	})
}

// TestColdTimeEnds guards against an endpoint that needs permits after it has become warm.
func TestColdTimeEnds(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &fakeUpstream{duration: 5 * time.Millisecond}
		f := newFakeService(map[string]*fakeUpstream{"x": u})
		fwd, limits := coldZone(f, time.Second)
		is.Equal(limits.Effective(f.list[0].ID, time.Now()), 5.0)
		time.Sleep(time.Second)
		for range 50 {
			is.Equal(fwd.Run(t.Context(), coldRequest(100*time.Millisecond)).Outcome, Answered)
		}
		time.Sleep(time.Minute)
	})
}
