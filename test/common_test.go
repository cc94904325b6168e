// Package test holds black-box tests that build the programs and run them as separate processes.
package test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/arbutusspan/arbutusspan/internal/host"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
	"github.com/arbutusspan/arbutusspan/internal/transport/admin"
	"github.com/arbutusspan/arbutusspan/internal/transport/platform"
)

// start starts a program and kills it when the test ends. The test fails if the program reported a data race.
func start(t *testing.T, name, program string, args ...string) *testbed.Process {
	t.Helper()
	p, err := testbed.Start(name, program, args...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Kill()
		if strings.Contains(p.Log(), "WARNING: DATA RACE") {
			t.Errorf("%s reported a data race", name)
		}
		if t.Failed() {
			t.Logf("%s:\n%s", name, p.Log())
		}
	})
	return p
}

func freePort(t *testing.T, ip string) int {
	t.Helper()
	p, err := testbed.FreePort(ip)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	return net.JoinHostPort(ip, strconv.Itoa(freePort(t, ip)))
}

// startUpstreams starts n upstreams of the service lotdesk on consecutive addresses, the first being 127.0.0.(first).
func startUpstreams(t *testing.T, bin map[string]string, first, n, slots int, work string) []platform.Host {
	t.Helper()
	var hosts []platform.Host
	for i := range n {
		address := freeAddress(t, fmt.Sprintf("127.0.0.%d", first+i))
		start(t, "upstream", bin["standin"], "upstream", "--listen", address, "--work", work, "--slots", strconv.Itoa(slots))
		hosts = append(hosts, platform.Host{Role: platform.RoleUpstream, Address: address, Service: "lotdesk", Slots: slots, Incarnation: "1", State: "live"})
	}
	return hosts
}

// startPlatform starts a platform stand-in with the given host list and returns its URL.
func startPlatform(t *testing.T, ctx context.Context, bin map[string]string, ip string, hosts []platform.Host) string {
	t.Helper()
	address := freeAddress(t, ip)
	start(t, "platform", bin["standin"], "platform", "--listen", address)
	url := "http://" + address
	if err := testbed.Eventually(ctx, func() error {
		return testbed.PutJSON(ctx, url+"/v1/hosts", map[string]any{"hosts": hosts})
	}); err != nil {
		t.Fatal(err)
	}
	return url
}

// settingsFor returns the settings of an entry host's daemon that listens on the given address.
func settingsFor(t *testing.T, name, zone, ip, platformURL string) host.Settings {
	t.Helper()
	token := sha256.Sum256([]byte(testbed.OperatorToken))
	return host.Settings{Host: name, Zone: zone, Site: zone, Address: ip, CallerPort: freePort(t, ip), OperatorPort: freePort(t, ip), PeerPort: freePort(t, ip),
		LogURL: platformURL, HostListURL: platformURL, ClusterSecret: testbed.ClusterSecret,
		Operators: []admin.Operator{{Name: "demo", SHA256: hex.EncodeToString(token[:])}}}
}

// startDaemon writes the settings into dir and starts a daemon with them.
func startDaemon(t *testing.T, bin map[string]string, dir string, s host.Settings) *testbed.Process {
	t.Helper()
	path, err := testbed.WriteJSON(dir, s.Host+".json", s)
	if err != nil {
		t.Fatal(err)
	}
	return start(t, s.Host, bin["arbutusspan"], "--settings", path)
}

// operatorURL returns the base URL of a daemon's operator port.
func operatorURL(s host.Settings) string {
	return fmt.Sprintf("http://%s:%d", s.Address, s.OperatorPort)
}
