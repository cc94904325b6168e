package forward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// dropping is longer than the deadline of any request: the endpoint never responds.
const dropping = time.Hour

// TestSilentEndpoints guards against requests that wait for endpoints which drop what they cannot queue: one that may be repeated goes elsewhere before its
// target has passed, also if the second endpoint drops it too, and what was dropped takes no slot.
func TestSilentEndpoints(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeService(map[string]*fakeUpstream{"a": {duration: dropping, load: placement.Load{Slots: 1}}})
		fw := f.forwarder(largeBurst)
		is.Equal(fw.Run(t.Context(), request(true)).Outcome, TimedOut)
		synctest.Wait() // a send records its end after its request has ended
		now := time.Now()
		is.True(fw.cfg.EndpointStats.DropsRequests("lotdesk", now))

		f = newFakeService(map[string]*fakeUpstream{"a": {duration: dropping}, "b": {duration: dropping}, "c": {duration: usualDuration}})
		for name, slowness := range map[string]float64{"a": 1, "b": 1.01, "c": 1.02} { // in this order
			f.ups[name].load.Slowness = slowness
		}
		fw = f.forwarder(largeBurst)
		fw.cfg.EndpointStats.RecordUnanswered("lotdesk", now)
		call := request(true)
		call.Route.MaxAttempts = 3
		call.Due = now.Add(10 * time.Second)
		r := fw.Run(t.Context(), call)
		is.Equal(r.Outcome, Answered)
		is.Equal(string(r.Body), "c")
		is.True(time.Since(now) < time.Second) // not the deadline

		fw.cfg.EndpointStats.RecordUnanswered("lotdesk", time.Now())
		post := request(false)
		post.Due = time.Now().Add(10 * time.Second)
		ended := make(chan *Result, 1)
		go func() { ended <- fw.Run(t.Context(), post) }()
		time.Sleep(9 * time.Second)
		for _, e := range f.list {
			is.Equal(fw.cfg.EndpointStats.View(*e, time.Now()).InFlight, 0) // although one of them has the request
		}
		r = <-ended
		is.Equal(r.Outcome, TimedOut)
		is.Equal(len(r.Attempts), 1)
		synctest.Wait()
		for _, e := range f.list {
			is.Equal(fw.cfg.EndpointStats.View(*e, time.Now()).InFlight, 0)
		}
		time.Sleep(time.Minute)
	})
}

// TestUnknownLoadMayDrop guards against requests that must not be sent twice and are sent to endpoints of unknown load that may drop them, because the probe
// budget is used up.
func TestUnknownLoadMayDrop(t *testing.T) {
	for _, drops := range []bool{true, false} {
		for _, idempotent := range []bool{true, false} {
			faketime.Test(t, func(t *testing.T) {
				f := newFakeService(map[string]*fakeUpstream{"a": {duration: usualDuration}})
				fw := f.forwarder(largeBurst)
				fw.cfg.ProbeBudget = placement.NewProbeBudget(func() float64 { return 0 })
				if drops {
					fw.cfg.EndpointStats.RecordUnanswered("lotdesk", time.Now())
				}
				r := fw.Run(t.Context(), request(idempotent))
				is.New(t).Equal(r.Outcome == Answered, idempotent || !drops)
				is.New(t).True(r.Outcome == Answered || r.Outcome.GuaranteesNotRun())
				time.Sleep(time.Minute)
			})
		}
	}
}

// TestFullEndpointsAreProbedLess guards against probes that a waiting request sends to endpoints which were full a moment ago: 4 and 12 without their reports.
func TestFullEndpointsAreProbedLess(t *testing.T) {
	for _, c := range []struct{ endpoints, most int }{{1, 3}, {3, 9}} {
		faketime.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := twoZones(c.endpoints, fullLoad)
			r := f.forwarder(largeBurst).Run(t.Context(), request(false))
			is.Equal(r.Outcome, RefusedTooLate)
			time.Sleep(time.Minute)
			t.Log(fmt.Sprint(c.endpoints, " endpoints in each zone: ", f.probes("own"), " and ", f.probes("neighbour"), " probes"))
			is.True(f.probes("own") <= c.most)
		})
	}
}
