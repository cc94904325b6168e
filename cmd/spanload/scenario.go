package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/load"
	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// scenario is what happens during a run. The event lasts from a third of the run for a fifth of it.
type scenario struct {
	name  string
	noise standin.Noise // from the start on, at all endpoints
	// faults of the endpoints hit by the event: the first of each service, one in five.
	faults func(length time.Duration) standin.Faults
	// host is what happens to the host in charge of the first service.
	host func(ctx context.Context, h *testbed.EntryHost, length time.Duration) error
}

const (
	eventStart  = 1.0 / 3
	eventLength = 1.0 / 5
	// endpointsPerHit is the number of endpoints of which one is hit.
	endpointsPerHit = 5
	slowdownFactor  = 10
	// unusable makes the reference avoid an endpoint that fails fast.
	unusable = 1e6
)

// longestDeadline is beyond every deadline of the example contracts.
const longestDeadline = 10 * time.Second

// attemptTimeout returns how long callers wait for a host before they ask the next one. Repeats of slow requests would add
// load that differs between policies, so callers repeat after a timeout, by the client library's default, only where a host
// fails.
func (s scenario) attemptTimeout() time.Duration {
	if s.host != nil {
		return 0
	}
	return longestDeadline
}

func part(length time.Duration, f float64) time.Duration { return time.Duration(float64(length) * f) }

var scenarios = map[string]scenario{
	"calm":  {name: "calm"},
	"noisy": {name: "noisy", noise: standin.Noise{PerSecond: 1, Factor: 4, MS: 60}},
	"slowdown": {name: "slowdown", faults: func(length time.Duration) standin.Faults {
		return standin.Faults{SlowFactor: slowdownFactor, SlowForMS: length.Milliseconds()}
	}},
	"fastfail": {name: "fastfail", faults: func(time.Duration) standin.Faults { return standin.Faults{FailFast: true} }},
	"kill": {name: "kill", host: func(_ context.Context, h *testbed.EntryHost, _ time.Duration) error {
		h.Process.Kill()
		return nil
	}},
	"freeze": {name: "freeze", host: func(ctx context.Context, h *testbed.EntryHost, length time.Duration) error {
		if err := h.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		defer h.Process.Signal(syscall.SIGCONT)
		return wait(ctx, length)
	}},
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func hit(endpoint int) bool { return endpoint%endpointsPerHit == 0 }

// setAll sets faults at all endpoints, or at those that events hit.
func setAll(ctx context.Context, dep *testbed.Deployment, f standin.Faults, onlyHit bool) error {
	for service, addresses := range dep.Upstreams {
		for i := range addresses {
			if onlyHit && !hit(i) {
				continue
			}
			if err := dep.SetFaults(ctx, service, i, f); err != nil {
				return err
			}
		}
	}
	return nil
}

// play runs the scenario's event.
func (s scenario) play(ctx context.Context, dep *testbed.Deployment, length time.Duration) error {
	if s.faults == nil && s.host == nil {
		return nil
	}
	if err := wait(ctx, part(length, eventStart)); err != nil {
		return err
	}
	lasts := part(length, eventLength)
	if s.host != nil {
		h, err := inCharge(ctx, dep)
		if err != nil {
			return err
		}
		return s.host(ctx, h, lasts)
	}
	if err := setAll(ctx, dep, s.faults(lasts), true); err != nil {
		return err
	}
	if err := wait(ctx, lasts); err != nil {
		return err
	}
	return setAll(ctx, dep, standin.Faults{}, true)
}

// end returns when the event is over, from the start of the run; 0 if there is none.
func (s scenario) end(length time.Duration) time.Duration {
	switch {
	case s.name == "kill":
		return part(length, eventStart)
	case s.faults == nil && s.host == nil:
		return 0
	}
	return part(length, eventStart) + part(length, eventLength)
}

// bound runs the plan through the dispatcher with perfect knowledge, per service. What happens to hosts does not concern it.
func (s scenario) bound(dep *testbed.Deployment, plan []load.Request, length time.Duration) []load.BoundResult {
	out := make([]load.BoundResult, len(plan))
	cfg := dep.Config
	for index, service := range cfg.Shape.Services {
		seed := cfg.ServiceSeed(index)
		var endpoints []load.BoundEndpoint
		for e := range service.Endpoints {
			slowness := standin.NewSlowness(seed+uint64(e), s.noise)
			if s.faults != nil && hit(e) {
				from, f := part(length, eventStart), s.faults(0)
				factor := f.SlowFactor
				if f.FailFast {
					factor = unusable
				}
				slowness.Slow(from, from+part(length, eventLength), factor)
			}
			endpoints = append(endpoints, load.BoundEndpoint{Slots: service.Slots, Slowness: slowness})
		}
		var mine []load.Request
		var indexes []int
		for i, r := range plan {
			if r.Op.Service == service.Name {
				mine, indexes = append(mine, r), append(indexes, i)
			}
		}
		work := func(r *load.Request) time.Duration { return standin.WorkTime(seed, r.ID, cfg.Work, cfg.Sigma) }
		for k, result := range load.Bound(mine, work, endpoints) {
			out[indexes[k]] = result
		}
	}
	return out
}

// inCharge returns the host that callers are told to prefer for the first service, or for its first part.
func inCharge(ctx context.Context, dep *testbed.Deployment) (*testbed.EntryHost, error) {
	service := dep.Config.Shape.Services[0].Part(0, dep.Config.Split)
	got, err := askAddresses(ctx, dep.Hosts[0].Caller(), dep.Config.Shape.Customer, service)
	if err != nil {
		return nil, err
	}
	for _, h := range dep.Hosts {
		if got.Addresses[0].Address == h.Caller() {
			return h, nil
		}
	}
	return nil, fmt.Errorf("%s lists no known host for %s", dep.Hosts[0].Name, service)
}
