package upstreamconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// TestNoRequestAfterLostContact guards against a request on a new connection to an endpoint that has closed the idle ones, because it may have
// started again since. A health check is sent, and requests follow it.
func TestNoRequestAfterLostContact(t *testing.T) {
	for name, id := range map[string]func(sent int) string{
		"ids of their own":                    func(sent int) string { return fmt.Sprint("r", sent) },
		"one id, which the idle one has sent": func(int) string { return "r" },
	} {
		t.Run(name, func(t *testing.T) { testNoRequestAfterLostContact(t, id) })
	}
}

func testNoRequestAfterLostContact(t *testing.T, id func(sent int) string) {
	is := is.New(t)
	var requests atomic.Int64
	first := make(chan net.Conn, 10)
	u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		requests.Add(1)
		first <- c
		io.WriteString(c, withID(r, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		return true
	})
	var lost atomic.Bool
	cfg := DefaultConfig()
	cfg.Unchecked = func(endpoints.ID) bool { return lost.Load() }
	cfg.OnContactLost = func(endpoints.ID) { lost.Store(true) }
	p := NewPool(cfg)
	sent := 0
	send := func(healthCheck bool) error {
		sent++
		resp, err := p.Send(t.Context(), u.endpoint, &executor.Call{Method: http.MethodGet, Path: "/x", RequestID: id(sent), Header: http.Header{},
			RecentContact: !healthCheck, HealthCheck: healthCheck})
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
		lost.Store(lost.Load() && !healthCheck)
		return resp.Body.Close()
	}
	is.NoErr(send(false))
	for p.idle(u.endpoint.ID) == 0 {
		time.Sleep(time.Millisecond)
	}
	(<-first).Close()
	for closed := false; !closed; time.Sleep(time.Millisecond) {
		sh := p.shard(u.endpoint.ID)
		sh.mu.Lock()
		closed = len(sh.idle[u.endpoint.ID]) == 1 && sh.idle[u.endpoint.ID][0].http.Err() != nil
		sh.mu.Unlock()
	}
	is.True(errors.Is(send(false), executor.ErrWithdrawn))
	is.True(errors.Is(send(false), executor.ErrWithdrawn))
	is.Equal(requests.Load(), int64(1))
	is.NoErr(send(true))
	is.NoErr(send(false))
	is.Equal(requests.Load(), int64(3))
}
