package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

// Times of the power loss at the end of the run.
const (
	maxPowerOff  = 2 * time.Second // time for which hosts are without power
	recoveryTime = 4 * time.Second // time after the start of the last host until requests have to be served again
	measuredTime = 3 * time.Second // length of the period after recoveryTime in which they are counted
)

// scopeRecovered is the scope of the period after the recovery from the power loss.
const scopeRecovered = "recovered"

// losePower cuts the power of all hosts at the same moment, right after the store has acknowledged a change of the configuration, and
// restores it. Callers go on. Their connections are reset or, in half of the runs, stay silent, as with a machine that is gone.
func (s *soak) losePower(ctx context.Context, rng *rand.Rand) {
	silent := rng.IntN(2) == 0
	s.changeConfig(ctx, rng)
	ends := make([]func(), len(s.hosts))
	var all sync.WaitGroup
	for i, h := range s.hosts {
		ends[i] = s.timeline.begin(scopeNetwork, h.scope(), h.restarts())
		if silent {
			h.callerRelay.Silence()
			if h.peerRelay != nil {
				h.peerRelay.Silence()
			}
			h.callerRelay.SetMode(testbed.Stall)
		}
		all.Go(h.kill)
	}
	all.Wait()
	s.ledger.Add("losses of power", 1)
	pause(ctx, time.Duration(rng.Float64()*float64(maxPowerOff)))
	for i, h := range s.hosts {
		h.callerRelay.SetMode(testbed.Pass)
		s.restart(h)
		ends[i]()
	}
}

// checkPowerLoss plays a loss of power and checks that each host becomes ready again. audit checks the requests that were sent meanwhile
// and those of the period after recoveryTime.
func (s *soak) checkPowerLoss(ctx context.Context) {
	s.losePower(ctx, rand.New(rand.NewPCG(s.Seed, 12)))
	s.checkReady(ctx)
	pause(ctx, recoveryTime)
	end := s.timeline.begin(scopeRecovered)
	pause(ctx, measuredTime)
	end()
}

// auditRecovery checks that requests are served after the recovery from a loss of power. Their configuration and their runs are checked
// with those of all requests.
func (s *soak) auditRecovery() {
	total, served := 0, 0
	unserved := map[string]int{}
	for _, r := range s.requests.list {
		if r.outcome == cancelled || r.unread || !s.timeline.contains(scopeRecovered, r.sent) {
			continue
		}
		total++
		if r.served() {
			served++
		} else {
			unserved[r.result()]++
		}
	}
	s.ledger.Check(servedAfterPowerLoss, total > 0 && float64(served) >= minServedShare*float64(total), "%d of %d requests were served from %s after all hosts had power again, the others: %v", served, total, recoveryTime, unserved)
}
