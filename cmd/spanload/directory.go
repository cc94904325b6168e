package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

const (
	directoryTimeout = 250 * time.Millisecond // of one question; a frozen host does not answer
	directoryRefresh = 500 * time.Millisecond
)

// spreadDirectory answers callers' questions for addresses in place of the hosts, so that callers do not follow the order in
// which hosts list them: caller k prefers host k. Requests themselves still go from callers to hosts directly.
type spreadDirectory struct {
	customer string
	service  string // asked about; key prefixes and addresses are the same for all services
	hosts    []string
	known    atomic.Pointer[map[string]callerapi.Address] // by address
	servers  []*http.Server
	urls     []string // address of caller k's directory
	stop     context.CancelFunc
	wg       sync.WaitGroup
}

// newSpreadDirectory returns a directory for as many callers as hosts, once it knows all hosts.
func newSpreadDirectory(ctx context.Context, customer, service string, hosts []string) (*spreadDirectory, error) {
	d := &spreadDirectory{customer: customer, service: service, hosts: hosts}
	d.known.Store(&map[string]callerapi.Address{})
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err := testbed.Eventually(starting, func() error {
		if known := d.ask(starting); known < len(hosts) {
			return fmt.Errorf("the hosts list %d of %d hosts", known, len(hosts))
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	for k := range hosts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			d.close()
			return nil, err
		}
		server := &http.Server{Handler: d.handler(k)}
		d.servers, d.urls = append(d.servers, server), append(d.urls, l.Addr().String())
		d.wg.Go(func() { server.Serve(l) })
	}
	refreshing, stop := context.WithCancel(ctx)
	d.stop = stop
	d.wg.Go(func() { d.refresh(refreshing) })
	return d, nil
}

func (d *spreadDirectory) close() {
	if d.stop != nil {
		d.stop()
	}
	for _, s := range d.servers {
		s.Close()
	}
	d.wg.Wait()
}

// refresh keeps key prefixes up to date.
func (d *spreadDirectory) refresh(ctx context.Context) {
	for wait(ctx, directoryRefresh) == nil {
		d.ask(ctx)
	}
}

// ask asks each host once and returns the number of known hosts. A host lists at most 4 hosts, so that it may take several
// calls to know all. A host that is no longer listed stays with its last address and key prefix: callers fail over.
func (d *spreadDirectory) ask(ctx context.Context) int {
	known := maps.Clone(*d.known.Load())
	for _, h := range d.hosts {
		bounded, cancel := context.WithTimeout(ctx, directoryTimeout)
		got, err := askAddresses(bounded, h, d.customer, d.service)
		cancel()
		if err != nil {
			continue
		}
		for _, a := range got.Addresses {
			known[a.Address] = a
		}
	}
	d.known.Store(&known)
	return len(known)
}

func (d *spreadDirectory) handler(k int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		known := *d.known.Load()
		out := callerapi.Addresses{Service: r.URL.Query().Get("service"), LifetimeMS: directoryRefresh.Milliseconds()}
		for _, h := range slices.Concat(d.hosts[k:], d.hosts[:k]) {
			out.Addresses = append(out.Addresses, known[h])
		}
		json.NewEncoder(w).Encode(out)
	})
}

// askAddresses asks a host for the addresses of a service.
func askAddresses(ctx context.Context, host, customer, service string) (*callerapi.Addresses, error) {
	url := fmt.Sprintf("http://%s%s?service=%s", host, callerapi.AddressesPath, service)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+customer+"."+testbed.CustomerSecret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var got callerapi.Addresses
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		return nil, err
	}
	if len(got.Addresses) == 0 {
		return nil, fmt.Errorf("%s lists no host", url)
	}
	return &got, nil
}
