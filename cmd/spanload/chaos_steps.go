package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// fault is one kind of failure. begin starts it and returns what ends it.
type fault struct {
	name  string
	group string // faults of one group exclude each other
	begin func(*chaos, context.Context) (end func() error, err error)
}

var faults = []fault{
	{"kill", "host", (*chaos).killHost},
	{"freeze", "host", (*chaos).freezeHost},
	{"cut", "network", relayFault(testbed.Cut)},
	{"mute-in", "network", relayFault(testbed.MuteForward)},
	{"mute-out", "network", relayFault(testbed.MuteReturn)},
	{"stall", "network", relayFault(testbed.Stall)},
	{"silent-peers", "silence", (*chaos).silencePeers},
	{"silent-platform", "platform-silence", (*chaos).silencePlatform},
	{"silent-upstream", "upstream", upstreamFault(standin.Faults{Silence: standin.SilenceRequest}, standin.Faults{Silence: standin.SilenceResponse})},
	{"slow-upstream", "upstream", upstreamFault(standin.Faults{SlowFactor: 8, SlowForMS: 5000})},
	{"failing-upstream", "upstream", upstreamFault(standin.Faults{FailFast: true})},
	{"cut-answers", "upstream", upstreamFault(standin.Faults{CutBodies: true})},
	{"noisy-upstream", "upstream", upstreamFault(standin.Faults{Noise: standin.Noise{PerSecond: 2, Factor: 40, MS: 300}})},
	{"failing-manifest", "manifest", (*chaos).failManifest},
	{"drain-upstream", "drain", (*chaos).drainUpstream},
	{"return-upstream", "manifest", (*chaos).returnUpstream},
	{"log-down", "log", logFault(standin.LogFaults{Down: true})},
	{"log-slow", "log", logFault(standin.LogFaults{DelayMS: 400, AppendsPerSecond: 20})},
	{"log-lost-answers", "log", logFault(standin.LogFaults{LoseAnswers: 2})},
	{"list-down", "list", listFault(standin.HostListFaults{Outage: true})},
	{"list-lag", "list", listFault(standin.HostListFaults{LagSeconds: 10})},
}

// special steps run without other faults, because their checks blame one cause.
var specials = []struct {
	name string
	run  func(*chaos, context.Context) error
}{
	{"stop-one", func(c *chaos, ctx context.Context) error { return c.plannedStop(ctx, 1) }},
	{"stop-half", func(c *chaos, ctx context.Context) error { return c.plannedStop(ctx, chaosHosts/2) }},
	{"stop-beside-cut", (*chaos).stopBesideCut},
	{"restore-log", (*chaos).restoreLog},
	{"overload", (*chaos).overload},
	{"retry-storm", (*chaos).retryStorm},
	{"failing-endpoint", (*chaos).failingEndpoint},
	{"probe-churn", (*chaos).probeChurn},
	{"broken-callers", (*chaos).brokenCallers},
	{"neighbour", func(c *chaos, ctx context.Context) error { return c.overContract(ctx, false) }},
	{"rate-churn", func(c *chaos, ctx context.Context) error { return c.overContract(ctx, true) }},
}

func stepNames() (out []string) {
	for _, s := range specials {
		out = append(out, s.name)
	}
	for _, f := range faults {
		out = append(out, f.name)
	}
	return out
}

const (
	faultTime = 4 * time.Second // longer than every timeout between hosts and every deadline of a request
	// settleTimeout bounds the return of all hosts after a step.
	settleTimeout = 40 * time.Second
)

// schedule runs rounds of steps until the duration has passed. A round has each special step and, in between, faults
// singly, twice in a row and together, all in an order that the seed decides.
func (c *chaos) schedule(duration time.Duration, only []string) error {
	wanted := func(name string) bool { return len(only) == 0 || slices.Contains(only, name) }
	until := time.Now().Add(duration)
	for time.Now().Before(until) && c.ctx.Err() == nil {
		var steps []func() error
		for _, s := range specials {
			if wanted(s.name) {
				steps = append(steps, func() error { return c.step(s.name, func(ctx context.Context) error { return s.run(c, ctx) }) })
			}
		}
		for _, group := range c.groupFaults(wanted) {
			steps = append(steps, func() error { return c.faultStep(group) })
		}
		c.rng.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
		for i, run := range steps {
			if c.ctx.Err() != nil || time.Now().After(until) {
				fmt.Printf("%6.1f s  round ended, %d of its %d steps were left out\n", time.Since(c.began).Seconds(), len(steps)-i, len(steps))
				break
			}
			if err := run(); err != nil {
				return err
			}
		}
	}
	return c.ctx.Err()
}

// groupFaults deals all wanted faults out to steps of one to four faults.
func (c *chaos) groupFaults(wanted func(string) bool) (out [][]fault) {
	var left []fault
	for _, f := range faults {
		if wanted(f.name) {
			left = append(left, f)
		}
	}
	c.rng.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
	for len(left) > 0 {
		size := 1 + c.rng.IntN(4)
		var group, rest []fault
		for _, f := range left {
			taken := slices.ContainsFunc(group, func(g fault) bool { return g.group == f.group })
			if len(group) < size && !taken {
				group = append(group, f)
			} else {
				rest = append(rest, f)
			}
		}
		out, left = append(out, group), rest
	}
	return out
}

// step runs one step and waits until all hosts serve again.
func (c *chaos) step(name string, run func(context.Context) error) error {
	fmt.Printf("%6.1f s  %s\n", time.Since(c.began).Seconds(), name)
	ctx, cancel := context.WithTimeout(c.ctx, chaosTail)
	defer cancel()
	from, starts := time.Now(), c.watch.totalStarts()
	defer func() {
		c.spans = append(c.spans, stepSpan{name, from, time.Now(), len(c.Hosts) + c.watch.totalStarts() - starts})
	}()
	if err := run(ctx); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	ctx, cancel = context.WithTimeout(c.ctx, settleTimeout)
	defer cancel()
	if err := c.awaitReady(ctx); err != nil {
		return fmt.Errorf("after %s: %w", name, err)
	}
	return nil
}

// faultStep runs faults together, half of the time twice, while operators race.
func (c *chaos) faultStep(group []fault) error {
	var names []string
	for _, f := range group {
		names = append(names, f.name)
	}
	times := 1 + c.rng.IntN(2)
	return c.step(fmt.Sprintf("%s, %d times", strings.Join(names, " + "), times), func(ctx context.Context) (err error) {
		for range times {
			var ends []func() error
			for _, f := range group {
				end, beginErr := f.begin(c, ctx)
				if beginErr != nil {
					err = errors.Join(err, fmt.Errorf("%s: %w", f.name, beginErr))
					continue
				}
				ends = append(ends, end)
			}
			c.race(ctx)
			pauseFor(ctx, faultTime)
			c.race(ctx)
			for _, end := range ends {
				err = errors.Join(err, end())
			}
			pauseFor(ctx, time.Second)
		}
		return err
	})
}

func (c *chaos) killHost(context.Context) (func() error, error) {
	i := c.rng.IntN(len(c.Hosts))
	c.watch.apart(i, 1)
	c.Hosts[i].Process.Kill()
	return func() error {
		c.watch.apart(i, -1)
		return c.startHost(i)
	}, nil
}

func (c *chaos) freezeHost(context.Context) (func() error, error) {
	i := c.rng.IntN(len(c.Hosts))
	c.watch.apart(i, 1)
	err := c.Hosts[i].Process.Signal(syscall.SIGSTOP)
	return func() error {
		defer c.watch.apart(i, -1)
		return c.Hosts[i].Process.Signal(syscall.SIGCONT)
	}, err
}

// relayFault breaks what the other hosts send to one host, or what it answers.
func relayFault(mode testbed.Mode) func(*chaos, context.Context) (func() error, error) {
	return func(c *chaos, _ context.Context) (func() error, error) {
		i := c.rng.IntN(len(c.Hosts))
		c.watch.apart(i, 1)
		c.Hosts[i].Relay.SetMode(mode)
		return func() error {
			c.Hosts[i].Relay.SetMode(testbed.Pass)
			c.watch.apart(i, -1)
			return nil
		}, nil
	}
}

func nothing() error { return nil }

func (c *chaos) silencePeers(context.Context) (func() error, error) {
	for _, h := range c.Hosts {
		h.Relay.Silence()
	}
	return nothing, nil
}

func (c *chaos) silencePlatform(context.Context) (func() error, error) {
	c.platform.Silence()
	return nothing, nil
}

// ownServices returns the services of the user's shape, without archive.
func (c *chaos) ownServices() []testbed.ServiceShape {
	return c.Config.Shape.Services[:len(c.contract.Services)]
}

// upstreamFault gives one endpoint of each service one of the faults.
func upstreamFault(kinds ...standin.Faults) func(*chaos, context.Context) (func() error, error) {
	return func(c *chaos, ctx context.Context) (func() error, error) {
		var ends []func() error
		for _, s := range c.ownServices() {
			i := c.rng.IntN(s.Endpoints)
			if c.list.isLeft(c.Upstreams[s.Name][i]) {
				continue // its faults say that it is leaving
			}
			if err := c.SetFaults(ctx, s.Name, i, kinds[c.rng.IntN(len(kinds))]); err != nil {
				return nothing, err
			}
			ends = append(ends, func() error { return c.SetFaults(ctx, s.Name, i, standin.Faults{}) })
		}
		return func() (err error) {
			for _, end := range ends {
				err = errors.Join(err, end())
			}
			return err
		}, nil
	}
}

// failManifest makes an endpoint fail that only non-idempotent requests use, so that its way back needs probes.
func (c *chaos) failManifest(ctx context.Context) (func() error, error) {
	url := "http://" + c.list.own[c.rng.IntN(len(c.list.own))].address + "/standin/faults"
	err := testbed.PutJSON(ctx, url, standin.Faults{FailFast: true})
	return func() error {
		pauseFor(ctx, 2*faultTime) // the first probe follows after 2 s without a trial, and the budget is small
		return testbed.PutJSON(ctx, url, standin.Faults{})
	}, err
}

// drainUpstream lets an endpoint of the shape leave for good, told by the host list, by itself, or by both. It goes on
// running what it gets, so that work which still arrives shows.
func (c *chaos) drainUpstream(ctx context.Context) (func() error, error) {
	s := c.ownServices()[c.rng.IntN(len(c.ownServices()))]
	i := c.rng.IntN(s.Endpoints)
	address := c.Upstreams[s.Name][i]
	c.list.mu.Lock()
	n := len(c.list.left)
	c.list.mu.Unlock()
	if n >= len(c.ownServices())*2 {
		return nothing, nil // enough endpoints are gone
	}
	who := c.rng.IntN(3)
	if who != 0 {
		if err := c.SetFaults(ctx, s.Name, i, standin.Faults{Leaving: true, LeaveGraceMS: time.Hour.Milliseconds()}); err != nil {
			return nothing, err
		}
	}
	c.ledger.Add("upstreams that left", 1)
	c.list.mu.Lock()
	c.list.left[address] = true
	c.list.mu.Unlock()
	if who == 1 {
		return nothing, nil // the list says live until somebody writes it again
	}
	return nothing, c.list.put(ctx)
}

func (c *chaos) returnUpstream(ctx context.Context) (func() error, error) {
	e := c.list.own[c.rng.IntN(len(c.list.own))]
	done := make(chan error, 1)
	go func() { done <- c.list.comeBack(ctx, e, leavingBound+faultTime) }()
	return func() error { return <-done }, nil
}

func logFault(f standin.LogFaults) func(*chaos, context.Context) (func() error, error) {
	return func(c *chaos, ctx context.Context) (func() error, error) {
		return func() error { return c.setLog(ctx, standin.LogFaults{}) }, c.setLog(ctx, f)
	}
}

func listFault(f standin.HostListFaults) func(*chaos, context.Context) (func() error, error) {
	return func(c *chaos, ctx context.Context) (func() error, error) {
		return func() error { return c.setHostList(ctx, standin.HostListFaults{}) }, c.setHostList(ctx, f)
	}
}

// restoreLog sets the log back by some records after publications. It publishes nothing until the hosts have had time to
// append what was lost: a change that conflicts with a restore is not guaranteed to stay.
func (c *chaos) restoreLog(ctx context.Context) error {
	c.race(ctx)
	pauseFor(ctx, time.Second)
	end := int64(2 + c.rng.IntN(2))
	if err := c.setLog(ctx, standin.LogFaults{TruncateTo: &end}); err != nil {
		return err
	}
	pauseFor(ctx, inForceBound+2*time.Second)
	i := c.rng.IntN(len(c.Hosts)) // a fresh reader must find everything in the log or with its peers
	c.Hosts[i].Process.Kill()
	if err := c.startHost(i); err != nil {
		return err
	}
	pauseFor(ctx, inForceBound+2*time.Second)
	return nil
}
