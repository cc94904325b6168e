package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// fault is a kind of fault or planned operation. run injects it and removes it before it returns, except for lasting changes such as
// silent connections.
type fault struct {
	name    string
	planned bool // an ordinary operation of operators, during which no request may be lost
	run     func(s *soak, ctx context.Context, rng *rand.Rand)
}

var faults = []fault{
	{"stop", true, func(s *soak, ctx context.Context, rng *rand.Rand) { s.stopAndStart(ctx, rng, s.randomHost(rng)) }},
	{"rolling-stop", true, (*soak).rollingStop},
	{"overlapping-stops", true, (*soak).overlappingStops},
	{"reload", true, (*soak).reload},
	{"configuration", true, (*soak).changeConfig},
	{"configuration-storm", true, (*soak).changeConfigRepeatedly},
	{"configuration-large", true, (*soak).growConfig},
	{"planned-series", true, (*soak).planSeries},
	{"endpoint-leaves", true, (*soak).retireEndpoint},
	{"slow-bodies", true, (*soak).sendSlowBodies},
	{"kill", false, func(s *soak, ctx context.Context, rng *rand.Rand) { s.killHost(ctx, rng, s.randomHost(rng)) }},
	{"kill-all", false, (*soak).killAll},
	{"pause", false, (*soak).pauseHost},
	{"callers-network", false, (*soak).breakCallerNetwork},
	{"peers-network", false, (*soak).breakPeerNetwork},
	{"store-network", false, (*soak).breakStoreNetwork},
	{"store-faults", false, (*soak).failStore},
	{"store-refuses-one", false, (*soak).failStoreForOneHost},
	{"store-forgets", false, (*soak).truncateStoreLogs},
	{"store-from-copy", false, (*soak).returnStoreFromCopy},
	{"foreign-entries", false, (*soak).writeForeignEntries},
	{"foreign-entries-of-endpoints", false, (*soak).writeEntriesOfEndpoints},
	{"endpoint-killed", false, (*soak).killEndpoint},
	{"endpoint-address-reused", false, (*soak).reuseAddress},
	{"endpoint-answers", false, (*soak).failResponses},
	{"endpoint-leaves-in-responses", false, (*soak).leaveInResponses},
	{"endpoint-rejects", false, (*soak).rejectRequests},
	{"endpoint-limits", false, (*soak).limitRequests},
	{"endpoint-limits-fall", false, (*soak).lowerAllLimits},
	{"health-copies", false, (*soak).copyHealthResponses},
	{"rejection-copies", false, (*soak).copyRejections},
	{"cut-heads", false, (*soak).cutHeads},
	{"crashing-request", false, (*soak).sendCrashingRequest},
	{"crashing-request-same-ids", false, (*soak).sendCrashingRequestToSameIDs},
	{"endpoint-slow", false, (*soak).slowEndpoints},
	{"endpoint-network", false, (*soak).breakEndpointNetwork},
	{"host-partition", false, (*soak).partitionHosts},
	{"burst", false, (*soak).raiseLoad},
}

// FaultNames returns the names of all faults.
func FaultNames() []string {
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

func faultNamed(name string) (fault, error) {
	for _, f := range faults {
		if f.name == name {
			return f, nil
		}
	}
	return fault{}, trace.BadParameter("no fault is called %q: use one of %v", name, FaultNames())
}

const (
	// phaseLength is the time over which the faults of a phase begin.
	phaseLength       = 4 * time.Second
	maxFaultsPerPhase = 5   // faults that begin in one phase
	plannedShare      = 0.3 // part of the phases that have planned faults only, after a period without faults
	maxFaultTime      = 2500 * time.Millisecond
)

// runFaultPhases injects faults in phases until Length has passed, and waits for the last fault to end. It draws the faults of a phase,
// their start times and their seeds from the seed of the run, so that they do not depend on the speed of the machine.
func (s *soak) runFaultPhases(ctx context.Context) {
	var running sync.WaitGroup
	for begin := time.Now(); time.Since(begin) < s.Length && ctx.Err() == nil; {
		planned := s.rng.Float64() < plannedShare
		if planned {
			running.Wait()
			pause(ctx, stabilityTime)
		}
		for range 1 + s.rng.IntN(maxFaultsPerPhase) {
			f := s.drawFault(planned)
			offset := time.Duration(s.rng.Float64() * float64(phaseLength))
			rng := rand.New(rand.NewPCG(s.rng.Uint64(), 1))
			running.Go(func() {
				pause(ctx, offset)
				s.injectFault(ctx, f, rng)
			})
		}
		pause(ctx, phaseLength)
	}
	running.Wait()
}

// injectFault injects a fault and records it.
func (s *soak) injectFault(ctx context.Context, f fault, rng *rand.Rand) {
	fmt.Fprintf(s.Out, "  %6.2f s  %s\n", time.Since(s.startTime).Seconds(), f.name)
	s.ledger.Add("faults "+f.name, 1)
	if !f.planned {
		defer s.timeline.begin(scopeNetwork)()
	}
	f.run(s, ctx, rng)
}

// drawFault returns a random fault: one of Only if that is set, else any fault or, if planned is true, any planned fault.
func (s *soak) drawFault(planned bool) fault {
	for {
		f := faults[s.rng.IntN(len(faults))]
		if len(s.Only) > 0 {
			f, _ = faultNamed(s.Only[s.rng.IntN(len(s.Only))]) // Run has already validated the names
			return f
		}
		if f.planned || !planned {
			return f
		}
	}
}

func (s *soak) randomHost(rng *rand.Rand) *host {
	n := len(s.hosts)
	if n > maxBusyHosts && rng.IntN(2) == 0 {
		n = maxBusyHosts
	}
	return s.hosts[rng.IntN(n)]
}

func (s *soak) randomEndpoint(rng *rand.Rand) *endpoint {
	return s.endpoints[rng.IntN(len(s.endpoints))]
}

// randomDuration returns a random duration of a fault.
func randomDuration(rng *rand.Rand) time.Duration {
	return time.Duration(rng.Float64() * float64(maxFaultTime))
}

// Faults of hosts.

func (s *soak) restart(h *host) {
	err := h.start()
	s.ledger.Check(expectedExits, err == nil, "%s did not start: %v", h.name, err)
}

func (s *soak) reload(_ context.Context, rng *rand.Rand) {
	for range 1 + rng.IntN(3) {
		s.randomHost(rng).reload()
	}
}

func (s *soak) killHost(ctx context.Context, rng *rand.Rand, h *host) {
	defer s.timeline.begin(h.scope(), h.restarts())()
	h.kill()
	pause(ctx, randomDuration(rng)/2)
	s.restart(h)
}

func (s *soak) killAll(ctx context.Context, rng *rand.Rand) {
	var all sync.WaitGroup
	for _, h := range s.hosts {
		rng := rand.New(rand.NewPCG(rng.Uint64(), 1))
		all.Go(func() { s.killHost(ctx, rng, h) })
	}
	all.Wait()
}

func (s *soak) pauseHost(ctx context.Context, rng *rand.Rand) {
	h := s.randomHost(rng)
	defer s.timeline.begin(h.scope(), h.freezes())()
	h.signal(syscall.SIGSTOP)
	pause(ctx, randomDuration(rng))
	h.signal(syscall.SIGCONT)
}

// Faults of networks.

var relayModes = []testbed.Mode{testbed.Cut, testbed.Stall, testbed.MuteForward, testbed.MuteReturn, testbed.CutAnswers}

// breakRelays injects a random network fault at relays. Either they have a fault mode for a random time, or all connections that are open now
// stay silent until they are closed.
func (s *soak) breakRelays(ctx context.Context, rng *rand.Rand, relays ...*testbed.Relay) {
	silence := rng.IntN(len(relayModes)+1) == 0
	if silence {
		for _, r := range relays {
			r.Silence()
		}
		return
	}
	mode := relayModes[rng.IntN(len(relayModes))]
	for _, r := range relays {
		r.SetMode(mode)
	}
	pause(ctx, randomDuration(rng))
	for _, r := range relays {
		r.SetMode(testbed.Pass)
	}
}

func (s *soak) breakCallerNetwork(ctx context.Context, rng *rand.Rand) {
	h := s.randomHost(rng)
	defer s.timeline.begin(h.scope())()
	s.breakRelays(ctx, rng, h.callerRelay)
}

func (s *soak) breakPeerNetwork(ctx context.Context, rng *rand.Rand) {
	h := s.hosts[rng.IntN(min(len(s.hosts), maxPeerRelays))]
	defer s.timeline.begin(h.scope())()
	s.breakRelays(ctx, rng, h.peerRelay, h.hopRelay)
}

func (s *soak) breakStoreNetwork(ctx context.Context, rng *rand.Rand) {
	h := s.randomHost(rng)
	defer s.timeline.begin(h.scope())()
	s.breakRelays(ctx, rng, h.storeRelay)
}
