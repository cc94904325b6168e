// Package soak is a fault-injection test. It runs entry hosts as processes on one machine, injects faults into the hosts, the networks
// around them, the store and the endpoints, and checks the guarantees to callers and endpoints by comparing what callers and endpoints
// recorded.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/testbed"
	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

// Config configures a run.
type Config struct {
	Seed    uint64        // seed of the fault schedule and the load
	Hosts   int           // number of entry hosts, assigned to three availability zones round robin; 0 draws it from the seed
	Length  time.Duration // duration of the part with faults
	Timed   bool          // also run the checks with time bounds, which need a machine with idle processors
	Only    []string      // names of the faults to inject; empty means all
	Program string        // path of the arbutusspan executable
	Dir     string        // directory for settings files, and for logs if a check fails
	Out     io.Writer     // receives the report
}

// Sizes, settings and times of the deployment.
const (
	zoneCount           = 3
	endpointsPerService = 6 // endpoints of a service
	endpointSlots       = 3 // requests that an endpoint runs at the same time
	serviceTime         = 15 * time.Millisecond
	routeTimeout        = time.Second
	targetLatency       = 200 * time.Millisecond
	maxAttempts         = 3
	repeatRatio         = 0.2
	repeatBurst         = 30
	repeatWindow        = 10 * time.Second
	gracePeriod         = 6 * time.Second // from SIGTERM until a process is killed
	drainTime           = 2 * time.Second // time after which a leaving endpoint must not get requests
	stabilityTime       = 3 * time.Second // time after a fault until time bounds hold again
	startTimeout        = time.Minute
	settleTime          = 4 * time.Second // time between the last fault and the fault-free period at the end
	faultFreeTime       = 4 * time.Second // length of the fault-free period at the end
	addressLifetimeS    = 5

	callerPort    = 8144
	readyPort     = 8140
	directoryPort = 8143
	statePort     = 8146 // TCP, and UDP for gossip between hosts
	storePort     = 8142
	hopPort       = 8147 // TCP, for requests that other hosts hand over
	endpointPort  = 9000
)

var services = []string{"desk", "book"}

// soak is the state of one run.
type soak struct {
	Config
	network      byte         // second byte of all addresses of the run
	networkLock  net.Listener // keeps the network reserved for this run
	rng          *rand.Rand
	startTime    time.Time
	store        *platformtest.Store
	hosts        []*host
	endpoints    []*endpoint
	servers      []*http.Server
	ledger       *testbed.Ledger
	timeline     *timeline
	configs      configHistory
	changing     sync.Mutex // held by faults while they change the configuration
	falling      sync.Mutex // guards lastFall
	partitioning sync.Mutex // held by a fault while it cuts hosts off from endpoints
	partitionsMu sync.Mutex // guards partitions
	partitions   []partition
	lastFall     time.Time // when the store returned from a copy, or when callers began to send requests
	requests     requestLog
	loadFactor   multiplier   // factor by which callers raise their usual load
	serial       counter      // numbers the endpoint ids
	connections  counter      // numbers the connections of callers
	stops        atomic.Int64 // planned stops under way
}

// Run executes one run and returns an error if a check failed.
func Run(ctx context.Context, cfg Config) error {
	s := &soak{Config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 11)), store: platformtest.NewStore(), timeline: newTimeline(),
		ledger: testbed.NewLedger(cfg.Out, checkNames...)}
	for _, name := range cfg.Only {
		if _, err := faultNamed(name); err != nil {
			return err
		}
	}
	if cfg.Hosts == 0 {
		if err := s.drawHosts(); err != nil {
			return err
		}
	}
	fmt.Fprintf(cfg.Out, "soak: seed %d, %d hosts, load average %s\n", cfg.Seed, s.Hosts, testbed.LoadAverage())
	// Each run has its own directory, because several may execute at the same time.
	s.Dir = filepath.Join(cfg.Dir, fmt.Sprintf("soak-%d", cfg.Seed))
	if err := os.MkdirAll(s.Dir, 0o755); err != nil {
		return err
	}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return err
	}
	s.runLoadAndFaults(ctx)
	if ctx.Err() != nil {
		return ctx.Err() // the checks do not apply to a run that was cancelled
	}
	s.audit()
	breaches := s.ledger.Print()
	fmt.Fprintf(cfg.Out, "soak: seed %d, %.0f s, load average %s\n", cfg.Seed, time.Since(s.startTime).Seconds(), testbed.LoadAverage())
	if breaches > 0 {
		return errors.Join(fmt.Errorf("seed %d: %d breaches; logs are in %s", cfg.Seed, breaches, s.Dir), s.keepLogs())
	}
	return nil
}

// runLoadAndFaults runs the callers, injects the faults, and then stops the hosts.
func (s *soak) runLoadAndFaults(ctx context.Context) {
	s.lastFall = time.Now()
	calling, leave := context.WithCancel(ctx)
	go s.reportStalls(calling)
	var callers sync.WaitGroup
	for i := range s.callerCount() {
		c := newCaller(s, i)
		callers.Go(func() { c.run(calling) })
	}
	s.runFaultPhases(ctx)
	s.checkRecovery(ctx)
	s.checkPowerLoss(ctx)
	leave()
	callers.Wait()
	var stops sync.WaitGroup
	for _, h := range s.hosts {
		stops.Go(func() { h.stop(ctx, false) })
	}
	stops.Wait()
	// Requests whose connections were closed may still run at endpoints.
	time.Sleep(time.Second)
}

// start starts the endpoints and hosts, and waits until all hosts are ready.
func (s *soak) start(ctx context.Context) error {
	var err error
	if s.network, s.networkLock, err = testbed.TakeNetwork(); err != nil {
		return err
	}
	s.startTime = time.Now()
	s.publishFirst()
	for i, service := range services {
		for j := range endpointsPerService {
			e, err := s.newEndpoint(service, 100+i, j)
			if err != nil {
				return err
			}
			s.endpoints = append(s.endpoints, e)
		}
	}
	for i := range s.Hosts {
		h, err := s.newHost(i)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, h := range s.hosts {
		if err := h.awaitReady(ctx); err != nil {
			return fmt.Errorf("%s did not become ready: %w\n%s", h.name, err, h.process.Log())
		}
	}
	return nil
}

func (s *soak) close() {
	for _, h := range s.hosts {
		h.kill()
		h.callerRelay.Close()
		if h.peerRelay != nil {
			h.peerRelay.Close()
			h.hopRelay.Close()
		}
		h.storeRelay.Close()
	}
	for _, e := range s.endpoints {
		e.Kill()
		e.relay.Close()
	}
	for _, server := range s.servers {
		server.Close()
	}
	if s.networkLock != nil {
		s.networkLock.Close()
	}
}

// address returns the address 127.network.a.b:port, with the network of the run.
func (s *soak) address(a, b, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.network, byte(a), byte(b)}), uint16(port))
}

// hostIP returns the IP of the host with an index, from which it opens connections to endpoints.
func (s *soak) hostIP(i int) netip.Addr { return s.address(1+i%zoneCount, 1+i, 0).Addr() }

// relay starts a relay that adds a delay each way.
func relay(listen, target netip.AddrPort, delay time.Duration) (*testbed.Relay, error) {
	return testbed.NewRelay(listen, target, func(netip.Addr) time.Duration { return delay })
}

// keepLogs writes the output of all host processes to files, one for each host.
func (s *soak) keepLogs() error {
	var errs []error
	for _, h := range s.hosts {
		var b strings.Builder
		for _, p := range h.processes {
			fmt.Fprintf(&b, "--- process %d\n%s", p.PID(), p.Log())
		}
		errs = append(errs, os.WriteFile(filepath.Join(s.Dir, h.name+".log"), []byte(b.String()), 0o644))
	}
	return errors.Join(errs...)
}

// endpoint is an endpoint with a relay in front of it.
type endpoint struct {
	*platformtest.Endpoint
	relay     *testbed.Relay // listens on the address that hosts use
	processMu sync.Mutex     // held by a fault while it stops and starts the process
	service   string
	address   string // IP:port that hosts use
}

func (s *soak) newEndpoint(service string, net, i int) (*endpoint, error) {
	real, advertised := s.address(net+10, 1+i, endpointPort), s.address(net, 1+i, endpointPort)
	r, err := relay(advertised, real, 0)
	if err != nil {
		return nil, err
	}
	cfg := platformtest.EndpointConfig{Service: service, Zone: zoneName(i), Listen: real.String(), Address: advertised.String(), Slots: endpointSlots,
		Work: serviceTime, ExtraWork: extraWork, Record: s.requests.arrived, Completed: s.requests.runCompleted,
		Crashes: func(a platformtest.Arrival) bool { return crashes(a.Target) }}
	if i == 0 {
		cfg.Idle = 700 * time.Millisecond // this endpoint closes idle connections earlier than hosts do
	}
	e := &endpoint{relay: r, service: service, address: advertised.String()}
	cfg.Crashed = func(a platformtest.Arrival) { s.restartCrashed(e, a) }
	e.Endpoint = platformtest.NewEndpoint(s.store, cfg)
	return e, e.Start(s.nextID(), 0)
}

func (s *soak) nextID() string { return fmt.Sprintf("i-%d", s.serial.next()) }

func zoneName(i int) string { return string(rune('a' + i%zoneCount)) }
