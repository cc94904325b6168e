package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/gateway"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

// host is an entry host with the relays in front of its callers' port, its peers' port and the store.
type host struct {
	soak        *soak
	index       int
	name        string
	settings    string // path of the settings file
	readyURL    string
	lookupURL   string
	callerRelay *testbed.Relay
	peerRelay   *testbed.Relay // nil if peers reach the host directly
	hopRelay    *testbed.Relay // nil like peerRelay
	storeRelay  *testbed.Relay
	front       *platformtest.Front // the store as this host sees it

	mu          sync.Mutex       // guards the fields below
	process     *testbed.Process // the last one started
	processes   []*testbed.Process
	expectedEnd map[*testbed.Process]bool // a fault stops or kills the process
	stops       []*stop                   // in the order of their first SIGTERM
	killed      map[*testbed.Process]bool // a fault killed the process, so that its last log lines may be missing
}

func (s *soak) newHost(i int) (*host, error) {
	real := func(port int) netip.AddrPort { return s.address(1+i%zoneCount, 1+i, port) }
	advertised := func(port int) netip.AddrPort { return s.advertisedAddress(i, port) }
	h := &host{soak: s, index: i, name: fmt.Sprintf("%s-%d", zoneName(i), i+1), front: s.store.Front(), expectedEnd: map[*testbed.Process]bool{}, killed: map[*testbed.Process]bool{},
		readyURL: "http://" + real(readyPort).String() + "/ready", lookupURL: "http://" + real(directoryPort).String() + "/resolve"}
	var err error
	if h.callerRelay, err = relay(advertised(callerPort), real(callerPort), s.callerDelay(i)); err != nil {
		return nil, err
	}
	peerAddress := real(statePort)
	if i < maxPeerRelays {
		if h.peerRelay, err = relay(advertised(statePort), real(statePort), 0); err != nil {
			return nil, err
		}
		peerAddress = h.peerRelay.Address()
		if h.hopRelay, err = relay(advertised(hopPort), real(hopPort), 0); err != nil {
			return nil, err
		}
	}
	front := s.address(201, 1+i, storePort)
	if err := s.serve(front, h.front); err != nil {
		return nil, err
	}
	if h.storeRelay, err = relay(s.address(200, 1+i, storePort), front, 0); err != nil {
		return nil, err
	}
	var seeds []string
	for j := range min(zoneCount, s.Hosts) {
		seeds = append(seeds, s.advertisedAddress(j, statePort).String())
	}
	h.settings, err = testbed.WriteJSON(s.Dir, h.name+".json", gateway.Settings{Host: h.name, Zone: zoneName(i),
		CallerAddress: real(callerPort).String(), ReadyAddress: real(readyPort).String(), DirectoryAddress: real(directoryPort).String(),
		PeerAddress: real(statePort).String(), StateAddress: real(statePort).String(), DetourAddress: real(hopPort).String(), UpstreamSourceIP: s.hostIP(i).String(), AdvertisedIP: peerAddress.Addr().String(),
		StoreAddress: h.storeRelay.Address().String(), Seeds: seeds, RepeatRatio: repeatRatio, RepeatBurst: repeatBurst,
		RepeatWindowS: repeatWindow.Seconds(), ProbesPerS: 60, GraceS: gracePeriod.Seconds(), AddressLifetimeS: addressLifetimeS, MaxDescriptors: 4096})
	return h, err
}

// advertisedAddress returns the address at which others reach the host with an index, which is that of a relay.
func (s *soak) advertisedAddress(i, port int) netip.AddrPort {
	return s.address(21+i%zoneCount, 1+i, port)
}

// hostAt returns the host that has the given address for callers, and the address of the relay in front of it. It returns nil if no host
// has the address.
func (s *soak) hostAt(callerAddress string) (*host, string) {
	for _, h := range s.hosts {
		if callerAddress == s.address(1+h.index%zoneCount, 1+h.index, callerPort).String() {
			return h, h.callerRelay.Address().String()
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

// start starts a process if none is running.
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
	h.process, h.processes = p, append(h.processes, p)
	go func() {
		err := p.Wait(context.Background())
		h.mu.Lock()
		defer h.mu.Unlock()
		h.soak.ledger.Check(expectedExits, h.expectedEnd[p], "a process of %s exited with %v without being stopped: %s", h.name, err, lastLines(p.Log()))
	}()
	return nil
}

func (h *host) currentProcess() *testbed.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// signal sends a signal to the current process and returns the process.
func (h *host) signal(sig syscall.Signal) *testbed.Process {
	p := h.currentProcess()
	h.signalProcess(p, sig)
	return p
}

// signalProcess sends a signal to a process. It has no effect on a process that has ended.
func (h *host) signalProcess(p *testbed.Process, sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Ended() {
		return
	}
	s := h.stopOf(p)
	if sig == syscall.SIGTERM {
		h.expectedEnd[p] = true
		if s == nil {
			s = &stop{process: p}
			h.stops = append(h.stops, s)
		}
	}
	if s != nil {
		s.signals = append(s.signals, sentSignal{sig.String(), time.Now()})
	}
	// An error means that the process has ended.
	_ = p.Signal(sig)
}

// stopOf returns the planned stop of a process, or nil if it has not got SIGTERM. The caller holds h.mu.
func (h *host) stopOf(p *testbed.Process) *stop {
	for _, s := range h.stops {
		if s.process == p {
			return s
		}
	}
	return nil
}

// reload sends SIGHUP to the current process.
func (h *host) reload() { h.reloadProcess(h.currentProcess()) }

// reloadProcess sends SIGHUP to a process. It has no effect on a process that has not written to its log yet: SIGHUP ends a process whose
// program is still being loaded.
func (h *host) reloadProcess(p *testbed.Process) {
	if p.Log() != "" {
		h.signalProcess(p, syscall.SIGHUP)
	}
}

// kill kills the current process and waits until it has ended.
func (h *host) kill() {
	if p := h.currentProcess(); p != nil {
		h.killProcess(p)
	}
}

// killProcess kills a process and waits until it has ended.
func (h *host) killProcess(p *testbed.Process) {
	h.recordKill(p)
	p.Kill()
}

// recordKill records that a process is about to be ended other than as planned.
func (h *host) recordKill(p *testbed.Process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !p.Ended() {
		h.expectedEnd[p], h.killed[p] = true, true
		if s := h.stopOf(p); s != nil {
			s.cut = true
		}
	}
}

// stop sends SIGTERM to the process and kills it if it still runs after gracePeriod. With checked, it checks that the process ends in
// that time, unless there were unplanned faults.
func (h *host) stop(ctx context.Context, checked bool) {
	p := h.signal(syscall.SIGTERM)
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, gracePeriod)
	defer cancel()
	err := p.Wait(ctx)
	inTime := ctx.Err() == nil
	if checked && h.soak.Timed && h.soak.timeline.undisturbed(scopeNetwork, begin, time.Now()) {
		h.soak.ledger.Check(stopsInTime, inTime, "%s was still running %.1f s after SIGTERM", h.name, gracePeriod.Seconds())
	}
	h.mu.Lock()
	cut := h.killed[p]
	h.mu.Unlock()
	if inTime || cut {
		h.soak.ledger.Check(expectedExits, err == nil || cut || endedBeforeStart(p, err), "%s exited with %v: %s", h.name, err, lastLines(p.Log()))
		return
	}
	h.recordKill(p)
	h.signalProcess(p, syscall.SIGQUIT) // makes the Go runtime write all stacks, which show the goroutines that did not end
	pause(context.Background(), stackTime)
	h.killProcess(p)
}

// endedBeforeStart reports whether SIGTERM ended a process that had not yet installed its handlers, and so had not read any request. err is
// the result of the process. The process writes its first log line after it has installed them.
func endedBeforeStart(p *testbed.Process, err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) || p.Log() != "" {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

// stackTime is the time that a process gets to write its stacks.
const stackTime = 300 * time.Millisecond

// ready returns an error if the host is not ready for callers.
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

// awaitReady waits until the host is ready for callers.
func (h *host) awaitReady(ctx context.Context) error { return testbed.Eventually(ctx, h.ready) }

// restarts returns the scope of the times in which no process of this host runs, or one is ending.
func (h *host) restarts() string { return "restarts of " + h.name }

// freezes returns the scope of the times in which the process is stopped by SIGSTOP.
func (h *host) freezes() string { return "freezes of " + h.name }

// scope returns the scope of faults of this host alone.
func (h *host) scope() string { return "host " + h.name }

// detours returns the scope of the times in which the host may have no way to endpoints of its own, so that other hosts send its requests.
func (h *host) detours() string { return "detours of " + h.name }
