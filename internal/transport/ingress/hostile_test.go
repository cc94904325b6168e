package ingress

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/membudget"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
)

// sumHandler answers with the SHA-256 of the body.
type sumHandler struct{ discard atomic.Bool }

func (h *sumHandler) MayRunConcurrently(*Request) bool { return true }

func (h *sumHandler) NeedsBody(*Request) bool { return !h.discard.Load() }

func (h *sumHandler) Serve(_ context.Context, r *Request) *Response {
	return &Response{Status: http.StatusOK, Header: http.Header{}, Body: fmt.Appendf(nil, "%x", sha256.Sum256(r.Body))}
}

func post(size int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
}

// request sends bytes and returns the status of the response, or 0 if there is none.
func request(c net.Conn, text string) int {
	if _, err := io.WriteString(c, text); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// TestLargestBody guards against a host that cannot serve one body of the largest legal size, and against one that needs a multiple of its memory for it.
func TestLargestBody(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), int(routing.DefaultLimits.MaxBodyBytes)/16)
	sum := fmt.Sprintf("%x", sha256.Sum256(body))
	for _, chunked := range []bool{false, true} {
		is := is.New(t)
		s, dial := memoryServer(t, &sumHandler{}, Config{MaxConnections: 8,
			Memory: membudget.New(membudget.Limits{Heap: 1 << 20, SmallBodies: 1 << 20, LargeBodies: routing.DefaultLimits.MaxBodyBytes})})
		c := dial()
		before := residentBytes(t)
		var peak atomic.Int64
		done := make(chan struct{})
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(5 * time.Millisecond):
					peak.Store(max(peak.Load(), residentBytes(t)))
				}
			}
		}()
		go func() {
			if !chunked {
				io.WriteString(c, post(len(body)))
				c.Write(body)
				return
			}
			io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
			for rest := body; len(rest) > 0; rest = rest[min(len(rest), 1<<20):] {
				n := min(len(rest), 1<<20)
				fmt.Fprintf(c, "%x\r\n", n)
				c.Write(rest[:n])
				io.WriteString(c, "\r\n")
			}
			io.WriteString(c, "0\r\n\r\n")
		}()
		resp, text := answer(t, bufio.NewReader(c))
		close(done)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(text, sum)
		waitFor(func() bool { return s.memory.Used(membudget.LargeBodies) == 0 })
		growth := peak.Load() - before
		t.Logf("chunked %t: resident memory grew by %d MiB", chunked, growth>>20)
		is.True(growth < int64(len(body))*5/4) // apart from the test's own buffers
	}
}

// TestStalledBodies guards against bodies that stop just short of their end and take the memory from others for as long as they like.
func TestStalledBodies(t *testing.T) {
	is := is.New(t)
	const limit, size, clients = 4 << 20, 1 << 20, 12
	s, dial := memoryServer(t, &sumHandler{}, Config{MaxConnections: 100, Memory: membudget.New(membudget.Limits{SmallBodies: 1 << 20, LargeBodies: limit})})
	var stalled []net.Conn
	for n := range clients {
		c := dial()
		stalled = append(stalled, c)
		head := post(size)
		if n%2 == 1 {
			head = fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", size)
		}
		go io.WriteString(c, head+strings.Repeat("x", size-1))
	}
	waitFor(func() bool { return s.memory.Refused(membudget.LargeBodies) > 0 })
	for range 20 { // small bodies are not affected
		is.Equal(request(dial(), post(1000)+strings.Repeat("x", 1000)), http.StatusOK)
	}
	time.Sleep(stalledBodyTime)
	is.Equal(request(dial(), post(size)+strings.Repeat("x", size)), http.StatusOK)
	is.True(s.memory.Used(membudget.LargeBodies) <= limit)
	is.True(len(stalled) == clients)
}

// withoutProgressFor reports whether a server has accepted all connections, and none of those that stay open has made progress for a time. On a busy
// machine the server accepts and serves them late.
func withoutProgressFor(s *Server, wait time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		closing := c.lastRead
		c.mu.Unlock()
		if at := max(c.activity.progressAt.Load(), c.activity.writingAt.Load()); !closing && time.Since(c.openedAt.Add(time.Duration(at))) <= wait {
			return false
		}
	}
	return !sockbuf.Waiting(s.listeners[0])
}

// TestSilentConnections guards against clients that open connections and send nothing, little, or do not read, so that others get none.
func TestSilentConnections(t *testing.T) {
	for _, c := range []struct {
		name, text string
		wait       time.Duration
		size       int // of the responses
	}{
		{"nothing", "", newConnTime, 10},
		{"part of a head", "GET / HT", newConnTime, 10},
		{"idle", get("/"), idleConnTime, 10},
		{"part of a body", get("/") + post(100) + "x", stuckTime, 10},
		{"unread", strings.Repeat(get("/"), 30), unreadTime, 1 << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const most = 20
			var evicted atomic.Int64
			s, dial := memoryServer(t, &heldHandler{size: c.size}, Config{MaxConnections: most, Memory: bodyMemory(1 << 20),
				OnEvicted: func(net.Addr, Eviction) { evicted.Add(1) }})
			for range most + minSpare {
				_, _ = io.WriteString(dial(), c.text) // fails for connections that are closed at once
			}
			time.Sleep(c.wait + 200*time.Millisecond)
			waitFor(func() bool { return withoutProgressFor(s, c.wait) })
			served := 0
			for range 10 {
				nc := dial()
				if request(nc, get("/")) == http.StatusOK {
					served++
				}
				nc.Close()
			}
			is.True(served >= 9)
			is.True(evicted.Load() > 0)
		})
	}
}

// TestUnreadPipelines guards against callers that send many requests and do not read the responses, which would fill the memory.
func TestUnreadPipelines(t *testing.T) {
	is := is.New(t)
	const limit, clients = 40 * pipelinedBytes, 20
	s, dial := memoryServer(t, &heldHandler{size: pipelinedBytes}, Config{MaxConnections: 100, Memory: membudget.New(membudget.Limits{Responses: limit})})
	for range clients {
		c := dial()
		go io.WriteString(c, strings.Repeat(get("/"), 5000))
	}
	waitFor(func() bool { return s.memory.Refused(membudget.Responses) > 0 })
	for range 50 {
		is.Equal(request(dial(), get("/")), http.StatusOK)
		is.True(s.memory.Used(membudget.Responses) <= limit)
	}
}

// TestManyFields guards against heads of very many short fields, many at a time: they are refused, and others are served.
func TestManyFields(t *testing.T) {
	is := is.New(t)
	h := &heldHandler{release: make(chan struct{})}
	defer close(h.release)
	s, dial := memoryServer(t, h, Config{MaxConnections: 100, Memory: membudget.New(membudget.Limits{Heads: 4 << 20})})
	is.Equal(request(dial(), manyFields("/")), http.StatusOK) // a single one
	refused := make(chan int, 40)
	for range cap(refused) {
		c := dial()
		go func() { refused <- request(c, manyFields("/held")) }()
	}
	for range cap(refused) - heavyHeadsBurst {
		is.Equal(<-refused, http.StatusServiceUnavailable)
	}
	for range 20 {
		is.Equal(request(dial(), get("/")), http.StatusOK)
	}
	is.True(s.memory.Used(membudget.Heads) <= 4<<20)
}

// TestDiscardedBody guards against memory for the bodies of requests that are refused in any case. The connection can still be used.
func TestDiscardedBody(t *testing.T) {
	is := is.New(t)
	h := &sumHandler{}
	h.discard.Store(true)
	_, dial := memoryServer(t, h, Config{MaxConnections: 8, Memory: membudget.New(membudget.Limits{SmallBodies: 1, LargeBodies: 1})})
	c := dial()
	br := bufio.NewReader(c)
	for range 2 {
		go io.WriteString(c, post(1<<20)+strings.Repeat("x", 1<<20))
		resp, _ := answer(t, br)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
}

// TestRetainedBody guards against the memory of a body that is freed while a connection to an endpoint reads it.
func TestRetainedBody(t *testing.T) {
	is := is.New(t)
	freed := 0
	b, err := newBodyBuffer(1<<20, func() { freed++ })
	is.NoErr(err)
	b.data = append(b.data, "body"...)
	data, release := b.data, b.retain()
	b.release()
	is.Equal(freed, 0)
	is.Equal(string(data), "body")
	release()
	is.Equal(freed, 1)
	is.True(b.pages == nil)
}

// TestPipelinePace guards against callers that take all of the processor with requests that are refused at once, and against a delay for callers that wait
// for each response.
func TestPipelinePace(t *testing.T) {
	is := is.New(t)
	const perS = 100
	s, dial := memoryServer(t, &heldHandler{size: 1}, Config{MaxConnections: 100, PipelinedPerS: perS})
	begin := time.Now()
	c := dial()
	go io.WriteString(c, strings.Repeat(get("/"), 100))
	br := bufio.NewReader(c)
	for range 100 {
		resp, _ := answer(t, br)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	is.True(time.Since(begin) >= time.Second/2) // at least 50 of them came beyond the burst
	for range 10 {
		s.pipelinePace.ReserveN(time.Now(), s.pipelinePace.Burst()) // whoever is paced waits for seconds
	}
	begin = time.Now()
	for range 20 {
		is.Equal(request(dial(), get("/")), http.StatusOK)
	}
	is.True(time.Since(begin) < time.Second)
}
