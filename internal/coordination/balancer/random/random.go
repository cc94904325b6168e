// Package random picks endpoints uniformly at random. It is the lower bound for comparisons of policies.
package random

import (
	"math/rand/v2"

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Picker implements balancer.Picker.
type Picker struct{}

// Pick implements balancer.Picker.
func (Picker) Pick(candidates []endpoints.Endpoint) int { return rand.IntN(len(candidates)) }

// Done implements balancer.Picker.
func (Picker) Done(endpoints.Endpoint, dispatch.Outcome) {}
