package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/load"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// callService is the service of the calls; its slots do not limit them.
var callService = testbed.ServiceShape{Name: "booking-desk", Endpoints: 4, Slots: 256}

// deployForCalls starts hosts with a contract that does not limit the calls.
func (m *capacity) deployForCalls(ctx context.Context, hosts int) (*testbed.Deployment, func(), error) {
	d, stop, err := m.deploy(ctx, hosts, "shannon", callService)
	if err != nil {
		return nil, nil, err
	}
	err = d.PublishChanged(ctx, d.Hosts[0], func(c *contract.Contract) {
		c.Services[0].RatePerSecond, c.Services[0].Burst, c.Services[0].Concurrent = benchRatePerSecond, 0, benchConcurrent
	})
	if err == nil {
		err = d.AwaitRevision(ctx)
	}
	if err != nil {
		stop()
		return nil, nil, err
	}
	return d, stop, nil
}

// callsTo returns a load of x idempotent calls a second on one host.
func (m *capacity) callsTo(h *testbed.EntryHost, x int) (func(context.Context, time.Duration) error, error) {
	all, err := operations(testbed.Example(m.root, "shannon"), "shannon")
	if err != nil || x == 0 {
		return nil, err
	}
	b := &bench{http: &http.Client{Timeout: benchTimeout, Transport: &http.Transport{MaxIdleConns: benchIdleConns, MaxIdleConnsPerHost: benchIdleConns}}}
	to := path{"host", func(r *load.Request) string { return "http://" + h.Caller() + "/s/" + callService.Name + r.Path }}
	return func(ctx context.Context, length time.Duration) error {
		plan := load.Plan(m.seed, "capacity", all[:1], float64(x), length)
		results := load.Run(ctx, plan, maxInFlight, func(ctx context.Context, r *load.Request) load.Outcome { return b.send(ctx, to, r) })
		failed := 0
		for i, r := range results {
			if r.Body != plan[i].Want() {
				failed++
			}
		}
		if failed*100 > len(plan) {
			return fmt.Errorf("%d of %d calls have no right answer", failed, len(plan))
		}
		return nil
	}, nil
}

func measureCalls(ctx context.Context, m *capacity, s *sweep, x int) error {
	d, stop, err := m.deployForCalls(ctx, 1)
	if err != nil {
		return err
	}
	defer stop()
	during, err := m.callsTo(d.Hosts[0], x)
	if err != nil {
		return err
	}
	return m.observe(ctx, s, x, alone(d), during)
}

// measureRemoteCalls sends all calls to a host that does not hold the queue, and measures both.
func measureRemoteCalls(ctx context.Context, m *capacity, s *sweep, x int) error {
	d, stop, err := m.deployForCalls(ctx, 2)
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(m.settle) // both hosts serve, and know it of each other
	owner, executor := d.Hosts[0], d.Hosts[1]
	first, err := m.firstAddress(ctx, owner)
	if err != nil {
		return err
	}
	if first == executor.Name {
		owner, executor = executor, owner
	}
	during, err := m.callsTo(executor, x)
	if err != nil {
		return err
	}
	return m.observe(ctx, s, x, map[string]*testbed.EntryHost{"owner_": owner, "executor_": executor}, during)
}

// firstAddress asks a host which host callers should prefer, which is the one in charge of the queue.
func (m *capacity) firstAddress(ctx context.Context, h *testbed.EntryHost) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Caller()+"/v1/addresses?service="+callService.Name, nil)
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer shannon."+testbed.CustomerSecret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var a callerapi.Addresses
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return "", err
	}
	if len(a.Addresses) == 0 {
		return "", fmt.Errorf("%s lists no address", h.Name)
	}
	return a.Addresses[0].Host, nil
}
