// Command review3 plays the cases of the third review: it starts gateways as processes on loopback addresses, beside stand-ins of the platform's store,
// of endpoints and of clients, and writes what was sent, answered and run.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/customers"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// host names and prefixes of the configuration that the cases use.
const (
	machineMB   = 284 // memory of a machine, in MiB
	routeHost   = "orders.example"
	readPrefix  = "/read/"
	writePrefix = "/write/"
)

// rig is a small deployment on loopback.
type rig struct {
	dir     string
	record  *os.File
	mu      sync.Mutex
	store   *platformtest.Store
	paged   *pagedStore
	hosts   []*gatewayHost
	servers []*http.Server

	arrivals     []platformtest.Arrival
	zoneOf       map[string]string // by endpoint
	storeHandler http.Handler      // what the hosts call as the store
}

// gatewayHost is one gateway with its addresses.
type gatewayHost struct {
	name, zone, ip            string
	caller, ready, directory  string
	peer, hop, state, metrics string
	settings                  map[string]any
	path                      string
	cmd                       *exec.Cmd
	done                      chan struct{}
	log                       *os.File
}

func newRig(record string) (*rig, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := platformtest.NewStore()
	paged := newPagedStore(s)
	return &rig{dir: dir, record: f, store: s, paged: paged, storeHandler: paged, zoneOf: map[string]string{}}, nil
}

// note writes a line to record.txt.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
}

// freePort returns a port that is free for TCP and UDP on the IP.
func freePort(ip string) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		l.Close()
		if err == nil {
			u.Close()
			return port, nil
		}
	}
	return 0, errors.New("no port is free for TCP and UDP")
}

func freeAddress(ip string) string {
	port, err := freePort(ip)
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("%s:%d", ip, port)
}

// serve serves a handler on an address.
func (r *rig) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	r.servers = append(r.servers, s)
	go s.Serve(l)
	return nil
}

// addHost prepares a gateway. All gateways use the same ports on different IPs, as on the platform.
func (r *rig) addHost(zone string, ports [6]int, overrides map[string]any) (*gatewayHost, error) {
	n := len(r.hosts) + 1
	h := &gatewayHost{name: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, ip: fmt.Sprintf("127.0.7.%d", n)}
	at := func(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }
	h.caller, h.ready, h.directory, h.state, h.peer, h.metrics = at(ports[0]), at(ports[1]), at(ports[2]), at(ports[3]), at(ports[4]), at(ports[5])
	h.hop = h.peer
	storeAddress := freeAddress("127.0.7.100")
	if err := r.serve(storeAddress, r.storeHandler); err != nil {
		return nil, err
	}
	h.settings = map[string]any{"host": h.name, "zone": zone, "caller_address": h.caller, "ready_address": h.ready, "directory_address": h.directory,
		"state_address": h.state, "peer_address": h.peer, "detour_address": h.hop, "metrics_address": h.metrics, "store_address": storeAddress,
		"seeds": []string{fmt.Sprintf("127.0.7.1:%d", ports[3])}, "first_start": true, "repeat_ratio": 0.2, "repeat_burst": 58, "repeat_window_s": 10, "asks_per_s": 60,
		"grace_s": 6, "cores": 0.32, "link_mbps": 1000, "max_descriptors": 4100, "memory_mb": machineMB, "address_lifetime_s": 4}
	for k, v := range overrides {
		h.settings[k] = v
	}
	data, err := json.Marshal(h.settings)
	if err != nil {
		return nil, err
	}
	h.path = filepath.Join(r.dir, h.name+".json")
	r.hosts = append(r.hosts, h)
	return h, os.WriteFile(h.path, data, 0o600)
}

func newPorts() (p [6]int) {
	for i := range p {
		port, err := freePort("127.0.7.1")
		if err != nil {
			panic(err)
		}
		p[i] = port
	}
	return p
}

// start starts the gateway with the command of the deploy file.
func (r *rig) start(h *gatewayHost) error {
	log, err := os.OpenFile(filepath.Join(r.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.log = log
	h.cmd = exec.Command("target/arbutusspan", "gateway")
	h.cmd.Env = append(os.Environ(), "ARBUTUSSPAN_NODE_FILE="+h.path)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.done = done
	cmd := h.cmd
	go func() {
		err := cmd.Wait()
		r.note("process %s pid %d ended: %v", h.name, cmd.Process.Pid, err)
		close(done)
	}()
	r.note("process %s pid %d started", h.name, h.cmd.Process.Pid)
	return nil
}

func (h *gatewayHost) ended() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// awaitReady waits until the gateway is ready.
func (r *rig) awaitReady(h *gatewayHost, within time.Duration) error {
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		resp, err := http.Get("http://" + h.ready + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s was not ready within %v", h.name, within)
}

// close ends all processes that the rig has started.
func (r *rig) close() {
	for _, h := range r.hosts {
		if h.cmd != nil && !h.ended() {
			h.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, h := range r.hosts {
		if h.cmd == nil {
			continue
		}
		select {
		case <-h.done:
		case <-time.After(7 * time.Second):
			h.cmd.Process.Kill()
			<-h.done
		}
	}
	for _, s := range r.servers {
		s.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(r.dir)
	} else {
		fmt.Println("kept", r.dir)
	}
	r.record.Close()
}

func (r *rig) arrived(a platformtest.Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

// runs returns how often a request was run.
func (r *rig) runs(id string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		if a.ID == id && a.Ran {
			n++
		}
	}
	return n
}

// config returns a configuration with a safe and a non-idempotent route of one service.
func config(version uint64, timeout time.Duration, c ...customers.Entry) routing.Config {
	split := []routing.WeightedService{{Service: "desk", Weight: 1}}
	return routing.Config{Version: version, Customers: c,
		Routes: []routing.Route{
			{Name: "read", Host: routeHost, Prefix: readPrefix, Idempotent: true, Timeout: timeout, TargetLatency: 250 * time.Millisecond, Priority: 2, MaxAttempts: 2, Split: split},
			{Name: "write", Host: routeHost, Prefix: writePrefix, Timeout: timeout, TargetLatency: 250 * time.Millisecond, Priority: 1, MaxAttempts: 2, Split: split},
		},
		Services: []routing.Service{{Name: "desk", HealthPath: platformtest.HealthPath, MaxConnections: 220}},
		Limits:   routing.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
}

// endpoint starts an endpoint of the service.
func (r *rig) endpoint(n int, zone string, slots int, work time.Duration) (*platformtest.Endpoint, error) {
	e := platformtest.NewEndpoint(r.store, platformtest.EndpointConfig{Service: "desk", Zone: zone, Listen: freeAddress(fmt.Sprintf("127.0.8.%d", n)),
		Slots: slots, Work: work, Idle: 10 * time.Second, Record: r.arrived})
	id := fmt.Sprintf("i-desk-%d", n)
	r.zoneOf[id] = zone
	return e, e.Start(id, 0)
}

func trouble() bool { return os.Getenv("TROUBLE") != "0" }

var cases = map[string]func(ctx context.Context, r *rig) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD; cases:", strings.Join(names(), ", "))
		os.Exit(exitNotRun)
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	code, err := cases[os.Args[1]](ctx, r)
	cancel()
	if err != nil {
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	}
	r.note("result %d", code)
	r.close()
	os.Exit(code)
}

func names() (list []string) {
	for name := range cases {
		list = append(list, name)
	}
	return list
}
