package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
	"github.com/arbutusspan/arbutusspan/platform/platformtest"
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
	{"reload", true, (*soak).reload},
	{"configuration", true, (*soak).changeConfig},
	{"configuration-storm", true, (*soak).changeConfigRepeatedly},
	{"endpoint-leaves", true, (*soak).retireEndpoint},
	{"kill", false, func(s *soak, ctx context.Context, rng *rand.Rand) { s.killHost(ctx, rng, s.randomHost(rng)) }},
	{"kill-all", false, (*soak).killAll},
	{"pause", false, (*soak).pauseHost},
	{"callers-network", false, (*soak).breakCallerNetwork},
	{"peers-network", false, (*soak).breakPeerNetwork},
	{"store-network", false, (*soak).breakStoreNetwork},
	{"store-faults", false, (*soak).failStore},
	{"store-refuses-one", false, (*soak).failStoreForOneHost},
	{"store-forgets", false, (*soak).truncateStoreLogs},
	{"foreign-entries", false, (*soak).writeForeignEntries},
	{"endpoint-killed", false, (*soak).killEndpoint},
	{"endpoint-address-reused", false, (*soak).reuseAddress},
	{"endpoint-answers", false, (*soak).failResponses},
	{"endpoint-slow", false, (*soak).slowEndpoints},
	{"endpoint-network", false, (*soak).breakEndpointNetwork},
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

func (s *soak) randomHost(rng *rand.Rand) *host { return s.hosts[rng.IntN(len(s.hosts))] }

func (s *soak) randomEndpoint(rng *rand.Rand) *endpoint {
	return s.endpoints[rng.IntN(len(s.endpoints))]
}

// randomDuration returns a random duration of a fault.
func randomDuration(rng *rand.Rand) time.Duration {
	return time.Duration(rng.Float64() * float64(maxFaultTime))
}

// Faults of hosts.

func (s *soak) stopAndStart(ctx context.Context, rng *rand.Rand, h *host) {
	end := s.timeline.begin(h.scope(), "planned "+h.scope())
	h.stop(ctx, true)
	pause(ctx, randomDuration(rng)/4)
	s.restart(h)
	end()
}

func (s *soak) restart(h *host) {
	err := h.start()
	s.ledger.Check(expectedExits, err == nil, "%s did not start: %v", h.name, err)
}

func (s *soak) rollingStop(ctx context.Context, rng *rand.Rand) {
	first := rng.IntN(len(s.hosts))
	for i := range min(3, len(s.hosts)) {
		s.stopAndStart(ctx, rng, s.hosts[(first+i)%len(s.hosts)])
	}
}

func (s *soak) reload(_ context.Context, rng *rand.Rand) {
	for range 1 + rng.IntN(3) {
		s.randomHost(rng).signal(syscall.SIGHUP)
	}
}

func (s *soak) killHost(ctx context.Context, rng *rand.Rand, h *host) {
	defer s.timeline.begin(h.scope())()
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
	defer s.timeline.begin(h.scope())()
	h.signal(syscall.SIGSTOP)
	pause(ctx, randomDuration(rng))
	h.signal(syscall.SIGCONT)
}

// Faults of networks.

var relayModes = []testbed.Mode{testbed.Cut, testbed.Stall, testbed.MuteForward, testbed.MuteReturn, testbed.CutAnswers}

// breakRelay injects a random network fault at a relay. Either the relay has a fault mode for a random time, or all connections that are
// open now stay silent until they are closed.
func (s *soak) breakRelay(ctx context.Context, rng *rand.Rand, r *testbed.Relay) {
	if rng.IntN(len(relayModes)+1) == 0 {
		r.Silence()
		return
	}
	r.SetMode(relayModes[rng.IntN(len(relayModes))])
	pause(ctx, randomDuration(rng))
	r.SetMode(testbed.Pass)
}

func (s *soak) breakCallerNetwork(ctx context.Context, rng *rand.Rand) {
	h := s.randomHost(rng)
	defer s.timeline.begin(h.scope())()
	s.breakRelay(ctx, rng, h.callerRelay)
}

func (s *soak) breakPeerNetwork(ctx context.Context, rng *rand.Rand) {
	h := s.randomHost(rng)
	defer s.timeline.begin(h.scope())()
	s.breakRelay(ctx, rng, h.peerRelay)
}

func (s *soak) breakStoreNetwork(ctx context.Context, rng *rand.Rand) {
	h := s.randomHost(rng)
	defer s.timeline.begin(h.scope())()
	s.breakRelay(ctx, rng, h.storeRelay)
}

// Faults of the store.

func randomStoreFaults(rng *rand.Rand) platformtest.StoreFaults {
	return []platformtest.StoreFaults{{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {Delay: 300 * time.Millisecond},
		{Delay: 1500 * time.Millisecond}, {LoseEvery: 2}, {HangEvery: 2}, {CutAnswers: true}}[rng.IntN(7)]
}

func (s *soak) failStore(ctx context.Context, rng *rand.Rand) {
	defer s.timeline.begin(scopeStore)()
	f := randomStoreFaults(rng)
	for _, h := range s.hosts {
		h.front.SetFaults(f)
	}
	pause(ctx, 2*randomDuration(rng))
	for _, h := range s.hosts {
		h.front.SetFaults(platformtest.StoreFaults{})
	}
}

// failStoreForOneHost injects a fault into the store for one host only.
func (s *soak) failStoreForOneHost(ctx context.Context, rng *rand.Rand) {
	h := s.randomHost(rng)
	defer s.timeline.begin(h.scope())()
	h.front.SetFaults(randomStoreFaults(rng))
	pause(ctx, randomDuration(rng))
	h.front.SetFaults(platformtest.StoreFaults{})
}

// truncateStoreLogs deletes the logs of all topics of the store.
func (s *soak) truncateStoreLogs(context.Context, *rand.Rand) { s.store.Forget() }

// writeForeignEntries writes entries that are malformed or name an unknown service or state to the topic of the endpoints' entries.
func (s *soak) writeForeignEntries(ctx context.Context, rng *rand.Rand) {
	for _, text := range []string{"", "\xff\xfe", "null", "[]", "{}", `{"address":7}`,
		`{"address":"127.0.0.1:1","born":1,"info":{"service":"nowhere","zone":"a","maxConcurrency":2},"status":{"state":"ready","sequence":1}}`,
		`{"address":"127.0.0.1:1","born":1,"info":{"service":"desk","zone":"a","maxConcurrency":2},"status":{"state":"resting","sequence":1}}`} {
		s.store.PutForeignEntry(fmt.Sprintf("x-%d", rng.IntN(4)), []byte(text))
		pause(ctx, randomDuration(rng)/20)
	}
}

// Changes of the configuration.

func (s *soak) changeConfig(_ context.Context, rng *rand.Rand) {
	change := []func(*routing.Config, int){moveRoute, splitRoute, addRoute}[rng.IntN(3)]
	i := rng.IntN(16)
	s.publish(func(cfg *routing.Config) { change(cfg, i) })
}

func (s *soak) changeConfigRepeatedly(ctx context.Context, rng *rand.Rand) {
	for range 5 {
		s.changeConfig(ctx, rng)
		pause(ctx, randomDuration(rng)/20)
	}
}

// Faults of endpoints and callers.

func (s *soak) restartEndpoint(e *endpoint, id string, clock time.Duration) {
	err := e.Start(id, clock)
	s.ledger.Check(testInfrastructure, err == nil, "endpoint %s did not start: %v", id, err)
}

// retireEndpoint stops an endpoint as planned and starts it with a new id. The endpoint announces that it is leaving, or it removes its
// entry from the store.
func (s *soak) retireEndpoint(ctx context.Context, rng *rand.Rand) {
	e := s.randomEndpoint(rng)
	e.processMu.Lock()
	defer e.processMu.Unlock()
	id := e.ID()
	e.Leave(rng.IntN(2) == 0)
	s.requests.endpointLeaving(id, time.Now())
	pause(ctx, drainTime+time.Duration(rng.Float64()*float64(drainTime))+time.Second)
	e.Kill()
	pause(ctx, randomDuration(rng)/2)
	s.restartEndpoint(e, s.nextID(), 0)
}

// killEndpoint kills an endpoint and restarts it with a new id, or with its old id and a clock that may have jumped.
func (s *soak) killEndpoint(ctx context.Context, rng *rand.Rand) {
	e := s.randomEndpoint(rng)
	defer s.timeline.begin(scopeEndpoints)()
	e.processMu.Lock()
	defer e.processMu.Unlock()
	id := e.ID()
	s.requests.endpointKilled(id)
	e.Kill()
	pause(ctx, randomDuration(rng))
	clock := time.Duration(0)
	switch rng.IntN(3) {
	case 0:
		id = s.nextID()
	case 1:
		clock = time.Duration(rng.IntN(10)-5) * time.Second
	}
	s.restartEndpoint(e, id, clock)
}

// reuseAddress kills an endpoint, runs an endpoint of the other service at its address for a random time, and then changes back.
func (s *soak) reuseAddress(ctx context.Context, rng *rand.Rand) {
	e := s.randomEndpoint(rng)
	defer s.timeline.begin(scopeEndpoints)()
	e.processMu.Lock()
	defer e.processMu.Unlock()
	for range 2 {
		s.requests.endpointKilled(e.ID())
		e.Kill()
		pause(ctx, drainTime)
		e.SwapService(services[0], services[1])
		s.restartEndpoint(e, s.nextID(), 0)
		pause(ctx, randomDuration(rng))
	}
}

// failResponses makes an endpoint send faulty responses.
func (s *soak) failResponses(ctx context.Context, rng *rand.Rand) {
	e := s.randomEndpoint(rng)
	defer s.timeline.begin(scopeEndpoints)()
	kind := platformtest.AnswerFaults[rng.IntN(len(platformtest.AnswerFaults))]
	e.SetFaults(platformtest.EndpointFaults{Answers: kind, Share: 0.2 + 0.8*rng.Float64(), LyingLoad: rng.IntN(2) == 0, Sick: rng.IntN(4) == 0})
	s.ledger.Add("answers "+kind, 1)
	pause(ctx, 2*randomDuration(rng))
	e.SetFaults(platformtest.EndpointFaults{})
}

func (s *soak) slowEndpoints(ctx context.Context, rng *rand.Rand) {
	defer s.timeline.begin(scopeEndpoints)()
	var slow []*endpoint
	for _, e := range s.endpoints {
		if rng.IntN(3) == 0 {
			slow = append(slow, e)
			e.SetFaults(platformtest.EndpointFaults{SlowFactor: 2 + 10*rng.Float64(), LyingLoad: rng.IntN(3) == 0})
		}
	}
	pause(ctx, randomDuration(rng))
	for _, e := range slow {
		e.SetFaults(platformtest.EndpointFaults{})
	}
}

func (s *soak) breakEndpointNetwork(ctx context.Context, rng *rand.Rand) {
	defer s.timeline.begin(scopeEndpoints)()
	s.breakRelay(ctx, rng, s.randomEndpoint(rng).relay)
}

// raiseLoad raises the load of the callers to 5 to 14 times the usual load.
func (s *soak) raiseLoad(ctx context.Context, rng *rand.Rand) {
	defer s.timeline.begin(scopeOverload)()
	s.loadFactor.set(5 + int64(rng.IntN(10)))
	pause(ctx, randomDuration(rng))
	s.loadFactor.set(1)
}
