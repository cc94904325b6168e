package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/detour"
	"github.com/arbutusspan/arbutusspan/internal/coordination/forward"
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
