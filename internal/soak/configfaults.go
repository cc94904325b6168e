package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

func (s *soak) changeConfig(_ context.Context, rng *rand.Rand) {
	change := []func(*routing.Config, int){moveRoute, splitRoute, addRoute}[rng.IntN(3)]
	i := rng.IntN(16)
	s.changing.Lock()
	defer s.changing.Unlock()
	s.publish(func(cfg *routing.Config) { change(cfg, i) })
}

func (s *soak) changeConfigRepeatedly(ctx context.Context, rng *rand.Rand) {
	for range 5 {
		s.changeConfig(ctx, rng)
		pause(ctx, randomDuration(rng)/20)
	}
}

const (
	slowLinkBitsPerS = 10e6
	slowHostShare    = 0.5             // part of the hosts whose links are slow while the configuration is large, in two of three cases; all in the third
	bulkRoutes       = 4_800           // routes that are added at once, over 1 MB
	largeConfigTime  = 5 * time.Second // time for which the configuration stays large
)

// growConfig adds thousands of routes to the configuration while the links of some hosts from the store and from their peers are slow,
// and removes the routes later. It does nothing beside another change and holds off other changes meanwhile, because several large configurations within maxConfigDelay
// are more than such a link can carry in that time.
func (s *soak) growConfig(ctx context.Context, rng *rand.Rand) {
	if !s.changing.TryLock() {
		return
	}
	defer s.changing.Unlock()
	var slow []*host
	all := rng.IntN(3) == 0
	for _, h := range s.hosts {
		if all || rng.Float64() < slowHostShare {
			slow = append(slow, h)
		}
	}
	setBandwidth := func(bitsPerS float64) {
		for _, h := range slow {
			h.storeRelay.SetBandwidth(bitsPerS)
			if h.peerRelay != nil {
				h.peerRelay.SetBandwidth(bitsPerS)
			}
		}
	}
	setBandwidth(slowLinkBitsPerS)
	defer setBandwidth(0)
	i := rng.IntN(16)
	s.publish(func(cfg *routing.Config) {
		moveRoute(cfg, i)
		for i := range bulkRoutes {
			cfg.Routes = append(cfg.Routes, route(fmt.Sprintf("added-%d-%08x", cfg.Version, rng.Uint32()), 0, true, services[i%len(services)]))
		}
	})
	pause(ctx, largeConfigTime)
	s.publish(func(cfg *routing.Config) { cfg.Routes = cfg.Routes[:len(cfg.Routes)-bulkRoutes] })
	pause(ctx, maxConfigDelay)
}
