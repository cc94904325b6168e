package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/gateway"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

// host is one entry host with the relays around it.
type host struct {
	soak      *soak
	index     int
	name      string
	settings  string // path
	readyURL  string
	lookupURL string
	callers   *testbed.Relay
	peers     *testbed.Relay
	toStore   *testbed.Relay
	front     *platformtest.Front

	mu      sync.Mutex // guards the fields below
	process *testbed.Process
	all     []*testbed.Process
	ending  map[*testbed.Process]bool // a fault ends the process
	cut     map[*testbed.Process]bool // a fault killed the process, and its last log lines are lost
}

func (s *soak) newHost(i int) (*host, error) {
	zone := 1 + i%zones
	real := func(port int) netip.AddrPort { return s.address(zone, 1+i, port) }
	seen := func(port int) netip.AddrPort { return s.address(zone, 101+i, port) }
	h := &host{soak: s, index: i, name: fmt.Sprintf("%s-%d", zoneName(i), i+1), front: s.store.Front(), ending: map[*testbed.Process]bool{}, cut: map[*testbed.Process]bool{},
		readyURL: "http://" + real(readyPort).String() + "/ready", lookupURL: "http://" + real(directoryPort).String() + "/resolve"}
	var err error
	if h.callers, err = relay(seen(callerPort), real(callerPort)); err != nil {
		return nil, err
	}
	if h.peers, err = relay(seen(statePort), real(statePort)); err != nil {
		return nil, err
	}
	front := s.address(201, 1+i, storePort)
	if err := s.serve(front, h.front); err != nil {
		return nil, err
	}
	if h.toStore, err = relay(s.address(200, 1+i, storePort), front); err != nil {
		return nil, err
	}
	var seeds []string
	for j := range min(zones, s.Hosts) {
		seeds = append(seeds, s.address(1+j%zones, 101+j, statePort).String())
	}
	h.settings, err = testbed.WriteJSON(s.Dir, h.name+".json", gateway.Settings{Host: h.name, Zone: zoneName(i),
		CallerAddress: real(callerPort).String(), ReadyAddress: real(readyPort).String(), DirectoryAddress: real(directoryPort).String(),
		PeerAddress: real(statePort).String(), StateAddress: real(statePort).String(), AdvertisedIP: seen(statePort).Addr().String(),
		StoreAddress: h.toStore.Address().String(), Seeds: seeds, RepeatRatio: repeatRatio, RepeatBurst: repeatBurst,
		RepeatWindowS: repeatWindow.Seconds(), ProbesPerS: 60, GraceS: grace.Seconds(), AddressLifetimeS: addressLifetimeS, MaxDescriptors: 4096})
	return h, err
}

// reached returns the host that tells callers of an address, and the address of the relay before it.
func (s *soak) reached(callerAddress string) (*host, string) {
	for _, h := range s.hosts {
		if callerAddress == s.address(1+h.index%zones, 1+h.index, callerPort).String() {
			return h, h.callers.Address().String()
		}
	}
	return nil, ""
}

func (s *soak) serve(address netip.AddrPort, h http.Handler) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ErrorLog: discard}
	s.servers = append(s.servers, server)
	go server.Serve(l)
	return nil
}

// start starts a process if none runs.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil && !h.process.Ended() {
		return nil
	}
	p, err := testbed.Start(h.name, h.soak.Program, "gateway", "--settings", h.settings)
	if err != nil {
		return err
	}
	h.process, h.all = p, append(h.all, p)
	go func() {
		p.Wait(context.Background())
		h.mu.Lock()
		defer h.mu.Unlock()
		h.soak.ledger.Check(staysUp, h.ending[p], "a process of %s ended by itself: %s", h.name, lastLines(p.Log()))
	}()
	return nil
}

// signal sends a signal to the current process. Processes that have ended get none.
func (h *host) signal(sig syscall.Signal) *testbed.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sig == syscall.SIGTERM {
		h.ending[h.process] = true
	}
	// An error means that the process has ended.
	_ = h.process.Signal(sig)
	return h.process
}

func (h *host) kill() {
	h.mu.Lock()
	p := h.process
	if p != nil && !p.Ended() {
		h.ending[p], h.cut[p] = true, true
	}
	h.mu.Unlock()
	if p != nil {
		p.Kill()
	}
}

// stop asks the process to stop and kills it after the grace time. checked tells whether it must end in time.
func (h *host) stop(ctx context.Context, checked bool) {
	p := h.signal(syscall.SIGTERM)
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	err := p.Wait(ctx)
	inTime := ctx.Err() == nil
	if checked && h.soak.Timed && h.soak.calm.quiet(scopeNetwork, begin, time.Now()) {
		h.soak.ledger.Check(stopsInTime, inTime, "%s still ran %.1f s after SIGTERM", h.name, grace.Seconds())
	}
	h.mu.Lock()
	cut := h.cut[p]
	h.mu.Unlock()
	if inTime || cut {
		h.soak.ledger.Check(staysUp, err == nil || cut, "%s stopped with %v: %s", h.name, err, lastLines(p.Log()))
		return
	}
	h.signal(syscall.SIGQUIT) // the Go runtime writes all stacks, which tell what did not end
	pause(context.Background(), stackTime)
	h.kill()
}

// stackTime lets a process write its stacks.
const stackTime = 300 * time.Millisecond

func (h *host) ready() error {
	resp, err := http.Get(h.readyURL)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", h.readyURL, resp.Status)
	}
	return nil
}

// awaitReady waits until the host takes callers.
func (h *host) awaitReady(ctx context.Context) error { return testbed.Eventually(ctx, h.ready) }

// scope names the host among what faults disturb.
func (h *host) scope() string { return "host " + h.name }
