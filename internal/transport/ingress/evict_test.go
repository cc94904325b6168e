package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/internal/transport/sockbuf"
)

// occupyProcessors keeps all processors busy until the function that it returns is called.
func occupyProcessors() (end func()) {
	var done atomic.Bool
	var group sync.WaitGroup
	for range 2 * runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for !done.Load() {
			}
		})
	}
	return func() {
		done.Store(true)
		group.Wait()
	}
}

// TestWholeRequestsOutliveNewConnections guards against requests without a response on a host without a free processor: they lay in the kernel's buffers
// when their connections were closed as silent ones, to make room for others.
func TestWholeRequestsOutliveNewConnections(t *testing.T) {
	const rounds, most = 3, 16
	for range rounds {
		is := is.New(t)
		_, dial := memoryServer(t, &sumHandler{}, Config{MaxConnections: most})
		var conns []net.Conn
		for range most {
			conns = append(conns, dial())
		}
		time.Sleep(newConnTime + 100*time.Millisecond)
		release := occupyProcessors()
		for _, c := range conns {
			_, err := io.WriteString(c, get("/"))
			is.NoErr(err)
		}
		for range minSpare {
			dial()
		}
		lost := 0
		for _, c := range conns {
			is.NoErr(c.SetReadDeadline(time.Now().Add(time.Minute)))
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
				t.Log(resp, err)
				lost++
			}
		}
		release()
		is.Equal(lost, 0)
	}
}

// TestArrivedRequestOutlivesEviction guards against connections that are closed to make room for others although a request had arrived when they were: the
// goroutine that reads it was not asked.
func TestArrivedRequestOutlivesEviction(t *testing.T) {
	const whole = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	for _, c := range []struct {
		name, before string
		sent         int // bytes of the request before the eviction
		wait         time.Duration
	}{
		{"new", "", 0, newConnTime},
		{"new with a part of the head", "", 20, newConnTime},
		{"idle", get("/"), 0, idleConnTime},
		{"stuck in the body", get("/"), len(whole) - 2, stuckTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			limits := routing.DefaultLimits
			limits.HeaderTimeout = time.Minute
			s, starved, dial := starvedServer(t, Config{Handler: &sumHandler{}, MaxConnections: 1, Limits: func() routing.Limits { return limits }})
			nc := dial()
			br := bufio.NewReader(nc)
			if c.before != "" {
				send(t, nc, c.before)
				answer(t, br)
			}
			send(t, nc, whole[:c.sent])
			time.Sleep(c.wait + 100*time.Millisecond)
			starved.held.Store(true)
			dial()
			starved.arrive(t, nc, whole[c.sent:])
			resp, _ := answer(t, br)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.True(s.Connections() >= 1)
		})
	}
}

// TestEvictedPartIsRefused guards against requests that are cut without a word when their connection makes room for others.
func TestEvictedPartIsRefused(t *testing.T) {
	is := is.New(t)
	evicted := make(chan Eviction, 1)
	s, _, dial := starvedServer(t, Config{Handler: &sumHandler{}, MaxConnections: 1, OnEvicted: func(_ net.Addr, e Eviction) { evicted <- e }})
	nc := dial()
	send(t, nc, get("/")[:10])
	time.Sleep(newConnTime + 100*time.Millisecond)
	is.Equal(request(dial(), get("/")), http.StatusOK)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Close)
	is.Equal(<-evicted, EvictedNew)
	waitFor(func() bool { return s.Connections() == 1 })
}

// TestArrivedBodyOutlivesEviction guards against bodies that count as stalled although the rest of them lies in the kernel's buffer.
func TestArrivedBodyOutlivesEviction(t *testing.T) {
	const size = 100
	for _, late := range []bool{false, true} { // whether the rest arrives only once the body is asked to make room
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, starved, dial := starvedServer(t, Config{Handler: &sumHandler{}, MaxConnections: 8, Memory: bodyMemory(size)})
			nc := dial()
			send(t, nc, post(size)+strings.Repeat("x", size-1))
			time.Sleep(stalledBodyTime + 100*time.Millisecond)
			other := make(chan int, 1)
			starved.held.Store(true)
			go func() { other <- request(dial(), post(size)+strings.Repeat("x", size)) }()
			if late {
				starved.arrive(t, nc, "x")
			} else {
				<-starved.woken
				close(starved.release)
			}
			resp, _ := answer(t, bufio.NewReader(nc))
			if late {
				is.Equal(resp.StatusCode, http.StatusOK)
				<-other
			} else { // a body that does stall still makes room
				is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
				is.Equal(<-other, http.StatusOK)
			}
		})
	}
}

// TestReadResponseOutlivesEviction guards against a response that is cut because its caller seems not to read it, when only the host's goroutine has not
// written more.
func TestReadResponseOutlivesEviction(t *testing.T) {
	is := is.New(t)
	const size = 32 << 20
	_, starved, dial := starvedServer(t, Config{Handler: &heldHandler{size: size}, MaxConnections: 1})
	nc := dial()
	send(t, nc, get("/"))
	time.Sleep(unreadTime + 200*time.Millisecond)
	starved.held.Store(true)
	dial()
	far := <-starved.woken
	go func() {
		for !sockbuf.Writable(far) {
			time.Sleep(time.Millisecond)
		}
		close(starved.release)
	}()
	resp, body := answer(t, bufio.NewReader(nc))
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(len(body), size)
}

// TestPausingStreamIsNotEvicted guards against a response that is cut because the endpoint pauses, as if its caller did not read it.
func TestPausingStreamIsNotEvicted(t *testing.T) {
	is := is.New(t)
	h := &streamHandler{stream: &slowReader{halves: [][]byte{[]byte("one"), []byte("two")}, pause: unreadTime + time.Second}, length: 6}
	_, _, dial := starvedServer(t, Config{Handler: h, MaxConnections: 1})
	nc := dial()
	send(t, nc, get("/"))
	time.Sleep(unreadTime + 200*time.Millisecond)
	dial()
	_, body := answer(t, bufio.NewReader(nc))
	is.Equal(body, "onetwo")
}

// readyListener accepts connections once their requests have arrived.
type readyListener struct{ net.Listener }

func (l readyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		waitFor(func() bool { return sockbuf.Received(c) == sockbuf.Bytes })
	}
	return c, err
}

// TestRejectedRequestIsRefused guards against whole requests that get no response because their connections are beyond the hard limit.
func TestRejectedRequestIsRefused(t *testing.T) {
	is := is.New(t)
	h := &heldHandler{release: make(chan struct{}), size: 1}
	defer close(h.release)
	refused := make(chan string, 64)
	s := New(Config{Handler: h, Limits: func() routing.Limits { return routing.DefaultLimits }, MaxConnections: minSpare,
		OnRefused: func(_ net.Addr, _ http.Header, status int, why string) { refused <- fmt.Sprint(status, " ", why) }})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go s.Serve(readyListener{l})
	defer l.Close()
	var conns []net.Conn
	for range 2 * minSpare {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer c.Close()
		conns = append(conns, withRequest(t, c, "/held"))
	}
	waitFor(func() bool { return s.Connections() == 2*minSpare })
	for range 10 {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		is.Equal(request(c, get("/held")), http.StatusServiceUnavailable)
		is.Equal(<-refused, "503 "+tooManyConnections)
		c.Close()
	}
	runtime.KeepAlive(conns)
}
