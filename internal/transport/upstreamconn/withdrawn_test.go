package upstreamconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// TestWithdrawnEndpoint guards against requests to an endpoint that was withdrawn after it was chosen, and against connections that are kept
// to it: nothing is written, the failure says so, idle connections are closed, and the connection of a request that was in flight is not
// kept. The endpoint's statement is reported also from a response that Send returns as an error.
func TestWithdrawnEndpoint(t *testing.T) {
	is := is.New(t)
	received, release := make(chan struct{}), make(chan struct{})
	u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		header := callerapi.UpstreamRequestID + ": " + r.Header.Get(callerapi.UpstreamRequestID) + "\r\n"
		switch r.URL.Path {
		case "/held":
			close(received)
			<-release
		case "/leave":
			header = "Upstream-State: leaving\r\nUpstream-Request-Id: other\r\n"
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Length: 2\r\n\r\nok")
		return true
	})
	var leaving atomic.Bool
	cfg := DefaultConfig()
	cfg.Leaving = func(endpoints.ID) bool { return leaving.Load() }
	cfg.OnResponse = func(_ endpoints.Endpoint, r *executor.Response) { leaving.Store(leaving.Load() || r.Leaving) }
	p := NewPool(cfg)
	held := make(chan error, 1)
	go func() {
		c := call("r1", "GET", nil)
		c.Path = "/held"
		_, _, err := exchange(t.Context(), p, u.endpoint, c)
		held <- err
	}()
	<-received
	_, _, err := exchange(t.Context(), p, u.endpoint, call("r2", "GET", nil))
	is.NoErr(err)
	for idleCount(p, u.endpoint.ID) == 0 {
		time.Sleep(time.Millisecond)
	}
	leave := call("r3", "GET", nil)
	leave.Path = "/leave"
	_, err = p.Send(t.Context(), u.endpoint, leave)
	is.True(written(err))
	is.True(leaving.Load())
	p.CloseEndpoint(u.endpoint.ID)
	is.Equal(idleCount(p, u.endpoint.ID), 0)
	_, err = p.Send(t.Context(), u.endpoint, call("r4", "GET", nil))
	is.True(errors.Is(err, executor.ErrWithdrawn) && !written(err))
	close(release)
	is.NoErr(<-held) // a request in flight ends as usual
	for openCount(p, u.endpoint.ID) > 0 {
		time.Sleep(time.Millisecond)
	}
	_, requests := u.counts()
	is.Equal(requests, 3)
}

// TestWithdrawnWhileConnecting guards against a request to an endpoint that was withdrawn while the connection was set up.
func TestWithdrawnWhileConnecting(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, func(net.Conn, *http.Request, int, int) bool { return false })
	var checks atomic.Int64
	cfg := DefaultConfig()
	cfg.Rejecting = func(endpoints.ID) bool { return checks.Add(1) > 1 }
	p := NewPool(cfg)
	_, err := p.Send(t.Context(), u.endpoint, call("r1", "GET", nil))
	is.True(errors.Is(err, executor.ErrWithdrawn) && !written(err))
	_, requests := u.counts()
	is.Equal(requests, 0)
	is.Equal(openCount(p, u.endpoint.ID), 0)
}

func openCount(p *Pool, id endpoints.ID) int {
	sh := p.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.open[id]
}
