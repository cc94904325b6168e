package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/coordination/ratelimit"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/ratelimits"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// limitedForwarder returns a forwarder of a host that coordinates the endpoints' limits. named is the limit of each endpoint.
func (f *fakeService) limitedForwarder(named map[string]float64) *Forwarder {
	limits := ratelimits.NewTable()
	now := time.Now()
	for name, perSecond := range named {
		limits.Record(endpoints.ID{Address: name, Incarnation: name}, ratelimits.Statement{PerSecond: perSecond, SentAt: now.Add(-time.Second), AnsweredAt: now})
	}
	return f.forwarderWithLimits(limits)
}

// forwarderWithLimits returns a forwarder of a host that coordinates the endpoints in a table.
func (f *fakeService) forwarderWithLimits(limits *ratelimits.Table) *Forwarder {
	limiter := ratelimit.New(ratelimit.Config{Limits: limits, Hosts: func() int { return 1 },
		Coordinator: func(string, endpoints.ID, int, time.Time) (peers.Host, bool, bool) { return peers.Host{}, true, true }})
	cfg := placement.DefaultConfig()
	cfg.Zone, cfg.RateLimiter = "a", limiter
	snapshot := &registry.Snapshot{Services: map[string][]*registry.Endpoint{"lotdesk": f.list}, Total: len(f.list)}
	return New(Config{Sender: f, Prober: f, EndpointStats: placement.NewEndpointStats(cfg), RateLimiter: limiter,
		RepeatLimiter: placement.NewRepeatLimiter(placement.RepeatBudget{Burst: largeBurst, Window: 10 * time.Second}, func() int { return 1 }),
		ProbeBudget:   placement.NewProbeBudget(func() float64 { return 1e6 }), Endpoints: func() *registry.Snapshot { return snapshot },
		Random: func(int) int { return 0 }})
}

// runEvery forwards a request at each interval for a time, and returns the results in the order of the requests.
func runEvery(t *testing.T, f *Forwarder, interval, length time.Duration) []*Result {
	var results []*Result
	ended := make(chan struct{})
	n := int(length / interval)
	for i := range n {
		r := &Result{}
		results = append(results, r)
		time.AfterFunc(time.Duration(i)*interval, func() {
			*r = *f.Run(context.Background(), request(true))
			ended <- struct{}{}
		})
	}
	for range n {
		<-ended
	}
	return results
}

// TestLimitCountsAllRequests guards against load probes, hedges and repeats that reach an endpoint beyond its limit. Half of the requests to the
// other endpoint fail or are slow, so that they are repeated and hedged.
func TestLimitCountsAllRequests(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		limited, other := &fakeUpstream{duration: 20 * time.Millisecond}, &fakeUpstream{}
		f := newFakeService(map[string]*fakeUpstream{"limited": limited, "other": other})
		fwd := f.limitedForwarder(map[string]float64{"limited": 4})
		for i, status := range []int{http.StatusInternalServerError, http.StatusOK} {
			f.mu.Lock()
			other.answer = nil
			other.duration = 150 * time.Millisecond * time.Duration(i)
			if status != http.StatusOK {
				other.answer = func() (*executor.Response, error) { return completeResponse(status, "failed") }
			}
			limited.received, limited.probes = 0, 0
			f.mu.Unlock()
			runEvery(t, fwd, 10*time.Millisecond, 5*time.Second)
			t.Logf("status %d: %d requests and %d probes", status, limited.received, limited.probes)
			is.True(limited.received+limited.probes <= 4*5+1)
			is.True(limited.received >= 4*5/2) // the share is used
		}
	})
}

// TestUnusedLimitedEndpoint guards against requests to an endpoint in need while another one has room.
func TestUnusedLimitedEndpoint(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		limited, other := &fakeUpstream{duration: 20 * time.Millisecond}, &fakeUpstream{duration: 20 * time.Millisecond}
		f := newFakeService(map[string]*fakeUpstream{"limited": limited, "other": other})
		for _, r := range runEvery(t, f.limitedForwarder(map[string]float64{"limited": 4}), 50*time.Millisecond, 2*time.Second) {
			is.Equal(r.Outcome, Answered)
		}
		is.Equal(limited.received+limited.probes, 0)
	})
}

// TestLimitsAreUsedUp guards against requests that wait although no permit is to be had in time, and against permits that go unused while requests
// are refused. Both endpoints are limited, and more requests come than they take.
func TestLimitsAreUsedUp(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		ups := map[string]*fakeUpstream{"x": {duration: 5 * time.Millisecond}, "y": {duration: 5 * time.Millisecond}}
		f := newFakeService(ups)
		answered, refused := 0, 0
		for _, r := range runEvery(t, f.limitedForwarder(map[string]float64{"x": 10, "y": 5}), 10*time.Millisecond, 4*time.Second) {
			switch r.Outcome {
			case Answered:
				answered++
			case RefusedAllLimited:
				refused++
				is.True(r.RetryAfter > 0 && r.RetryAfter < time.Second)
				is.Equal(r.QueueWaits, 0) // at once
			default:
				t.Fatal(r.Outcome)
			}
		}
		t.Logf("%d answered, %d refused", answered, refused)
		is.True(answered >= 15*4*8/10)
		is.True(ups["x"].received <= 10*4+3 && ups["y"].received <= 5*4+2)
	})
}

// TestNoPermitsAtZero guards against requests to an endpoint whose limit is 0, but for the rare ones that show whether it takes requests again.
func TestNoPermitsAtZero(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &fakeUpstream{duration: 5 * time.Millisecond}
		f := newFakeService(map[string]*fakeUpstream{"x": u})
		refused := 0
		for _, r := range runEvery(t, f.limitedForwarder(map[string]float64{"x": 0}), 50*time.Millisecond, 8*time.Second) {
			if r.Outcome == RefusedAllLimited {
				refused++
			}
		}
		is.True(u.received+u.probes <= 3)
		is.True(refused > 100)
	})
}
