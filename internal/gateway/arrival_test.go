package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/detour"
	"github.com/arbutusspan/arbutusspan/internal/protocol/hop"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/internal/transport/ingress"
)

// unreadFor starts a host and sends it three requests on one connection, which may not run concurrently: the endpoint runs the first for the given time, the second
// waits for it, and the third, which states the given deadline, lies unread meanwhile. It returns the status of the third response.
func unreadFor(t *testing.T, d *deployment, unread, deadline time.Duration) (status int) {
	t.Helper()
	is := is.New(t)
	d.store.put(t, "contract", "config", routing.Config{Version: 1, Services: []routing.Service{{Name: "lotdesk", HealthPath: "/health"}},
		Routes: []routing.Route{{Name: "lots", Host: "shop.example", Prefix: "/lots/", Timeout: time.Minute, MaxAttempts: 1, Split: []routing.WeightedService{{Service: "lotdesk", Weight: 1}}}}})
	h := d.start(t)
	waitFor(t, "readiness", h.ready)
	nc, err := net.Dial("tcp", h.settings.CallerAddress)
	is.NoErr(err)
	defer nc.Close()
	for n, request := range []struct {
		path string
		left time.Duration
	}{{"held", 10 * time.Second}, {"2", 10 * time.Second}, {"3", deadline}} {
		_, err = fmt.Fprintf(nc, "POST /lots/%s HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\nUpstream-Request-Id: r%d\r\nUpstream-Deadline-Ms: %d\r\n\r\n",
			request.path, n+1, request.left.Milliseconds())
		is.NoErr(err)
	}
	<-d.waiting
	time.Sleep(unread)
	close(d.release)
	br := bufio.NewReader(nc)
	for range 3 {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		status = resp.StatusCode
	}
	return status
}

// TestUnreadTimeCounts guards against a deadline that is counted from when this host has read a request: the endpoint, and the waits of this host, then get time
// that the caller does not have.
func TestUnreadTimeCounts(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	is.Equal(unreadFor(t, d, 400*time.Millisecond, 2*time.Second), http.StatusOK)
	left, err := strconv.Atoi(d.header.Load().Get("Upstream-Deadline-Ms"))
	is.NoErr(err)
	is.True(left <= 1620) // what was unread, less the resolution of the kernel's clock
	waitFor(t, "log line", func() bool { return strings.Count(d.logged(), "msg=request") == 3 })
	lines := strings.Split(d.logged(), "\n")
	for _, line := range lines {
		if strings.Contains(line, "msg=request") {
			is.Equal(strings.Contains(line, "unread_ms="), strings.Contains(line, "id=r3"))
		}
	}
}

// TestPassedDeadlineOfUnreadRequest guards against requests that are run, or hold a permit or a place in a queue, although their callers had left when this host
// read them.
func TestPassedDeadlineOfUnreadRequest(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	is.Equal(unreadFor(t, d, 400*time.Millisecond, 300*time.Millisecond), http.StatusServiceUnavailable)
	is.Equal(d.ran.Load(), int64(2))
	waitFor(t, "log line", func() bool { return strings.Contains(d.logged(), "id=r3 reason=deadline_unreachable") })
	is.Equal(strings.Count(d.logged(), "id=r3"), 1)
}

// TestPassedDeadlineOfUnreadHop guards against requests of other hosts that this host seeks an endpoint for, although their callers had left when it read them.
func TestPassedDeadlineOfUnreadHop(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 1, "/lots/")
	h := d.start(t)
	waitFor(t, "readiness", h.ready)
	for _, unread := range []time.Duration{0, time.Minute} {
		header := http.Header{hop.HeaderDeadlineMS: {"60000"}, hop.HeaderRequestID: {"h1"}}
		is.NoErr(hop.SetRequest(header, &detour.HopRequest{From: "another", Service: "lotdesk", Version: 1, Attempts: 1}))
		resp := hopHandler{h.gateway}.Serve(context.Background(), &ingress.Request{Method: http.MethodGet, Target: "/lots/1", Path: "/lots/1", Host: "shop.example", Header: header,
			HeaderReadAt: time.Now(), Unread: unread})
		result, err := hop.GetResult(resp.Header)
		is.NoErr(err)
		is.Equal(result.Outcome == "answered", unread == 0)
		is.Equal(d.ran.Load(), int64(1))
		is.Equal(strings.Contains(h.gateway.metrics.String(), `"hops_refused_total": 1`), unread > 0)
	}
}

// TestLateReadsMakeHostLate guards against timeouts that count against endpoints and hosts, although this host read nothing in their time: no timer of it was due
// then.
func TestLateReadsMakeHostLate(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 1, "/lots/")
	h := d.start(t)
	waitFor(t, "readiness", h.ready)
	now := time.Now()
	read := func(late time.Duration) {
		h.gateway.Serve(context.Background(), &ingress.Request{Method: http.MethodGet, Target: "/lots/1", Path: "/lots/1", Host: "shop.example", Header: http.Header{},
			HeaderReadAt: now, Unread: time.Hour, ReadLate: late})
	}
	from := now.Add(-time.Hour) // before the start
	own := h.gateway.lateness.Between(from, h.gateway.started)
	read(4 * time.Millisecond) // as on any host
	is.Equal(h.gateway.lateness.Between(from, h.gateway.started), own)
	read(time.Hour)
	is.Equal(h.gateway.lateness.Between(from, h.gateway.started), h.gateway.started.Sub(from))
}
