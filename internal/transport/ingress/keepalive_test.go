package ingress

import (
	"bufio"
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
