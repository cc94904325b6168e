package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

// hostName is the name in callers' requests.
const hostName = "shop.example"

// configBound is when a configuration holds on all hosts that are in touch with the store.
const configBound = 2 * time.Second

func firstConfig() routing.Config {
	cfg := routing.Config{Version: 10, Limits: routing.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
	for _, s := range services {
		cfg.Services = append(cfg.Services, routing.Service{Name: s, HealthPath: platformtest.HealthPath, MaxConnections: 220})
	}
	for i, r := range []struct {
		name       string
		idempotent bool
		service    string
	}{{"lookup", true, services[0]}, {"reserve", false, services[0]}, {"check", true, services[1]}, {"pay", false, services[1]}} {
		cfg.Routes = append(cfg.Routes, route(r.name, i, r.idempotent, r.service))
	}
	return cfg
}

func route(name string, priority int, idempotent bool, service string) routing.Route {
	return routing.Route{Name: name, Host: hostName, Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: routeTimeout, TargetLatency: targetLatency,
		Priority: priority, MaxAttempts: maxAttempts, Split: []routing.WeightedService{{Service: service, Weight: 1}}}
}

// contractHistory keeps all configurations with the time of their publication.
type contractHistory struct {
	mu   sync.Mutex
	list []published
}

type published struct {
	routing.Config
	at time.Time
}

// publish changes the configuration in force.
func (s *soak) publish(change func(*routing.Config)) {
	s.contract.mu.Lock()
	defer s.contract.mu.Unlock()
	var cfg routing.Config
	if n := len(s.contract.list); n > 0 {
		last := s.contract.list[n-1].Config
		cfg = last
		cfg.Version += 1 + last.Version%3
		cfg.Routes = append([]routing.Route{}, last.Routes...)
	}
	change(&cfg)
	s.store.Publish(cfg)
	s.contract.list = append(s.contract.list, published{cfg, time.Now()})
}

// newest returns the routes of the newest configuration.
func (h *contractHistory) newest() []routing.Route {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.list[len(h.list)-1].Routes
}

// allowed returns the services that may run a request for a route that arrives at a time, as far as any configuration says so. With
// inForce, only those of configurations that may be in force for a request that was sent at the time.
func (h *contractHistory) allowed(route string, at time.Time, inForce bool) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]bool{}
	for i, c := range h.list {
		if c.at.After(at.Add(configBound)) {
			break
		}
		if inForce && i+1 < len(h.list) && h.list[i+1].at.Add(configBound).Before(at) {
			continue // a newer one holds everywhere
		}
		for _, r := range c.Routes {
			if r.Name == route {
				for _, part := range r.Split {
					out[part.Service] = true
				}
			}
		}
	}
	return out
}

// move sends a route to the other service.
func move(cfg *routing.Config, i int) {
	r := &cfg.Routes[i%len(cfg.Routes)]
	other := services[0]
	if r.Split[0].Service == other {
		other = services[1]
	}
	r.Split = []routing.WeightedService{{Service: other, Weight: 1}}
}

// split divides a route between both services.
func split(cfg *routing.Config, i int) {
	r := &cfg.Routes[i%len(cfg.Routes)]
	r.Split = []routing.WeightedService{{Service: services[0], Weight: 3}, {Service: services[1], Weight: 1}}
}

// addRoute adds a route and drops the oldest added one beyond two.
func addRoute(cfg *routing.Config, _ int) {
	cfg.Routes = append(cfg.Routes, route(fmt.Sprintf("added-%d", cfg.Version), len(cfg.Routes), true, services[0]))
	if base := len(firstConfig().Routes); len(cfg.Routes) > base+2 {
		cfg.Routes = append(cfg.Routes[:base:base], cfg.Routes[base+1:]...)
	}
}
