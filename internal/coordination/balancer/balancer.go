// Package balancer defines the interface of policies by which an entry host picks an endpoint itself, without a queue. The
// policies are the baselines with which the queue in package dispatch is compared.
package balancer

import (
	"context"
	"sync/atomic"

	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// Picker chooses among the usable endpoints of one service. Implementations are safe for concurrent use.
type Picker interface {
	// Pick returns the index of the chosen endpoint. candidates is not empty and must not be changed.
	Pick(candidates []endpoints.Endpoint) int
	// Done reports the outcome of a request that Pick placed.
	Done(e endpoints.Endpoint, o dispatch.Outcome)
}

// Source returns the usable endpoints of a service.
type Source interface {
	Snapshot(service string) *endpoints.Snapshot
}

// Granter adapts a Picker to dispatch.Granter. It grants or denies a request at once and never queues it.
type Granter struct {
	source Source
	picker Picker
	nextID atomic.Uint64
}

// NewGranter returns a Granter that lets picker choose among the endpoints of source.
func NewGranter(source Source, picker Picker) *Granter {
	return &Granter{source: source, picker: picker}
}

// Acquire implements dispatch.Granter.
func (g *Granter) Acquire(_ context.Context, r dispatch.Request) (dispatch.Grant, error) {
	if r.NoWait {
		// A Picker does not know which slots are free.
		return dispatch.Grant{}, &dispatch.DeniedError{Reason: refusals.NoUpstream, Detail: "free slots of " + r.Service + " are not known"}
	}
	candidates := excluding(g.source.Snapshot(r.Service).Endpoints, r.ExcludedEndpoints)
	if len(candidates) == 0 {
		return dispatch.Grant{}, &dispatch.DeniedError{Reason: refusals.NoUpstream, Detail: "no usable endpoint of " + r.Service + " is known"}
	}
	return dispatch.Grant{ID: g.nextID.Add(1), Endpoint: candidates[g.picker.Pick(candidates)]}, nil
}

// Release implements dispatch.Granter.
func (g *Granter) Release(grant dispatch.Grant, o dispatch.Outcome) { g.picker.Done(grant.Endpoint, o) }

// excluding returns the endpoints of all that are not in excluded.
func excluding(all []endpoints.Endpoint, excluded []endpoints.ID) []endpoints.Endpoint {
	if len(excluded) == 0 {
		return all
	}
	var remaining []endpoints.Endpoint
next:
	for _, e := range all {
		for _, id := range excluded {
			if e.ID == id {
				continue next
			}
		}
		remaining = append(remaining, e)
	}
	return remaining
}
