package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/load"
	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
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

const (
	overloadTime = 10 * time.Second
	// recoveryTime is the bound of the design for the tail, and calmTime the span that is measured before and after.
	recoveryTime = time.Second
	calmTime     = 5 * time.Second
	// scheduling covers what a busy machine adds to the tail of a few hundred requests.
	scheduling = 250 * time.Millisecond
)

// overload offers twice the capacity of the service that has urgent requests, with other requests, beside some urgent ones.
func (c *chaos) overload(ctx context.Context) error {
	urgent, rest := c.urgentOperations()
	calm := func(name string, length time.Duration) []load.Request {
		return load.Plan(c.rng.Uint64(), c.planName(name), []load.Operation{urgent, rest}, chaosRate/2, length)
	}
	before := c.runLoad(ctx, calm("before", calmTime), c.steady)
	done := make(chan loadRun, 1)
	checks := load.Plan(c.rng.Uint64(), c.planName("urgent"), []load.Operation{urgent}, 20, overloadTime)
	go func() { done <- c.runLoad(ctx, checks, c.steady) }()
	others := c.runLoad(ctx, load.Plan(c.rng.Uint64(), c.planName("overload"), []load.Operation{rest}, 2*chaosCapacity, overloadTime), c.steady)
	run := <-done
	over := 0
	for _, r := range others.results {
		if !r.Answered {
			over++
		}
	}
	c.ledger.Add("requests of overloads that were not answered", over)
	if over > 0 { // otherwise the machine did not offer enough for an overload
		for i, r := range run.results {
			c.ledger.Check(urgentFirst, r.Answered, "%s: %s, ran %s", run.plan[i].ID, r.Reason, r.Ran)
		}
	}
	pauseFor(ctx, recoveryTime)
	after := c.runLoad(ctx, calm("after", calmTime), c.steady)
	was, is := p99(before), p99(after)
	c.ledger.Check(recovery, is <= 2*was+scheduling, "p99 was %.0f ms before the overload and is %.0f ms after it", was.Seconds()*1000, is.Seconds()*1000)
	return nil
}

// urgentOperations returns an urgent and another idempotent operation of one service.
func (c *chaos) urgentOperations() (urgent, rest load.Operation) {
	ops := load.Operations(c.contract, mixes[c.customer])
	for _, op := range ops {
		if op.Class == contract.Urgent {
			urgent = op
		}
	}
	for _, op := range ops {
		if op.Service == urgent.Service && op.Class != contract.Urgent && op.Idempotent {
			rest = op
		}
	}
	return urgent, rest
}

// p99 returns the latency of the slowest hundredth. A request without an answer counts with its time to the end, and at
// least its deadline.
func p99(run loadRun) time.Duration {
	var all []time.Duration
	for i, r := range run.results {
		d := r.Latency
		if !r.Answered {
			d = max(d, time.Duration(run.plan[i].Op.DeadlineMS)*time.Millisecond)
		}
		all = append(all, d)
	}
	return time.Duration(load.Summarize(all).P99 * float64(time.Millisecond))
}

const (
	floodRate = 300 // six times the neighbour's contract
	floodTime = 8 * time.Second
	// disagreement is how long the hosts may differ about a service's owner after a host went or came (design section 1.3).
	disagreement = 2 * time.Second
)

// overContract lets the neighbour exceed its contract on the service that both customers use, with or without hosts that go
// and come. It checks what upstreams ran for the neighbour, and that the other customer is not refused for its sake.
func (c *chaos) overContract(ctx context.Context, churn bool) error {
	var shared load.Operation
	for _, op := range load.Operations(c.harbour, mixes[c.customer]) {
		if op.Service == c.harbour.Services[0].Name && op.Idempotent {
			shared = op
		}
	}
	name := c.planName("flood")
	start := time.Now()
	done := make(chan error, 1)
	changes := 0
	if churn {
		changes = 4 // the owner and its successor go and come
		go func() { done <- c.churn(ctx, c.ownerAndNext(shared.Service)) }()
	} else {
		done <- nil
	}
	quiet := make(chan loadRun, 1)
	within := load.Plan(c.rng.Uint64(), c.planName("within"), c.operationsOf(c.contract.Services[0].Name), chaosRate/2, floodTime)
	go func() { quiet <- c.runLoad(ctx, within, c.steady) }()
	c.runLoad(ctx, load.Plan(c.rng.Uint64(), name, []load.Operation{shared}, floodRate, floodTime), c.neighbor)
	run := <-quiet
	if err := <-done; err != nil {
		return err
	}
	for i, r := range run.results {
		harmed := !r.Answered && slices.Contains([]string{"queue_full", "displaced", "rate_exceeded"}, r.Reason)
		if !churn { // a new owner's buckets start empty, so a churn may refuse for a moment whoever calls
			c.ledger.Check(fairness, !harmed, "%s within its contract: %s", run.plan[i].ID, r.Reason)
		}
	}
	records, err := c.Records(ctx)
	if err != nil {
		return err
	}
	ran := 0
	for _, rec := range records {
		if strings.HasPrefix(rec.RequestID, name+"-") {
			ran++
		}
	}
	allowed := rateBound(time.Since(start), changes)
	c.ledger.Add("flood requests run", ran)
	c.ledger.Check(rateSum, float64(ran) <= allowed, "upstreams ran %d requests of %s in %.1f s with %d changes of hosts, %.0f are allowed", ran, name, time.Since(start).Seconds(), changes, allowed)
	return nil
}

// rateBound returns the most requests of the neighbour that upstreams may run in a time. During each disagreement about
// owners the new owner and the executors' parts admit the rate once more each; the parts' buckets hold one burst more. A
// retry of an executor takes no token.
func rateBound(length time.Duration, changes int) float64 {
	extra := disagreement.Seconds() * 2 * float64(changes)
	bursts := 1 + 2*float64(min(changes, 1))
	retries := 1.0
	if changes > 0 {
		retries = 1.1
	}
	return retries * (neighbourRate*(length.Seconds()+extra) + bursts*neighbourBurst)
}

// churn kills hosts one after the other and starts each again.
func (c *chaos) churn(ctx context.Context, hosts []int) error {
	for _, i := range hosts {
		c.watch.apart(i, 1)
		c.Hosts[i].Process.Kill()
		pauseFor(ctx, floodTime/4)
		c.watch.apart(i, -1)
		if err := c.startHost(i); err != nil {
			return err
		}
		pauseFor(ctx, floodTime/8)
	}
	return nil
}
