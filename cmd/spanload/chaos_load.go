package main

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/load"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
)

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
