package balancer

import (
	"maps"
	"sync"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

// Counts holds the number of outstanding requests of this host at each endpoint. It is safe for concurrent use, and its zero
// value is ready to use.
type Counts struct {
	mu sync.Mutex
	n  map[endpoints.ID]int
}

// Add changes the count of an endpoint by a difference and returns the new count, which is never below zero.
func (c *Counts) Add(id endpoints.ID, by int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[endpoints.ID]int{}
	}
	n := c.n[id] + by
	if n <= 0 {
		delete(c.n, id)
		return 0
	}
	c.n[id] = n
	return n
}

// Get returns the count of an endpoint.
func (c *Counts) Get(id endpoints.ID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[id]
}

// All returns a copy of the counts that are above zero.
func (c *Counts) All() map[endpoints.ID]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.n)
}

// Least returns the index of the candidate with the lowest cost. The comparison begins at the index start, which callers draw
// at random so that ties do not favour the first candidate.
func Least(candidates []endpoints.Endpoint, start int, cost func(endpoints.Endpoint) float64) int {
	best, bestCost := -1, 0.0
	for i := range candidates {
		j := (start + i) % len(candidates)
		if c := cost(candidates[j]); best < 0 || c < bestCost {
			best, bestCost = j, c
		}
	}
	return best
}
