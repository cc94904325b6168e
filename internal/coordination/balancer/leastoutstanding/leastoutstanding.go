// Package leastoutstanding picks the endpoint with the fewest outstanding requests per slot. It counts only this host's requests.
package leastoutstanding

import (
	"math/rand/v2"

	"github.com/arbutusspan/arbutusspan/internal/coordination/balancer"
	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Picker implements balancer.Picker. The zero value is ready to use.
type Picker struct{ counts balancer.Counts }

// Pick implements balancer.Picker.
func (p *Picker) Pick(candidates []endpoints.Endpoint) int {
	i := balancer.LowestCost(candidates, rand.IntN(len(candidates)), func(e endpoints.Endpoint) float64 {
		return float64(p.counts.Get(e.ID)) / float64(max(1, e.Slots))
	})
	p.counts.Add(candidates[i].ID, 1)
	return i
}

// Done implements balancer.Picker.
func (p *Picker) Done(e endpoints.Endpoint, _ dispatch.Outcome) { p.counts.Add(e.ID, -1) }
