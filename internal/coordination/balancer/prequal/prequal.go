// Package prequal implements Prequal (Wydrowski et al., NSDI 2024). It probes endpoints asynchronously for their requests in
// flight and their latency and keeps a pool of the results. Among the endpoints whose load is not one of the highest in the
// pool it picks the one with the lowest latency; if there is none, it picks the least loaded endpoint.
package prequal

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Parameters from the paper's evaluation, except the probe timeout, which suits upstreams in the same region.
const (
	probesPerRequest  = 3
	poolSize          = 16
	maxResultAge      = time.Second
	maxResultUses     = 3    // picks for which one probe result is used
	hotQuantile       = 0.84 // quantile of the loads in the pool; an endpoint with a higher load is hot
	probeTimeout      = 100 * time.Millisecond
	maxProbesInFlight = 64
)

// Load is the load of an endpoint as a probe found it.
type Load struct {
	InFlight int
	Latency  time.Duration // the endpoint's own estimate, or the duration of the probe
}

// Probe asks an endpoint for its load.
type Probe func(ctx context.Context, e endpoints.Endpoint) (Load, error)

// Picker implements balancer.Picker.
type Picker struct {
	probe      Probe
	probeSlots chan struct{} // semaphore of maxProbesInFlight
	mu         sync.Mutex
	pool       []probeResult // oldest first
}

type probeResult struct {
	id         endpoints.ID
	load       Load
	receivedAt time.Time
	uses       int
}

// New returns a Picker with an empty pool.
func New(probe Probe) *Picker {
	return &Picker{probe: probe, probeSlots: make(chan struct{}, maxProbesInFlight)}
}

// Pick implements balancer.Picker.
func (p *Picker) Pick(candidates []endpoints.Endpoint) int {
	for range probesPerRequest {
		p.startProbe(candidates[rand.IntN(len(candidates))])
	}
	return p.pick(time.Now(), candidates)
}

// pick removes from the pool the results that are too old, were used maxResultUses times or belong to no candidate. It picks
// by the others, or at random if there are none.
func (p *Picker) pick(now time.Time, candidates []endpoints.Endpoint) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool = slices.DeleteFunc(p.pool, func(r probeResult) bool {
		return now.Sub(r.receivedAt) > maxResultAge || r.uses >= maxResultUses || indexOf(candidates, r.id) < 0
	})
	if len(p.pool) == 0 {
		return rand.IntN(len(candidates))
	}
	loads := make([]int, len(p.pool))
	for i, r := range p.pool {
		loads[i] = r.load.InFlight
	}
	slices.Sort(loads)
	hotThreshold := loads[int(hotQuantile*float64(len(loads)-1))]
	best := 0
	for i, r := range p.pool {
		if better(r.load, p.pool[best].load, hotThreshold) {
			best = i
		}
	}
	r := &p.pool[best]
	r.uses++
	r.load.InFlight++ // the request for which the endpoint is picked
	return indexOf(candidates, r.id)
}

// better reports whether an endpoint with load a is preferred to one with load b. Endpoints that are not hot are preferred to
// hot ones and are compared by latency; hot endpoints are compared by their requests in flight.
func better(a, b Load, hotThreshold int) bool {
	aHot, bHot := a.InFlight > hotThreshold, b.InFlight > hotThreshold
	switch {
	case aHot != bHot:
		return bHot
	case aHot:
		return a.InFlight < b.InFlight
	}
	return a.Latency < b.Latency
}

func indexOf(candidates []endpoints.Endpoint, id endpoints.ID) int {
	return slices.IndexFunc(candidates, func(e endpoints.Endpoint) bool { return e.ID == id })
}

// startProbe probes the endpoint in the background, unless maxProbesInFlight probes are in flight.
func (p *Picker) startProbe(e endpoints.Endpoint) {
	select {
	case p.probeSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-p.probeSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if load, err := p.probe(ctx, e); err == nil {
			p.addResult(time.Now(), e.ID, load)
		}
	}()
}

// addResult adds a probe result to the pool. In a full pool it replaces the oldest one.
func (p *Picker) addResult(now time.Time, id endpoints.ID, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pool) >= poolSize {
		p.pool = slices.Delete(p.pool, 0, 1)
	}
	p.pool = append(p.pool, probeResult{id: id, load: load, receivedAt: now})
}

// Done implements balancer.Picker.
func (p *Picker) Done(endpoints.Endpoint, dispatch.Outcome) {}
