package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/membudget"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// endlessBody is a body without end. It delivers size bytes at each interval until it is closed or the context of its request ends.
type endlessBody struct {
	ctx      context.Context
	size     int
	interval time.Duration
	closed   chan struct{}
	once     sync.Once
}

func (b *endlessBody) Read(p []byte) (int, error) {
	select {
	case <-time.After(b.interval):
		return min(b.size, len(p)), nil
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	case <-b.closed:
		return 0, errors.New("read of a closed body")
	}
}

func (b *endlessBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// endlessResponse returns the response of an endpoint whose body sends size bytes each interval, without end.
func endlessResponse(status, size int, interval time.Duration) *executor.Response {
	return &executor.Response{Status: status, Header: http.Header{}, Length: -1,
		Body: &endlessBody{ctx: context.Background(), size: size, interval: interval, closed: make(chan struct{})}}
}

// TestEndlessRefusal guards against a refusal whose body never ends and that keeps the request from the next endpoint, or its connection open
// while the request is with the next endpoint.
func TestEndlessRefusal(t *testing.T) {
	for name, size := range map[string]int{"slow": 1, "fast": 64 << 10} {
		t.Run(name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				refusal := endlessResponse(http.StatusServiceUnavailable, size, time.Millisecond)
				refusal.NotRun = true
				f := newFakeService(map[string]*fakeUpstream{"a": {answer: func() (*executor.Response, error) { return refusal, nil }},
					"b": {duration: usualDuration, load: placement.Load{Slots: 2, Slowness: 1.2}, answer: func() (*executor.Response, error) {
						select {
						case <-refusal.Body.(*endlessBody).closed:
							return completeResponse(http.StatusOK, "closed")
						default:
							return completeResponse(http.StatusOK, "open")
						}
					}}})
				start := time.Now()
				r := f.forwarder(largeBurst).Run(t.Context(), request(false))
				is.True(time.Since(start) < usualDuration+100*time.Millisecond)
				is.Equal(string(r.Body), "closed")
				is.Equal(f.received(), 2)
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestStreamOfFailureAfterDeadline guards against passing on a streamed error response that the deadline has already cut: its caller would get a
// success or failure status and a broken connection instead of a timeout.
func TestStreamOfFailureAfterDeadline(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeService(map[string]*fakeUpstream{
			"a": {answer: func() (*executor.Response, error) {
				return endlessResponse(http.StatusInternalServerError, 64<<10, time.Millisecond), nil
			}},
			"b": {duration: time.Minute, load: placement.Load{Slots: 2, Slowness: 1.2}}})
		c := request(true)
		r := f.forwarder(largeBurst).Run(t.Context(), c)
		is.Equal(f.received(), 2)
		is.Equal(r.Outcome, TimedOut)
		is.Equal(r.Stream, nil)
		is.Equal(time.Since(c.Due), time.Duration(0))
		time.Sleep(time.Minute)
	})
}

// TestAnswerReadyAtDeadline guards against the loss of a whole answer that is ready when its host, which has got no processor time meanwhile,
// notices that the deadline has passed.
func TestAnswerReadyAtDeadline(t *testing.T) {
	for range 20 { // one of the two events is picked at random
		faketime.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFakeService(map[string]*fakeUpstream{"a": {duration: 400 * time.Millisecond},
				"b": {duration: usualDuration, load: placement.Load{Slots: 2, Slowness: 1.2}}})
			fw := f.forwarder(largeBurst)
			c := request(true)
			endpointsOf := fw.cfg.Endpoints
			fw.cfg.Endpoints = func() *registry.Snapshot {
				if f.received() == 1 { // the request is being hedged
					time.Sleep(time.Until(c.Due.Add(time.Millisecond)))
				}
				return endpointsOf()
			}
			r := fw.Run(t.Context(), c)
			is.Equal(r.Outcome, Answered)
			is.Equal(string(r.Body), "a")
			time.Sleep(time.Minute)
		})
	}
}

// TestBufferedBytes guards against answers that together take more memory than a host has for them: those that do not fit are passed on while
// they are read, and arrive whole. When all bodies are closed, nothing is reserved, whichever way the requests have ended.
func TestBufferedBytes(t *testing.T) {
	const requests, limit = 40, 10 * maxBufferedBody
	text := strings.Repeat("0123456789", maxBufferedBody/10)
	whole := func(status int, length int64) func() (*executor.Response, error) {
		return func() (*executor.Response, error) {
			return &executor.Response{Status: status, Header: http.Header{}, Length: length, Body: io.NopCloser(strings.NewReader(text))}, nil
		}
	}
	for name, c := range map[string]struct {
		answer func() (*executor.Response, error)
		whole  bool
	}{
		"length":         {whole(http.StatusOK, int64(len(text))), true},
		"unknown length": {whole(http.StatusOK, -1), true},
		"failed":         {whole(http.StatusInternalServerError, int64(len(text))), true},
		"fast endless": {func() (*executor.Response, error) {
			return endlessResponse(http.StatusOK, 64<<10, time.Millisecond), nil
		}, false},
		"slow endless": {func() (*executor.Response, error) { return endlessResponse(http.StatusOK, 1000, time.Millisecond), nil }, false},
		"endless failed": {func() (*executor.Response, error) {
			return endlessResponse(http.StatusBadGateway, 64<<10, time.Millisecond), nil
		}, false},
		"cut": {func() (*executor.Response, error) {
			return &executor.Response{Status: http.StatusOK, Header: http.Header{}, Length: int64(len(text)),
				Body: io.NopCloser(io.MultiReader(strings.NewReader(text[:len(text)/2]), errReader{}))}, nil
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeService(map[string]*fakeUpstream{"a": {answer: c.answer, load: placement.Load{Slots: 1000, Slowness: 1}},
					"b": {answer: c.answer, load: placement.Load{Slots: 1000, Slowness: 1}}})
				for _, e := range f.list {
					e.Slots = 1000
				}
				fw := f.forwarder(requests)
				memory := membudget.New(membudget.Limits{Responses: limit, NoShares: true})
				fw.cfg.ReserveMemory = func(n int64) bool { return memory.Reserve(membudget.Responses, netip.Addr{}, 0, n) }
				fw.cfg.ReleaseMemory = func(n int64) { memory.Release(membudget.Responses, netip.Addr{}, n) }
				results := make(chan *Result, requests)
				for range requests {
					go func() { results <- fw.Run(t.Context(), request(true)) }()
				}
				most := int64(0)
				for range 500 {
					time.Sleep(time.Millisecond)
					most = max(most, fw.BufferedBytes())
				}
				is.True(most <= limit)
				is.True(most > limit/2 || name == "cut") // a cut answer is held for no time
				time.Sleep(10 * time.Millisecond)
				for range requests {
					r := <-results
					if r.Stream == nil {
						is.True(!c.whole) // the others are not small
						continue
					}
					body, err := io.ReadAll(r.Stream)
					is.Equal(err == nil, c.whole)
					if c.whole {
						is.Equal(string(r.Body)+string(body), text)
					}
					is.NoErr(r.Stream.Close())
				}
				time.Sleep(time.Minute)
				is.Equal(fw.BufferedBytes(), int64(0))
			})
		})
	}
}

// TestStalledAnswerCountsAsFailure guards against an endpoint that keeps its good name although its answers begin and never end. A body that
// makes progress, and one that the caller has not waited for, count for nothing.
func TestStalledAnswerCountsAsFailure(t *testing.T) {
	stalling := func() (*executor.Response, error) { return endlessResponse(http.StatusOK, 1, 10*time.Millisecond), nil }
	for name, c := range map[string]struct {
		answer     func() (*executor.Response, error)
		idempotent bool
		leaveAfter time.Duration // of the caller; 0 for never
		failed     bool
	}{
		"until the deadline":      {answer: stalling, failed: true},
		"until the hedge answers": {answer: stalling, idempotent: true, failed: true},
		"header until the deadline": {answer: func() (*executor.Response, error) {
			time.Sleep(time.Second)
			return nil, &executor.SendError{Written: true, Partial: true, Err: context.DeadlineExceeded}
		}, failed: true},
		"no header until the deadline": {answer: func() (*executor.Response, error) {
			time.Sleep(time.Second)
			return nil, &executor.SendError{Written: true, Err: context.DeadlineExceeded}
		}},
		"progress": {answer: func() (*executor.Response, error) {
			return endlessResponse(http.StatusOK, 1<<10, 10*time.Millisecond), nil
		}},
		"the caller left": {answer: stalling, leaveAfter: 30 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeService(map[string]*fakeUpstream{"a": {answer: c.answer},
					"b": {duration: usualDuration, load: placement.Load{Slots: 2, Slowness: 1.2}}})
				fw := f.forwarder(largeBurst)
				cuts := make(chan Cut, 10)
				fw.cfg.OnCut = func(cut Cut) { cuts <- cut }
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				if c.leaveAfter > 0 {
					time.AfterFunc(c.leaveAfter, leave)
				}
				r := fw.Run(ctx, request(c.idempotent))
				is.Equal(r.Outcome == Answered, c.idempotent)
				time.Sleep(2 * time.Second)
				is.Equal(fw.failureRate("a") > 0, c.failed)
				is.Equal(fw.failureRate("b"), 0.0)
				if c.failed {
					is.Equal(len(cuts), 1)
					is.Equal((<-cuts).Endpoint, "a")
				} else {
					is.Equal(len(cuts), 0)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// failureRate returns the failure rate of an endpoint of a fakeService.
func (f *Forwarder) failureRate(name string) float64 {
	for _, e := range f.cfg.Endpoints().Services["lotdesk"] {
		if e.Name == name {
			return f.cfg.EndpointStats.View(*e, time.Now()).FailureRate
		}
	}
	return -1
}

// TestCutStreamCountsAsFailure guards against an endpoint that keeps its good name although its large answers break off or never end, and against
// cut answers that no log entry tells of. An endpoint is not to blame if the caller reads slowly or leaves.
func TestCutStreamCountsAsFailure(t *testing.T) {
	breaking := func() (*executor.Response, error) {
		return &executor.Response{Status: http.StatusOK, Header: http.Header{}, Length: 10 << 20,
			Body: io.NopCloser(io.MultiReader(strings.NewReader("first"), errReader{}))}, nil
	}
	endless := func() (*executor.Response, error) {
		return endlessResponse(http.StatusOK, 64<<10, time.Millisecond), nil
	}
	for name, c := range map[string]struct {
		answer      func() (*executor.Response, error)
		readPause   time.Duration // of the caller
		leave       bool
		failed, cut bool
	}{
		"breaks off":                       {answer: breaking, failed: true, cut: true},
		"endless":                          {answer: endless, failed: true, cut: true},
		"endless for a caller that pauses": {answer: endless, readPause: 3 * time.Millisecond, cut: true},
		"the caller left":                  {answer: endless, leave: true},
	} {
		t.Run(name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeService(map[string]*fakeUpstream{"a": {answer: c.answer}})
				fw := f.forwarder(largeBurst)
				cuts := make(chan Cut, 10)
				fw.cfg.OnCut = func(cut Cut) { cuts <- cut }
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				call := request(true)
				r := fw.Run(ctx, call)
				is.Equal(r.Outcome, Answered)
				buffer := make([]byte, 32<<10)
				read := 0
				for n, err := 0, error(nil); err == nil; read += n {
					if c.leave && read > maxBufferedBody {
						leave()
					}
					n, err = r.Stream.Read(buffer)
					time.Sleep(c.readPause)
					is.True(err != io.EOF)
				}
				is.True(time.Since(call.Due) < 10*time.Millisecond) // a read of 1 ms and two pauses
				is.NoErr(r.Stream.Close())
				is.Equal(fw.failureRate("a") > 0, c.failed)
				is.Equal(len(cuts) == 1, c.cut)
				if c.cut {
					cut := <-cuts
					is.Equal(cut.Bytes, int64(read))
					is.Equal(cut.Status, http.StatusOK)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
