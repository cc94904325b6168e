package placement

import (
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

const (
	// paceWeight is the weight of one answer in an endpoint's pace. Between answers, the pace returns to the mean of the zone with the
	// time constant paceDecayTime.
	paceWeight    = 0.5
	paceDecayTime = 500 * time.Millisecond
	// meanPaceWeight is the weight of one answer in the mean of a zone, once there were many.
	meanPaceWeight = 0.03
	// maxPace bounds the influence of one slow answer, and minPace that of one fast answer.
	maxPace = 10
	minPace = 0.1
)

// pace is the recent duration of requests at an endpoint that reports no load, as a multiple of their usual duration. It shows both that the
// endpoint is slow and that requests of other hosts wait there.
type pace struct {
	excess     float64 // over the mean of the zone
	recordedAt time.Time
}

func (p *pace) at(mean float64, now time.Time) float64 {
	return max(minPace, mean+p.excess*decay(p.recordedAt, now, paceDecayTime))
}

// meanPace is the mean pace of a service's endpoints, in this host's zone or in all others together.
type meanPace struct {
	mu      sync.Mutex
	mean    float64
	answers float64
}

type paceKey struct {
	service string
	local   bool
}

// meanPace returns the mean pace of a service, in this host's zone or in others. It is assumedSlowness before the first answer.
func (t *EndpointStats) meanPace(service string, local bool) *meanPace {
	key := paceKey{service, local}
	if p, ok := t.paces.Load(key); ok {
		return p.(*meanPace)
	}
	p, _ := t.paces.LoadOrStore(key, &meanPace{mean: assumedSlowness})
	return p.(*meanPace)
}

func (p *meanPace) get() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mean
}

// record adds an answer and returns the mean.
func (p *meanPace) record(multiple float64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers++
	p.mean += max(meanPaceWeight, 1/p.answers) * (multiple - p.mean)
	return p.mean
}

// RecordPace records how long an endpoint that reports no load took to answer a request, as a multiple of the request's usual duration.
func (t *EndpointStats) RecordPace(e endpoints.Endpoint, multiple float64, now time.Time) {
	multiple = min(multiple, maxPace)
	mean := t.meanPace(e.Service, e.Zone == t.cfg.Zone).record(multiple)
	t.update(e.ID, now, func(s *endpointEntry) {
		old := s.pace.at(mean, now)
		s.pace = pace{old + paceWeight*(multiple-old) - mean, later(s.pace.recordedAt, now)}
	})
}
