package forward

import (
	"context"
	"errors"
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
				fw.cfg.MaxBufferedBytes = limit
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
