package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const most = 10

// start starts a server that answers requests for /held when release is closed.
func start(t *testing.T) (l *Limiter, dial func() net.Conn, release chan struct{}, closed *atomic.Int64) {
	t.Helper()
	closed, release = &atomic.Int64{}, make(chan struct{})
	l = New(most, func(net.Addr) { closed.Add(1) })
	s := &http.Server{ReadTimeout: 2 * time.Second, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			<-release
		}
	})}
	l.Apply(s)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go s.Serve(l.Listener(inner))
	t.Cleanup(func() { s.Close() })
	return l, func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		is.New(t).NoErr(err)
		t.Cleanup(func() { c.Close() })
		return c
	}, release, closed
}

// answered sends bytes and reports whether a response arrives.
func answered(c net.Conn, text string) bool {
	io.WriteString(c, text) // fails if the connection was closed at once, which the read shows too
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && resp.StatusCode == http.StatusOK
}

const (
	get  = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	held = "GET /held HTTP/1.1\r\nHost: h\r\n\r\n"
)

// TestSilentClients guards against clients that keep others out with connections on which they send nothing, a part of a request, or one request.
func TestSilentClients(t *testing.T) {
	for name, text := range map[string]string{"nothing": "", "part": "GET / HT", "idle": get} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, dial, _, closed := start(t)
			for range most {
				_, _ = io.WriteString(dial(), text)
			}
			time.Sleep(minSlowAge + 100*time.Millisecond)
			for range most {
				is.True(answered(dial(), get))
			}
			is.True(l.Connections() <= most)
			is.True(closed.Load() >= most)
		})
	}
}

// TestAnswersAreNotCut guards against a connection that is closed while its request is being answered. A further one is closed instead.
func TestAnswersAreNotCut(t *testing.T) {
	is := is.New(t)
	_, dial, release, _ := start(t)
	results := make(chan bool, most)
	for range most {
		c := dial()
		go func() { results <- answered(c, held) }()
	}
	time.Sleep(minSlowAge + 100*time.Millisecond)
	is.True(!answered(dial(), get))
	close(release)
	for range most {
		is.True(<-results)
	}
}

// TestUnreadRequestOutlivesNewConnection guards against requests that are lost on a connection that makes room for others: they have arrived, but the process
// has got no processor to read them.
func TestUnreadRequestOutlivesNewConnection(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	limiter := New(1, nil)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		return c
	}
	accept := func() *conn {
		nc, err := inner.Accept()
		is.NoErr(err)
		return limiter.admit(nc)
	}
	caller := dial()
	defer caller.Close()
	c := accept()
	defer c.Close()
	_, err = caller.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	is.NoErr(err)
	time.Sleep(minSlowAge + 50*time.Millisecond)
	other := dial()
	defer other.Close()
	is.True(accept() == nil)
	_, err = c.Read(make([]byte, 64))
	is.NoErr(err)
	third := dial()
	defer third.Close()
	admitted := accept()
	is.True(admitted != nil) // once the request is read, the connection makes room
	admitted.Close()
}
