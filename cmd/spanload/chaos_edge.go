package main

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/load"
	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

const (
	edgePort = 7084 // of the relay before a host's caller port
	// edgeTime is how long each failure of callers' connections lasts: longer than the deadline of an idempotent request.
	edgeTime = 1500 * time.Millisecond
)

// relayCallers starts a relay before the caller port of each host. Only callers that dial through it use it.
func (c *chaos) relayCallers() error {
	c.edges = map[string]*testbed.Relay{}
	for _, h := range c.Hosts {
		target, err := netip.ParseAddrPort(h.Caller())
		if err != nil {
			return err
		}
		relay, err := testbed.NewRelay(netip.AddrPortFrom(target.Addr(), edgePort), target, func(netip.Addr) time.Duration { return 0 })
		if err != nil {
			return err
		}
		c.edges[h.Caller()] = relay
	}
	return nil
}

// dialEdge connects to the relay before a host.
func (c *chaos) dialEdge(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, c.edges[address].Address().String())
}

// brokenCallers breaks the connections between callers and hosts in all ways that a relay has, while requests flow. Answers are cut
// at all hosts, and all open connections go silent at once; everything else hits the owners, which callers prefer.
func (c *chaos) brokenCallers(ctx context.Context) error {
	from, err := newCallersThrough(chaosCallers, c.customer, c.Callers(), 0, c.dialEdge)
	if err != nil {
		return err
	}
	defer from.close()
	var owners []string
	for _, s := range c.ownServices() {
		owners = append(owners, c.Hosts[c.ownerAndNext(s.Name)[0]].Caller())
	}
	modes := []testbed.Mode{testbed.CutAnswers, testbed.Cut, testbed.Stall, testbed.MuteForward, testbed.MuteReturn}
	c.rng.Shuffle(len(modes), func(i, j int) { modes[i], modes[j] = modes[j], modes[i] })
	done := make(chan loadRun, 1)
	loaded, stop := context.WithCancel(ctx)
	plan := load.Plan(c.rng.Uint64(), c.planName("edge"), load.Operations(c.contract, mixes[c.customer]), chaosRate, chaosTail)
	go func() { done <- c.runLoad(loaded, plan, from) }()
	pauseFor(ctx, edgeTime/4)
	for _, m := range modes {
		for address, relay := range c.edges {
			if m == testbed.CutAnswers || slices.Contains(owners, address) {
				relay.SetMode(m)
			}
		}
		pauseFor(ctx, edgeTime)
		for _, relay := range c.edges {
			relay.SetMode(testbed.Pass)
		}
		pauseFor(ctx, edgeTime/4)
	}
	for _, relay := range c.edges {
		relay.Silence()
	}
	pauseFor(ctx, edgeTime)
	stop()
	c.edgeRuns = append(c.edgeRuns, <-done)
	return nil
}

// checkEdge audits the requests over broken connections by themselves: each answer that a caller took is whole, what a caller was
// told about running is true, and no keyed request ran twice.
func (c *chaos) checkEdge(records []standin.Record) {
	for _, run := range c.edgeRuns {
		plan, results := run.begun()
		planned := map[string]bool{}
		for i := range plan {
			planned[plan[i].ID] = true
		}
		a := load.NewAudit(plan, results, slices.DeleteFunc(slices.Clone(records), func(r standin.Record) bool { return !planned[r.RequestID] }))
		c.ledger.Count(callerConns, a.Sent, a.RunTwice+a.WrongAnswers+a.AnsweredUnrun+a.RefusedRun+a.Strays)
		for _, f := range a.Faults {
			c.ledger.Report(callerConns, "%s", f)
		}
	}
	for _, relay := range c.edges {
		c.ledger.Add("answers cut before callers", relay.Cuts())
	}
}
