package ingress

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
)

// starvation holds back a goroutine of the server whose deadline has passed, like a process that does not get a processor.
type starvation struct {
	held    atomic.Bool   // hold the next one of a connection back
	accept  atomic.Bool   // hold the accepting one back
	woken   chan net.Conn // the connection of the one that is held back; nil for the accepting one
	release chan struct{}
	delay   atomic.Int64 // before each read, as a time.Duration
}

func newStarvation() *starvation {
	return &starvation{woken: make(chan net.Conn), release: make(chan struct{})}
}

func (s *starvation) hold(which *atomic.Bool, c net.Conn, err error) {
	if isTimeout(err) && which.CompareAndSwap(true, false) {
		s.woken <- c
		<-s.release
		s.delay.Store(int64(150 * time.Millisecond))
	}
}

type starvedListener struct {
	*net.TCPListener
	*starvation
}

func (l starvedListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.AcceptTCP()
	l.hold(&l.accept, nil, err)
	if err != nil {
		return nil, err
	}
	return starvedConn{c, l.starvation}, nil
}

type starvedConn struct {
	*net.TCPConn
	*starvation
}

func (c starvedConn) Read(b []byte) (int, error) {
	time.Sleep(time.Duration(c.delay.Load()))
	n, err := c.TCPConn.Read(b)
	c.hold(&c.held, c, err)
	return n, err
}

func (c starvedConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.hold(&c.held, c, err)
	return n, err
}

// starvedServer starts a server whose process can be held back.
func starvedServer(t *testing.T, cfg Config) (*Server, *starvation, func() net.Conn) {
	t.Helper()
	is := is.New(t)
	if cfg.Limits == nil {
		cfg.Limits = func() routing.Limits { return routing.DefaultLimits }
	}
	s := New(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	starved := newStarvation()
	go s.Serve(starvedListener{l.(*net.TCPListener), starved})
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.Close(ctx)
	})
	return s, starved, func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { c.Close() })
		return c
	}
}

// arrive sends bytes to the server, whose goroutine is held back, and lets it go on once they have arrived.
func (s *starvation) arrive(t *testing.T, c net.Conn, text string) {
	t.Helper()
	select {
	case far := <-s.woken:
		send(t, c, text)
		waitFor(func() bool { return sockbuf.Received(far) == sockbuf.Bytes })
		close(s.release)
	case <-time.After(10 * time.Second):
		t.Fatal("the goroutine that reads the connection was not asked")
	}
}

// TestArrivedRequestOutlivesDeadline guards against connections that are closed, and requests that are refused, because a deadline has passed, although the
// bytes had arrived when the host decided so: its process had got no processor for reading them.
func TestArrivedRequestOutlivesDeadline(t *testing.T) {
	limits := routing.DefaultLimits
	limits.IdleTimeout, limits.HeaderTimeout = 50*time.Millisecond, 50*time.Millisecond
	const whole = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	for _, c := range []struct {
		name string
		sent int // bytes of the request before the deadline
	}{{"idle", 0}, {"header", 20}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, starved, dial := starvedServer(t, Config{Handler: &sumHandler{}, Limits: func() routing.Limits { return limits }, MaxConnections: 8})
			starved.held.Store(true)
			nc := dial()
			send(t, nc, whole[:c.sent])
			starved.arrive(t, nc, whole[c.sent:])
			resp, _ := answer(t, bufio.NewReader(nc))
			is.Equal(resp.StatusCode, http.StatusOK)
		})
	}
}

// TestStopOfStarvedProcess guards against a stop that drops requests which have arrived, because the process got a processor only after the time for
// reading them.
func TestStopOfStarvedProcess(t *testing.T) {
	is := is.New(t)
	s, starved, dial := starvedServer(t, Config{Handler: newHandler(), MaxConnections: 1, Memory: bodyMemory(1)})
	c := dial()
	br := bufio.NewReader(c)
	send(t, c, get("/1"))
	answer(t, br)
	waitFor(func() bool { return s.Unanswered() == 0 })
	s.Drain()
	starved.held.Store(true)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		s.Close(context.Background())
	}()
	starved.arrive(t, c, get("/2"))
	_, body := answer(t, br)
	is.Equal(body, "/2")
	c.Close()
	<-closed
}

// TestDrainAnswersWhatHasArrived guards against a drain that announces the close, and drops the next request, although that has arrived: its bytes were not
// read yet.
func TestDrainAnswersWhatHasArrived(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	s, starved, dial := starvedServer(t, Config{Handler: h, MaxConnections: 1, Memory: bodyMemory(1)})
	starved.delay.Store(int64(300 * time.Millisecond))
	c := dial()
	send(t, c, get("/hold/1"))
	<-h.started
	time.Sleep(50 * time.Millisecond) // until the reader is held back
	send(t, c, get("/2"))
	s.Drain()
	close(h.hold("/hold/1"))
	is.Equal(readAnswers(c), map[string]bool{"/hold/1": true, "/2": true})
}

// TestStopAcceptsWhatHasArrived guards against a stop that resets connections in the accept queue, because the process got no processor in the time for
// accepting them.
func TestStopAcceptsWhatHasArrived(t *testing.T) {
	is := is.New(t)
	s, starved, dial := starvedServer(t, Config{Handler: newHandler(), MaxConnections: 8, Memory: bodyMemory(1)})
	starved.accept.Store(true)
	answer(t, bufio.NewReader(withRequest(t, dial(), "/1"))) // Serve accepts
	go s.Close(context.Background())
	<-starved.woken
	var callers []net.Conn
	for n := range 3 {
		callers = append(callers, withRequest(t, dial(), fmt.Sprint("/", n)))
	}
	close(starved.release)
	for n, c := range callers {
		resp, body := answer(t, bufio.NewReader(c))
		is.Equal(body, fmt.Sprint("/", n))
		is.True(resp.Close)
		c.Close()
	}
}

// withRequest sends a request on a connection.
func withRequest(t *testing.T, c net.Conn, path string) net.Conn {
	t.Helper()
	send(t, c, get(path))
	return c
}
