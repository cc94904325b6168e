package main

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/load"
	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
)

// The service archive has only non-idempotent requests and many endpoints, half of which fail during the whole run. Their way back
// needs probes all the time, whatever else fails.
const (
	archive          = "archive"
	archiveEndpoints = 40
	archiveSlots     = 2
	archiveRate      = 40
	archiveProbes    = 0.5 // a second and upstream, 0.1 by each host; without the budget a host would send more than one a second
	// lateHealth is longer than a probe lasts, so that its answer never comes.
	lateHealth = 2 * time.Second
	// probeDepth is the probes that a host process can save up for one upstream (design section 5.4).
	probeDepth = 1
	// probeTransit bounds the time from taking a token to the arrival: a probe lasts 1 s, and the host may be frozen in between.
	probeTransit = time.Second + faultTime
)

func archiveService() contract.Service {
	return contract.Service{Name: archive, RatePerSecond: 400, Burst: 100, Concurrent: archiveEndpoints * archiveSlots, RetryPercent: 10,
		Operations: []contract.Operation{{Name: "file", Method: "POST", Path: "/documents", Class: contract.Normal, DeadlineMS: 1500}},
		Measuring:  contract.Measuring{ProbesPerSecondPerUpstream: archiveProbes, EntryHostsMax: chaosHosts}}
}

// failArchive lets half of the endpoints of archive fail until the end of the run. The health endpoints of some lie, so that they
// are readmitted and fail again, and those of others answer too late.
func (c *chaos) failArchive(ctx context.Context) error {
	kinds := []standin.Faults{{FailFast: true}, {FailFast: true, HealthOK: true}, {FailFast: true, HealthOK: true, HealthDelayMS: lateHealth.Milliseconds()},
		{FailFast: true, HealthOK: true}}
	for i := range archiveEndpoints / 2 {
		if err := c.SetFaults(ctx, archive, i, kinds[i%len(kinds)]); err != nil {
			return err
		}
	}
	return nil
}

const (
	churnDown = 2 * time.Second
	churnUp   = 4 * time.Second // longer than the 2 s that an ejected endpoint waits for a trial before it is probed
)

// probeChurn kills the owner of archive and starts it again, twice, so that buckets begin anew while many probes are due.
func (c *chaos) probeChurn(ctx context.Context) error {
	i := c.ownerAndNext(archive)[0]
	for range 2 {
		c.watch.apart(i, 1)
		c.Hosts[i].Process.Kill()
		pauseFor(ctx, churnDown)
		c.watch.apart(i, -1)
		if err := c.startHost(i); err != nil {
			return err
		}
		pauseFor(ctx, churnUp)
	}
	return nil
}

// budgetOf returns the strictest measuring budget of a service.
func (c *chaos) budgetOf(service string) limits.ProbeBudget {
	out := limits.ProbeBudget{PerHost: math.Inf(1), Total: math.Inf(1)}
	for _, doc := range []*contract.Contract{c.contract, c.harbour} {
		for _, s := range doc.Services {
			if m := s.Measuring; s.Name == service {
				out.Total = min(out.Total, m.ProbesPerSecondPerUpstream)
				out.PerHost = min(out.PerHost, m.ProbesPerSecondPerUpstream/float64(m.EntryHostsMax))
			}
		}
	}
	return out
}

// probesAllowed returns the most probes that a host may send to one upstream between two times, given when its processes were
// started. A bucket starts empty with its process, gains rate tokens a second and holds at most probeDepth.
func probesAllowed(starts []time.Time, rate float64, from, to time.Time) (n int) {
	for i, start := range starts {
		end := to
		if i+1 < len(starts) && starts[i+1].Before(to) {
			end = starts[i+1]
		}
		saved := min(probeDepth, rate*max(0, from.Sub(start).Seconds()))
		if start.Before(from) {
			start = from
		}
		if end.After(start) {
			n += int(saved + rate*end.Sub(start).Seconds())
		}
	}
	return n
}

// checkProbes compares, for each upstream, every window of the run that begins and ends with a probe with the budget: the probes of
// each host with its part, and those of all hosts with the whole.
func (c *chaos) checkProbes(arrivals map[string][]standin.Arrival) {
	check := func(service, address string) {
		budget := c.budgetOf(service)
		var all []time.Time
		byHost := map[string][]time.Time{}
		for _, a := range arrivals[address] {
			if a.Probe {
				host := a.RequestID[:max(0, strings.LastIndexByte(a.RequestID, '-'))]
				all = append(all, a.Time())
				byHost[host] = append(byHost[host], a.Time())
			}
		}
		c.ledger.Add("probes sent", len(all))
		c.checkWindows(address+" from all hosts", all, func(from, to time.Time) int {
			return int(budget.Total*to.Sub(from).Seconds()) + c.watch.processesIn(from, to)*probeDepth
		})
		for host, times := range byHost {
			i := slices.IndexFunc(c.watch.hosts, func(h *watchedHost) bool { return h.name == host })
			c.ledger.Check(measuring, i >= 0, "%s got %d probes of an unknown host %q", address, len(times), host)
			if i >= 0 {
				c.checkWindows(address+" from "+host, times, func(from, to time.Time) int { return probesAllowed(c.watch.startsOf(i), budget.PerHost, from, to) })
			}
		}
	}
	for service, addresses := range c.Upstreams {
		for _, address := range addresses {
			check(service, address)
		}
	}
	for _, e := range c.list.own {
		check(manifest, e.address)
	}
}

// checkWindows counts all windows of probes and prints the worst breach.
func (c *chaos) checkWindows(what string, times []time.Time, allowed func(from, to time.Time) int) {
	slices.SortFunc(times, time.Time.Compare)
	checked, breaches, worst := 0, 0, 0
	var text string
	for i := range times {
		for j := i; j < len(times); j++ {
			got, may := j-i+1, allowed(times[i].Add(-probeTransit), times[j])
			checked++
			if got > may {
				breaches++
			}
			if got-may > worst {
				worst = got - may
				text = times[i].Sub(c.began).String() + " to " + times[j].Sub(c.began).String()
			}
		}
	}
	c.ledger.Count(measuring, checked, breaches)
	if worst > 0 {
		c.ledger.Report(measuring, "%s: %d probes too many from %s of the run", what, worst, text)
	}
}

// archiveLoad is the steady load of archive.
func (c *chaos) archiveLoad(length time.Duration) []load.Request {
	ops := []load.Operation{{Operation: archiveService().Operations[0], Customer: neighbour, Service: archive, Weight: 1}}
	return load.Plan(c.seed+2, "file", ops, archiveRate, length)
}
