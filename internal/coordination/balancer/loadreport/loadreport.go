// Package loadreport picks the less loaded of two random endpoints. The load of an endpoint is what it reported with its last
// response plus the requests that this host has sent to it since.
package loadreport

import (
	"math/rand/v2"
	"sync"

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Picker implements balancer.Picker.
type Picker struct {
	mu    sync.Mutex
	loads map[endpoints.ID]*endpointLoad
}

type endpointLoad struct {
	reported    float64 // requests in flight per slot
	sentSince   int     // requests sent since the report, without those that ended without a new report
	outstanding int     // outstanding requests of this host; at 0, the entry of an endpoint without load is deleted
}

// New returns a Picker without load reports.
func New() *Picker { return &Picker{loads: map[endpoints.ID]*endpointLoad{}} }

// Pick implements balancer.Picker.
func (p *Picker) Pick(candidates []endpoints.Endpoint) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, j := rand.IntN(len(candidates)), rand.IntN(len(candidates))
	if p.cost(candidates[j]) < p.cost(candidates[i]) {
		i = j
	}
	l := p.loads[candidates[i].ID]
	if l == nil {
		l = &endpointLoad{}
		p.loads[candidates[i].ID] = l
	}
	l.sentSince++
	l.outstanding++
	return i
}

// cost returns the load of an endpoint in requests per slot, or 0 if nothing is known of it.
func (p *Picker) cost(e endpoints.Endpoint) float64 {
	l := p.loads[e.ID]
	if l == nil {
		return 0
	}
	return l.reported + float64(l.sentSince)/float64(max(1, e.Slots))
}

// Done implements balancer.Picker.
func (p *Picker) Done(e endpoints.Endpoint, o dispatch.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[e.ID]
	if l == nil {
		return
	}
	l.outstanding--
	if o.Slots > 0 {
		l.reported, l.sentSince = float64(o.InFlight)/float64(o.Slots), 0
	} else {
		l.sentSince = max(0, l.sentSince-1)
	}
	if l.outstanding <= 0 && l.reported == 0 && l.sentSince == 0 {
		delete(p.loads, e.ID)
	}
}
