package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/configlog"
	"github.com/arbutusspan/arbutusspan/internal/coordination/rendezvous"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
	"github.com/arbutusspan/arbutusspan/internal/transport/admin"
	"github.com/arbutusspan/arbutusspan/internal/transport/platform"
)

// relayPlatform puts a relay before the platform and writes its address into the hosts' settings files.
func (c *chaos) relayPlatform() error {
	target, err := netip.ParseAddrPort(strings.TrimPrefix(c.PlatformURL(), "http://"))
	if err != nil {
		return err
	}
	ip := target.Addr().As4()
	ip[3]++
	listen := netip.AddrPortFrom(netip.AddrFrom4(ip), target.Port())
	if c.platform, err = testbed.NewRelay(listen, target, func(netip.Addr) time.Duration { return 0 }); err != nil {
		return err
	}
	for _, h := range c.Hosts {
		path := filepath.Join(c.dir, h.Name+".json")
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		data = bytes.ReplaceAll(data, []byte(c.PlatformURL()), []byte("http://"+listen.String()))
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// startHost starts a host's daemon again.
func (c *chaos) startHost(i int) error {
	c.watch.started(i)
	return c.StartHost(c.Hosts[i])
}

// awaitReady waits until each host serves and lists as many hosts as an address response holds.
func (c *chaos) awaitReady(ctx context.Context) error {
	service := c.contract.Services[0].Name
	for _, h := range c.Hosts {
		err := testbed.Eventually(ctx, func() error {
			if h.Process.Ended() {
				return fmt.Errorf("%s has ended: %s", h.Name, h.Process.Log())
			}
			if err := operatorCall(ctx, http.MethodGet, h.OperatorURL()+"/readyz", nil, nil); err != nil {
				return err
			}
			list, err := c.addresses(ctx, h, service)
			if err != nil {
				return err
			}
			if want := min(4, len(c.Hosts)); len(list) < want {
				return fmt.Errorf("%s lists %d hosts", h.Name, len(list))
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// addresses asks a host for the addresses of a service. The first one is the owner's.
func (c *chaos) addresses(ctx context.Context, h *testbed.EntryHost, service string) ([]callerapi.Address, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Caller()+"/v1/addresses?service="+service, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.customer+"."+testbed.CustomerSecret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var list callerapi.Addresses
	err = json.NewDecoder(resp.Body).Decode(&list)
	return list.Addresses, err
}

// ownerAndNext returns the indices of the host that owns a service and of the one that owns it after the first has gone.
func (c *chaos) ownerAndNext(service string) []int {
	var names []string
	for _, h := range c.Hosts {
		names = append(names, h.Name)
	}
	var out []int
	for _, name := range rendezvous.Rank(service, names)[:2] {
		out = append(out, slices.Index(names, name))
	}
	return out
}

// errNotAccepted is the error of a publication that was refused, lost a race, or has an unknown outcome.
var errNotAccepted = errors.New("not accepted")

// publish publishes a contract through a host. The watch learns of an accepted revision.
func (c *chaos) publish(ctx context.Context, h *testbed.EntryHost, doc *contract.Contract, base uint64) error {
	data, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	body, err := json.Marshal(configlog.Change{OpID: c.planName("op"), Customer: doc.Customer, Base: base, Document: data})
	if err != nil {
		return err
	}
	var a admin.PublishResponse
	if err := operatorCall(ctx, http.MethodPost, h.OperatorURL()+"/v1/contracts", bytes.NewReader(body), &a); err != nil {
		return err
	}
	if a.Outcome != admin.OutcomeAccepted {
		return fmt.Errorf("%w: %s %s", errNotAccepted, a.Outcome, a.Error)
	}
	c.watch.accept(doc.Customer, a.Revision)
	c.ledger.Add("accepted publications", 1)
	return nil
}

// race lets two operators publish on the same base through two hosts. At most one may be told that it won.
func (c *chaos) race(ctx context.Context) {
	a := c.rng.IntN(len(c.Hosts))
	b := (a + 1 + c.rng.IntN(len(c.Hosts)-1)) % len(c.Hosts)
	var list admin.ContractList
	if operatorCall(ctx, http.MethodGet, c.Hosts[a].OperatorURL()+"/v1/contracts", nil, &list) != nil {
		return
	}
	base := uint64(0)
	for _, s := range list.Contracts {
		if s.Customer == c.customer {
			base = s.Revision
		}
	}
	var wg sync.WaitGroup
	errs := make([]error, 2)
	for k, i := range []int{a, b} {
		wg.Go(func() { errs[k] = c.publish(ctx, c.Hosts[i], c.contract, base) })
	}
	wg.Wait()
	c.ledger.Check(oneWinner, errs[0] != nil || errs[1] != nil, "%s and %s both had a change of revision %d accepted", c.Hosts[a].Name, c.Hosts[b].Name, base)
	c.ledger.Add("races", 1)
}

// ownEndpoint is an upstream endpoint with a process of its own, so that it can return with a new incarnation.
type ownEndpoint struct {
	address     string
	incarnation int
	state       string
	process     *testbed.Process
}

func (e *ownEndpoint) id() endpoints.ID {
	return endpoints.ID{Address: e.address, Incarnation: strconv.Itoa(e.incarnation)}
}

// hostList writes the platform's host list and runs the endpoints of manifest.
type hostList struct {
	c   *chaos
	own []*ownEndpoint

	mu   sync.Mutex
	left map[string]bool // endpoints of the shape that the list names as leaving
}

const ownEndpoints = 3

func newHostList(c *chaos) (*hostList, error) {
	l := &hostList{c: c, left: map[string]bool{}}
	first, err := netip.ParseAddrPort(strings.TrimPrefix(c.PlatformURL(), "http://"))
	if err != nil {
		return nil, err
	}
	for i := range ownEndpoints {
		ip := first.Addr().As4()
		ip[3] = byte(manifestFirstRow + i)
		e := &ownEndpoint{address: netip.AddrPortFrom(netip.AddrFrom4(ip), first.Port()).String(), state: "live"}
		l.own = append(l.own, e)
		if err := l.launch(e); err != nil {
			return l, err
		}
	}
	return l, nil
}

// launch starts an endpoint's next incarnation.
func (l *hostList) launch(e *ownEndpoint) (err error) {
	e.incarnation++
	e.process, err = testbed.Start("manifest", l.c.bin["standin"], "upstream", "--listen", e.address, "--slots", strconv.Itoa(manifestSlots),
		"--incarnation", strconv.Itoa(e.incarnation), "--work", l.c.work.String())
	return err
}

func (l *hostList) kill() {
	for _, e := range l.own {
		if e.process != nil {
			e.process.Kill()
		}
	}
}

// isLeft reports whether an endpoint of the shape leaves or has left.
func (l *hostList) isLeft(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.left[address]
}

// put writes the list as it is.
func (l *hostList) put(ctx context.Context) error {
	c := l.c
	var out []platform.Host
	for _, h := range c.Hosts {
		port := h.Settings.PeerPort
		if h.Relay != nil {
			port = int(h.Relay.Address().Port())
		}
		out = append(out, platform.Host{Role: platform.RoleEntry, Name: h.Name, Zone: h.Settings.Zone, State: "live",
			Address: net.JoinHostPort(h.Settings.Address, strconv.Itoa(port))})
	}
	zones := c.Config.Shape.Zones
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range c.Config.Shape.Services {
		for i, address := range c.Upstreams[s.Name] {
			state := "live"
			if l.left[address] {
				state = "leaving"
			}
			out = append(out, platform.Host{Role: platform.RoleUpstream, Name: fmt.Sprintf("%s-%d", s.Name, i+1), Address: address,
				Zone: zones[i%len(zones)], Service: s.Name, Slots: s.Slots, Incarnation: "1", State: state})
		}
	}
	for i, e := range l.own {
		out = append(out, platform.Host{Role: platform.RoleUpstream, Name: fmt.Sprintf("%s-%d", manifest, i+1), Address: e.address,
			Zone: zones[i%len(zones)], Service: manifest, Slots: manifestSlots, Incarnation: strconv.Itoa(e.incarnation), State: e.state})
	}
	return c.PutHostList(ctx, out)
}

// setLog replaces the faults of the log.
func (c *chaos) setLog(ctx context.Context, f standin.LogFaults) error {
	return testbed.PutJSON(ctx, c.PlatformURL()+"/standin/log-faults", f)
}

// setHostList replaces the faults of the host list.
func (c *chaos) setHostList(ctx context.Context, f standin.HostListFaults) error {
	return testbed.PutJSON(ctx, c.PlatformURL()+"/standin/hostlist", f)
}

// comeBack lets an endpoint of manifest leave, waits until it is idle, and starts a new incarnation at its address.
func (l *hostList) comeBack(ctx context.Context, e *ownEndpoint, leave time.Duration) error {
	l.mu.Lock()
	e.state = "leaving"
	l.mu.Unlock()
	if err := l.put(ctx); err != nil {
		return err
	}
	if err := testbed.PutJSON(ctx, "http://"+e.address+"/standin/faults", standin.Faults{Leaving: true, LeaveGraceMS: time.Hour.Milliseconds()}); err != nil {
		return err
	}
	pauseFor(ctx, leave)
	if err := testbed.Eventually(ctx, func() error { return endpointIdle(ctx, e.address) }); err != nil {
		return err
	}
	l.c.watch.replaced(e.id())
	if err := l.keep(ctx, e); err != nil {
		return err
	}
	e.process.Kill()
	if err := l.launch(e); err != nil {
		return err
	}
	l.mu.Lock()
	e.state = "live"
	l.mu.Unlock()
	l.c.ledger.Add("upstreams that came back", 1)
	return l.put(ctx)
}

// keep stores what arrived and ran at an endpoint that is about to end. It must not run requests any more.
func (l *hostList) keep(ctx context.Context, e *ownEndpoint) error {
	var records []standin.Record
	if err := testbed.GetJSON(ctx, "http://"+e.address+"/standin/records", &records); err != nil {
		return err
	}
	var arrivals []standin.Arrival
	if err := testbed.GetJSON(ctx, "http://"+e.address+"/standin/arrivals", &arrivals); err != nil {
		return err
	}
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	l.c.kept = append(l.c.kept, records...)
	l.c.keptArrivals[e.address] = append(l.c.keptArrivals[e.address], arrivals...)
	return nil
}

func endpointIdle(ctx context.Context, address string) error {
	var s standin.Stats
	if err := testbed.GetJSON(ctx, "http://"+address+"/standin/stats", &s); err != nil {
		return err
	}
	if s.InFlight+s.Waiting > 0 {
		return fmt.Errorf("%s has %d requests", address, s.InFlight+s.Waiting)
	}
	return nil
}

func (l *hostList) idle(ctx context.Context) error {
	for _, e := range l.own {
		if err := endpointIdle(ctx, e.address); err != nil {
			return err
		}
	}
	return nil
}

func (l *hostList) records(ctx context.Context) (out []standin.Record, err error) {
	for _, e := range l.own {
		var records []standin.Record
		if err := testbed.GetJSON(ctx, "http://"+e.address+"/standin/records", &records); err != nil {
			return nil, err
		}
		out = slices.Concat(out, records)
	}
	return out, nil
}

// pauseFor waits, or until the context ends.
func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
