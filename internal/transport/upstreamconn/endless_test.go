package upstreamconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
)

const (
	okHead      = "HTTP/1.1 200 OK\r\n"
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// endlessResponse is a response that consists of start and of unit, again and again, until the other side closes the connection.
type endlessResponse struct{ name, start, unit string }

// endlessHeads are responses whose head never ends or is malformed.
var endlessHeads = []endlessResponse{
	{"status line", "HTTP/1.1 200 ", "O"},
	{"no status line", "", "\x00"},
	{"lines", "", "hello\r\n"},
	{"malformed long line", strings.Repeat("\x00", 3<<10) + "\r\n", "\x00"},
	{"malformed long field", okHead + strings.Repeat("\x00", 3<<10) + "\r\n", "\x00"},
	{"header line", okHead + "X: ", "x"},
	{"header fields", okHead, "X: x\r\n"},
	{"continuation lines", okHead + "X: x\r\n", " x\r\n"},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"interim head", "HTTP/1.1 103 Early Hints\r\n", "X: x\r\n"},
	{"huge length", okHead + "Content-Length: 9223372036854775807\r\n\r\n", "x"},
	{"length above int64", okHead + "Content-Length: 9223372036854775808\r\n\r\n", "x"},
}

// endlessBodies are responses whose body never ends or is malformed.
var endlessBodies = []endlessResponse{
	{"length", okHead + "Content-Length: 1048576\r\n\r\n", "x"},
	{"chunks", chunkedHead, "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n"},
	{"huge chunk", chunkedHead + "7fffffffffffffff\r\n", "x"},
	{"one-byte chunks", chunkedHead, "1\r\nx\r\n"},
	{"chunk size", chunkedHead, "0"},
	{"chunk extension", chunkedHead + "1;", "x"},
	{"chunks with extensions", chunkedHead, "1;" + strings.Repeat("x", 100) + "\r\nx\r\n"},
	{"trailer line", chunkedHead + "0\r\nX: ", "x"},
	{"trailer", chunkedHead + "0\r\n", "X: x\r\n"},
	{"until close", okHead + "Connection: close\r\n\r\n", "x"},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n", "x"},
}

// afterResponse is a whole response that is followed by bytes without end.
var afterResponse = endlessResponse{"after a response", okHead + "Content-Length: 2\r\n\r\nok", "x"}

// endlessUpstream sends endless responses and counts the connections that the other side has not closed.
type endlessUpstream struct {
	*rawUpstream
	open atomic.Int64
	sent atomic.Int64 // bytes that the kernel has accepted
}

// slowInterval is the interval at which a slow endless response sends a byte. It is shorter than any time-out on inactivity.
const slowInterval = 5 * time.Millisecond

// newEndlessUpstream starts an upstream that answers each request with r. If slow is true, what follows r.start is sent a byte at a time.
func newEndlessUpstream(t *testing.T, r endlessResponse, slow bool) *endlessUpstream {
	t.Helper()
	u := &endlessUpstream{}
	size, pause := 32<<10, time.Duration(0)
	if slow {
		size, pause = 1, slowInterval
	}
	repeated := strings.Repeat(r.unit, 1+(32<<10)/len(r.unit))
	u.rawUpstream = newRawUpstream(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
		u.open.Add(1)
		defer u.open.Add(-1)
		_, err := io.WriteString(c, r.start)
		for rest := repeated; err == nil; {
			var n int
			n, err = io.WriteString(c, rest[:min(size, len(rest))])
			u.sent.Add(int64(n))
			if rest = rest[n:]; rest == "" {
				rest = repeated
			}
			time.Sleep(pause)
		}
		return false
	})
	return u
}

// waitForClose waits until the other side has closed all connections.
func (u *endlessUpstream) waitForClose(t *testing.T) {
	t.Helper()
	for begin := time.Now(); u.open.Load() > 0; time.Sleep(time.Millisecond) {
		if time.Since(begin) > 10*time.Second {
			t.Fatalf("%d connections are still open", u.open.Load())
		}
	}
}

const (
	// slowDeadline is the deadline of requests to slow endless upstreams, and fastDeadline of those to fast ones, which a limit on the size ends.
	slowDeadline = 150 * time.Millisecond
	fastDeadline = 20 * time.Second
	// endlessSlack is the time that the end of a request may take beyond its deadline on a busy machine.
	endlessSlack = 2 * time.Second
	// maxKernelBytes is more than the kernel buffers of a connection.
	maxKernelBytes = 16 << 20
	// maxErrorText is the size in bytes of the longest text of an error that may get into log lines and refusals.
	maxErrorText = 400
)

func endlessDeadline(slow bool) time.Duration {
	if slow {
		return slowDeadline
	}
	return fastDeadline
}

// forEachEndless runs check with each of the responses, sent fast and slowly.
func forEachEndless(t *testing.T, responses []endlessResponse, check func(t *testing.T, u *endlessUpstream, slow bool)) {
	for _, r := range responses {
		for _, slow := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/slow=%t", r.name, slow), func(t *testing.T) {
				t.Parallel()
				check(t, newEndlessUpstream(t, r, slow), slow)
			})
		}
	}
}

// TestEndlessResponse guards against responses without end that look whole, outlive the deadline, or keep or reuse their connection, and
// against errors that quote kilobytes of them.
func TestEndlessResponse(t *testing.T) {
	forEachEndless(t, append(endlessHeads, endlessBodies...), func(t *testing.T, u *endlessUpstream, slow bool) {
		is := is.New(t)
		p := testPool()
		for i := 1; i <= 2; i++ {
			ctx, cancel := context.WithTimeout(t.Context(), endlessDeadline(slow))
			begin := time.Now()
			_, _, err := exchange(ctx, p, u.endpoint, call(fmt.Sprint("r", i), "GET", nil))
			is.True(err != nil)
			is.True(time.Since(begin) < endlessDeadline(slow)+endlessSlack)
			is.True(slow || ctx.Err() == nil) // a limit on the size ends a fast one
			is.True(len(err.Error()) <= maxErrorText)
			cancel()
			u.waitForClose(t)
			conns, requests := u.counts()
			is.Equal(conns, i)
			is.Equal(requests, i)
		}
	})
}

// TestEndlessBytesAfterResponse guards against a connection that stays open or is used again while bytes without end follow a response.
func TestEndlessBytesAfterResponse(t *testing.T) {
	forEachEndless(t, []endlessResponse{afterResponse}, func(t *testing.T, u *endlessUpstream, _ bool) {
		is := is.New(t)
		p := testPool()
		for i := 1; i <= 2; i++ {
			_, text, err := exchange(t.Context(), p, u.endpoint, call(fmt.Sprint("r", i), "GET", nil))
			is.NoErr(err)
			is.Equal(text, "ok")
			u.waitForClose(t)
			conns, _ := u.counts()
			is.Equal(conns, i)
		}
	})
}

// TestEndlessProbe guards against probes that read a body for as long as it comes: 300 MB in 0.3 s. Only the limit of a probe may end a fast
// body, since the limit on responses to callers' requests is much higher. A probe whose context has no deadline ends by its own.
func TestEndlessProbe(t *testing.T) {
	forEachEndless(t, append(endlessHeads, endlessBodies...), func(t *testing.T, u *endlessUpstream, slow bool) {
		is := is.New(t)
		p := NewPool(DefaultConfig())
		ctx, cancel := context.WithTimeout(t.Context(), endlessDeadline(slow))
		defer cancel()
		begin := time.Now()
		_, err := p.ProbeLoad(ctx, u.endpoint, "/health")
		is.True(err != nil)
		is.True(slow || ctx.Err() == nil)
		is.True(time.Since(begin) < endlessDeadline(slow)+endlessSlack)
		begin = time.Now()
		_, err = p.Probe(t.Context(), u.endpoint)
		is.True(err != nil)
		is.True(time.Since(begin) < probeTimeout+endlessSlack)
		u.waitForClose(t)
		conns, _ := u.counts()
		is.Equal(conns, 2)
		is.True(u.sent.Load() < 2*maxKernelBytes)
	})
}

// TestProbeBody checks that a probe reads the body of a response to its end, so that the connection can be used again.
func TestProbeBody(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
		fmt.Fprintf(c, okHead+"Upstream-Load: 1/4\r\nContent-Length: %d\r\n\r\n%s", maxProbeBodyBytes, strings.Repeat("x", maxProbeBodyBytes))
		return true
	})
	p := NewPool(DefaultConfig())
	for range 3 {
		load, err := p.ProbeLoad(t.Context(), u.endpoint, "/health")
		is.NoErr(err)
		is.Equal(load.Slots, 4)
		for idleCount(p, u.endpoint.ID) == 0 {
			time.Sleep(time.Millisecond) // until net/http has called Read again, so that the connection is idle
		}
	}
	conns, _ := u.counts()
	is.Equal(conns, 1)
}

// TestEndlessDiscardedResponse guards against discarding the body of an unused response for as long as it comes.
func TestEndlessDiscardedResponse(t *testing.T) {
	forEachEndless(t, append(endlessBodies, afterResponse), func(t *testing.T, u *endlessUpstream, _ bool) {
		is := is.New(t)
		p := NewPool(DefaultConfig())
		for i := 1; i <= 2; i++ {
			resp, err := p.Send(t.Context(), u.endpoint, call(fmt.Sprint("r", i), "GET", nil))
			is.NoErr(err)
			begin := time.Now()
			resp.Discard()
			is.True(time.Since(begin) < endlessSlack)
			u.waitForClose(t)
			conns, _ := u.counts()
			is.Equal(conns, i)
		}
	})
}

// TestHeaderLines guards against a header of many short fields, which takes 17 times its size in memory while the rest of it is awaited. Lines of
// the body do not count, nor does the size of the fields.
func TestHeaderLines(t *testing.T) {
	fields := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "%x:\n", i)
		}
		return b.String()
	}
	lines := strings.Repeat("\n", 2*maxHeaderLines)
	for _, c := range []struct {
		name, raw string
		ok        bool
	}{
		{"fields", okHead + fields(maxHeaderLines), false},
		{"continuation lines", okHead + "X: x\r\n" + strings.Repeat(" x\n", maxHeaderLines), false},
		{"interim responses", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxHeaderLines), false},
		{"fields after interim responses", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 10) + okHead + fields(maxHeaderLines-10), false},
		{"most fields", okHead + fields(maxHeaderLines-3) + // the status line, the length and the empty line
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(lines), lines), true},
		{"most fields after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + okHead + fields(maxHeaderLines-5) +
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(lines), lines), true},
		{"large fields", okHead + strings.Repeat("X: "+strings.Repeat("x", 1000)+"\r\n", 50) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(lines), lines), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, _, _ int) bool {
				io.WriteString(conn, c.raw)
				return true
			})
			p := NewPool(DefaultConfig())
			for i := range 2 { // the second response may come on the same connection
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				_, text, err := exchange(ctx, p, u.endpoint, call(fmt.Sprint("r", i), "GET", nil))
				is.NoErr(ctx.Err()) // the rest of the header was not awaited
				cancel()
				is.Equal(err == nil, c.ok)
				if c.ok {
					is.Equal(text, lines)
				}
			}
		})
	}
}

// TestPartialHeader checks which failures say that a part of a header has arrived: not those of an upstream that is silent, or that has sent only
// whole interim responses.
func TestPartialHeader(t *testing.T) {
	for raw, partial := range map[string]bool{
		"":                                    false,
		"HTTP/1.1 103 Early Hints\r\n\r\n":    false,
		"H":                                   true,
		"HTTP/1.1 200 OK\r\n":                 true,
		"HTTP/1.1 200 OK\r\nX: x\r\n":         true,
		"HTTP/1.1 200 OK\r\nX":                true,
		"HTTP/1.1 103 Early Hints\r\nX: x\r":  true,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTT": true,
	} {
		is := is.New(t)
		u := newRawUpstream(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
			io.WriteString(c, raw)
			return false
		})
		_, err := testPool().Send(t.Context(), u.endpoint, call("r1", "GET", nil))
		var se *executor.SendError
		is.True(errors.As(err, &se))
		is.True(se.Written)
		is.Equal(se.Partial, partial)
	}
}
