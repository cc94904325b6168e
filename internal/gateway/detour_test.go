package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/detour"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

const largeResponseBytes = 2 << 20 // too large to be read before it is passed on

// largeResponse returns the size of a response that states no length, and whether the upstream breaks it off in the middle.
func largeResponse(path string) (size int, cut, ok bool) {
	switch path {
	case "/lots/large":
		return largeResponseBytes, false, true
	case "/lots/large-cut":
		return largeResponseBytes, true, true
	}
	return 0, false, false
}

// loseWay makes a host believe that it alone has lost its way to the upstream. The witness comes first: after the failure the host checks the upstream, which
// answers.
func (h *testHost) loseWay(witness *testHost) {
	now := time.Now()
	self, _ := witness.gateway.peers.Self()
	h.gateway.ways.HandleReport(self, true, &detour.Report{Answered: []detour.ServiceAge{{Service: "lotdesk"}}}, now.Add(time.Millisecond))
	h.gateway.ways.Unanswered("lotdesk", endpoints.ID{Address: "127.0.0.1:1"}, now)
}

// knows reports whether a host gets messages of another one.
func (h *testHost) knows(other *testHost) bool {
	return strings.Contains(strings.Join(h.gateway.peers.LiveZonePeers(time.Now()), " "), other.settings.Host)
}

// TestStreamsThroughHosts guards against an answer that breaks off behind another host and reaches the caller as a whole one, and against answers without a
// length that are changed on that way. Both hosts have a line that names the other one.
func TestStreamsThroughHosts(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 3, "/lots/")
	far := d.start(t)
	near := d.start(t, far.settings.StateAddress)
	waitFor(t, "readiness", func() bool { return near.ready() && far.ready() && near.knows(far) })
	get := func(path, id string) (int, int64, error) {
		near.loseWay(far)
		is.Equal(near.gateway.ways.State("lotdesk"), detour.Cut)
		req, err := http.NewRequest(http.MethodGet, "http://"+near.settings.CallerAddress+path, nil)
		is.NoErr(err)
		req.Host = "shop.example"
		req.Header.Set("Upstream-Request-Id", id)
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		for name := range resp.Header {
			is.True(!strings.HasPrefix(name, "Arbutusspan-Hop"))
		}
		n, err := io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, n, err
	}
	status, n, err := get("/lots/large", "whole")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(n, int64(largeResponseBytes))
	waitFor(t, "both lines", func() bool {
		return strings.Contains(d.logged(), "through="+far.settings.Host) && strings.Contains(d.logged(), "for="+near.settings.Host)
	})
	for line := range strings.Lines(d.logged()) {
		if strings.Contains(line, "through=") {
			is.True(strings.Contains(line, "to=e-1"))
		}
	}
	time.Sleep(2 * time.Second) // the way is back
	status, n, err = get("/lots/large-cut", "cut")
	is.Equal(status, http.StatusOK) // it has begun
	is.True(err != nil)
	is.True(n < largeResponseBytes)
}

// TestHopServerRefusesStrangers guards against a server for other hosts that runs, or ends the process for, a request that no host sends.
func TestHopServerRefusesStrangers(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 3, "/lots/")
	h := d.start(t)
	waitFor(t, "readiness", h.ready)
	for _, header := range []string{"", "%", "AAAA"} {
		req, err := http.NewRequest(http.MethodGet, "http://"+h.settings.DetourAddress+"/lots/1", nil)
		is.NoErr(err)
		req.Host = "shop.example"
		if header != "" {
			req.Header.Set("Arbutusspan-Hop-Request", header)
		}
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	}
	is.Equal(d.ran.Load(), int64(0))
	is.Equal(h.gateway.peers.Addresses(time.Now(), 1), []string{h.settings.CallerAddress})
}

// TestHopBeforeConfigurationIsServed guards against requests that are refused although they could be served, because a host that has lost its way to the
// endpoints has a new configuration a moment before the hosts through which it sends them.
func TestHopBeforeConfigurationIsServed(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.configure(t, 3, "/lots/")
	far := d.start(t)
	near := d.start(t, far.settings.StateAddress)
	waitFor(t, "readiness", func() bool { return near.ready() && far.ready() && near.knows(far) })
	newer := *near.gateway.routes.Load()
	newer.Version++
	near.gateway.setRoutes(&newer)
	near.loseWay(far)
	time.AfterFunc(50*time.Millisecond, func() { far.gateway.setRoutes(&newer) })
	req, err := http.NewRequest(http.MethodGet, "http://"+near.settings.CallerAddress+"/lots/1", nil)
	is.NoErr(err)
	req.Host = "shop.example"
	req.Header.Set("Upstream-Request-Id", "early")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	waitFor(t, "the line", func() bool { return strings.Contains(d.logged(), "through="+far.settings.Host) })
}
