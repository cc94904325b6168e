package gateway

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/state/membudget"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// smallestMemoryMB is the memory of the smallest machine of the deployments, in MiB.
const smallestMemoryMB = 184

// TestLargestBodyFits guards against a host that refuses a body of the largest legal size although nothing else is in memory, and against parts of the budget
// that exceed the memory of the smallest machine together.
func TestLargestBodyFits(t *testing.T) {
	is := is.New(t)
	b := newMemoryBudget(smallestMemoryMB)
	is.True(b.Limit(membudget.LargeBodies) >= routing.DefaultLimits.MaxBodyBytes)
	is.True(heapFraction+largeBodyFraction < 0.95)
	is.True(clientHeapFraction < heapFraction)
}

// post sends a request with a body on a new connection.
func (h *testHost) post(path, id string, body []byte) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.settings.CallerAddress+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = "shop.example"
	req.Header.Set("Upstream-Request-Id", id)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	_, err = text.ReadFrom(resp.Body)
	return resp.StatusCode, text.String(), err
}

// TestLargeBodiesAreFreed guards against the memory of bodies that is never freed, or is freed while a connection reads it: the endpoint answers before it
// has read the body, and closes the connection.
func TestLargeBodiesAreFreed(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 1, "/lots/")
	h := d.start(t)
	waitFor(t, "readiness", h.ready)
	body := bytes.Repeat([]byte("x"), 3<<20)
	var group sync.WaitGroup
	for n := range 16 {
		group.Go(func() {
			_, _, _ = h.post(fmt.Sprint("/lots/", n), fmt.Sprint(n), body) // may fail, as the endpoint closes connections
		})
	}
	group.Wait()
	waitFor(t, "the memory", func() bool { return h.gateway.memory.Used(membudget.LargeBodies) == 0 })
	status, _, _ := h.call(t, "/lots/1", "after")
	is.Equal(status, http.StatusOK)
}

// TestUnroutedBodyIsNotKept guards against memory for the bodies of requests that no route matches.
func TestUnroutedBodyIsNotKept(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 1, "/lots/")
	h := d.start(t)
	waitFor(t, "readiness", h.ready)
	h.gateway.memory.Add(membudget.LargeBodies, netip.Addr{}, h.gateway.memory.Limit(membudget.LargeBodies))
	status, text, err := h.post("/nowhere", "r1", bytes.Repeat([]byte("x"), 3<<20))
	is.NoErr(err)
	is.Equal(status, http.StatusNotFound)
	is.True(strings.Contains(text, string(refusals.RouteUnknown)))
	status, _, err = h.post("/lots/1", "r2", bytes.Repeat([]byte("x"), 3<<20))
	is.True(err != nil || status == http.StatusServiceUnavailable) // full
}

// TestReadyDespiteSilentClients guards against clients that keep the readiness check and the directory busy with connections on which they send nothing.
func TestReadyDespiteSilentClients(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 1, "/lots/")
	h := d.start(t)
	waitFor(t, "readiness", h.ready)
	for _, address := range []string{h.settings.ReadyAddress, h.settings.DirectoryAddress} {
		for range 200 {
			c, err := net.Dial("tcp", address)
			is.NoErr(err)
			t.Cleanup(func() { c.Close() })
		}
	}
	time.Sleep(700 * time.Millisecond) // until a connection counts as silent
	for range 20 {
		is.True(h.ready())
		resp, err := http.Get("http://" + h.settings.DirectoryAddress + "/")
		is.NoErr(err)
		resp.Body.Close()
	}
	waitFor(t, "the log line", func() bool { return strings.Contains(d.logged(), "aux_connection_closed") })
}

// TestBodyWithoutKeyIsNotKept guards against memory for the bodies of requests that need a key and have none.
func TestBodyWithoutKeyIsNotKept(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configureCustomers(t, 1, customer("norte", "secret-n"))
	h := d.start(t)
	waitFor(t, "readiness", h.ready)
	h.gateway.memory.Add(membudget.LargeBodies, netip.Addr{}, h.gateway.memory.Limit(membudget.LargeBodies))
	status, _, err := h.post("/lots/1", "r1", bytes.Repeat([]byte("x"), 3<<20))
	is.NoErr(err)
	is.Equal(status, http.StatusUnauthorized)
	status, _, err = h.post("/public/1", "r2", bytes.Repeat([]byte("x"), 3<<20))
	is.True(err != nil || status == http.StatusServiceUnavailable) // its body is kept
}
