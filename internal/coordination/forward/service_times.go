package forward

import (
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// serviceTimeEstimator estimates the usual duration of the requests of each route, which is their service time at an endpoint that is
// neither slow nor full.
type serviceTimeEstimator struct{ routes sync.Map } // route name -> *serviceTimeEstimate

// serviceTimeEstimate is the estimate for one route.
type serviceTimeEstimate struct {
	mu   sync.Mutex
	mean time.Duration // exponentially weighted moving average
}

const (
	// The estimate of a route starts at its target latency divided by initialTargetDivisor.
	initialTargetDivisor = 3
	// defaultServiceTime is the estimate with which a route without a target latency starts.
	defaultServiceTime = 100 * time.Millisecond
	// observationWeight is the weight of one observation in the moving average.
	observationWeight = 0.05
)

// entry returns the entry of a route and adds it if it does not exist yet.
func (s *serviceTimeEstimator) entry(route *routing.Route) *serviceTimeEstimate {
	if e, ok := s.routes.Load(route.Name); ok {
		return e.(*serviceTimeEstimate)
	}
	initial := &serviceTimeEstimate{mean: route.TargetLatency / initialTargetDivisor}
	if initial.mean == 0 {
		initial.mean = defaultServiceTime
	}
	e, _ := s.routes.LoadOrStore(route.Name, initial)
	return e.(*serviceTimeEstimate)
}

// estimate returns the estimated usual duration of a route's requests.
func (s *serviceTimeEstimator) estimate(route *routing.Route) time.Duration {
	e := s.entry(route)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mean
}

// observe updates the estimate with the duration of a request that an endpoint with the given load answered. Requests to an endpoint that
// is slow, has no free slot or reports no load are left out, because their durations say little about the usual one.
func (s *serviceTimeEstimator) observe(route *routing.Route, took time.Duration, l placement.Load) {
	if l.Slots == 0 || l.Slowness > 1.2 || l.Running >= l.Slots {
		return
	}
	e := s.entry(route)
	e.mu.Lock()
	defer e.mu.Unlock()
	// A single slow request must not outweigh many usual ones.
	took = min(took, 2*e.mean)
	e.mean += time.Duration(observationWeight * float64(took-e.mean))
}
