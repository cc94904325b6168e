package soak

import (
	"fmt"
	"math/rand/v2"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/platform/platformtest"
)

// virtualHost is the Host header of callers' requests.
const virtualHost = "shop.example"

// maxConfigDelay is the time after its publication at which a configuration is in force on all hosts that are connected to the store.
const maxConfigDelay = 2 * time.Second

func firstConfig() routing.Config {
	cfg := routing.Config{Version: 10, Limits: routing.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
	for _, s := range services {
		cfg.Services = append(cfg.Services, routing.Service{Name: s, HealthPath: platformtest.HealthPath, MaxConnections: 220})
	}
	for i, r := range []struct {
		name       string
		idempotent bool
		service    string
	}{{"lookup", true, services[0]}, {"reserve", false, services[0]}, {"check", true, services[1]}, {"pay", false, services[1]}, {longRoute, true, services[1]}} {
		cfg.Routes = append(cfg.Routes, route(r.name, i, r.idempotent, r.service))
	}
	return cfg
}

const (
	// longRoute is a route to which callers also send requests with up to maxExtraWork of work while hosts stop.
	longRoute    = "report"
	longTimeout  = 5 * time.Second // timeout of longRoute in half of the runs, instead of routeTimeout
	maxExtraWork = 4500 * time.Millisecond
	// extraWorkParameter is the query parameter with the additional work of a request in milliseconds.
	extraWorkParameter = "work"
)

// publishFirst publishes the first configuration of the run.
func (s *soak) publishFirst() {
	s.publish(func(cfg *routing.Config) {
		*cfg = firstConfig()
		if rand.New(rand.NewPCG(s.Seed, 15)).IntN(2) == 0 {
			cfg.Routes[len(cfg.Routes)-1].Timeout = longTimeout
		}
	})
}

// extraWork returns the additional work that the target of a request states.
func extraWork(target string) time.Duration {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return 0
	}
	ms, err := strconv.Atoi(u.Query().Get(extraWorkParameter))
	if err != nil {
		return 0 // most requests state none
	}
	return time.Duration(ms) * time.Millisecond
}

func route(name string, priority int, idempotent bool, service string) routing.Route {
	return routing.Route{Name: name, Host: virtualHost, Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: routeTimeout, TargetLatency: targetLatency,
		Priority: priority, MaxAttempts: maxAttempts, Split: []routing.WeightedService{{Service: service, Weight: 1}}}
}

// configHistory keeps all configurations with their times of publication.
type configHistory struct {
	mu   sync.Mutex
	list []publishedConfig
}

type publishedConfig struct {
	routing.Config
	services map[string][]string // route -> services to which it goes
	at       time.Time
}

// newPublishedConfig returns a configuration that is published now.
func newPublishedConfig(cfg routing.Config) publishedConfig {
	p := publishedConfig{Config: cfg, services: make(map[string][]string, len(cfg.Routes)), at: time.Now()}
	for _, r := range cfg.Routes {
		for _, part := range r.Split {
			p.services[r.Name] = append(p.services[r.Name], part.Service)
		}
	}
	return p
}

// publish applies a change to the newest configuration and publishes the result with a higher version.
func (s *soak) publish(change func(*routing.Config)) {
	s.configs.mu.Lock()
	defer s.configs.mu.Unlock()
	var cfg routing.Config
	if n := len(s.configs.list); n > 0 {
		last := s.configs.list[n-1].Config
		cfg = last
		cfg.Version += 1 + last.Version%3
		cfg.Routes = append([]routing.Route{}, last.Routes...)
	}
	change(&cfg)
	s.store.Publish(cfg)
	s.configs.list = append(s.configs.list, newPublishedConfig(cfg))
}

// maxDrawnRoutes is the number of routes to which callers send requests, newestDrawn of which are the last ones of the configuration.
const (
	maxDrawnRoutes = 9
	newestDrawn    = 3
)

// newestRoutes returns routes of the newest configuration: all of them, or the first and the last ones if there are more than
// maxDrawnRoutes.
func (h *configHistory) newestRoutes() []routing.Route {
	h.mu.Lock()
	defer h.mu.Unlock()
	routes := slices.Clone(h.list[len(h.list)-1].Routes)
	if n := len(routes); n > maxDrawnRoutes {
		return append(routes[:maxDrawnRoutes-newestDrawn:maxDrawnRoutes-newestDrawn], routes[n-newestDrawn:]...)
	}
	return routes
}

// allowedServices returns the services to which any configuration published by the time at routes the requests of a route. The times of
// publication have a tolerance of maxConfigDelay. With inForce, configurations that every connected host has replaced by that time do not
// count.
func (h *configHistory) allowedServices(route string, at time.Time, inForce bool) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]bool{}
	for i, c := range h.list {
		if c.at.After(at.Add(maxConfigDelay)) {
			break
		}
		if inForce && i+1 < len(h.list) && h.list[i+1].at.Add(maxConfigDelay).Before(at) {
			continue // a newer configuration is in force on all connected hosts
		}
		for _, service := range c.services[route] {
			out[service] = true
		}
	}
	return out
}

// routeInForce reports whether a route is in all configurations that may be in force, on hosts that are connected to the store, at any
// time between from and to.
func (h *configHistory) routeInForce(route string, from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, c := range h.list {
		superseded := i+1 < len(h.list) && h.list[i+1].at.Add(maxConfigDelay).Before(from)
		if !superseded && !c.at.After(to.Add(publishTolerance)) && c.services[route] == nil {
			return false
		}
	}
	return true
}

// moveRoute routes all requests of a route to the other service.
func moveRoute(cfg *routing.Config, i int) {
	r := &cfg.Routes[i%len(cfg.Routes)]
	other := services[0]
	if r.Split[0].Service == other {
		other = services[1]
	}
	r.Split = []routing.WeightedService{{Service: other, Weight: 1}}
}

// splitRoute divides the requests of a route between both services, 3 to 1.
func splitRoute(cfg *routing.Config, i int) {
	r := &cfg.Routes[i%len(cfg.Routes)]
	r.Split = []routing.WeightedService{{Service: services[0], Weight: 3}, {Service: services[1], Weight: 1}}
}

// addRoute adds a route, and removes the oldest added route if there are more than 2.
func addRoute(cfg *routing.Config, _ int) {
	cfg.Routes = append(cfg.Routes, route(fmt.Sprintf("added-%d", cfg.Version), len(cfg.Routes), true, services[0]))
	if base := len(firstConfig().Routes); len(cfg.Routes) > base+2 {
		cfg.Routes = append(cfg.Routes[:base:base], cfg.Routes[base+1:]...)
	}
}
