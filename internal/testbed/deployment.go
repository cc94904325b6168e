package testbed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/host"
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
	BarePort       = 7084 // of a server beside a host that forwards without its work, for measurements
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
