package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

func init() {
	cases["restart-beside-entries"] = restartBesideEntries
}

const (
	entryBytes    = 250_000 // below recordBytes, 262,144
	entryInterval = 50 * time.Millisecond
	endpointTopic = "keyed.servers"
)

// deploy starts hosts and endpoints, in turn in each of the zones, and waits until they are ready. The first host of each zone is a seed.
func (r *rig) deploy(zones []string, hosts, endpoints int) error {
	r.store.Publish(config(7, 2*time.Second))
	for n := range endpoints {
		if _, err := r.endpoint(n+1, zones[n%len(zones)], 4, 30*time.Millisecond); err != nil {
			return err
		}
	}
	ports := newPorts()
	var seeds []string
	for n := range zones {
		seeds = append(seeds, fmt.Sprintf("127.0.7.%d:%d", n+1, ports[3]))
	}
	for n := range hosts {
		if _, err := r.addHost(zones[n%len(zones)], ports, map[string]any{"seeds": seeds}); err != nil {
			return err
		}
	}
	for _, h := range r.hosts {
		if err := r.start(h); err != nil {
			return err
		}
	}
	for _, h := range r.hosts {
		if err := r.awaitReady(h, 10*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// writeForeign writes entries of another writer, whose bytes cannot be read, to the topic of the endpoints.
func (r *rig) writeForeign(entries int) {
	b := make([]byte, entryBytes)
	for n := range entries {
		for i := range b {
			b[i] = byte(rand.Uint32())
		}
		r.store.PutForeignEntry(fmt.Sprintf("export-%04d", n), append([]byte(nil), b...))
		time.Sleep(entryInterval)
	}
	r.note("another writer has written %d entries of %d bytes; the newest records of the topic have %d bytes", entries, entryBytes, r.paged.bytes(endpointTopic))
}

// restartBesideEntries kills all hosts and starts them again while the topic of the endpoints holds entries of another writer.
func restartBesideEntries(ctx context.Context, r *rig) (int, error) {
	const (
		entries   = 230
		recoverS  = 15 * time.Second
		checked   = 8 * time.Second
		down      = time.Second
		undamaged = 4 * time.Second
	)
	if err := r.deploy([]string{"a", "b", "c"}, 3, 6); err != nil {
		return exitNotRun, err
	}
	c := &clients{rig: r}
	load, stop := context.WithCancel(ctx)
	defer stop()
	begin := time.Now()
	go c.run(load, r.hosts, 50*time.Millisecond, "c")
	time.Sleep(undamaged)
	if trouble() {
		r.writeForeign(entries)
	} else {
		time.Sleep(entries * entryInterval)
	}
	time.Sleep(2 * time.Second)
	fault := time.Now()
	r.note("all processes are killed")
	for _, h := range r.hosts {
		h.cmd.Process.Kill()
	}
	for _, h := range r.hosts {
		<-h.done
	}
	time.Sleep(down)
	for _, h := range r.hosts {
		if err := r.start(h); err != nil {
			return exitNotRun, err
		}
	}
	back := time.Now()
	r.note("all processes are started again")
	time.Sleep(recoverS + checked)
	end := time.Now()
	stop()
	time.Sleep(attemptTime + time.Second)
	before, sentBefore := c.share(begin, fault)
	after, sentAfter := c.share(back.Add(recoverS), end)
	for _, h := range r.hosts {
		r.note("%s: ready %t", h.name, r.awaitReady(h, 100*time.Millisecond) == nil)
	}
	r.note("served before the fault: %.3f of %d; later than %v after the machines were back: %.3f of %d", before, sentBefore, recoverS, after, sentAfter)
	if before < 0.25 {
		return exitNotRun, fmt.Errorf("only %.3f of the requests were served before the fault", before)
	}
	if after < 0.25 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
