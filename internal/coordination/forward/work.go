package forward

import (
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/placement"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// workTimes estimates the usual duration of a route's requests.
type workTimes struct{ routes sync.Map } // name -> *workTime

type workTime struct {
	mu   sync.Mutex
	mean time.Duration
}

const (
	// workShare of a route's target latency is taken for its usual duration until requests have shown it.
	workShare = 3
	// fallbackWork is taken for routes without a target.
	fallbackWork = 100 * time.Millisecond
	// workGain weighs one observation.
	workGain = 0.05
)

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

func (w *workTimes) of(route *routing.Route) time.Duration {
	e := w.entry(route)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mean
}

// observe learns from a request that started at an endpoint with the given load. Requests that started on a slow or busy one say
// little about the usual duration.
func (w *workTimes) observe(route *routing.Route, took time.Duration, l placement.Load) {
	if l.Slots == 0 || l.Slowness > 1.2 || l.Running >= l.Slots {
		return
	}
	e := w.entry(route)
	e.mu.Lock()
	defer e.mu.Unlock()
	// One slowed request must not count for many usual ones.
	took = min(took, 2*e.mean)
	e.mean += time.Duration(workGain * float64(took-e.mean))
}
