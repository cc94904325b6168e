package forward

import (
	"context"
	"errors"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/lateness"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// timedOut fails all probes and requests at their deadline.
type timedOut struct{ ownDelay bool }

func (p timedOut) ProbeLoad(ctx context.Context, _ endpoints.Endpoint, _ string) (placement.Load, error) {
	<-ctx.Done()
	return placement.Load{}, &executor.SendError{Written: true, Broken: true, OwnDelay: p.ownDelay, Err: ctx.Err()}
}

func (p timedOut) Send(ctx context.Context, _ endpoints.Endpoint, _ *executor.Call) (*executor.Response, error) {
	<-ctx.Done()
	return nil, &executor.SendError{Written: true, Broken: true, OwnDelay: p.ownDelay, Err: ctx.Err()}
}

// countedWays counts what is said of endpoints.
type countedWays struct {
	fakeHosts
	unanswered int
}

func (c *countedWays) Unanswered(string, endpoints.ID, time.Time) { c.unanswered++ }

// TestOwnDelayIsNoEvidence guards against endpoints that are suspected, or taken for dropping requests, and against a way that is taken for lost, because this
// host got no processor to read what had arrived. Timeouts without a response remain evidence.
func TestOwnDelayIsNoEvidence(t *testing.T) {
	for _, ownDelay := range []bool{false, true} {
		faketime.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFakeService(map[string]*fakeUpstream{"a": {}})
			fw, ways := f.forwarder(largeBurst), &countedWays{}
			fw.cfg.Prober, fw.cfg.Sender, fw.cfg.Detour = timedOut{ownDelay}, timedOut{ownDelay}, ways
			_, err := fw.probe(*f.list[0], "/health")
			is.True(errors.Is(err, context.DeadlineExceeded))
			is.Equal(ways.unanswered == 0, ownDelay)
			is.Equal(fw.cfg.EndpointStats.View(*f.list[0], time.Now()).Suspect, !ownDelay)
			time.Sleep(time.Minute)

			fw.cfg.Prober = f
			is.Equal(fw.Run(t.Context(), request(false)).Outcome, TimedOut)
			synctest.Wait() // a send records its end after its request has ended
			is.Equal(fw.cfg.EndpointStats.DropsRequests("lotdesk", time.Now()), !ownDelay)
			time.Sleep(time.Minute)
		})
	}
}

// lateContext keeps its user from running for a while before its first wait.
type lateContext struct {
	context.Context
	late time.Duration
}

func (c *lateContext) Done() <-chan struct{} {
	time.Sleep(c.late)
	c.late = 0
	return c.Context.Done()
}

// TestLateRequestSeesAnswers guards against requests that take probes for unanswered because they could not run until the wait for answers had passed: the
// answers are there, or arrive as soon as this host reads them.
func TestLateRequestSeesAnswers(t *testing.T) {
	for _, probeDuration := range []time.Duration{2 * time.Millisecond, 104 * time.Millisecond} {
		faketime.Test(t, func(t *testing.T) {
			is := is.New(t)
			for range 20 {
				f := newFakeService(map[string]*fakeUpstream{"a": {}, "b": {}, "c": {}})
				fw := f.forwarder(largeBurst)
				fw.cfg.Prober = slowProber{f, probeDuration}
				fw.cfg.Lateness = &lateness.Meter{}
				r := &activeRequest{forwarder: fw, call: request(true), result: &Result{}}
				views := fw.cfg.EndpointStats.Sample("lotdesk", f.list, func(int) int { return 0 }, time.Now())
				answered := r.probeRound(&lateContext{t.Context(), 100 * time.Millisecond}, views, []int{0, 1, 2})
				is.Equal(len(answered), 3)
				is.Equal(r.result.ProbesUnanswered, 0)
			}
			time.Sleep(time.Minute)
		})
	}
}

// slowProber takes longer for a probe.
type slowProber struct {
	*fakeService
	duration time.Duration
}

func (p slowProber) ProbeLoad(ctx context.Context, e endpoints.Endpoint, path string) (placement.Load, error) {
	time.Sleep(p.duration - 2*time.Millisecond)
	return p.fakeService.ProbeLoad(ctx, e, path)
}

// TestLateSilenceIsJudgedAnew guards against requests that count as dropped by their endpoint because this host had no processor to read the response.
func TestLateSilenceIsJudgedAnew(t *testing.T) {
	for _, responds := range []bool{false, true} {
		faketime.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFakeService(map[string]*fakeUpstream{"a": {}})
			fw := f.forwarder(largeBurst)
			fw.cfg.Lateness = &lateness.Meter{}
			fw.cfg.EndpointStats.RecordUnanswered("lotdesk", time.Now())
			r := &activeRequest{forwarder: fw, call: request(true), result: &Result{}, silences: make(chan struct{}, 1)}
			view, sentAt := fw.cfg.EndpointStats.View(*f.list[0], time.Now()), time.Now()
			fw.cfg.EndpointStats.ReserveSend(view.ID, sentAt)
			a := r.await(&view, usualDuration, sentAt)
			after := fw.cfg.EndpointStats.SilentAfter(view.ID, usualDuration, sentAt)
			time.Sleep(after - time.Millisecond)
			fw.cfg.Lateness.Observe(sentAt.Add(after-50*time.Millisecond), time.Now())
			time.Sleep(40 * time.Millisecond)
			is.Equal(a.state.Load(), awaiting)
			if responds {
				a.state.Store(ended)
			}
			time.Sleep(20 * time.Millisecond)
			is.Equal(a.state.Load() == silent, !responds)
			is.Equal(len(r.silences) == 1, !responds)
		})
	}
}

// TestLateBodyIsNotStalled guards against a failure that counts against an endpoint because this host had no processor to read the body of its answer.
func TestLateBodyIsNotStalled(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	got := sendResult{resp: &executor.Response{}, progressAt: now.Add(-stallTime)}
	var meter lateness.Meter
	is.True(got.stalled(&meter, now))
	meter.Observe(now.Add(-10*time.Millisecond), now)
	is.True(!got.stalled(&meter, now))
	is.True(got.stalled(&meter, now.Add(10*time.Millisecond)))
}

// lateInServe keeps serve from running for a while before it waits for results.
type lateInServe struct{ context.Context }

func (c lateInServe) Done() <-chan struct{} {
	if pc, _, _, ok := runtime.Caller(1); ok && strings.HasSuffix(runtime.FuncForPC(pc).Name(), ".serve") {
		time.Sleep(4 * usualDuration)
	}
	return c.Context.Done()
}

// TestLateHostDoesNotHedge guards against requests that are sent twice because this host had no processor to read the answer before the time to hedge.
func TestLateHostDoesNotHedge(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		for range 20 {
			f := newFakeService(map[string]*fakeUpstream{"a": {duration: usualDuration}, "b": {duration: usualDuration}})
			now, call := time.Now(), request(true)
			r := &activeRequest{forwarder: f.forwarder(largeBurst), call: call, result: &Result{}, start: now, serviceTime: usualDuration, targetAt: call.Due, lateAt: call.Due,
				sendResults: make(chan sendResult, 8), silences: make(chan struct{}, 8)}
			r.serve(lateInServe{t.Context()})
			is.Equal(r.result.Outcome, Answered)
			is.True(time.Since(now) >= 4*usualDuration)
			is.Equal(f.received(), 1)
		}
		time.Sleep(time.Minute)
	})
}
