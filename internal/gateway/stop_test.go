package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// deployReady returns a deployment with a route for requests that are not idempotent, and a host that is ready.
func deployReady(t *testing.T) (*deployment, *testHost) {
	t.Helper()
	d := deploy(t)
	d.store.put(t, "contract", "config", routing.Config{Version: 1, Services: []routing.Service{{Name: "lotdesk", HealthPath: "/health"}},
		Routes: []routing.Route{{Name: "lots", Host: "shop.example", Prefix: "/lots/", Timeout: time.Minute, TargetLatency: 30 * time.Second, MaxAttempts: 1,
			Split: []routing.WeightedService{{Service: "lotdesk", Weight: 1}}}}})
	h := d.start(t)
	waitFor(t, "readiness", h.ready)
	return d, h
}

// stopSoon has the host refuse from now on what it may cut, as it does at the end of the time for which it reads all requests.
func (h *testHost) stopSoon() {
	h.gateway.drainPlan.Store(&drainPlan{minRead: time.Now(), end: time.Now().Add(30 * time.Second)})
}

func (h *testHost) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", h.settings.CallerAddress)
	is.New(t).NoErr(err)
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

// read reads a response and its body.
func read(t *testing.T, br *bufio.Reader) (int, string) {
	t.Helper()
	is := is.New(t)
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp.StatusCode, string(body)
}

const post = "POST /lots/%s HTTP/1.1\r\nHost: shop.example\r\nUpstream-Request-Id: %s\r\nContent-Length: 4\r\n%s\r\n"

// TestStopRefusesSlowBody guards against a request that is forwarded and then cut by a planned stop, because its header arrived early and its body late.
func TestStopRefusesSlowBody(t *testing.T) {
	is := is.New(t)
	d, h := deployReady(t)
	c, br := h.dial(t)
	fmt.Fprintf(c, post, "1", "slow", "Expect: 100-continue\r\n")
	status, _ := read(t, br) // the header was read
	is.Equal(status, http.StatusContinue)
	h.stopSoon()
	io.WriteString(c, "body")
	status, body := read(t, br)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, string(refusals.HostDraining)))
	is.Equal(d.ran.Load(), int64(0))
}

// TestStopRefusesPipelined guards against a request that is forwarded and then cut by a planned stop, because it was read early and had to wait for
// the one before it on its connection.
func TestStopRefusesPipelined(t *testing.T) {
	is := is.New(t)
	d, h := deployReady(t)
	c, br := h.dial(t)
	fmt.Fprintf(c, post+"body"+post+"body", "held", "first", "", "2", "second", "")
	<-d.waiting
	h.stopSoon()
	close(d.release)
	status, _ := read(t, br)
	is.Equal(status, http.StatusOK)
	status, body := read(t, br)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, string(refusals.HostDraining)))
	is.Equal(d.ran.Load(), int64(1))
}

// TestStopRefusesQueued guards against a request that is forwarded and then cut by a planned stop, because it was read early and waited for a free slot.
func TestStopRefusesQueued(t *testing.T) {
	is := is.New(t)
	d, h := deployReady(t)
	var readers []*bufio.Reader
	for n := range 3 { // the endpoint has two slots
		c, br := h.dial(t)
		fmt.Fprintf(c, post+"body", "held", fmt.Sprint(n), "")
		readers = append(readers, br)
		if n < 2 {
			<-d.waiting
		}
	}
	waitFor(t, "the third request", func() bool { return h.gateway.callers.Unanswered() == 3 })
	h.stopSoon()
	close(d.release)
	for n, br := range readers {
		status, _ := read(t, br)
		is.Equal(status == http.StatusOK, n < 2)
	}
	is.Equal(d.ran.Load(), int64(2))
}

// TestStopFinishesResponse guards against a planned stop that cuts a response which is being sent when it begins.
func TestStopFinishesResponse(t *testing.T) {
	is := is.New(t)
	d, h := deployReady(t)
	c, br := h.dial(t)
	io.WriteString(c, "GET /lots/large HTTP/1.1\r\nHost: shop.example\r\nUpstream-Request-Id: large\r\n\r\n")
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	h.stop()
	waitFor(t, "the stop", h.gateway.draining.Load)
	n, err := io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.Equal(n, int64(largeResponseBytes))
	is.NoErr(<-h.ended)
	close(h.ended)
	waitFor(t, "the log line of the end", func() bool { return strings.Contains(d.logged(), "cut=0 cut_for_hosts=0") })
}
