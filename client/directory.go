package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
)

const (
	// avoidFor is how long an address that failed is tried last. It covers the time until the entry hosts detect the failure.
	avoidFor = 2 * time.Second
	// lookupTimeout limits one address lookup, so that there is time for the next host if one does not respond.
	lookupTimeout = time.Second
	// useOutdatedFor is how long addresses are used after their lifetime if no host returns newer ones. Hosts accept key prefixes
	// for at least two epochs of 60 s.
	useOutdatedFor = time.Minute
)

// directory caches the addresses of services for their lifetime, and the failures of addresses.
type directory struct {
	mu       sync.Mutex
	services map[string]cacheEntry
	failures map[string]time.Time // address -> time of the last failure
	lookups  singleflight.Group
}

// cacheEntry is the result of an address lookup.
type cacheEntry struct {
	list    []callerapi.Address
	expires time.Time
}

// markFailed records that an attempt at an address failed, and makes the next request look up the addresses again.
func (d *directory) markFailed(address string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failures == nil {
		d.failures = map[string]time.Time{}
	}
	d.failures[address] = now
	d.expireLocked(now)
}

// expire ends the lifetime of all cached addresses.
func (d *directory) expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expireLocked(now)
}

func (d *directory) expireLocked(now time.Time) {
	for service, k := range d.services {
		if now.Before(k.expires) {
			k.expires = now
			d.services[service] = k
		}
	}
}

// order returns the addresses that did not fail recently, then those that did, each in the order of the list.
func (d *directory) order(list []callerapi.Address, now time.Time) []callerapi.Address {
	d.mu.Lock()
	defer d.mu.Unlock()
	failedRecently := func(a callerapi.Address) int {
		if at, ok := d.failures[a.Address]; ok && now.Sub(at) < avoidFor {
			return 1
		}
		return 0
	}
	out := slices.Clone(list)
	slices.SortStableFunc(out, func(a, b callerapi.Address) int { return failedRecently(a) - failedRecently(b) })
	return out
}

func (d *directory) get(service string) cacheEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.services[service]
}

func (d *directory) put(service string, k cacheEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.services == nil {
		d.services = map[string]cacheEntry{}
	}
	d.services[service] = k
}

// addresses returns the addresses of a service, from the cache or from any host that responds. If no host responds, it uses
// outdated addresses rather than none.
func (c *Client) addresses(ctx context.Context, service string) ([]callerapi.Address, error) {
	old := c.directory.get(service)
	if time.Now().Before(old.expires) {
		return old.list, nil
	}
	// Several calls share the lookup, so it must not end when the context of the call that started it does.
	result := c.directory.lookups.DoChan(service, func() (any, error) {
		return c.lookUp(context.WithoutCancel(ctx), service, old.list)
	})
	var err error
	select {
	case r := <-result:
		if r.Err == nil {
			return r.Val.([]callerapi.Address), nil
		}
		err = r.Err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if time.Now().Before(old.expires.Add(useOutdatedFor)) {
		return old.list, nil
	}
	return nil, err
}

// lookUp looks up the addresses of a service at the configured hosts and at those of the last lookup, until one returns them.
func (c *Client) lookUp(ctx context.Context, service string, old []callerapi.Address) ([]callerapi.Address, error) {
	candidates := make([]callerapi.Address, 0, len(c.cfg.Hosts)+len(old))
	for _, h := range c.cfg.Hosts {
		candidates = append(candidates, callerapi.Address{Address: h})
	}
	var errs []error
	for _, h := range c.directory.order(append(candidates, old...), time.Now()) {
		sent := time.Now()
		got, err := c.lookUpAt(ctx, h.Address, service)
		if err == nil && len(got.Addresses) == 0 {
			err = fmt.Errorf("%s lists no address for %s", h.Address, service)
		}
		if err != nil {
			errs = append(errs, err)
			continue
		}
		// The lifetime starts when the request is sent, because the host may have composed its response right after that.
		c.directory.put(service, cacheEntry{got.Addresses, sent.Add(time.Duration(got.LifetimeMS) * time.Millisecond)})
		return got.Addresses, nil
	}
	return nil, fmt.Errorf("no entry host returned the addresses of %s: %w", service, errors.Join(errs...))
}

func (c *Client) lookUpAt(ctx context.Context, host, service string) (*callerapi.Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: host, Path: callerapi.AddressesPath, RawQuery: url.Values{"service": {service}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	c.authorize(req)
	a, failed := c.pool.send(ctx, host, req, nil)
	if failed != nil {
		c.directory.markFailed(host, time.Now())
		return nil, failed
	}
	if p := decodeProblem(a); p != nil {
		return nil, &Error{RequestID: p.RequestID, Host: host, Attempts: 1, Ran: RanNo, Problem: p}
	}
	if a.status != http.StatusOK {
		return nil, fmt.Errorf("%s responded to the address lookup with status %d", host, a.status)
	}
	var out callerapi.Addresses
	if err := json.Unmarshal(a.body, &out); err != nil {
		return nil, fmt.Errorf("%s responded to the address lookup with invalid JSON: %w", host, err)
	}
	return &out, nil
}
