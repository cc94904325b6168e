package gateway

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/detour"
	"github.com/arbutusspan/arbutusspan/internal/protocol/problem"
	"github.com/arbutusspan/arbutusspan/internal/state/customers"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// Headers of the tests' callers and upstream.
const (
	testKeyHeader      = "Test-Key"
	testCustomerHeader = "Test-Customer"
)

// configureCustomers writes a configuration with customers, a route that needs a key and a public one, both idempotent.
func (d *deployment) configureCustomers(t *testing.T, version uint64, list ...customers.Entry) {
	t.Helper()
	route := func(prefix string, public bool) routing.Route {
		return routing.Route{Name: prefix, Host: "shop.example", Prefix: prefix, Idempotent: true, Timeout: time.Minute, TargetLatency: 30 * time.Second,
			MaxAttempts: 3, Public: public, Split: []routing.WeightedService{{Service: "lotdesk", Weight: 1}}}
	}
	d.store.put(t, "contract", "config", routing.Config{Version: version, Services: []routing.Service{{Name: "lotdesk", HealthPath: "/health"}},
		Routes: []routing.Route{route("/lots/", false), route("/public/", true)}, Customers: list})
}

// customer returns a customer without a limit.
func customer(name string, keys ...string) customers.Entry {
	return customers.Entry{Customer: customers.Customer{Name: name}, Keys: keys}
}

// send sends a request with values of the key header, and one that claims to be of a customer, and returns the status, the reason of a refusal and
// the header of the response.
func (h *testHost) send(t *testing.T, path, id string, keys ...string) (int, refusals.Reason, http.Header) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+h.settings.CallerAddress+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "shop.example"
	req.Header = http.Header{"Upstream-Request-Id": {id}, testCustomerHeader: {"forged"}}
	if len(keys) > 0 {
		req.Header[testKeyHeader] = keys
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		t.Error(err)
		return 0, "", nil
	}
	defer resp.Body.Close()
	var doc problem.Document
	_ = json.NewDecoder(resp.Body).Decode(&doc) // an answer of the upstream has no reason
	return resp.StatusCode, doc.Reason, resp.Header
}

// TestKeys guards against requests without a known key that reach an endpoint, keys that reach one or a log, and customers that callers name
// themselves. A request over another host is checked and marked there.
func TestKeys(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configureCustomers(t, 3, customer("norte", "secret-n"), customer("sur", "secret-s", "secret-both"), customer("este", "secret-both"))
	far := d.start(t)
	near := d.start(t, far.settings.StateAddress)
	waitFor(t, "readiness", func() bool { return near.ready() && far.ready() && near.knows(far) })
	for i, c := range []struct {
		path     string
		keys     []string
		reason   refusals.Reason // empty if an endpoint answers
		customer string
		hop      bool
	}{
		{"/lots/1", []string{"secret-s"}, "", "sur", true},
		{"/public/1", []string{"secret-n"}, "", "norte", true},
		{"/lots/1", []string{"secret-n"}, "", "norte", false},
		{"/lots/1", nil, refusals.CredentialsMissing, "", false},
		{"/lots/1", []string{"secret-x"}, refusals.CredentialsWrong, "", false},
		{"/lots/1", []string{""}, refusals.CredentialsWrong, "", false},
		{"/lots/1", []string{"secret-both"}, refusals.CredentialsWrong, "", false},
		{"/lots/1", []string{"secret-n", "secret-n"}, refusals.CredentialsWrong, "", false},
		{"/public/1", nil, "", "", false},
		{"/public/1", []string{"secret-x"}, "", "", false},
	} {
		before := d.ran.Load()
		if c.hop {
			near.loseWay(far)
			is.Equal(near.gateway.ways.State("lotdesk"), detour.Cut)
		}
		status, reason, _ := near.send(t, c.path, fmt.Sprint("r", i), c.keys...)
		is.Equal(reason, c.reason)
		if c.reason != "" {
			is.Equal(status, http.StatusUnauthorized)
			is.Equal(d.ran.Load(), before)
			continue
		}
		is.Equal(status, http.StatusOK)
		h := *d.header.Load()
		is.Equal(h.Get(testCustomerHeader), c.customer)
		for name, values := range h {
			is.True(!strings.Contains(strings.Join(values, ","), "secret-")) // a key at an endpoint
			is.True(!strings.HasPrefix(name, "Arbutusspan-Hop"))
		}
		if c.hop {
			waitFor(t, "the other host's line", func() bool {
				return strings.Contains(d.logged(), fmt.Sprint("id=r", i, " ")) && strings.Contains(d.logged(), "through="+far.settings.Host)
			})
			time.Sleep(2 * time.Second) // the way is back
		}
	}
	conn, err := net.Dial("tcp", near.settings.CallerAddress)
	is.NoErr(err)
	fmt.Fprintf(conn, "GET /lots/1 HTTP/1.1\r\n%s secret-n\r\n\r\n", testKeyHeader)
	conn.Close()
	waitFor(t, "lines", func() bool {
		return strings.Contains(d.logged(), "refused_unread") && strings.Contains(d.logged(), customers.Fingerprint("secret-x"))
	})
	is.True(!strings.Contains(d.logged(), "secret-"))
}

// TestRemovedKey guards against a request that is sent to an endpoint, or repeated, after its key was removed while it waited for an endpoint. A key that
// is added is known without a restart, and customers whose keys did not change are served on.
func TestRemovedKey(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configureCustomers(t, 3, customer("norte", "secret-n"), customer("sur", "secret-s"))
	h := d.start(t)
	waitFor(t, "readiness", h.ready)
	answers := make(chan int, 3)
	for i := range 2 { // fill the slots
		go func() { status, _, _ := h.send(t, "/lots/held", fmt.Sprint("held", i), "secret-s"); answers <- status }()
		<-d.waiting
	}
	reasons := make(chan refusals.Reason, 1)
	go func() { _, reason, _ := h.send(t, "/lots/1", "waits", "secret-n"); reasons <- reason }()
	waitFor(t, "the request", func() bool { return h.gateway.callers.Unanswered() == 3 })
	d.configureCustomers(t, 4, customer("norte", "secret-new"), customer("sur", "secret-s"))
	waitFor(t, "the configuration", func() bool { return h.gateway.routes.Load().Version == 4 })
	close(d.release)
	is.Equal(<-reasons, refusals.CredentialsWrong)
	is.Equal(<-answers, http.StatusOK)
	is.Equal(<-answers, http.StatusOK)
	is.Equal(d.ran.Load(), int64(2))
	status, _, _ := h.send(t, "/lots/1", "again", "secret-n")
	is.Equal(status, http.StatusUnauthorized)
	status, _, _ = h.send(t, "/lots/1", "new", "secret-new")
	is.Equal(status, http.StatusOK)
}

// TestQuotaOverHosts guards against a customer that gets its limit at each host, refusals without a time to come back, a limit that no host divides after
// its coordinator has stopped, and permits that requests use up which were not run.
func TestQuotaOverHosts(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	norte := customer("norte", "secret-n")
	norte.RatePerSecond, norte.Burst = 20, 5
	d.configureCustomers(t, 3, norte, customer("sur", "secret-s"))
	d.quota = true
	first := d.start(t)
	hosts := []*testHost{first, d.start(t, first.settings.StateAddress), d.start(t, first.settings.StateAddress)}
	waitFor(t, "hosts that know each other", func() bool {
		return !slices.ContainsFunc(hosts, func(h *testHost) bool { return !h.ready() || len(h.gateway.peers.LiveZonePeers(time.Now())) < 2 })
	})
	served := func(h *testHost) bool {
		status, _, _ := h.send(t, "/lots/1", "w", "secret-n")
		return status == http.StatusOK
	}
	for _, h := range hosts {
		waitFor(t, "a coordinator", func() bool { return served(h) })
	}
	begin, ran := time.Now(), 0
	for time.Since(begin) < 2*time.Second { // about 100 per second at each of three hosts
		var wg sync.WaitGroup
		var mu sync.Mutex
		for i, h := range hosts {
			wg.Go(func() {
				status, reason, header := h.send(t, "/lots/1", fmt.Sprint("q", i), "secret-n")
				mu.Lock()
				defer mu.Unlock()
				switch status {
				case http.StatusOK:
					ran++
				case http.StatusTooManyRequests:
					is.Equal(reason, refusals.RateExceeded)
					is.True(header.Get("Retry-After") != "")
				default:
					is.Equal(reason, refusals.QuotaUnavailable) // a lost message
				}
			})
		}
		wg.Wait()
	}
	took := time.Since(begin).Seconds()
	t.Logf("%d requests ran in %.1f s", ran, took)
	is.True(float64(ran) <= 20*(took+0.3)+5+10+2) // rate, burst, half of the slack, and what is held in advance
	is.True(float64(ran) >= 20*took*0.8)
	status, _, _ := first.send(t, "/lots/1", "s", "secret-s")
	is.Equal(status, http.StatusOK) // without a limit

	dumps := first.gateway.customerDumps(time.Now())
	is.Equal(dumps[0].Keys, []string{customers.Fingerprint("secret-n")})
	is.True(dumps[0].Refusals[refusals.RateExceeded] > 0)
	i := slices.IndexFunc(hosts, func(h *testHost) bool { return h.settings.Host == dumps[0].Quota.Coordinator })
	hosts[i].stop()
	<-hosts[i].ended
	close(hosts[i].ended)
	stopped := time.Now()
	other := hosts[(i+1)%len(hosts)]
	waitFor(t, "another coordinator", func() bool { return served(other) })
	t.Logf("served again %v after the stop", time.Since(stopped))

	_, err := d.store.Append(t.Context(), "endpoints", "e-1", nil) // nothing runs from here on
	is.NoErr(err)
	waitFor(t, "no endpoint", func() bool { return other.gateway.endpoints.Snapshot().Total == 0 })
	time.Sleep(time.Second) // the bucket fills
	for range 60 {
		_, reason, _ := other.send(t, "/lots/1", "n", "secret-n")
		is.Equal(reason, refusals.NoUpstream) // and not that the limit is used up
	}
}
