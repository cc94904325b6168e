package upstreamconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// TestAttribute guards against a response that is accepted for an exchange to which it may not belong, and against a connection that is closed although
// all its responses carried ids.
func TestAttribute(t *testing.T) {
	const sent = "r"
	first, now := time.Unix(1, 0), time.Unix(2, 0)
	echoes, optional, single := Dialect{EchoesID: true}, Dialect{}, Dialect{EchoesID: true, SingleResponses: true}
	for _, c := range []struct {
		name          string
		dialect       Dialect
		status        int
		ids           []string
		health, later bool // later: an earlier response of the connection lacked an id
		err           error
		keep          bool
		from          time.Time
		named         bool // an earlier response of the connection carried its id
	}{
		{"named", echoes, 200, []string{sent}, false, false, nil, true, now, false},
		{"named on a later exchange", echoes, 503, []string{sent}, false, true, nil, true, now, false},
		{"other id", echoes, 200, []string{"x"}, false, false, errOtherRequest, false, now, false},
		{"two ids", echoes, 200, []string{sent, "x"}, false, false, errOtherRequest, false, now, false},
		{"other id, health", echoes, 200, []string{"x"}, true, false, errOtherRequest, false, now, false},
		{"unnamed success", echoes, 200, nil, false, false, errUnnamed, false, now, false},
		{"empty id", echoes, 200, []string{""}, false, false, errUnnamed, false, now, false},
		{"unnamed rejection", echoes, 503, nil, false, false, errUnnamed, false, now, false},
		{"unnamed error", echoes, 500, nil, false, false, errUnnamed, false, now, false},
		{"unnamed rejection on a later exchange", echoes, 503, nil, false, true, errAmbiguous, false, now, false},
		{"unnamed health response", echoes, 200, nil, true, false, nil, true, now, false},
		{"unnamed health response on a later exchange", echoes, 200, nil, true, true, nil, true, first, false},
		{"unnamed health rejection", echoes, 503, nil, true, false, nil, false, now, false},
		{"unnamed health rejection on a later exchange", echoes, 503, nil, true, true, errAmbiguous, false, now, false},
		{"optional id, named", optional, 503, []string{sent}, false, false, nil, true, now, false},
		{"optional id, other id", optional, 200, []string{"x"}, false, false, errOtherRequest, false, now, false},
		{"optional id, unnamed success", optional, 200, nil, false, false, nil, false, now, false},
		{"optional id, unnamed rejection", optional, 503, nil, false, false, nil, false, now, false},
		{"optional id, unnamed success on a later exchange", optional, 200, nil, false, true, errAmbiguous, false, now, false},
		{"optional id, unnamed rejection on a later exchange", optional, 503, nil, false, true, errAmbiguous, false, now, false},
		{"optional id, unnamed success after a named one", optional, 200, nil, false, false, errUnnamed, false, now, true},
		{"optional id, unnamed rejection after a named one", optional, 503, nil, false, false, nil, false, now, true},
		{"optional id, unnamed health response on a later exchange", optional, 200, nil, true, true, nil, true, first, false},
		{"single responses, unnamed rejection", single, 503, nil, false, false, nil, false, now, false},
		{"single responses, unnamed success", single, 200, nil, false, false, errUnnamed, false, now, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cfg := DefaultConfig()
			cfg.Dialect = c.dialect
			cfg.Dialect.RequestID = callerapi.UpstreamRequestID
			cn := &conn{named: c.named}
			if c.later {
				cn.unnamed = []time.Time{first}
			}
			header := http.Header{}
			if c.ids != nil {
				header[callerapi.UpstreamRequestID] = c.ids
			}
			from, err := NewPool(cfg).attribute(cn, &executor.Call{RequestID: sent, HealthCheck: c.health}, &http.Response{StatusCode: c.status, Header: header}, now)
			is.Equal(err, c.err)
			if c.err == nil {
				is.Equal(from, origin{c.from, c.keep, len(c.ids) > 0})
				is.Equal(len(cn.unnamed) > 0, c.later || len(c.ids) == 0)
			}
		})
	}
}

// TestOriginOfUnnamedResponses guards against a health response that counts as stated too late: with maxLateCopies copies ahead of it, it answers an
// earlier health check of its connection.
func TestOriginOfUnnamedResponses(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.Dialect.EchoesID = true
	p, cn := NewPool(cfg), &conn{}
	for n := range 3 * maxLateCopies {
		from, err := p.attribute(cn, &executor.Call{RequestID: "r", HealthCheck: true}, &http.Response{StatusCode: 200, Header: http.Header{}}, time.Unix(int64(n), 0))
		is.NoErr(err)
		is.Equal(from.sentAt, time.Unix(int64(max(0, n-maxLateCopies+1)), 0))
	}
}

// TestChooseIdle guards against requests on a connection on which a late copy of a health response may arrive while another is idle, against health
// checks without ids that spread over all connections, and against new connections while one is idle.
func TestChooseIdle(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.Dialect.EchoesID = true
	choose := NewPool(cfg).chooseIdle
	named, unnamed := &conn{}, &conn{unnamed: []time.Time{time.Unix(1, 0)}}
	is.Equal(choose([]*conn{unnamed}, &executor.Call{}), 0)
	is.Equal(choose([]*conn{named, named, unnamed}, &executor.Call{}), 1)
	is.Equal(choose([]*conn{named, unnamed, named}, &executor.Call{HealthCheck: true}), 1)
	is.Equal(choose([]*conn{named, named}, &executor.Call{HealthCheck: true, UseOldestConnection: true}), 0)
	is.Equal(choose(nil, &executor.Call{}), -1)
}

// TestRequestSharesConnectionOfHealthCheck guards against a new connection for each request while the one of a health check is idle. It also checks
// that a request without an id gets one, which the caller does not see.
func TestRequestSharesConnectionOfHealthCheck(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		id := ""
		if r.URL.Path == "/x" {
			id = "Upstream-Request-Id: " + r.Header.Get(callerapi.UpstreamRequestID) + "\r\n"
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", id)
		return true
	})
	cfg := DefaultConfig()
	cfg.Dialect.EchoesID = true
	cfg.MaxPerEndpoint = func(e endpoints.Endpoint) int { return 1 }
	p := NewPool(cfg)
	_, err := p.ProbeLoad(t.Context(), u.endpoint, "/health")
	is.NoErr(err)
	for idleCount(p, u.endpoint.ID) == 0 {
		time.Sleep(time.Millisecond)
	}
	resp, err := p.Send(t.Context(), u.endpoint, call("", "POST", nil))
	is.NoErr(err)
	is.Equal(resp.Header.Get(callerapi.UpstreamRequestID), "")
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	conns, _ := u.counts()
	is.Equal(conns, 1)
	is.True(u.requests[1] != "")
}
