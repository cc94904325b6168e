// Package twochoices picks, of two random endpoints, the one with fewer outstanding requests of this host (Mitzenmacher 2001).
package twochoices

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
	i, j := rand.IntN(len(candidates)), rand.IntN(len(candidates))
	if p.counts.Get(candidates[j].ID) < p.counts.Get(candidates[i].ID) {
		i = j
	}
	p.counts.Add(candidates[i].ID, 1)
	return i
}

// Done implements balancer.Picker.
func (p *Picker) Done(e endpoints.Endpoint, _ dispatch.Outcome) { p.counts.Add(e.ID, -1) }
