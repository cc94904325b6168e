package main

import (
	"context"
	"errors"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/load"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// plannedStop stops hosts and starts them again under load of callers that honour the address lifetime and never repeat.
func (c *chaos) plannedStop(ctx context.Context, hosts int) error {
	from, err := c.singleCallers(c.Callers(), 0)
	if err != nil {
		return err
	}
	defer from.close()
	return c.underSingleCallers(ctx, from, func() (allowed, error) { return nil, c.stopHosts(ctx, hosts) })
}

// allowed tells whether a failure of a request has another cause than a planned stop.
type allowed func(r *load.Result, began, ended time.Time) bool

// underSingleCallers runs a planned stop under load of callers that never repeat, and checks that no request fails because of it:
// none may be left without an answer, or be refused for the state of a host.
func (c *chaos) underSingleCallers(ctx context.Context, from *callers, stop func() (allowed, error)) error {
	loaded, end := context.WithCancel(ctx)
	done := make(chan loadRun, 1)
	plan := load.Plan(c.rng.Uint64(), c.planName("stop"), load.Operations(c.contract, mixes[c.customer]), chaosRate, chaosTail)
	go func() { done <- c.runLoad(loaded, plan, from) }()
	pauseFor(ctx, time.Second)
	excused, err := stop()
	pauseFor(ctx, time.Second)
	end()
	c.judgeStop(<-done, excused)
	return err
}

// judgeStop checks that no request of a load beside a planned stop failed, but for excused ones.
func (c *chaos) judgeStop(run loadRun, excused allowed) {
	for i := range run.results {
		r := &run.results[i]
		if r.Reason == "not_started" {
			continue
		}
		failed := !r.Answered && (r.Reason == load.NoAnswer || strings.HasPrefix(r.Reason, "host_"))
		if intended := run.start.Add(run.plan[i].At); failed && excused != nil && excused(r, intended.Add(r.Late), intended.Add(r.Latency)) {
			c.ledger.Add("requests lost to a frozen host during a planned stop", 1)
			continue
		}
		c.ledger.Check(plannedStop, !failed, "%s at %.2f s of the step: %s at %s", run.plan[i].ID, run.plan[i].At.Seconds(), r.Reason, r.Host)
	}
}

// stopFrozen is how long a peer stays frozen after a planned stop began. With the 2 s that views may differ after it is back
// (disagreement), it knows of the stop within the 3 s that a leaving host waits for it beside the address lifetime (design section 8).
const stopFrozen = time.Second

// stopBesideCut stops a host while a second one is cut off and a third one is frozen.
//
// A failure is excused only if the request was sent to the frozen host and was under way while it was frozen. Callers ask the other
// hosts for addresses and give the only attempt its whole deadline, so that the freeze takes no other request's time. The cut excuses
// nothing: it parts hosts from each other and not from callers, an executor that loses its owner serves from its own share, and a
// caller that never repeats needs no relaying of keys. Further callers ask the frozen host for addresses as soon as it is back, when
// it may still list the leaving one; none of their requests may fail.
func (c *chaos) stopBesideCut(ctx context.Context) error {
	services := c.ownServices()
	stopped := c.ownerAndNext(services[c.rng.IntN(len(services))].Name)[0] // callers prefer it
	others := slices.DeleteFunc(c.rng.Perm(len(c.Hosts)), func(i int) bool { return i == stopped })
	cut, frozen := others[0], c.Hosts[others[1]]
	lead := time.Duration(c.rng.IntN(3)) * 500 * time.Millisecond
	from, err := c.singleCallers(slices.DeleteFunc(c.Callers(), func(address string) bool { return address == frozen.Caller() }), chaosTail)
	if err != nil {
		return err
	}
	defer from.close()
	afterwards, err := c.singleCallers([]string{frozen.Caller()}, chaosTail)
	if err != nil {
		return err
	}
	defer afterwards.close()
	err = c.underSingleCallers(ctx, from, func() (allowed, error) {
		c.watch.apart(cut, 1)
		c.Hosts[cut].Relay.SetMode(testbed.Cut)
		defer func() {
			c.Hosts[cut].Relay.SetMode(testbed.Pass)
			c.watch.apart(cut, -1)
		}()
		c.watch.apart(others[1], 1)
		defer c.watch.apart(others[1], -1)
		since := time.Now()
		err := frozen.Process.Signal(syscall.SIGSTOP)
		pauseFor(ctx, lead)
		err = errors.Join(err, c.Hosts[stopped].Process.Signal(syscall.SIGTERM))
		pauseFor(ctx, stopFrozen)
		until := time.Now()
		err = errors.Join(err, frozen.Process.Signal(syscall.SIGCONT))
		late := load.Plan(c.rng.Uint64(), c.planName("late"), load.Operations(c.contract, mixes[c.customer]), chaosRate, 2*time.Second)
		c.judgeStop(c.runLoad(ctx, late, afterwards), nil)
		ended := c.Hosts[stopped].Process.Wait(ctx)
		c.ledger.Check(plannedStop, ended == nil, "%s: %v", c.Hosts[stopped].Name, ended)
		return func(r *load.Result, began, ended time.Time) bool {
			return r.Host == frozen.Caller() && began.Before(until) && ended.After(since)
		}, err
	})
	return errors.Join(err, c.startHost(stopped))
}

func (c *chaos) stopHosts(ctx context.Context, n int) error {
	stopped := c.rng.Perm(len(c.Hosts))[:n]
	for _, i := range stopped {
		if err := c.Hosts[i].Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	for _, i := range stopped {
		err := c.Hosts[i].Process.Wait(ctx)
		c.ledger.Check(plannedStop, err == nil, "%s: %v", c.Hosts[i].Name, err)
		if err := c.startHost(i); err != nil {
			return err
		}
	}
	return c.awaitReady(ctx)
}
