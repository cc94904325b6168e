package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["crowd-memory"] = crowdMemory
	cases["crowd-lockout"] = crowdLockout
}

// neededDescriptors is the number of file descriptors that the clients of a crowd need.
const neededDescriptors = 8000

// checkDescriptors returns an error if this process may not open enough connections.
func checkDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur < neededDescriptors {
		return fmt.Errorf("the process may open %d files; the case needs %d", limit.Cur, neededDescriptors)
	}
	return nil
}

// sentAhead returns requests that a client sends ahead on one connection, on a path without a route.
func sentAhead(client, requests int) string {
	var b strings.Builder
	for n := range requests {
		fmt.Fprintf(&b, "GET /other/%d HTTP/1.1\r\nHost: %s\r\nRequest-Attempt-Id: x-%d-%d\r\n\r\n", n, routeHost, client, n)
	}
	return b.String()
}

// crowd opens connections to a host, sends the same number of requests on each, and reads no answers. A client whose connection has ended opens another one.
func (r *rig) crowd(ctx context.Context, h *gatewayHost, clients, requests int) {
	r.crowdAt(ctx, h.caller, clients, func(n int) string { return sentAhead(n, requests) })
}

// crowdAt is crowd for any address and what each client sends.
func (r *rig) crowdAt(ctx context.Context, address string, clients int, text func(n int) string) {
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			// Clients come from many addresses.
			d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 9, byte(1+n%200))}, Timeout: time.Second}
			for ctx.Err() == nil {
				if c, err := d.DialContext(ctx, "tcp", address); err == nil {
					ended := make(chan struct{})
					stop := context.AfterFunc(ctx, func() { c.Close() })
					go func() {
						defer close(ended)
						if _, err := io.WriteString(c, text(n)); err != nil {
							return
						}
						awaitEnd(ctx, c)
					}()
					<-ended
					stop()
					c.Close()
				}
				select {
				case <-time.After(200 * time.Millisecond):
				case <-ctx.Done():
				}
			}
		})
		time.Sleep(time.Millisecond / 2)
	}
	wg.Wait()
}

// awaitEnd waits until the host has ended the connection, without reading.
func awaitEnd(ctx context.Context, c net.Conn) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		if !established(c) {
			return
		}
	}
}

// crowdMemory sends more requests ahead than two hosts read. The platform's limit of memory is in force.
func crowdMemory(ctx context.Context, r *rig) (int, error) {
	const (
		clientsPerHost = 2400
		ordinary       = 20
		requests       = 2000
		pressed        = 35 * time.Second
	)
	if err := checkDescriptors(); err != nil {
		return exitNotRun, err
	}
	if err := r.deploy([]string{"a"}, 2, 4); err != nil {
		return exitNotRun, err
	}
	watched, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	u := newUnread()
	go u.watch(watched)
	w := r.watchMemory(watched, func(h *gatewayHost) int64 { return u.of(h.caller) })
	c := &clients{rig: r}
	load, stop := context.WithCancel(ctx)
	defer stop()
	go c.run(load, r.hosts, 100*time.Millisecond, "c")
	time.Sleep(2 * time.Second)
	n, each := clientsPerHost, requests
	if !trouble() {
		n, each = ordinary, 2 // as clients that send a second request before the first has been answered
	}
	r.note("%d clients for each host send %d requests ahead each and read no answers", n, each)
	press, stopPress := context.WithTimeout(ctx, pressed)
	defer stopPress()
	var wg sync.WaitGroup
	for _, h := range r.hosts {
		wg.Go(func() { r.crowd(press, h, n, each) })
	}
	wg.Wait()
	stop()
	time.Sleep(attemptTime + time.Second)
	stopWatch()
	w.mu.Lock()
	defer w.mu.Unlock()
	machines := 0
	for _, h := range r.hosts {
		r.note("%s: at most %d MiB of memory and unread bytes, killed %d times for it", h.name, w.peak[h.name]>>20, w.killed[h.name])
		if w.killed[h.name] >= 3 {
			machines++
		}
	}
	if machines >= 2 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// crowdLockout fills the connections of a host with clients that send a few requests ahead, and has ordinary clients try.
func crowdLockout(ctx context.Context, r *rig) (int, error) {
	const (
		crowdClients = 2700
		requests     = 100 // 8 KB
		tries        = 30 * time.Second
		window       = 3 * time.Second // stabilityWindowMs
		minClients   = 7
	)
	if err := checkDescriptors(); err != nil {
		return exitNotRun, err
	}
	if err := r.deploy([]string{"a"}, 1, 4); err != nil {
		return exitNotRun, err
	}
	h := r.hosts[0]
	n, each := crowdClients, requests
	if !trouble() {
		n, each = 20, 2
	}
	r.note("%d clients send %d requests ahead each and read no answers", n, each)
	press, stopPress := context.WithCancel(ctx)
	defer stopPress()
	go r.crowd(press, h, n, each)
	time.Sleep(5 * time.Second)
	c := &clients{rig: r}
	load, stop := context.WithTimeout(ctx, tries)
	defer stop()
	begin := time.Now()
	go func() {
		for load.Err() == nil { // the platform's own checks
			resp, err := http.Get("http://" + h.ready + "/ready")
			status := 0
			if err == nil {
				status = resp.StatusCode
				resp.Body.Close()
			}
			r.note("ready check: %d", status)
			time.Sleep(time.Second)
		}
	}()
	c.run(load, []*gatewayHost{h}, 100*time.Millisecond, "c") // each attempt is one client with a connection of its own
	end := time.Now()
	time.Sleep(attemptTime + time.Second)
	stopPress()
	longest, without := time.Duration(0), 0
	last, tried := begin, 0
	c.mu.Lock()
	defer c.mu.Unlock()
	total, served := len(c.all), 0
	for _, a := range sortedAttempts(c.all) {
		if !a.whole {
			tried++
			if gap := a.sentAt.Sub(last); gap > longest {
				longest, without = gap, tried
			}
			continue
		}
		served++
		last, tried = a.sentAt, 0
	}
	ready := r.awaitReady(h, time.Second) == nil
	r.note("ordinary clients: %d of %d served in %v; longest time without one that was: %v, in which %d tried; ready %t", served, total, end.Sub(begin).Round(time.Second),
		longest.Round(time.Millisecond), without, ready)
	if ready && longest > window && without >= minClients {
		return exitBroken, nil
	}
	return exitHeld, nil
}
