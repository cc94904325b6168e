// Package loadexchange picks the endpoint with the fewest outstanding requests per slot. It counts the requests of all hosts:
// each host sends its counts to all others at a fixed interval.
package loadexchange

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/coordination/balancer"
	"github.com/arbutusspan/arbutusspan/internal/coordination/dispatch"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
)

const (
	// Interval is the time between two exchanges.
	Interval = 10 * time.Millisecond
	// countsLifetime is how long the counts of another host are used if no newer ones arrive from it.
	countsLifetime = 10 * Interval
)

// Count is the number of outstanding requests that the sending host has at one endpoint.
type Count struct {
	ID          endpoints.ID `cbor:"1,keyasint"`
	Outstanding int          `cbor:"2,keyasint"`
}

// Picker implements balancer.Picker.
type Picker struct {
	counts balancer.Counts
	mu     sync.Mutex
	others map[string]hostCounts // latest counts of each other host
	totals map[endpoints.ID]int  // totals of others; replaced as a whole, never changed in place
}

type hostCounts struct {
	receivedAt time.Time
	counts     []Count
}

// New returns a Picker without counts of other hosts.
func New() *Picker { return &Picker{others: map[string]hostCounts{}} }

// Pick implements balancer.Picker.
func (p *Picker) Pick(candidates []endpoints.Endpoint) int {
	p.mu.Lock()
	totals := p.totals
	p.mu.Unlock()
	i := balancer.LowestCost(candidates, rand.IntN(len(candidates)), func(e endpoints.Endpoint) float64 {
		return float64(p.counts.Get(e.ID)+totals[e.ID]) / float64(max(1, e.Slots))
	})
	p.counts.Add(candidates[i].ID, 1)
	return i
}

// Done implements balancer.Picker.
func (p *Picker) Done(e endpoints.Endpoint, _ dispatch.Outcome) { p.counts.Add(e.ID, -1) }

// Receive replaces the counts of another host. It also drops the counts of hosts that sent none for countsLifetime.
func (p *Picker) Receive(now time.Time, host string, counts []Count) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.others[host] = hostCounts{now, counts}
	totals := map[endpoints.ID]int{}
	for name, r := range p.others {
		if now.Sub(r.receivedAt) > countsLifetime {
			delete(p.others, name)
			continue
		}
		for _, c := range r.counts {
			totals[c.ID] += c.Outstanding
		}
	}
	p.totals = totals
}

// Run calls send with this host's counts at each Interval until ctx is done. send must not block for long.
func (p *Picker) Run(ctx context.Context, send func(ctx context.Context, counts []Count)) {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var counts []Count
		for id, n := range p.counts.All() {
			counts = append(counts, Count{id, n})
		}
		send(ctx, counts)
	}
}
