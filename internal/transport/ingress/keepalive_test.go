package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// TestIdleTimeoutIsStated guards against requests that are lost because callers cannot know when the host closes an idle connection.
func TestIdleTimeoutIsStated(t *testing.T) {
	for _, c := range []struct {
		timeout time.Duration
		request string
		want    string
	}{
		{15 * time.Second, get("/"), "timeout=12"},
		{2500 * time.Millisecond, get("/"), "timeout=2"},
		{time.Second, get("/"), ""},
		{15 * time.Second, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", ""},
		{15 * time.Second, "GET / HTTP/1.0\r\nHost: h\r\n\r\n", ""},
		{15 * time.Second, "x\r\n\r\n", ""},
	} {
		is := is.New(t)
		limits := routing.DefaultLimits
		limits.IdleTimeout = c.timeout
		_, dial := serve(t, newHandler(), limits)
		nc := dial()
		send(t, nc, c.request)
		resp, _ := answer(t, bufio.NewReader(nc))
		is.Equal(resp.Header.Get("Keep-Alive"), c.want)
		is.Equal(resp.Close, c.want == "" && c.timeout > time.Second)
	}
}

// TestStatedIdleTimeoutOutlivesConfiguration guards against requests that are lost because a connection is closed before the time that its last response has
// stated: a configuration with a shorter idle timeout came while that response was sent.
func TestStatedIdleTimeoutOutlivesConfiguration(t *testing.T) {
	is := is.New(t)
	var idle atomic.Int64
	idle.Store(int64(3 * time.Second))
	body, end := io.Pipe()
	s := New(Config{Handler: &streamHandler{stream: body, length: -1}, MaxConnections: 8, Limits: func() routing.Limits {
		limits := routing.DefaultLimits
		limits.IdleTimeout = time.Duration(idle.Load())
		return limits
	}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go s.Serve(l)
	defer s.Close(t.Context())
	defer end.Close()
	nc, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer nc.Close()
	br := bufio.NewReader(nc)
	is.NoErr(nc.SetDeadline(time.Now().Add(10 * time.Second)))
	send(t, nc, get("/1"))
	_, err = end.Write([]byte("begin")) // flushes the header
	is.NoErr(err)
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	is.Equal(resp.Header.Get("Keep-Alive"), "timeout=2")
	idle.Store(int64(100 * time.Millisecond))
	end.Close()
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	time.Sleep(time.Second)
	send(t, nc, get("/2"))
	resp, _ = answer(t, br)
	is.Equal(resp.Header.Get("Keep-Alive"), "") // below one second
}
