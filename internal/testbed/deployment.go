package testbed

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/membership"
	"github.com/arbutusspan/arbutusspan/internal/host"
	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/transport/admin"
	"github.com/arbutusspan/arbutusspan/internal/transport/platform"
)

// Shape describes the size and layout of one customer's deployment (design section 1.1).
type Shape struct {
	Customer  string
	Zones     []string
	ZoneDelay time.Duration // one-way network delay between hosts of different zones
	Services  []ServiceShape
}

// Service returns the service of that name, or nil.
func (s Shape) Service(name string) *ServiceShape {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}

// ServiceShape is one service of a Shape.
type ServiceShape struct {
	Name      string
	Endpoints int
	Slots     int // requests that each endpoint runs at the same time
}

// Capacity returns the number of requests per second that the service's slots can run at the given mean work time.
func (s ServiceShape) Capacity(work time.Duration) float64 {
	return float64(s.Endpoints*s.Slots) / work.Seconds()
}

// Part returns the name of the service to which the endpoint with that index belongs if the service is split into the given number
// of services. The parts have equal numbers of endpoints, or numbers that differ by one if they don't divide evenly. With parts of
// 0 or 1 the service isn't split.
func (s ServiceShape) Part(endpoint, parts int) string {
	if parts <= 1 {
		return s.Name
	}
	return fmt.Sprintf("%s-%d", s.Name, 1+endpoint*parts/s.Endpoints)
}

// Shapes holds the deployment shapes of both customers, by customer name.
var Shapes = map[string]Shape{
	"trentvale": {Customer: "trentvale", Zones: []string{"tamworth-hall", "burton-hall", "hinckley-hall"}, ZoneDelay: 1500 * time.Microsecond,
		Services: []ServiceShape{{"lotdesk", 15, 2}, {"pricebook", 12, 2}}},
	"shannon": {Customer: "shannon", Zones: []string{"hangar-a", "tower-hall", "council-dc"}, ZoneDelay: time.Millisecond,
		Services: []ServiceShape{{"booking-desk", 15, 6}, {"crew-room", 10, 6}}},
}

// DeploymentConfig configures a Deployment.
type DeploymentConfig struct {
	Shape    Shape
	Hosts    int               // number of entry hosts, assigned to the zones round robin
	Bin      map[string]string // paths of arbutusspan, arbutusctl and standin, as returned by Build
	Dir      string            // directory for settings files and changed contracts
	Contract string            // path of the contract that StartDeployment publishes; empty publishes none
	Work     time.Duration     // mean work time of requests
	Sigma    float64           // spread of the log-normal work time
	Seed     uint64            // seed of the work times and slow episodes
	// Settings modifies the settings of each host before it starts. It may be nil.
	Settings func(*host.Settings)
	// AddressLifetimeMS and LogLevel are the settings of the same names.
	AddressLifetimeMS int64
	LogLevel          string
	// UpstreamDistance is the one-way network delay between the hosts and the upstreams.
	UpstreamDistance time.Duration
	// Split is the number of services into which each service is split in the host list, with the names of ServiceShape.Part.
	// 0 means 1.
	Split   int
	Backlog int // backlog of each upstream endpoint; 0 means the default of the standin command
}

// ServiceSeed returns the seed of the work times for the service with that index. Its endpoint i uses this seed plus i for slow
// episodes.
func (c DeploymentConfig) ServiceSeed(service int) uint64 { return c.Seed + uint64(service)*1000 }

// Ports that every deployment uses. They are below the ephemeral port range. Deployments can use the same ports because each has
// its own loopback network.
const (
	callerPort     = 7080
	operatorPort   = 7081
	peerPort       = 7082
	advertisedPort = 7083
	platformPort   = 7090
	upstreamPort   = 7100 // port of a service's first endpoint; the others have the next ones
	lockPort       = 7099 // TakeNetwork listens on it to reserve the network
)

// Deployment is one customer's deployment on this machine: a platform stand-in, upstream stand-ins, and entry hosts. Each host
// has a Relay in front of its peer port.
type Deployment struct {
	Config    DeploymentConfig
	Hosts     []*EntryHost
	Upstreams map[string][]string // service -> addresses of its endpoints

	network           byte
	networkLock       net.Listener // keeps the network reserved until Kill
	platformProcess   *Process
	upstreamProcesses []*Process      // of the upstreams, one for each service
	revision          uint64          // last published revision of the contract
	hostList          []platform.Host // upstream endpoints and entry hosts that start publishes in the host list
}

// EntryHost is one entry host of a Deployment: an arbutusspan daemon in its own process.
type EntryHost struct {
	Name         string
	Settings     host.Settings
	Process      *Process
	Relay        *Relay // nil if the daemon has no setting advertised_peer_port
	settingsFile string // path of the settings file
}

// Caller returns the host:port address on which the host accepts callers.
func (h *EntryHost) Caller() string {
	return net.JoinHostPort(h.Settings.Address, strconv.Itoa(h.Settings.CallerPort))
}

// OperatorURL returns the base URL of the operator port.
func (h *EntryHost) OperatorURL() string {
	return fmt.Sprintf("http://%s:%d", h.Settings.Address, h.Settings.OperatorPort)
}

// StartDeployment starts all processes and returns when each host has the contract. On an error it stops all processes.
func StartDeployment(ctx context.Context, cfg DeploymentConfig) (*Deployment, error) {
	d := &Deployment{Config: cfg, Upstreams: map[string][]string{}}
	err := d.start(ctx)
	if err != nil {
		err = fmt.Errorf("start the deployment of %s: %w\n%s", cfg.Shape.Customer, err, d.Logs())
		d.Kill()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	var err error
	if d.network, d.networkLock, err = TakeNetwork(); err != nil {
		return err
	}
	if d.platformProcess, err = Start("platform", d.Config.Bin["standin"], "platform", "--listen", d.platformAddress()); err != nil {
		return err
	}
	for i, s := range d.Config.Shape.Services {
		if err := d.startUpstreams(i, s); err != nil {
			return err
		}
	}
	for i := range d.Config.Hosts {
		if err := d.prepareHost(i); err != nil {
			return err
		}
	}
	if err := Eventually(ctx, func() error { return d.PutHostList(ctx, d.hostList) }); err != nil {
		return err
	}
	for _, h := range d.Hosts {
		if err := d.StartHost(h); err != nil {
			return err
		}
	}
	for _, h := range d.Hosts {
		if err := Eventually(ctx, func() error { return h.checkHealth(ctx) }); err != nil {
			return err
		}
	}
	if d.Config.Contract == "" {
		return nil
	}
	if err := Eventually(ctx, func() error { return d.Publish(ctx, d.Hosts[0], d.Config.Contract) }); err != nil {
		return err
	}
	return d.AwaitRevision(ctx)
}

// TakeNetwork reserves a network 127.N.0.0/16 that no other deployment on this machine uses, and returns N. The network stays
// reserved until the lock is closed.
func TakeNetwork() (network byte, lock net.Listener, err error) {
	const first, count = 16, 224
	offset := rand.IntN(count)
	for i := range count {
		network = byte(first + (offset+i)%count)
		l, err := net.Listen("tcp", networkAddress(network, 255, 254, lockPort))
		if err == nil {
			return network, l, nil
		}
	}
	return 0, nil, errors.New("all loopback networks are in use by other deployments")
}

func networkAddress(network, byte3, byte4 byte, port int) string {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, network, byte3, byte4}), uint16(port)).String()
}

func (d *Deployment) address(byte3, byte4 byte, port int) string {
	return networkAddress(d.network, byte3, byte4, port)
}

func (d *Deployment) platformAddress() string { return d.address(200, 1, platformPort) }

// PlatformURL returns the base URL of the platform stand-in.
func (d *Deployment) PlatformURL() string { return "http://" + d.platformAddress() }

func (d *Deployment) startUpstreams(index int, s ServiceShape) error {
	byte3 := byte(100 + index)
	first := d.address(byte3, 1, upstreamPort)
	args := []string{"upstream", "--listen-range", fmt.Sprintf("%s-%d", first, upstreamPort+s.Endpoints-1), "--slots", strconv.Itoa(s.Slots),
		"--work", d.Config.Work.String(), "--sigma", fmt.Sprint(d.Config.Sigma), "--seed", fmt.Sprint(d.Config.ServiceSeed(index)),
		"--distance", d.Config.UpstreamDistance.String()}
	if d.Config.Backlog > 0 {
		args = append(args, "--backlog", strconv.Itoa(d.Config.Backlog))
	}
	p, err := Start("upstreams of "+s.Name, d.Config.Bin["standin"], args...)
	if err != nil {
		return err
	}
	d.upstreamProcesses = append(d.upstreamProcesses, p)
	for i := range s.Endpoints {
		address := d.address(byte3, 1, upstreamPort+i)
		d.Upstreams[s.Name] = append(d.Upstreams[s.Name], address)
		d.hostList = append(d.hostList, platform.Host{Role: platform.RoleUpstream, Name: fmt.Sprintf("%s-%d", s.Name, i+1), Address: address,
			Zone: d.zone(i), Service: s.Part(i, d.Config.Split), Slots: s.Slots, Incarnation: "1", State: "live"})
	}
	return nil
}

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

// Publish publishes the contract file at path with arbutusctl, through the given host.
func (d *Deployment) Publish(ctx context.Context, h *EntryHost, path string) error {
	cmd := exec.CommandContext(ctx, d.Config.Bin["arbutusctl"], "--host", h.OperatorURL(), "--token", OperatorToken,
		"contract", "apply", "-f", path, "--base", strconv.FormatUint(d.revision, 10))
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("arbutusctl contract apply: %w: %s", err, bytes.TrimSpace(out))
	}
	d.revision++
	return nil
}

// PublishChanged applies change to the contract in DeploymentConfig.Contract and publishes the result. Earlier changes aren't kept.
func (d *Deployment) PublishChanged(ctx context.Context, h *EntryHost, change func(*contract.Contract)) error {
	data, err := os.ReadFile(d.Config.Contract)
	if err != nil {
		return err
	}
	doc, err := contract.Decode(data)
	if err != nil {
		return err
	}
	change(doc)
	path, err := WriteJSON(d.Config.Dir, fmt.Sprintf("%s-%d.json", d.Config.Shape.Customer, d.revision+1), doc)
	if err != nil {
		return err
	}
	return d.Publish(ctx, h, path)
}

// AwaitRevision waits until every running host has the last published revision and is ready.
func (d *Deployment) AwaitRevision(ctx context.Context) error {
	for _, h := range d.Hosts {
		if h.Process.Ended() {
			continue
		}
		err := Eventually(ctx, func() error {
			var entry struct {
				Revision uint64 `json:"revision"`
			}
			if err := h.getFromOperatorPort(ctx, "/v1/contracts/"+d.Config.Shape.Customer, &entry); err != nil {
				return err
			}
			if entry.Revision < d.revision {
				return fmt.Errorf("%s is at revision %d, %d was published", h.Name, entry.Revision, d.revision)
			}
			return h.getFromOperatorPort(ctx, "/readyz", nil)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// AwaitMembers waits until the member list of every host shows all hosts as serving and none as suspected.
func (d *Deployment) AwaitMembers(ctx context.Context) error {
	for _, h := range d.Hosts {
		err := Eventually(ctx, func() error {
			var view struct {
				Members []struct {
					Host      string `json:"host"`
					State     string `json:"state"`
					Suspected bool   `json:"suspected"`
				} `json:"members"`
			}
			if err := h.getFromOperatorPort(ctx, "/v1/members", &view); err != nil {
				return err
			}
			serving := map[string]bool{}
			for _, m := range view.Members {
				serving[m.Host] = m.State == membership.Serving.String() && !m.Suspected
			}
			for _, other := range d.Hosts {
				if !serving[other.Name] {
					return fmt.Errorf("the member list of %s does not show %s as serving", h.Name, other.Name)
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// PutHostList replaces the platform's host list.
func (d *Deployment) PutHostList(ctx context.Context, hosts []platform.Host) error {
	return PutJSON(ctx, d.PlatformURL()+"/v1/hosts", map[string]any{"hosts": hosts})
}

// SetFaults replaces the faults of one upstream endpoint.
func (d *Deployment) SetFaults(ctx context.Context, service string, endpoint int, f standin.Faults) error {
	return PutJSON(ctx, "http://"+d.Upstreams[service][endpoint]+"/standin/faults", f)
}

// Records returns the requests that ran on all upstream endpoints.
func (d *Deployment) Records(ctx context.Context) ([]standin.Record, error) {
	return collectFromEndpoints[standin.Record](ctx, d, "records", func(got *[]standin.Record) []standin.Record { return *got })
}

// Arrivals returns the requests and health probes that reached each upstream endpoint, by address.
func (d *Deployment) Arrivals(ctx context.Context) (map[string][]standin.Arrival, error) {
	out := map[string][]standin.Arrival{}
	for _, addresses := range d.Upstreams {
		for _, address := range addresses {
			var got []standin.Arrival
			if err := GetJSON(ctx, "http://"+address+"/standin/arrivals", &got); err != nil {
				return nil, err
			}
			out[address] = got
		}
	}
	return out, nil
}

// Stats returns the stats of all upstream endpoints, in no particular order.
func (d *Deployment) Stats(ctx context.Context) ([]standin.Stats, error) {
	return collectFromEndpoints[standin.Stats](ctx, d, "stats", func(got *standin.Stats) []standin.Stats { return []standin.Stats{*got} })
}

// AwaitIdle waits until no upstream endpoint has a request in flight or waiting.
func (d *Deployment) AwaitIdle(ctx context.Context) error {
	return Eventually(ctx, func() error {
		all, err := d.Stats(ctx)
		if err != nil {
			return err
		}
		for _, s := range all {
			if s.InFlight+s.Waiting > 0 {
				return fmt.Errorf("an endpoint has %d requests in flight and %d waiting", s.InFlight, s.Waiting)
			}
		}
		return nil
	})
}

// collectFromEndpoints reads a document under /standin/ from every upstream endpoint. It returns the items that itemsOf takes from
// each document, in one list.
func collectFromEndpoints[T, D any](ctx context.Context, d *Deployment, document string, itemsOf func(*D) []T) ([]T, error) {
	var out []T
	for _, addresses := range d.Upstreams {
		for _, address := range addresses {
			var got D
			if err := GetJSON(ctx, "http://"+address+"/standin/"+document, &got); err != nil {
				return nil, err
			}
			out = append(out, itemsOf(&got)...)
		}
	}
	return out, nil
}

// Callers returns the addresses on which the hosts accept callers.
func (d *Deployment) Callers() []string {
	var out []string
	for _, h := range d.Hosts {
		out = append(out, h.Caller())
	}
	return out
}

// Logs returns the output of all processes.
func (d *Deployment) Logs() string {
	var b strings.Builder
	for _, p := range d.processes() {
		fmt.Fprintf(&b, "--- %s\n%s", p.Name, p.Log())
	}
	return b.String()
}

func (d *Deployment) processes() []*Process {
	var out []*Process
	for _, h := range d.Hosts {
		if h.Process != nil {
			out = append(out, h.Process)
		}
	}
	out = append(out, d.upstreamProcesses...)
	if d.platformProcess != nil {
		out = append(out, d.platformProcess)
	}
	return out
}

// Stop stops the hosts gracefully with SIGTERM, then kills all other processes. It returns an error for each host that failed or
// was still running when the context ended; such a host is killed too.
func (d *Deployment) Stop(ctx context.Context) error {
	defer d.Kill()
	var wg sync.WaitGroup
	errs := make([]error, len(d.Hosts))
	for i, h := range d.Hosts {
		if h.Process == nil || h.Process.Ended() {
			continue
		}
		h.Process.Signal(syscall.SIGTERM)
		wg.Go(func() { errs[i] = h.Process.Wait(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Kill kills all processes and waits for them to end. It also closes the relays and releases the network.
func (d *Deployment) Kill() {
	for _, p := range d.processes() {
		p.Kill()
	}
	for _, h := range d.Hosts {
		if h.Relay != nil {
			h.Relay.Close()
			h.Relay = nil
		}
	}
	if d.networkLock != nil {
		d.networkLock.Close()
	}
}

// Example returns the path of a customer's example contract, given the repository's root.
func Example(root, customer string) string { return filepath.Join(root, "examples", customer+".json") }
