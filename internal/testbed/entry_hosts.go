package testbed

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/host"
	"github.com/arbutusspan/arbutusspan/internal/transport/admin"
	"github.com/arbutusspan/arbutusspan/internal/transport/platform"
)

func (d *Deployment) zone(i int) string { return d.Config.Shape.Zones[i%len(d.Config.Shape.Zones)] }

func (d *Deployment) prepareHost(i int) error {
	tokenHash := sha256.Sum256([]byte(OperatorToken))
	ip := netip.AddrFrom4([4]byte{127, d.network, byte(1 + i%len(d.Config.Shape.Zones)), byte(1 + i)})
	h := &EntryHost{Name: fmt.Sprintf("%s-%d", d.zone(i), i+1), Settings: host.Settings{
		Host: fmt.Sprintf("%s-%d", d.zone(i), i+1), Site: d.zone(i), Zone: d.zone(i), Address: ip.String(),
		CallerPort: callerPort, OperatorPort: operatorPort, PeerPort: peerPort, LogURL: d.PlatformURL(), HostListURL: d.PlatformURL(),
		ClusterSecret: ClusterSecret, Operators: []admin.Operator{{Name: "demo", SHA256: hex.EncodeToString(tokenHash[:])}},
		AddressLifetimeMS: d.Config.AddressLifetimeMS, LogLevel: d.Config.LogLevel}}
	if d.Config.Settings != nil {
		d.Config.Settings(&h.Settings)
	}
	listedPeerPort := peerPort
	if hasSetting("advertised_peer_port") {
		relay, err := NewRelay(netip.AddrPortFrom(ip, advertisedPort), netip.AddrPortFrom(ip, peerPort), d.delayTo(i))
		if err != nil {
			return err
		}
		h.Relay, listedPeerPort = relay, advertisedPort
	}
	settings, err := settingsDocument(h.Settings, h.Relay != nil)
	if err != nil {
		return err
	}
	if h.settingsFile, err = WriteJSON(d.Config.Dir, h.Name+".json", settings); err != nil {
		return err
	}
	d.Hosts = append(d.Hosts, h)
	d.hostList = append(d.hostList, platform.Host{Role: platform.RoleEntry, Name: h.Name, Zone: d.zone(i), State: "live",
		Address: net.JoinHostPort(h.Settings.Address, strconv.Itoa(listedPeerPort))})
	return nil
}

// delayTo returns a function that gives the one-way delay of traffic from a source address to host i. The third byte of a host's
// address identifies its zone. Any other source address counts as a host of another zone.
func (d *Deployment) delayTo(i int) func(netip.Addr) time.Duration {
	zone := byte(1 + i%len(d.Config.Shape.Zones))
	return func(source netip.Addr) time.Duration {
		if a := source.As4(); a[1] == d.network && a[2] == zone {
			return 0
		}
		return d.Config.Shape.ZoneDelay
	}
}

// hasSetting reports whether the daemon of this source tree has the setting. The daemon rejects unknown settings.
func hasSetting(name string) bool {
	t := reflect.TypeFor[host.Settings]()
	for i := range t.NumField() {
		if tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ","); tag == name {
			return true
		}
	}
	return false
}

// settingsDocument returns the content of a host's settings file. For a relayed host it adds advertised_peer_port.
func settingsDocument(s host.Settings, hasRelay bool) (map[string]any, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	doc := map[string]any{}
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, err
	}
	if hasRelay {
		doc["advertised_peer_port"] = advertisedPort
	}
	return doc, nil
}

// StartHost starts or restarts a host's daemon.
func (d *Deployment) StartHost(h *EntryHost) error {
	p, err := Start(h.Name, d.Config.Bin["arbutusspan"], "--settings", h.settingsFile)
	h.Process = p
	return err
}

// checkHealth returns an error if the daemon's process has ended or its health check fails.
func (h *EntryHost) checkHealth(ctx context.Context) error {
	if h.Process.Ended() {
		return fmt.Errorf("%s has ended: %s", h.Name, h.Process.Log())
	}
	return h.getFromOperatorPort(ctx, "/healthz", nil)
}

// getFromOperatorPort requests a path of the operator port and decodes the JSON response into the given value, unless that is nil.
func (h *EntryHost) getFromOperatorPort(ctx context.Context, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.OperatorURL()+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+OperatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s of %s: %s", path, h.Name, resp.Status)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
