package forward

import (
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// workTimes estimates the usual duration of requests for each route: their service time at an endpoint that is neither slow nor full.
type workTimes struct{ routes sync.Map } // name -> *workTime

// workTime is the estimate for one route.
type workTime struct {
	mu   sync.Mutex
	mean time.Duration // exponentially weighted moving average
}

const (
	// workShare divides a route's target latency to get the estimate with which the route starts.
	workShare = 3
	// fallbackWork is the estimate with which a route without a target latency starts.
	fallbackWork = 100 * time.Millisecond
	// workGain is the weight of one observation in the moving average.
	workGain = 0.05
)

// entry returns the estimate of a route and adds it if it does not exist yet.
func (w *workTimes) entry(route *routing.Route) *workTime {
	if e, ok := w.routes.Load(route.Name); ok {
		return e.(*workTime)
	}
	first := &workTime{mean: route.TargetLatency / workShare}
	if first.mean == 0 {
		first.mean = fallbackWork
	}
	e, _ := w.routes.LoadOrStore(route.Name, first)
	return e.(*workTime)
}

// of returns the usual duration of a route's requests.
func (w *workTimes) of(route *routing.Route) time.Duration {
	e := w.entry(route)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mean
}

// observe updates the estimate with the duration of a request that an endpoint with the given load answered. Requests to an endpoint that
// is slow, has no free slot or reports no load are left out, because their durations say little about the usual one.
func (w *workTimes) observe(route *routing.Route, took time.Duration, l placement.Load) {
	if l.Slots == 0 || l.Slowness > 1.2 || l.Running >= l.Slots {
		return
	}
	e := w.entry(route)
	e.mu.Lock()
	defer e.mu.Unlock()
	// A single slow request must not outweigh many usual ones.
	took = min(took, 2*e.mean)
	e.mean += time.Duration(workGain * float64(took-e.mean))
}
