package main

import (
	"context"
	"fmt"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/load"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// counters are running totals of a deployment.
type counters struct {
	measuring, arrivals, control int64
	cpu                          map[int]time.Duration // by process id, as a killed host's time is lost
	relayed                      bool
}

func readCounters(ctx context.Context, dep *testbed.Deployment) (counters, error) {
	c := counters{cpu: map[int]time.Duration{}}
	all, err := dep.Stats(ctx)
	if err != nil {
		return c, err
	}
	for _, s := range all {
		c.measuring += s.Measuring
		c.arrivals += s.Ran + s.Shed + s.Expired + s.Cancelled + s.RefusedLeaving + s.FailedFast
	}
	for _, h := range dep.Hosts {
		if h.Relay != nil {
			c.relayed = true
			c.control += h.Relay.Bytes()
		}
		if h.Process.Ended() {
			continue
		}
		used, err := h.Process.CPUTime()
		if err != nil {
			return c, err
		}
		c.cpu[h.Process.PID()] = used
	}
	return c, nil
}

func (c counters) since(before counters, length time.Duration, hosts int) runCost {
	out := runCost{measuring: c.measuring - before.measuring, arrivals: c.arrivals - before.arrivals, control: -1}
	alive := 0
	for pid, used := range c.cpu {
		if start, ok := before.cpu[pid]; ok {
			out.cores += (used - start).Seconds() / length.Seconds()
			alive++
		}
	}
	out.cores /= float64(max(1, alive))
	if c.relayed {
		out.control = float64(c.control-before.control) / float64(hosts) / length.Seconds()
	}
	return out
}

func (e *experiment) add(shape, policy string, round int, c cell, length time.Duration, all []load.Measures, cost runCost) {
	for _, m := range all {
		e.rows = append(e.rows, row{shape: shape, scenario: c.scenario.name, policy: policy, load: c.load, round: round, m: m, length: length, run: cost})
	}
	m := all[0]
	fmt.Printf("%-10s %-9s %3d%% %-17s p50 %7.1f  p99 %7.1f  p99.9 %7.1f ms  good %6.1f/s  refused %d  unknown %d  late p99 %.1f ms\n", shape, c.scenario.name, c.load,
		policy, m.Latency.P50, m.Latency.P99, m.Latency.P999, float64(m.Good)/length.Seconds(), m.Sent-m.Answered-m.Unknown-m.Failed, m.Unknown, cost.lateP99MS)
}
