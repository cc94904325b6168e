package main

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/load"
	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// retryDepth is the retries that one host process can hold for a customer and service (design section 6). A process starts with
// all of them.
const retryDepth = 10

// stepSpan is when a step ran, and how many host processes there were in it.
type stepSpan struct {
	name      string
	from, to  time.Time
	processes int
}

// retryBound returns the most requests of one customer to one service that upstreams may receive because of some first attempts.
//
// A host sends each first attempt to an upstream at most once. Everything else, the further sends of an executor and the
// callers' repeats alike, takes a token. A process of a host has at most retryDepth of them at the start of a time, and gains
// retry_percent of one for each first attempt that it gets during the time.
func retryBound(own, earning, retryPercent, processes int) float64 {
	return float64(own) + float64(earning*retryPercent)/100 + float64(retryDepth*processes)
}

// madeRequest is one request that a caller made, at the time at which it began.
type madeRequest struct {
	*load.Request
	began  time.Time
	result *load.Result
}

// made returns the requests of all runs for which callers made a first attempt, by customer and service.
func (c *chaos) made() map[limits.Key][]madeRequest {
	out := map[limits.Key][]madeRequest{}
	for _, run := range c.runs {
		for i, r := range run.results {
			if r.Attempts == 0 {
				continue // nothing was sent, or the plan ended before
			}
			p := &run.plan[i]
			key := limits.Key{Customer: p.Op.Customer, Service: p.Op.Service}
			out[key] = append(out[key], madeRequest{p, run.start.Add(p.At + r.Late), &run.results[i]})
		}
	}
	return out
}

// checkRetries compares, for each step, customer and service, what upstreams received with what the retry allowance covers.
func (c *chaos) checkRetries(arrivals map[string][]standin.Arrival) {
	received := map[string]int{}
	for _, list := range arrivals {
		for _, a := range list {
			if !a.Probe {
				received[a.RequestID]++
			}
		}
	}
	for key, all := range c.made() {
		percent := c.retryPercent(key)
		for _, s := range c.spans {
			own, earning, got := 0, 0, 0
			for _, r := range all {
				if r.began.After(s.to) {
					continue
				}
				// A first attempt that began before the step can reach a host in it for as long as its deadline lasts. One that waited
				// unread at a frozen host or a stalled relay was read when that fault ended, within its own step.
				deadline := time.Duration(r.Op.DeadlineMS) * time.Millisecond
				if r.began.Add(deadline).After(s.from) {
					earning++
				}
				if !r.began.Before(s.from) {
					own++
					got += received[r.ID]
				}
			}
			if own == 0 {
				continue
			}
			c.ledger.Add("requests received beyond first attempts", max(0, got-own))
			allowed := retryBound(own, earning, percent, s.processes)
			c.ledger.Check(retries, float64(got) <= allowed, "%s: upstreams of %s received %d requests for %d first attempts of %s, %.0f are allowed with %d host processes",
				s.name, key.Service, got, own, key.Customer, allowed, s.processes)
		}
	}
}

func (c *chaos) retryPercent(key limits.Key) int {
	for _, doc := range []*contract.Contract{c.contract, c.harbour} {
		if i := slices.IndexFunc(doc.Services, func(s contract.Service) bool { return s.Name == key.Service }); doc.Customer == key.Customer && i >= 0 {
			return doc.Services[i].RetryPercent
		}
	}
	return 0
}

// allArrivals returns what reached all endpoints, by address, those whose processes have ended included.
func (c *chaos) allArrivals(ctx context.Context) (map[string][]standin.Arrival, error) {
	out, err := c.Arrivals(ctx)
	if err != nil {
		return nil, err
	}
	for _, e := range c.list.own {
		var list []standin.Arrival
		if err := testbed.GetJSON(ctx, "http://"+e.address+"/standin/arrivals", &list); err != nil {
			return nil, err
		}
		out[e.address] = slices.Concat(c.keptArrivals[e.address], list)
	}
	return out, nil
}

// stormTime is how long each kind of failure of a retry storm lasts: longer than the deadline of an idempotent request.
const stormTime = 3 * time.Second

// retryStorm lets all endpoints of a service fail in ways that executors and callers answer with retries.
func (c *chaos) retryStorm(ctx context.Context) (err error) {
	s := c.contract.Services[len(c.contract.Services)-1]
	for _, f := range []standin.Faults{{Shed: true}, {CutBodies: true}} {
		for _, set := range []standin.Faults{f, {}} {
			for i, address := range c.Upstreams[s.Name] {
				if !c.list.isLeft(address) { // its faults say that it is leaving
					err = errors.Join(err, c.SetFaults(ctx, s.Name, i, set))
				}
			}
			if set == f {
				c.runLoad(ctx, load.Plan(c.rng.Uint64(), c.planName("storm"), c.operationsOf(s.Name), chaosRate, stormTime), c.steady)
			}
		}
		pauseFor(ctx, time.Second)
	}
	return err
}
