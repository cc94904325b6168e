package forward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// TestZoneWithoutEndpoints guards against requests that wait or are refused at a host whose zone has no endpoint of the service.
func TestZoneWithoutEndpoints(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeService(map[string]*fakeUpstream{"a": {duration: usualDuration}, "b": {duration: usualDuration}})
		for _, e := range f.list {
			e.Zone = "b"
		}
		start := time.Now()
		r := f.forwarder(largeBurst).Run(t.Context(), request(false))
		is.Equal(r.Outcome, Answered)
		is.Equal(r.QueueWaits, 0)
		is.True(time.Since(start) <= usualDuration+firstProbeWait)
		time.Sleep(time.Minute)
	})
}

// TestServiceWithoutLoadReports guards against requests that wait for load reports which never come, and against ones that crowd on few
// endpoints: the service states no health path, or its health path answers without a load.
func TestServiceWithoutLoadReports(t *testing.T) {
	for name, path := range map[string]string{"no health path": "", "no load": "/health"} {
		t.Run(name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				ups := map[string]*fakeUpstream{}
				for i := range 10 {
					ups[fmt.Sprint(i)] = &fakeUpstream{duration: usualDuration}
				}
				f := newFakeService(ups)
				for _, u := range ups {
					u.load = placement.Load{}
				}
				fw := f.forwarder(largeBurst)
				fw.cfg.Random = placement.Random
				for range 200 {
					c := request(false)
					c.Service.HealthPath = path
					start := time.Now()
					r := fw.Run(t.Context(), c)
					is.Equal(r.Outcome, Answered)
					is.Equal(r.QueueWaits, 0)
					is.True(time.Since(start) <= usualDuration+firstProbeWait)
				}
				time.Sleep(time.Minute)
				probes := 0
				for _, u := range ups {
					is.True(u.received >= 5 && u.received <= 50) // 20 on average
					probes += u.probes
				}
				is.True(probes <= 4*10) // once each noLoadLifetime of 10 s, in a run of 12 s
			})
		})
	}
}

// replacedSender refuses requests for an incarnation that has ended, as the endpoint that has its address now does.
type replacedSender struct {
	*fakeService
	ended  string
	misses int
}

func (s *replacedSender) Send(ctx context.Context, e endpoints.Endpoint, c *executor.Call) (*executor.Response, error) {
	if e.Incarnation != s.ended {
		return s.fakeService.Send(ctx, e, c)
	}
	s.misses++
	resp, err := refusedResponse()
	resp.Replaced = true
	return resp, err
}

// TestAddressListedTwice guards against refusals, and against requests that go astray again and again, while the list of endpoints holds one
// address twice: the entry of the endpoint that had it before has not been removed yet.
func TestAddressListedTwice(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeService(map[string]*fakeUpstream{"a": {duration: usualDuration}, "b": {duration: usualDuration}})
		old := *f.list[0]
		old.Incarnation, old.Name = "ended", "ended"
		f.list = append(f.list, &registry.Endpoint{Endpoint: old.Endpoint, Name: old.Name})
		s := &replacedSender{fakeService: f, ended: "ended"}
		fw := f.forwarder(largeBurst)
		fw.cfg.Sender, fw.cfg.Random = s, placement.Random
		for range 100 {
			is.Equal(fw.Run(t.Context(), request(false)).Outcome, Answered)
		}
		is.True(s.misses <= 10) // in 6 s; after each, the entry is avoided for up to 2 s
		time.Sleep(time.Minute)
	})
}

// TestFewEndpoints guards against panics, requests that are held, and refusals that say nothing, where a service has no endpoint, one, or one in each
// zone: with a free slot, full, rejecting all requests because their queues are full, and without load reports.
func TestFewEndpoints(t *testing.T) {
	free := placement.Load{Slots: 1, Slowness: 1}
	full := placement.Load{Running: 1, Waiting: 1, Slots: 1, Slowness: 1}
	for _, zones := range [][]string{{}, {"a"}, {"b"}, {"a", "b"}} {
		for _, c := range []struct {
			name string
			up   fakeUpstream
			want Outcome
		}{
			{"free", fakeUpstream{load: free, duration: usualDuration}, Answered},
			{"full", fakeUpstream{load: full, duration: usualDuration}, RefusedTooLate},
			{"rejecting", fakeUpstream{load: free, answer: refusedResponse}, RefusedUpstream},
			{"no load", fakeUpstream{duration: usualDuration}, Answered},
			{"no load, rejecting", fakeUpstream{answer: refusedResponse}, RefusedUpstream},
		} {
			for _, idempotent := range []bool{true, false} {
				t.Run(fmt.Sprint(zones, c.name, idempotent), func(t *testing.T) {
					faketime.Test(t, func(t *testing.T) {
						is := is.New(t)
						ups := map[string]*fakeUpstream{}
						for _, zone := range zones {
							up := c.up
							ups[zone] = &up
						}
						f := newFakeService(ups)
						for _, e := range f.list {
							e.Zone, e.Slots = e.Name, 1
							f.ups[e.Name].load = c.up.load
						}
						want := c.want
						if len(zones) == 0 {
							want = RefusedNoEndpoint
						}
						fw := f.forwarder(largeBurst)
						fw.cfg.Random = placement.Random
						for range 20 {
							call := request(idempotent)
							start := time.Now()
							r := fw.Run(t.Context(), call)
							is.Equal(r.Outcome, want)
							is.True(time.Since(start) <= call.Route.TargetLatency)
							is.Equal(r.Outcome.GuaranteesNotRun(), want != Answered)
							is.Equal(r.RetryAfter > 0, want != Answered)
							time.Sleep(100 * time.Millisecond)
						}
						time.Sleep(time.Minute)
					})
				})
			}
		}
	}
}
