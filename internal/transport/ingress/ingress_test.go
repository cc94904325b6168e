package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// handler chooses the response by path. Requests whose path begins with /hold wait until they are released or the caller disconnects.
type handler struct {
	mu       sync.Mutex
	bodies   []string
	content  []byte // of the responses, if it is not nil
	started  chan string
	release  map[string]chan struct{}
	canceled chan string
}

func newHandler() *handler {
	return &handler{started: make(chan string, 64), canceled: make(chan string, 64), release: map[string]chan struct{}{}}
}

func (h *handler) hold(path string) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.release[path] == nil {
		h.release[path] = make(chan struct{})
	}
	return h.release[path]
}

func (h *handler) MayRunConcurrently(r *Request) bool { return r.Method == http.MethodGet }

func (h *handler) Serve(ctx context.Context, r *Request) *Response {
	h.mu.Lock()
	h.bodies = append(h.bodies, string(r.Body))
	h.mu.Unlock()
	h.started <- r.Target
	if strings.HasPrefix(r.Path, "/hold") {
		select {
		case <-h.hold(r.Path):
		case <-ctx.Done():
			h.canceled <- r.Path
		}
	}
	if strings.HasSuffix(r.Path, "/panic") {
		panic("index out of range")
	}
	if r.Path == "/cut" {
		return &Response{Status: 200, Length: 10, Stream: io.NopCloser(strings.NewReader("half"))}
	}
	if r.Path == "/unknown-length" {
		return &Response{Status: 200, Length: -1, Stream: io.NopCloser(strings.NewReader(strings.Repeat("x", 9000)))}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.content != nil {
		return &Response{Status: 200, Body: h.content}
	}
	return &Response{Status: 200, Header: http.Header{"X-Path": {r.Target}}, Body: []byte(r.Target)}
}

// panics receives the handler panics that the servers of the tests report.
var panics = make(chan string, 8)

func serve(t *testing.T, h Handler, limits routing.Limits, configure ...func(*Config)) (*Server, func() net.Conn) {
	t.Helper()
	cfg := Config{Handler: h, Limits: func() routing.Limits { return limits }, MaxConnections: 8, Memory: bodyMemory(1 << 20),
		OnPanic: func(r *Request, value any, _ []byte) { panics <- fmt.Sprint(r.Target, " ", value) }}
	for _, f := range configure {
		f(&cfg)
	}
	s := New(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(func() {
		l.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.Close(ctx)
	})
	return s, func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// answer reads one response.
func answer(t *testing.T, br *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// TestPipelined checks that pipelined idempotent requests run concurrently and are answered in the order in which they were sent.
func TestPipelined(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	_, dial := serve(t, h, routing.DefaultLimits)
	c := dial()
	send(t, c, get("/hold/1")+get("/2")+get("/3"))
	seen := map[string]bool{}
	for range 3 {
		seen[<-h.started] = true // all three start before the first is answered
	}
	is.Equal(len(seen), 3)
	close(h.hold("/hold/1"))
	br := bufio.NewReader(c)
	for _, want := range []string{"/hold/1", "/2", "/3"} {
		_, body := answer(t, br)
		is.Equal(body, want)
	}
}

// TestNonIdempotentWaits checks that a pipelined request that is not idempotent waits until earlier ones are answered. If an earlier
// response closes the connection, the caller sends the later requests again, so this one must not have run.
func TestNonIdempotentWaits(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	s, dial := serve(t, h, routing.DefaultLimits)
	c := dial()
	send(t, c, get("/hold/1")+"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
	is.Equal(<-h.started, "/hold/1")
	for s.Unanswered() < 2 { // until the second one has been read
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(h.started), 0)
	close(h.hold("/hold/1"))
	is.Equal(<-h.started, "/2")
	br := bufio.NewReader(c)
	answer(t, br)
	_, body := answer(t, br)
	is.Equal(body, "/2")
}

// TestCallerLeaves checks that all handlers of a connection are canceled when the caller disconnects, also with several pipelined requests.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	_, dial := serve(t, h, routing.DefaultLimits)
	c := dial()
	send(t, c, get("/hold/1")+get("/hold/2"))
	<-h.started
	<-h.started
	c.Close()
	canceled := map[string]bool{<-h.canceled: true, <-h.canceled: true}
	is.Equal(canceled, map[string]bool{"/hold/1": true, "/hold/2": true})
}

// TestBodies guards the reading of bodies of known and unknown length, and that the next request begins right behind them.
func TestBodies(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	_, dial := serve(t, h, routing.DefaultLimits)
	c := dial()
	br := bufio.NewReader(c)
	send(t, c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	answer(t, br)
	send(t, c, "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n2\r\n!!\r\n0\r\nTrailer: t\r\n\r\n")
	answer(t, br)
	send(t, c, "POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	resp, _ := answer(t, br)
	is.Equal(resp.StatusCode, 100)
	send(t, c, "ok")
	answer(t, br)
	is.Equal(h.bodies, []string{"abc", "xyz!!", "ok"})
}

// waitFor returns when the condition holds.
func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// anyContinueDue reports whether a connection of the server owes a 100 Continue.
func anyContinueDue(s *Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		due := c.continueDue
		c.mu.Unlock()
		if due {
			return true
		}
	}
	return false
}

// TestContinueAfterEarlierAnswer guards against a caller that waits in vain: its request with Expect: 100-continue comes in while an
// earlier request of the connection is unanswered. The interim response follows the earlier answer, and none follows a body that was sent
// without waiting.
func TestContinueAfterEarlierAnswer(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	server, dial := serve(t, h, routing.DefaultLimits)
	c := dial()
	br := bufio.NewReader(c)
	expect := func(path string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
	}
	send(t, c, get("/hold"))
	<-h.started
	send(t, c, expect("/waits"))
	waitFor(func() bool { return anyContinueDue(server) })
	close(h.hold("/hold"))
	resp, _ := answer(t, br)
	is.Equal(resp.StatusCode, 200)
	resp, _ = answer(t, br)
	is.Equal(resp.StatusCode, 100)
	send(t, c, "ok")
	resp, _ = answer(t, br)
	is.Equal(resp.StatusCode, 200)
	waitFor(func() bool { return server.Unanswered() == 0 }) // the caller reads a response before the server counts it as sent

	send(t, c, get("/hold-again"))
	<-h.started // of /waits
	<-h.started
	send(t, c, expect("/sends-at-once")+"ok"+get("/last"))
	waitFor(func() bool { return server.Unanswered() == 2 })
	close(h.hold("/hold-again"))
	for _, path := range []string{"/hold-again", "/sends-at-once", "/last"} {
		resp, body := answer(t, br)
		is.Equal(resp.StatusCode, 200)
		is.Equal(body, path)
	}
}

// TestRefusedRequests guards against request smuggling by requests whose length is ambiguous, and against requests that exceed the limits.
// Each is refused without reaching the handler, and its connection is closed.
func TestRefusedRequests(t *testing.T) {
	limits := routing.DefaultLimits
	limits.MaxHeaderBytes, limits.MaxBodyBytes = 300, 10
	for text, want := range map[string]int{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":          400,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc":                         400,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": 400,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n":                                           400,
		"POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":                               400,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc":                                             400,
		"POST / HTTP/1.1\r\nHost: h\r\nX: y\r\n Content-Length: 3\r\n\r\nabc":                                     400,
		"GET / HTTP/1.1\nHost: h\n\n":                                                                   400,
		"GET / HTTP/1.1\r\n\r\n":                                                                        400,
		"GET http://other/ HTTP/1.1\r\nHost: h\r\n\r\n":                                                 400,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":                        400,
		"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 300) + "\r\n\r\n":                      431,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n":                                      413,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n": 413,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n":                                      400,
	} {
		t.Run(fmt.Sprintf("%.60q", text), func(t *testing.T) {
			is := is.New(t)
			h := newHandler()
			_, dial := serve(t, h, limits)
			c := dial()
			send(t, c, text+get("/smuggled"))
			br := bufio.NewReader(c)
			resp, _ := answer(t, br)
			is.Equal(resp.StatusCode, want)
			_, err := br.ReadByte()
			is.Equal(err, io.EOF)
			is.Equal(len(h.started), 0)
		})
	}
}

// TestSlowHeader guards against callers that occupy a connection by not completing the header.
func TestSlowHeader(t *testing.T) {
	is := is.New(t)
	limits := routing.DefaultLimits
	limits.HeaderTimeout = 20 * time.Millisecond
	_, dial := serve(t, newHandler(), limits)
	c := dial()
	send(t, c, "GET / HTTP/1.1\r\nHost:")
	resp, _ := answer(t, bufio.NewReader(c))
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
}

// TestCutAnswer checks that the caller gets an error when the content ends before its Content-Length.
func TestCutAnswer(t *testing.T) {
	is := is.New(t)
	_, dial := serve(t, newHandler(), routing.DefaultLimits)
	c := dial()
	send(t, c, get("/cut"))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	is.True(err != nil)
}

// TestUnknownLength checks that a response of unknown length is sent chunked and that the connection stays usable.
func TestUnknownLength(t *testing.T) {
	is := is.New(t)
	_, dial := serve(t, newHandler(), routing.DefaultLimits)
	c := dial()
	br := bufio.NewReader(c)
	send(t, c, get("/unknown-length")+get("/next"))
	_, body := answer(t, br)
	is.Equal(len(body), 9000)
	_, body = answer(t, br)
	is.Equal(body, "/next")
}

// TestDrain checks a planned stop: requests that were read are answered, the last response of each connection has Connection: close, and
// Close returns.
func TestDrain(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	s, dial := serve(t, h, routing.DefaultLimits)
	busy, waiting := dial(), dial()
	send(t, busy, get("/hold/1")+get("/2"))
	<-h.started
	<-h.started
	s.Drain()
	send(t, waiting, get("/late")) // a request on a connection that was idle
	resp, body := answer(t, bufio.NewReader(waiting))
	is.Equal(body, "/late")
	is.True(resp.Close)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.Close(context.Background())
	}()
	close(h.hold("/hold/1"))
	br := bufio.NewReader(busy)
	resp, body = answer(t, br)
	is.Equal(body, "/hold/1")
	is.True(!resp.Close) // another response follows
	resp, body = answer(t, br)
	is.Equal(body, "/2")
	is.True(resp.Close)
	<-stopped
	is.Equal(s.Connections(), 0)
}

// TestTooManyConnections checks that a request on a connection above the limit is answered with 503 and Retry-After. The limit protects the
// process from running out of file descriptors.
func TestTooManyConnections(t *testing.T) {
	is := is.New(t)
	s, dial := serve(t, newHandler(), routing.DefaultLimits)
	for range 8 {
		dial()
	}
	for s.Connections() < 8 {
		time.Sleep(time.Millisecond)
	}
	c := dial()
	send(t, c, get("/x"))
	resp, _ := answer(t, bufio.NewReader(c))
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
}

// TestPanic checks that a panic of a handler fails only its own request. The response is 500, which does not say whether the request ran,
// and the panic is reported.
func TestPanic(t *testing.T) {
	is := is.New(t)
	_, dial := serve(t, newHandler(), routing.DefaultLimits)
	c, other := dial(), dial()
	send(t, c, get("/panic"))
	resp, _ := answer(t, bufio.NewReader(c))
	is.Equal(resp.StatusCode, http.StatusInternalServerError)
	is.Equal(<-panics, "/panic index out of range")
	send(t, other, get("/next"))
	_, body := answer(t, bufio.NewReader(other))
	is.Equal(body, "/next")
}

// choosyHandler panics when it decides whether a request may run concurrently.
type choosyHandler struct{ *handler }

func (h choosyHandler) MayRunConcurrently(r *Request) bool {
	if r.Path == "/choosy" {
		panic("nil route")
	}
	return h.handler.MayRunConcurrently(r)
}

// TestPanicBeforeServe guards against a process that ends because of one request, for which the handler panics before it serves it.
func TestPanicBeforeServe(t *testing.T) {
	is := is.New(t)
	_, dial := serve(t, choosyHandler{newHandler()}, routing.DefaultLimits)
	c := dial()
	send(t, c, get("/choosy"))
	resp, _ := answer(t, bufio.NewReader(c))
	is.Equal(resp.StatusCode, http.StatusInternalServerError)
	is.True(resp.Close)
	is.Equal(<-panics, "/choosy nil route")
}
