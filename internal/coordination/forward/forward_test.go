package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
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

// upstream is an endpoint whose behaviour a test chooses.
type upstream struct {
	load   placement.Load
	dark   bool // no question is answered
	takes  time.Duration
	answer func() (*executor.Response, error)
	ran    int
	asked  int
}

func whole(status int, body string) (*executor.Response, error) {
	return &executor.Response{Status: status, Header: http.Header{}, Length: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}, nil
}

func refused() (*executor.Response, error) {
	r, _ := whole(503, "")
	r.Refused = true
	return r, nil
}

// fleet is the upstreams of one service. Asking takes 2 ms.
type fleet struct {
	mu   sync.Mutex
	ups  map[string]*upstream
	list []registry.Endpoint
}

func newFleet(ups map[string]*upstream) *fleet {
	f := &fleet{ups: ups}
	for name, u := range ups {
		if u.load.Slots == 0 {
			u.load.Slots = 2
		}
		if u.load.Slowness == 0 {
			u.load.Slowness = 1
		}
		f.list = append(f.list, registry.Endpoint{Name: name, Endpoint: endpoints.Endpoint{ID: endpoints.ID{Address: name, Incarnation: name},
			Service: "lotdesk", Zone: "a", Slots: 2}})
	}
	return f
}

func (f *fleet) Ask(ctx context.Context, e endpoints.Endpoint, _ string) (placement.Load, error) {
	f.mu.Lock()
	u := f.ups[e.Address]
	u.asked++
	load, dark := u.load, u.dark
	f.mu.Unlock()
	if dark {
		<-ctx.Done()
		return placement.Load{}, ctx.Err()
	}
	time.Sleep(2 * time.Millisecond)
	return load, nil
}

func (f *fleet) Send(ctx context.Context, e endpoints.Endpoint, _ *executor.Call) (*executor.Response, error) {
	f.mu.Lock()
	u := f.ups[e.Address]
	u.ran++
	f.mu.Unlock()
	select {
	case <-time.After(u.takes):
	case <-ctx.Done():
		return nil, &executor.SendError{Written: true, Err: ctx.Err()}
	}
	if u.answer == nil {
		return whole(200, e.Address)
	}
	return u.answer()
}

func (f *fleet) ran() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, u := range f.ups {
		n += u.ran
	}
	return n
}

func (f *fleet) forwarder(burst float64) *Forwarder {
	cfg := placement.DefaultConfig()
	cfg.Zone = "a"
	snapshot := &registry.Snapshot{Services: map[string][]registry.Endpoint{"lotdesk": f.list}, Total: len(f.list)}
	return New(Config{Sender: f, Asker: f, Board: placement.NewBoard(cfg),
		Repeats: placement.NewRepeats(placement.RepeatBudget{Burst: burst, Window: 10 * time.Second}, func() int { return 1 }),
		Asks:    placement.NewAskBudget(func() float64 { return 1e6 }), Endpoints: func() *registry.Snapshot { return snapshot },
		Random: func(int) int { return 0 }})
}

const plenty = 100 // repeats

func request(idempotent bool) *Call {
	now := time.Now()
	return &Call{Route: &routing.Route{Name: "lookup", Idempotent: idempotent, TargetLatency: 200 * time.Millisecond, MaxAttempts: 2, Priority: 1},
		Service: &routing.Service{Name: "lotdesk", HealthPath: "/health"}, Due: now.Add(500 * time.Millisecond), Arrived: now,
		Call: &executor.Call{RequestID: "r1", Method: "GET", Path: "/x"}}
}

// scenario runs one request against upstreams on a fake clock.
func scenario(t *testing.T, ups map[string]*upstream, idempotent bool, check func(is *is.I, f *fleet, r *Result, took time.Duration)) {
	faketime.Test(t, func(t *testing.T) {
		f := newFleet(ups)
		start := time.Now()
		r := f.forwarder(plenty).Run(t.Context(), request(idempotent))
		check(is.New(t), f, r, time.Since(start))
		time.Sleep(time.Minute) // questions that are still under way end
	})
}

const usual = 60 * time.Millisecond

// TestPicksEndpointThatIsFastNow answers machines that neighbours slow for a moment.
func TestPicksEndpointThatIsFastNow(t *testing.T) {
	slow := placement.Load{Slots: 2, Slowness: 5}
	scenario(t, map[string]*upstream{"a": {load: slow, takes: 5 * usual}, "b": {load: slow, takes: 5 * usual}, "c": {takes: usual}}, false,
		func(is *is.I, f *fleet, r *Result, took time.Duration) {
			is.Equal(r.Outcome, Answered)
			is.Equal(string(r.Body), "c")
			is.Equal(f.ran(), 1)
			is.True(took < 70*time.Millisecond)
		})
}

// TestDarkEndpointsCostLittle answers endpoints that fell silent: a request waits for their answer only as long as for any other one.
func TestDarkEndpointsCostLittle(t *testing.T) {
	scenario(t, map[string]*upstream{"a": {dark: true}, "b": {dark: true}, "c": {takes: usual}}, false,
		func(is *is.I, _ *fleet, r *Result, took time.Duration) {
			is.Equal(r.Outcome, Answered)
			is.True(took < usual+10*time.Millisecond)
			is.Equal(r.Unanswered, 2)
		})
}

// TestNonIdempotentRunsOnce guards against a second run of a request that must not repeat, whatever its endpoint does: lose the answer,
// fail, break the answer off, or answer too late.
func TestNonIdempotentRunsOnce(t *testing.T) {
	lost := func() (*executor.Response, error) {
		return nil, &executor.SendError{Written: true, Err: io.ErrUnexpectedEOF}
	}
	broken := func() (*executor.Response, error) {
		r, _ := whole(200, "")
		r.Body, r.Length = io.NopCloser(io.MultiReader(bytes.NewReader([]byte("half")), errReader{})), 8
		return r, nil
	}
	for name, c := range map[string]struct {
		up   upstream
		want Outcome
	}{
		"lost":   {upstream{takes: usual, answer: lost}, LostAnswer},
		"broken": {upstream{takes: usual, answer: broken}, LostAnswer},
		"late":   {upstream{takes: time.Minute}, TimedOut},
		"failed": {upstream{takes: usual, answer: func() (*executor.Response, error) { return whole(500, "") }}, Answered},
	} {
		t.Run(name, func(t *testing.T) {
			one, two := c.up, c.up
			scenario(t, map[string]*upstream{"a": &one, "b": &two}, false, func(is *is.I, f *fleet, r *Result, _ time.Duration) {
				is.Equal(r.Outcome, c.want)
				is.True(!r.Outcome.Promises())
				is.Equal(f.ran(), 1)
			})
		})
	}
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, errors.New("reset") }

// TestRefusedByEndpoint guards requests that an endpoint refused without running them: another endpoint gets them, also if they must not
// repeat, and if all refuse, the caller is told so with a delay.
func TestRefusedByEndpoint(t *testing.T) {
	scenario(t, map[string]*upstream{"a": {answer: refused, load: placement.Load{Slots: 2, Slowness: 1}}, "b": {takes: usual, load: placement.Load{Slots: 2, Slowness: 1.2}}}, false,
		func(is *is.I, f *fleet, r *Result, _ time.Duration) {
			is.Equal(string(r.Body), "b")
			is.Equal(f.ran(), 2)
		})
	scenario(t, map[string]*upstream{"a": {answer: refused}, "b": {answer: refused}, "c": {answer: refused}}, false,
		func(is *is.I, f *fleet, r *Result, _ time.Duration) {
			is.Equal(r.Outcome, RefusedUpstream)
			is.True(r.Outcome.Promises())
			is.True(r.RetryAfter > 0)
			is.Equal(f.ran(), 2) // the route allows two endpoints
		})
}

// TestMixedFailuresPromiseNothing guards the truth of "not run": after one endpoint may have run the request, a refusal by another one
// says nothing.
func TestMixedFailuresPromiseNothing(t *testing.T) {
	lost := func() (*executor.Response, error) {
		return nil, &executor.SendError{Written: true, Err: io.ErrUnexpectedEOF}
	}
	scenario(t, map[string]*upstream{"a": {answer: lost}, "b": {answer: refused, load: placement.Load{Slots: 2, Slowness: 1.2}}}, true,
		func(is *is.I, f *fleet, r *Result, _ time.Duration) {
			is.Equal(f.ran(), 2)
			is.True(!r.Outcome.Promises())
		})
}

// TestSafeRequestIsRepeated answers endpoints that fail or lose answers though their health is good.
func TestSafeRequestIsRepeated(t *testing.T) {
	for name, answer := range map[string]func() (*executor.Response, error){
		"lost": func() (*executor.Response, error) {
			return nil, &executor.SendError{Written: true, Err: io.ErrUnexpectedEOF}
		},
		"failed": func() (*executor.Response, error) { return whole(500, "") },
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, map[string]*upstream{"a": {answer: answer, takes: 5 * time.Millisecond}, "b": {takes: usual, load: placement.Load{Slots: 2, Slowness: 1.2}}}, true,
				func(is *is.I, f *fleet, r *Result, _ time.Duration) {
					is.Equal(r.Outcome, Answered)
					is.Equal(string(r.Body), "b")
				})
		})
	}
}

// TestHedgeLeavesSlowedEndpoint answers an endpoint that becomes slow while it works: a safe request goes to another one, and the answer
// of the first is given up.
func TestHedgeLeavesSlowedEndpoint(t *testing.T) {
	scenario(t, map[string]*upstream{"a": {takes: 400 * time.Millisecond}, "b": {takes: usual, load: placement.Load{Slots: 2, Slowness: 1.2}}}, true,
		func(is *is.I, f *fleet, r *Result, took time.Duration) {
			is.Equal(string(r.Body), "b")
			is.True(took < 300*time.Millisecond)
			is.Equal(f.ran(), 2)
			is.True(r.Attempts[1].Hedge)
		})
}

// TestBudgetBoundsRepeats guards upstreams in trouble against repeats: without budget a failed safe request ends with what its endpoint
// said.
func TestBudgetBoundsRepeats(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(map[string]*upstream{"a": {takes: 5 * time.Millisecond, answer: func() (*executor.Response, error) { return whole(500, "x") }},
			"b": {takes: 5 * time.Millisecond, answer: func() (*executor.Response, error) { return whole(500, "x") }}})
		fw := f.forwarder(0) // a bucket of one repeat, half full
		for range 4 {
			r := fw.Run(t.Context(), request(true))
			is.Equal(r.Outcome, Answered)
			is.Equal(r.Response.Status, 500)
		}
		is.Equal(f.ran(), 4)
		time.Sleep(time.Minute)
	})
}

// TestOverloadRefusesAtOnce answers an overload: what waits for a slot that does not come is refused as soon as it can no longer be in
// time, not at its deadline, and the refusal is true.
func TestOverloadRefusesAtOnce(t *testing.T) {
	full := placement.Load{Running: 2, Waiting: 4, Slots: 2, Slowness: 1}
	scenario(t, map[string]*upstream{"a": {load: full}, "b": {load: full}}, false, func(is *is.I, f *fleet, r *Result, took time.Duration) {
		is.Equal(r.Outcome, RefusedTooLate)
		is.True(r.Outcome.Promises())
		is.True(r.RetryAfter > 0)
		is.True(took < 200*time.Millisecond)
		is.Equal(f.ran(), 0)
	})
}

// TestWaitingRequestTakesReleasedSlot answers a short burst: a request that waits is sent when an earlier one of this host ends.
func TestWaitingRequestTakesReleasedSlot(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		busy := &upstream{takes: usual}
		f := newFleet(map[string]*upstream{"a": busy})
		fw := f.forwarder(plenty)
		var wg sync.WaitGroup
		outcomes := make([]Outcome, 3)
		for i := range outcomes {
			wg.Go(func() { outcomes[i] = fw.Run(t.Context(), request(false)).Outcome })
		}
		wg.Wait()
		is.Equal(fmt.Sprint(outcomes), "[answered answered answered]")
		is.Equal(busy.ran, 3)
		time.Sleep(time.Minute)
	})
}

// TestCallerLeft guards against work for callers that have left.
func TestCallerLeft(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(map[string]*upstream{"a": {takes: time.Minute}})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		r := f.forwarder(plenty).Run(ctx, request(true))
		is.Equal(r.Outcome, TimedOut)
		is.Equal(time.Since(start), 50*time.Millisecond)
		time.Sleep(time.Minute)
	})
}

// TestNoEndpoint guards the refusal of a service that has none.
func TestNoEndpoint(t *testing.T) {
	scenario(t, map[string]*upstream{}, true, func(is *is.I, _ *fleet, r *Result, took time.Duration) {
		is.Equal(r.Outcome, RefusedNoEndpoint)
		is.True(r.RetryAfter > 0)
		is.Equal(took, time.Duration(0))
	})
}

// TestLargeAnswer guards memory: an answer that is larger than what is kept is passed on piece by piece, whole.
func TestLargeAnswer(t *testing.T) {
	large := strings.Repeat("x", 3*maxBuffered)
	for name, length := range map[string]int64{"stated": int64(len(large)), "unknown": -1} {
		t.Run(name, func(t *testing.T) {
			answer := func() (*executor.Response, error) {
				return &executor.Response{Status: 200, Header: http.Header{}, Length: length, Body: io.NopCloser(strings.NewReader(large))}, nil
			}
			scenario(t, map[string]*upstream{"a": {answer: answer}}, true, func(is *is.I, _ *fleet, r *Result, _ time.Duration) {
				is.True(len(r.Body) <= maxBuffered+1)
				rest, err := io.ReadAll(r.Rest)
				is.NoErr(err)
				is.Equal(len(r.Body)+len(rest), len(large))
				is.NoErr(r.Rest.Close())
			})
		})
	}
}

// TestPanicEndsOneRequest guards against a fault of this program that ends the process: the send or question that met it fails, the fault
// is reported, and the request counts as possibly run.
func TestPanicEndsOneRequest(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]*upstream{"a": {answer: func() (*executor.Response, error) { panic("broken") }}})
	forwarder := f.forwarder(10)
	var reported []string
	forwarder.cfg.Panicked = func(id string, value any, stack []byte) {
		is.True(len(stack) > 0)
		reported = append(reported, fmt.Sprint(id, " ", value))
	}
	res := forwarder.Run(t.Context(), request(false))
	is.Equal(res.Outcome, LostAnswer)
	is.Equal(reported, []string{"r1 broken"})
}

// TestBurstAsksForAll answers a burst that fills all endpoints: the first waiting request looks for room for all of them, so that the
// questions do not grow with the number that waits.
func TestBurstAsksForAll(t *testing.T) {
	asked := func(waiting int) (n int) {
		faketime.Test(t, func(t *testing.T) {
			full := placement.Load{Running: 2, Waiting: 4, Slots: 2, Slowness: 1}
			ups := map[string]*upstream{}
			for i := range 60 {
				ups[fmt.Sprint(i)] = &upstream{load: full}
			}
			f := newFleet(ups)
			fw := f.forwarder(plenty)
			fw.cfg.Random = placement.Random
			var wg sync.WaitGroup
			for range waiting {
				wg.Go(func() { fw.Run(t.Context(), request(false)) })
			}
			wg.Wait()
			time.Sleep(time.Minute)
			for _, u := range f.ups {
				n += u.asked
			}
		})
		return n
	}
	const each = 6 // questions of a request's first look, which uses answers to others; later looks are few
	is.New(t).True(asked(40) < 40*each)
}

// TestNoTimeLeft answers callers that repeat until their time is over: a request that no endpoint can answer in what is left of its time is
// refused at once and runs nowhere.
func TestNoTimeLeft(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(map[string]*upstream{"a": {takes: usual}, "b": {takes: usual}})
		c := request(false)
		c.Due = time.Now().Add(10 * time.Millisecond)
		r := f.forwarder(plenty).Run(t.Context(), c)
		is.Equal(r.Outcome, RefusedTooLate)
		is.Equal(f.ran(), 0)
		time.Sleep(time.Minute)
	})
}

// TestUrgentFirst answers a burst of less urgent requests: the urgent one that came last gets the slot that another host leaves.
func TestUrgentFirst(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		full := placement.Load{Running: 2, Waiting: 4, Slots: 2, Slowness: 1}
		up := &upstream{load: full, takes: usual}
		f := newFleet(map[string]*upstream{"a": up})
		fw := f.forwarder(plenty)
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
