package main

import (
	"context"
	"sync"
	"syscall"
	"time"
)

func init() { cases["state-beside-entries"] = stateBesideEntries }

// stop ends a host as planned work and waits for its end.
func (r *rig) stop(h *gatewayHost) {
	r.note("%s gets SIGTERM", h.name)
	h.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-h.done:
	case <-time.After(6 * time.Second):
		r.note("%s is killed after graceS", h.name)
		h.cmd.Process.Kill()
		<-h.done
	}
}

// stateBesideEntries has hosts restart while the topic of the endpoints holds entries of another writer, less than a host refuses to read. The platform's limit of
// memory is in force. What counts are the processes that nobody has stopped.
func stateBesideEntries(ctx context.Context, r *rig) (int, error) {
	const (
		entries = 198
		rounds  = 7
	)
	zones := []string{"a", "b"}
	if err := r.deploy(zones, 4, 4); err != nil {
		return exitNotRun, err
	}
	watched, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	w := r.watchMemory(watched, nil)
	c := &clients{rig: r}
	load, stop := context.WithCancel(ctx)
	defer stop()
	go c.run(load, r.hosts, 50*time.Millisecond, "c")
	time.Sleep(2 * time.Second)
	if trouble() {
		r.writeForeign(entries)
	} else {
		time.Sleep(entries * entryInterval)
	}
	seeds, others := r.hosts[:len(zones)], r.hosts[len(zones):]
	var stopping sync.WaitGroup
	for _, h := range seeds { // planned work: the seeds read the store when they start
		stopping.Go(func() {
			w.pause(h, true)
			r.stop(h)
			time.Sleep(restartDelay)
			if err := r.start(h); err != nil {
				r.note("%v", err)
			}
			w.pause(h, false)
		})
	}
	stopping.Wait()
	time.Sleep(5 * time.Second)
	for round := range rounds {
		r.note("round %d: %d of %d hosts are killed", round+1, len(others), len(r.hosts))
		for _, h := range others {
			w.pause(h, true)
			h.cmd.Process.Kill()
		}
		for _, h := range others {
			<-h.done
		}
		time.Sleep(time.Second)
		for _, h := range others {
			if err := r.start(h); err != nil {
				return exitNotRun, err
			}
			w.pause(h, false)
		}
		time.Sleep(8 * time.Second)
	}
	stop()
	time.Sleep(attemptTime + time.Second)
	stopWatch()
	w.mu.Lock()
	defer w.mu.Unlock()
	machines := 0
	for _, h := range r.hosts {
		r.note("%s: at most %d MiB, killed %d times for it", h.name, w.peak[h.name]>>20, w.killed[h.name])
		if w.killed[h.name] >= 3 {
			machines++
		}
	}
	if machines >= 2 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
