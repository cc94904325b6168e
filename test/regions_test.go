package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/configlog"
	"github.com/arbutusspan/arbutusspan/internal/host"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
	"github.com/arbutusspan/arbutusspan/internal/transport/admin"
	"github.com/arbutusspan/arbutusspan/internal/transport/platform"
)

// region is a membership of its own: entry hosts and upstreams of one host list.
type region struct {
	listURL string
	list    []platform.Host
	hosts   []host.Settings
}

// TestRegions guards against regions that mix their hosts, a contract that does not reach the other region, and a region that
// stops serving, forgets or reverts contracts, or hides them from its new hosts, while it is cut off from the log.
func TestRegions(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	dir := t.TempDir()
	bin, err := testbed.Build(dir, "arbutusspan", "standin")
	is.NoErr(err)
	logAddress := freeAddress(t, "127.0.0.3")
	start(t, "log", bin["standin"], "platform", "--listen", logAddress)
	link, err := testbed.NewRelay(netip.MustParseAddrPort("127.0.0.5:0"), netip.MustParseAddrPort(logAddress), func(netip.Addr) time.Duration { return 0 })
	is.NoErr(err)
	defer link.Close()
	logURLs := []string{"http://" + logAddress, "http://" + link.Address().String()} // the second region reaches the log through the link

	regions := make([]*region, 2)
	daemon := func(r, k int) {
		t.Helper()
		ip := fmt.Sprintf("127.0.0.%d", 60+10*r+k)
		s := settingsFor(t, fmt.Sprintf("region%d-%d", r, k), fmt.Sprintf("zone%d", r), ip, logURLs[r])
		s.HostListURL = regions[r].listURL
		regions[r].hosts = append(regions[r].hosts, s)
		regions[r].list = append(regions[r].list, platform.Host{Role: platform.RoleEntry, Name: s.Host, Zone: s.Zone, State: "live",
			Address: fmt.Sprintf("%s:%d", ip, s.PeerPort)})
		is.NoErr(testbed.PutJSON(ctx, regions[r].listURL+"/v1/hosts", map[string]any{"hosts": regions[r].list}))
		startDaemon(t, bin, dir, s)
	}
	for r := range regions {
		upstreams := startUpstreams(t, bin, 80+10*r, 2, 8, "1ms")
		regions[r] = &region{list: upstreams, listURL: startPlatform(t, ctx, bin, "127.0.0.4", upstreams)}
		for k := range 2 {
			daemon(r, k)
		}
	}

	document, err := os.ReadFile("../examples/trentvale.json")
	is.NoErr(err)
	// publish changes the contract through the host and returns its response.
	publish := func(s host.Settings, op string, base uint64) (code int, response admin.PublishResponse, err error) {
		code, err = operate(ctx, http.MethodPost, operatorURL(s)+"/v1/contracts",
			configlog.Change{OpID: op, Customer: "trentvale", Base: base, Document: json.RawMessage(document)}, &response)
		return code, response, err
	}
	// accept publishes until the change is accepted; the op_id makes repeats harmless.
	accept := func(s host.Settings, op string, base uint64) {
		t.Helper()
		is.NoErr(testbed.Eventually(ctx, func() error {
			code, response, err := publish(s, op, base)
			if err != nil || response.Outcome != admin.OutcomeAccepted {
				return fmt.Errorf("status %d, outcome %q, error %v", code, response.Outcome, err)
			}
			return nil
		}))
	}
	inForce := func(s host.Settings) uint64 {
		var e configlog.Entry
		if code, err := operate(ctx, http.MethodGet, operatorURL(s)+"/v1/contracts/trentvale", nil, &e); err != nil || code != http.StatusOK {
			return 0
		}
		return e.Revision
	}
	awaitRevision := func(s host.Settings, want uint64) {
		t.Helper()
		is.NoErr(testbed.Eventually(ctx, func() error {
			if got := inForce(s); got != want {
				return fmt.Errorf("%s has revision %d, want %d", s.Host, got, want)
			}
			return nil
		}))
	}
	// serve sends one request and checks that an upstream of the host's own region answered it.
	serve := func(r int, s host.Settings) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/s/lotdesk/lots/1", s.Address, s.CallerPort), nil)
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer trentvale."+testbed.CustomerSecret)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		resp.Body.Close()
		upstream := resp.Header.Get(callerapi.HeaderUpstream)
		if resp.StatusCode != http.StatusOK || !strings.HasPrefix(upstream, fmt.Sprintf("127.0.0.%d", 8+r)) {
			return fmt.Errorf("%s: %s from upstream %q", s.Host, resp.Status, upstream)
		}
		return nil
	}
	eventuallyServe := func(r int, s host.Settings) {
		t.Helper()
		is.NoErr(testbed.Eventually(ctx, func() error { return serve(r, s) }))
	}

	accept(regions[0].hosts[0], "one", 0)
	for r, region := range regions {
		for _, s := range region.hosts {
			awaitRevision(s, 1)
			eventuallyServe(r, s)
			var known callerapi.Addresses
			is.NoErr(testbed.Eventually(ctx, func() error {
				return request(ctx, http.DefaultClient, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/addresses?service=lotdesk", s.Address, s.CallerPort), callerToken, &known)
			}))
			for _, a := range known.Addresses {
				is.True(strings.HasPrefix(a.Host, fmt.Sprintf("region%d-", r))) // callers stay in their region
			}
		}
	}

	link.SetMode(testbed.Cut)
	accept(regions[0].hosts[1], "two", 1)
	code, response, err := publish(regions[1].hosts[0], "three", 1)
	is.NoErr(err)
	is.True(code != http.StatusOK && response.Outcome != admin.OutcomeAccepted) // nothing is accepted that the log does not hold
	daemon(1, 2)                                                                // learns from its peers
	for _, s := range regions[1].hosts {
		eventuallyServe(1, s)
		awaitRevision(s, 1)
	}

	link.SetMode(testbed.Pass)
	for _, s := range append(regions[0].hosts, regions[1].hosts...) {
		awaitRevision(s, 2)
	}
	is.NoErr(testbed.Eventually(ctx, func() error {
		code, response, err := publish(regions[1].hosts[2], "three", 1)
		if err != nil || response.Outcome != admin.OutcomeConflict {
			return fmt.Errorf("status %d, outcome %q, error %v", code, response.Outcome, err)
		}
		return nil
	}))
	accept(regions[1].hosts[2], "four", 2)
	for _, s := range append(regions[0].hosts, regions[1].hosts...) {
		awaitRevision(s, 3)
	}
}
