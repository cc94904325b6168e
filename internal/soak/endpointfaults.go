package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/testbed"
	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

// endpointStartTimeout bounds the time for which an endpoint's address may still be in use after the end of its last process. A child
// process has copies of the listening sockets until it executes its program.
const endpointStartTimeout = 2 * time.Second

func (s *soak) restartEndpoint(e *endpoint, id string, clock time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), endpointStartTimeout)
	defer cancel()
	err := testbed.Eventually(ctx, func() error { return e.Start(id, clock) })
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
	s.requests.endpointStatesLeaving(id, time.Now())
	pause(ctx, drainTime+time.Duration(rng.Float64()*float64(drainTime))+time.Second)
	s.requests.endpointEnded(id, time.Now())
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

// copyHealthResponses makes some endpoints send responses to health checks a second time while the next request of the connection runs. In half of the
// cases they reject all health checks.
func (s *soak) copyHealthResponses(ctx context.Context, rng *rand.Rand) {
	reject := rng.IntN(2) == 0
	s.faultSomeEndpoints(ctx, rng, func() platformtest.EndpointFaults {
		return platformtest.EndpointFaults{LateHealth: 0.1 + 0.9*rng.Float64(), RejectHealth: reject}
	})
}

// copyRejections makes some endpoints reject part of their requests as not run, and send some of these rejections a second time while the next request of
// the connection runs, in some cases without the request id.
func (s *soak) copyRejections(ctx context.Context, rng *rand.Rand) {
	s.faultSomeEndpoints(ctx, rng, func() platformtest.EndpointFaults {
		return platformtest.EndpointFaults{RejectShare: 0.1 + 0.4*rng.Float64(), LateRejections: 0.3 + 0.7*rng.Float64(), UnnamedCopies: max(0, rng.Float64()-0.3)}
	})
}

// cutHeads makes some endpoints close or reset the connection in the middle of the heads of their responses.
func (s *soak) cutHeads(ctx context.Context, rng *rand.Rand) {
	s.faultSomeEndpoints(ctx, rng, func() platformtest.EndpointFaults {
		return platformtest.EndpointFaults{Answers: platformtest.CutHead, Share: 0.1 + 0.9*rng.Float64()}
	})
}

// faultSomeEndpoints makes about half of the endpoints inject faults for a random time. draw draws those of one endpoint.
func (s *soak) faultSomeEndpoints(ctx context.Context, rng *rand.Rand, draw func() platformtest.EndpointFaults) {
	defer s.timeline.begin(scopeEndpoints)()
	var chosen []*endpoint
	for _, e := range s.endpoints {
		if rng.IntN(2) == 0 {
			chosen = append(chosen, e)
			e.SetFaults(draw())
		}
	}
	pause(ctx, 2*randomDuration(rng))
	for _, e := range chosen {
		e.SetFaults(platformtest.EndpointFaults{})
	}
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
	defer s.timeline.begin(scopeEndpoints, scopeLinks)()
	s.breakRelays(ctx, rng, s.randomEndpoint(rng).relay)
}

// raiseLoad raises the load of the callers to 5 to 14 times the usual load.
func (s *soak) raiseLoad(ctx context.Context, rng *rand.Rand) {
	defer s.timeline.begin(scopeOverload)()
	s.loadFactor.set(5 + int64(rng.IntN(10)))
	pause(ctx, randomDuration(rng))
	s.loadFactor.set(1)
}

const maxLeaving = 3 // endpoints that leave at the same time

// leaveInResponses makes some endpoints state in their responses that they leave while the store refuses all calls and still lists them
// as ready. They leave in the store after that, and are restarted with new ids.
func (s *soak) leaveInResponses(ctx context.Context, rng *rand.Rand) {
	var leaving []*endpoint
	for range 1 + rng.IntN(maxLeaving) {
		if e := s.randomEndpoint(rng); e.processMu.TryLock() {
			defer e.processMu.Unlock()
			leaving = append(leaving, e)
		}
	}
	end := s.timeline.begin(scopeStore)
	s.setStoreFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	for _, e := range leaving {
		e.LeaveInResponses()
		s.requests.endpointStatesLeaving(e.ID(), time.Now())
	}
	pause(ctx, drainTime+time.Second+randomDuration(rng))
	s.setStoreFaults(platformtest.StoreFaults{})
	end()
	for _, e := range leaving {
		e.Leave(rng.IntN(2) == 0)
		s.requests.endpointLeaving(e.ID(), time.Now())
	}
	pause(ctx, drainTime+time.Second)
	for _, e := range leaving {
		e.Kill()
		s.restartEndpoint(e, s.nextID(), 0)
	}
}

// rejectionDelays are values of Retry-After in seconds, the last three of which are malformed or absurd.
var rejectionDelays = []string{"1", "2", "1.5", "4", "-1", "soon", absurdDelay}

const absurdDelay = "31536000"

// rejectRequests makes one endpoint, or all endpoints of a service, reject requests with a delay for a random time. After an absurd delay,
// which hosts may observe for longer than the run lasts, the endpoints are restarted with new ids.
func (s *soak) rejectRequests(ctx context.Context, rng *rand.Rand) {
	defer s.timeline.begin(scopeEndpoints)()
	rejecting := []*endpoint{s.randomEndpoint(rng)}
	if rng.IntN(3) == 0 {
		rejecting = s.endpointsOf(services[rng.IntN(len(services))])
	}
	delay := rejectionDelays[rng.IntN(len(rejectionDelays))]
	for _, e := range rejecting {
		e.SetRejection(delay)
	}
	pause(ctx, 2*randomDuration(rng))
	for _, e := range rejecting {
		if delay != absurdDelay {
			e.SetRejection("")
		} else if e.processMu.TryLock() { // otherwise another fault restarts it
			s.requests.endpointKilled(e.ID())
			e.Kill()
			s.restartEndpoint(e, s.nextID(), 0)
			e.processMu.Unlock()
		}
	}
}

// rejectionDelay returns the delay that a Retry-After states. It returns false if hosts need not observe it in full.
func rejectionDelay(retryAfter string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(retryAfter, 64)
	delay := time.Duration(seconds * float64(time.Second))
	return delay, err == nil && delay > 0 && delay <= maxRejectionDelay
}

// maxRejectionDelay is the longest delay that hosts have to observe in full.
const maxRejectionDelay = 10 * time.Second
