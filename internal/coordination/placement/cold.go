package placement

import (
	"sync"
	"time"
)

const (
	// coldOutcomeWeight is the weight of one outcome in the share of a service's cold endpoints that reject requests. Between outcomes the share
	// decays exponentially with the time constant coldDecayTime.
	coldOutcomeWeight = 0.2
	coldDecayTime     = 3 * time.Second
)

// coldRejections estimates which share of the requests to a service's cold endpoints is rejected. Cold endpoints may accept few requests although
// they have free slots, from all hosts together. In a large deployment each host sends an endpoint so few requests that it would learn that of each
// endpoint by a rejection of its own.
type coldRejections struct {
	mu    sync.Mutex
	share float64
	at    time.Time
}

// RecordColdOutcome records whether an endpoint that is cold has rejected a request.
func (t *EndpointStats) RecordColdOutcome(service string, rejected bool, now time.Time) {
	v, ok := t.cold.Load(service)
	if !ok {
		if !rejected {
			return
		}
		v, _ = t.cold.LoadOrStore(service, &coldRejections{})
	}
	c := v.(*coldRejections)
	c.mu.Lock()
	defer c.mu.Unlock()
	sample := 0.0
	if rejected {
		sample = 1
	}
	share := c.decayed(now)
	c.share, c.at = share+coldOutcomeWeight*(sample-share), later(c.at, now)
}

func (c *coldRejections) decayed(now time.Time) float64 {
	return c.share * decay(c.at, now, coldDecayTime)
}

// coldRejectionRate returns the share of the requests to a service's cold endpoints that is rejected.
func (t *EndpointStats) coldRejectionRate(service string, now time.Time) float64 {
	v, ok := t.cold.Load(service)
	if !ok {
		return 0
	}
	c := v.(*coldRejections)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.decayed(now)
}
