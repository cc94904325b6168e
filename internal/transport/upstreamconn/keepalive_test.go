package upstreamconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUpstreamIdleTimeoutIsKept guards against requests that are lost because they are sent when the upstream closes the idle connection.
func TestUpstreamIdleTimeoutIsKept(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		_, err := io.WriteString(c, withID(r, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok"))
		return err == nil
	})
	p := testPool()
	ctx := context.Background()
	for _, idle := range []time.Duration{0, 100 * time.Millisecond, 900 * time.Millisecond} {
		time.Sleep(idle)
		_, _, err := exchange(ctx, p, u.endpoint, call(idle.String(), http.MethodPost, nil))
		is.NoErr(err)
	}
	conns, requests := u.counts()
	is.Equal(requests, 3)
	is.Equal(conns, 2) // the third request came close to the timeout
	p.CloseIdle(time.Now().Add(900 * time.Millisecond))
	is.Equal(idleCount(p, u.endpoint.ID), 0)
}

// TestIdleTimeoutOf guards against stated timeouts that are misread, also where an upstream sends anything.
func TestIdleTimeoutOf(t *testing.T) {
	const most = 8 * time.Second
	for value, want := range map[string]time.Duration{
		"timeout=5": 4 * time.Second, "max=3, Timeout=5": 4 * time.Second, `timeout="5"`: 4 * time.Second, "timeout=0": 0, "timeout=10": most, "timeout=99999999999": most,
		"timeout=-1": most, "timeout": most, "": most, "timeout=x": most,
	} {
		if got := idleTimeoutOf(http.Header{"Keep-Alive": {value}}, most); got != want {
			t.Errorf("%q: got %v, want %v", value, got, want)
		}
	}
	is.New(t).Equal(idleTimeoutOf(http.Header{}, most), most)
}
