package balancer

import (
	"maps"
	"sync"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Counts holds the number of outstanding requests of this host at each endpoint. It is safe for concurrent use, and its zero
// value is ready to use.
type Counts struct {
	mu         sync.Mutex
	byEndpoint map[endpoints.ID]int
}

// Add changes the count of an endpoint by delta and returns the new count, which is never below zero.
func (c *Counts) Add(id endpoints.ID, delta int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byEndpoint == nil {
		c.byEndpoint = map[endpoints.ID]int{}
	}
	n := c.byEndpoint[id] + delta
	if n <= 0 {
		delete(c.byEndpoint, id)
		return 0
	}
	c.byEndpoint[id] = n
	return n
}

// Get returns the count of an endpoint.
func (c *Counts) Get(id endpoints.ID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byEndpoint[id]
}

// All returns a copy of the counts that are above zero.
func (c *Counts) All() map[endpoints.ID]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byEndpoint)
}

// LowestCost returns the index of the candidate with the lowest cost. The comparison begins at the index start, which callers
// draw at random so that ties do not favour the first candidate.
func LowestCost(candidates []endpoints.Endpoint, start int, cost func(endpoints.Endpoint) float64) int {
	best, bestCost := -1, 0.0
	for i := range candidates {
		j := (start + i) % len(candidates)
		if c := cost(candidates[j]); best < 0 || c < bestCost {
			best, bestCost = j, c
		}
	}
	return best
}
