package httpfetch

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
)

// TestLimits checks what ends a call: silence before the header or within the body, and a body that is too large, but not a slow one.
func TestLimits(t *testing.T) {
	const bandwidth = 100 << 10 // bytes per second
	page := bytes.Repeat([]byte{'x'}, 500<<10)
	for name, c := range map[string]struct {
		silentAfter int // bytes of the body; -1 for before the header
		limit       int64
		took        time.Duration
		tooLarge    bool
		ok          bool
	}{
		"slow":                 {silentAfter: len(page), limit: int64(len(page)), took: 5 * time.Second, ok: true},
		"silent before header": {silentAfter: -1, limit: int64(len(page)), took: time.Second},
		"silent in the body":   {silentAfter: len(page) / 2, limit: int64(len(page)), took: 3500 * time.Millisecond},
		"too large":            {silentAfter: len(page), limit: int64(len(page)) - 1, took: 5 * time.Second, tooLarge: true},
	} {
		t.Run(name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				link := faketime.NewLink(bandwidth)
				release := make(chan struct{})
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if c.silentAfter >= 0 {
						_, _ = w.Write(page[:c.silentAfter]) // fails if the caller gives up
						w.(http.Flusher).Flush()
					}
					if c.silentAfter < len(page) {
						<-release
					}
				})}
				go func() { _ = server.Serve(link) }() // returns when the server is closed
				transport := &http.Transport{DialContext: link.DialContext}
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://host/path", nil)
				is.NoErr(err)
				begin := time.Now()
				resp, err := Do(&http.Client{Transport: transport}, req, Limits{Idle: time.Second, Bytes: c.limit})
				took := time.Since(begin)
				close(release)
				transport.CloseIdleConnections()
				server.Close()
				time.Sleep(10 * time.Second) // the server's goroutines end
				is.Equal(err == nil, c.ok)
				is.Equal(trace.IsLimitExceeded(err), c.tooLarge)
				if c.ok {
					is.Equal(resp.Body, page)
				} else if !c.tooLarge {
					is.True(trace.IsConnectionProblem(err))
				}
				is.True(took >= c.took-100*time.Millisecond && took <= c.took+500*time.Millisecond)
			})
		})
	}
}

// TestWait checks calls that the server answers later on purpose: the wait ends with the first bytes of the body, and OnProgress can end the call.
func TestWait(t *testing.T) {
	const wait, idle = 10 * time.Second, time.Second
	unwanted := errors.New("unwanted")
	for name, c := range map[string]struct {
		headerAfter, bodyAfter, endAfter time.Duration // from the call, the header and the first part of the body on
		progress                         error
		took                             time.Duration
		ok                               bool
	}{
		"late":                {headerAfter: 9 * time.Second, took: 9 * time.Second, ok: true},
		"header first":        {bodyAfter: 9 * time.Second, took: 9 * time.Second, ok: true},
		"too late":            {headerAfter: 12 * time.Second, took: wait + idle},
		"silent in the body":  {headerAfter: 5 * time.Second, endAfter: 5 * time.Second, took: 5*time.Second + idle},
		"ended by OnProgress": {headerAfter: 5 * time.Second, endAfter: 500 * time.Millisecond, progress: unwanted, took: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				link := faketime.NewLink(1 << 20)
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(c.headerAfter)
					w.(http.Flusher).Flush()
					time.Sleep(c.bodyAfter)
					_, _ = w.Write([]byte("first")) // fails if the caller gives up
					w.(http.Flusher).Flush()
					time.Sleep(c.endAfter)
					_, _ = w.Write([]byte("last"))
				})}
				go func() { _ = server.Serve(link) }() // returns when the server is closed
				transport := &http.Transport{DialContext: link.DialContext}
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://host/path", nil)
				is.NoErr(err)
				begin, counts := time.Now(), []int{}
				_, err = Do(&http.Client{Transport: transport}, req, Limits{Idle: idle, Wait: wait, Bytes: 100, OnProgress: func(status, bytes int) error {
					is.Equal(status, http.StatusOK)
					counts = append(counts, bytes)
					return c.progress
				}})
				took := time.Since(begin)
				transport.CloseIdleConnections()
				server.Close()
				time.Sleep(20 * time.Second) // the server's goroutines end
				is.Equal(err == nil, c.ok)
				is.True(took >= c.took && took <= c.took+100*time.Millisecond)
				if c.ok {
					is.Equal(counts[len(counts)-1], len("firstlast"))
				}
				if c.progress != nil {
					is.Equal(counts, []int{len("first")})
				}
			})
		})
	}
}

// TestEndlessResponse guards against calls that go on for as long as a server sends bytes, however slowly, and against errors that quote
// kilobytes of them.
func TestEndlessResponse(t *testing.T) {
	const idle = time.Second
	for name, c := range map[string]struct {
		start, unit string
		interval    time.Duration
		took        time.Duration
		tooLarge    bool
	}{
		"slow status line":    {"HTTP/1.1 200 ", "O", idle / 10, idle, false},
		"slow header":         {"HTTP/1.1 200 OK\r\n", "X: x\r\n", idle / 10, idle, false},
		"slow interim":        {"", "HTTP/1.1 103 Early Hints\r\n\r\n", idle / 10, idle, false},
		"slow body":           {"HTTP/1.1 200 OK\r\n\r\n", "x", idle / 10, slowFactor*idle + idle/10, false},
		"slow chunks":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", idle / 10, slowFactor*idle + idle/10, false},
		"slow chunk":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n", "x", idle / 10, idle, false},
		"fast status line":    {"HTTP/1.1 200 ", strings.Repeat("O", 1<<10), time.Millisecond, idle / 2, false},
		"fast header":         {"HTTP/1.1 200 OK\r\n", "X: " + strings.Repeat("x", 1<<10) + "\r\n", time.Millisecond, idle / 2, false},
		"fast body":           {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1<<10), time.Millisecond, idle / 2, true},
		"malformed long line": {strings.Repeat("\x00", 10<<10) + "\r\n", "x", idle, idle / 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			faketime.Test(t, func(t *testing.T) {
				is := is.New(t)
				link := faketime.NewLink(10 << 20)
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					conn, out, err := http.NewResponseController(w).Hijack()
					is.NoErr(err)
					defer conn.Close()
					out.WriteString(c.start)
					for out.Flush() == nil {
						time.Sleep(c.interval)
						out.WriteString(c.unit)
					}
				})}
				go func() { _ = server.Serve(link) }() // returns when the server is closed
				transport := &http.Transport{DialContext: link.DialContext, MaxResponseHeaderBytes: MaxHeaderBytes}
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://host/path", nil)
				is.NoErr(err)
				begin := time.Now()
				_, err = Do(&http.Client{Transport: transport}, req, Limits{Idle: idle, Bytes: 100 << 10})
				took := time.Since(begin)
				transport.CloseIdleConnections()
				server.Close()
				time.Sleep(10 * time.Second) // the server's goroutines end
				is.True(err != nil)
				is.Equal(trace.IsLimitExceeded(err), c.tooLarge)
				is.True(took <= c.took+100*time.Millisecond)
				is.True(len(err.Error()) < 500)
			})
		})
	}
}
