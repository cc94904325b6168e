package main

import (
	"context"
	"fmt"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/load"
	"github.com/arbutusspan/arbutusspan/internal/standin"
)

// Figures of design section 5.3.
const (
	failuresToEject = 3
	firstEjection   = 125 * time.Millisecond
	longestEjection = 500 * time.Millisecond
	prefetchDepth   = 1 // design section 5.2
)

const (
	// failingTime is long enough for a healthy endpoint at half load to get several times what failingBound allows.
	failingTime = 6 * time.Second
	// failingLoad is the part of a service's capacity that is offered while one endpoint fails.
	failingLoad = 0.5
)

// failingBound returns the most requests that one queue sends to an endpoint which fails fast for a time.
//
// Grants that are open when the failures begin may still succeed. Each success ends a row of failures, so at most two failures
// come before each of them. After the last success the third failure ejects the endpoint, when the other grants may be open.
// From then on it gets one trial at a time, the first one after 125 ms, the next ones after pauses that double up to 500 ms.
func failingBound(slots int, length time.Duration) int {
	open := slots + prefetchDepth
	before := (failuresToEject-1)*open + failuresToEject + open - 1
	trials := 0
	for at, pause := firstEjection, firstEjection; at <= length; at += pause {
		trials++
		pause = min(2*pause, longestEjection)
	}
	return before + trials
}

// failingSpan is a time in which one endpoint failed fast and nothing else did.
type failingSpan struct {
	service, address string
	slots            int
	from, to         time.Time
}

func (s failingSpan) length() time.Duration { return s.to.Sub(s.from) }

// failingEndpoint lets one endpoint of a service fail fast under load. Nothing else fails, so that one queue decides.
func (c *chaos) failingEndpoint(ctx context.Context) error {
	s := c.ownServices()[c.rng.IntN(len(c.ownServices()))]
	var usable []int
	for i, address := range c.Upstreams[s.Name] {
		if !c.list.isLeft(address) {
			usable = append(usable, i)
		}
	}
	i := usable[c.rng.IntN(len(usable))]
	if err := c.SetFaults(ctx, s.Name, i, standin.Faults{FailFast: true}); err != nil {
		return err
	}
	span := failingSpan{service: s.Name, address: c.Upstreams[s.Name][i], slots: s.Slots, from: time.Now()}
	c.runLoad(ctx, load.Plan(c.rng.Uint64(), c.planName("failing"), c.operationsOf(s.Name), failingLoad*s.Capacity(c.work), failingTime), c.steady)
	span.to = time.Now()
	c.failing = append(c.failing, span)
	return c.SetFaults(ctx, s.Name, i, standin.Faults{})
}

// operationsOf returns the customer's operations on a service.
func (c *chaos) operationsOf(service string) (out []load.Operation) {
	for _, op := range load.Operations(c.contract, mixes[c.customer]) {
		if op.Service == service {
			out = append(out, op)
		}
	}
	return out
}

// checkFailing compares what failing endpoints got with what section 5.3 lets them get, and with what a healthy one got.
func (c *chaos) checkFailing(arrivals map[string][]standin.Arrival) error {
	for _, s := range c.failing {
		got, others, healthy := 0, 0, 0
		for _, address := range c.Upstreams[s.service] {
			n := 0
			for _, a := range arrivals[address] {
				if !a.Probe && !a.Time().Before(s.from) && !a.Time().After(s.to) {
					n++
				}
			}
			switch {
			case address == s.address:
				got = n
			case !c.list.isLeft(address):
				others += n
				healthy++
			}
		}
		queues, err := c.queuesOf(s)
		if err != nil {
			return err
		}
		allowed := queues * failingBound(s.slots, s.length())
		share := others / healthy
		c.ledger.Add("requests to endpoints that fail fast", got)
		c.ledger.Check(failingFast, got <= allowed, "%s of %s got %d requests in %.1f s while it failed fast, %d are allowed with %d queues", s.address, s.service, got, s.length().Seconds(), allowed, queues)
		c.ledger.Check(failingFast, got <= share, "%s of %s got %d requests in %.1f s while it failed fast, a healthy endpoint %d", s.address, s.service, got, s.length().Seconds(), share)
	}
	return nil
}

// queuesOf returns how many queues could grant in a span: the owner's, and the fallback of each other host that had requests of
// callers. The last host of a request is known; a request with repeats may have been at any host.
func (c *chaos) queuesOf(s failingSpan) (int, error) {
	names := map[string]string{}
	for _, h := range c.Hosts {
		names[h.Caller()] = h.Name
	}
	used := map[string]bool{c.Hosts[c.ownerAndNext(s.service)[0]].Name: true}
	for key, all := range c.made() {
		if key.Service != s.service {
			continue
		}
		for _, r := range all {
			if r.began.After(s.to) || r.began.Add(time.Duration(r.Op.DeadlineMS)*time.Millisecond).Before(s.from) {
				continue
			}
			if r.result.Attempts > 1 {
				return len(c.Hosts), nil
			}
			name := r.result.Host
			if known, ok := names[name]; ok {
				name = known
			}
			if name == "" {
				return 0, fmt.Errorf("%s has no host", r.ID)
			}
			used[name] = true
		}
	}
	return len(used), nil
}
