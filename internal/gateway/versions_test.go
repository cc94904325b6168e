package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/detour"
	"github.com/arbutusspan/arbutusspan/internal/coordination/follow"
	"github.com/arbutusspan/arbutusspan/internal/coordination/forward"
	"github.com/arbutusspan/arbutusspan/internal/coordination/peers"
	"github.com/arbutusspan/arbutusspan/internal/protocol/hop"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// moveLots returns a configuration with two services whose route /lots/ goes to one of them.
func moveLots(version uint64, service string) routing.Config {
	return routing.Config{Version: version, Services: []routing.Service{{Name: "lotdesk", HealthPath: "/health"}, {Name: "annex", HealthPath: "/health"}},
		Routes: []routing.Route{{Name: "/lots/", Host: "shop.example", Prefix: "/lots/", Idempotent: true, Timeout: time.Minute,
			TargetLatency: 30 * time.Second, MaxAttempts: 2, Split: []routing.WeightedService{{Service: service, Weight: 1}}}}}
}

// learns checks that a host has a configuration in force within the 2 s in which each host has to.
func (h *testHost) learns(t *testing.T, version uint64) {
	t.Helper()
	is := is.New(t)
	begin := time.Now()
	for h.gateway.routes.Load().Version < version && time.Since(begin) < 5*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("configuration %d after %s", h.gateway.routes.Load().Version, time.Since(begin).Round(time.Millisecond))
	is.Equal(h.gateway.routes.Load().Version, version)
	is.True(time.Since(begin) < 2*time.Second)
}

// hopFrom sends a request to a host as one with the given configuration does, which has chosen a service.
func (h *testHost) hopFrom(t *testing.T, version uint64, service string) (body string, result *detour.HopResult) {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequest(http.MethodGet, "http://"+h.settings.DetourAddress+"/lots/1", nil)
	is.NoErr(err)
	req.Host = "shop.example"
	is.NoErr(hop.SetRequest(req.Header, &detour.HopRequest{From: "other", Service: service, Version: version, Attempts: 2, Caller: netip.MustParseAddr("10.0.0.7")}))
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	result, err = hop.GetResult(resp.Header)
	is.NoErr(err)
	return string(data), result
}

// TestHopKeepsConfigurationOfCallersHost guards against callers of a host who see a configuration that the host itself does not have, and then an older
// one again: another host, through which a request went, handled it by its own newer configuration.
func TestHopKeepsConfigurationOfCallersHost(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	annex := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "annex") }))
	defer annex.Close()
	d.store.put(t, "contract", "config", moveLots(4, "annex"))
	d.store.put(t, "endpoints", "e-2", registry.Entry{Name: "e-2", Started: 1, Service: "annex", Address: annex.Listener.Addr().String(), Zone: "a", Slots: 2})
	h := d.start(t)
	waitFor(t, "readiness", h.ready)
	body, result := h.hopFrom(t, 3, "lotdesk")
	is.Equal(result.Outcome, string(forward.Answered))
	is.Equal(body, "GET /lots/1 at shop.example") // lotdesk, like the requests that the other host sends itself
	body, result = h.hopFrom(t, 4, "annex")
	is.Equal(result.Outcome, string(forward.Answered))
	is.Equal(body, "annex")
	without := moveLots(5, "annex")
	without.Services = without.Services[1:]
	d.store.put(t, "contract", "config", without)
	waitFor(t, "the newer configuration", func() bool { return h.gateway.routes.Load().Version == 5 })
	body, result = h.hopFrom(t, 4, "lotdesk")
	is.Equal(result.Outcome, string(forward.RefusedNoEndpoint))
	is.Equal(body, "")
}

// TestHopTellsOfNewerConfiguration guards against a host that goes on with an older configuration although it has sent requests through a host with a newer
// one: the store refuses it, and it gets no messages from hosts that have the newer one.
func TestHopTellsOfNewerConfiguration(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 3, "/lots/")
	near := d.start(t)
	waitFor(t, "readiness", near.ready)
	d.partStore()
	d.configure(t, 4, "/lots/")
	far := d.start(t)
	waitFor(t, "readiness", far.ready)
	is.True(!near.knows(far) && !far.knows(near))
	near.loseWay(far)
	status, _, _ := near.call(t, "/lots/1", "through-far")
	is.Equal(status, http.StatusOK)
	is.Equal(near.gateway.metrics.Value("hops_sent_total"), int64(1))
	near.learns(t, 4)
}

// partStore has hosts that are started from now on use a copy of the store, and the store refuse the others.
func (d *deployment) partStore() {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.store.down.Store(true)
	part := &memoryStore{logs: map[string][]follow.Record{}}
	for topic, log := range d.store.logs {
		part.logs[topic] = slices.Clone(log)
	}
	d.store = part
}

// TestStartedHostLearnsConfigurationOfPeers guards against a host that stays with an older configuration than its peers until the operator writes again: it
// has started beside a store that returned from a copy without the newest configuration, and has read the store before it knew any peer.
func TestStartedHostLearnsConfigurationOfPeers(t *testing.T) {
	d := deploy(t)
	d.configure(t, 3, "/lots/")
	d.configure(t, 4, "/lots/", "/bids/")
	peer := d.start(t)
	waitFor(t, "readiness", peer.ready)
	d.store.fall(1)
	waitFor(t, "the new epoch", func() bool { return peer.gateway.follower.Epoch() == 1 && peer.gateway.follower.Complete() })
	started := d.startWith(t, func(s *Settings) {
		s.Seeds = []string{s.StateAddress, peer.settings.StateAddress} // as a seed, it waits for no peer
		// The peer knows the host from before.
		peer.gateway.peers.Add(peers.Host{Name: s.Host, Zone: s.Zone, PeerAddress: s.PeerAddress, StateAddress: s.StateAddress}, time.Now())
	})
	waitFor(t, "readiness", started.ready)
	started.learns(t, 4)
}

// TestHostLearnsConfigurationOfIncompletePeer guards against a host that stays with an older configuration while a store that returned from a copy refuses
// it: the host that has read the configuration has not read the other topics of the store's epoch, and has sent no update.
func TestHostLearnsConfigurationOfIncompletePeer(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 3, "/lots/")
	late := d.start(t)
	waitFor(t, "readiness", late.ready)
	d.partStore()
	peer := d.start(t, late.settings.StateAddress)
	waitFor(t, "readiness", func() bool { return peer.ready() && late.knows(peer) && peer.knows(late) })
	newer, err := json.Marshal(moveLots(4, "lotdesk"))
	is.NoErr(err)
	d.store.mu.Lock() // the peer reads all of it at once
	d.store.logs["contract"] = append(d.store.logs["contract"], follow.Record{Key: "config", Value: newer, Offset: 1})
	d.store.epoch++
	d.store.unanswered = "endpoints"
	d.store.mu.Unlock()
	waitFor(t, "the newer configuration", func() bool { return peer.gateway.routes.Load().Version == 4 })
	is.True(!peer.gateway.follower.Complete())
	late.learns(t, 4)
}

// TestVanishedConfigurationIsNotFetchedAgain guards against hosts that fetch a configuration over and over from a host that no longer has it: it has started
// again beside a store that lacks the configuration.
func TestVanishedConfigurationIsNotFetchedAgain(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 3, "/lots/")
	peer := d.start(t)
	waitFor(t, "readiness", peer.ready)
	h := d.start(t, peer.settings.StateAddress)
	waitFor(t, "readiness", func() bool { return h.ready() && h.knows(peer) })
	from, ok := h.gateway.peers.Host(peer.settings.Host)
	is.True(ok)
	h.gateway.recordVersion(from, 4)
	time.Sleep(2500 * time.Millisecond)
	is.Equal(strings.Count(d.logged(), "configuration_not_fetched"), 1)
	for range 50 { // a host that goes on to name it is asked with growing pauses
		h.gateway.recordVersion(from, 5)
		time.Sleep(50 * time.Millisecond)
	}
	is.True(strings.Count(d.logged(), "configuration_not_fetched") <= 5) // after 0, 0.2, 0.6 and 1.4 s
	d.configure(t, 6, "/lots/")
	h.learns(t, 6)
}
