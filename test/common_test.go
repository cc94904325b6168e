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
	"sync"
	"sync/atomic"
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

// takeNetwork reserves the loopback network of this test process, so that no other process listens on its addresses. The listener keeps it reserved.
var takeNetwork = sync.OnceValues(func() (reserved struct {
	number byte
	lock   net.Listener
}, err error) {
	reserved.number, reserved.lock, err = testbed.TakeNetwork()
	return reserved, err
})

// firstPort is the first port that freePort returns. Ports from 32768 on are the local ones of connections.
const firstPort = 20000

var portsTaken atomic.Int64

// loopback returns an address of this test process's network.
func loopback(t *testing.T, last int) string {
	t.Helper()
	n, err := takeNetwork()
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.%d.0.%d", n.number, last)
}

// freePort returns a port that this process has not returned before.
func freePort() int { return firstPort + int(portsTaken.Add(1)) }

func freeAddress(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(freePort())) }

// startUpstreams starts n upstreams of the service lotdesk on consecutive addresses, the first being loopback(t, first).
func startUpstreams(t *testing.T, bin map[string]string, first, n, slots int, work string) []platform.Host {
	t.Helper()
	var hosts []platform.Host
	for i := range n {
		address := freeAddress(loopback(t, first+i))
		start(t, "upstream", bin["standin"], "upstream", "--listen", address, "--work", work, "--slots", strconv.Itoa(slots))
		hosts = append(hosts, platform.Host{Role: platform.RoleUpstream, Address: address, Service: "lotdesk", Slots: slots, Incarnation: "1", State: "live"})
	}
	return hosts
}

// startPlatform starts a platform stand-in with the given host list and returns its URL.
func startPlatform(t *testing.T, ctx context.Context, bin map[string]string, ip string, hosts []platform.Host) string {
	t.Helper()
	address := freeAddress(ip)
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
	return host.Settings{Host: name, Zone: zone, Site: zone, Address: ip, CallerPort: freePort(), OperatorPort: freePort(), PeerPort: freePort(),
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
