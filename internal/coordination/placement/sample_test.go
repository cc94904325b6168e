package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
)

// manyEndpoints returns n endpoints of service "s", a fifth of them in each of the zones "z0" to "z4".
func manyEndpoints(n int) []registry.Endpoint {
	var list []registry.Endpoint
	for i := range n {
		name := fmt.Sprint("e", i)
		list = append(list, registry.Endpoint{Name: name, Endpoint: endpoints.Endpoint{ID: endpoints.ID{Address: name, Incarnation: name},
			Service: "s", Zone: fmt.Sprint("z", i%5), Slots: 2}})
	}
	return list
}

func newStatsInZone(zone string) *EndpointStats {
	cfg := DefaultConfig()
	cfg.Zone = zone
	return NewEndpointStats(cfg)
}

// TestSampleCostIsBounded guards against decisions whose cost grows with the deployment: with thousands of endpoints, each request and each
// wait built a view of all of them and kept an entry for each.
func TestSampleCostIsBounded(t *testing.T) {
	is := is.New(t)
	stats := newStatsInZone("z0")
	list := manyEndpoints(6600)
	now := time.Now()
	is.True(len(stats.Sample("s", list, Random, now)) <= 2*sampleSize)
	entries := 0
	for i := range stats.shards {
		entries += len(stats.shards[i].entries)
	}
	is.True(entries <= 2*sampleSize)
	allocated := testing.AllocsPerRun(20, func() { stats.Sample("s", list, func(n int) int { return n / 2 }, now) })
	is.True(allocated <= 8)
}

// TestSampleHoldsFreshLoads guards against endpoints that a host knows to be idle and does not consider: those with a fresh load report are
// always in the sample, unless they have left.
func TestSampleHoldsFreshLoads(t *testing.T) {
	is := is.New(t)
	stats := newStatsInZone("z0")
	list := manyEndpoints(500)
	start := time.Now()
	for i := 100; i < 130; i++ {
		stats.RecordLoad(list[i].Endpoint, idle(), start)
	}
	fresh := func(list []registry.Endpoint, now time.Time) int {
		n := 0
		for _, v := range stats.Sample("s", list, Random, now) {
			if v.HasFreshLoad(stats.cfg.MaxLoadAge) {
				n++
			}
		}
		return n
	}
	is.Equal(fresh(list, start), 30)
	is.Equal(fresh(append([]registry.Endpoint(nil), list[110:]...), start), 20) // ten have left
	is.Equal(fresh(list, start.Add(stats.cfg.MaxLoadAge+time.Millisecond)), 0)
}

// TestSampleProperties checks that a sample holds each endpoint at most once, only listed ones, and as many of the own zone and of others as
// there are, up to sampleSize. Over many samples, every endpoint is drawn.
func TestSampleProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stats := newStatsInZone("z0")
		list := manyEndpoints(rapid.IntRange(0, 200).Draw(t, "endpoints"))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		seen := map[string]bool{}
		for range 300 {
			local, remote := 0, 0
			inSample := map[string]bool{}
			for _, v := range stats.Sample("s", list, random.IntN, time.Now()) {
				if inSample[v.Name] {
					t.Fatalf("%s is drawn twice", v.Name)
				}
				inSample[v.Name], seen[v.Name] = true, true
				if v.Local {
					local++
				} else {
					remote++
				}
			}
			locals := (len(list) + 4) / 5
			if local != min(sampleSize, locals) || remote != min(sampleSize, len(list)-locals) {
				t.Fatalf("%d of the own zone and %d others of %d", local, remote, len(list))
			}
		}
		if len(seen) != len(list) {
			t.Fatalf("%d of %d endpoints drawn in 300 samples", len(seen), len(list))
		}
	})
}
