package main

import (
	"context"
	"fmt"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// restart starts a host anew and returns the time until it serves.
func restart(ctx context.Context, d *testbed.Deployment, h *testbed.EntryHost) (time.Duration, error) {
	h.Process.Kill()
	bounded, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	began := time.Now()
	if err := d.StartHost(h); err != nil {
		return 0, err
	}
	for {
		err := operatorGet(bounded, h, "/readyz", nil)
		if err == nil {
			return time.Since(began), nil
		}
		select {
		case <-time.After(learnPoll):
		case <-bounded.Done():
			return 0, fmt.Errorf("%s does not serve: %w\n%s", h.Name, err, h.Process.Log())
		}
	}
}

// measureRestarted measures a host that has learned a prepared state from the platform. then may be nil.
func (m *capacity) measureRestarted(ctx context.Context, s *sweep, x int, prepare, then func(*testbed.Deployment) error) error {
	d, stop, err := m.deploy(ctx, 1, "")
	if err != nil {
		return err
	}
	defer stop()
	if err := prepare(d); err != nil {
		return err
	}
	for repeat := range m.repeats {
		took, err := restart(ctx, d, d.Hosts[0])
		if err != nil {
			return err
		}
		m.add(s, x, repeat, "learn_from_platform_ms", float64(took.Microseconds())/1000)
	}
	if err := m.observe(ctx, s, x, alone(d), nil); err != nil || then == nil {
		return err
	}
	return then(d)
}

// measureLearnFromPeer starts a host while the log is down, so that it takes the contracts of a peer.
func measureLearnFromPeer(ctx context.Context, m *capacity, s *sweep, x int) error {
	d, stop, err := m.deploy(ctx, 2, "")
	if err != nil {
		return err
	}
	defer stop()
	if err := m.publishMany(ctx, d, x); err != nil {
		return err
	}
	last := fmt.Sprintf("customer-%d", x-1)
	if err := awaitRevision(ctx, d, last, 1); err != nil {
		return err
	}
	if err := testbed.PutJSON(ctx, d.PlatformURL()+"/standin/log-faults", map[string]any{"down": true}); err != nil {
		return err
	}
	for repeat := range m.repeats {
		took, err := restart(ctx, d, d.Hosts[0])
		if err != nil {
			return err
		}
		if err := operatorGet(ctx, d.Hosts[0], "/v1/contracts/"+last, nil); err != nil {
			return fmt.Errorf("%s serves without what its peer knows: %w", d.Hosts[0].Name, err)
		}
		m.add(s, x, repeat, "learn_from_peer_ms", float64(took.Microseconds())/1000)
	}
	return nil
}
