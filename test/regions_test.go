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

// region is a group of entry hosts and upstreams with a host list and a membership of its own.
type region struct {
	hostListURL string
	hostList    []platform.Host
	hosts       []host.Settings
}

// TestRegions guards against regions that use each other's hosts, and against a contract that does not reach the other region. It also
// guards against a region that, while disconnected from the log, stops serving, loses or reverts contracts, or does not pass them on
// to its new hosts.
func TestRegions(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	dir := t.TempDir()
	bin, err := testbed.Build(dir, "arbutusspan", "standin")
	is.NoErr(err)
	logAddress := freeAddress(loopback(t, 3))
	start(t, "log", bin["standin"], "platform", "--listen", logAddress)
	link, err := testbed.NewRelay(netip.MustParseAddrPort(freeAddress(loopback(t, 5))), netip.MustParseAddrPort(logAddress), func(netip.Addr) time.Duration { return 0 })
	is.NoErr(err)
	defer link.Close()
	logURLs := []string{"http://" + logAddress, "http://" + link.Address().String()} // the second region reaches the log through link

	regions := make([]*region, 2)
	addHost := func(r, k int) {
		t.Helper()
		ip := loopback(t, 60+10*r+k)
		s := settingsFor(t, fmt.Sprintf("region%d-%d", r, k), fmt.Sprintf("zone%d", r), ip, logURLs[r])
		s.HostListURL = regions[r].hostListURL
		regions[r].hosts = append(regions[r].hosts, s)
		regions[r].hostList = append(regions[r].hostList, platform.Host{Role: platform.RoleEntry, Name: s.Host, Zone: s.Zone, State: "live",
			Address: fmt.Sprintf("%s:%d", ip, s.PeerPort)})
		is.NoErr(testbed.PutJSON(ctx, regions[r].hostListURL+"/v1/hosts", map[string]any{"hosts": regions[r].hostList}))
		startDaemon(t, bin, dir, s)
	}
	for r := range regions {
		upstreams := startUpstreams(t, bin, 80+10*r, 2, 8, "1ms")
		regions[r] = &region{hostList: upstreams, hostListURL: startPlatform(t, ctx, bin, loopback(t, 4), upstreams)}
		for k := range 2 {
			addHost(r, k)
		}
	}

	document, err := os.ReadFile("../examples/trentvale.json")
	is.NoErr(err)
	// publish sends a change of the contract to the host and returns its response.
	publish := func(s host.Settings, op string, base uint64) (code int, response admin.PublishResponse, err error) {
		code, err = operatorRequest(ctx, http.MethodPost, operatorURL(s)+"/v1/contracts",
			configlog.Change{OpID: op, Customer: "trentvale", Base: base, Document: json.RawMessage(document)}, &response)
		return code, response, err
	}
	// publishAccepted retries publish until the change is accepted; the op_id keeps it from being applied twice.
	publishAccepted := func(s host.Settings, op string, base uint64) {
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
		if code, err := operatorRequest(ctx, http.MethodGet, operatorURL(s)+"/v1/contracts/trentvale", nil,
			&e); err != nil || code != http.StatusOK {
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
	// checkServes sends one request and checks that an upstream of the host's own region ran it.
	checkServes := func(r int, s host.Settings) error {
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
		if resp.StatusCode != http.StatusOK || !strings.HasPrefix(upstream, loopback(t, 8+r)) {
			return fmt.Errorf("%s: %s from upstream %q", s.Host, resp.Status, upstream)
		}
		return nil
	}
	awaitServes := func(r int, s host.Settings) {
		t.Helper()
		is.NoErr(testbed.Eventually(ctx, func() error { return checkServes(r, s) }))
	}

	publishAccepted(regions[0].hosts[0], "one", 0)
	for r, region := range regions {
		for _, s := range region.hosts {
			awaitRevision(s, 1)
			awaitServes(r, s)
			var known callerapi.Addresses
			is.NoErr(testbed.Eventually(ctx, func() error {
				return request(ctx, http.DefaultClient, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/addresses?service=lotdesk", s.Address, s.CallerPort), callerToken, &known)
			}))
			for _, a := range known.Addresses {
				is.True(strings.HasPrefix(a.Host, fmt.Sprintf("region%d-", r))) // callers get only hosts of their region
			}
		}
	}

	link.SetMode(testbed.Cut)
	publishAccepted(regions[0].hosts[1], "two", 1)
	code, response, err := publish(regions[1].hosts[0], "three", 1)
	is.NoErr(err)
	is.True(code != http.StatusOK && response.Outcome != admin.OutcomeAccepted) // a change that the log does not hold is not accepted
	addHost(1, 2)                                                               // learns the contract from its peers
	for _, s := range regions[1].hosts {
		awaitServes(1, s)
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
	publishAccepted(regions[1].hosts[2], "four", 2)
	for _, s := range append(regions[0].hosts, regions[1].hosts...) {
		awaitRevision(s, 3)
	}
}
