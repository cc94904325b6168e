package upstreamconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
)

// rawUpstream is an upstream that responds with arbitrary bytes, also with malformed responses.
type rawUpstream struct {
	endpoint endpoints.Endpoint
	mu       sync.Mutex
	conns    int
	requests []string // request ids
}

// newRawUpstream starts a rawUpstream. It calls serve for each request with the connection's number and the request's number on that
// connection, both from 1, and closes the connection when serve returns false.
func newRawUpstream(t *testing.T, serve func(c net.Conn, r *http.Request, conn, number int) bool) *rawUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &rawUpstream{endpoint: endpoints.Endpoint{ID: endpoints.ID{Address: l.Addr().String(), Incarnation: "1"}}}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns++
			conn := u.conns
			u.mu.Unlock()
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for number := 1; ; number++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					u.mu.Lock()
					u.requests = append(u.requests, r.Header.Get(callerapi.UpstreamRequestID))
					u.mu.Unlock()
					if !serve(c, r, conn, number) {
						return
					}
				}
			}()
		}
	}()
	return u
}

func (u *rawUpstream) counts() (conns, requests int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns, len(u.requests)
}

func testPool() *Pool {
	cfg := DefaultConfig()
	cfg.MaxBodyBytes, cfg.MaxHeaderBytes = 1<<10, 4<<10
	return NewPool(cfg)
}

func idleCount(p *Pool, id endpoints.ID) int {
	sh := p.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return len(sh.idle[id])
}

func call(id, method string, body []byte) *executor.Call {
	return &executor.Call{RequestID: id, Method: method, Path: "/x?y=z", Header: http.Header{}, Body: body, Deadline: time.Now().Add(time.Minute)}
}

// exchange sends one request and reads the response to its end.
func exchange(ctx context.Context, p *Pool, e endpoints.Endpoint, c *executor.Call) (*executor.Response, string, error) {
	resp, err := p.Send(ctx, e, c)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// written reports whether err says that a byte of the request may have been sent.
func written(err error) bool {
	var se *executor.SendError
	return errors.As(err, &se) && se.Written
}

// TestResponseFraming guards against truncated responses that are reported as complete, and against connections that are reused
// after anything but one complete response without extra bytes.
func TestResponseFraming(t *testing.T) {
	const (
		lost  = "lost"  // no response; the outcome of the request is unknown
		cut   = "cut"   // a response whose body ends with an error
		whole = "whole" // a complete response on a connection that must not be reused
		reuse = "reuse" // a complete response on a connection that is reused
	)
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, shape := range []struct{ name, method, raw, want, body string }{
		{"length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", reuse, "ok"},
		{"empty", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", reuse, ""},
		{"chunked", "GET", chunked + "2\r\nok\r\n0\r\n\r\n", reuse, "ok"},
		{"trailers", "GET", chunked + "2\r\nok\r\n0\r\nSum: 1\r\n\r\n", reuse, "ok"},
		{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", reuse, ""},
		{"204", "GET", "HTTP/1.1 204 No Content\r\n\r\n", reuse, ""},
		{"304", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", reuse, ""},
		{"1xx", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", reuse, "ok"},
		{"left over", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokEXTRA", whole, "ok"},
		{"duplicate", "GET", strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2), whole, "ok"},
		{"duplicate 204", "GET", strings.Repeat("HTTP/1.1 204 No Content\r\n\r\n", 2), whole, ""},
		{"HEAD with body", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", whole, ""},
		{"left over chunk", "GET", chunked + "2\r\nok\r\n0\r\n\r\n0\r\n\r\n", whole, "ok"},
		{"Connection: close", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", whole, "ok"},
		{"until close", "GET", "HTTP/1.0 200 OK\r\n\r\nok", whole, "ok"},
		{"short", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", cut, ""},
		{"short chunk", "GET", chunked + "3\r\nok", cut, ""},
		{"no last chunk", "GET", chunked + "2\r\nok\r\n", cut, ""},
		{"bad chunk", "GET", chunked + "zz\r\nok\r\n0\r\n\r\n", cut, ""},
		{"chunks too large", "GET", chunked + "800\r\n" + strings.Repeat("x", 0x800) + "\r\n0\r\n\r\n", cut, ""},
		{"length too large", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2048\r\n\r\n" + strings.Repeat("x", 2048), lost, ""},
		{"two lengths", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", lost, ""},
		{"negative length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", lost, ""},
		{"garbage", "GET", "hello\r\n\r\n", lost, ""},
		{"header cut", "GET", "HTTP/1.1 200 OK\r\nConte", lost, ""},
		{"header too large", "GET", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n", lost, ""},
		{"endless 1xx", "GET", strings.Repeat("HTTP/1.1 103 Early Hints\r\nX: "+strings.Repeat("x", 500)+"\r\n\r\n", 40), lost, ""},
		{"101", "GET", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", lost, ""},
		{"none", "GET", "", lost, ""},
		{"other request", "GET", "HTTP/1.1 200 OK\r\nUpstream-Request-Id: r0\r\nContent-Length: 2\r\n\r\nok", lost, ""},
	} {
		t.Run(shape.name, func(t *testing.T) {
			is := is.New(t)
			u := newRawUpstream(t, func(c net.Conn, r *http.Request, conn, number int) bool {
				io.WriteString(c, withID(r, shape.raw))
				return shape.want == reuse || (shape.want == whole && shape.name != "until close")
			})
			p := testPool()
			for i := 1; i <= 3; i++ {
				_, text, err := exchange(t.Context(), p, u.endpoint, call(fmt.Sprintf("r%d", i), shape.method, nil))
				switch shape.want {
				case lost:
					is.True(written(err))
				case cut:
					is.True(err != nil)
				default:
					is.NoErr(err)
					is.Equal(text, shape.body)
				}
				for shape.want == reuse && idleCount(p, u.endpoint.ID) == 0 {
					time.Sleep(time.Millisecond) // until net/http has called Read again, so that the connection is idle
				}
			}
			conns, requests := u.counts()
			is.Equal(requests, 3) // no request was resent
			if shape.want == reuse {
				is.Equal(conns, 1)
			} else {
				is.Equal(conns, 3)
			}
		})
	}
}

// TestNeverResends guards against requests that net/http sends again. The upstream closes a reused connection without a response;
// http.Transport would then resend a GET.
func TestNeverResends(t *testing.T) {
	for _, method := range []string{"GET", "PUT", "POST"} {
		is := is.New(t)
		u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, number int) bool {
			if number == 1 {
				io.WriteString(c, withID(r, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
			}
			return number == 1
		})
		p := testPool()
		_, _, err := exchange(t.Context(), p, u.endpoint, call("r1", method, nil))
		is.NoErr(err)
		for idleCount(p, u.endpoint.ID) == 0 {
			time.Sleep(time.Millisecond)
		}
		_, _, err = exchange(t.Context(), p, u.endpoint, call("r2", method, []byte("body")))
		is.True(written(err))
		_, requests := u.counts()
		is.Equal(requests, 2)
	}
}

// TestResponseOfAnotherRequest guards against a response that is returned for another request. The upstream sends each response twice:
// both at once or the second one later, with or without the request id. Some requests are cancelled before their response.
func TestResponseOfAnotherRequest(t *testing.T) {
	for _, c := range []struct{ late, named bool }{{false, false}, {true, false}, {true, true}} {
		u := newRawUpstream(t, func(conn net.Conn, r *http.Request, _, _ int) bool {
			id := r.Header.Get(callerapi.UpstreamRequestID)
			text := testResponse("200 OK", "", id)
			if c.named {
				text = testResponse("200 OK", id, id)
			}
			if !c.late {
				io.WriteString(conn, text+text)
				return true
			}
			io.WriteString(conn, text)
			go io.WriteString(conn, text)
			return true
		})
		p := testPool()
		responses := 0
		var wg sync.WaitGroup
		var mu sync.Mutex
		for g := range 4 {
			wg.Go(func() {
				for i := range 100 {
					id := fmt.Sprintf("r%d-%d", g, i)
					ctx, cancel := context.WithCancel(t.Context())
					if i%5 == 4 {
						go cancel()
					}
					_, text, err := exchange(ctx, p, u.endpoint, call(id, "GET", nil))
					cancel()
					if err == nil && text != id {
						t.Errorf("%+v: request %s got the response of %s", c, id, text)
					}
					if err == nil {
						mu.Lock()
						responses++
						mu.Unlock()
					}
				}
			})
		}
		wg.Wait()
		if responses == 0 {
			t.Errorf("%+v: no request got a response", c)
		}
	}
}

// TestSilentConnection guards against reuse of a connection whose request timed out without a response, where a later request would
// get the late response.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	received, release := make(chan struct{}), make(chan struct{})
	u := newRawUpstream(t, func(c net.Conn, r *http.Request, conn, _ int) bool {
		if conn == 1 {
			close(received)
			<-release
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n%s", r.Header.Get(callerapi.UpstreamRequestID))
		return true
	})
	p := testPool()
	ctx, expire := context.WithCancelCause(t.Context())
	go func() {
		<-received // a deadline that ends during the connection set-up would leave the request unsent
		expire(context.DeadlineExceeded)
	}()
	_, _, err := exchange(ctx, p, u.endpoint, call("r1", "GET", nil))
	is.True(written(err))
	is.True(errors.Is(err, context.DeadlineExceeded))
	close(release)
	for range 3 {
		_, text, err := exchange(t.Context(), p, u.endpoint, call("r2", "GET", nil))
		is.NoErr(err)
		is.Equal(text, "r2")
	}
}

// hedgeGranter grants the endpoint second to hedges and first to all other requests.
type hedgeGranter struct {
	first, second endpoints.Endpoint
	mu            sync.Mutex
	results       map[endpoints.ID][]dispatch.Result
}

func (g *hedgeGranter) Acquire(_ context.Context, r dispatch.Request) (dispatch.Grant, error) {
	if r.NoWait {
		return dispatch.Grant{Endpoint: g.second}, nil
	}
	return dispatch.Grant{Endpoint: g.first}, nil
}

func (g *hedgeGranter) Release(grant dispatch.Grant, o dispatch.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.results[grant.Endpoint.ID] = append(g.results[grant.Endpoint.ID], o.Result)
}

func (g *hedgeGranter) MarkLeaving(endpoints.ID) bool { return false }
func (g *hedgeGranter) IsLeaving(endpoints.ID) bool   { return false }

// TestHedgeLoserIsClosed guards against reuse of a connection whose request was cancelled because its hedge got a response first. A later
// request on that connection would get the late response.
func TestHedgeLoserIsClosed(t *testing.T) {
	is := is.New(t)
	const quick = 120 // fast responses from which the executor estimates the usual response time
	slow, closed := make(chan struct{}), make(chan struct{})
	u1 := newRawUpstream(t, func(c net.Conn, r *http.Request, conn, number int) bool {
		id := r.Header.Get(callerapi.UpstreamRequestID)
		io.Copy(io.Discard, r.Body)
		if id == "hedged" {
			close(slow)
			_, err := c.Read(make([]byte, 1)) // returns when the host closes the connection
			if err == io.EOF || errors.Is(err, syscall.ECONNRESET) {
				close(closed)
			}
			return false
		}
		io.WriteString(c, testResponse("200 OK", id, id))
		return true
	})
	u2 := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		io.Copy(io.Discard, r.Body)
		<-slow // until the upstream has the first request
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhedge")
		return true
	})
	p := testPool()
	g := &hedgeGranter{first: u1.endpoint, second: u2.endpoint, results: map[endpoints.ID][]dispatch.Result{}}
	x := executor.New(executor.Config{Granter: g, Sender: p, Leaving: g, Hedge: true})
	execute := func(id string, percent int) (address, text string) {
		c := call(id, "PUT", []byte("body"))
		c.Operation = &contract.Operation{Name: "op", Idempotent: true, DeadlineMS: 60_000}
		c.Limits = &limits.ServiceLimits{Customer: "c", Name: "s", RetryPercent: percent}
		a, refusal := x.Execute(t.Context(), c)
		if refusal != nil {
			t.Fatal(refusal.Detail)
		}
		data, err := io.ReadAll(a.Body)
		is.NoErr(err)
		a.Finish(executor.BodyComplete)
		return a.Endpoint.Address, string(data)
	}
	for i := range quick {
		id := fmt.Sprint(i)
		_, text := execute(id, 0) // with a retry percent of 0, no hedge is sent
		is.Equal(text, id)
		for idleCount(p, u1.endpoint.ID) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	before, _ := u1.counts()
	is.Equal(before, 1)
	address, text := execute("hedged", 10)
	is.Equal(address, u2.endpoint.Address)
	is.Equal(text, "hedge")
	<-closed
	is.Equal(idleCount(p, u1.endpoint.ID), 0)
	for len(g.released(u1.endpoint.ID)) <= quick {
		time.Sleep(time.Millisecond) // until the cancelled send has returned
	}
	is.Equal(g.released(u1.endpoint.ID)[quick], dispatch.ResultCancelled)
	is.Equal(g.released(u2.endpoint.ID), []dispatch.Result{dispatch.ResultCompleted})
	_, text = execute("after", 0)
	is.Equal(text, "after")
	after, _ := u1.counts()
	is.Equal(after, before+1)
}

func (g *hedgeGranter) released(id endpoints.ID) []dispatch.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.results[id])
}

// TestPartialWrite guards against a partly sent request that is reported as not sent, and against a request that blocks because
// the upstream stops reading.
func TestPartialWrite(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	stalled := make(chan struct{})
	defer close(stalled)
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 10))
			if i == 0 {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
				continue
			}
			go func() { <-stalled; c.Close() }()
		}
	}()
	cfg := DefaultConfig()
	cfg.WriteTimeout = 50 * time.Millisecond
	p := NewPool(cfg)
	e := endpoints.Endpoint{ID: endpoints.ID{Address: l.Addr().String()}}
	for range 2 {
		_, _, err = exchange(t.Context(), p, e, call("r", "POST", make([]byte, 32<<20)))
		is.True(written(err))
	}
	l.Close()
	_, _, err = exchange(t.Context(), p, e, call("r", "POST", nil))
	var se *executor.SendError
	is.True(errors.As(err, &se) && !se.Written) // nothing listens, so the request was certainly not sent
}

// TestProtocolHeaders guards against response headers with a refusal, the leaving state, a new incarnation or a load that are
// ignored, and against headers that net/http adds to the request. It also checks that paths with a host or line breaks are rejected.
func TestProtocolHeaders(t *testing.T) {
	is := is.New(t)
	var got *http.Request
	u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		got = r
		io.WriteString(c, withID(r, "HTTP/1.1 503 X\r\nUpstream-Ran: no\r\nUpstream-State: leaving\r\nUpstream-Incarnation: 2\r\nUpstream-Load: 3/4\r\nContent-Length: 0\r\n\r\n"))
		return true
	})
	resp, _, err := exchange(t.Context(), testPool(), u.endpoint, call("r1", "POST", []byte("b")))
	is.NoErr(err)
	is.True(resp.NotRun && resp.Leaving && resp.Replaced)
	is.Equal(resp.InFlight, 3)
	is.Equal(resp.Slots, 4)
	is.Equal(got.RequestURI, "/x?y=z")
	is.Equal(got.Header.Get("User-Agent"), "")
	is.Equal(got.Header.Get("Accept-Encoding"), "")
	for _, path := range []string{"//evil/x", "http://evil/x", "x", "/x y\r\nEvil: 1"} {
		c := call("r", "GET", nil)
		c.Path = path
		_, err := testPool().Send(t.Context(), u.endpoint, c)
		is.True(err != nil && !written(err))
	}
}

// TestUnsolicitedBytes guards against reuse of a connection while net/http may still hold bytes of the earlier response, and against
// bytes that arrive between two requests. net/http itself accepts such bytes if the next request has already been started.
func TestUnsolicitedBytes(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	g := &guardedConn{Conn: near, writeTimeout: time.Minute}
	buf := make([]byte, 32)
	go io.ReadFull(far, make([]byte, 3))
	_, err := g.Write([]byte("ask"))
	is.NoErr(err)
	go far.Write([]byte("HTTP/1.1 204 \r\n\r\n"))
	_, err = g.Read(buf)
	is.NoErr(err)
	idle := make(chan struct{})
	g.finishResponse(func() { close(idle) })
	is.True(!g.beginRequest()) // net/http has not called Read again, so its buffer may hold bytes
	failed := make(chan error)
	go func() {
		_, err := g.Read(buf)
		failed <- err
	}()
	<-idle
	is.True(g.beginRequest())
	is.True(!g.requestWritten())
	go far.Write([]byte("stray"))
	is.Equal(<-failed, errUnsolicited)
	_, err = g.Write([]byte("ask"))
	is.Equal(err, errUnsolicited)
	is.True(!g.requestWritten()) // the second request was certainly not sent
}

// TestProbe guards against a probe that requests another path, whose request id lacks the host's name, or that succeeds although the
// endpoint failed or the response is from another incarnation.
func TestProbe(t *testing.T) {
	is := is.New(t)
	responses := []string{"200 OK\r\nUpstream-Incarnation: 1", "404 Not Found", "500 X", "503 X\r\nUpstream-Ran: no", "200 OK\r\nUpstream-Incarnation: 2"}
	want := []bool{true, true, false, false, false}
	var mu sync.Mutex
	i := 0
	u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		mu.Lock()
		defer mu.Unlock()
		if r.Method+r.RequestURI != "GET/healthz" {
			t.Errorf("the probe requested %s %s", r.Method, r.RequestURI)
		}
		if id := r.Header.Get(callerapi.UpstreamRequestID); !strings.HasPrefix(id, "hall-1-") {
			t.Errorf("the request id of a probe is %q; want the prefix hall-1-", id)
		}
		io.WriteString(c, withID(r, fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", responses[i])))
		i++
		return true
	})
	p := testPool()
	p.cfg.Host = "hall-1"
	for j := range responses {
		_, err := p.Probe(t.Context(), u.endpoint)
		is.Equal(err == nil, want[j])
	}
}

// TestConnectionBound guards against more connections to one endpoint than MaxPerEndpoint allows: a request that would need another
// one fails unsent, and closed connections no longer count.
func TestConnectionBound(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		if r.URL.Path == "/held" {
			<-hold
		}
		io.WriteString(c, withID(r, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		return r.URL.Path != "/last"
	})
	cfg := DefaultConfig()
	cfg.MaxPerEndpoint = func(endpoints.Endpoint) int { return 2 }
	p := NewPool(cfg)
	var sent atomic.Int64
	send := func(path string) error {
		resp, err := p.Send(t.Context(), u.endpoint, &executor.Call{Method: http.MethodGet, Path: path, RequestID: fmt.Sprint("r", sent.Add(1)), Header: http.Header{}})
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	held := make(chan error, 2)
	for range 2 {
		go func() { held <- send("/held") }()
	}
	for p.openCount(u.endpoint.ID) < 2 {
		time.Sleep(time.Millisecond)
	}
	var se *executor.SendError
	is.True(errors.As(send("/third"), &se))
	is.True(!se.Written)
	is.True(errors.Is(se.Err, executor.ErrConnectionLimit))
	close(hold)
	is.NoErr(<-held)
	is.NoErr(<-held)
	for idleCount(p, u.endpoint.ID) < 2 {
		time.Sleep(time.Millisecond)
	}
	// The upstream closes the connection of each request for /last after its response.
	for left := 1; left >= 0; left-- {
		is.NoErr(send("/last"))
		// A connection that has ended may be among the idle ones until net/http reports its end. A request that takes it opens a new one.
		for p.openCount(u.endpoint.ID) != left || p.liveIdleCount(u.endpoint.ID) != left {
			time.Sleep(time.Millisecond)
		}
	}
	is.NoErr(send("/again"))
}

// liveIdleCount returns the number of idle connections that have not ended.
func (p *Pool) liveIdleCount(id endpoints.ID) (n int) {
	sh := p.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, c := range sh.idle[id] {
		if c.http.Err() == nil {
			n++
		}
	}
	return n
}

func (p *Pool) openCount(id endpoints.ID) int {
	sh := p.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.open[id]
}

// TestCloseOfExpiredConnections guards against a deadlock: closing a connection that was idle for too long takes the shard's lock to
// remove the connection from the endpoint's count.
func TestCloseOfExpiredConnections(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		io.WriteString(c, withID(r, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		return true
	})
	p := NewPool(DefaultConfig())
	idleOne := func() {
		resp, err := p.Send(t.Context(), u.endpoint, &executor.Call{Method: http.MethodGet, Path: "/x", RequestID: "r", Header: http.Header{}})
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		for p.idle(u.endpoint.ID) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	idleOne()
	p.CloseIdle(time.Now().Add(time.Hour))
	is.Equal(p.openCount(u.endpoint.ID), 0)
	idleOne()
	idle, _ := p.get(u.endpoint.ID, time.Now().Add(time.Hour), &executor.Call{})
	is.True(idle == nil)
	is.Equal(p.openCount(u.endpoint.ID), 0)
}

func (p *Pool) idle(id endpoints.ID) int {
	sh := p.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return len(sh.idle[id])
}
