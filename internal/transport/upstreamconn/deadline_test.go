package upstreamconn

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// TestStatedDeadlineCountsDial guards against an endpoint that is told more time than is left, because setting up the connection has taken some of it.
func TestStatedDeadlineCountsDial(t *testing.T) {
	is := is.New(t)
	const dial, left = 100 * time.Millisecond, time.Second
	stated := make(chan string, 1)
	u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		stated <- r.Header.Get(callerapi.UpstreamDeadlineMS)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	cfg := DefaultConfig()
	cfg.MaxPerEndpoint = func(endpoints.Endpoint) int { // is called while a connection is set up
		time.Sleep(dial)
		return 1
	}
	p := NewPool(cfg)
	c := call("r1", "GET", nil)
	c.Deadline = time.Now().Add(left)
	resp, err := p.Send(t.Context(), u.endpoint, c)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	ms, err := strconv.Atoi(<-stated)
	is.NoErr(err)
	is.True(ms <= int((left - dial).Milliseconds()))
}
