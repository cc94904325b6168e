package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

const (
	maxDisturbances  = 3   // further signals and changes of the configuration while a host stops
	restopShare      = 0.2 // part of the stops that are repeated right after the start
	maxRestopDelay   = 500 * time.Millisecond
	maxOverlapping   = 16  // hosts that stop at the same time
	disturbanceShare = 0.9 // part of the grace time in which the disturbances of a stop begin
)

// stopping reports whether a planned stop is under way.
func (s *soak) stopping() bool { return s.stops.Load() > 0 }

// stopAndStart stops a host as planned and starts it again. Meanwhile the process may get further signals and the configuration may change.
func (s *soak) stopAndStart(ctx context.Context, rng *rand.Rand, h *host) {
	for again := true; again && ctx.Err() == nil; again = rng.Float64() < restopShare {
		end := s.timeline.begin(h.scope(), h.restarts())
		s.stops.Add(1)
		var disturbances sync.WaitGroup
		p := h.currentProcess()
		for range rng.IntN(maxDisturbances + 1) {
			rng := rand.New(rand.NewPCG(rng.Uint64(), 1))
			disturbances.Go(func() { s.disturbStop(ctx, rng, h, p) })
		}
		s.ledger.Add("planned stops", 1)
		h.stop(ctx, true)
		s.stops.Add(-1)
		disturbances.Wait()
		pause(ctx, randomDuration(rng)/4)
		s.restart(h)
		end()
		pause(ctx, time.Duration(rng.Float64()*float64(maxRestopDelay)))
	}
}

// disturbStop sends another signal to a process that stops, or changes the configuration.
func (s *soak) disturbStop(ctx context.Context, rng *rand.Rand, h *host, p *testbed.Process) {
	pause(ctx, time.Duration(rng.Float64()*disturbanceShare*float64(gracePeriod)))
	switch rng.IntN(3) {
	case 0:
		h.signalProcess(p, syscall.SIGTERM)
	case 1:
		h.reloadProcess(p)
	default:
		s.changeConfig(ctx, rng)
	}
}

func (s *soak) rollingStop(ctx context.Context, rng *rand.Rand) {
	first := rng.IntN(len(s.hosts))
	for i := range min(3, len(s.hosts)) {
		s.stopAndStart(ctx, rng, s.hosts[(first+i)%len(s.hosts)])
	}
}

// overlappingStops stops several hosts, or all if they are not more than maxOverlapping, within the grace time of the first one.
func (s *soak) overlappingStops(ctx context.Context, rng *rand.Rand) {
	var all sync.WaitGroup
	for _, i := range rng.Perm(len(s.hosts))[:min(len(s.hosts), maxOverlapping, 2+rng.IntN(len(s.hosts)))] {
		rng := rand.New(rand.NewPCG(rng.Uint64(), 1))
		all.Go(func() {
			pause(ctx, time.Duration(rng.Float64()*float64(gracePeriod)))
			s.stopAndStart(ctx, rng, s.hosts[i])
		})
	}
	all.Wait()
}

// planSeries stops hosts in turn while all hosts get SIGHUP, the configuration changes and an endpoint leaves.
func (s *soak) planSeries(ctx context.Context, rng *rand.Rand) {
	var all sync.WaitGroup
	defer all.Wait()
	for _, run := range []func(context.Context, *rand.Rand){s.rollingStop, s.changeConfigRepeatedly, s.retireEndpoint} {
		rng := rand.New(rand.NewPCG(rng.Uint64(), 1))
		all.Go(func() { run(ctx, rng) })
	}
	for range 1 + rng.IntN(5) {
		for _, h := range s.hosts {
			h.reload()
		}
		pause(ctx, randomDuration(rng)/4)
	}
}

// stop is a planned stop of a process.
type stop struct {
	process *testbed.Process
	signals []sentSignal // sent to the process from the first SIGTERM on
	cut     bool         // the process was killed, so that it did not end as planned
}

// sentSignal is a signal and the time at which it was sent.
type sentSignal struct {
	name string
	at   time.Time
}

// at returns the time of the first SIGTERM.
func (s *stop) at() time.Time { return s.signals[0].at }
