// Package routing holds the routes that operators have put in force: which service a request goes to, how long it may take and
// whether it may be repeated. A Table is immutable; a new configuration is a new Table.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Route is one rule for requests of a host and path prefix.
type Route struct {
	Name          string
	Host          string        // compared without case and port
	Prefix        string        // begins and ends with a slash
	Idempotent    bool          // the request may run more than once
	Timeout       time.Duration // the longest time that a caller is kept waiting; 0 means no bound but the caller's own
	TargetLatency time.Duration // an answer within this time is worth its full value; 0 if not stated
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // endpoints to which one request may be sent; at least 1
	Split         []Share       // at least one service
}

// Share is a service's part of a route.
type Share struct {
	Service string
	Weight  int // relative to the other shares of the route
}

// Service is what the operators say of a service.
type Service struct {
	Name           string
	HealthPath     string // answers with the endpoint's load; empty if there is none
	MaxConnections int    // to one endpoint, over all hosts together; 0 if not stated
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // from the first byte of a request to the end of its header
	IdleTimeout    time.Duration // between requests of a connection
}

// DefaultLimits apply until a configuration is known, and to fields that it leaves out.
var DefaultLimits = Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Config is the content of a Table.
type Config struct {
	Version  uint64 // increases with each change
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table is a checked Config, ready for look-ups.
type Table struct {
	Version  uint64
	Limits   Limits
	routes   map[string][]*Route // by host, longest prefix first
	services map[string]*Service
}

// New checks a configuration. The error names each wrong field.
func New(c Config) (*Table, error) {
	t := &Table{Version: c.Version, Limits: c.Limits.withDefaults(), routes: map[string][]*Route{}, services: map[string]*Service{}}
	var errs []error
	for i := range c.Services {
		s := &c.Services[i]
		if s.Name == "" {
			errs = append(errs, trace.BadParameter("services[%d]: the name is empty: name the service", i))
		}
		t.services[s.Name] = s
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.check(t.services); err != nil {
			errs = append(errs, trace.Wrap(err, "route %q", r.Name))
			continue
		}
		r.Host = strings.ToLower(r.Host)
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for _, list := range t.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, trace.NewAggregate(errs...)
}

func (l Limits) withDefaults() Limits {
	return Limits{MaxHeaderBytes: cmp.Or(max(l.MaxHeaderBytes, 0), DefaultLimits.MaxHeaderBytes), MaxBodyBytes: cmp.Or(max(l.MaxBodyBytes, 0), DefaultLimits.MaxBodyBytes),
		HeaderTimeout: cmp.Or(max(l.HeaderTimeout, 0), DefaultLimits.HeaderTimeout), IdleTimeout: cmp.Or(max(l.IdleTimeout, 0), DefaultLimits.IdleTimeout)}
}

func (r *Route) check(services map[string]*Service) error {
	switch {
	case r.Host == "":
		return trace.BadParameter("the host is empty: name the host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return trace.BadParameter("the path prefix is %q: begin and end it with a slash", r.Prefix)
	case r.MaxAttempts < 1:
		return trace.BadParameter("the most attempts are %d: use at least 1", r.MaxAttempts)
	case r.Timeout < 0 || r.TargetLatency < 0:
		return trace.BadParameter("a time is negative: use milliseconds from 0")
	case len(r.Split) == 0:
		return trace.BadParameter("no service is named: name one, or a split with weights")
	}
	total := 0
	for _, s := range r.Split {
		if services[s.Service] == nil {
			return trace.BadParameter("service %q is not defined: add it to the services", s.Service)
		}
		if s.Weight < 0 {
			return trace.BadParameter("the weight of service %q is %d: use 0 or more", s.Service, s.Weight)
		}
		total += s.Weight
	}
	if total == 0 {
		return trace.BadParameter("all weights are 0: give one service a weight")
	}
	return nil
}

// Match returns the route for a request, or nil.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns what is known of a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Routes returns the number of routes.
func (t *Table) Routes() int {
	n := 0
	for _, list := range t.routes {
		n += len(list)
	}
	return n
}

// Pick returns the service whose part of the split covers u, which lies in [0, 1).
func (r *Route) Pick(u float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := u * float64(total)
	for _, s := range r.Split {
		if at -= float64(s.Weight); at < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
