package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/detour"
	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// hopResponse is what a simulated host does with a request.
type hopResponse struct {
	result *detour.HopResult // nil with a status is a refusal of its server
	status int
	err    error
	delay  time.Duration
}

// fakeHosts simulates other hosts, which are chosen in order, and the state of this host's way.
type fakeHosts struct {
	mu        sync.Mutex // guards decision and state
	decision  detour.Decision
	state     string
	responses []hopResponse
	requests  []detour.HopRequest
	failed    []string
}

func (f *fakeHosts) set(decision detour.Decision, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decision, f.state = decision, state
}

func (f *fakeHosts) Decide(string, bool, time.Time) detour.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.decision
}

func (f *fakeHosts) State(string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}
func (f *fakeHosts) Unanswered(string, endpoints.ID, time.Time) {}
func (f *fakeHosts) Choose(_ string, avoid []string, _ time.Time) (peers.Host, bool) {
	for n := range f.responses {
		if name := fmt.Sprint("host-", n); !slices.Contains(avoid, name) {
			return peers.Host{Name: name}, true
		}
	}
	return peers.Host{}, false
}

func (f *fakeHosts) Ended(host string, failed bool, _ time.Time) {
	if failed {
		f.failed = append(f.failed, host)
	}
}

func (f *fakeHosts) Send(ctx context.Context, h peers.Host, _ *executor.Call, r *detour.HopRequest) (*executor.Response, *detour.HopResult, error) {
	f.requests = append(f.requests, *r)
	got := f.responses[len(f.requests)-1]
	select {
	case <-time.After(got.delay):
	case <-ctx.Done():
		return nil, nil, &executor.SendError{Written: true, Err: ctx.Err()}
	}
	if got.err != nil {
		return nil, nil, got.err
	}
	status := got.status
	if status == 0 {
		status = http.StatusOK
	}
	resp, _ := completeResponse(status, h.Name)
	return resp, got.result, nil
}

var (
	errLost    = &executor.SendError{Written: true, Broken: true, Err: errors.New("reset")}
	errRefused = &executor.SendError{Err: errors.New("connection refused")}
	answered   = &detour.HopResult{Outcome: string(Answered), ID: endpoints.ID{Address: "far", Incarnation: "i-9"}}
)

// TestHopsKeepPromises guards against a request that runs twice, reaches more endpoints than its route allows, or is called "not run" or refused in vain,
// because the connection to another host broke, or because that host could not send it either.
func TestHopsKeepPromises(t *testing.T) {
	notReached := &detour.HopResult{Outcome: string(RefusedNoEndpoint)}
	rejected := &detour.HopResult{Outcome: string(RefusedUpstream), Sends: 1, Retry: 40}
	tooLate := &detour.HopResult{Outcome: string(RefusedTooLate), Retry: 70}
	lost := &detour.HopResult{Outcome: string(LostAnswer), Sends: 1}
	for name, c := range map[string]struct {
		idempotent bool
		responses  []hopResponse
		want       Outcome
		hops       int
		retryAfter time.Duration
	}{
		"answered":                          {false, []hopResponse{{result: answered}}, Answered, 1, 0},
		"connection lost":                   {false, []hopResponse{{err: errLost}, {result: answered}}, LostAnswer, 1, 0},
		"idempotent, connection lost":       {true, []hopResponse{{err: errLost}, {result: answered}}, Answered, 2, 0},
		"not connected":                     {false, []hopResponse{{err: errRefused}, {result: answered}}, Answered, 2, 0},
		"host is cut too":                   {false, []hopResponse{{result: notReached}, {result: answered}}, Answered, 2, 0},
		"host has no connection left":       {false, []hopResponse{{status: 503}, {result: answered}}, Answered, 2, 0},
		"host panicked":                     {false, []hopResponse{{status: 500}, {result: answered}}, LostAnswer, 1, 0},
		"all hosts are cut":                 {true, []hopResponse{{result: notReached}, {result: notReached}, {result: answered}}, RefusedConnect, 2, defaultRetryAfter},
		"endpoints refused":                 {false, []hopResponse{{result: rejected}, {result: answered}}, RefusedUpstream, 1, 40 * time.Millisecond},
		"too late there":                    {true, []hopResponse{{result: tooLate}, {result: answered}}, RefusedTooLate, 1, 70 * time.Millisecond},
		"answer lost behind host":           {false, []hopResponse{{result: lost}, {result: answered}}, LostAnswer, 1, 0},
		"idempotent, answer lost behind it": {true, []hopResponse{{result: lost}, {result: answered}}, LostAnswer, 1, 0},
		"no other host":                     {true, nil, RefusedNoEndpoint, 0, defaultRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeService(map[string]*fakeUpstream{"a": {silent: true}})
				hosts := &fakeHosts{decision: detour.Through, state: detour.Cut, responses: c.responses}
				forwarder := f.forwarder(largeBurst)
				forwarder.cfg.Detour = hosts
				r := forwarder.Run(t.Context(), request(c.idempotent))
				is.Equal(r.Outcome, c.want)
				is.Equal(len(hosts.requests), c.hops)
				is.Equal(r.RetryAfter, c.retryAfter)
				is.Equal(f.received(), 0)
				is.Equal(f.ups["a"].probes, 0) // this host knows that it is no use
				sum := 0
				for _, sent := range hosts.requests {
					sum += sent.Attempts
				}
				if c.idempotent && c.hops == 2 && c.want == Answered {
					is.Equal(sum, 2) // of the two that the route allows
				}
				for i, sent := range hosts.requests {
					is.Equal(sent.Counted, i > 0) // one host counts it for the repeat budget
				}
				if c.want == Answered {
					is.Equal(r.ID, answered.ID)
				}
			})
		})
	}
}

// TestLaterWayIsUsed guards against a request that waits for an endpoint until it is late, although this host finds out meanwhile that it is cut off.
func TestLaterWayIsUsed(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeService(map[string]*fakeUpstream{"a": {silent: true}, "b": {silent: true}, "c": {silent: true}})
		hosts := &fakeHosts{state: detour.Reached, responses: []hopResponse{{result: answered}}}
		forwarder := f.forwarder(largeBurst)
		forwarder.cfg.Detour = hosts
		begin := time.Now()
		go func() {
			time.Sleep(30 * time.Millisecond)
			hosts.set(detour.Direct, detour.Cut)
			forwarder.WakeAll("lotdesk")
		}()
		r := forwarder.Run(t.Context(), request(false))
		is.Equal(r.Outcome, Answered)
		is.True(time.Since(begin) < 60*time.Millisecond)
		time.Sleep(time.Second)
	})
}

// TestSecondChanceWithoutVerdict guards against a refusal of a request to which no endpoint answered, or could be connected, before this host holds itself
// for cut off, while another host is answered.
func TestSecondChanceWithoutVerdict(t *testing.T) {
	for name, ups := range map[string]map[string]*fakeUpstream{
		"silent":        {"a": {silent: true}, "b": {silent: true}},
		"not connected": {"a": {answer: func() (*executor.Response, error) { return nil, errRefused }}, "b": {answer: func() (*executor.Response, error) { return nil, errRefused }}},
	} {
		t.Run(name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeService(ups)
				hosts := &fakeHosts{state: detour.Reached, responses: []hopResponse{{result: answered}}}
				forwarder := f.forwarder(largeBurst)
				forwarder.cfg.Detour = hosts
				r := forwarder.Run(t.Context(), request(false))
				is.Equal(r.Outcome, Answered)
				is.Equal(len(hosts.requests), 1)
				time.Sleep(time.Second)
			})
		})
	}
}

// TestHungSendIsHedgedThroughHosts guards against a request that waits for its deadline on a connection that a cut has silenced, because the first host that is
// to send it once more could not: the next one is asked, and told that a late answer is wanted.
func TestHungSendIsHedgedThroughHosts(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeService(map[string]*fakeUpstream{"a": {duration: time.Hour}})
		hosts := &fakeHosts{state: detour.Reached, responses: []hopResponse{{result: &detour.HopResult{Outcome: string(RefusedTooLate)}}, {result: answered}}}
		forwarder := f.forwarder(largeBurst)
		forwarder.cfg.Detour = hosts
		go func() {
			time.Sleep(20 * time.Millisecond)
			hosts.set(detour.Through, detour.Cut)
		}()
		c := request(true)
		c.Route.MaxAttempts, c.Due = 3, time.Now().Add(10*time.Second)
		r := forwarder.Run(t.Context(), c)
		is.Equal(r.Outcome, Answered)
		is.Equal(len(hosts.requests), 2)
		is.True(hosts.requests[0].Late && hosts.requests[1].Late)
		is.Equal(hosts.requests[0].Tried, []endpoints.ID{{Address: "a", Incarnation: "a"}})
		time.Sleep(time.Second)
	})
}

// TestHandoversGoNoFurther guards against cut hosts that pass a request to and fro, and against endpoints that get a request again that another host has sent
// there.
func TestHandoversGoNoFurther(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeService(map[string]*fakeUpstream{"a": {duration: usualDuration}, "b": {duration: usualDuration}})
		hosts := &fakeHosts{decision: detour.Through, state: detour.Cut, responses: []hopResponse{{result: answered}}}
		forwarder := f.forwarder(largeBurst)
		forwarder.cfg.Detour = hosts
		c := request(true)
		c.Handover = &Handover{Host: "host-7", Attempts: 1, Tried: []endpoints.ID{{Address: "a", Incarnation: "a"}}}
		r := forwarder.Run(t.Context(), c)
		is.Equal(r.Outcome, RefusedNoEndpoint)
		is.Equal(len(hosts.requests), 0)
		is.Equal(f.received(), 0)
		hosts.state = detour.Reached
		c = request(true)
		c.Handover = &Handover{Host: "host-7", Attempts: 1, Tried: []endpoints.ID{{Address: "a", Incarnation: "a"}}}
		r = forwarder.Run(t.Context(), c)
		is.Equal(r.Outcome, Answered)
		is.Equal(string(r.Body), "b")
		is.Equal(r.ID, endpoints.ID{Address: "b", Incarnation: "b"}) // the other host records what it says of itself
		is.Equal(r.Sends(), 1)
		time.Sleep(time.Second)
	})
}
