package forward

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// twoZones returns a service with endpoints of the host's zone, named own..., and as many of another, named neighbour..., all with the same load.
func twoZones(count int, load placement.Load) *fakeService {
	ups := map[string]*fakeUpstream{}
	for i := range count {
		ups[fmt.Sprint("own", i)] = &fakeUpstream{load: load, duration: usualDuration}
		ups[fmt.Sprint("neighbour", i)] = &fakeUpstream{load: load, duration: usualDuration}
	}
	f := newFakeService(ups)
	for _, e := range f.list {
		if strings.HasPrefix(e.Name, "neighbour") {
			e.Zone = "b"
		}
	}
	return f
}

// probes returns the number of probes of the endpoints whose names begin so.
func (f *fakeService) probes(prefix string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for name, u := range f.ups {
		if strings.HasPrefix(name, prefix) {
			n += u.probes
		}
	}
	return n
}

var fullLoad = placement.Load{Running: 2, Waiting: 4, Slots: 2, Slowness: 1}

// TestFullZonesKeepToTheirOwn guards against waiting requests that use up the probes on endpoints of other zones while all zones are full: an
// endpoint of another zone is probed by the first search, and then only as often as it takes to notice that the other zone has room.
func TestFullZonesKeepToTheirOwn(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := twoZones(40, fullLoad)
		fw := f.forwarder(largeBurst)
		fw.cfg.Random = placement.Random
		start := time.Now()
		r := fw.Run(t.Context(), request(false))
		waited := time.Since(start)
		is.Equal(r.Outcome, RefusedTooLate)
		time.Sleep(time.Minute)
		searches := 1 + int(waited/(60*time.Millisecond))
		is.True(f.probes("neighbour") <= 4*searches)
		is.True(f.probes("own") > f.probes("neighbour"))
	})
}

// TestZoneWithoutEndpointsWaits guards against requests of a zone without an endpoint of their service that wait until they are refused, while a
// slot of another zone becomes free.
func TestZoneWithoutEndpointsWaits(t *testing.T) {
	for _, count := range []int{1, 40} {
		faketime.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := twoZones(count, fullLoad)
			for _, e := range f.list {
				e.Zone = "b"
			}
			fw := f.forwarder(largeBurst)
			fw.cfg.Random = placement.Random
			go func() {
				time.Sleep(20 * time.Millisecond)
				f.mu.Lock()
				defer f.mu.Unlock()
				for _, u := range f.ups {
					u.load = placement.Load{Slots: 2, Slowness: 1}
				}
			}()
			start := time.Now()
			is.Equal(fw.Run(t.Context(), request(false)).Outcome, Answered)
			is.True(time.Since(start) <= 60*time.Millisecond+usualDuration)
			time.Sleep(time.Minute)
		})
	}
}

// TestNoBlindSendsToFullEndpoints guards against requests that are sent to an endpoint of unknown load, and wait there, because the probe budget
// is used up while the probes before showed full endpoints. If these showed room, the request is sent.
func TestNoBlindSendsToFullEndpoints(t *testing.T) {
	for _, full := range []bool{true, false} {
		faketime.Test(t, func(t *testing.T) {
			is := is.New(t)
			load := placement.Load{Slots: 2, Slowness: 1}
			if full {
				load = fullLoad
			}
			f := twoZones(40, load)
			fw := f.forwarder(largeBurst)
			fw.cfg.Random = placement.Random
			rate := 8.0
			fw.cfg.ProbeBudget = placement.NewProbeBudget(func() float64 { return rate })
			r := fw.Run(t.Context(), request(false))
			is.True(r.ProbesSent > 0)
			is.Equal(r.Outcome == Answered, !full)
			time.Sleep(50 * time.Millisecond) // the load reports are no longer fresh
			rate = 0
			received := f.received()
			r = fw.Run(t.Context(), request(false))
			is.Equal(r.ProbesSent, 0)
			is.Equal(r.Outcome == Answered, !full)
			is.Equal(f.received() == received, full)
			time.Sleep(time.Minute)
		})
	}
}

// TestRepeatsTakeOnlyFreeSlots guards against hedges and retries that wait at full endpoints and there delay other requests: the first endpoint is
// slow or rejects the request, and all others are full, or one of them has a free slot by then.
func TestRepeatsTakeOnlyFreeSlots(t *testing.T) {
	free := placement.Load{Slots: 2, Slowness: 1}
	for name, first := range map[string]fakeUpstream{"hedge": {load: free, duration: 5 * usualDuration},
		"retry": {load: free, duration: usualDuration / 2, answer: refusedResponse}} {
		for _, full := range []bool{true, false} {
			t.Run(fmt.Sprint(name, " full=", full), func(t *testing.T) {
				faketime.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := twoZones(3, fullLoad)
					f.ups["own0"] = &first
					time.AfterFunc(usualDuration/3, func() {
						f.mu.Lock()
						defer f.mu.Unlock()
						if !full {
							f.ups["own1"].load = free
						}
					})
					f.forwarder(largeBurst).Run(t.Context(), request(true))
					time.Sleep(time.Minute)
					is.Equal(first.received, 1)
					is.Equal(f.received() == 1, full)
					first.received = 0
				})
			})
		}
	}
}

// TestArrivalsDoNotOvertakeUrgent guards against urgent requests that wait for a free slot and lose it to a less urgent one that has just arrived.
func TestArrivalsDoNotOvertakeUrgent(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := twoZones(40, fullLoad)
		fw := f.forwarder(largeBurst)
		fw.cfg.Random = placement.Random
		ended := make(chan string, 2)
		run := func(name string, priority int) {
			c := request(false)
			c.RequestID, c.Route.Priority, c.Due = name, priority, c.Arrived.Add(time.Second)
			if fw.Run(t.Context(), c).Outcome == Answered {
				ended <- name
			}
		}
		go run("urgent", 0)
		time.Sleep(recheckInterval + recheckInterval/3)
		f.mu.Lock()
		for _, u := range f.ups {
			u.load = placement.Load{Slots: 2, Slowness: 1}
		}
		f.mu.Unlock()
		go run("less urgent", 1)
		is.Equal(<-ended, "urgent")
		time.Sleep(time.Minute)
	})
}

// TestPaceChoosesZone guards against requests that crowd on the endpoints of their zone, where they wait, while those of another zone are idle and
// none reports its load; and against ones that leave their zone for others that are no faster.
func TestPaceChoosesZone(t *testing.T) {
	const requests = 300
	for _, c := range []struct {
		ownFactors     []int // durations of the own endpoints in turn, as multiples of the usual one
		atLeast, below int   // of the requests, sent to the other zone
	}{
		{[]int{1}, 0, requests / 10},
		{[]int{3, 6}, requests / 2, requests},
	} {
		faketime.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := twoZones(5, placement.Load{Slots: 2, Slowness: 1})
			for name, u := range f.ups {
				u.load = placement.Load{}
				if n, ok := strings.CutPrefix(name, "own"); ok {
					u.duration = usualDuration * time.Duration(c.ownFactors[int(n[0])%len(c.ownFactors)])
				}
			}
			fw := f.forwarder(largeBurst)
			fw.cfg.Random = rand.New(rand.NewPCG(1, 1)).IntN
			left := 0
			for range requests {
				c := request(false)
				c.Due = c.Arrived.Add(time.Second)
				r := fw.Run(t.Context(), c)
				is.Equal(r.Outcome, Answered)
				if strings.HasPrefix(string(r.Body), "neighbour") {
					left++
				}
			}
			time.Sleep(time.Minute)
			is.True(left >= c.atLeast && left < c.below)
		})
	}
}

// TestFailedRequestWaitsForSlot guards against callers that get an error because, when an endpoint failed their idempotent request or held it up, no
// other one happened to have a free slot.
func TestFailedRequestWaitsForSlot(t *testing.T) {
	free := placement.Load{Slots: 2, Slowness: 1}
	for name, first := range map[string]fakeUpstream{
		"answer lost": {load: free, duration: usualDuration / 2, answer: func() (*executor.Response, error) {
			return nil, &executor.SendError{Written: true, Err: errors.New("connection reset")}
		}},
		"server error": {load: free, duration: usualDuration / 2, answer: func() (*executor.Response, error) { return completeResponse(500, "") }},
		"held up":      {load: free, duration: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := twoZones(3, fullLoad)
				f.ups["own0"] = &first
				time.AfterFunc(4*usualDuration, func() { // the target latency has passed
					f.mu.Lock()
					defer f.mu.Unlock()
					f.ups["own1"].load = free
				})
				r := f.forwarder(largeBurst).Run(t.Context(), request(true))
				is.Equal(r.Outcome, Answered)
				is.Equal(r.Response.Status, 200)
				time.Sleep(2 * time.Minute)
				is.Equal(first.received, 1)
				is.Equal(f.ups["own1"].received, 1)
				first.received = 0
			})
		})
	}
}
