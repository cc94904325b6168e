package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// recordingHandler answers each request after a delay and records which requests reached it.
type recordingHandler struct {
	delay func() time.Duration
	mu    sync.Mutex
	ran   map[string]bool // request targets
}

func (h *recordingHandler) MayRunConcurrently(*Request) bool { return true }

func (h *recordingHandler) Serve(ctx context.Context, r *Request) *Response {
	h.mu.Lock()
	h.ran[r.Target] = true
	h.mu.Unlock()
	select {
	case <-time.After(h.delay()):
	case <-ctx.Done():
	}
	return &Response{Status: http.StatusOK, Body: []byte(r.Target)}
}

// lost returns the requests that reached the handler and are not among the answered ones.
func (h *recordingHandler) lost(answered map[string]bool) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var lost []string
	for target := range h.ran {
		if !answered[target] {
			lost = append(lost, target)
		}
	}
	return lost
}

// pipeline sends requests on a connection and keeps depth of them unanswered until the connection ends or ctx is done. It waits for pause()
// before each further request. It returns the targets of the answered requests.
func pipeline(ctx context.Context, c net.Conn, name string, depth int, pause func() time.Duration) map[string]bool {
	answered := map[string]bool{}
	br := bufio.NewReader(c)
	sent := 0
	send := func() bool {
		_, err := io.WriteString(c, get(fmt.Sprintf("/%s/%d", name, sent)))
		sent++
		return err == nil
	}
	for range depth {
		send() // the read below fails if a write did
	}
	for ctx.Err() == nil {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			break
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			break
		}
		answered[string(body)] = true
		if resp.Close {
			break
		}
		time.Sleep(pause())
		send()
	}
	return answered
}

// TestStopEndsBusyPipelines guards against a planned stop that cuts the requests of a caller which sends the next request before the
// last one is answered, so that its connection is never without unanswered requests.
func TestStopEndsBusyPipelines(t *testing.T) {
	is := is.New(t)
	h := &recordingHandler{ran: map[string]bool{}, delay: func() time.Duration { return 40 * time.Millisecond }}
	s, dial := serve(t, h, routing.DefaultLimits)
	c := dial()
	ended := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			if _, err := io.WriteString(c, get(fmt.Sprint("/", i))); err != nil {
				return // the server has closed the connection
			}
			select {
			case <-time.After(4 * time.Millisecond):
			case <-ended:
				return
			}
		}
	}()
	answered := make(chan map[string]bool)
	go func() {
		answered <- readAnswers(c)
		close(ended)
	}()
	waitFor(func() bool { return s.Unanswered() >= 5 })
	s.Drain()
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	is.Equal(s.Close(ctx), int64(0)) // requests that were cut
	is.Equal(h.lost(<-answered), nil)
}

// readAnswers reads responses until one of them closes the connection or the connection ends, and returns their bodies.
func readAnswers(c net.Conn) map[string]bool {
	answered := map[string]bool{}
	br := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return answered
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return answered
		}
		answered[string(body)] = true
		if resp.Close {
			c.Close()
			return answered
		}
	}
}

// TestStopUnderLoad guards against a planned stop that cancels requests which arrive while connections without unanswered requests are
// closed.
func TestStopUnderLoad(t *testing.T) {
	const callers = 200
	for run := range 5 {
		t.Run(fmt.Sprint(run), func(t *testing.T) {
			is := is.New(t)
			h := &recordingHandler{ran: map[string]bool{}, delay: func() time.Duration { return rand.N(20 * time.Millisecond) }}
			s := New(Config{Handler: h, Limits: func() routing.Limits { return routing.DefaultLimits }, MaxConnections: 2 * callers, Memory: bodyMemory(1 << 20)})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			go s.Serve(l)
			var group sync.WaitGroup
			var mu sync.Mutex
			all := map[string]bool{}
			for i := range callers {
				c, err := net.Dial("tcp", l.Addr().String())
				is.NoErr(err)
				pause := 40 * time.Millisecond
				if i%2 == 0 {
					pause = 900 * time.Millisecond
				}
				group.Go(func() {
					defer c.Close()
					answered := pipeline(t.Context(), c, fmt.Sprint(i), 1+i%3, func() time.Duration { return rand.N(pause) })
					mu.Lock()
					defer mu.Unlock()
					for target := range answered {
						all[target] = true
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			s.Drain()
			time.Sleep(300 * time.Millisecond)
			l.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			is.Equal(s.Close(ctx), int64(0)) // requests that were cut
			group.Wait()
			is.Equal(h.lost(all), nil)
		})
	}
}

// closingListener wraps its connections so that beforeClose runs when the server begins to close one of them.
type closingListener struct {
	net.Listener
	beforeClose func()
}

func (l closingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &closingConn{TCPConn: c.(*net.TCPConn), beforeClose: sync.OnceFunc(l.beforeClose)}, nil
}

type closingConn struct {
	*net.TCPConn
	beforeClose func()
}

func (c *closingConn) Close() error {
	c.beforeClose()
	return c.TCPConn.Close()
}

func (c *closingConn) CloseWrite() error {
	c.beforeClose()
	return c.TCPConn.CloseWrite()
}

// TestNoRequestRunsOnceClosing guards against a request that arrives between the decision to close an idle connection and the close, and
// that reaches the handler although its response cannot be delivered.
func TestNoRequestRunsOnceClosing(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	s := New(Config{Handler: h, Limits: func() routing.Limits { return routing.DefaultLimits }, MaxConnections: 8, Memory: bodyMemory(1)})
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer tcp.Close()
	var caller net.Conn
	go s.Serve(closingListener{tcp, func() {
		_, err := io.WriteString(caller, get("/late"))
		is.NoErr(err)
		select {
		case target := <-h.started:
			t.Errorf("%s reached the handler while its connection was being closed", target)
		case <-time.After(100 * time.Millisecond):
		}
	}})
	caller, err = net.Dial("tcp", tcp.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	send(t, caller, get("/1"))
	br := bufio.NewReader(caller)
	_, body := answer(t, br)
	is.Equal(body, "/1")
	<-h.started
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		s.Close(context.Background())
	}()
	_, err = br.ReadByte()
	is.True(err != nil) // no response to /late
	caller.Close()
	<-closed
}

// TestStopServesWhatHasArrived guards against a planned stop that drops a request whose bytes the server has received but not read yet.
func TestStopServesWhatHasArrived(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	s, dial := serve(t, h, routing.DefaultLimits)
	for i := range 20 {
		c := dial()
		path := fmt.Sprint("/", i)
		send(t, c, get(path))
		br := bufio.NewReader(c)
		answer(t, br)
		<-h.started
		waitFor(func() bool { return s.Unanswered() == 0 })
		stopped := make(chan struct{})
		s.Drain()
		send(t, c, get(path+"/next"))
		go func() {
			defer close(stopped)
			s.Close(context.Background())
		}()
		resp, body := answer(t, br)
		is.Equal(body, path+"/next")
		is.True(resp.Close)
		c.Close()
		<-stopped
		s, dial = serve(t, h, routing.DefaultLimits)
	}
}

// TestResponseSurvivesLateBytes guards against a stop that loses a response which the caller is still reading, because the caller has sent
// further bytes to a connection that was closed at once.
func TestResponseSurvivesLateBytes(t *testing.T) {
	is := is.New(t)
	large := bytes.Repeat([]byte{'x'}, 1<<20)
	h := newHandler()
	s, dial := serve(t, h, routing.DefaultLimits)
	c := dial()
	send(t, c, get("/hold/large"))
	<-h.started
	s.Drain()
	h.mu.Lock()
	h.content = large
	h.mu.Unlock()
	close(h.hold("/hold/large"))
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.Close(context.Background())
	}()
	br := bufio.NewReaderSize(c, 16)
	_, err := br.Peek(1) // the response has begun
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	send(t, c, get("/behind"))
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	is.True(resp.Close)
	n, err := io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.Equal(n, int64(len(large)))
	c.Close()
	<-stopped
}

// TestPanicKeepsOtherRequests guards against a panic in one handler that cuts the requests which the caller had sent behind it.
func TestPanicKeepsOtherRequests(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	_, dial := serve(t, h, routing.DefaultLimits)
	c := dial()
	send(t, c, get("/hold/1")+get("/panic")+get("/hold/2"))
	for range 3 {
		<-h.started
	}
	close(h.hold("/hold/1"))
	br := bufio.NewReader(c)
	_, body := answer(t, br)
	is.Equal(body, "/hold/1")
	resp, _ := answer(t, br)
	is.Equal(resp.StatusCode, http.StatusInternalServerError)
	<-panics
	close(h.hold("/hold/2"))
	resp, body = answer(t, br)
	is.Equal(body, "/hold/2")
	is.True(resp.Close)
}

// idleLimits returns limits with an idle timeout.
func idleLimits(timeout time.Duration) routing.Limits {
	limits := routing.DefaultLimits
	limits.IdleTimeout = timeout
	return limits
}

// TestIdleTimeoutIsNotForRequests guards against an idle timeout that cuts a request which takes longer.
func TestIdleTimeoutIsNotForRequests(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &recordingHandler{ran: map[string]bool{}, delay: func() time.Duration { return 10 * time.Second }}
		link := faketime.NewLink(10e6)
		s := New(Config{Handler: h, Limits: func() routing.Limits { return idleLimits(3 * time.Second) }, MaxConnections: 1, Memory: bodyMemory(1)})
		go func() { _ = s.Serve(link) }() // returns when the link is closed
		defer link.Close()
		c, err := link.DialContext(t.Context(), "", "")
		is.NoErr(err)
		defer c.Close()
		_, err = io.WriteString(c, get("/long"))
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	})
}

// TestIdleTimeoutBeginsAfterResponse guards against an idle timeout that counts the time of a request, so that the connection is closed when its
// caller uses it again within the stated time.
func TestIdleTimeoutBeginsAfterResponse(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		const idleTimeout = 5 * time.Second
		h := &recordingHandler{ran: map[string]bool{}, delay: func() time.Duration { return 4 * time.Second }}
		link := faketime.NewLink(10e6)
		s := New(Config{Handler: h, Limits: func() routing.Limits { return idleLimits(idleTimeout) }, MaxConnections: 1, Memory: bodyMemory(1)})
		go func() { _ = s.Serve(link) }() // returns when the link is closed
		defer link.Close()
		c, err := link.DialContext(t.Context(), "", "")
		is.NoErr(err)
		defer c.Close()
		br := bufio.NewReader(c)
		for i := range 3 {
			_, err = io.WriteString(c, get(fmt.Sprint("/", i)))
			is.NoErr(err)
			resp, err := http.ReadResponse(br, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, resp.Body)
			is.NoErr(err)
			time.Sleep(idleTimeout * 4 / 5)
		}
		begin := time.Now()
		_, err = br.ReadByte()
		is.Equal(err, io.EOF)
		is.True(time.Since(begin) <= idleTimeout) // it does close the connection
	})
}

// TestUndeliveredResponsesAreReported guards against requests that are cut without a trace for operators.
func TestUndeliveredResponsesAreReported(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	undelivered := make(chan string, 4)
	s := New(Config{Handler: h, Limits: func() routing.Limits { return routing.DefaultLimits }, MaxConnections: 8, Memory: bodyMemory(1),
		OnUndelivered: func(r *Request, _ *Response, cause error) { undelivered <- r.Target + " " + cause.Error() }})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go s.Serve(l)
	defer l.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		return c
	}
	left := dial()
	send(t, left, get("/hold/left"))
	<-h.started
	left.Close()
	is.Equal(<-undelivered, "/hold/left "+ErrCallerLeft.Error())
	full := dial()
	defer full.Close()
	h.mu.Lock()
	h.content = make([]byte, 64<<20)
	h.mu.Unlock()
	send(t, full, get("/full")) // its caller does not read the response
	<-h.started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(s.Close(ctx), int64(1))
	got := <-undelivered
	is.True(strings.HasPrefix(got, "/full ")) // with the error of the write
}

// TestCutRequestsGetResponses guards against requests that are cut at the end of a planned stop without a word: the caller has to learn whether
// they may have run.
func TestCutRequestsGetResponses(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	s, dial := serve(t, h, routing.DefaultLimits)
	c := dial()
	send(t, c, get("/hold/1")+get("/hold/2"))
	<-h.started
	<-h.started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	cut := make(chan int64)
	go func() { cut <- s.Close(ctx) }()
	br := bufio.NewReader(c)
	resp, body := answer(t, br)
	is.Equal(body, "/hold/1")
	is.True(!resp.Close)
	resp, body = answer(t, br)
	is.Equal(body, "/hold/2")
	is.True(resp.Close)
	c.Close()
	is.Equal(<-cut, int64(2))
}

// TestBodyMemoryIsReleasedOnce guards against a limit for request bodies that grows with each request that is refused after the last response of
// its connection was decided.
func TestBodyMemoryIsReleasedOnce(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	s, dial := serve(t, h, routing.DefaultLimits)
	c := dial()
	send(t, c, get("/hold/panic")+"POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
	<-h.started
	waitFor(func() bool { return bodyBytes(s) == 3 })
	close(h.hold("/hold/panic"))
	resp, _ := answer(t, bufio.NewReader(c))
	is.True(resp.Close)
	<-panics
	send(t, c, "no chunk\r\n")
	c.Close()
	waitFor(func() bool { return s.Connections() == 0 })
	is.Equal(bodyBytes(s), int64(0))
}

// TestLastResponseSurvivesEndOfStop guards against a stop that resets a connection whose response has just been sent: at the end of the stop, a
// caller that has sent a further request meanwhile lost it.
func TestLastResponseSurvivesEndOfStop(t *testing.T) {
	faketime.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &recordingHandler{ran: map[string]bool{}, delay: func() time.Duration { return 20 * time.Millisecond }}
		s := New(Config{Handler: h, Limits: func() routing.Limits { return routing.DefaultLimits }, MaxConnections: 1, Memory: bodyMemory(1)})
		network := newMemNetwork(8 * time.Millisecond)
		go func() { _ = s.Serve(network) }() // returns when Close has closed the listener
		c := network.dial()
		defer c.Close()
		time.Sleep(time.Millisecond) // until the connection is accepted
		begin := time.Now()
		_, err := io.WriteString(c, get("/1"))
		is.NoErr(err)
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			ctx, cancel := context.WithDeadline(context.Background(), begin.Add(30*time.Millisecond)) // the response is sent after 28 ms
			defer cancel()
			is.Equal(s.Close(ctx), int64(0)) // requests that were cut
		}()
		time.Sleep(24 * time.Millisecond)
		_, err = io.WriteString(c, get("/2")) // arrives 2 ms after the end
		is.NoErr(err)
		time.Sleep(30 * time.Millisecond)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.True(resp.Close)
		c.Close()
		<-closed
	})
}

// TestCutRequestsThatWaitAreRefused guards against a request without a response: it waits for an earlier one of its connection when the stop ends.
func TestCutRequestsThatWaitAreRefused(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	s, dial := serve(t, h, routing.DefaultLimits)
	c := dial()
	send(t, c, get("/hold/1")+"POST /hold/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
	<-h.started
	waitFor(func() bool { return s.Unanswered() == 2 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	cut := make(chan int64)
	go func() { cut <- s.Close(ctx) }()
	br := bufio.NewReader(c)
	_, body := answer(t, br)
	is.Equal(body, "/hold/1")
	resp, body := answer(t, br)
	is.Equal(body, "/hold/2")
	is.True(resp.Close)
	c.Close()
	is.Equal(<-cut, int64(2))
}

// TestServeBesideClose guards against a Serve that goes on after a Close that began at the same time, so that the process does not end.
func TestServeBesideClose(t *testing.T) {
	is := is.New(t)
	var group sync.WaitGroup
	var networks []*memNetwork
	for range 2000 {
		s := New(Config{Limits: func() routing.Limits { return routing.DefaultLimits }, MaxConnections: 1, Memory: bodyMemory(1)})
		network := newMemNetwork(0)
		networks = append(networks, network)
		group.Go(func() { _ = s.Serve(network) }) // returns nil
		group.Go(func() { s.Close(context.Background()) })
	}
	group.Wait()
	for _, network := range networks {
		is.True(network.dial() == nil) // the listener is closed
	}
}

// TestNoContinueAfterLastResponse guards against a 100 Continue behind a response that closes the connection: it belongs to no response, and its
// caller would send a body that is not read.
func TestNoContinueAfterLastResponse(t *testing.T) {
	is := is.New(t)
	network := newMemNetwork(0)
	network.dial()
	accepted, err := network.Accept()
	is.NoErr(err)
	c := newConn(New(Config{}), accepted)
	c.lastRead = true // and the response is written
	c.sendContinue()
	is.Equal(accepted.(*memConn).peer.unread, 0)
}

// TestDrainServesBufferedRequests guards against a drain that drops a request which the server has received, because the one before it was
// answered before the reader came to it.
func TestDrainServesBufferedRequests(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	var slowReader atomic.Bool
	s := New(Config{Handler: h, MaxConnections: 1, Memory: bodyMemory(1), Limits: func() routing.Limits {
		if slowReader.Load() {
			time.Sleep(20 * time.Millisecond) // the reader asks for the limits before it reads
		}
		return routing.DefaultLimits
	}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go s.Serve(l)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	post := func(path string) string { return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" }
	send(t, c, post("/hold/a")+post("/b")+post("/c"))
	<-h.started
	s.Drain()
	slowReader.Store(true)
	close(h.hold("/hold/a"))
	is.Equal(readAnswers(c), map[string]bool{"/hold/a": true, "/b": true, "/c": true})
}

// TestCallerLeavesWhileRequestWaits guards against requests that run although their caller has left: the reader did not notice it while a request
// waited for an earlier one.
func TestCallerLeavesWhileRequestWaits(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	s, dial := serve(t, h, routing.DefaultLimits)
	c := dial()
	send(t, c, get("/hold/1")+"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
	<-h.started
	waitFor(func() bool { return s.Unanswered() == 2 })
	c.Close()
	is.Equal(<-h.canceled, "/hold/1")
	waitFor(func() bool { return s.Connections() == 0 })
	is.Equal(len(h.started), 0) // of /2
}
