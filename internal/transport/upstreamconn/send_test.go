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

// rawUpstream answers with bytes that the test chooses. serve gets each request with its number on its connection.
type rawUpstream struct {
	endpoint endpoints.Endpoint
	mu       sync.Mutex
	conns    int
	requests []string // request ids
}

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

func (u *rawUpstream) seen() (conns, requests int) {
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

// exchange sends one request and reads its answer to the end.
func exchange(ctx context.Context, p *Pool, e endpoints.Endpoint, c *executor.Call) (*executor.Response, string, error) {
	resp, err := p.Send(ctx, e, c)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

func written(err error) bool {
	var se *executor.SendError
	return errors.As(err, &se) && se.Written
}

// TestAnswerShapes guards against answers that are cut but pass as whole, and against connections that are used again
// after anything but a whole answer with nothing left over.
func TestAnswerShapes(t *testing.T) {
	const (
		lost  = "lost"  // no answer, outcome unknown
		cut   = "cut"   // an answer whose body ends in an error
		whole = "whole" // a whole answer on a connection that is not used again
		reuse = "reuse" // a whole answer on a connection that is used again
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
			u := newRawUpstream(t, func(c net.Conn, _ *http.Request, conn, number int) bool {
				io.WriteString(c, shape.raw)
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
					time.Sleep(time.Millisecond) // until the reader has looked for left-over bytes
				}
			}
			conns, requests := u.seen()
			is.Equal(requests, 3) // nothing was sent again
			if shape.want == reuse {
				is.Equal(conns, 1)
			} else {
				is.Equal(conns, 3)
			}
		})
	}
}

// TestNeverResends guards against a request that net/http sends again: GET on a connection that was used before is what
// http.Transport replays.
func TestNeverResends(t *testing.T) {
	for _, method := range []string{"GET", "PUT", "POST"} {
		is := is.New(t)
		u := newRawUpstream(t, func(c net.Conn, _ *http.Request, _, number int) bool {
			if number == 1 {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
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
		_, requests := u.seen()
		is.Equal(requests, 2)
	}
}

// TestCrossedAnswers guards against an answer that reaches another request. The upstream sends each answer twice: at once,
// or late, with the request's name, and it answers after cancellations.
func TestCrossedAnswers(t *testing.T) {
	for _, late := range []bool{false, true} {
		u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
			id := r.Header.Get(callerapi.UpstreamRequestID)
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nUpstream-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
			if !late {
				text = strings.Replace(text, "Upstream-Request-Id: "+id+"\r\n", "", 1)
				io.WriteString(c, text+text)
				return true
			}
			io.WriteString(c, text)
			go io.WriteString(c, text)
			return true
		})
		p := testPool()
		answered := 0
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
						t.Errorf("late %t: %s got the answer of %s", late, id, text)
					}
					if err == nil {
						mu.Lock()
						answered++
						mu.Unlock()
					}
				}
			})
		}
		wg.Wait()
		if answered == 0 {
			t.Errorf("late %t: nothing was answered", late)
		}
	}
}

// TestSilentConnection guards against a connection that stays in use after it went silent, and against a late answer on it.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	u := newRawUpstream(t, func(c net.Conn, r *http.Request, conn, _ int) bool {
		if conn == 1 {
			<-release
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n%s", r.Header.Get(callerapi.UpstreamRequestID))
		return true
	})
	p := testPool()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, _, err := exchange(ctx, p, u.endpoint, call("r1", "GET", nil))
	is.True(written(err))
	close(release)
	for range 3 {
		_, text, err := exchange(t.Context(), p, u.endpoint, call("r2", "GET", nil))
		is.NoErr(err)
		is.Equal(text, "r2")
	}
}

// hedgeGranter grants the first endpoint, and the second one to a hedge.
type hedgeGranter struct {
	first, second endpoints.Endpoint
	mu            sync.Mutex
	results       map[endpoints.ID][]dispatch.Result
}

func (g *hedgeGranter) Acquire(_ context.Context, r dispatch.Request) (dispatch.Grant, error) {
	if r.Immediate {
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

// TestLoserIsClosed guards against a connection that is used again after its request lost to a hedge, where the late answer
// would reach another request.
func TestLoserIsClosed(t *testing.T) {
	is := is.New(t)
	const quick = 120 // answers from which the executor learns the usual time
	slow, closed := make(chan struct{}), make(chan struct{})
	u1 := newRawUpstream(t, func(c net.Conn, r *http.Request, conn, number int) bool {
		id := r.Header.Get(callerapi.UpstreamRequestID)
		io.Copy(io.Discard, r.Body)
		if id == "hedged" {
			close(slow)
			_, err := c.Read(make([]byte, 1)) // ends when the host closes the connection
			if err == io.EOF || errors.Is(err, syscall.ECONNRESET) {
				close(closed)
			}
			return false
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		return true
	})
	u2 := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		io.Copy(io.Discard, r.Body)
		<-slow // the first request has been sent by now
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhedge")
		return true
	})
	p := testPool()
	g := &hedgeGranter{first: u1.endpoint, second: u2.endpoint, results: map[endpoints.ID][]dispatch.Result{}}
	x := executor.New(executor.Config{Granter: g, Sender: p, Marks: g, Hedge: true})
	ask := func(id string, percent int) (address, text string) {
		c := call(id, "PUT", []byte("body"))
		c.Operation = &contract.Operation{Name: "op", Idempotent: true, DeadlineMS: 60_000}
		c.Limits = &limits.ServiceLimits{Customer: "c", Name: "s", RetryPercent: percent}
		a, refusal := x.Execute(t.Context(), c)
		if refusal != nil {
			t.Fatal(refusal.Detail)
		}
		data, err := io.ReadAll(a.Body)
		is.NoErr(err)
		a.Finish(executor.BodyWhole)
		return a.Endpoint.Address, string(data)
	}
	for i := range quick {
		id := fmt.Sprint(i)
		_, text := ask(id, 0) // without an allowance, nothing is hedged
		is.Equal(text, id)
		for idleCount(p, u1.endpoint.ID) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	before, _ := u1.seen()
	is.Equal(before, 1)
	address, text := ask("hedged", 10)
	is.Equal(address, u2.endpoint.Address)
	is.Equal(text, "hedge")
	<-closed
	is.Equal(idleCount(p, u1.endpoint.ID), 0)
	for len(g.released(u1.endpoint.ID)) <= quick {
		time.Sleep(time.Millisecond) // until the cancelled send has returned
	}
	is.Equal(g.released(u1.endpoint.ID)[quick], dispatch.Cancelled)
	is.Equal(g.released(u2.endpoint.ID), []dispatch.Result{dispatch.Answered})
	_, text = ask("after", 0)
	is.Equal(text, "after")
	after, _ := u1.seen()
	is.Equal(after, before+1)
}

func (g *hedgeGranter) released(id endpoints.ID) []dispatch.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.results[id])
}

// TestWriteFailsHalfWay guards against "not sent" for a request of which a part was sent, and against an upstream that
// stops reading.
func TestWriteFailsHalfWay(t *testing.T) {
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
	cfg.WriteStall = 50 * time.Millisecond
	p := NewPool(cfg)
	e := endpoints.Endpoint{ID: endpoints.ID{Address: l.Addr().String()}}
	for range 2 {
		_, _, err = exchange(t.Context(), p, e, call("r", "POST", make([]byte, 32<<20)))
		is.True(written(err))
	}
	l.Close()
	_, _, err = exchange(t.Context(), p, e, call("r", "POST", nil))
	var se *executor.SendError
	is.True(errors.As(err, &se) && !se.Written) // nothing listens: provably not sent
}

// TestProtocolHeaders guards against refusals, leaving marks, new incarnations and loads that are overlooked, and against
// headers that reach the upstream from net/http.
func TestProtocolHeaders(t *testing.T) {
	is := is.New(t)
	var got *http.Request
	u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		got = r
		io.WriteString(c, "HTTP/1.1 503 X\r\nUpstream-Ran: no\r\nUpstream-State: leaving\r\nUpstream-Incarnation: 2\r\nUpstream-Load: 3/4\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	resp, _, err := exchange(t.Context(), testPool(), u.endpoint, call("r1", "POST", []byte("b")))
	is.NoErr(err)
	is.True(resp.Refused && resp.Leaving && resp.Replaced)
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

// TestGuard guards against a connection that is used again while net/http may still hold bytes of the earlier answer, and
// against bytes that arrive between two requests. net/http itself accepts such bytes if the next request has been started.
func TestGuard(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	g := &guardedConn{Conn: near, stall: time.Minute}
	buf := make([]byte, 16)
	go io.ReadFull(far, make([]byte, 3))
	_, err := g.Write([]byte("ask"))
	is.NoErr(err)
	go far.Write([]byte("answer"))
	_, err = g.Read(buf)
	is.NoErr(err)
	idle := make(chan struct{})
	g.complete(func() { close(idle) })
	is.True(!g.take()) // the reader has not said that its buffer is empty
	failed := make(chan error)
	go func() {
		_, err := g.Read(buf)
		failed <- err
	}()
	<-idle
	is.True(g.take())
	is.True(!g.wrote())
	go far.Write([]byte("stray"))
	is.Equal(<-failed, errStray)
	_, err = g.Write([]byte("ask"))
	is.Equal(err, errStray)
	is.True(!g.wrote()) // the second request was provably not sent
}

// TestProbe guards against a probe that asks for something else, does not name its host, or takes a failure or another incarnation
// for success.
func TestProbe(t *testing.T) {
	is := is.New(t)
	answers := []string{"200 OK\r\nUpstream-Incarnation: 1", "404 Not Found", "500 X", "503 X\r\nUpstream-Ran: no", "200 OK\r\nUpstream-Incarnation: 2"}
	want := []bool{true, true, false, false, false}
	var mu sync.Mutex
	i := 0
	u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		mu.Lock()
		defer mu.Unlock()
		if r.Method+r.RequestURI != "GET/healthz" {
			t.Errorf("probe asked for %s %s", r.Method, r.RequestURI)
		}
		if id := r.Header.Get(callerapi.UpstreamRequestID); !strings.HasPrefix(id, "hall-1-") {
			t.Errorf("the request ID of a probe is %q", id)
		}
		fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", answers[i])
		i++
		return true
	})
	p := testPool()
	p.cfg.Host = "hall-1"
	for j := range answers {
		_, err := p.Probe(t.Context(), u.endpoint)
		is.Equal(err == nil, want[j])
	}
}

// TestConnectionBound guards the bound on connections to one endpoint: a request beyond it is not sent, and closed connections free
// their place.
func TestConnectionBound(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		if r.URL.Path == "/held" {
			<-hold
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return r.URL.Path != "/last"
	})
	cfg := DefaultConfig()
	cfg.MaxPerEndpoint = func(endpoints.Endpoint) int { return 2 }
	p := NewPool(cfg)
	send := func(path string) error {
		resp, err := p.Send(t.Context(), u.endpoint, &executor.Call{Method: http.MethodGet, Path: path, RequestID: "r", Header: http.Header{}})
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
	for p.opened(u.endpoint.ID) < 2 {
		time.Sleep(time.Millisecond)
	}
	var se *executor.SendError
	is.True(errors.As(send("/third"), &se))
	is.True(!se.Written)
	is.True(errors.Is(se.Err, errAllInUse))
	close(hold)
	is.NoErr(<-held)
	is.NoErr(<-held)
	// Each of them ends with its answer, in use or not.
	for p.opened(u.endpoint.ID) > 0 {
		is.NoErr(send("/last"))
	}
	is.NoErr(send("/again"))
}

func (p *Pool) opened(id endpoints.ID) int {
	sh := p.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.open[id]
}

// TestIdleCloseFreesPlaces guards against a lock that is taken twice: a connection that is closed for its age gives its place back.
func TestIdleCloseFreesPlaces(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
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
	is.Equal(p.opened(u.endpoint.ID), 0)
	idleOne()
	is.True(p.get(u.endpoint.ID, time.Now().Add(time.Hour), false) == nil)
	is.Equal(p.opened(u.endpoint.ID), 0)
}

func (p *Pool) idle(id endpoints.ID) int {
	sh := p.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return len(sh.idle[id])
}
