package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/eventlog"
	"github.com/arbutusspan/arbutusspan/internal/protocol/problem"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/internal/transport/upstreamconn"
)

// memoryStore is a keyed store in memory.
type memoryStore struct {
	mu         sync.Mutex
	logs       map[string][]follow.Record
	down       atomic.Bool
	unanswered string // topic whose reads fail
	unwritable string // topic whose writes fail
	epoch      int64
}

// errDown is the error of all calls while the store is down.
var errDown = errors.New("the store is down")

func (s *memoryStore) Newest(_ context.Context, topic string, keep follow.Keep) (follow.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down.Load() || s.unanswered == topic {
		return follow.Answer{}, errDown
	}
	newest := map[string]follow.Record{}
	for _, r := range s.logs[topic] {
		newest[r.Key] = r
	}
	var list []follow.Record
	for _, r := range newest {
		if r.Value != nil {
			list = keep.Append(list, r)
		}
	}
	return follow.Answer{Epoch: s.epoch, Records: list, Next: int64(len(s.logs[topic]))}, nil
}

func (s *memoryStore) Read(_ context.Context, topic string, from int64, keep follow.Keep) (follow.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down.Load() || s.unanswered == topic {
		return follow.Answer{}, errDown
	}
	if from > int64(len(s.logs[topic])) {
		return follow.Answer{Epoch: s.epoch}, follow.ErrTruncated
	}
	return follow.Answer{Epoch: s.epoch, Records: slices.Clone(s.logs[topic][from:]), Next: int64(len(s.logs[topic]))}, nil
}

func (s *memoryStore) Append(_ context.Context, topic, key string, value []byte) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down.Load() || s.unwritable == topic {
		return 0, errDown
	}
	s.logs[topic] = append(s.logs[topic], follow.Record{Key: key, Value: value, Offset: int64(len(s.logs[topic]))})
	return s.epoch, nil
}

// put appends a record with a JSON value.
func (s *memoryStore) put(t *testing.T, topic, key string, v any) {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Append(t.Context(), topic, key, data); err != nil {
		t.Fatal(err)
	}
}

// deployment is a store, an upstream with one endpoint, and the log of the hosts that a test starts.
type deployment struct {
	store    *memoryStore
	upstream *httptest.Server
	release  chan struct{}               // requests for /lots/held are answered when it is closed
	waiting  chan string                 // ids of the requests that wait for release
	ran      atomic.Int64                // requests that the upstream ran
	header   atomic.Pointer[http.Header] // of the last of them
	logs     bytes.Buffer
	logsMu   sync.Mutex
	quota    bool // hosts enforce the limits of customers
	echoes   bool // upstreams repeat the request id in all responses to requests
}

// Write implements io.Writer for the hosts' log.
func (d *deployment) Write(p []byte) (int, error) {
	d.logsMu.Lock()
	defer d.logsMu.Unlock()
	return d.logs.Write(p)
}

func (d *deployment) logged() string {
	d.logsMu.Lock()
	defer d.logsMu.Unlock()
	return d.logs.String()
}

// deploy starts a deployment without a configuration and without hosts.
func deploy(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{store: &memoryStore{logs: map[string][]follow.Record{}}, release: make(chan struct{}), waiting: make(chan string, 8)}
	d.upstream = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Upstream-Load", "0/2")
		w.Header().Set("Upstream-Request-Id", r.Header.Get("Upstream-Request-Id"))
		if r.URL.Path == "/health" {
			return
		}
		d.ran.Add(1)
		d.header.Store(&r.Header)
		if size, cut, ok := largeResponse(r.URL.Path); ok {
			half := make([]byte, size/2)
			_, _ = w.Write(half) // fails if the host has left
			http.NewResponseController(w).Flush()
			if cut {
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write(half)
			return
		}
		if r.URL.Path == "/lots/held" {
			d.waiting <- r.Header.Get("Upstream-Request-Id")
			<-d.release
		}
		fmt.Fprintf(w, "%s %s at %s", r.Method, r.URL, r.Host)
	}))
	t.Cleanup(d.upstream.Close)
	d.store.put(t, "endpoints", "e-1", registry.Entry{Name: "e-1", Started: 1, Service: "lotdesk", Address: d.upstream.Listener.Addr().String(), Zone: "a", Slots: 2})
	return d
}

// configure writes a configuration with a route for each path prefix to the store.
func (d *deployment) configure(t *testing.T, version uint64, prefixes ...string) {
	t.Helper()
	cfg := routing.Config{Version: version, Services: []routing.Service{{Name: "lotdesk", HealthPath: "/health"}}}
	for _, p := range prefixes {
		cfg.Routes = append(cfg.Routes, routing.Route{Name: p, Host: "shop.example", Prefix: p, Idempotent: true, Timeout: time.Minute,
			TargetLatency: 30 * time.Second, MaxAttempts: 2, Split: []routing.WeightedService{{Service: "lotdesk", Weight: 1}}})
	}
	d.store.put(t, "contract", "config", cfg)
}

// adapter returns an adapter that uses the project's own header names, and JSON for the records of the store.
func (d *deployment) adapter() Adapter {
	dialect := upstreamconn.DefaultConfig().Dialect
	dialect.EchoesID, dialect.HealthCheckIDs = d.echoes, d.echoes
	dialect.CustomerKey, dialect.Customer = testKeyHeader, testCustomerHeader
	return Adapter{Store: d.store, Dialect: dialect, ContractTopic: "contract", EndpointTopic: "endpoints", HostTopic: "hosts",
		DecodeContract: func(_ string, value []byte) (*routing.Config, error) {
			var c routing.Config
			return &c, json.Unmarshal(value, &c)
		},
		DecodeEndpoint: func(_ string, value []byte) (registry.Entry, error) {
			var e registry.Entry
			return e, json.Unmarshal(value, &e)
		},
		Directory: func(lookup func() ([]string, time.Duration)) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				list, _ := lookup()
				io.WriteString(w, strings.Join(list, ","))
			})
		},
		Ready: func(ready func() bool) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if !ready() {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})
		},
		RetryAfter: func(d time.Duration) string { return d.String() }}
}

// testHost is an entry host that a test has started.
type testHost struct {
	settings *Settings
	gateway  *Gateway
	stop     context.CancelFunc
	ended    chan error
}

// nextHost numbers the hosts of this test process. All hosts use the same ports, so each gets a loopback IP of its own, which depends on
// the process id and this number.
var nextHost atomic.Int64

// start starts a host, which stops when the test ends.
func (d *deployment) start(t *testing.T, seeds ...string) *testHost {
	t.Helper()
	return d.startWith(t, func(s *Settings) { s.Seeds = seeds })
}

// startWith starts a host whose settings are changed, and which stops when the test ends.
func (d *deployment) startWith(t *testing.T, change func(*Settings)) *testHost {
	t.Helper()
	n := nextHost.Add(1)
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%256, n)
	s := &Settings{Host: fmt.Sprintf("host-%d", n), Zone: "a", CallerAddress: ip + ":18080", ReadyAddress: ip + ":18081", DirectoryAddress: ip + ":18082",
		PeerAddress: ip + ":18083", StateAddress: ip + ":18084", MetricsAddress: ip + ":18085", DetourAddress: ip + ":18086", StoreAddress: "127.0.0.1:1", GraceS: 1}
	change(s)
	if d.quota {
		s.QuotaWindowS, s.QuotaOver, s.QuotaSlack = 5, 0.1, 20
	}
	if err := s.Validate(); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	logger := eventlog.New(d, log.DebugLevel, "host", s.Host)
	r := &testHost{settings: s, gateway: New(s, d.adapter(), logger), stop: stop, ended: make(chan error, 1)}
	go func() { r.ended <- r.gateway.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err, open := <-r.ended; open && err != nil {
			t.Error(err)
		}
	})
	return r
}

// waitFor polls until a condition holds or the test ends.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-t.Context().Done():
			t.Fatal("the test ended while waiting for " + what)
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// ready reports whether the host's readiness check succeeds.
func (h *testHost) ready() bool {
	resp, err := http.Get("http://" + h.settings.ReadyAddress + "/")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call sends a GET request on a new connection and returns the status, body and header of the response.
func (h *testHost) call(t *testing.T, path, id string) (int, string, http.Header) {
	t.Helper()
	return h.callWith(t, http.MethodGet, path, id)
}

// callWith does the work of call for any method.
func (h *testHost) callWith(t *testing.T, method, path, id string) (int, string, http.Header) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+h.settings.CallerAddress+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "shop.example"
	req.Header.Set("Upstream-Request-Id", id)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body), resp.Header
}

// listening reports whether the host answers requests on its caller address, with whatever status.
func (h *testHost) listening() bool {
	resp, err := http.Get("http://" + h.settings.CallerAddress + "/")
	if err == nil {
		resp.Body.Close()
	}
	return err == nil
}

// TestUnknownConfiguration guards against a host that answers that a route is unknown because it has no configuration yet.
func TestUnknownConfiguration(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	h := d.start(t)
	waitFor(t, "a host that listens", h.listening)
	status, body, header := h.call(t, "/lots/1", "r1")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
	is.True(!h.ready())
	var doc problem.Document
	is.NoErr(json.Unmarshal([]byte(body), &doc))
	is.Equal(doc.Reason, refusals.HostCatchingUp)
	is.Equal(doc.Ran, refusals.RanNo)
	is.Equal(doc.RequestID, "r1")
}

// TestServe checks the whole path of requests: one that matches a route is answered by an endpoint, and one that matches none is refused
// with the reason. The log has lines for both request ids, and the metrics count the answered request.
func TestServe(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 3, "/lots/")
	h := d.start(t)
	waitFor(t, "readiness", h.ready)
	status, body, _ := h.call(t, "/lots/1?x=y", "r1")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "GET /lots/1?x=y at shop.example")
	status, body, _ = h.call(t, "/other/1", "r2")
	is.Equal(status, http.StatusNotFound)
	is.True(strings.Contains(body, string(refusals.RouteUnknown)))
	is.Equal(d.ran.Load(), int64(1))
	waitFor(t, "log lines", func() bool { return strings.Contains(d.logged(), "id=r2") })
	for _, line := range strings.Split(d.logged(), "\n") {
		if strings.Contains(line, "id=r1") {
			for _, field := range []string{"outcome=answered", "config=3", "store_age_ms=", "to=e-1", "status=200"} {
				is.True(strings.Contains(line, field))
			}
		}
	}
	resp, err := http.Get("http://" + h.settings.MetricsAddress + "/metrics")
	is.NoErr(err)
	defer resp.Body.Close()
	var values map[string]any
	is.NoErr(json.NewDecoder(resp.Body).Decode(&values))
	is.Equal(values["requests_answered_total"], 1.0)
	is.Equal(values["configuration_version"], 3.0)
}

// TestOperators checks what operators get from a host: the state dump, over HTTP and in the log, and the reason of a refusal.
func TestOperators(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 3, "/lots/")
	h := d.start(t)
	waitFor(t, "readiness", h.ready)
	h.call(t, "/lots/1", "r1")
	h.call(t, "/other/1", "r2")
	get := func(path string, into any) int {
		resp, err := http.Get("http://" + h.settings.MetricsAddress + path)
		is.NoErr(err)
		defer resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			is.NoErr(json.NewDecoder(resp.Body).Decode(into))
		}
		return resp.StatusCode
	}
	var dump Dump
	is.Equal(get(DumpPath, &dump), http.StatusOK)
	is.True(dump.Ready)
	is.Equal(dump.ConfigurationVersion, uint64(3))
	is.Equal(len(dump.Endpoints), 1)
	is.Equal(dump.Endpoints[0].Name, "e-1")
	is.True(dump.Endpoints[0].LoadAgeMS >= 0)
	is.Equal(dump.AdvertisedAddresses, []string{h.settings.CallerAddress})
	var doc problem.Document
	is.Equal(get(RefusalsPath+"r2", &doc), http.StatusOK)
	is.Equal(doc.Reason, refusals.RouteUnknown)
	is.Equal(get(RefusalsPath+"r1", &doc), http.StatusNotFound)
	h.gateway.LogDump()
	waitFor(t, "the dump in the log", func() bool { return strings.Contains(d.logged(), "msg=dump_endpoint") })
}

// TestConfigurationNeverGoesBack guards against an older version of the configuration that arrives late and replaces a newer one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 5, "/new/")
	h := d.start(t)
	waitFor(t, "readiness", h.ready)
	d.configure(t, 4, "/old/")
	d.configure(t, 6, "/new/", "/newer/")
	waitFor(t, "the newer version", func() bool { s, _, _ := h.call(t, "/newer/", "x"); return s == http.StatusOK })
	status, _, _ := h.call(t, "/old/", "x")
	is.Equal(status, http.StatusNotFound)
	is.Equal(h.gateway.routes.Load().Version, uint64(6))
}

// TestStoreDownAtStart guards against a host that cannot start while the store is down: it must fetch a copy of the store's topics from
// a peer and serve requests.
func TestStoreDownAtStart(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 1, "/lots/")
	first := d.start(t)
	waitFor(t, "readiness", first.ready)
	d.store.down.Store(true)
	second := d.start(t, first.settings.StateAddress)
	waitFor(t, "readiness", second.ready)
	status, _, _ := second.call(t, "/lots/1", "r1")
	is.Equal(status, http.StatusOK)
	waitFor(t, "both addresses", func() bool {
		resp, err := http.Get("http://" + second.settings.DirectoryAddress + "/")
		is.NoErr(err)
		defer resp.Body.Close()
		list, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		return len(strings.Split(string(list), ",")) == 2
	})
}

// TestPlannedStop guards against requests that are lost in a planned stop: the request in progress must be answered, new ones must be
// accepted while callers may still use the address, and Run must return by itself.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 1, "/lots/")
	h := d.start(t)
	waitFor(t, "readiness", h.ready)
	type result struct {
		status int
		header http.Header
	}
	answered := make(chan result, 1)
	go func() {
		status, _, header := h.call(t, "/lots/held", "r1")
		answered <- result{status, header}
	}()
	is.Equal(<-d.waiting, "r1")
	h.stop()
	waitFor(t, "the host to be not ready", func() bool { return !h.ready() })
	status, _, _ := h.call(t, "/lots/2", "r2")
	is.Equal(status, http.StatusOK)
	close(d.release)
	got := <-answered
	is.Equal(got.status, http.StatusOK)
	is.NoErr(<-h.ended)
	close(h.ended)
	waitFor(t, "the line of the drain", func() bool { return strings.Contains(d.logged(), "msg=drained host="+h.settings.Host) })
}

// TestSettings guards against invalid settings that are accepted: the error must name the field and the valid values.
func TestSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
	valid := `{"host":"h","zone":"z","caller_address":"127.0.0.1:1","ready_address":"127.0.0.1:2","directory_address":"127.0.0.1:3",
		"peer_address":"127.0.0.1:4","state_address":"127.0.0.1:5","store_address":"127.0.0.1:6"}`
	write(valid)
	s, err := LoadSettings(path)
	is.NoErr(err)
	is.Equal(s.GraceS, float64(defaultGraceS))
	for field, want := range map[string]string{`"zone":"z"`: `zone is empty`, `"store_address":"127.0.0.1:6"`: `store_address is "": use IP:port`} {
		write(strings.Replace(valid, field, `"log_level":"info"`, 1))
		_, err = LoadSettings(path)
		is.True(err != nil && strings.Contains(err.Error(), want))
	}
	for _, text := range []string{`{`, `{"hosts":"h"}`, strings.Replace(valid, `"host":"h"`, `"host":"h","log_level":"loud"`, 1), strings.Replace(valid, `"host":"h"`, `"host":"h","grace_s":0.5`, 1)} {
		write(text)
		_, err = LoadSettings(path)
		is.True(err != nil)
	}
}

// TestConnectionShare guards against hosts that together open more connections to an endpoint than its service allows.
func TestConnectionShare(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	s := &Settings{Host: "host", Zone: "a", CallerAddress: "127.0.0.1:1", StoreAddress: "127.0.0.1:1"}
	g := New(s, d.adapter(), eventlog.New(io.Discard, log.InfoLevel))
	e := endpoints.Endpoint{Service: "lotdesk"}
	is.Equal(g.maxConnections(e), 0) // nothing is known yet
	table, err := routing.New(routing.Config{Version: 1, Services: []routing.Service{{Name: "lotdesk", MaxConnections: 220}, {Name: "free"}}})
	is.NoErr(err)
	g.routes.Store(table)
	is.Equal(g.maxConnections(e), 220)
	for n := range 10 {
		g.peers.Add(peers.Host{Name: fmt.Sprint(n), Zone: "a", Started: 1}, time.Now())
	}
	is.Equal(g.maxConnections(e), 20)
	for n := range 1000 {
		g.peers.Add(peers.Host{Name: fmt.Sprint(n), Zone: "b", Started: 2}, time.Now())
	}
	is.Equal(g.maxConnections(e), minConnectionsPerEndpoint)
	is.Equal(g.maxConnections(endpoints.Endpoint{Service: "free"}), 0)
}

// TestAdvertisedAddresses guards against peers that learn an address at which they cannot reach a host behind address translation.
func TestAdvertisedAddresses(t *testing.T) {
	is := is.New(t)
	s := &Settings{AdvertisedIP: "192.0.2.7"}
	is.Equal(s.advertised("127.0.0.1:8146"), "192.0.2.7:8146")
	s.AdvertisedIP = ""
	is.Equal(s.advertised("127.0.0.1:8146"), "127.0.0.1:8146")
	s.AdvertisedIP = "192.0.2.7:80"
	is.True(s.Validate() != nil && strings.Contains(s.Validate().Error(), "advertised_ip"))
}

// TestBurstParts guards against a repeat budget that hosts without callers hold: with hundreds of hosts, those that receive the requests
// after an outage of endpoints must be able to repeat them. All parts together are at most the whole.
func TestBurstParts(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ advertised, hosts int }{{1, 1}, {2, 2}, {6, 15}, {8, 122}, {15, 312}, {200, 4312}, {312, 312}} {
		own, other := burstParts(true, c.advertised, c.hosts), burstParts(false, c.advertised, c.hosts)
		is.True(float64(c.advertised)/float64(own)+float64(c.hosts-c.advertised)/float64(other) <= 1)
		is.True(own <= 2*c.advertised)
	}
}

// TestStopAnswersLookups guards against an address lookup that is cut by a planned stop: one that is in progress when the drain ends is answered.
// Lookups that take too long must not delay the end of the process.
func TestStopAnswersLookups(t *testing.T) {
	for _, answered := range []bool{true, false} {
		is := is.New(t)
		d := deploy(t)
		started, release := make(chan struct{}, 1), make(chan struct{})
		adapter := d.adapter()
		adapter.Directory = func(func() ([]string, time.Duration)) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				started <- struct{}{}
				<-release
				_, _ = io.WriteString(w, "addresses") // fails if the stop has cut the lookup
			})
		}
		n := nextHost.Add(1)
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%256, n)
		const grace = 2 * time.Second // half of it is less than auxServerTimeout
		s := &Settings{Host: fmt.Sprintf("host-%d", n), Zone: "a", CallerAddress: ip + ":18080", ReadyAddress: ip + ":18081", DirectoryAddress: ip + ":18082",
			PeerAddress: ip + ":18083", StateAddress: ip + ":18084", StoreAddress: "127.0.0.1:1", GraceS: grace.Seconds()}
		is.NoErr(s.Validate())
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		ended := make(chan error, 1)
		g := New(s, adapter, eventlog.New(d, log.InfoLevel, "host", s.Host))
		go func() { ended <- g.Run(ctx) }()
		waitFor(t, "the start", func() bool { return strings.Contains(d.logged(), "msg=started") })
		got := make(chan string, 1)
		go func() {
			resp, err := http.Get("http://" + s.DirectoryAddress + "/resolve")
			if err != nil {
				got <- err.Error()
				return
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			got <- fmt.Sprint(string(body), err)
		}()
		<-started
		stop()
		waitFor(t, "the drain", func() bool { return strings.Contains(d.logged(), "msg=drained") })
		if answered {
			close(release)
			is.Equal(<-got, "addresses<nil>")
			is.NoErr(<-ended)
			continue
		}
		drained := time.Now()
		is.NoErr(<-ended)
		is.True(time.Since(drained) < grace) // the handler still waits
		close(release)
		is.True(<-got != "addresses<nil>")
	}
}
