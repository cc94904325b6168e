package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// fakeUpstream simulates an endpoint whose behaviour a test sets.
type fakeUpstream struct {
	load     placement.Load
	silent   bool          // it answers no probes
	duration time.Duration // duration of a request
	answer   func() (*executor.Response, error)
	received int // requests that it has received
	probes   int // probes that it has received
}

// completeResponse returns a response whose body is complete.
func completeResponse(status int, body string) (*executor.Response, error) {
	return &executor.Response{Status: status, Header: http.Header{}, Length: int64(len(body)),
		Body: io.NopCloser(strings.NewReader(body))}, nil
}

// refusedResponse returns the response of an endpoint that refused a request without running it.
func refusedResponse() (*executor.Response, error) {
	r, _ := completeResponse(503, "")
	r.NotRun = true
	return r, nil
}

// fakeService simulates the upstreams of one service. A probe takes 2 ms.
type fakeService struct {
	mu   sync.Mutex
	ups  map[string]*fakeUpstream
	list []*registry.Endpoint
}

func newFakeService(ups map[string]*fakeUpstream) *fakeService {
	f := &fakeService{ups: ups}
	for name, u := range ups {
		if u.load.Slots == 0 {
			u.load.Slots = 2
		}
		if u.load.Slowness == 0 {
			u.load.Slowness = 1
		}
		f.list = append(f.list, &registry.Endpoint{Name: name, Endpoint: endpoints.Endpoint{ID: endpoints.ID{Address: name, Incarnation: name},
			Service: "lotdesk", Zone: "a", Slots: 2}})
	}
	return f
}

func (f *fakeService) ProbeLoad(ctx context.Context, e endpoints.Endpoint, _ string) (placement.Load, error) {
	f.mu.Lock()
	u := f.ups[e.Address]
	u.probes++
	load, silent := u.load, u.silent
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return placement.Load{}, ctx.Err()
	}
	time.Sleep(2 * time.Millisecond)
	return load, nil
}

func (f *fakeService) Send(ctx context.Context, e endpoints.Endpoint, _ *executor.Call) (*executor.Response, error) {
	f.mu.Lock()
	u := f.ups[e.Address]
	u.received++
	f.mu.Unlock()
	select {
	case <-time.After(u.duration):
	case <-ctx.Done():
		return nil, &executor.SendError{Written: true, Err: ctx.Err()}
	}
	if u.answer == nil {
		return completeResponse(200, e.Address)
	}
	resp, err := u.answer()
	if err == nil {
		if body, ok := resp.Body.(*endlessBody); ok {
			body.ctx = ctx
		}
	}
	return resp, err
}

func (f *fakeService) received() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, u := range f.ups {
		n += u.received
	}
	return n
}

func (f *fakeService) forwarder(burst float64) *Forwarder {
	cfg := placement.DefaultConfig()
	cfg.Zone = "a"
	snapshot := &registry.Snapshot{Services: map[string][]*registry.Endpoint{"lotdesk": f.list}, Total: len(f.list)}
	return New(Config{Sender: f, Prober: f, EndpointStats: placement.NewEndpointStats(cfg),
		RepeatLimiter: placement.NewRepeatLimiter(placement.RepeatBudget{Burst: burst, Window: 10 * time.Second}, func() int { return 1 }),
		ProbeBudget:   placement.NewProbeBudget(func() float64 { return 1e6 }), Endpoints: func() *registry.Snapshot { return snapshot },
		Random: func(int) int { return 0 }})
}

const largeBurst = 100 // more repeats than any test takes

func request(idempotent bool) *Call {
	now := time.Now()
	return &Call{Route: &routing.Route{Name: "lookup", Idempotent: idempotent, TargetLatency: 200 * time.Millisecond, MaxAttempts: 2,
		Priority: 1}, Service: &routing.Service{Name: "lotdesk", HealthPath: "/health"}, Due: now.Add(500 * time.Millisecond), Arrived: now,
		Call: &executor.Call{RequestID: "r1", Method: "GET", Path: "/x"}}
}

// scenario forwards one request to simulated upstreams, under a fake clock.
func scenario(t *testing.T, ups map[string]*fakeUpstream, idempotent bool,
	check func(is *is.I, f *fakeService, r *Result, took time.Duration)) {
	faketime.Test(t, func(t *testing.T) {
		f := newFakeService(ups)
		start := time.Now()
		r := f.forwarder(largeBurst).Run(t.Context(), request(idempotent))
		check(is.New(t), f, r, time.Since(start))
		time.Sleep(time.Minute) // lets probes that are still in flight end
	})
}

const usualDuration = 60 * time.Millisecond

// TestPicksEndpointThatIsFastNow guards against sending to endpoints that other workloads on their machines slow at the moment.
func TestPicksEndpointThatIsFastNow(t *testing.T) {
	slow := placement.Load{Slots: 2, Slowness: 5}
	scenario(t, map[string]*fakeUpstream{"a": {load: slow, duration: 5 * usualDuration}, "b": {load: slow, duration: 5 * usualDuration},
		"c": {duration: usualDuration}}, false,
		func(is *is.I, f *fakeService, r *Result, took time.Duration) {
			is.Equal(r.Outcome, Answered)
			is.Equal(string(r.Body), "c")
			is.Equal(f.received(), 1)
			is.True(took < 70*time.Millisecond)
		})
}

// TestUnansweredProbesDelayLittle guards against requests that are delayed by endpoints that do not answer probes.
func TestUnansweredProbesDelayLittle(t *testing.T) {
	scenario(t, map[string]*fakeUpstream{"a": {silent: true}, "b": {silent: true}, "c": {duration: usualDuration}}, false,
		func(is *is.I, _ *fakeService, r *Result, took time.Duration) {
			is.Equal(r.Outcome, Answered)
			is.True(took < usualDuration+10*time.Millisecond)
			is.Equal(r.ProbesUnanswered, 2)
		})
}

// TestNonIdempotentRunsOnce guards against sending a non-idempotent request twice, if its endpoint loses the answer, fails, breaks off
// within the answer, or answers too late.
func TestNonIdempotentRunsOnce(t *testing.T) {
	lost := func() (*executor.Response, error) {
		return nil, &executor.SendError{Written: true, Err: io.ErrUnexpectedEOF}
	}
	broken := func() (*executor.Response, error) {
		r, _ := completeResponse(200, "")
		r.Body, r.Length = io.NopCloser(io.MultiReader(bytes.NewReader([]byte("half")), errReader{})), 8
		return r, nil
	}
	for name, c := range map[string]struct {
		up   fakeUpstream
		want Outcome
	}{
		"lost":   {fakeUpstream{duration: usualDuration, answer: lost}, LostAnswer},
		"broken": {fakeUpstream{duration: usualDuration, answer: broken}, LostAnswer},
		"late":   {fakeUpstream{duration: time.Minute}, TimedOut},
		"failed": {fakeUpstream{duration: usualDuration, answer: func() (*executor.Response, error) { return completeResponse(500, "") }},
			Answered},
	} {
		t.Run(name, func(t *testing.T) {
			one, two := c.up, c.up
			scenario(t, map[string]*fakeUpstream{"a": &one, "b": &two}, false, func(is *is.I, f *fakeService, r *Result, _ time.Duration) {
				is.Equal(r.Outcome, c.want)
				is.True(!r.Outcome.GuaranteesNotRun())
				is.Equal(f.received(), 1)
			})
		})
	}
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, errors.New("reset") }

// TestRefusedByEndpoint checks requests that an endpoint refused without running them: another endpoint gets them, even if they are not
// idempotent. If all endpoints refuse, the outcome says so with a delay for the caller.
func TestRefusedByEndpoint(t *testing.T) {
	scenario(t, map[string]*fakeUpstream{"a": {answer: refusedResponse, load: placement.Load{Slots: 2, Slowness: 1}},
		"b": {duration: usualDuration, load: placement.Load{Slots: 2, Slowness: 1.2}}}, false,
		func(is *is.I, f *fakeService, r *Result, _ time.Duration) {
			is.Equal(string(r.Body), "b")
			is.Equal(f.received(), 2)
		})
	scenario(t, map[string]*fakeUpstream{"a": {answer: refusedResponse}, "b": {answer: refusedResponse}, "c": {answer: refusedResponse}},
		false,
		func(is *is.I, f *fakeService, r *Result, _ time.Duration) {
			is.Equal(r.Outcome, RefusedUpstream)
			is.True(r.Outcome.GuaranteesNotRun())
			is.True(r.RetryAfter > 0)
			is.Equal(f.received(), 2) // the route allows two endpoints
		})
}

// TestRefusalAfterLostAnswerGuaranteesNothing guards against a wrong "not run": if one endpoint may have run the request, the refusal of
// another endpoint does not show that the request has not run.
func TestRefusalAfterLostAnswerGuaranteesNothing(t *testing.T) {
	lost := func() (*executor.Response, error) {
		return nil, &executor.SendError{Written: true, Err: io.ErrUnexpectedEOF}
	}
	scenario(t, map[string]*fakeUpstream{"a": {answer: lost},
		"b": {answer: refusedResponse, load: placement.Load{Slots: 2, Slowness: 1.2}}}, true,
		func(is *is.I, f *fakeService, r *Result, _ time.Duration) {
			is.Equal(f.received(), 2)
			is.True(!r.Outcome.GuaranteesNotRun())
		})
}

// TestIdempotentRequestIsRepeated guards against idempotent requests that fail because an endpoint with good health fails or loses answers:
// they are sent to another endpoint.
func TestIdempotentRequestIsRepeated(t *testing.T) {
	for name, answer := range map[string]func() (*executor.Response, error){
		"lost": func() (*executor.Response, error) {
			return nil, &executor.SendError{Written: true, Err: io.ErrUnexpectedEOF}
		},
		"failed": func() (*executor.Response, error) { return completeResponse(500, "") },
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, map[string]*fakeUpstream{"a": {answer: answer, duration: 5 * time.Millisecond},
				"b": {duration: usualDuration, load: placement.Load{Slots: 2, Slowness: 1.2}}}, true,
				func(is *is.I, f *fakeService, r *Result, _ time.Duration) {
					is.Equal(r.Outcome, Answered)
					is.Equal(string(r.Body), "b")
				})
		})
	}
}

// TestHedgeLeavesSlowedEndpoint guards against waiting for an endpoint that runs an idempotent request much slower than its load suggested:
// the request is hedged, the hedge's answer is returned, and the first send is canceled.
func TestHedgeLeavesSlowedEndpoint(t *testing.T) {
	scenario(t, map[string]*fakeUpstream{"a": {duration: 400 * time.Millisecond},
		"b": {duration: usualDuration, load: placement.Load{Slots: 2, Slowness: 1.2}}}, true,
		func(is *is.I, f *fakeService, r *Result, took time.Duration) {
			is.Equal(string(r.Body), "b")
			is.True(took < 300*time.Millisecond)
			is.Equal(f.received(), 2)
			is.True(r.Attempts[1].Hedge)
		})
}

// TestBudgetBoundsRepeats guards against repeats that add load to failing upstreams: without budget, a failed idempotent request ends with
// its endpoint's error response.
func TestBudgetBoundsRepeats(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeService(map[string]*fakeUpstream{
			"a": {duration: 5 * time.Millisecond, answer: func() (*executor.Response, error) { return completeResponse(500, "x") }},
			"b": {duration: 5 * time.Millisecond, answer: func() (*executor.Response, error) { return completeResponse(500, "x") }}})
		fw := f.forwarder(0) // its bucket for repeats holds one token and starts half full
		for range 4 {
			r := fw.Run(t.Context(), request(true))
			is.Equal(r.Outcome, Answered)
			is.Equal(r.Response.Status, 500)
		}
		is.Equal(f.received(), 4)
		time.Sleep(time.Minute)
	})
}

// TestOverloadRefusesAtOnce guards against requests that wait until their deadline under overload: a request that gets no slot is refused
// as soon as it can no longer meet its target latency, and it has not run.
func TestOverloadRefusesAtOnce(t *testing.T) {
	full := placement.Load{Running: 2, Waiting: 4, Slots: 2, Slowness: 1}
	scenario(t, map[string]*fakeUpstream{"a": {load: full}, "b": {load: full}}, false, func(is *is.I, f *fakeService, r *Result,
		took time.Duration) {
		is.Equal(r.Outcome, RefusedTooLate)
		is.True(r.Outcome.GuaranteesNotRun())
		is.True(r.RetryAfter > 0)
		is.True(took < 200*time.Millisecond)
		is.Equal(f.received(), 0)
	})
}

// TestWaitingRequestTakesReleasedSlot guards against refusing requests in a short burst: a waiting request is sent when an earlier one of
// this host ends.
func TestWaitingRequestTakesReleasedSlot(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		busy := &fakeUpstream{duration: usualDuration}
		f := newFakeService(map[string]*fakeUpstream{"a": busy})
		fw := f.forwarder(largeBurst)
		var wg sync.WaitGroup
		outcomes := make([]Outcome, 3)
		for i := range outcomes {
			wg.Go(func() { outcomes[i] = fw.Run(t.Context(), request(false)).Outcome })
		}
		wg.Wait()
		is.Equal(fmt.Sprint(outcomes), "[answered answered answered]")
		is.Equal(busy.received, 3)
		time.Sleep(time.Minute)
	})
}

// TestCallerLeft guards against requests that go on after their callers have left.
func TestCallerLeft(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeService(map[string]*fakeUpstream{"a": {duration: time.Minute}})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		r := f.forwarder(largeBurst).Run(ctx, request(true))
		is.Equal(r.Outcome, TimedOut)
		is.Equal(time.Since(start), 50*time.Millisecond)
		time.Sleep(time.Minute)
	})
}

// TestNoEndpoint checks that a request for a service without endpoints is refused at once.
func TestNoEndpoint(t *testing.T) {
	scenario(t, map[string]*fakeUpstream{}, true, func(is *is.I, _ *fakeService, r *Result, took time.Duration) {
		is.Equal(r.Outcome, RefusedNoEndpoint)
		is.True(r.RetryAfter > 0)
		is.Equal(took, time.Duration(0))
	})
}

// TestLargeAnswer guards against buffering large answers in memory: an answer larger than maxBufferedBody is streamed, and arrives whole.
func TestLargeAnswer(t *testing.T) {
	large := strings.Repeat("x", 3*maxBufferedBody)
	for name, length := range map[string]int64{"stated": int64(len(large)), "unknown": -1} {
		t.Run(name, func(t *testing.T) {
			answer := func() (*executor.Response, error) {
				return &executor.Response{Status: 200, Header: http.Header{}, Length: length, Body: io.NopCloser(strings.NewReader(large))}, nil
			}
			scenario(t, map[string]*fakeUpstream{"a": {answer: answer}}, true, func(is *is.I, _ *fakeService, r *Result, _ time.Duration) {
				is.True(len(r.Body) <= maxBufferedBody+1)
				streamed, err := io.ReadAll(r.Stream)
				is.NoErr(err)
				is.Equal(len(r.Body)+len(streamed), len(large))
				is.NoErr(r.Stream.Close())
			})
		})
	}
}

// TestPanicEndsOneRequest guards against a panic that ends the process: only the send or probe that panicked fails, the panic is reported,
// and the request counts as possibly run.
func TestPanicEndsOneRequest(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeService(map[string]*fakeUpstream{"a": {answer: func() (*executor.Response, error) { panic("broken") }}})
		forwarder := f.forwarder(10)
		var reported []string
		forwarder.cfg.OnPanic = func(id string, value any, stack []byte) {
			is.True(len(stack) > 0)
			reported = append(reported, fmt.Sprint(id, " ", value))
		}
		res := forwarder.Run(t.Context(), request(false))
		is.Equal(res.Outcome, LostAnswer)
		is.Equal(reported, []string{"r1 broken"})
		time.Sleep(time.Minute)
	})
}

// TestOneWaiterProbesForAll guards against probes that grow with the number of waiting requests while all endpoints are full: only the
// first waiting request looks for a free slot.
func TestOneWaiterProbesForAll(t *testing.T) {
	probesFor := func(waiting int) (n int) {
		faketime.Test(t, func(t *testing.T) {
			full := placement.Load{Running: 2, Waiting: 4, Slots: 2, Slowness: 1}
			ups := map[string]*fakeUpstream{}
			for i := range 60 {
				ups[fmt.Sprint(i)] = &fakeUpstream{load: full}
			}
			f := newFakeService(ups)
			fw := f.forwarder(largeBurst)
			fw.cfg.Random = placement.Random
			var wg sync.WaitGroup
			for range waiting {
				wg.Go(func() { fw.Run(t.Context(), request(false)) })
			}
			wg.Wait()
			time.Sleep(time.Minute)
			for _, u := range f.ups {
				n += u.probes
			}
		})
		return n
	}
	// maxProbesEach bounds the probes per request. The first search of a request also uses the load reports that other requests got, and
	// it makes few further searches.
	const maxProbesEach = 6
	is.New(t).True(probesFor(40) < 40*maxProbesEach)
}

// TestNoTimeLeft guards against sending requests that no endpoint can answer before their deadline, such as the last ones of callers that
// retry until their deadline: they are refused at once.
func TestNoTimeLeft(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeService(map[string]*fakeUpstream{"a": {duration: usualDuration}, "b": {duration: usualDuration}})
		c := request(false)
		c.Due = time.Now().Add(10 * time.Millisecond)
		r := f.forwarder(largeBurst).Run(t.Context(), c)
		is.Equal(r.Outcome, RefusedTooLate)
		is.Equal(f.received(), 0)
		time.Sleep(time.Minute)
	})
}

// TestUrgentFirst guards against a burst that delays an urgent request: the urgent request, which came last, gets the slot that a request
// of another host frees.
func TestUrgentFirst(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		full := placement.Load{Running: 2, Waiting: 4, Slots: 2, Slowness: 1}
		up := &fakeUpstream{load: full, duration: usualDuration}
		f := newFakeService(map[string]*fakeUpstream{"a": up})
		fw := f.forwarder(largeBurst)
		order := make(chan string, 11)
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() {
				c := request(false)
				c.Route.Name, c.Route.Priority = "stock", 5
				if fw.Run(t.Context(), c).Outcome == Answered {
					order <- "stock"
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
		wg.Go(func() {
			c := request(false)
			c.Route.Name, c.Route.Priority = "recall", 0
			if fw.Run(t.Context(), c).Outcome == Answered {
				order <- "recall"
			}
		})
		time.Sleep(5 * time.Millisecond)
		f.mu.Lock()
		up.load = placement.Load{Running: 1, Slots: 2, Slowness: 1}
		f.mu.Unlock()
		wg.Wait()
		is.Equal(<-order, "recall")
		time.Sleep(time.Minute)
	})
}

// TestBurstLeavesHotEndpoint guards against a burst that stays on few endpoints: each answer frees one slot of a nearly full endpoint and
// brings its load report, and the next request took that slot without looking for an endpoint that is idle.
func TestBurstLeavesHotEndpoint(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		hot := &fakeUpstream{load: placement.Load{Running: 5, Slots: 6, Slowness: 1}, duration: usualDuration}
		idle := &fakeUpstream{load: placement.Load{Slots: 6, Slowness: 1}, duration: usualDuration}
		f := newFakeService(map[string]*fakeUpstream{"hot": hot, "idle": idle})
		fw := f.forwarder(largeBurst)
		for _, e := range f.list {
			if e.Name == "hot" {
				fw.cfg.EndpointStats.RecordLoad(e.Endpoint, hot.load, time.Now())
			}
		}
		is.Equal(string(fw.Run(t.Context(), request(true)).Body), "idle")
		time.Sleep(time.Minute)
	})
}

// TestRetryAfterUpstreamRefusal guards against callers that wait in vain: endpoints that refuse a part of the requests at random while they
// have free slots would take the request at once. If they are full, the caller has to wait for a slot.
func TestRetryAfterUpstreamRefusal(t *testing.T) {
	for name, c := range map[string]struct {
		inFlight int
		want     time.Duration
	}{"sheds": {1, retryAfterShed}, "full": {2, defaultRetryAfter}} {
		t.Run(name, func(t *testing.T) {
			refuse := func() (*executor.Response, error) {
				r, err := refusedResponse()
				r.InFlight, r.Slots = c.inFlight, 2
				return r, err
			}
			scenario(t, map[string]*fakeUpstream{"a": {answer: refuse}, "b": {answer: refuse}}, false,
				func(is *is.I, _ *fakeService, r *Result, _ time.Duration) {
					is.Equal(r.Outcome, RefusedUpstream)
					is.Equal(r.RetryAfter, c.want)
				})
		})
	}
}

// TestFullZoneShedsToOthers guards against refusals in a zone that receives the callers of its neighbour: all its endpoints are full, while
// those of another zone have free slots. The request goes there at once, and is neither refused nor left waiting.
func TestFullZoneShedsToOthers(t *testing.T) {
	for _, slots := range []int{2, 6} {
		t.Run(fmt.Sprint(slots, " slots"), func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				ups := map[string]*fakeUpstream{}
				for i := range 5 {
					ups[fmt.Sprint("own", i)] = &fakeUpstream{load: placement.Load{Running: slots, Slots: slots, Slowness: 1}, duration: usualDuration}
					ups[fmt.Sprint("neighbour", i)] = &fakeUpstream{load: placement.Load{Slots: slots, Slowness: 1}, duration: usualDuration}
				}
				f := newFakeService(ups)
				for i := range f.list {
					if strings.HasPrefix(f.list[i].Name, "neighbour") {
						f.list[i].Zone = "b"
					}
				}
				start := time.Now()
				r := f.forwarder(largeBurst).Run(t.Context(), request(false))
				is.Equal(r.Outcome, Answered)
				is.True(strings.HasPrefix(string(r.Body), "neighbour"))
				is.True(time.Since(start) < usualDuration+20*time.Millisecond)
				time.Sleep(time.Minute)
			})
		})
	}
}

// rejectFor makes the endpoints with the given names reject requests with a delay.
func (f *fakeService) rejectFor(fw *Forwarder, delay time.Duration, names ...string) {
	for _, e := range f.list {
		if slices.Contains(names, e.Name) {
			fw.cfg.EndpointStats.RecordRejection(e.Endpoint, delay, time.Now())
		}
	}
}

// TestUnservedRefusesAtOnce guards against requests that wait, or that reach an endpoint, while every endpoint has rejected requests with a
// delay or has left. Requests that wait for a slot are refused too, however many there are. The caller is told when the first endpoint is
// back, with a random part.
func TestUnservedRefusesAtOnce(t *testing.T) {
	for want, leave := range map[Outcome]bool{RefusedAllRejecting: false, RefusedNoEndpoint: true} {
		t.Run(string(want), func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				full := placement.Load{Running: 2, Waiting: 4, Slots: 2, Slowness: 1}
				f := newFakeService(map[string]*fakeUpstream{"a": {load: full}, "b": {load: full}})
				fw := f.forwarder(largeBurst)
				var snapshot atomic.Pointer[registry.Snapshot]
				snapshot.Store(fw.cfg.Endpoints())
				fw.cfg.Endpoints = snapshot.Load
				results := make(chan *Result, 200)
				for range cap(results) {
					go func() { results <- fw.Run(t.Context(), request(true)) }()
				}
				time.Sleep(30 * time.Millisecond)
				if leave {
					snapshot.Store(&registry.Snapshot{})
				}
				f.rejectFor(fw, 3*time.Second, "a")
				f.rejectFor(fw, 2*time.Second, "b")
				begin := time.Now()
				for range cap(results) {
					is.Equal((<-results).Outcome, want)
				}
				is.True(time.Since(begin) <= recheckInterval)
				called := time.Now()
				r := fw.Run(t.Context(), request(true))
				is.True(r.Outcome == want && r.Outcome.GuaranteesNotRun() && time.Since(called) == 0)
				if !leave {
					is.Equal(r.RetryAfter, 2*time.Second-time.Since(begin)) // Random returns 0 here
					fw.cfg.Random = func(n int) int { return n - 1 }
					is.True(fw.Run(t.Context(), request(true)).RetryAfter > r.RetryAfter+400*time.Millisecond)
				}
				is.Equal(f.received(), 0)
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestRejectedRequestGoesElsewhere checks a request, also one that is not idempotent, whose endpoint rejects it with a delay: it goes to
// another endpoint, or is refused with the delay if there is none.
func TestRejectedRequestGoesElsewhere(t *testing.T) {
	for name, others := range map[string]bool{"another endpoint": true, "none": false} {
		t.Run(name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				ups := map[string]*fakeUpstream{"a": {}}
				if others {
					ups["b"] = &fakeUpstream{duration: usualDuration, load: placement.Load{Slots: 2, Slowness: 1.2}}
				}
				f := newFakeService(ups)
				fw := f.forwarder(largeBurst)
				ups["a"].answer = func() (*executor.Response, error) {
					f.rejectFor(fw, 2*time.Second, "a")
					r, err := refusedResponse()
					r.RejectedFor = 2 * time.Second
					return r, err
				}
				r := fw.Run(t.Context(), request(false))
				if others {
					is.Equal(string(r.Body), "b")
				} else {
					is.Equal(r.Outcome, RefusedAllRejecting)
					is.Equal(r.RetryAfter, 2*time.Second)
				}
				is.Equal(ups["a"].received, 1)
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestStoppedSendsNoWaitingRequest guards against a stop that sends waiting requests to the slots of the requests which it cuts.
func TestStoppedSendsNoWaitingRequest(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		busy := &fakeUpstream{duration: time.Minute}
		f := newFakeService(map[string]*fakeUpstream{"a": busy})
		fw := f.forwarder(largeBurst)
		var stopped atomic.Bool
		fw.cfg.Stopped = stopped.Load
		var running, waiting sync.WaitGroup
		ctx, cut := context.WithCancel(t.Context())
		for range busy.load.Slots {
			running.Go(func() { is.Equal(fw.Run(ctx, request(false)).Outcome, TimedOut) })
		}
		time.Sleep(100 * time.Millisecond) // until both are sent
		waiting.Go(func() { is.Equal(fw.Run(t.Context(), request(false)).Outcome, RefusedUnsent) })
		time.Sleep(10 * time.Millisecond)
		stopped.Store(true)
		cut()
		running.Wait()
		waiting.Wait()
		is.Equal(busy.received, busy.load.Slots)
	})
}

// TestCanceledRequestIsNotSent guards against requests that reach an endpoint although their caller left, or their host cut them, before.
func TestCanceledRequestIsNotSent(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		up := &fakeUpstream{duration: time.Millisecond}
		f := newFakeService(map[string]*fakeUpstream{"a": up})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		r := f.forwarder(largeBurst).Run(ctx, request(true))
		is.True(r.Outcome.GuaranteesNotRun())
		is.Equal(up.received, 0)
	})
}
